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
    /// The data directory can't be used: it is not a directory, say, or nothing may be written there.
    #[error("the store's data directory {}: {source}", path.display())]
    DataDirectory {
        /// The configured directory.
        path: PathBuf,
        /// Why it can't be used.
        source: io::Error,
    },
    /// A record that is not the last one of the log file is damaged.
    #[error("damaged at byte {offset}")]
    DamagedRecord {
        /// The offset of the record in the file.
        offset: usize,
    },
    /// An earlier write to the log file failed, and the file has not been replaced yet.
    #[error("the log file has not been replaced since a write failed")]
    LogNotReplaced,
    /// A record or a message is not the JSON that was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file or a connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// None of the replicas that answer is the leader.
    #[error("no leader is reached")]
    NoLeader,
    /// The leader did not confirm that a change was committed.
    #[error("not committed: no quorum answered, the value may or may not be kept")]
    NotCommitted {
        /// Why there was no answer; `None` where the leader answered that the change is not committed.
        source: Option<Box<StoreError>>,
    },
}
