//! A batch of extended-query messages, as a client sent them.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// A statement is prepared with its time left rounded down to this many significant binary digits, a
/// sixteenth less at most. Guards against preparing it anew for each execution.
const TIMEOUT_SIGNIFICANT_BITS: u32 = 5;

/// A statement as a client prepared it. The same text with the same types is one statement at a member,
/// for all clients and names.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// The text, as received.
    pub sql: Vec<u8>,
    /// The parameter types, as received: their count, then their type numbers.
    pub parameter_types: Vec<u8>,
    /// The digits of the client's timeout in its comment: the member is told the time left in their place.
    pub timeout_digits: Option<Range<usize>>,
}

impl PreparedStatement {
    /// The statement as it is prepared for an execution that may take so many milliseconds. Its text is
    /// the same for times that are about the same.
    pub(super) fn with_timeout(self: &Arc<Self>, timeout_ms: u64) -> Arc<PreparedStatement> {
        let Some(digits) = &self.timeout_digits else { return self.clone() };
        let timeout = timeout_ms.to_string();
        let sql = [&self.sql[..digits.start], timeout.as_bytes(), &self.sql[digits.end..]].concat();
        let timeout_digits = Some(digits.start..digits.start + timeout.len());
        Arc::new(PreparedStatement { sql, parameter_types: self.parameter_types.clone(), timeout_digits })
    }
}

/// The milliseconds that a statement is prepared with for an execution with this time left.
pub(super) fn timeout_ms(time_left: Duration) -> u64 {
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let dropped_bits = (u64::BITS - millis.leading_zeros()).saturating_sub(TIMEOUT_SIGNIFICANT_BITS);
    millis >> dropped_bits << dropped_bits
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
        !self.messages_from_execute().is_empty()
    }

    /// The messages before the first Execute; all messages of a batch that executes nothing.
    pub(super) fn messages_before_execute(&self) -> &[ExtendedMessage] {
        &self.messages[..self.first_execute()]
    }

    /// The messages from the first Execute on.
    pub(super) fn messages_from_execute(&self) -> &[ExtendedMessage] {
        &self.messages[self.first_execute()..]
    }

    fn first_execute(&self) -> usize {
        let first =
            self.messages.iter().position(|message| matches!(message, ExtendedMessage::Execute { .. }));
        first.unwrap_or(self.messages.len())
    }
}
