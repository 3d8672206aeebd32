//! The errors of the store.

use super::raft::ReplicaId;
use std::io;
use std::path::PathBuf;

/// Why the store can't be started, read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The configured id is not among the configured replicas.
    #[error("the store's replica {0} is not among those listed")]
    ReplicaNotListed(ReplicaId),
    /// The data directory can't be used, for example because it is not a directory or is not writable.
    #[error("can't use the store's data directory {}: {source}", path.display())]
    DataDirectory {
        /// The configured directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A record that is not the last one of the log file is damaged.
    #[error("damaged at byte {offset}")]
    DamagedRecord {
        /// The offset of the record in the file, in bytes.
        offset: usize,
    },
    /// An earlier write to the log file failed, and the file has not been replaced yet.
    #[error("the log file has not been replaced since a write failed")]
    LogNotReplaced,
    /// A record or a message is not valid JSON of the expected type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An operation on a file or a connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// None of the replicas that answer is the leader.
    #[error("no leader is reached")]
    NoLeader,
    /// The leader did not confirm that a change was committed.
    #[error("not committed: no quorum answered, the value may or may not be kept")]
    NotCommitted {
        /// Why there was no answer; `None` if the leader answered that the change is not committed.
        source: Option<Box<StoreError>>,
    },
}
