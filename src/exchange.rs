//! The requests to members and their responses. Fronts create the requests, the core passes both on without
//! inspecting them, and member connections carry the requests out.

use crate::Micros;
use crate::extended::ExtendedBatch;
use crate::memory_budget::HeldBytes;
use std::ops::Range;

/// The work that a member does for a client's request.
pub enum MemberRequest {
    /// A statement that is sent as a simple query.
    SimpleQuery {
        /// The statement, as received from the client.
        text: Vec<u8>,
        /// The range of the timeout's digits in the statement's comment. They are replaced by the time that
        /// is left when the query is sent.
        timeout_digits: Option<Range<usize>>,
    },
    /// The messages of the extended query protocol up to a Sync or a Flush.
    Extended(ExtendedBatch),
}

/// A member's response to a request.
pub struct MemberResponse {
    /// The messages for the client, as received, without ReadyForQuery.
    pub bytes: Vec<u8>,
    /// The replication position that the member reported: of a write, its commit; of a read, the position up
    /// to which the member had applied commits, which may be behind those of the client's session.
    pub position: Option<Micros>,
    /// Counts the bytes in the budget of all responses until the response is dropped.
    #[expect(dead_code, reason = "it is dropped")]
    pub held: Option<HeldBytes>,
}

/// Converts a duration to milliseconds, rounding up.
pub fn millis_rounded_up(duration: Micros) -> u64 {
    duration.div_ceil(1000)
}
