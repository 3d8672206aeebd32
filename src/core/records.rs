//! What the log and the metrics report of requests and of connections to members.

use super::ConnectionId;
use crate::{EndpointId, GiveUpReason, Micros, Outcome, RequestId};

/// Something for the log; each record is counted by its reason, too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An attempt ended without serving its request.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// The member that it was for.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was decided.
        elapsed: Micros,
        /// The revision of the endpoint list in use.
        list_revision: u64,
    },
    /// A request got a final answer without being served.
    NotServed {
        /// The request.
        request: RequestId,
        /// The index of its class.
        class: usize,
        /// The attempts made for it.
        attempts: u32,
        /// Why it was not served.
        reason: GiveUpReason,
        /// It was rejected: a retry is harmless. Otherwise it failed.
        rejected: bool,
        /// The revision of the endpoint list in use.
        list_revision: u64,
    },
    /// A connection to a member was closed.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
        /// The member.
        endpoint: EndpointId,
        /// Why.
        reason: CloseReason,
    },
}

impl Record {
    /// The kind and the reason that it is counted by.
    pub fn key(&self) -> (RecordKind, &'static str) {
        match self {
            Record::AttemptFailed { outcome, .. } => (RecordKind::AttemptFailed, outcome.name()),
            Record::NotServed { reason, .. } => (RecordKind::NotServed, reason.name()),
            Record::ConnectionClosed { reason, .. } => (RecordKind::MemberConnectionClosed, reason.name()),
        }
    }
}

/// The kinds of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// An attempt that served nothing.
    AttemptFailed,
    /// A request that was rejected or failed.
    NotServed,
    /// A connection to a member that was closed.
    MemberConnectionClosed,
    /// A connection of a client that was closed.
    ClientConnectionClosed,
    /// A call to discovery that ended.
    DiscoveryCallEnded,
    /// Discovery stopped answering, or answers again.
    DiscoveryStateChanged,
    /// An endpoint list or an update of it that was applied.
    EndpointListApplied,
    /// A member that the endpoint list added, changed or removed.
    EndpointChanged,
}

impl RecordKind {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RecordKind::AttemptFailed => "attempts_failed",
            RecordKind::NotServed => "not_served",
            RecordKind::MemberConnectionClosed => "member_connections_closed",
            RecordKind::ClientConnectionClosed => "client_connections_closed",
            RecordKind::DiscoveryCallEnded => "discovery_calls_ended",
            RecordKind::DiscoveryStateChanged => "discovery_state_changes",
            RecordKind::EndpointListApplied => "endpoint_lists_applied",
            RecordKind::EndpointChanged => "endpoints_changed",
        }
    }
}

/// Why a connection to a member was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for nearly as long as members keep idle connections.
    Idle,
    /// The endpoint list took its member out of service, or moved it to another address.
    EndpointListChange,
    /// Another connection needed its place.
    Capacity,
    /// Its job ended after the connection had become unusable.
    Unusable,
    /// Its job was cancelled or timed out after it may have been sent.
    JobCancelled,
    /// It broke, could not be opened, or got a reply that ends it.
    Broken,
}

impl CloseReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Idle => "idle",
            CloseReason::EndpointListChange => "endpoint_list_change",
            CloseReason::Capacity => "capacity",
            CloseReason::Unusable => "unusable",
            CloseReason::JobCancelled => "job_cancelled",
            CloseReason::Broken => "broken",
        }
    }
}
