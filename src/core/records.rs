//! Records: the events that are both logged and counted by their reason.

use super::ConnectionId;
use crate::{EndpointId, GiveUpReason, Micros, Outcome, PerNeed, RequestId};

/// An event of a request or of a connection to a member, which is logged and counted by its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An attempt ended without serving its request.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// The member that it was to be sent to.
        endpoint: EndpointId,
        /// The outcome.
        outcome: Outcome,
        /// The time from the step that started the attempt to its end.
        elapsed: Micros,
        /// The revision of the endpoint list in use.
        list_revision: u64,
    },
    /// A request was rejected or failed.
    NotServed {
        /// The request.
        request: RequestId,
        /// The index of its class.
        class: usize,
        /// The number of attempts that the router requested for it, including those that were not sent.
        attempts: u32,
        /// Why the request was not served.
        reason: GiveUpReason,
        /// How many members each need ruled out when the request was last considered.
        ruled_out: PerNeed<u64>,
        /// Whether the request was rejected, so that a retry is harmless. Otherwise it failed.
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
        /// Why the connection was closed.
        reason: CloseReason,
    },
}

impl Record {
    /// The kind and the reason under which the record is counted.
    pub fn key(&self) -> (RecordKind, &'static str) {
        match self {
            Record::AttemptFailed { outcome, .. } => (RecordKind::AttemptFailed, outcome.name()),
            Record::NotServed { reason, .. } => (RecordKind::NotServed, reason.name()),
            Record::ConnectionClosed { reason, .. } => (RecordKind::MemberConnectionClosed, reason.name()),
        }
    }
}

/// The kind of a record, under which metrics count it. The server counts the kinds that have no [`Record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// An attempt ended without serving its request.
    AttemptFailed,
    /// A request was rejected or failed.
    NotServed,
    /// A connection to a member was closed.
    MemberConnectionClosed,
    /// A connection of a client was closed.
    ClientConnectionClosed,
    /// A call to discovery ended.
    DiscoveryCallEnded,
    /// Discovery stopped answering, or answers again.
    DiscoveryStateChanged,
    /// An endpoint list, or an update of one, was applied.
    EndpointListApplied,
    /// An endpoint list update added, changed or removed a member.
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
    /// The connection was idle for most of the idle timeout after which members close connections.
    Idle,
    /// The endpoint list took the member out of service or gave it a new address.
    EndpointListChange,
    /// The pool was full and a new connection was needed; this one had been idle for longest.
    Capacity,
    /// A job ended on a connection that must not be reused: its member has a new address or has been dropped,
    /// or the connection was closed while the result was in transit.
    Unusable,
    /// The job on the connection was cancelled or timed out when the connection was already in use for it.
    JobCancelled,
    /// The connection broke, could not be opened, or received a reply after which it can't be used.
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
