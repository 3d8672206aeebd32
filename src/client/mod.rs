//! What clients send, as the thread that reads from them hands it over: connection events, and commands with
//! the fields that decisions need already parsed.

mod simple_query;

pub use simple_query::{ParsedQuery, SimpleQuery};

use crate::Micros;
use crate::exchange::MemberRequest;
use crate::pg::{ProtocolError, StartupPacket};

/// The number of a client connection, never used twice.
pub type ClientId = u64;

/// What a client's reader found on the wire.
pub enum ClientEvent<C> {
    /// A new connection, with the secret of its cancel key.
    Connected {
        /// The secret.
        secret: u32,
    },
    /// A startup packet.
    Opening(StartupPacket),
    /// A complete command.
    Command(C),
    /// A message that this front does not support.
    Unsupported,
    /// The client is about to close the connection.
    Terminate,
    /// A message that breaks the protocol.
    Malformed(ProtocolError),
    /// The connection has ended.
    Disconnected,
}

/// A client's request, with what routing needs already parsed.
pub struct ParsedRequest {
    /// The index of the request class.
    pub class: usize,
    /// Whether it changes data.
    pub writes: bool,
    /// The group that holds its data.
    pub group: u32,
    /// The session, 0 for none.
    pub session: u64,
    /// The position that a read must see, as time on the core's clock.
    pub required_position: Option<Micros>,
    /// Whether the client has tried before.
    pub is_retry: bool,
    /// The client's own id of the request, which no other pending request may have; empty for none.
    pub external_id: Vec<u8>,
    /// How long the client waits, counted from when the command was read.
    pub timeout: Micros,
    /// What a member is asked.
    pub member_request: MemberRequest,
}

/// The messages up to a Sync or a Flush, or a simple query by itself.
pub struct ClientBatch {
    /// When the last byte was read.
    pub at: Micros,
    /// The messages.
    pub messages: Vec<Vec<u8>>,
    /// The type of the message that ended it: Sync, Flush or Query.
    pub end: u8,
}
