//! Violations of the protocol by a peer.

/// A violation of the protocol. The text is sent to the client if the client is the one that violates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The length of the startup packet is out of range.
    #[error("opening packet of impossible length")]
    StartupPacketLength,
    /// The startup packet is of an unknown kind.
    #[error("unknown opening packet")]
    UnknownStartupPacket,
    /// A cancel request lacks the key of the connection.
    #[error("cancel request without a key")]
    CancelWithoutKey,
    /// A message of a server has a type that no server sends.
    #[error("message of an unknown type")]
    UnknownReplyType,
    /// A message of a client has a type that is unknown to the listener.
    #[error("unknown message type")]
    UnknownMessageType,
    /// The length of a message is less than the minimum for its type.
    #[error("message shorter than its length field")]
    MessageTooShort,
    /// The length of a message is more than the maximum for its type.
    #[error("message too long")]
    MessageTooLong,
    /// The length of the first value of a row exceeds that of the row.
    #[error("value longer than its row")]
    ValueTooLong,
    /// The text of a query has no terminating zero.
    #[error("query without an end")]
    UnterminatedQuery,
    /// A query contains bytes after the terminating zero of its text.
    #[error("bytes behind the query's end")]
    BytesAfterQuery,
    /// A simple query follows extended-query messages without a Sync between them.
    #[error("a query amid extended messages")]
    QueryWithinBatch,
    /// A message has a body although its type requires an empty one.
    #[error("bytes where none belong")]
    UnexpectedBody,
    /// A batch of extended-query messages has too many bytes or too many messages.
    #[error("too much before a Sync")]
    BatchTooLong,
    /// The incomplete messages of all clients exceed the limit on their total length, and a long one of them
    /// is this client's.
    #[error("too much at once")]
    TooMuchBuffered,
    /// A command did not arrive completely before its deadline.
    #[error("no whole command in time")]
    CommandTimeout,
}
