//! The type bytes of messages and other codes of one byte, with the names of PostgreSQL's documentation.

/// Declares a constant for each type byte, and the table of them.
macro_rules! message_types {
    ($($(#[$doc:meta])* $name:ident = $tag:literal,)*) => {
        $($(#[$doc])* pub const $name: u8 = $tag;)*

        /// All types, in the order of their declaration.
        pub const ALL: &[u8] = &[$($name),*];
    };
}

/// Messages from a client. The parser accepts those of the table `ALL` only.
#[allow(dead_code, reason = "complete for what clients may send, whether or not it is served")]
pub mod frontend {
    message_types! {
        /// Bind: creates a portal.
        BIND = b'B',
        /// Close: closes a statement or a portal.
        CLOSE = b'C',
        /// Describe: requests the description of a statement or a portal.
        DESCRIBE = b'D',
        /// Execute: executes a portal.
        EXECUTE = b'E',
        /// Flush: requests the replies to all messages before it.
        FLUSH = b'H',
        /// FunctionCall: calls a function by its object id.
        FUNCTION_CALL = b'F',
        /// Parse: prepares a statement.
        PARSE = b'P',
        /// Query: a simple query.
        QUERY = b'Q',
        /// Sync: ends a batch of extended-query messages.
        SYNC = b'S',
        /// Terminate: the client is about to close the connection.
        TERMINATE = b'X',
    }
}

/// Messages from a server.
pub mod backend {
    /// AuthenticationOk and other authentication messages.
    pub const AUTHENTICATION: u8 = b'R';
    /// BackendKeyData: the key for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// BindComplete.
    pub const BIND_COMPLETE: u8 = b'2';
    /// CloseComplete.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// CommandComplete.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// DataRow.
    pub const DATA_ROW: u8 = b'D';
    /// EmptyQueryResponse.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// ErrorResponse.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// NegotiateProtocolVersion.
    pub const NEGOTIATE_PROTOCOL_VERSION: u8 = b'v';
    /// NoData: the described statement or portal returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// NoticeResponse.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// ParameterDescription.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// ParameterStatus.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// ParseComplete.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// PortalSuspended: an Execute stopped at its row limit.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// ReadyForQuery.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// RowDescription.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// The transaction status in a ReadyForQuery.
pub mod transaction_status {
    /// Outside of any transaction.
    pub const IDLE: u8 = b'I';
    /// Within a transaction.
    pub const IN_TRANSACTION: u8 = b'T';
    /// Within a transaction that has failed.
    pub const FAILED: u8 = b'E';
}

/// The fields of an ErrorResponse or a NoticeResponse.
pub mod error_fields {
    /// The severity, which a server may translate.
    pub const SEVERITY: u8 = b'S';
    /// The severity, never translated.
    pub const SEVERITY_UNTRANSLATED: u8 = b'V';
    /// The SQLSTATE.
    pub const SQLSTATE: u8 = b'C';
    /// The text of the error or notice.
    pub const MESSAGE: u8 = b'M';
    /// The detail. The proxy sends the retry delay in milliseconds in it.
    pub const DETAIL: u8 = b'D';
}

/// The target of a Describe or a Close message.
pub mod describe_targets {
    /// A prepared statement.
    pub const STATEMENT: u8 = b'S';
    /// A portal.
    pub const PORTAL: u8 = b'P';
}
