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
    /// A change that another replica's proxy proposes; dropped where this replica is not the leader.
    Forward(Change),
    /// A change from the command line; answered with a [`Status`] once it is committed.
    Put(Change),
    /// A query from the command line; answered with a [`Status`].
    Status,
}

/// A replica's answer to the command line.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The replica that answers.
    pub id: ReplicaId,
    /// Its term.
    pub term: Term,
    /// The leader, as far as it knows.
    pub leader: Option<ReplicaId>,
    /// The last entry that it knows to be committed.
    #[serde(rename = "committed")]
    pub commit_index: Index,
    /// Whether the change that this answers is committed.
    #[serde(rename = "done")]
    pub put_committed: bool,
    /// Why the replica can't write to its log at present; absent while it can.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub log_error: Option<String>,
    /// Its state.
    pub state: State,
}

/// A request to the service thread.
pub enum ServiceRequest {
    /// A raft message from another replica.
    PeerMessage(PeerMessage),
    /// A change that the local proxy proposes; kept until there is a leader.
    Propose(Change),
    /// A change that another replica's proxy proposes; dropped where this replica is not the leader.
    ProposeForwarded(Change),
    /// A change from the command line.
    Put {
        /// The change.
        change: Change,
        /// The sender for the answer once the change is committed.
        reply: Sender<Status>,
    },
    /// A query from the command line.
    Status {
        /// The sender for the answer.
        reply: Sender<Status>,
    },
}
