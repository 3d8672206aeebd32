use super::super::record::HEADER_BYTES;
use super::*;

fn empty_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("liftrelay-log-file-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

fn entry(index: u64) -> Entry<String> {
    Entry { index, term: 1, command: Some(format!("entry {index}")) }
}

fn open(directory: &Path) -> Result<(LogFile, PersistedState<String, Vec<u8>>), StoreError> {
    LogFile::open(directory)
}

fn read(directory: &Path) -> PersistedState<String, Vec<u8>> {
    open(directory).unwrap().1
}

#[test]
fn an_incomplete_last_record_is_dropped_wherever_it_is_cut_and_the_log_goes_on() {
    let directory = empty_directory("incomplete");
    let path = directory.join(FILE_NAME);
    let (mut log_file, _) = open(&directory).unwrap();
    let hard_state = HardState { term: 1, voted_for: Some(2) };
    log_file.persist(hard_state, &[entry(1), entry(2)]).unwrap();
    let complete = std::fs::read(&path).unwrap().len();
    log_file.persist(hard_state, &[entry(3)]).unwrap();
    let bytes = std::fs::read(&path).unwrap();
    for cut in complete..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        let (mut log_file, persisted) = open(&directory).unwrap();
        assert_eq!(persisted.hard_state, hard_state, "cut at {cut}");
        assert_eq!(persisted.entries, [entry(1), entry(2)], "cut at {cut}");
        log_file.persist(hard_state, &[entry(3)]).unwrap();
        assert_eq!(read(&directory).entries.len(), 3, "cut at {cut}");
    }
    let mut flipped = bytes.clone();
    *flipped.last_mut().unwrap() ^= 1;
    std::fs::write(&path, &flipped).unwrap();
    assert_eq!(read(&directory).entries.len(), 2, "a last record half written");
    std::fs::write(&path, [&bytes[..complete], &[0; 64]].concat()).unwrap();
    assert_eq!(read(&directory).entries.len(), 2, "zeros after the end");
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn damage_before_the_last_record_is_an_error() {
    let directory = empty_directory("damage");
    let path = directory.join(FILE_NAME);
    let (mut log_file, _) = open(&directory).unwrap();
    log_file.persist(HardState::default(), &[entry(1), entry(2)]).unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[HEADER_BYTES + 2] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    assert!(matches!(open(&directory), Err(StoreError::DamagedRecord { offset: 0 })));
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn an_entry_replaces_all_from_its_index_on_and_a_snapshot_all_before_it() {
    let directory = empty_directory("replace");
    let (mut log_file, _) = open(&directory).unwrap();
    log_file.persist(HardState::default(), &[entry(1), entry(2), entry(3)]).unwrap();
    let replacement = Entry { term: 2, ..entry(2) };
    log_file.persist(HardState::default(), std::slice::from_ref(&replacement)).unwrap();
    assert_eq!(read(&directory).entries, [entry(1), replacement]);
    let snapshot = Snapshot { last_included_index: 2, last_included_term: 2, state: vec![7u8] };
    log_file.compact(snapshot, vec![entry(3)]).unwrap();
    log_file.persist(HardState::default(), &[entry(4)]).unwrap();
    let persisted = read(&directory);
    assert_eq!(persisted.snapshot.state, [7u8]);
    assert_eq!(persisted.entries, [entry(3), entry(4)]);
    std::fs::remove_dir_all(&directory).unwrap();
}
