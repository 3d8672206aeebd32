//! A fleet of routers that send to one group. No router sees the work that the others send, but together they
//! must stay within what the settings allow for an endpoint that is warming up.

use crate::harness::*;
use liftrelay::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const ENDPOINTS: u64 = 4;
/// The number of requests that an endpoint serves at a time.
const SLOTS: usize = 2;
/// The time from the start of a run to the restart of the endpoint.
const RESTART_AFTER: Micros = 8000 * MS;
/// The time within which the endpoint lists of all routers report the restart, in milliseconds.
const LIST_DELAY: u64 = 300;

/// A share of the traffic: the requests of one class.
#[derive(Clone, Copy, Debug)]
struct Share {
    percent: u64,
    class: usize,
    /// The work of a request, as a multiple of the mean.
    work: f64,
}

const fn share(percent: u64, class: usize, work: f64) -> Share {
    Share { percent, class, work }
}

/// Requests of equal work, a few of which only the primary can serve.
const EQUAL_WORK: &[Share] = &[share(12, AT_MOST_ONCE, 1.0), share(3, LATEST, 1.0), share(85, ANY, 1.0)];
/// Light and heavy requests, with reads and writes of both kinds.
const MIXED_WORK: &[Share] = &[
    share(8, AT_MOST_ONCE, 0.5),
    share(4, WRITE, 4.0),
    share(3, LATEST, 1.0),
    share(75, ANY, 0.6),
    share(10, BOUNDED_STALENESS, 3.2),
];

/// A period in which requests arrive at a higher rate.
#[derive(Clone, Copy, Debug)]
struct Burst {
    /// The time from the restart to the beginning of the burst.
    begins_after: Micros,
    lasts: Micros,
    /// The factor by which the usual rate is multiplied.
    factor: f64,
}

/// An attempt of a request at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentAttempt {
    request: u32,
    number: u32,
    endpoint: u64,
    sent_at: Micros,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    RequestArrives,
    AttemptEnds { attempt: SentAttempt, served: bool },
    RestartIsListed,
}

/// Returns the share of its full capacity that an endpoint has at this time after its start.
fn capacity_share(settings: &Settings, age: Micros) -> f64 {
    let gained = (1.0 - settings.slow_start_capacity) * age as f64 / settings.slow_start_duration as f64;
    (settings.slow_start_capacity + gained).min(1.0)
}

/// Returns how many requests of mean work the routers may send in one window beyond the N = `allowed` that
/// the settings allow, as the requests arrive at random: 2 x root of N + 2, or 3 x root of N + 3 if N is
/// below 30.
fn tolerance(allowed: f64) -> f64 {
    let factor = if allowed < 30.0 { 3.0 } else { 2.0 };
    factor * (allowed.sqrt() + 1.0)
}

/// The load of the endpoint that restarted, while it warmed up.
struct RestartOutcome {
    /// The highest excess of any window over what the settings allow, as a share of [`tolerance`].
    worst_excess: f64,
    /// The work that was sent to the endpoint during its whole slow start, as a share of what it could serve.
    work_share: f64,
}

/// A fleet of routers, its load, and the endpoint of the group that restarts.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    routers: usize,
    /// The requests of mean work per second that a warm endpoint can serve.
    capacity: f64,
    /// The offered work, as a share of what all endpoints can serve when they are warm.
    load: f64,
    traffic: &'static [Share],
    burst: Option<Burst>,
    restarting: u64,
    overload_multiple: f64,
}

impl FleetCase {
    fn settings(&self) -> Settings {
        let defaults = settings();
        let work =
            |class| self.traffic.iter().find(|share| share.class == class).map_or(1.0, |share| share.work);
        let scaled = |(index, class): (usize, &Class)| Class {
            latency_objective: class.latency_objective.max(8 * self.service_time(work(index))),
            deadline: class.deadline.max(20 * self.service_time(work(index))),
            ..class.clone()
        };
        Settings {
            instances: self.routers as u32,
            overload_multiple: self.overload_multiple,
            classes: defaults.classes.iter().enumerate().map(scaled).collect(),
            ..defaults
        }
    }

    /// Returns how long a slot of a warm endpoint takes for this much work.
    fn service_time(&self, work: f64) -> Micros {
        (SLOTS as f64 / self.capacity * work * 1e6) as Micros
    }

    fn run(self, seed: u64) -> RestartOutcome {
        Fleet::new(self, seed).run()
    }
}

/// An attempt that was sent to the endpoint that restarted.
struct SentWork {
    at: Micros,
    work: f64,
}

struct Fleet {
    case: FleetCase,
    settings: Settings,
    draws: RandomDraws,
    harnesses: Vec<RouterHarness>,
    restarts_at: Micros,
    queue: BinaryHeap<Reverse<(Micros, usize, FleetEvent)>>,
    last_request: u32,
    /// The work of each request, and the number of its attempts.
    requests: HashMap<u32, (f64, u32)>,
    /// For each endpoint, the times at which its slots become free.
    slots: [[Micros; SLOTS]; ENDPOINTS as usize + 1],
    /// The attempts that were sent to the endpoint that restarted, while it warmed up.
    work_sent: Vec<SentWork>,
}

impl Fleet {
    fn new(case: FleetCase, seed: u64) -> Fleet {
        let settings = case.settings();
        let harness = |router| {
            let seed = seed * 1000 + router as u64;
            RouterHarness::with_known_roles_seeded(settings.clone(), ENDPOINTS, seed)
        };
        let harnesses: Vec<_> = (0..case.routers).map(harness).collect();
        let started_at = harnesses[0].now;
        let mut fleet = Fleet {
            case,
            settings,
            draws: RandomDraws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            harnesses,
            restarts_at: started_at + RESTART_AFTER,
            queue: BinaryHeap::new(),
            last_request: 0,
            requests: HashMap::new(),
            slots: Default::default(),
            work_sent: Vec::new(),
        };
        for router in 0..case.routers {
            fleet.schedule_arrival(started_at, router);
            let listed_at = fleet.restarts_at + fleet.draws.below(LIST_DELAY) * MS;
            fleet.queue.push(Reverse((listed_at, router, FleetEvent::RestartIsListed)));
        }
        fleet
    }

    /// Returns the requests per second that arrive at each router.
    fn arrival_rate(&self, now: Micros) -> f64 {
        let FleetCase { load, capacity, routers, burst, .. } = self.case;
        let is_in_burst = |burst: &Burst| {
            let begins_at = self.restarts_at + burst.begins_after;
            (begins_at..begins_at + burst.lasts).contains(&now)
        };
        let factor = burst.filter(is_in_burst).map_or(1.0, |burst| burst.factor);
        factor * load * capacity * ENDPOINTS as f64 / routers as f64
    }

    fn schedule_arrival(&mut self, now: Micros, router: usize) {
        let mut at = now + self.draws.interval(self.arrival_rate(now));
        if let Some(burst) = self.case.burst {
            let begins_at = self.restarts_at + burst.begins_after;
            if now < begins_at && at > begins_at {
                at = begins_at + self.draws.interval(self.arrival_rate(begins_at));
            }
        }
        self.queue.push(Reverse((at, router, FleetEvent::RequestArrives)));
    }

    /// Runs until the endpoint that restarts is warm.
    fn run(mut self) -> RestartOutcome {
        let end = self.restarts_at + self.settings.slow_start_duration;
        while let Some(Reverse((now, router, event))) = self.queue.pop()
            && now < end
        {
            let harness = &mut self.harnesses[router];
            harness.advance(now.saturating_sub(harness.now));
            self.handle(now, router, event);
            // The log also contains the sends that timers have caused since the last event.
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
                let Share { class, work, .. } = self.draw_share();
                self.requests.insert(self.last_request, (work, 0));
                let request = Request {
                    remaining: self.settings.classes[class].deadline,
                    ..request(self.last_request, class)
                };
                self.harnesses[router].handle(Event::Request(request));
                self.schedule_arrival(now, router);
            }
            FleetEvent::RestartIsListed => {
                let id = self.case.restarting;
                let restarted = EndpointEntry {
                    started_at: self.restarts_at,
                    primary_hint: id == 1,
                    ..endpoint_entry(id)
                };
                let update = Event::EndpointUpdate { complete: false, endpoints: vec![restarted] };
                self.harnesses[router].handle(update);
            }
            FleetEvent::AttemptEnds { attempt, served } => self.end_attempt(now, router, attempt, served),
        }
    }

    fn draw_share(&mut self) -> Share {
        let mut left = self.draws.below(100);
        let is_drawn = |share: &&Share| {
            let drawn = left < share.percent;
            left = left.saturating_sub(share.percent);
            drawn
        };
        *self.case.traffic.iter().find(is_drawn).expect("the shares add up to 100")
    }

    fn end_attempt(&mut self, now: Micros, router: usize, attempt: SentAttempt, served: bool) {
        let SentAttempt { request, number, endpoint, sent_at } = attempt;
        let outcome = if served { Outcome::Ok } else { Outcome::TimedOut };
        let role = if endpoint == 1 { Role::Primary } else { Role::Replica };
        let result = AttemptResult {
            metadata: ResponseMetadata { role: served.then_some(role), position: None },
            elapsed: now - sent_at,
            ..attempt_result(request, number, endpoint, outcome)
        };
        self.harnesses[router].handle(Event::AttemptEnded(result));
    }

    /// Assigns an attempt to the slot of its endpoint that becomes free first.
    fn serve(&mut self, now: Micros, router: usize, request: u32, endpoint: u64, timeout: Micros) {
        let (work, attempts) = self.requests.get_mut(&request).expect("the request has arrived");
        let (work, number) = (*work, *attempts);
        *attempts += 1;
        let is_warming_up = endpoint == self.case.restarting && now >= self.restarts_at;
        let age = now.saturating_sub(self.restarts_at);
        let speed = if is_warming_up { capacity_share(&self.settings, age) } else { 1.0 };
        let slot = self.slots[endpoint as usize].iter_mut().min().expect("an endpoint has slots");
        *slot = (*slot).max(now) + (self.case.service_time(work) as f64 / speed) as Micros;
        let served = *slot <= now + timeout;
        let ends_at = (*slot).min(now + timeout);
        let attempt = SentAttempt { request, number, endpoint, sent_at: now };
        self.queue.push(Reverse((ends_at, router, FleetEvent::AttemptEnds { attempt, served })));
        if is_warming_up {
            self.work_sent.push(SentWork { at: now, work });
        }
    }

    fn outcome(&self) -> RestartOutcome {
        let window = self.settings.overload_window;
        let mut worst_excess = f64::MIN;
        for (index, first) in self.work_sent.iter().enumerate() {
            let in_window = self.work_sent[index..].iter().take_while(|sent| sent.at < first.at + window);
            let work: f64 = in_window.map(|sent| sent.work).sum();
            let age = first.at - self.restarts_at + window / 2;
            let capacity = capacity_share(&self.settings, age) * self.case.capacity;
            let allowed = self.settings.overload_multiple * capacity * window as f64 / 1e6;
            worst_excess = worst_excess.max((work - allowed) / tolerance(allowed));
        }
        let mean_share = (1.0 + self.settings.slow_start_capacity) / 2.0;
        let possible = self.case.capacity * mean_share * self.settings.slow_start_duration as f64 / 1e6;
        let work: f64 = self.work_sent.iter().map(|sent| sent.work).sum();
        RestartOutcome { worst_excess, work_share: work / possible }
    }
}

const USUAL: FleetCase = FleetCase {
    routers: 20,
    capacity: 100.0,
    load: 0.9,
    traffic: EQUAL_WORK,
    burst: None,
    restarting: 1,
    overload_multiple: 1.3,
};
/// A burst with one and a half times the usual rate of arrivals.
const BURST: Burst = Burst { begins_after: 4000 * MS, lasts: 4000 * MS, factor: 1.5 };

/// Asserts that no window of the runs with these seeds exceeds what the settings allow by more than
/// [`tolerance`], and returns the mean work share.
fn assert_not_overloaded(case: FleetCase, seeds: std::ops::RangeInclusive<u64>) -> f64 {
    let outcomes: Vec<_> = seeds.map(|seed| case.run(seed)).collect();
    let worst = outcomes.iter().map(|outcome| outcome.worst_excess).fold(f64::MIN, f64::max);
    assert!(worst <= 1.0, "{case:?}: excess of {worst:.2} times the tolerance");
    outcomes.iter().map(|outcome| outcome.work_share).sum::<f64>() / outcomes.len() as f64
}

/// Guards against the overload of an endpoint that is warming up, which arises if each router stays within a
/// budget of its own but the sum of all budgets exceeds what the settings allow. The tolerance of 2 x root of
/// N + 2 requests beyond the N allowed ones does not depend on the number of routers.
#[test]
fn an_endpoint_warming_up_is_not_overloaded_by_the_sum_of_twenty_or_thirty_routers() {
    for case in [
        FleetCase { routers: 20, load: 0.9, restarting: 1, ..USUAL },
        FleetCase { routers: 30, load: 1.0, restarting: 1, ..USUAL },
        FleetCase { routers: 30, load: 1.0, restarting: 3, ..USUAL },
        FleetCase { overload_multiple: 2.0, routers: 20, load: 0.9, restarting: 1, ..USUAL },
        FleetCase { overload_multiple: 2.0, routers: 30, load: 1.0, restarting: 1, ..USUAL },
        FleetCase { overload_multiple: 2.0, routers: 30, load: 1.1, restarting: 3, ..USUAL },
        FleetCase { overload_multiple: 2.0, routers: 3, load: 0.9, restarting: 1, ..USUAL },
    ] {
        let work_share = assert_not_overloaded(case, 1..=6);
        assert!(work_share > 0.3, "{case:?}: only {work_share:.2} of the work that it could serve");
    }
}

/// Guards against the overload of a primary that is warming up by requests of uneven work, where a few heavy
/// requests use up what the settings allow, with and without a burst of arrivals.
#[test]
fn a_primary_warming_up_is_not_overloaded_by_light_and_heavy_requests() {
    let mixed = FleetCase { traffic: MIXED_WORK, ..USUAL };
    for case in [
        FleetCase { capacity: 30.0, burst: Some(BURST), ..mixed },
        FleetCase { burst: Some(BURST), ..mixed },
        mixed,
        FleetCase { capacity: 30.0, routers: 5, burst: Some(BURST), ..mixed },
        FleetCase { capacity: 3.0, routers: 2, ..mixed },
    ] {
        let work_share = assert_not_overloaded(case, 1..=20);
        assert!(work_share > 0.4, "{case:?}: only {work_share:.2} of the work that it could serve");
    }
}

/// Guards against the overload of an endpoint of small capacity that is warming up: the settings allow only
/// 2 to 40 requests in the first windows, whether the routers are few or many.
#[test]
fn an_endpoint_of_small_capacity_is_not_overloaded_however_many_routers_there_are() {
    for (routers, seeds) in [(1, 1..=4), (2, 1..=4), (5, 1..=4), (20, 1..=4), (300, 1..=1), (900, 1..=1)] {
        for (capacity, restarting) in [(3.0, 1), (3.0, 3), (30.0, 1), (30.0, 3)] {
            for (traffic, overload_multiple) in [(MIXED_WORK, 1.3), (EQUAL_WORK, 2.5)] {
                let burst = Some(BURST);
                let case =
                    FleetCase { routers, capacity, restarting, traffic, overload_multiple, burst, ..USUAL };
                assert_not_overloaded(case, seeds.clone());
            }
        }
    }
}
