//! A batch of extended-query messages, as a client sent them.

use std::sync::Arc;

/// A statement as a client prepared it. The same text with the same types is one statement at a member,
/// for all clients and names.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// The text, as received.
    pub sql: Vec<u8>,
    /// The parameter types, as received: their count, then their type numbers.
    pub parameter_types: Vec<u8>,
}

/// One message of a batch.
pub enum ExtendedMessage {
    /// The client prepares a statement.
    Parse(Arc<PreparedStatement>),
    /// The client binds a portal, or did so before a Flush.
    Bind {
        /// The name of the portal.
        portal: Vec<u8>,
        /// The statement.
        statement: Arc<PreparedStatement>,
        /// The rest of the message after the names: formats and parameter values, as received.
        arguments: Vec<u8>,
        /// Whether the client expects a BindComplete; not so for a portal that it bound before a Flush.
        reply_forwarded: bool,
    },
    /// The client requests the description of a statement.
    DescribeStatement(Arc<PreparedStatement>),
    /// The client requests the description of a portal, by name.
    DescribePortal(Vec<u8>),
    /// The client executes a portal.
    Execute {
        /// The name of the portal.
        portal: Vec<u8>,
        /// The row limit, as received.
        row_limit: Vec<u8>,
    },
    /// The client closes a portal, by name.
    ClosePortal(Vec<u8>),
    /// The client closes a statement. The member is not notified: it keeps its statements for other clients.
    CloseStatement,
}

/// The extended-query messages of a client up to a Sync or a Flush, executed as one request.
pub struct ExtendedBatch {
    /// The messages, in order.
    pub messages: Vec<ExtendedMessage>,
    /// The batch must not be executed twice: Execute is held back until the member has confirmed all messages
    /// before it.
    pub confirm_before_execute: bool,
}

impl ExtendedBatch {
    /// Whether the batch executes a portal.
    pub fn executes(&self) -> bool {
        self.messages.iter().any(|message| matches!(message, ExtendedMessage::Execute { .. }))
    }
}
