//! Estimates up to which commit of its group an endpoint has applied.

use super::GroupClock;
use crate::{Micros, StaleReadBehavior};

/// The time constant with which the estimated lag decays without new evidence, as replicas catch up.
const LAG_TIME_CONSTANT_US: f64 = 3_000_000.0;

/// The replication position of an endpoint: the time on its group's clock up to which the endpoint has
/// applied all commits.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReplicationEstimate {
    /// The highest reported position; 0 if there is none, or if the last one turned out to be impossible.
    position: Micros,
    /// When evidence was last recorded, on the host's clock.
    observed_at: Micros,
    /// The lag behind the group's clock at `observed_at`, in microseconds.
    lag: f64,
}

impl ReplicationEstimate {
    /// The highest reported position, as positions never decrease. 0 if the group's clock is unknown or has
    /// not reached that position, because the position can't be trusted then.
    pub(crate) fn known_position(&self, clock: GroupClock, now: Micros) -> Micros {
        let is_possible = clock.highest_position(now).is_some_and(|highest| self.position <= highest);
        if is_possible { self.position } else { 0 }
    }

    /// When evidence of the position was last recorded.
    pub(crate) fn observed_at(&self) -> Micros {
        self.observed_at
    }

    /// The position that the endpoint has probably reached by `now`. While the group's clock is unknown, it
    /// is higher than any required position, because there is no evidence that the endpoint lags.
    pub(crate) fn estimated_position(&self, clock: GroupClock, now: Micros) -> Micros {
        let Some(group_time) = clock.group_time(now) else { return Micros::MAX / 2 };
        let decay = (-((now - self.observed_at) as f64) / LAG_TIME_CONSTANT_US).exp();
        let estimated = group_time.saturating_sub((self.lag * decay) as Micros);
        self.known_position(clock, now).max(estimated)
    }

    /// The position to expect when the endpoint serves a read that is sent now. If endpoints serve stale
    /// data, only the known position is safe; otherwise an endpoint that lags rejects the read, and the
    /// estimate suffices.
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

    /// Records a position that the endpoint has reported. Ignores a position that no member of the group can
    /// have reached yet; otherwise the endpoint would count as fresh until the group's clock reaches it.
    pub(crate) fn record(&mut self, position: Micros, clock: GroupClock, now: Micros) {
        self.observed_at = now;
        self.drop_impossible(clock, now);
        if clock.highest_position(now).is_none_or(|highest| position <= highest) {
            self.position = self.position.max(position);
            self.lag =
                clock.group_time(now).map_or(0, |group_time| group_time.saturating_sub(self.position)) as f64;
        }
    }

    /// Records that the endpoint has rejected a read because it had not reached this position.
    pub(crate) fn record_position_not_reached(&mut self, position: Micros, clock: GroupClock, now: Micros) {
        let lag = clock.group_time(now).map_or(0, |group_time| group_time.saturating_sub(position)) as f64;
        self.lag = self.lag.max(lag);
        self.observed_at = now;
    }

    /// Adapts to a new estimate of the group's clock. Resets the lag, which was measured against the former
    /// estimate.
    pub(crate) fn adapt_to_clock(&mut self, clock: GroupClock, now: Micros) {
        self.lag = 0.0;
        self.drop_impossible(clock, now);
    }

    /// Resets the position if no member of the group can have reached it yet.
    fn drop_impossible(&mut self, clock: GroupClock, now: Micros) {
        if clock.highest_position(now).is_some_and(|highest| self.position > highest) {
            self.position = 0;
        }
    }
}
