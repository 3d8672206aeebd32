//! The exchange with the [`Router`](crate::Router): events to it, and the actions that it requests.

use super::jobs::{AttemptOrder, CancelReason, JobPurpose};
use super::timers::TimerEvent;
use super::{Core, Effect};
use crate::{Action, Event, Micros};
use std::collections::VecDeque;

impl<W, A> Core<W, A> {
    /// Notifies the router of an event and carries out the requested actions. An action that fails at once is
    /// reported as another event.
    pub(super) fn notify_router(&mut self, now: Micros, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(now, action));
            }
        }
    }

    /// Carries out one action. Returns the event that notifies the router of an immediate failure.
    fn perform(&mut self, now: Micros, action: Action) -> Option<Event> {
        match action {
            Action::Send { request, endpoint, timeout, start_within } => {
                let order = AttemptOrder { request, endpoint, timeout, start_within };
                return self.start_attempt(now, order);
            }
            Action::Probe(endpoint) => return self.start_probe(now, endpoint),
            Action::Reject { request, retry_after, reason } => {
                self.reject_request(request, retry_after, reason)
            }
            Action::Fail { request, reason } => self.fail_request(request, reason),
            Action::Cancel { request, attempt } => {
                let purpose = JobPurpose::Attempt { request, attempt };
                let found = self.jobs.iter().find(|(_, job)| job.purpose == purpose);
                if let Some((&job, _)) = found {
                    self.cancel_job(job, CancelReason::NotNeeded);
                }
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, TimerEvent::Router(token)),
            // The endpoint list is always watched.
            Action::Subscribe => {}
            Action::EndpointEjected { endpoint, cause } => {
                self.effects.push(Effect::EndpointEjected { endpoint, cause });
            }
            Action::Log(text) => self.effects.push(Effect::Log(text)),
        }
        None
    }
}
