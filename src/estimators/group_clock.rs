//! What a group's clock reads: the clock that its positions and commits are read from.
//!
//! The clock of this host may have been wrong when the program started, and the clock of a member may be
//! stepped at any time. Only the answers of the group's primary, which stands at the present, are evidence.

use crate::{EndpointId, Micros};

/// Positions and commits are rounded to whole milliseconds, in both directions.
const ROUNDING: i64 = 2_000;
/// A difference up to this is skew between clocks, or the age of a load report; beyond it, a clock was
/// stepped.
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

/// How far a group's clock is ahead of the host's; negative where it is behind. An estimate that is too high
/// makes replicas look staler than they are, so it is raised at once and lowered only on confirmed evidence.
#[derive(Clone, Copy)]
pub(crate) struct ClockOffset {
    offset: i64,
    /// A primary's answer has shown that it is not higher.
    is_bounded: bool,
    /// Evidence of a lower offset that is not confirmed yet.
    lower: Option<PrimaryPosition>,
}

/// What is known of a group's clock.
#[derive(Clone, Copy, Default)]
pub(crate) enum GroupClock {
    /// The host's own clock, which is known to agree with all members'.
    #[default]
    Host,
    /// Nothing is known: how old a position is can't be told.
    Unknown,
    /// It differs from the host's clock.
    Offset(ClockOffset),
}

impl GroupClock {
    /// The clock of a group whose primary has not answered, once the host's clock has been found right.
    pub(crate) fn agreeing_with_host() -> Self {
        GroupClock::Offset(ClockOffset::bounded(0))
    }

    /// The time on the group's clock, if known.
    pub(crate) fn group_time(&self, now: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(now),
            GroupClock::Unknown => None,
            GroupClock::Offset(ahead) => Some(now.saturating_add_signed(ahead.offset)),
        }
    }

    /// The time on the host's clock at which the group's clock reads this, if known.
    pub(crate) fn host_time(&self, time: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(time),
            GroupClock::Unknown => None,
            GroupClock::Offset(ahead) => Some(time.saturating_add_signed(-ahead.offset)),
        }
    }

    /// The latest time on the host's clock at which the group's clock may read this, if known.
    pub(crate) fn latest_host_time(&self, time: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(time),
            GroupClock::Unknown => None,
            GroupClock::Offset(ahead) => ahead.least().map(|least| time.saturating_add_signed(-least)),
        }
    }

    /// How far it is ahead of the host's clock, in microseconds, if known.
    pub(crate) fn offset(&self) -> Option<i64> {
        match self {
            GroupClock::Host => Some(0),
            GroupClock::Unknown => None,
            GroupClock::Offset(ahead) => Some(ahead.offset),
        }
    }

    /// Whether it differs from this earlier estimate by more than skew explains. Before the first estimate it
    /// was taken to agree with the host's clock.
    pub(crate) fn is_step_from(&self, before: GroupClock) -> bool {
        let former = before.offset().unwrap_or(0);
        match self.offset() {
            None => before.offset().is_some(),
            Some(offset) => (offset - former).abs() > MAX_SKEW,
        }
    }

    /// The highest position that a member of the group can have, if known.
    pub(crate) fn highest_position(&self, now: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(Micros::MAX),
            _ => self.group_time(now).map(|present| present.saturating_add_signed(MAX_SKEW)),
        }
    }

    /// The estimate that what a primary reported leads to.
    pub(crate) fn updated_by(self, evidence: PrimaryPosition) -> GroupClock {
        match self {
            GroupClock::Host => GroupClock::Host,
            // The host's clock is the first estimate: evidence shows whether it is behind or ahead.
            GroupClock::Unknown => {
                ClockOffset { offset: 0, is_bounded: false, lower: None }.updated_by(evidence)
            }
            GroupClock::Offset(ahead) => ahead.updated_by(evidence),
        }
    }
}

impl ClockOffset {
    /// An offset that is known not to be higher.
    fn bounded(offset: i64) -> Self {
        ClockOffset { offset, is_bounded: true, lower: None }
    }

    /// The least offset that evidence allows, if there is any.
    fn least(&self) -> Option<i64> {
        let unconfirmed = self.lower.and_then(|lower| lower.greatest_offset());
        unconfirmed.or(self.is_bounded.then_some(self.offset))
    }

    fn updated_by(self, evidence: PrimaryPosition) -> GroupClock {
        let (least, greatest) = (evidence.least_offset(), evidence.greatest_offset());
        if least > self.offset + MAX_SKEW {
            let stepped = greatest.map(|greatest| GroupClock::Offset(ClockOffset::bounded(greatest)));
            return stepped.unwrap_or(GroupClock::Unknown);
        }
        GroupClock::Offset(if least > self.offset + ROUNDING {
            ClockOffset { offset: least, lower: None, ..self }
        } else {
            match greatest {
                None => self,
                Some(greatest) if greatest >= self.offset => ClockOffset::bounded(self.offset),
                Some(greatest) => self.lowered_by(evidence, greatest),
            }
        })
    }

    /// Lowers the offset if the same primary has shown it before and its clock has run since. Guards against
    /// the last position of a primary that was cut off, which would make replicas that lag look fresh.
    fn lowered_by(self, evidence: PrimaryPosition, greatest: i64) -> Self {
        let restarted = ClockOffset { lower: Some(evidence), ..self };
        let Some(first) = self.lower.filter(|first| first.endpoint == evidence.endpoint) else {
            return restarted;
        };
        let elapsed = evidence.sent_at.unwrap_or(0).saturating_sub(first.received_at);
        if elapsed < CONFIRMATION_TIME {
            return self;
        }
        let advance = offset_between(evidence.position, first.position);
        if advance + ROUNDING < elapsed as i64 {
            return restarted;
        }
        ClockOffset::bounded(greatest.max(first.greatest_offset().unwrap_or(greatest)))
    }
}

/// How far one time is ahead of another.
fn offset_between(time: Micros, other: Micros) -> i64 {
    time as i64 - other as i64
}
