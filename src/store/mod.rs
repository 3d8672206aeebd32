//! The replicated store of the proxy's own configuration and state: settings, the last endpoint list and the
//! catalogue of prepared statements.
//!
//! Each change is an entry of a Raft log. A separate thread runs the replica; no request and no routing
//! decision waits for it.

mod client;
mod config;
mod error;
#[cfg(test)]
mod faulty_files;
mod file_operations;
mod log_file;
mod persistent_log;
mod proposals;
mod protocol;
mod raft;
mod record;
mod service;
mod state;
mod transport;

/// The target of all log events of the store. Its last part is the MSGID in syslog, which must not change if
/// code moves between modules.
const LOG_TARGET: &str = "liftrelay::store";

pub use client::{ReplicaStatus, put, status};
pub use config::{Replica, StoreConfig};
pub use error::StoreError;
pub use protocol::Status;
pub use service::Store;
pub use state::{Change, State, Statement};
