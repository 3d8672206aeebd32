//! The counters that the admin listener publishes as metrics.

use super::{FinalAnswer, RecordKind};
use crate::RoutingCounts;
use std::collections::BTreeMap;

/// The number of requests of one class by their final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that were answered with a member's response.
    pub served: u64,
    /// Requests that were rejected; a retry of them is harmless.
    pub rejected: u64,
    /// Requests that failed, some of which a member may have executed.
    pub failed: u64,
}

impl AnswerCounts {
    /// Counts one final answer.
    pub(super) fn count<A>(&mut self, answer: &FinalAnswer<A>) {
        match answer {
            FinalAnswer::Served(_) => self.served += 1,
            FinalAnswer::Rejected { .. } => self.rejected += 1,
            FinalAnswer::Failed { .. } => self.failed += 1,
        }
    }
}

/// The number of members in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members that the list has not removed.
    pub listed: usize,
    /// The listed members that the router currently sends no requests.
    pub unavailable: usize,
}

/// The reducer's totals since the start of the proxy, and gauges of its current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The final answers of each class, by the index of the class.
    pub answers: Vec<AnswerCounts>,
    /// Requests of a known class that were received.
    pub received: u64,
    /// Requests whose client disconnected or cancelled before the final answer.
    pub abandoned: u64,
    /// Attempts whose last byte was written to a member.
    pub attempts_written: u64,
    /// Requests that have no final answer yet.
    pub pending: usize,
    /// How the router routed the requests.
    pub routing: RoutingCounts,
    /// The members, as the router sees them.
    pub members: MemberCounts,
    /// The number of records, by their kind and reason.
    pub records: BTreeMap<(RecordKind, &'static str), u64>,
    /// The revision of the endpoint list in use.
    pub list_revision: u64,
}

impl Counters {
    /// Counters for this many classes, all zero.
    pub(super) fn new(classes: usize) -> Self {
        Counters { answers: vec![AnswerCounts::default(); classes], ..Counters::default() }
    }

    /// Counts a record under its [`Record::key`](super::Record::key).
    pub fn count(&mut self, key: (RecordKind, &'static str)) {
        *self.records.entry(key).or_default() += 1;
    }
}
