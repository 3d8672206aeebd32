//! Violations of the protocol by a peer.

/// A protocol violation and its reason. The text is sent to the client.
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
    /// A server's message has a type that no server sends.
    #[error("message of an unknown type")]
    UnknownReplyType,
    /// A client's message has a type that no client sends.
    #[error("unknown message type")]
    UnknownMessageType,
    /// A message's length is less than the minimum for its type.
    #[error("message shorter than its length field")]
    MessageTooShort,
    /// A message's length is more than the maximum for its type.
    #[error("message too long")]
    MessageTooLong,
    /// A value's length exceeds that of its row.
    #[error("value longer than its row")]
    ValueTooLong,
    /// A query's text has no terminator.
    #[error("query without an end")]
    UnterminatedQuery,
    /// A query continues after its text's terminator.
    #[error("bytes behind the query's end")]
    BytesAfterQuery,
    /// A simple query arrived before the Sync of a batch.
    #[error("a query amid extended messages")]
    QueryWithinBatch,
    /// A message that has no body has one.
    #[error("bytes where none belong")]
    UnexpectedBody,
    /// A batch of extended-query messages is too long.
    #[error("too much before a Sync")]
    BatchTooLong,
    /// More was sent ahead than is buffered.
    #[error("too much at once")]
    TooMuchBuffered,
    /// A command did not arrive completely in time.
    #[error("no whole command in time")]
    CommandTimeout,
}
