//! A model of the pages: which members may answer one executed statement, and how often it may be
//! executed. A batch may be answered from the intersection over its statements.

use crate::{Class, Idempotency, Micros, Requirement, Role, Settings, process_pause_margin};

/// A statement that a batch executes.
pub struct Executed {
    pub class: Class,
    /// Of a read of own writes: the position that it must see.
    pub position: Micros,
    /// The highest position that the proxy may demand, as it keeps few commits exactly; 0 for no read of
    /// own writes.
    pub highest_position: Micros,
}

/// A member, and what the router has been told of it.
pub struct Member {
    pub role: Role,
    /// The time up to which the member has applied all commits.
    pub position: Micros,
    /// The highest position that it has reported.
    pub reported: Micros,
    /// Whether it is or was the primary, and no member has told the router of a later one.
    pub passes_for_primary: bool,
    /// Whether it is the last that has told the router that it is the primary.
    pub has_told_primary: bool,
}

impl Executed {
    /// Whether a replica at this position has what the statement must see if it is sent at `at`.
    pub fn holds_at(&self, position: Micros, at: Micros) -> bool {
        match self.class.requirement {
            Requirement::Write | Requirement::Latest => false,
            Requirement::Any => true,
            Requirement::ReadYourWrites => position >= self.position,
            Requirement::BoundedStaleness(bound) => position + bound >= at,
        }
    }

    /// Whether an answer of the member is correct if the statement is sent to it at `at`. Members reject
    /// writes that they can't take, and where they check positions, reads, too.
    pub fn may_be_answered_by(&self, member: &Member, at: Micros, settings: &Settings) -> bool {
        member.passes_for_primary
            || !settings.endpoints_serve_stale()
            || self.class.requirement == Requirement::Write
            || self.holds_at(member.position, at)
    }

    /// Whether the reports of a replica show that it can answer the statement at `at`, a pause of the proxy
    /// included.
    pub fn can_be_answered_by(&self, replica: &Member, at: Micros) -> bool {
        let pause = match self.class.requirement {
            Requirement::BoundedStaleness(bound) => process_pause_margin(bound),
            _ => 0,
        };
        self.holds_at(replica.reported, at + pause) && replica.reported >= self.highest_position
    }

    /// Whether the statement may be executed at `at` if it may have been executed at `first` before.
    pub fn may_run_again(&self, first: Micros, at: Micros) -> bool {
        match self.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => at < first + window,
            Idempotency::AtMostOnce => false,
        }
    }
}
