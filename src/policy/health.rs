//! Decides which endpoints may be used: by their state in the endpoint list, and by outlier ejection.
//!
//! An endpoint whose failure rate stands out is ejected. An ejected endpoint gets single requests as trials
//! and is readmitted when its failure rate has fallen.

use crate::Router;
use crate::model::{Action, EndpointState, Micros, Role};
use crate::state::{EndpointIndex, Failure};

/// The weight of one outcome in the moving failure rate of its endpoint.
const FAILURE_GAIN: f64 = 0.2;
/// The weight of one outcome in the failure rate of an endpoint that is ejected or down. It is higher than
/// [`FAILURE_GAIN`], as such an endpoint gets few attempts.
const TRIAL_GAIN: f64 = 0.5;
/// The weight of one outcome in the failure rate of all endpoints together. It is lower than
/// [`FAILURE_GAIN`], as the attempts at every endpoint count there.
const OVERALL_FAILURE_GAIN: f64 = 0.05;
/// An endpoint is ejected when its failure rate exceeds that of all endpoints by more than this, and
/// readmitted when the excess is at most half of this. Comparing with all endpoints prevents a fault that
/// they share from ejecting them.
pub(super) const EJECTION_THRESHOLD: f64 = 0.35;
/// The shortest wait before the next trial of an ejected endpoint. The wait after a failure is drawn at
/// random between this and twice this, so that the routers do not try the endpoint at the same time.
pub(super) const TRIAL_INTERVAL: Micros = 800_000;
/// The largest share of the requests that may be trials. Trials are likely to fail, so a larger share would
/// spend much of the traffic on faulty endpoints.
pub(super) const TRIAL_SHARE: f64 = 0.1;
/// How long an endpoint must have refused or broken connections before one more refusal marks it as down.
/// Without this wait, a few refused connections would mark a running endpoint as down.
const DOWN_AFTER: Micros = 50_000;

impl Router {
    /// Returns whether the state of an endpoint allows requests to it.
    ///
    /// An endpoint that is listed as removed is still used while it answers, where the settings allow this.
    /// Without this rule, a list that is wrong, stale or empty would take running endpoints out of service.
    /// Where the list is right, the rule costs one attempt.
    pub(crate) fn is_usable(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let may_be_in_service = self.may_serve_though_removed(index) && !endpoint.down;
        endpoint.state == EndpointState::Ready
            || (endpoint.state == EndpointState::Removed && may_be_in_service)
    }

    /// Returns whether an endpoint may be used even if it is listed as removed: the settings allow this, the
    /// endpoint was in the first list or has answered, and it was not listed as draining since it was last
    /// ready.
    pub(super) fn may_serve_though_removed(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        self.settings.removed_endpoints_usable && endpoint.confirmed && !endpoint.was_draining
    }

    /// Returns whether an endpoint is usable and not ejected.
    pub(super) fn is_healthy(&self, index: EndpointIndex) -> bool {
        self.is_usable(index) && !self.topology[index].ejected
    }

    /// Returns whether an endpoint is ejected and its next trial is due.
    pub(super) fn is_trial_due(&self, index: EndpointIndex) -> bool {
        self.topology[index].ejected && self.now >= self.topology[index].next_trial_at
    }

    /// Counts a failed attempt, and ejects the endpoint if its failure rate stands out.
    ///
    /// Plain least-pending selection would prefer a faulty endpoint: one that drops requests, runs on a dead
    /// machine or fails fast has few pending attempts and looks idle.
    pub(super) fn record_failure(&mut self, index: EndpointIndex, failure: Failure) {
        let is_occasional = matches!(failure, Failure::Error | Failure::Lost);
        // No other endpoint can serve the writes, so errors and lost requests do not eject a primary.
        let is_tolerated = is_occasional && self.topology.role(index) == Role::Primary;
        let is_down = failure == Failure::NoConnection && self.topology[index].down;
        self.update_failure_rates(index, true, is_down);
        let endpoint = &mut self.topology[index];
        let threshold = EJECTION_THRESHOLD + self.failure_rate.share();
        if is_tolerated || endpoint.failure_rate.share() <= threshold {
            self.readmit_if_recovered(index);
            return;
        }
        if !endpoint.ejected {
            let (endpoint, cause) = (endpoint.id, failure.to_string());
            self.actions.push(Action::EndpointEjected { endpoint, cause });
        }
        let endpoint = &mut self.topology[index];
        endpoint.ejected = true;
        endpoint.next_trial_at = self.now + TRIAL_INTERVAL + self.random.below(TRIAL_INTERVAL);
    }

    /// Counts a successful attempt, and readmits an ejected endpoint whose failure rate has fallen. If the
    /// endpoint stays ejected, its next trial is due immediately.
    pub(super) fn record_success(&mut self, index: EndpointIndex) {
        self.update_failure_rates(index, false, false);
        if !self.readmit_if_recovered(index) {
            self.topology[index].next_trial_at = self.now;
        }
    }

    /// Records a connection that was refused or broke. A refusal marks the endpoint as down if connections
    /// have failed for longer than [`DOWN_AFTER`], or if the list does not name the endpoint as ready.
    pub(super) fn record_disconnect(&mut self, index: EndpointIndex, refused: bool) {
        let endpoint = &mut self.topology[index];
        if endpoint.disconnected_since == 0 {
            endpoint.disconnected_since = self.now;
        }
        let is_lasting = self.now > endpoint.disconnected_since + DOWN_AFTER;
        endpoint.down |= refused && (is_lasting || endpoint.state != EndpointState::Ready);
        self.record_failure(index, Failure::NoConnection);
    }

    fn update_failure_rates(&mut self, index: EndpointIndex, failed: bool, is_down: bool) {
        let endpoint = &mut self.topology[index];
        let gain = if endpoint.ejected || is_down { TRIAL_GAIN } else { FAILURE_GAIN };
        endpoint.failure_rate.record(failed, gain);
        self.failure_rate.record(failed, OVERALL_FAILURE_GAIN);
    }

    fn readmit_if_recovered(&mut self, index: EndpointIndex) -> bool {
        let endpoint = &mut self.topology[index];
        let threshold = EJECTION_THRESHOLD / 2.0 + self.failure_rate.share();
        let is_readmitted = endpoint.ejected && endpoint.failure_rate.share() <= threshold;
        endpoint.ejected &= !is_readmitted;
        is_readmitted
    }
}
