//! What a group's clock reads: the clock that its positions and commits are read from.
//!
//! The clock of this host may have been wrong when the program started, and the clock of a member may be
//! stepped at any time. Only the answers of the group's primary, which stands at the present, are evidence.

use crate::{EndpointId, Micros};

/// Positions and commits are rounded to whole milliseconds, in both directions.
const ROUNDING: i64 = 2_000;
/// A difference up to this is skew between clocks, or the age of a load report; beyond it, a clock was stepped.
const MAX_SKEW: i64 = 250_000;
/// A primary's clock must be seen to run for this long before the estimate is lowered.
const CONFIRMATION_TIME: Micros = 250_000;

/// A position that a primary reported.
#[derive(Clone, Copy)]
pub(crate) struct PrimaryPosition {
    pub(crate) endpoint: EndpointId,
    pub(crate) position: Micros,
    /// When the request was sent whose answer holds it; none if the position may be older than the request.
    pub(crate) sent_at: Option<Micros>,
    pub(crate) received_at: Micros,
}

impl PrimaryPosition {
    /// The group's clock is at least this far ahead of the host's.
    fn least_offset(&self) -> i64 {
        offset_between(self.position, self.received_at)
    }

    /// Whether it agrees with the host's clock.
    pub(crate) fn confirms_host(&self) -> bool {
        self.least_offset() <= ROUNDING && self.greatest_offset().is_some_and(|greatest| greatest >= 0)
    }

    /// The group's clock is at most this far ahead of the host's, where that is known.
    fn greatest_offset(&self) -> Option<i64> {
        self.sent_at.map(|sent_at| offset_between(self.position, sent_at) + ROUNDING)
    }
}

/// What is known of a group's clock. An estimate that is too high makes replicas look staler than they are, so
/// it is raised at once and lowered only on confirmed evidence.
#[derive(Clone, Copy, Default)]
pub(crate) enum GroupClock {
    /// The host's own clock, which is known to agree with all members'.
    #[default]
    Host,
    /// Nothing is known: how old a position is can't be told.
    Unknown,
    /// It runs this far ahead of the host's clock.
    Offset {
        /// The difference, negative where it runs behind.
        offset: i64,
        /// Evidence of a lower offset that is not confirmed yet.
        lower: Option<PrimaryPosition>,
    },
}

impl GroupClock {
    /// The time on the group's clock, if known.
    pub(crate) fn present(&self, now: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(now),
            GroupClock::Unknown => None,
            GroupClock::Offset { offset, .. } => Some(now.saturating_add_signed(*offset)),
        }
    }

    /// The time on the host's clock at which the group's clock reads this, if known.
    pub(crate) fn host_time(&self, time: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(time),
            GroupClock::Unknown => None,
            GroupClock::Offset { offset, .. } => Some(time.saturating_add_signed(-*offset)),
        }
    }

    /// The clock that agrees with the host's, as far as its primary has told no other.
    pub(crate) fn agreeing_with_host() -> Self {
        GroupClock::Offset { offset: 0, lower: None }
    }

    /// The highest position that a member of the group can have, if known.
    pub(crate) fn highest_position(&self, now: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(Micros::MAX),
            _ => self.present(now).map(|present| present.saturating_add_signed(MAX_SKEW)),
        }
    }

    /// The estimate that what a primary reported leads to.
    pub(crate) fn updated_by(self, evidence: PrimaryPosition) -> GroupClock {
        match self {
            GroupClock::Host => GroupClock::Host,
            // The host's clock is the first estimate: evidence shows whether it is behind or ahead.
            GroupClock::Unknown => updated(0, None, evidence),
            GroupClock::Offset { offset, lower } => updated(offset, lower, evidence),
        }
    }
}

/// The clock with this offset, or the one that the evidence requires.
fn updated(offset: i64, lower: Option<PrimaryPosition>, evidence: PrimaryPosition) -> GroupClock {
    let (least, greatest) = (evidence.least_offset(), evidence.greatest_offset());
    if least > offset + MAX_SKEW {
        return greatest.map_or(GroupClock::Unknown, |offset| GroupClock::Offset { offset, lower: None });
    }
    if least > offset + ROUNDING {
        return GroupClock::Offset { offset: least, lower: None };
    }
    match greatest {
        None => GroupClock::Offset { offset, lower },
        Some(greatest) if greatest >= offset => GroupClock::Offset { offset, lower: None },
        Some(greatest) => lowered(offset, lower, evidence, greatest),
    }
}

/// Lowers the offset if the same primary has shown it before and its clock has run since. Guards against the
/// last position of a primary that was cut off, which would make replicas that lag look fresh.
fn lowered(
    offset: i64,
    lower: Option<PrimaryPosition>,
    evidence: PrimaryPosition,
    greatest: i64,
) -> GroupClock {
    let restarted = GroupClock::Offset { offset, lower: Some(evidence) };
    let Some(first) = lower.filter(|first| first.endpoint == evidence.endpoint) else { return restarted };
    let elapsed = evidence.sent_at.unwrap_or(0).saturating_sub(first.received_at);
    if elapsed < CONFIRMATION_TIME {
        return GroupClock::Offset { offset, lower };
    }
    let advance = offset_between(evidence.position, first.position);
    if advance + ROUNDING < elapsed as i64 {
        return restarted;
    }
    let confirmed = greatest.max(first.greatest_offset().unwrap_or(greatest));
    GroupClock::Offset { offset: confirmed.min(offset), lower: None }
}

/// How far one time is ahead of another.
fn offset_between(time: Micros, other: Micros) -> i64 {
    time as i64 - other as i64
}
