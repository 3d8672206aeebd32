//! The SQLSTATE codes that the proxy sends or checks, with the names of PostgreSQL's documentation.

/// The message or the statement violates the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// An operator has taken the proxy out of service.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// The request or the connection was rejected, and nothing has been executed, so that a retry is harmless.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The request failed, and may have been executed.
pub const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";
/// The request failed, and has not been executed.
pub const QUERY_CANCELED: &str = "57014";
/// The listener does not support the statement or the message.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// A prepared statement of that name exists.
pub const DUPLICATE_PREPARED_STATEMENT: &str = "42P05";
/// No prepared statement has that name.
pub const INVALID_SQL_STATEMENT_NAME: &str = "26000";
/// No portal has that name.
pub const INVALID_CURSOR_NAME: &str = "34000";
/// A connection holds more than its part of the memory.
pub const OUT_OF_MEMORY: &str = "53200";
/// A limit of the listener on prepared statements is exceeded.
pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
