//! A replica's file: records of a length, a checksum and JSON, each written whole before it counts. A record
//! cut off at the end - the machine stopped while writing - is dropped; damage anywhere else is an error.

use super::raft::{Entry, HardState, PersistedState, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

const HEAD: usize = 8;
/// The longest record: a snapshot of the whole state.
const LONGEST: usize = 64 << 20;

#[derive(Deserialize, Serialize)]
enum Record<C, S> {
    #[serde(rename = "Hard")]
    HardState(HardState),
    Entry(Entry<C>),
    Snapshot(Snapshot<S>),
}

/// The file.
pub struct Disk {
    path: PathBuf,
    file: File,
    hard: HardState,
}

fn record<C: Serialize, S: Serialize>(out: &mut Vec<u8>, record: &Record<C, S>) -> Result<()> {
    let text = serde_json::to_vec(record).map_err(Error::other)?;
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(crc32fast::hash(&text).to_be_bytes());
    out.extend(text);
    Ok(())
}

fn word(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0, |v, b| v << 8 | u32::from(*b))
}

/// The records' texts, and where the last whole one ends.
fn records(bytes: &[u8]) -> Result<(Vec<&[u8]>, usize)> {
    let (mut found, mut at) = (Vec::new(), 0);
    while let Some(head) = bytes.get(at..at + HEAD) {
        let (length, sum) = (word(&head[..4]) as usize, word(&head[4..]));
        let Some(text) = bytes.get(at + HEAD..at + HEAD + length) else { break };
        if length == 0 || length > LONGEST || crc32fast::hash(text) != sum {
            // Space that was reserved but never written reads as zeros; the last record may be half written.
            if bytes[at..].iter().all(|b| *b == 0) || at + HEAD + length == bytes.len() {
                break;
            }
            return Err(Error::new(ErrorKind::InvalidData, format!("damaged at byte {at}")));
        }
        found.push(text);
        at += HEAD + length;
    }
    Ok((found, at))
}

impl Disk {
    /// Opens the file in a folder, and returns what it holds.
    pub fn open<C: DeserializeOwned, S: DeserializeOwned + Default>(
        folder: &Path,
    ) -> Result<(Disk, PersistedState<C, S>)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("log");
        let mut file = OpenOptions::new().create(true).append(true).read(true).open(&path)?;
        let bytes = std::fs::read(&path)?;
        let (found, end) = records(&bytes)?;
        if end < bytes.len() {
            tracing::warn!(dropped = bytes.len() - end, "the log's torn tail is dropped");
            file.set_len(end as u64)?;
            file.sync_all()?;
        }
        let mut saved = PersistedState {
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
        };
        for text in found {
            match serde_json::from_slice(text).map_err(Error::other)? {
                Record::HardState(hard_state) => saved.hard_state = hard_state,
                Record::Snapshot(snapshot) => (saved.snapshot, saved.entries) = (snapshot, Vec::new()),
                Record::Entry(entry) => {
                    // An entry replaces all from its place.
                    saved.entries.retain(|e: &Entry<C>| e.index < entry.index);
                    saved.entries.push(entry);
                }
            }
        }
        file.flush()?;
        Ok((Disk { path, file, hard: saved.hard_state }, saved))
    }

    /// Adds term, vote and entries; they are on the disk when this returns.
    pub fn persist<C: Serialize + Clone>(&mut self, hard: HardState, entries: &[Entry<C>]) -> Result<()> {
        let mut out = Vec::new();
        if hard != self.hard {
            record(&mut out, &Record::<C, ()>::HardState(hard))?;
            self.hard = hard;
        }
        for entry in entries {
            record(&mut out, &Record::<C, ()>::Entry(entry.clone()))?;
        }
        self.file.write_all(&out)?;
        self.file.sync_data()
    }

    /// Puts a snapshot and the entries behind it in place of all the file held, or leaves it as it was.
    pub fn compact<C, S>(&mut self, snapshot: Snapshot<S>, entries: Vec<Entry<C>>) -> Result<()>
    where
        C: Serialize,
        S: Serialize,
    {
        let mut out = Vec::new();
        record(&mut out, &Record::<C, S>::HardState(self.hard))?;
        record(&mut out, &Record::<C, S>::Snapshot(snapshot))?;
        for entry in entries {
            record(&mut out, &Record::<C, S>::Entry(entry))?;
        }
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        file.write_all(&out)?;
        file.sync_all()?;
        std::fs::rename(&new, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("liftrelay-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    fn entry(index: u64) -> Entry<String> {
        Entry { index, term: 1, command: Some(format!("entry {index}")) }
    }

    fn open(folder: &Path) -> Result<(Disk, PersistedState<String, Vec<u8>>)> {
        Disk::open(folder)
    }

    #[test]
    fn a_torn_tail_is_dropped_at_any_cut_and_the_log_goes_on() {
        let folder = folder("torn");
        let (mut disk, _) = open(&folder).unwrap();
        let hard = HardState { term: 1, voted_for: Some(2) };
        disk.persist(hard, &[entry(1), entry(2)]).unwrap();
        let whole = std::fs::read(folder.join("log")).unwrap().len();
        disk.persist(hard, &[entry(3)]).unwrap();
        let bytes = std::fs::read(folder.join("log")).unwrap();
        for cut in whole..bytes.len() {
            std::fs::write(folder.join("log"), &bytes[..cut]).unwrap();
            let (mut disk, saved) = open(&folder).unwrap();
            assert_eq!(
                (saved.hard_state, &saved.entries[..]),
                (hard, &[entry(1), entry(2)][..]),
                "cut at {cut}"
            );
            disk.persist(hard, &[entry(3)]).unwrap();
            assert_eq!(open(&folder).unwrap().1.entries.len(), 3, "cut at {cut}");
        }
        let mut flipped = bytes.clone();
        *flipped.last_mut().unwrap() ^= 1;
        std::fs::write(folder.join("log"), &flipped).unwrap();
        assert_eq!(open(&folder).unwrap().1.entries.len(), 2, "a last record half written");
        std::fs::write(folder.join("log"), [&bytes[..whole], &[0; 64]].concat()).unwrap();
        assert_eq!(open(&folder).unwrap().1.entries.len(), 2, "zeros behind the end");
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    fn damage_before_the_end_is_an_error() {
        let folder = folder("damage");
        let (mut disk, _) = open(&folder).unwrap();
        disk.persist(HardState::default(), &[entry(1), entry(2)]).unwrap();
        let mut bytes = std::fs::read(folder.join("log")).unwrap();
        bytes[HEAD + 2] ^= 1;
        std::fs::write(folder.join("log"), &bytes).unwrap();
        assert!(open(&folder).is_err());
        std::fs::remove_dir_all(&folder).unwrap();
    }

    #[test]
    fn entries_replace_what_stood_in_their_place_and_a_snapshot_what_came_before() {
        let folder = folder("replace");
        let (mut disk, _) = open(&folder).unwrap();
        disk.persist(HardState::default(), &[entry(1), entry(2), entry(3)]).unwrap();
        let other = Entry { term: 2, ..entry(2) };
        disk.persist(HardState::default(), std::slice::from_ref(&other)).unwrap();
        assert_eq!(open(&folder).unwrap().1.entries, [entry(1), other]);
        disk.compact(
            Snapshot { last_included_index: 2, last_included_term: 2, state: vec![7u8] },
            vec![entry(3)],
        )
        .unwrap();
        disk.persist(HardState::default(), &[entry(4)]).unwrap();
        let saved = open(&folder).unwrap().1;
        assert_eq!((saved.snapshot.state, saved.entries), (vec![7u8], vec![entry(3), entry(4)]));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
