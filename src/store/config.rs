//! The configuration file of a replica, such as `deploy/store.toml`.

use super::error::StoreError;
use super::raft::ReplicaId;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration of one replica of the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreConfig {
    /// The id of this replica.
    pub id: ReplicaId,
    /// The directory of this replica's log; without one, the log is in memory only.
    #[serde(rename = "data")]
    pub data_directory: Option<PathBuf>,
    /// All replicas, including this one; if empty, this is the only replica and accepts no connections.
    #[serde(default, rename = "replica")]
    pub replicas: Vec<Replica>,
}

/// One replica.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The id of the replica.
    pub id: ReplicaId,
    /// The address for connections from the other replicas and the command line.
    pub address: SocketAddr,
}

impl StoreConfig {
    /// Checks that this replica is among those listed.
    pub fn check(&self) -> Result<(), StoreError> {
        let listed = self.replicas.is_empty() || self.replicas.iter().any(|replica| replica.id == self.id);
        if listed { Ok(()) } else { Err(StoreError::ReplicaNotListed(self.id)) }
    }

    /// Returns the address at which this replica accepts connections; `None` if no replicas are listed.
    pub fn own_address(&self) -> Option<SocketAddr> {
        let own = self.replicas.iter().find(|replica| replica.id == self.id);
        own.map(|replica| replica.address)
    }

    /// Returns the configuration of a single replica with its log in memory only.
    pub fn single_in_memory() -> Self {
        StoreConfig { id: 1, data_directory: None, replicas: Vec::new() }
    }
}
