//! The errors that end the exchange with the simulator.

use std::io;

/// An error that ends the exchange.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Standard input or output failed.
    #[error("pipe: {0}")]
    Pipe(#[from] io::Error),
    /// The input ended within the header of a batch.
    #[error("truncated: {received} of {expected} header bytes")]
    TruncatedHeader {
        /// The bytes that arrived.
        received: usize,
        /// The bytes of a header.
        expected: usize,
    },
    /// The input ended within the body of a batch.
    #[error("truncated: {received} of {expected} body bytes")]
    TruncatedBody {
        /// The bytes that arrived.
        received: usize,
        /// The bytes given by the header.
        expected: u64,
    },
    /// A record, or the body of a batch, is too short for its fields.
    #[error("truncated: {wanted} bytes wanted, {left} left")]
    TruncatedField {
        /// The bytes of the field.
        wanted: usize,
        /// The bytes that are left.
        left: usize,
    },
    /// A batch continues after its last record.
    #[error("{0} bytes after the last record")]
    TrailingBytes(usize),
    /// The settings of an instance cannot be used.
    #[error("unusable settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// An outcome has an unknown status.
    #[error("status {0} is unknown")]
    Status(u16),
    /// An entry of the endpoint list has an unknown readiness.
    #[error("readiness {0} is unknown")]
    Readiness(u8),
    /// An update refers to a table that was never sent.
    #[error("list {0} was never set up")]
    UnknownTable(u8),
    /// A record is malformed.
    #[error("record {index} (code {code}): {source}")]
    Record {
        /// Its index in the batch.
        index: u32,
        /// Its code.
        code: u8,
        /// What is wrong with it.
        source: Box<WireError>,
    },
}
