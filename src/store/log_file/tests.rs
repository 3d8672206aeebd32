use super::super::record::HEADER_BYTES;
use super::*;
use crate::store::faulty_files::FaultyFiles;
use crate::store::file_operations::SystemFiles;

fn empty_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("liftrelay-log-file-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

fn entry(index: u64) -> Entry<String> {
    Entry { index, term: 1, command: Some(format!("entry {index}")) }
}

fn open(directory: &Path) -> Result<(LogFile, PersistedState<String, Vec<u8>>), StoreError> {
    let opened = LogFile::open(Box::new(SystemFiles), directory)?;
    assert!(opened.failure.is_none(), "{:?}", opened.failure);
    Ok((opened.log_file, opened.persisted))
}

fn read(directory: &Path) -> PersistedState<String, Vec<u8>> {
    open(directory).unwrap().1
}

#[test]
fn an_incomplete_last_record_is_dropped_and_further_records_can_be_appended() {
    let directory = empty_directory("incomplete");
    let path = directory.join(FILE_NAME);
    let (mut log_file, _) = open(&directory).unwrap();
    let hard_state = HardState { term: 1, voted_for: Some(2) };
    log_file.append(hard_state, &[entry(1), entry(2)]).unwrap();
    let complete = std::fs::read(&path).unwrap().len();
    log_file.append(hard_state, &[entry(3)]).unwrap();
    let bytes = std::fs::read(&path).unwrap();
    for cut in complete..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        let (mut log_file, persisted) = open(&directory).unwrap();
        assert_eq!(persisted.hard_state, hard_state, "cut at {cut}");
        assert_eq!(persisted.entries, [entry(1), entry(2)], "cut at {cut}");
        log_file.append(hard_state, &[entry(3)]).unwrap();
        assert_eq!(read(&directory).entries.len(), 3, "cut at {cut}");
    }
    let mut corrupted = bytes.clone();
    *corrupted.last_mut().unwrap() ^= 1;
    std::fs::write(&path, &corrupted).unwrap();
    assert_eq!(read(&directory).entries.len(), 2, "the last record has a wrong checksum");
    std::fs::write(&path, [&bytes[..complete], &[0; 64]].concat()).unwrap();
    assert_eq!(read(&directory).entries.len(), 2, "zeros after the last complete record");
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_log_truncated_at_any_byte_has_all_complete_records_before_the_cut() {
    let directory = empty_directory("cut");
    let path = directory.join(FILE_NAME);
    let (mut log_file, empty) = open(&directory).unwrap();
    let mut states = vec![(0, empty)];
    for index in 1..=4 {
        log_file.append::<String>(HardState { term: index, voted_for: None }, &[]).unwrap();
        states.push((std::fs::read(&path).unwrap().len(), read(&directory)));
        log_file.append(HardState { term: index, voted_for: None }, &[entry(index)]).unwrap();
        states.push((std::fs::read(&path).unwrap().len(), read(&directory)));
    }
    let bytes = std::fs::read(&path).unwrap();
    for cut in 0..=bytes.len() {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        let complete = states.iter().rev().find(|(length, _)| *length <= cut);
        assert_eq!(read(&directory), complete.unwrap().1, "cut at {cut}");
    }
    assert_eq!(states.last().unwrap().1.entries.len(), 4);
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn damage_before_the_last_record_is_an_error() {
    let directory = empty_directory("damage");
    let path = directory.join(FILE_NAME);
    let (mut log_file, _) = open(&directory).unwrap();
    log_file.append(HardState::default(), &[entry(1), entry(2)]).unwrap();
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
    log_file.append(HardState::default(), &[entry(1), entry(2), entry(3)]).unwrap();
    let replacement = Entry { term: 2, ..entry(2) };
    log_file.append(HardState::default(), std::slice::from_ref(&replacement)).unwrap();
    assert_eq!(read(&directory).entries, [entry(1), replacement]);
    let snapshot = Snapshot { last_included_index: 2, last_included_term: 2, state: vec![7u8] };
    let contents = PersistedState { hard_state: HardState::default(), snapshot, entries: vec![entry(3)] };
    log_file.replace(contents).unwrap();
    log_file.append(HardState::default(), &[entry(4)]).unwrap();
    let persisted = read(&directory);
    assert_eq!(persisted.snapshot.state, [7u8]);
    assert_eq!(persisted.entries, [entry(3), entry(4)]);
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Replaces the log by the complete state, as the service does after a failed write.
fn replace_after_failure(log_file: &mut LogFile, state: &PersistedState<String, Vec<u8>>) {
    log_file.replace(state.clone()).unwrap();
}

#[test]
fn entries_whose_write_or_sync_failed_are_in_the_log_after_it_is_replaced() {
    // An append is two operations, a write and a sync.
    for failing in [0, 1] {
        let directory = empty_directory(&format!("again-{failing}"));
        let files = FaultyFiles::default();
        let opened = LogFile::open::<String, Vec<u8>>(Box::new(files.clone()), &directory);
        let mut log_file = opened.unwrap().log_file;
        let start = files.operations();
        files.fail_only(start + failing);
        let hard_state = HardState { term: 1, voted_for: Some(2) };
        assert!(log_file.append(hard_state, &[entry(1)]).is_err());
        assert_eq!(std::fs::read(directory.join(FILE_NAME)).unwrap().len(), 0, "operation {failing}");
        let appended = log_file.append(hard_state, &[entry(1)]);
        assert!(matches!(appended, Err(StoreError::LogNotReplaced)), "{appended:?}");
        let state = PersistedState { hard_state, snapshot: Snapshot::default(), entries: vec![entry(1)] };
        replace_after_failure(&mut log_file, &state);
        assert_eq!(open(&directory).map(|opened| opened.1).ok(), Some(state), "operation {failing}");
        std::fs::remove_dir_all(&directory).unwrap();
    }
}
