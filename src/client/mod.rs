//! Client input, as passed on by the thread that reads it: connection events, and commands with
//! the fields that decisions need already parsed.

mod simple_query;

pub use simple_query::{ParsedQuery, SimpleQuery};

use crate::Micros;
use crate::exchange::MemberRequest;
use crate::pg::{ProtocolError, StartupPacket};

/// The id of a client connection; ids are never reused.
pub type ClientId = u64;

/// An event that a client's reader reports.
pub enum ClientEvent<C> {
    /// A new connection, with the secret of its cancel key.
    Connected {
        /// The secret.
        secret: u32,
    },
    /// A startup packet.
    Startup(StartupPacket),
    /// A complete command.
    Command(C),
    /// A message that this front does not support.
    Unsupported,
    /// The client is about to close the connection.
    Terminate,
    /// A message that violates the protocol.
    Malformed(ProtocolError),
    /// The connection has ended.
    Disconnected,
}

/// A client's request, with its routing properties already parsed.
pub struct ParsedRequest {
    /// The index of the request class.
    pub class: usize,
    /// Whether it changes data.
    pub writes: bool,
    /// The group that stores its data.
    pub group: u32,
    /// The session, 0 for none.
    pub session: u64,
    /// The position that a read must see, as time on the core's clock.
    pub required_position: Option<Micros>,
    /// Whether this is a retry by the client.
    pub is_retry: bool,
    /// The client's own id of the request, which no other pending request may have; empty for none.
    pub external_id: Vec<u8>,
    /// How long the client waits, counted from when the command was read.
    pub timeout: Micros,
    /// The request for a member.
    pub member_request: MemberRequest,
}

/// The messages up to a Sync or a Flush, or a simple query by itself.
pub struct ClientBatch {
    /// When the last byte was read.
    pub received_at: Micros,
    /// The messages.
    pub messages: Vec<Vec<u8>>,
    /// The message that ended it.
    pub end: BatchEnd,
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
    /// The client closed it, or sent Terminate.
    ClosedByClient,
    /// It carried a cancel request.
    CancelRequest,
    /// It sent something that can't be parsed, or did not complete a message in time.
    ProtocolViolation,
    /// It sent a message that this listener does not support.
    NotSupported,
    /// The proxy shuts down or is out of service, and the connection was between requests.
    Draining,
    /// Its place was needed for another client.
    Evicted,
    /// Many clients keep idle connections, and this one was idle for long enough.
    KeptIdle,
    /// There was no place for it.
    TooManyConnections,
    /// The client reads its replies too slowly.
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
