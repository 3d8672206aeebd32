//! The extended query protocol as one member connection executes it: the messages of a client up to a Sync
//! form an [`ExtendedBatch`], a [`BatchExecution`] turns it into the messages for a connection that has
//! prepared statements of its own, and picks the client's replies out of the member's.
//!
//! No I/O here: a member connection writes what a [`BatchExecution`] holds and hands it the replies.

mod batch;
mod execution;
mod statement_cache;
#[cfg(test)]
mod tests;

pub use batch::{ExtendedBatch, ExtendedMessage, PreparedStatement};
pub use execution::{BatchExecution, Progress};
pub use statement_cache::PreparedStatementCache;
