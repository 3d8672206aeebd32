//! The input from clients in the form that the reactor thread of the client connections passes on: connection
//! events, and commands whose routing fields are already parsed.

mod simple_query;

pub use simple_query::{ParsedQuery, SimpleQuery};

use crate::exchange::MemberRequest;
use crate::pg::{ProtocolError, StartupPacket};
use crate::{ExecutedStatement, Micros};

/// The id of a client connection; ids are never reused.
pub type ClientId = u64;

/// An event on a client connection, as the reactor thread reports it. `C` is the type of a command.
pub enum ClientEvent<C> {
    /// The client has connected.
    Connected {
        /// The secret of the connection's cancel key.
        secret: u32,
    },
    /// The client has sent a startup packet.
    Startup(StartupPacket),
    /// The client has sent a complete command.
    Command(C),
    /// The client has sent a message that this front does not support.
    Unsupported,
    /// The client has sent Terminate and is about to close the connection.
    Terminate,
    /// The client has sent bytes that violate the protocol, or has not completed a message in time.
    Malformed(ProtocolError),
    /// The connection has ended.
    Disconnected,
}

/// A client's request and its routing properties, parsed from the statement.
pub struct ParsedRequest {
    /// The index of the class under which the request is accounted.
    pub class: usize,
    /// The statements that the request executes, each class once, or each class and session where the router
    /// remembers commits.
    pub statements: Vec<ExecutedStatement>,
    /// The sessions whose data the request reads or changes, sorted; 0 stands for an unknown one.
    pub sessions: Vec<u64>,
    /// Those of them whose commits it must see, sorted.
    pub read_sessions: Vec<u64>,
    /// Whether the request changes data.
    pub writes: bool,
    /// The sessions that it changes data for, sorted; 0 stands for an unknown one.
    pub written_sessions: Vec<u64>,
    /// The group that stores the data of the request.
    pub group: u32,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Whether this is a retry by the client.
    pub is_retry: bool,
    /// The id that the client gave the request, which no other pending request may have; empty for none.
    pub external_id: Vec<u8>,
    /// How long the client waits for the answer, counted from the time at which the command was read.
    pub timeout: Micros,
    /// The request in the form in which it is sent to a member.
    pub member_request: MemberRequest,
}

/// The messages of an extended query up to a Sync or a Flush, or a simple query by itself.
pub struct ClientBatch {
    /// When the last byte of the batch was read.
    pub received_at: Micros,
    /// The messages before the Sync or Flush; for a simple query, the Query message.
    pub messages: Vec<Vec<u8>>,
    /// The message that ended the batch.
    pub end: BatchEnd,
    /// Why the batch is refused; its messages were dropped then.
    pub refusal: Option<Refusal>,
}

/// Why a complete command is refused as it is read. The text of the error is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The commands in progress use up the memory.
    #[error("the commands in progress use up the memory: nothing has run, try again")]
    OverBudget,
    /// The connection is closed because the client has not completed a later command in time.
    #[error("the connection is closed: nothing has run, try again")]
    ConnectionClosed,
    /// The process is about to exit.
    #[error("shutting down: nothing has run, try again")]
    ShuttingDown,
}

/// The message that ends a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEnd {
    /// A Sync: the batch is complete.
    Sync,
    /// A Flush: more messages follow before the Sync.
    Flush,
    /// A simple query, which is a batch by itself.
    Query,
}

/// Why the connection of a client was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientCloseReason {
    /// The client closed the connection or sent Terminate.
    ClosedByClient,
    /// The connection carried a cancel request, after which it is always closed.
    CancelRequest,
    /// The client sent bytes that can't be parsed, or did not complete a message in time.
    ProtocolViolation,
    /// The client sent a message that this listener does not support.
    NotSupported,
    /// The proxy is shutting down or out of service, and the connection had no pending request.
    Draining,
    /// The connection was idle, and its capacity was needed for a new client.
    Evicted,
    /// Connections that had made a request used a large part of the process's descriptors, and this one had
    /// been idle for long enough to be closed.
    KeptIdle,
    /// The limit of client connections was reached, and none of them could be evicted.
    TooManyConnections,
    /// The client read its replies too slowly.
    SlowReader,
}

impl ClientCloseReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ClientCloseReason::ClosedByClient => "closed_by_client",
            ClientCloseReason::CancelRequest => "cancel_request",
            ClientCloseReason::ProtocolViolation => "protocol_violation",
            ClientCloseReason::NotSupported => "not_supported",
            ClientCloseReason::Draining => "draining",
            ClientCloseReason::Evicted => "evicted",
            ClientCloseReason::KeptIdle => "kept_idle",
            ClientCloseReason::TooManyConnections => "too_many_connections",
            ClientCloseReason::SlowReader => "slow_reader",
        }
    }
}
