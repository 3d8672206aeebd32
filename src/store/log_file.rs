//! A replica's log file. Each record is on the disk before it counts. A record that is cut off at the end of
//! the file, because the machine stopped while it was written, is dropped; damage elsewhere is an error.

use super::LOG_TARGET;
use super::error::StoreError;
use super::file_operations::{FileOperations, SystemFiles};
use super::raft::{Entry, HardState, PersistedState, Snapshot};
use super::record::{self, Record};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::File;
use std::path::{Path, PathBuf};

/// The file in the data directory.
const FILE_NAME: &str = "log";
/// The extension of the file that replaces it on compaction.
const REPLACEMENT_EXTENSION: &str = "new";

/// An open log file.
pub struct LogFile {
    files: Box<dyn FileOperations>,
    path: PathBuf,
    file: File,
    /// The term and vote in the file.
    hard_state: HardState,
}

impl LogFile {
    /// Opens or creates the file in a data directory, and returns its contents.
    pub fn open<C: DeserializeOwned, S: DeserializeOwned + Default>(
        directory: &Path,
    ) -> Result<(LogFile, PersistedState<C, S>), StoreError> {
        Self::open_with(Box::new(SystemFiles), directory)
    }

    /// Opens or creates the file with these file operations.
    fn open_with<C: DeserializeOwned, S: DeserializeOwned + Default>(
        files: Box<dyn FileOperations>,
        directory: &Path,
    ) -> Result<(LogFile, PersistedState<C, S>), StoreError> {
        files.create_directory(directory)?;
        let path = directory.join(FILE_NAME);
        let file = files.open_for_append(&path)?;
        let bytes = std::fs::read(&path)?;
        let records = record::decode(&bytes)?;
        if records.end < bytes.len() {
            let dropped_bytes = bytes.len() - records.end;
            tracing::warn!(target: LOG_TARGET, dropped_bytes, "dropped incomplete record at end of raft log");
            files.truncate(&file, records.end as u64)?;
            files.sync(&file)?;
        }
        let persisted = replay(&records.payloads)?;
        let hard_state = persisted.hard_state;
        Ok((LogFile { files, path, file, hard_state }, persisted))
    }

    /// Appends term and vote, if they have changed, and entries; they are on the disk when this returns.
    pub fn persist<C: Serialize + Clone>(
        &mut self,
        hard_state: HardState,
        entries: &[Entry<C>],
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        if hard_state != self.hard_state {
            record::encode(&Record::<C, ()>::HardState(hard_state), &mut bytes)?;
            self.hard_state = hard_state;
        }
        for entry in entries {
            record::encode(&Record::<C, ()>::Entry(entry.clone()), &mut bytes)?;
        }
        self.files.write(&mut self.file, &bytes)?;
        self.files.sync(&self.file)?;
        Ok(())
    }

    /// Replaces all entries by a snapshot and the entries after it. On an error, the file is unchanged.
    pub fn compact<C: Serialize, S: Serialize>(
        &mut self,
        snapshot: Snapshot<S>,
        entries: Vec<Entry<C>>,
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        record::encode(&Record::<C, S>::HardState(self.hard_state), &mut bytes)?;
        record::encode(&Record::<C, S>::Snapshot(snapshot), &mut bytes)?;
        for entry in entries {
            record::encode(&Record::<C, S>::Entry(entry), &mut bytes)?;
        }
        self.replace(&bytes)
    }

    /// Replaces the file atomically: after a crash, either the old or the new one exists.
    fn replace(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let replacement_path = self.path.with_extension(REPLACEMENT_EXTENSION);
        let mut replacement = self.files.create(&replacement_path)?;
        self.files.write(&mut replacement, bytes)?;
        self.files.sync(&replacement)?;
        self.files.rename(&replacement_path, &self.path)?;
        if let Some(directory) = self.path.parent() {
            self.files.sync_directory(directory)?;
        }
        self.file = self.files.open_for_append(&self.path)?;
        Ok(())
    }
}

/// The state that results from the records.
fn replay<C: DeserializeOwned, S: DeserializeOwned + Default>(
    payloads: &[&[u8]],
) -> Result<PersistedState<C, S>, StoreError> {
    let mut persisted = PersistedState {
        hard_state: HardState::default(),
        snapshot: Snapshot::default(),
        entries: Vec::new(),
    };
    for payload in payloads {
        match serde_json::from_slice(payload)? {
            Record::HardState(hard_state) => persisted.hard_state = hard_state,
            Record::Snapshot(snapshot) => {
                persisted.snapshot = snapshot;
                persisted.entries.clear();
            }
            Record::Entry(entry) => {
                persisted.entries.retain(|earlier: &Entry<C>| earlier.index < entry.index);
                persisted.entries.push(entry);
            }
        }
    }
    Ok(persisted)
}

#[cfg(test)]
mod tests;
