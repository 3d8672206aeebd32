//! The counters that operators see.

use super::{FinalAnswer, RecordKind};
use std::collections::BTreeMap;

/// The final answers given to requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
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

/// The members in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members in the list that are not removed.
    pub listed: usize,
    /// Those of them that get no requests at present.
    pub unavailable: usize,
}

/// The reducer's counters since the start, and its current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The final answers, for each class by index.
    pub answers: Vec<AnswerCounts>,
    /// Requests of a known class that were received.
    pub received: u64,
    /// Requests whose client disconnected before the answer.
    pub abandoned: u64,
    /// Attempts that were written to members, up to their last byte.
    pub attempts_written: u64,
    /// Requests that still wait for their final answer.
    pub pending: usize,
    /// The members.
    pub members: MemberCounts,
    /// The records of each kind, by their reason.
    pub records: BTreeMap<(RecordKind, &'static str), u64>,
    /// The revision of the endpoint list in use.
    pub list_revision: u64,
}

impl Counters {
    /// Counters for this many classes, all zero.
    pub(super) fn new(classes: usize) -> Self {
        Counters { answers: vec![AnswerCounts::default(); classes], ..Counters::default() }
    }

    /// Counts a record.
    pub fn count(&mut self, key: (RecordKind, &'static str)) {
        *self.records.entry(key).or_default() += 1;
    }
}
