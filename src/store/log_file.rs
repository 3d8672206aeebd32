//! A replica's log file. A record counts as persisted only when it is synced to the disk. An incomplete
//! record at the end of the file, left by a machine that stopped during a write, is dropped. Damage elsewhere
//! is an error.
//!
//! After a failed write or sync, the contents of the disk behind the last synced record are unknown. From
//! then on, appending fails until [`LogFile::replace`] has written the complete contents to a new file.

use super::LOG_TARGET;
use super::error::StoreError;
use super::file_operations::FileOperations;
use super::raft::{Entry, HardState, PersistedState, Snapshot};
use super::record::{self, Record};
use rustix::io::Errno;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the log file in the data directory.
const FILE_NAME: &str = "log";
/// The extension of the new file that replaces the log file.
const REPLACEMENT_EXTENSION: &str = "new";

/// A log file.
pub struct LogFile {
    files: Box<dyn FileOperations>,
    directory: PathBuf,
    path: PathBuf,
    /// The open file; `None` after a failure, until the file is replaced.
    synced: Option<SyncedFile>,
}

/// An open log file whose records are all on the disk.
struct SyncedFile {
    file: File,
    length: u64,
    /// The term and vote in the file.
    hard_state: HardState,
}

/// An opened log file and its contents.
pub struct OpenedLog<C, S> {
    /// The opened file.
    pub log_file: LogFile,
    /// The contents of the file when it was opened.
    pub persisted: PersistedState<C, S>,
    /// The error that keeps the file from being written to but may be transient; `None` for a usable file.
    pub failure: Option<io::Error>,
}

impl LogFile {
    /// Opens or creates the log file in a data directory. A damaged file or an unusable directory is an
    /// error. A full disk or a failed write may be transient, and is reported in [`OpenedLog::failure`].
    pub fn open<C: DeserializeOwned, S: DeserializeOwned + Default>(
        files: Box<dyn FileOperations>,
        directory: &Path,
    ) -> Result<OpenedLog<C, S>, StoreError> {
        let path = directory.join(FILE_NAME);
        let unusable = |source| StoreError::DataDirectory { path: directory.to_path_buf(), source };
        let bytes = read_if_present(&path).map_err(unusable)?;
        let records = record::decode(&bytes)?;
        let dropped_bytes = bytes.len() - records.end;
        if dropped_bytes > 0 {
            tracing::warn!(target: LOG_TARGET, dropped_bytes, "dropped incomplete record at end of raft log");
        }
        let persisted: PersistedState<C, S> = replay(&records.payloads)?;
        let mut log_file = LogFile { files, directory: directory.to_path_buf(), path, synced: None };
        let failure = match log_file.open_synced(records.end as u64, persisted.hard_state) {
            Ok(()) => None,
            Err(error) if may_be_transient(&error) => Some(error),
            Err(error) => return Err(unusable(error)),
        };
        Ok(OpenedLog { log_file, persisted, failure })
    }

    /// Opens the file to append to it, and drops all but its first `length` bytes, the complete records.
    /// Syncs these: the previous process may have written them without a sync.
    fn open_synced(&mut self, length: u64, hard_state: HardState) -> io::Result<()> {
        self.files.create_directory(&self.directory)?;
        let file = self.files.open_for_append(&self.path)?;
        self.files.truncate(&file, length)?;
        self.files.sync(&file)?;
        self.files.sync_directory(&self.directory)?;
        self.synced = Some(SyncedFile { file, length, hard_state });
        Ok(())
    }

    /// Appends the hard state, if it has changed, and the entries. They are on the disk when this returns
    /// `Ok`.
    pub fn append<C: Serialize + Clone>(
        &mut self,
        hard_state: HardState,
        entries: &[Entry<C>],
    ) -> Result<(), StoreError> {
        let mut synced = self.synced.take().ok_or(StoreError::LogNotReplaced)?;
        let mut bytes = Vec::new();
        if hard_state != synced.hard_state {
            record::encode(&Record::<C, ()>::HardState(hard_state), &mut bytes)?;
        }
        for entry in entries {
            record::encode(&Record::<C, ()>::Entry(entry.clone()), &mut bytes)?;
        }
        if let Err(error) = self.write_and_sync(&mut synced.file, &bytes) {
            // Removes records that may be half written, so that the next process does not read them. On a
            // failed disk, this may fail, too.
            let _ = self.files.truncate(&synced.file, synced.length);
            return Err(error.into());
        }
        let length = synced.length + bytes.len() as u64;
        self.synced = Some(SyncedFile { length, hard_state, ..synced });
        Ok(())
    }

    /// Replaces the file atomically, also after a failed write. After a crash or an error, either the old or
    /// the new file exists.
    pub fn replace<C: Serialize, S: Serialize>(
        &mut self,
        contents: PersistedState<C, S>,
    ) -> Result<(), StoreError> {
        self.synced = None;
        let hard_state = contents.hard_state;
        let bytes = encode_all(contents)?;
        self.files.create_directory(&self.directory)?;
        let replacement_path = self.path.with_extension(REPLACEMENT_EXTENSION);
        let mut replacement = self.files.create(&replacement_path)?;
        self.write_and_sync(&mut replacement, &bytes)?;
        self.files.rename(&replacement_path, &self.path)?;
        self.files.sync_directory(&self.directory)?;
        let file = self.files.open_for_append(&self.path)?;
        self.synced = Some(SyncedFile { file, length: bytes.len() as u64, hard_state });
        Ok(())
    }

    fn write_and_sync(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        self.files.write(file, bytes)?;
        self.files.sync(file)
    }
}

/// Returns the contents of a file; empty if the file does not exist.
fn read_if_present(path: &Path) -> io::Result<Vec<u8>> {
    match std::fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        result => result,
    }
}

/// Returns whether a write may succeed later without a change of the configuration.
fn may_be_transient(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOSPC | Errno::DQUOT | Errno::IO))
}

fn encode_all<C: Serialize, S: Serialize>(contents: PersistedState<C, S>) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    record::encode(&Record::<C, S>::HardState(contents.hard_state), &mut bytes)?;
    record::encode(&Record::<C, S>::Snapshot(contents.snapshot), &mut bytes)?;
    for entry in contents.entries {
        record::encode(&Record::<C, S>::Entry(entry), &mut bytes)?;
    }
    Ok(bytes)
}

/// Returns the state that results from the records in their order.
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
