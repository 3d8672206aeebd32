//! Estimates the clock of a group, by which its members report replication positions and commit times.
//!
//! The clock of this host may have been wrong when the program started, and the clock of a member may be
//! stepped at any time. Only what the group's primary reports is evidence, because the position of a primary
//! is the current time on its clock; the position of a replica may lag by any amount.

use crate::{EndpointId, Micros};

/// The tolerance for rounding: positions are rounded down and commits rounded up to whole milliseconds.
const ROUNDING_US: i64 = 2_000;
/// The largest difference that clock skew or the age of a load report explains. After a larger one, a clock
/// counts as stepped.
const MAX_SKEW_US: i64 = 250_000;
/// How long a primary's clock must be observed to run before its evidence lowers the estimate.
const CONFIRMATION_TIME: Micros = 250_000;

/// The replication position that a primary reported: the time on its clock when it made the report.
#[derive(Clone, Copy)]
pub(crate) struct PrimaryPosition {
    pub(crate) endpoint: EndpointId,
    pub(crate) position: Micros,
    /// When the request was sent whose answer reported the position, on the host's clock; `None` if the
    /// position may be older than the request.
    pub(crate) sent_at: Option<Micros>,
    /// When the report was received, on the host's clock.
    pub(crate) received_at: Micros,
}

impl PrimaryPosition {
    /// The lower bound of the offset: the group's clock read `position` no later than `received_at`.
    fn least_offset(&self) -> i64 {
        offset_between(self.position, self.received_at)
    }

    /// Whether the report is consistent with a group's clock that agrees with the host's clock.
    pub(crate) fn confirms_host(&self) -> bool {
        self.least_offset() <= ROUNDING_US && self.greatest_offset().is_some_and(|greatest| greatest >= 0)
    }

    /// The upper bound of the offset: the group's clock read `position` no earlier than `sent_at`. `None`
    /// without `sent_at`.
    fn greatest_offset(&self) -> Option<i64> {
        self.sent_at.map(|sent_at| offset_between(self.position, sent_at) + ROUNDING_US)
    }
}

/// The estimate of how far a group's clock is ahead of the host's, in microseconds; negative if it is behind.
///
/// An estimate that is too low makes lagging replicas look fresh; one that is too high makes replicas look
/// staler than they are. So a single report raises the estimate, but only confirmed evidence lowers it.
#[derive(Clone, Copy)]
pub(crate) struct ClockOffset {
    offset: i64,
    /// Whether a primary's answer has shown that the true offset is not higher.
    is_bounded: bool,
    /// Evidence of a lower offset that a later report of the same primary has yet to confirm.
    lower: Option<PrimaryPosition>,
}

/// The estimate of a group's clock.
#[derive(Clone, Copy, Default)]
pub(crate) enum GroupClock {
    /// The host's own clock, which is known to agree with the clocks of all members.
    #[default]
    Host,
    /// No estimate: the age of a position can't be determined.
    Unknown,
    /// A clock at an estimated offset from the host's clock.
    Offset(ClockOffset),
}

impl GroupClock {
    /// The assumed clock of a group whose primary has not answered, after the primary of another group has
    /// confirmed the host's clock.
    pub(crate) fn agreeing_with_host() -> Self {
        GroupClock::Offset(ClockOffset::bounded(0))
    }

    /// The time on the group's clock, if known.
    pub(crate) fn group_time(&self, now: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(now),
            GroupClock::Unknown => None,
            GroupClock::Offset(estimate) => Some(now.saturating_add_signed(estimate.offset)),
        }
    }

    /// The time on the host's clock at which the group's clock reads `time`, if known.
    pub(crate) fn host_time(&self, time: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(time),
            GroupClock::Unknown => None,
            GroupClock::Offset(estimate) => Some(time.saturating_add_signed(-estimate.offset)),
        }
    }

    /// The latest time on the host's clock at which the group's clock may read `time`: the one that follows
    /// from the lowest possible offset. `None` if no evidence bounds the offset.
    pub(crate) fn latest_host_time(&self, time: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(time),
            GroupClock::Unknown => None,
            GroupClock::Offset(estimate) => estimate.least().map(|least| time.saturating_add_signed(-least)),
        }
    }

    /// How far the group's clock is ahead of the host's clock, in microseconds, if known.
    pub(crate) fn offset(&self) -> Option<i64> {
        match self {
            GroupClock::Host => Some(0),
            GroupClock::Unknown => None,
            GroupClock::Offset(estimate) => Some(estimate.offset),
        }
    }

    /// Whether this estimate differs from an earlier one by more than clock skew explains. An unknown earlier
    /// clock counts as one that agrees with the host's clock.
    pub(crate) fn is_step_from(&self, before: GroupClock) -> bool {
        let former = before.offset().unwrap_or(0);
        match self.offset() {
            None => before.offset().is_some(),
            Some(offset) => (offset - former).abs() > MAX_SKEW_US,
        }
    }

    /// The highest position that a member of the group can have reached, if known.
    pub(crate) fn highest_position(&self, now: Micros) -> Option<Micros> {
        match self {
            GroupClock::Host => Some(Micros::MAX),
            _ => self.group_time(now).map(|group_time| group_time.saturating_add_signed(MAX_SKEW_US)),
        }
    }

    /// Returns the estimate that takes this report of a primary into account.
    pub(crate) fn updated_by(self, evidence: PrimaryPosition) -> GroupClock {
        match self {
            GroupClock::Host => GroupClock::Host,
            // The first estimate is the host's clock; the report raises or lowers it.
            GroupClock::Unknown => {
                ClockOffset { offset: 0, is_bounded: false, lower: None }.updated_by(evidence)
            }
            GroupClock::Offset(estimate) => estimate.updated_by(evidence),
        }
    }
}

impl ClockOffset {
    /// An estimate for which a primary's answer has shown that the true offset is not higher.
    fn bounded(offset: i64) -> Self {
        ClockOffset { offset, is_bounded: true, lower: None }
    }

    /// The lowest offset that the evidence allows, counting unconfirmed evidence; `None` without evidence.
    fn least(&self) -> Option<i64> {
        let unconfirmed = self.lower.and_then(|lower| lower.greatest_offset());
        unconfirmed.or(self.is_bounded.then_some(self.offset))
    }

    fn updated_by(self, evidence: PrimaryPosition) -> GroupClock {
        let (least, greatest) = (evidence.least_offset(), evidence.greatest_offset());
        if least > self.offset + MAX_SKEW_US {
            let stepped = greatest.map(|greatest| GroupClock::Offset(ClockOffset::bounded(greatest)));
            return stepped.unwrap_or(GroupClock::Unknown);
        }
        GroupClock::Offset(if least > self.offset + ROUNDING_US {
            ClockOffset { offset: least, lower: None, ..self }
        } else {
            match greatest {
                None => self,
                Some(greatest) if greatest >= self.offset => ClockOffset::bounded(self.offset),
                Some(greatest) => self.lowered_by(evidence, greatest),
            }
        })
    }

    /// Lowers the offset if the same primary has shown a lower one at least [`CONFIRMATION_TIME`] before, and
    /// its clock has run since. Without this check, the last position of a primary that was cut off from its
    /// group would lower the offset, and lagging replicas would look fresh.
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
        if advance + ROUNDING_US < elapsed as i64 {
            return restarted;
        }
        ClockOffset::bounded(greatest.max(first.greatest_offset().unwrap_or(greatest)))
    }
}

/// How far `time` is ahead of `other`, in microseconds; negative if it is behind.
fn offset_between(time: Micros, other: Micros) -> i64 {
    time as i64 - other as i64
}
