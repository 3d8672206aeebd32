//! A whole fleet of routers around one group: what none of them can see alone, their sum, must stay within what
//! the settings allow an endpoint that warms up.

use crate::harness::*;
use liftrelay::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Requests a second that a warm endpoint can serve.
const CAPACITY: f64 = 100.0;
const ENDPOINTS: u64 = 4;
/// The endpoints serve so many requests at a time, each in this time.
const SLOTS: usize = 2;
const SERVICE_TIME: f64 = 20_000.0;
/// When the endpoint restarts, and within which time all routers are told.
const RESTART_AFTER: Micros = 8000 * MS;
const LIST_DELAY: u64 = 300;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    RequestArrives,
    AttemptEnds { request: u32, attempt: u32, endpoint: u64, sent_at: Micros, served: bool },
    RestartIsListed,
}

/// The share of its capacity that an endpoint has, this long after its start.
fn capacity_share(settings: &Settings, age: Micros) -> f64 {
    let grown = (1.0 - settings.slow_start_capacity) * age as f64 / settings.slow_start_duration as f64;
    (settings.slow_start_capacity + grown).min(1.0)
}

/// What became of the endpoint that restarted.
struct RestartOutcome {
    /// By how much the fullest window went over what the settings allow, in roots of that.
    worst_excess: f64,
    /// What it took in the whole time that it warmed up, as a share of what it could do.
    work_share: f64,
}

/// Routers that share a load on one group, in which an endpoint restarts.
struct Fleet {
    settings: Settings,
    draws: RandomDraws,
    harnesses: Vec<RouterHarness>,
    /// Requests a second at each router.
    arrival_rate: f64,
    restarting: u64,
    restarts_at: Micros,
    queue: BinaryHeap<Reverse<(Micros, usize, FleetEvent)>>,
    last_request: u32,
    attempts: HashMap<u32, u32>,
    /// For each endpoint, when its slots are free.
    slots: [[Micros; SLOTS]; ENDPOINTS as usize + 1],
    /// When the endpoint that restarted was sent something.
    taken: Vec<Micros>,
}

impl Fleet {
    /// Routers that share a load of so many times what the endpoints can serve.
    fn new(routers: usize, load: f64, restarting: u64, settings: &Settings, seed: u64) -> Fleet {
        let settings = Settings { instances: routers as u32, ..settings.clone() };
        let harness = |router| {
            let seed = seed * 1000 + router as u64;
            RouterHarness::with_known_roles_seeded(settings.clone(), ENDPOINTS, seed)
        };
        let harnesses: Vec<_> = (0..routers).map(harness).collect();
        let started_at = harnesses[0].now;
        let mut fleet = Fleet {
            settings,
            draws: RandomDraws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            harnesses,
            arrival_rate: load * CAPACITY * ENDPOINTS as f64 / routers as f64,
            restarting,
            restarts_at: started_at + RESTART_AFTER,
            queue: BinaryHeap::new(),
            last_request: 0,
            attempts: HashMap::new(),
            slots: Default::default(),
            taken: Vec::new(),
        };
        for router in 0..routers {
            fleet.schedule_arrival(started_at, router);
            let listed_at = fleet.restarts_at + fleet.draws.below(LIST_DELAY) * MS;
            fleet.queue.push(Reverse((listed_at, router, FleetEvent::RestartIsListed)));
        }
        fleet
    }

    fn schedule_arrival(&mut self, now: Micros, router: usize) {
        let at = now + self.draws.gap(self.arrival_rate);
        self.queue.push(Reverse((at, router, FleetEvent::RequestArrives)));
    }

    /// Runs until the endpoint has warmed up.
    fn run(mut self) -> RestartOutcome {
        let end = self.restarts_at + self.settings.slow_start_duration;
        while let Some(Reverse((now, router, event))) = self.queue.pop()
            && now < end
        {
            let harness = &mut self.harnesses[router];
            harness.advance(now.saturating_sub(harness.now));
            self.handle(now, router, event);
            // Also what timers sent on the way.
            let actions: Vec<_> = self.harnesses[router].log.drain(..).collect();
            for action in actions {
                if let Action::Send { request, endpoint, timeout, .. } = action {
                    self.serve(now, router, request, endpoint.0, timeout);
                }
            }
        }
        self.outcome()
    }

    fn handle(&mut self, now: Micros, router: usize, event: FleetEvent) {
        match event {
            FleetEvent::RequestArrives => {
                self.last_request += 1;
                let class = match self.draws.below(100) {
                    0..12 => AT_MOST_ONCE,
                    12..15 => LATEST,
                    _ => ANY,
                };
                self.harnesses[router].request(self.last_request, class);
                self.schedule_arrival(now, router);
            }
            FleetEvent::RestartIsListed => {
                let id = self.restarting;
                let restarted = EndpointEntry {
                    started_at: self.restarts_at,
                    primary_hint: id == 1,
                    ..endpoint_entry(id)
                };
                let update = Event::EndpointUpdate { full: false, endpoints: vec![restarted] };
                self.harnesses[router].handle(update);
            }
            FleetEvent::AttemptEnds { request, attempt, endpoint, sent_at, served } => {
                let outcome = if served { Outcome::Ok } else { Outcome::TimedOut };
                let role = if endpoint == 1 { Role::Primary } else { Role::Replica };
                let role = served.then_some(role);
                let result = AttemptResult {
                    metadata: ResponseMetadata { role, position: None },
                    elapsed: now - sent_at,
                    ..attempt_result(request, attempt, endpoint, outcome)
                };
                self.harnesses[router].handle(Event::AttemptEnded(result));
            }
        }
    }

    /// Puts an attempt into the first slot of its endpoint that is free.
    fn serve(&mut self, now: Micros, router: usize, request: u32, endpoint: u64, timeout: Micros) {
        let attempt = self.attempts.entry(request).and_modify(|attempt| *attempt += 1).or_insert(0);
        let is_warming_up = endpoint == self.restarting && now >= self.restarts_at;
        let age = now.saturating_sub(self.restarts_at);
        let speed = if is_warming_up { capacity_share(&self.settings, age) } else { 1.0 };
        let slot = self.slots[endpoint as usize].iter_mut().min().expect("an endpoint has slots");
        *slot = (*slot).max(now) + (SERVICE_TIME / speed) as Micros;
        let served = *slot <= now + timeout;
        let ends_at = (*slot).min(now + timeout);
        let ends = FleetEvent::AttemptEnds { request, attempt: *attempt, endpoint, sent_at: now, served };
        self.queue.push(Reverse((ends_at, router, ends)));
        if is_warming_up {
            self.taken.push(now);
        }
    }

    fn outcome(&self) -> RestartOutcome {
        let window = self.settings.overload_window;
        let mut worst_excess = f64::MIN;
        for (index, from) in self.taken.iter().enumerate() {
            let in_window = self.taken[index..].iter().take_while(|at| **at < from + window);
            let age = from - self.restarts_at + window / 2;
            let capacity = capacity_share(&self.settings, age) * CAPACITY;
            let allowed = self.settings.overload_multiple * capacity * window as f64 / 1e6;
            worst_excess = worst_excess.max((in_window.count() as f64 - allowed - 2.0) / allowed.sqrt());
        }
        let mean_share = (1.0 + self.settings.slow_start_capacity) / 2.0;
        let possible = CAPACITY * mean_share * self.settings.slow_start_duration as f64 / 1e6;
        RestartOutcome { worst_excess, work_share: self.taken.len() as f64 / possible }
    }
}

struct FleetCase {
    overload_multiple: f64,
    routers: usize,
    load: f64,
    restarting: u64,
}

/// Guards against an endpoint that warms up and falls under the sum of what all processes send, each within a
/// share of its own: beyond the N requests that the settings allow, 2 x root of N + 2 are put down to chance,
/// whatever the number of processes.
#[test]
fn an_endpoint_warming_up_is_not_overloaded_by_the_sum_of_twenty_or_thirty_routers() {
    for case in [
        FleetCase { overload_multiple: 1.3, routers: 20, load: 0.9, restarting: 1 },
        FleetCase { overload_multiple: 1.3, routers: 30, load: 1.0, restarting: 1 },
        FleetCase { overload_multiple: 1.3, routers: 30, load: 1.0, restarting: 3 },
        FleetCase { overload_multiple: 2.0, routers: 20, load: 0.9, restarting: 1 },
        FleetCase { overload_multiple: 2.0, routers: 30, load: 1.0, restarting: 1 },
        FleetCase { overload_multiple: 2.0, routers: 30, load: 1.1, restarting: 3 },
        FleetCase { overload_multiple: 2.0, routers: 3, load: 0.9, restarting: 1 },
    ] {
        let FleetCase { overload_multiple, routers, load, restarting } = case;
        let settings = Settings { overload_multiple, ..settings() };
        let run = |seed| Fleet::new(routers, load, restarting, &settings, seed).run();
        let outcomes: Vec<_> = (1..=6).map(run).collect();
        let worst = outcomes.iter().map(|outcome| outcome.worst_excess).fold(f64::MIN, f64::max);
        let work_shares = outcomes.iter().map(|outcome| outcome.work_share);
        let work_share = work_shares.sum::<f64>() / outcomes.len() as f64;
        let what = format!("x {overload_multiple}, {routers} routers, load {load}, endpoint {restarting}");
        assert!(worst <= 2.0, "{what}: {worst:.2} roots over");
        assert!(work_share > 0.3, "{what}: only {work_share:.2} of what it could do");
    }
}
