//! Tests of the counts and schedules that the router updates incrementally instead of scanning all endpoints.

use super::Router;
use crate::model::{
    Action, AttemptResult, Class, EndpointEntry, EndpointId, EndpointState, Event, ExecutedStatement,
    GroupId, Idempotency, LoadReport, Micros, Outcome, Request, RequestId, Requirement, ResponseMetadata,
    Role, Settings,
};
use crate::random::RandomSource;

const MS: Micros = 1000;
const ENDPOINTS_PER_ROUTER: u32 = 4;
const START: Micros = 1_700_000_000_000 * MS;

/// Settings of one router of `instances`; the first probes are spread over a time that grows with that
/// number.
fn settings(instances: u32) -> Settings {
    let class = Class {
        requirement: Requirement::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: 400 * MS,
        deadline: 2000 * MS,
        priority_weight: 1.0,
        late_value: 0.5,
    };
    Settings {
        instances,
        resolution: 5 * MS,
        classes: vec![class],
        slow_start_duration: 3000 * MS,
        removed_endpoints_usable: true,
        probes: true,
        ..Settings::default()
    }
}

fn entry(id: u64, state: EndpointState, started_at: Micros) -> EndpointEntry {
    let group = (id / 5) as GroupId;
    EndpointEntry {
        endpoint: EndpointId(id),
        group,
        zone: 0,
        state,
        primary_hint: id.is_multiple_of(5),
        started_at,
    }
}

fn update(complete: bool, endpoints: Vec<EndpointEntry>) -> Event {
    Event::EndpointUpdate { complete, endpoints }
}

/// A router and its host, which ends each attempt and each probe with a random result.
struct Host {
    router: Router,
    now: Micros,
    random: RandomSource,
    actions: Vec<Action>,
}

impl Host {
    fn new(members: u64) -> Self {
        let random = RandomSource::new(members);
        let router = Router::new(settings(members as u32 / ENDPOINTS_PER_ROUTER), 7, START);
        let mut host = Host { router, now: START, random, actions: Vec::new() };
        let endpoints = (0..members).map(|id| entry(id, EndpointState::Ready, 0)).collect();
        host.handle(update(true, endpoints));
        host
    }

    fn handle(&mut self, event: Event) {
        self.router.handle(self.now, event, &mut self.actions);
    }

    /// Returns an entry for the endpoint with this id, with a random state and start, and with another
    /// group in one of eight cases.
    fn changed_entry(&mut self, id: u64) -> EndpointEntry {
        let group_of = if self.random.below(8) == 0 { id + 5 } else { id };
        let state = match self.random.below(4) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        let started_at = if self.random.below(2) == 0 { 0 } else { self.now - self.random.below(4000 * MS) };
        EndpointEntry { endpoint: EndpointId(id), ..entry(group_of, state, started_at) }
    }

    /// Returns the load report of an endpoint. The first of each group of five is the primary.
    fn report(&self, id: EndpointId) -> LoadReport {
        let role = if id.0.is_multiple_of(5) { Role::Primary } else { Role::Replica };
        LoadReport { role: Some(role), position: Some(self.now) }
    }

    /// Returns the event that ends the attempt or the probe of an action; `None` for other actions.
    fn completion_of(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { request, endpoint, .. } => {
                let outcomes = [Outcome::Ok, Outcome::ConnectFailed, Outcome::TimedOut];
                Some(Event::AttemptEnded(AttemptResult {
                    request,
                    attempt: 0,
                    endpoint,
                    outcome: outcomes[self.random.below(3) as usize],
                    elapsed: 20 * MS,
                    metadata: ResponseMetadata::default(),
                    finished: true,
                    report: self.report(endpoint),
                }))
            }
            Action::Probe(endpoint) => {
                let answered = self.random.below(3) > 0;
                Some(Event::ProbeEnded { endpoint, answered, report: self.report(endpoint) })
            }
            _ => None,
        }
    }

    /// Returns the number of usable endpoints and of those that are warm, by a scan of all endpoints.
    fn scan(&self) -> (f64, f64) {
        let router = &self.router;
        let usable: Vec<_> = router.topology.indices().filter(|index| router.is_usable(*index)).collect();
        let warm = usable.iter().filter(|index| !router.is_warming_up(**index)).count();
        (usable.len() as f64, warm as f64)
    }

    /// Returns the probes that are due, by a scan of all endpoints.
    fn due_probes(&self) -> Vec<Action> {
        let router = &self.router;
        let usual_interval = router.probe_interval();
        let due = router
            .topology
            .indices()
            .filter(|index| router.due_probe_interval(*index, usual_interval).is_some());
        due.map(|index| Action::Probe(router.topology[index].id)).collect()
    }

    /// Runs the periodic work, and returns the probes that it sends.
    fn tick(&mut self) -> Vec<Action> {
        let before = self.actions.len();
        self.handle(Event::TimerFired(0));
        let is_probe = |action: &&Action| matches!(action, Action::Probe(_));
        self.actions[before..].iter().filter(is_probe).cloned().collect()
    }
}

/// The router counts usable and warm endpoints and finds due probes without scanning all endpoints. An
/// event that does not update the counts or the schedule would leave them wrong until the next change of
/// the endpoint.
#[test]
fn counts_and_due_probes_match_a_full_scan() {
    let mut host = Host::new(40);
    for request in 1..4000 {
        host.now += host.random.below(20 * MS);
        host.handle(Event::Request(Request {
            id: request,
            group: request % 10,
            remaining: 500 * MS,
            ..Request::executing(ExecutedStatement::default())
        }));
        let due = host.due_probes();
        assert_eq!(host.tick(), due, "after request {request}");
        for action in std::mem::take(&mut host.actions) {
            host.now += host.random.below(5 * MS);
            if let Some(event) = host.completion_of(action) {
                host.handle(event);
            }
        }
        let is_long_pause = host.random.below(400) == 0;
        host.now += if is_long_pause { 11_000 * MS } else { 0 };
        // The ids grow with the requests, so that new endpoints replace older ones.
        let changed = u64::from(request) / 100 + host.random.below(60);
        let change = host.changed_entry(changed);
        let is_complete = host.random.below(50) == 0;
        host.handle(update(is_complete, vec![change]));
        let counted = (host.router.usable_endpoints, host.router.warm_endpoints);
        assert_eq!(counted, host.scan(), "after request {request}");
    }
}

/// Returns how many lookups of an endpoint a router with this number of endpoints makes in these steps.
fn count_lookups(members: u64, steps: impl Fn(&mut Host)) -> usize {
    let mut host = Host::new(members);
    let before = host.router.topology.lookup_count();
    steps(&mut host);
    host.router.topology.lookup_count() - before
}

/// The work for an event must depend on the endpoints that it changes or uses. If it grew with the number
/// of all endpoints, a large fleet would slow down each request.
#[test]
fn lookups_for_an_update_a_tick_and_a_request_do_not_grow_with_the_fleet() {
    let steps = |host: &mut Host| {
        for id in 0..20 {
            host.now += 20 * MS;
            host.handle(update(false, vec![entry(5 * id + 1, EndpointState::Draining, 0)]));
            host.handle(update(false, vec![entry(10_000 + id, EndpointState::Ready, host.now)]));
            host.handle(Event::Request(Request {
                id: id as RequestId,
                group: 9,
                ..Request::executing(ExecutedStatement::default())
            }));
            host.tick();
        }
    };
    let (small, large) = (count_lookups(200, steps), count_lookups(3200, steps));
    assert!(large <= small, "{large} lookups with 3,200 endpoints, {small} with 200");
}

/// Comparing each endpoint with each entry of a complete list would make the work quadratic.
#[test]
fn lookups_for_a_complete_list_grow_linearly() {
    let complete = |count: u64| {
        count_lookups(count, |host| {
            host.handle(update(true, (0..count).map(|id| entry(id, EndpointState::Ready, 0)).collect()));
            host.handle(update(true, Vec::new()));
            host.handle(update(
                true,
                (count..2 * count).map(|id| entry(id, EndpointState::Ready, 0)).collect(),
            ));
        })
    };
    let (small, large) = (complete(200), complete(3200));
    assert!(large <= 17 * small, "{large} lookups with 3,200 endpoints, {small} with 200");
}

/// If the first probes grew with the fleet, each router would open connections to thousands of endpoints,
/// most of which it never uses.
#[test]
fn first_probes_of_a_router_do_not_grow_with_the_fleet() {
    let probes_in_a_minute = |members| {
        let mut host = Host::new(members);
        (0..60_000 / 20).fold(0, |probes, _| {
            host.now += 20 * MS;
            probes + host.tick().len()
        })
    };
    let (small, large) = (probes_in_a_minute(200), probes_in_a_minute(3200));
    assert_eq!(small, 200, "each endpoint is probed");
    assert!(0 < large && large <= small, "{large} first probes with 3,200 endpoints");
}
