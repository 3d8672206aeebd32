//! Which endpoints may be used: endpoint list states, outlier ejection, and trials.

use crate::Router;
use crate::model::{Action, EndpointState, Micros, Role};
use crate::state::{EndpointIndex, Failure};

/// The weight of one outcome in the failure rate of its endpoint.
const FAILURE_GAIN: f64 = 0.2;
/// The weight of one outcome in the failure rate of an endpoint that is ejected or was found to be down.
/// It is higher than [`FAILURE_GAIN`], as such an endpoint gets few attempts.
const TRIAL_GAIN: f64 = 0.5;
/// The weight of one outcome in the failure rate of all endpoints. It is lower than [`FAILURE_GAIN`], as
/// every attempt counts there.
const OVERALL_FAILURE_GAIN: f64 = 0.05;
/// How far an endpoint's failure rate may be above that of all endpoints before it is ejected. It is
/// readmitted at half of that. Guards against ejection for a fault that all endpoints share.
pub(super) const EJECTION_THRESHOLD: f64 = 0.35;
/// The shortest wait before the next trial of an ejected endpoint; the longest is twice that, drawn at
/// random so that routers do not try it at the same time.
pub(super) const TRIAL_INTERVAL: Micros = 800_000;
/// The part of the requests that may be trials. Guards against spending much of the traffic on endpoints
/// that are likely to fail.
pub(super) const TRIAL_SHARE: f64 = 0.1;
/// How long an endpoint must have refused or broken connections before one more refusal shows that it is
/// down. Guards against taking a few refusals for the end of its process.
const DOWN_AFTER: Micros = 50_000;

impl Router {
    /// Departure: where only draining binds, an endpoint that is listed as removed is used while it answers.
    /// Guards against lists that are wrong, stale or empty; costs an attempt where the list is right.
    pub(crate) fn is_usable(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        let may_be_in_service = self.may_serve_though_removed(index) && !endpoint.down;
        endpoint.state == EndpointState::Ready
            || (endpoint.state == EndpointState::Removed && may_be_in_service)
    }

    /// Whether an endpoint that is listed as removed may still be used.
    pub(super) fn may_serve_though_removed(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.topology[index];
        self.settings.removed_endpoints_usable && endpoint.confirmed && !endpoint.was_draining
    }

    /// Whether an endpoint may be used and is not ejected.
    pub(super) fn is_healthy(&self, index: EndpointIndex) -> bool {
        self.is_usable(index) && !self.topology[index].ejected
    }

    /// Whether an ejected endpoint may get its next trial.
    pub(super) fn is_trial_due(&self, index: EndpointIndex) -> bool {
        self.topology[index].ejected && self.now >= self.topology[index].next_trial_at
    }

    /// Departure: an endpoint whose failures stand out is ejected and readmitted by single trials. Guards
    /// against black holes, dead machines and fast failures, which all look idle to a pending count.
    pub(super) fn record_failure(&mut self, index: EndpointIndex, failure: Failure) {
        let is_occasional = matches!(failure, Failure::Error | Failure::Lost);
        // A primary with occasional errors still does what no other endpoint can.
        let is_needed = is_occasional && self.topology.role(index) == Role::Primary;
        let is_down = failure == Failure::NoConnection && self.topology[index].down;
        self.update_failure_rates(index, true, is_down);
        let endpoint = &mut self.topology[index];
        let threshold = EJECTION_THRESHOLD + self.failure_rate.share();
        if is_needed || endpoint.failure_rate.share() <= threshold {
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

    /// Counts an attempt that was answered, and readmits an ejected endpoint whose failure rate has fallen.
    pub(super) fn record_success(&mut self, index: EndpointIndex) {
        self.update_failure_rates(index, false, false);
        if !self.readmit_if_recovered(index) {
            self.topology[index].next_trial_at = self.now;
        }
    }

    /// Records a connection that was refused or broke. Guards against counting a few of them as the end of
    /// the process.
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
