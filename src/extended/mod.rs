//! The extended query protocol on one member connection. The messages of a client up to a Sync or a Flush
//! form an [`ExtendedBatch`]. A [`BatchExecution`] converts the batch to messages for the connection, which
//! has its own prepared statements, and selects which of the member's replies are forwarded to the client.
//!
//! This module does no I/O: the member connection writes the messages of a [`BatchExecution`] and passes it
//! the member's replies.

mod batch;
mod execution;
mod statement_cache;
#[cfg(test)]
mod tests;

pub use batch::{ExtendedBatch, ExtendedMessage, PreparedStatement};
pub use execution::{BatchExecution, Progress};
pub use statement_cache::PreparedStatementCache;
