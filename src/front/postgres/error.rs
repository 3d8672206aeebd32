//! The errors with which the proxy itself rejects a batch.

use crate::client::Refusal;
use crate::memory_budget::OverBudget;
use crate::pg::sqlstate;

/// The reason why a batch was rejected without a member. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// A message violates the protocol.
    #[error("malformed message")]
    MalformedMessage,
    /// The comment of a statement names a class that does not exist.
    #[error("unknown class")]
    UnknownClass,
    /// Statements that start with this keyword are not supported.
    #[error("{keyword} is not supported on this listener")]
    UnsupportedStatement {
        /// The keyword, in lower case.
        keyword: String,
    },
    /// A Query or Parse message contains more than one statement.
    #[error("one statement a query, please")]
    SeveralStatements,
    /// A statement that writes is in a class of reads.
    #[error("{keyword} in a class that is not for writes")]
    WriteInReadClass {
        /// The keyword, in lower case.
        keyword: String,
    },
    /// The statements of a batch are for different groups.
    #[error("statements of more than one group before a Sync")]
    SeveralGroups,
    /// An Execute follows a Flush that ended the implicit transaction of an earlier Execute at the member.
    #[error("a further execute in a unit that was flushed after one")]
    ExecuteAfterFlush,
    /// The name in a Parse message is in use.
    #[error("a statement of that name exists")]
    DuplicateStatement,
    /// The client has reached the limit on the number or the total length of its prepared statements.
    #[error("too many prepared statements")]
    TooManyStatements,
    /// The text of a statement is too long to be prepared.
    #[error("statement too long to prepare")]
    StatementTooLong,
    /// The client's prepared statements and portals exceed its part of the memory.
    #[error("the prepared statements and portals of this connection exceed its part of the memory")]
    OverMemory(#[from] OverBudget),
    /// The batch was refused as it was read.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// There is no prepared statement of this name.
    #[error("no prepared statement \"{name}\"")]
    UnknownStatement {
        /// The name.
        name: String,
    },
    /// There is no portal of this name.
    #[error("no portal \"{name}\"")]
    UnknownPortal {
        /// The name.
        name: String,
    },
    /// An operator has taken the proxy out of service.
    #[error("out of service")]
    OutOfService,
    /// The batch was refused behind a Flush that has committed an earlier part of its implicit transaction.
    #[error("refused; what came before the Flush has run")]
    RefusedAfterExecution,
}

impl BatchError {
    /// The SQLSTATE that is sent to the client.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            BatchError::MalformedMessage | BatchError::UnknownClass => sqlstate::PROTOCOL_VIOLATION,
            BatchError::UnsupportedStatement { .. }
            | BatchError::SeveralStatements
            | BatchError::WriteInReadClass { .. }
            | BatchError::SeveralGroups
            | BatchError::ExecuteAfterFlush => sqlstate::FEATURE_NOT_SUPPORTED,
            BatchError::DuplicateStatement => sqlstate::DUPLICATE_PREPARED_STATEMENT,
            BatchError::TooManyStatements | BatchError::StatementTooLong => sqlstate::PROGRAM_LIMIT_EXCEEDED,
            BatchError::OverMemory(_) => sqlstate::OUT_OF_MEMORY,
            BatchError::Refused(_) => sqlstate::TOO_MANY_CONNECTIONS,
            BatchError::UnknownStatement { .. } => sqlstate::INVALID_SQL_STATEMENT_NAME,
            BatchError::UnknownPortal { .. } => sqlstate::INVALID_CURSOR_NAME,
            BatchError::OutOfService => sqlstate::CANNOT_CONNECT_NOW,
            BatchError::RefusedAfterExecution => sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
        }
    }

    /// The error to report if an earlier part of the client's implicit transaction has been executed: the
    /// codes of a refusal would say that nothing has.
    pub fn after_execution(self) -> Self {
        match self.sqlstate() {
            sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW => {
                BatchError::RefusedAfterExecution
            }
            _ => self,
        }
    }

    /// Creates the error for a name that no prepared statement has.
    pub fn unknown_statement(name: &[u8]) -> Self {
        BatchError::UnknownStatement { name: String::from_utf8_lossy(name).into_owned() }
    }

    /// Creates the error for a name that no portal has.
    pub fn unknown_portal(name: &[u8]) -> Self {
        BatchError::UnknownPortal { name: String::from_utf8_lossy(name).into_owned() }
    }
}
