//! The command line's client: sends requests to the replicas over their sockets.

use super::config::{Replica, StoreConfig};
use super::error::StoreError;
use super::protocol::{Frame, Status};
use super::raft::ReplicaId;
use super::state::Change;
use super::transport::{COMMIT_TIMEOUT, CONNECT_TIMEOUT, write_line};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};

/// The result of a status query to one replica.
#[derive(Debug)]
pub struct ReplicaStatus {
    /// The id of the replica.
    pub id: ReplicaId,
    /// The replica's status, or why the query failed.
    pub status: Result<Status, StoreError>,
}

/// Queries the status of each replica.
pub fn status(config: &StoreConfig) -> Vec<ReplicaStatus> {
    let query = |replica: &Replica| ReplicaStatus {
        id: replica.id,
        status: request(replica.address, &Frame::Status),
    };
    config.replicas.iter().map(query).collect()
}

/// Changes a setting, and returns once a quorum has persisted the change.
pub fn put(config: &StoreConfig, name: &str, value: serde_json::Value) -> Result<(), StoreError> {
    let leader = config.replicas.iter().find(|replica| is_leader(replica)).ok_or(StoreError::NoLeader)?;
    let change = Change::Set(name.to_string(), value);
    match request(leader.address, &Frame::Put(change)) {
        Ok(status) if status.put_committed => Ok(()),
        Ok(_) => Err(StoreError::NotCommitted { source: None }),
        Err(error) => Err(StoreError::NotCommitted { source: Some(Box::new(error)) }),
    }
}

fn is_leader(replica: &Replica) -> bool {
    let status = request(replica.address, &Frame::Status);
    status.is_ok_and(|status| status.leader == Some(replica.id))
}

fn request(address: SocketAddr, frame: &Frame) -> Result<Status, StoreError> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(COMMIT_TIMEOUT + CONNECT_TIMEOUT))?;
    write_line(&stream, frame)?;
    let mut answer = String::new();
    BufReader::new(&stream).read_line(&mut answer)?;
    Ok(serde_json::from_str(&answer)?)
}
