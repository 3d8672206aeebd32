//! A router: its state, and the dispatch of events to the policy.

use crate::estimators::{FailureRate, Traffic};
use crate::model::{Action, EndpointCounts, Event, Micros, RequestId, Settings};
use crate::policy;
use crate::random::RandomSource;
use crate::state::{PendingRequest, ProbeSchedule, ServingCapacity, SessionCommits, Topology, UsableCounts};
use std::collections::BTreeMap;

/// Decides where each request is sent. There is one per process; routers share nothing.
///
/// The decisions are methods of this type in the policy module.
#[derive(Default)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: RandomSource,
    pub(crate) created_at: Micros,
    pub(crate) now: Micros,
    /// The actions that the current event has caused so far.
    pub(crate) actions: Vec<Action>,

    pub(crate) next_tick_at: Micros,
    /// When this process last resumed after a suspension.
    pub(crate) resumed_at: Micros,

    pub(crate) topology: Topology,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) commits: SessionCommits,
    pub(crate) traffic: Traffic,
    /// The failure rate of the attempts at all endpoints.
    pub(crate) failure_rate: FailureRate,

    pub(crate) probe_schedule: ProbeSchedule,
    /// An upper bound of the intervals by which probes are scheduled.
    pub(crate) longest_probe_interval: Micros,
    pub(crate) usable_counts: UsableCounts,
    /// What the usable endpoints can serve.
    pub(crate) serving_capacity: ServingCapacity,
    /// The number of usable endpoints at the last update of the list.
    pub(crate) usable_endpoints: f64,
    /// The number of those that were not warming up then.
    pub(crate) warm_endpoints: f64,
    /// The work per second that a warm endpoint served for this router when one last answered.
    pub(crate) last_warm_work: f64,
    pub(crate) retry_budget: f64,
    pub(crate) trial_budget: f64,
    /// The number of the last send, counted from [`policy::FIRST_SEND_NUMBER`].
    pub(crate) sends: u64,
}

impl Router {
    /// A router that knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Router {
            traffic: Traffic::new(&settings, now),
            settings,
            random: RandomSource::new(seed),
            created_at: now,
            now,
            retry_budget: policy::BUDGET_START,
            trial_budget: policy::BUDGET_START,
            sends: policy::FIRST_SEND_NUMBER,
            ..Router::default()
        }
    }

    /// A router whose host's clock may differ from that of the members: it compares positions with what the
    /// answers of primaries show of their groups' clocks.
    pub fn with_unknown_clock(settings: Settings, seed: u64, now: Micros) -> Self {
        Router { topology: Topology::with_unknown_clock(), ..Router::new(settings, seed, now) }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.check_ticks();
        match event {
            Event::EndpointUpdate { complete, endpoints } => self.on_endpoint_update(complete, endpoints),
            Event::EndpointListFailed => self.on_endpoint_list_failed(),
            Event::TimerFired(token) => self.on_timer(token),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::ProbeEnded { endpoint, answered, report } => {
                self.on_probe_ended(endpoint, answered, report)
            }
            Event::ProbeNotSent(endpoint) => self.on_probe_not_sent(endpoint),
            Event::ClientDisconnected(id) => self.finish(id),
        }
        actions.append(&mut self.actions);
    }

    /// How many endpoints the list names, and how many of them are avoided now.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.topology.counts()
    }
}

#[cfg(test)]
mod tests;
