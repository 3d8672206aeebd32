//! Tests of what the router keeps up to date instead of looking at all endpoints.

use super::*;

const MS: Micros = 1000;
const START: Micros = 1_000_000 * MS;

fn settings() -> Settings {
    let class = Class {
        requirement: Requirement::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: 400 * MS,
        deadline: 2000 * MS,
        priority_weight: 1.0,
        late_value: 0.5,
    };
    Settings {
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

fn update(full: bool, endpoints: Vec<EndpointEntry>) -> Event {
    Event::EndpointUpdate { full, endpoints }
}

/// A router and its host, which answers each attempt and each probe as drawn.
struct Host {
    router: Router,
    now: Micros,
    random: RandomSource,
    actions: Vec<Action>,
}

impl Host {
    fn new(members: u64) -> Self {
        let random = RandomSource::new(members);
        let mut host =
            Host { router: Router::new(settings(), 7, START), now: START, random, actions: Vec::new() };
        let endpoints = (0..members).map(|id| entry(id, EndpointState::Ready, 0)).collect();
        host.handle(update(true, endpoints));
        host
    }

    fn handle(&mut self, event: Event) {
        self.router.handle(self.now, event, &mut self.actions);
    }

    /// An entry of the endpoint with this id, changed at random.
    fn changed_entry(&mut self, id: u64) -> EndpointEntry {
        let state = match self.random.below(4) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        };
        let started_at = if self.random.below(2) == 0 { 0 } else { self.now - self.random.below(4000 * MS) };
        entry(id, state, started_at)
    }

    /// The event that ends what an action began, if it is one that ends.
    fn end_of(&mut self, action: Action) -> Option<Event> {
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
                    report: LoadReport::default(),
                }))
            }
            Action::Probe(endpoint) => {
                let answered = self.random.below(3) > 0;
                Some(Event::Probed { endpoint, answered, report: LoadReport::default() })
            }
            _ => None,
        }
    }

    /// The usable endpoints, and those of them that are warm, by looking at all.
    fn scan(&self) -> (f64, f64) {
        let router = &self.router;
        let usable: Vec<_> = router.topology.indices().filter(|index| router.is_usable(*index)).collect();
        let warm = usable.iter().filter(|index| !router.is_warming_up(**index)).count();
        (usable.len() as f64, warm as f64)
    }
}

#[test]
fn the_counts_of_usable_endpoints_are_those_of_a_scan() {
    let mut host = Host::new(40);
    for request in 1..4000 {
        host.now += host.random.below(20 * MS);
        host.handle(Event::Request(Request {
            id: request,
            group: request % 10,
            remaining: 500 * MS,
            ..Request::default()
        }));
        host.handle(Event::TimerFired(0));
        for action in std::mem::take(&mut host.actions) {
            host.now += host.random.below(5 * MS);
            if let Some(event) = host.end_of(action) {
                host.handle(event);
            }
        }
        let changed = host.random.below(60);
        let change = host.changed_entry(changed);
        let is_complete = host.random.below(50) == 0;
        host.handle(update(is_complete, vec![change]));
        let counted = (host.router.usable_endpoints, host.router.warm_endpoints);
        assert_eq!(counted, host.scan(), "after request {request}");
    }
}
