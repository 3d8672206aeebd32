//! The messages to a replica: frames on its socket, and requests to its service thread.
//!
//! A frame is one line of JSON. Its serde names are sent between replicas and printed by the command line;
//! they must not change.

use super::raft::{Index, Message, ReplicaId, Term};
use super::state::{Change, State};
use crossbeam_channel::Sender;
use serde::{Deserialize, Serialize};

/// A raft message between replicas of the store.
pub type PeerMessage = Message<Change, State>;

/// What a replica receives on its socket.
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// A raft message from another replica.
    Peer(PeerMessage),
    /// A change that another replica's proxy proposes. Dropped unless the receiver is the leader.
    Forward(Change),
    /// A change from the command line; answered with a [`Status`] once it is committed.
    Put(Change),
    /// A query from the command line; answered with a [`Status`].
    Status,
}

/// A replica's answer to the command line.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The id of the replica that answers.
    pub id: ReplicaId,
    /// The replica's current term.
    pub term: Term,
    /// The leader of that term, if the replica knows it.
    pub leader: Option<ReplicaId>,
    /// The index of the last entry that the replica knows to be committed.
    #[serde(rename = "committed")]
    pub commit_index: Index,
    /// Whether the put that this status answers is committed; `false` in answers to a status query.
    #[serde(rename = "done")]
    pub put_committed: bool,
    /// The error that keeps the replica from writing to its log; absent while the log is healthy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub log_error: Option<String>,
    /// The replicated state after the last entry that the replica has applied.
    pub state: State,
}

/// A request to the service thread.
pub enum ServiceRequest {
    /// A raft message from another replica.
    PeerMessage(PeerMessage),
    /// A change that the local proxy proposes. Queued until there is a leader.
    Propose(Change),
    /// A change that another replica's proxy proposes. Dropped unless this replica is the leader.
    ProposeForwarded(Change),
    /// A change from the command line.
    Put {
        /// The change.
        change: Change,
        /// Receives the answer when the change is committed or has failed.
        reply: Sender<Status>,
    },
    /// A query from the command line.
    Status {
        /// Receives the answer.
        reply: Sender<Status>,
    },
}
