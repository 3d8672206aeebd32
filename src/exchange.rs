//! What a request asks of a member, and what the member responded: plain data that the fronts, the core and
//! the member connections share.

use crate::Micros;
use crate::extended::ExtendedBatch;
use std::ops::Range;

/// What a request asks of a member.
pub enum MemberRequest {
    /// A statement as one simple query.
    SimpleQuery {
        /// The text, as received.
        text: Vec<u8>,
        /// Where its comment says how long the client waits: the digits are replaced by what is left of that.
        wait_digits: Option<Range<usize>>,
    },
    /// Extended-query messages up to a Sync or a Flush.
    Extended(ExtendedBatch),
}

/// What a member responded.
pub struct MemberResponse {
    /// The messages for the client, as received, without ReadyForQuery.
    pub bytes: Vec<u8>,
    /// The position of a write's commit, where the member told it.
    pub commit_position: Option<Micros>,
}

/// A span in whole milliseconds, rounded up.
pub fn millis_rounded_up(span: Micros) -> u64 {
    span.div_ceil(1000)
}
