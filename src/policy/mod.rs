//! Every decision of liftrelay. The types of settings, events and actions are in `src/model/mod.rs`.
//!
//! The default is C-JDBC's least pending requests first: each router counts its own outstanding
//! attempts at each endpoint and sends a read to the group's replica with the fewest, ties in turn; writes
//! and reads of the latest data go to the endpoint last seen as primary. Deviations are marked "Departure".

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
mod slow_start;

use crate::Router;
use crate::model::{Action, Micros};
use crate::state::EndpointIndex;

/// The interval between two runs of the periodic work (held requests, probes), in batches of events, which
/// come at the settings' resolution.
const TICK_BATCHES: u64 = 4;
/// The shortest interval between two runs of the periodic work, also where the resolution is finer.
const TICK_INTERVAL_MIN: Micros = 10_000;
/// A tick that comes later than this shows that this process was suspended.
const SUSPENSION_DELAY: Micros = 100_000;
/// The wait before the endpoint list is asked for again after a failed call.
const LIST_RETRY_DELAY: Micros = 1_000_000;
/// A router numbers its sends from here on. Endpoints that it has not sent to yet draw a number below, so
/// that they come before the others, in a random order in each router.
pub(crate) const FIRST_SEND_NUMBER: u64 = 1 << 16;
/// The retries, and the trials, that a new router may spend before it has seen any requests.
pub(crate) const BUDGET_START: f64 = 1.0;
/// The token of the timer of the periodic work.
const TICK_TIMER: u32 = 0;
/// The token of the timer after which the endpoint list is asked for again.
const LIST_TIMER: u32 = 1;

/// The next step of a request.
enum Selection {
    /// It is sent to an endpoint. The attempt has a short timeout if it is exploratory: a trial, or part of a
    /// search for the primary.
    Send { endpoint: EndpointIndex, exploratory: bool },
    /// It is sent nowhere now, but held and reconsidered later.
    Hold,
    /// It is shed: it is sent nowhere, and gets its final answer.
    Shed,
}

impl Router {
    /// Does what a timer was set for.
    pub(crate) fn on_timer(&mut self, token: u32) {
        match token {
            TICK_TIMER => self.on_tick(),
            LIST_TIMER => self.actions.push(Action::Subscribe),
            _ => {}
        }
    }

    /// Asks for the endpoint list again after a while.
    pub(crate) fn on_endpoint_list_failed(&mut self) {
        self.set_timer(LIST_TIMER, LIST_RETRY_DELAY);
    }

    fn set_timer(&mut self, token: u32, after: Micros) {
        self.actions.push(Action::SetTimer { token, after });
    }

    /// Starts the ticks with the first event; later, detects that this process was suspended.
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

    /// The interval between two runs of the periodic work.
    fn tick_interval(&self) -> Micros {
        (self.settings.resolution * TICK_BATCHES).max(TICK_INTERVAL_MIN)
    }

    /// Does the periodic work.
    fn on_tick(&mut self) {
        self.set_timer(TICK_TIMER, self.tick_interval());
        self.next_tick_at = self.now + self.tick_interval();
        if self.now >= self.serving_capacity.recorded_at() + endpoint_capacity::CAPACITY_COUNT_INTERVAL {
            self.count_serving_capacity();
        }
        self.resume_held(None, false);
        self.start_probes();
        self.commits.prune(|group, position| self.topology.all_members_have(group, position, self.now));
    }
}
