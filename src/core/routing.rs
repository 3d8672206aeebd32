//! The interface to the [`Router`](crate::Router): passes events to it and carries out the actions that it
//! requests.

use super::jobs::{AttemptOrder, CancelReason, JobPurpose};
use super::requests::Unserved;
use super::timers::TimerEvent;
use super::{Core, Effect};
use crate::{Action, Event, Micros};
use std::collections::VecDeque;

impl<W, A> Core<W, A> {
    /// Passes an event to the router and carries out the actions that it requests. An action that can't be
    /// started is reported to the router as another event, in the same step.
    pub(super) fn notify_router(&mut self, now: Micros, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform_action(now, action));
            }
        }
    }

    /// Carries out one action. If it can't be started, returns the event that notifies the router.
    fn perform_action(&mut self, now: Micros, action: Action) -> Option<Event> {
        match action {
            Action::Send { request, endpoint, timeout, start_within } => {
                let order = AttemptOrder { request, endpoint, timeout, start_within };
                return self.start_attempt(now, order);
            }
            Action::Probe(endpoint) => return self.start_probe(now, endpoint),
            Action::Reject { request, retry_after, reason, ruled_out } => {
                self.reject_request(request, retry_after, Unserved { reason, ruled_out });
            }
            Action::Fail { request, reason, ruled_out } => {
                self.fail_request(request, Unserved { reason, ruled_out });
            }
            Action::Cancel { request, attempt } => {
                let purpose = JobPurpose::Attempt { request, attempt };
                let found = self.jobs.iter().find(|(_, job)| job.purpose == purpose);
                if let Some((&job, _)) = found {
                    self.cancel_job(job, CancelReason::NotNeeded);
                }
            }
            Action::SetTimer { token, after } => self.timers.set(now + after, TimerEvent::Router(token)),
            // The server watches the endpoint list without a subscription by the router.
            Action::Subscribe => {}
            Action::EndpointEjected { endpoint, cause } => {
                self.effects.push(Effect::EndpointEjected { endpoint, cause });
            }
            Action::Log(text) => self.effects.push(Effect::Log(text)),
        }
        None
    }
}
