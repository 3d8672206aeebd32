//! How far an endpoint has applied the commits of its group.

use crate::{Micros, StaleReadBehavior};

/// The time constant with which a lag that is not seen again fades: replicas catch up.
const LAG_SPAN: f64 = 3_000_000.0;

/// The replication position of an endpoint: a time up to which it has applied all commits.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReplicationEstimate {
    position: Micros,
    observed_at: Micros,
    lag: f64,
}

impl ReplicationEstimate {
    /// The highest known position; positions never decrease.
    pub(crate) fn known_position(&self) -> Micros {
        self.position
    }

    /// When evidence of the position was last recorded.
    pub(crate) fn observed_at(&self) -> Micros {
        self.observed_at
    }

    /// The position that it is likely to have by now.
    pub(crate) fn estimated_position(&self, now: Micros) -> Micros {
        let fade = (-((now - self.observed_at) as f64) / LAG_SPAN).exp();
        self.position.max(now.saturating_sub((self.lag * fade) as Micros))
    }

    /// The position that it is likely to have when it serves a read, or is known to have where only that is
    /// safe.
    pub(crate) fn expected_position(&self, behavior: StaleReadBehavior, now: Micros) -> Micros {
        match behavior {
            StaleReadBehavior::Serve => self.known_position(),
            StaleReadBehavior::Reject => self.estimated_position(now),
            StaleReadBehavior::WaitThenReject(wait) => self.estimated_position(now) + wait / 2,
        }
    }

    /// Records a position that the endpoint has reported.
    pub(crate) fn record(&mut self, position: Micros, now: Micros) {
        self.position = self.position.max(position);
        self.lag = now.saturating_sub(self.position) as f64;
        self.observed_at = now;
    }

    /// Records that the endpoint had not reached a position yet.
    pub(crate) fn record_missing(&mut self, position: Micros, now: Micros) {
        self.lag = self.lag.max(now.saturating_sub(position) as f64);
        self.observed_at = now;
    }
}
