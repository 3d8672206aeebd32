//! The decisions of the router. The types of settings, events and actions are in `src/model/mod.rs`.
//!
//! The policy is based on plain least-pending selection, C-JDBC's least pending requests first. Each router
//! counts its own outstanding attempts at each endpoint and sends a read to the replica of the group with the
//! fewest; equal replicas take turns. Writes and reads of the latest data go to the endpoint last observed
//! to be the primary. Where a rule replaces this policy, its comment names the fault that the plain policy
//! has.

mod admission;
mod clock_changes;
mod endpoint_capacity;
mod endpoint_updates;
mod health;
mod outcomes;
mod primary;
mod probe_timing;
mod probing;
mod replicas;
mod requests;
mod retries;
mod slow_start;

use crate::Router;
use crate::model::{Action, Micros};
use crate::state::EndpointIndex;

/// The interval between two runs of the periodic work (held requests, probes), as a multiple of the settings'
/// resolution, which is the shortest time between two batches of events.
const TICK_BATCHES: u64 = 4;
/// The shortest interval between two runs of the periodic work, whatever the resolution.
const TICK_INTERVAL_MIN: Micros = 10_000;
/// If a tick is late by more than this, the process was suspended.
const SUSPENSION_DELAY: Micros = 100_000;
/// The wait between a failed subscription to the endpoint list and the next one.
const LIST_RETRY_DELAY: Micros = 1_000_000;
/// The number from which a router counts its sends. An endpoint that it has not sent to yet has a random
/// number below this one, so that such endpoints win ties against others, in a different order at each
/// router.
pub(crate) const FIRST_SEND_NUMBER: u64 = 1 << 16;
/// The initial retry budget and the initial trial budget of a router, before any request has arrived.
pub(crate) const BUDGET_START: f64 = 1.0;
/// The token of the timer for the periodic work.
const TICK_TIMER: u32 = 0;
/// The token of the timer for the next subscription to the endpoint list.
const LIST_TIMER: u32 = 1;

/// The next step of a request.
enum Selection {
    /// The request is sent to an endpoint. The attempt has a short timeout if it is exploratory: a trial,
    /// or part of a search for the primary.
    Send { endpoint: EndpointIndex, exploratory: bool },
    /// The request is held and reconsidered later.
    Hold,
    /// The request is shed: it gets its final answer without another attempt.
    Shed,
}

impl Router {
    /// Handles a timer that fired: runs the periodic work, or subscribes to the endpoint list again.
    pub(crate) fn on_timer(&mut self, token: u32) {
        match token {
            TICK_TIMER => self.on_tick(),
            LIST_TIMER => self.actions.push(Action::Subscribe),
            _ => {}
        }
    }

    /// Schedules another subscription to the endpoint list after one has failed.
    pub(crate) fn on_endpoint_list_failed(&mut self) {
        self.set_timer(LIST_TIMER, LIST_RETRY_DELAY);
    }

    fn set_timer(&mut self, token: u32, after: Micros) {
        self.actions.push(Action::SetTimer { token, after });
    }

    /// Starts the ticks at the first event. At later events, detects by a late tick that this process was
    /// suspended.
    pub(crate) fn check_ticks(&mut self) {
        if self.next_tick_at == 0 {
            let after = 1 + self.random.below(self.tick_interval());
            self.next_tick_at = self.now + after;
            self.set_timer(TICK_TIMER, after);
            self.actions.extend(self.settings.list_on_request.then_some(Action::Subscribe));
        } else if self.now > self.next_tick_at + SUSPENSION_DELAY {
            self.resumed_at = self.now;
            self.next_tick_at = self.now;
        }
    }

    /// Returns the interval between two runs of the periodic work.
    fn tick_interval(&self) -> Micros {
        (self.settings.resolution * TICK_BATCHES).max(TICK_INTERVAL_MIN)
    }

    /// Runs the periodic work: counts the serving capacity, resumes held requests, and sends probes.
    fn on_tick(&mut self) {
        self.set_timer(TICK_TIMER, self.tick_interval());
        self.next_tick_at = self.now + self.tick_interval();
        if self.now >= self.serving_capacity.recorded_at() + endpoint_capacity::CAPACITY_COUNT_INTERVAL {
            self.count_serving_capacity();
        }
        self.resume_held(None, false);
        self.start_probes();
    }
}
