//! How far an endpoint has applied the commits of its group.

use super::GroupClock;
use crate::{Micros, StaleReadBehavior};

/// The time constant with which a lag that is not seen again fades: replicas catch up.
const LAG_SPAN: f64 = 3_000_000.0;

/// The replication position of an endpoint: a time on its group's clock up to which it has applied all
/// commits.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReplicationEstimate {
    position: Micros,
    observed_at: Micros,
    lag: f64,
}

impl ReplicationEstimate {
    /// The highest known position; positions never decrease. 0 while the group's clock is unknown, as nothing
    /// shows then whether the position is possible.
    pub(crate) fn known_position(&self, clock: GroupClock, now: Micros) -> Micros {
        let is_possible = clock.highest_position(now).is_some_and(|highest| self.position <= highest);
        if is_possible { self.position } else { 0 }
    }

    /// When evidence of the position was last recorded.
    pub(crate) fn observed_at(&self) -> Micros {
        self.observed_at
    }

    /// The position that it is likely to have by now; the highest where the group's clock is unknown, as
    /// nothing shows that it lags.
    pub(crate) fn estimated_position(&self, clock: GroupClock, now: Micros) -> Micros {
        let Some(present) = clock.group_time(now) else { return Micros::MAX / 2 };
        let fade = (-((now - self.observed_at) as f64) / LAG_SPAN).exp();
        let faded = present.saturating_sub((self.lag * fade) as Micros);
        self.known_position(clock, now).max(faded)
    }

    /// The position that it is likely to have when it serves a read, or is known to have where only that is
    /// safe.
    pub(crate) fn expected_position(
        &self,
        behavior: StaleReadBehavior,
        clock: GroupClock,
        now: Micros,
    ) -> Micros {
        match behavior {
            StaleReadBehavior::Serve => self.known_position(clock, now),
            StaleReadBehavior::Reject => self.estimated_position(clock, now),
            StaleReadBehavior::WaitThenReject(wait) => self.estimated_position(clock, now) + wait / 2,
        }
    }

    /// Records a position that the endpoint has reported. One that no member can have reached yet is dropped:
    /// it would count as fresh until the group's clock reaches it.
    pub(crate) fn record(&mut self, position: Micros, clock: GroupClock, now: Micros) {
        self.observed_at = now;
        self.drop_impossible(clock, now);
        if clock.highest_position(now).is_none_or(|highest| position <= highest) {
            self.position = self.position.max(position);
            self.lag =
                clock.group_time(now).map_or(0, |present| present.saturating_sub(self.position)) as f64;
        }
    }

    /// Records that the endpoint had not reached a position yet.
    pub(crate) fn record_position_not_reached(&mut self, position: Micros, clock: GroupClock, now: Micros) {
        let lag = clock.group_time(now).map_or(0, |present| present.saturating_sub(position)) as f64;
        self.lag = self.lag.max(lag);
        self.observed_at = now;
    }

    /// Adapts to a group's clock that has been found to read another time: a lag that was measured by the
    /// former one tells nothing.
    pub(crate) fn adapt_to_clock(&mut self, clock: GroupClock, now: Micros) {
        self.lag = 0.0;
        self.drop_impossible(clock, now);
    }

    fn drop_impossible(&mut self, clock: GroupClock, now: Micros) {
        if clock.highest_position(now).is_some_and(|highest| self.position > highest) {
            self.position = 0;
        }
    }
}
