//! The extended query protocol as one member connection executes it: the messages of a client up to a Sync
//! form an [`ExtendedBatch`], a [`BatchExecution`] turns it into the messages for a connection that has
//! its own prepared statements, and selects the client's replies from the member's.
//!
//! No I/O here: a member connection writes the messages of a [`BatchExecution`] and passes it the replies.

mod batch;
mod execution;
mod statement_cache;
#[cfg(test)]
mod tests;

pub use batch::{ExtendedBatch, ExtendedMessage, PreparedStatement};
pub use execution::{BatchExecution, Progress};
pub use statement_cache::PreparedStatementCache;
