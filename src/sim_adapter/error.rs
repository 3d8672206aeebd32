//! The errors of the adapter.

use std::io;

/// An error after which the adapter can't continue the exchange with the simulator.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading standard input or writing standard output failed.
    #[error("standard input or output failed: {0}")]
    Pipe(#[from] io::Error),
    /// The input ended within the header of a batch.
    #[error("truncated header of a batch: got {received} of {expected} bytes")]
    TruncatedHeader {
        /// The number of bytes that were received.
        received: usize,
        /// The size of a header in bytes.
        expected: usize,
    },
    /// The input ended within the body of a batch.
    #[error("truncated body of a batch: got {received} of {expected} bytes")]
    TruncatedBody {
        /// The number of bytes that were received.
        received: usize,
        /// The size in bytes that the header states.
        expected: u64,
    },
    /// A record, or the body of a batch, is too short for its fields.
    #[error("truncated field: got {available} of {field_size} bytes")]
    TruncatedField {
        /// The size of the field in bytes.
        field_size: usize,
        /// The number of bytes that are left in the record or the body.
        available: usize,
    },
    /// The body of a batch continues after its last record.
    #[error("expected the end of the batch after its last record, got {0} more bytes")]
    TrailingBytes(usize),
    /// The settings of an instance can't be used.
    #[error("invalid settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// The result of an attempt has an unknown status.
    #[error("unknown status {0} of an attempt")]
    UnknownStatus(u16),
    /// An entry of a table has an unknown state.
    #[error("unknown state {0} in an entry of a table")]
    UnknownState(u8),
    /// An update refers to a table that was not sent before.
    #[error("the update refers to table {0}, which was not sent before")]
    UnknownTable(u8),
    /// A record is malformed.
    #[error("record {index} (code {code}): {source}")]
    Record {
        /// The index of the record in the batch, from 0.
        index: u32,
        /// The code of the record.
        code: u8,
        /// The error in the record.
        source: Box<WireError>,
    },
}
