//! What clients send, as the thread that reads from them hands it over: connection events, and commands with the
//! fields that decisions need already parsed.

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
    /// An opening packet.
    Opening(StartupPacket),
    /// A command, read whole.
    Command(C),
    /// A message that this front does not serve.
    Unsupported,
    /// The client says that it is done.
    Terminate,
    /// A message that breaks the protocol.
    Malformed(ProtocolError),
    /// The connection has ended.
    Disconnected,
}

/// What is asked of the core.
pub struct ParsedRequest {
    /// The class.
    pub class: usize,
    /// It changes data.
    pub writes: bool,
    /// The group.
    pub group: u32,
    /// The session, 0 for none.
    pub session: u64,
    /// The position that a read must see, as time on the core's clock.
    pub after: Option<Micros>,
    /// A client's retry.
    pub repeat: bool,
    /// The request's own name, which no other open request may have; empty for none.
    pub name: Vec<u8>,
    /// How long the client waits.
    pub wait: Micros,
    /// What a member is asked.
    pub work: MemberRequest,
}

/// Messages up to a Sync, a Flush, or a simple query by itself.
pub struct ClientBatch {
    /// When the last byte was read.
    pub at: Micros,
    /// The messages.
    pub messages: Vec<Vec<u8>>,
    /// What ended it: `S`, `H` or `Q`.
    pub end: u8,
}
