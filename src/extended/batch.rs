//! A batch of extended-query messages that is executed on a member.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// The number of significant binary digits to which the timeout in a statement's text is rounded down, which
/// subtracts at most a sixteenth. Without the rounding, almost every execution would have a timeout and thus
/// a text of its own, and would have to prepare the statement again.
const TIMEOUT_SIGNIFICANT_BITS: u32 = 5;

/// A statement that a client prepared. Statements with the same text and parameter types are one statement at
/// a member, whichever clients prepared them and under which names.
#[derive(Debug, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// The text, as the client sent it or with another timeout in it.
    pub sql: Vec<u8>,
    /// The parameter types, as in a Parse message: their count, then their type numbers.
    pub parameter_types: Vec<u8>,
    /// The byte range in `sql` of the timeout's digits, which are replaced by the time left when the
    /// statement is prepared at a member. `None` if the text contains no timeout.
    pub timeout_digits: Option<Range<usize>>,
}

impl PreparedStatement {
    /// The length of the text and the parameter types.
    pub fn bytes(&self) -> usize {
        self.sql.len() + self.parameter_types.len()
    }

    /// Returns the statement with `timeout_ms` as the timeout in its text. A statement without a timeout
    /// stays as it is.
    pub(super) fn with_timeout(self: &Arc<Self>, timeout_ms: u64) -> Arc<PreparedStatement> {
        let Some(digits) = &self.timeout_digits else { return self.clone() };
        let timeout = timeout_ms.to_string();
        let sql = [&self.sql[..digits.start], timeout.as_bytes(), &self.sql[digits.end..]].concat();
        let timeout_digits = Some(digits.start..digits.start + timeout.len());
        Arc::new(PreparedStatement { sql, parameter_types: self.parameter_types.clone(), timeout_digits })
    }
}

/// The timeout, in milliseconds, of statements that are prepared for an execution with this time left:
/// `time_left` rounded down to [`TIMEOUT_SIGNIFICANT_BITS`].
pub(super) fn timeout_ms(time_left: Duration) -> u64 {
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let dropped_bits = (u64::BITS - millis.leading_zeros()).saturating_sub(TIMEOUT_SIGNIFICANT_BITS);
    millis >> dropped_bits << dropped_bits
}

/// One message of a batch.
pub enum ExtendedMessage {
    /// The client prepares a statement.
    Parse(Arc<PreparedStatement>),
    /// The client binds a portal, or uses one that it bound before a Flush and that is bound again because
    /// the Flush ended it at the member.
    Bind {
        /// The name of the portal.
        portal: Vec<u8>,
        /// The statement that the portal executes.
        statement: Arc<PreparedStatement>,
        /// The part of the Bind message after the names: formats and parameter values, as received.
        arguments: Arc<[u8]>,
        /// Whether the member's BindComplete is forwarded to the client. `false` for a portal that is bound
        /// again after a Flush, because the client has received its BindComplete.
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
        /// The row limit, as received: 32 bits, big-endian.
        row_limit: Vec<u8>,
    },
    /// The client closes a portal, by name.
    ClosePortal(Vec<u8>),
    /// The client closes a statement, or a portal that the member does not have. Nothing is sent to the
    /// member, which keeps its prepared statements for other clients; the proxy sends the CloseComplete.
    CloseStatement,
}

/// The extended-query messages of a client up to a Sync or a Flush, which are executed as one request.
pub struct ExtendedBatch {
    /// The messages, in order.
    pub messages: Vec<ExtendedMessage>,
    /// Whether the first Execute is sent only after the member has confirmed all messages before it. Set for
    /// a batch that must not be executed twice: if the connection fails before the Execute, nothing has been
    /// executed and the batch can be retried.
    pub confirm_before_execute: bool,
}

impl ExtendedBatch {
    /// Whether the batch executes a portal.
    pub fn executes(&self) -> bool {
        !self.messages_from_execute().is_empty()
    }

    /// The messages before the first Execute; all messages of a batch without an Execute.
    pub(super) fn messages_before_execute(&self) -> &[ExtendedMessage] {
        &self.messages[..self.first_execute()]
    }

    /// The messages from the first Execute on; none for a batch without an Execute.
    pub(super) fn messages_from_execute(&self) -> &[ExtendedMessage] {
        &self.messages[self.first_execute()..]
    }

    /// The index of the first Execute; the number of messages if there is none.
    fn first_execute(&self) -> usize {
        let first =
            self.messages.iter().position(|message| matches!(message, ExtendedMessage::Execute { .. }));
        first.unwrap_or(self.messages.len())
    }
}
