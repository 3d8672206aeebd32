//! A request for a member and the member's response: plain data that the fronts, the core and
//! the member connections share.

use crate::Micros;
use crate::extended::ExtendedBatch;
use std::ops::Range;

/// The work that a request asks of a member.
pub enum MemberRequest {
    /// A statement as one simple query.
    SimpleQuery {
        /// The text, as received.
        text: Vec<u8>,
        /// The digits of the client's timeout in its comment: they are replaced by the remaining time.
        timeout_digits: Option<Range<usize>>,
    },
    /// Extended-query messages up to a Sync or a Flush.
    Extended(ExtendedBatch),
}

/// The response of a member.
pub struct MemberResponse {
    /// The messages for the client, as received, without ReadyForQuery.
    pub bytes: Vec<u8>,
    /// The position of a write's commit, if the member reported it.
    pub commit_position: Option<Micros>,
}

/// A span in milliseconds, rounded up.
pub fn millis_rounded_up(span: Micros) -> u64 {
    span.div_ceil(1000)
}
