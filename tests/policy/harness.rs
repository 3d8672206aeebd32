//! Drives one router: keeps its clock and timers, and hands back its actions.

use liftrelay::*;

/// A millisecond.
pub const MS: Micros = 1000;

/// Class numbers of [`settings`].
pub const ANY: usize = 0;
pub const WRITE: usize = 1;
pub const LATEST: usize = 2;
pub const READ_YOUR_WRITES: usize = 3;
pub const BOUNDED_STALENESS: usize = 4;
pub const AT_MOST_ONCE: usize = 5;

/// A class that needs an answer in 400 ms.
pub fn class(need: Requirement, idempotency: Idempotency) -> Class {
    Class {
        requirement: need,
        idempotency,
        latency_objective: 400 * MS,
        deadline: 2000 * MS,
        priority_weight: 1.0,
        late_value: 0.5,
    }
}

/// Settings with a class of each kind.
pub fn settings() -> Settings {
    let keyed = Idempotency::Keyed { across_groups: false, window: 2000 * MS };
    Settings {
        resolution: 5 * MS,
        classes: vec![
            class(Requirement::Any, Idempotency::Idempotent),
            class(Requirement::Write, keyed),
            class(Requirement::Latest, Idempotency::Idempotent),
            class(Requirement::ReadYourWrites, Idempotency::Idempotent),
            class(Requirement::BoundedStaleness(800 * MS), Idempotency::Idempotent),
            class(Requirement::Write, Idempotency::AtMostOnce),
        ],
        stale_read_behavior: StaleReadBehavior::WaitThenReject(50 * MS),
        slow_start_capacity: 0.2,
        slow_start_duration: 10_000 * MS,
        overload_window: 2000 * MS,
        ..Settings::default()
    }
}

/// A listed endpoint of group 1, started long ago.
pub fn endpoint_entry(id: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(id),
        group: 1,
        zone: 0,
        state: EndpointState::Ready,
        primary_hint: false,
        started_at: 0,
    }
}

/// A request of group 1 that waits for 2 s.
pub fn request(id: u32, class: usize) -> Request {
    Request {
        id,
        class,
        group: 1,
        session: 0,
        tenant: 0,
        time_since_write: None,
        min_position: None,
        remaining: 2000 * MS,
        is_retry: false,
    }
}

const DEFAULT_SEED: u64 = 5;
/// When harnesses start.
const START: Micros = 1_000_000 * MS;
/// The same where clocks are stepped back by an hour.
const LATE_START: Micros = 10_000_000 * MS;

#[derive(Clone, Copy)]
struct Timer {
    due_at: Micros,
    token: u32,
}

/// A router with its clock.
pub struct RouterHarness {
    pub router: Router,
    pub now: Micros,
    /// All actions since it was last cleared.
    pub log: Vec<Action>,
    timer: Option<Timer>,
}

impl RouterHarness {
    /// A router that has been given a list of this many endpoints, numbered from 1.
    pub fn new(settings: Settings, endpoints: u64) -> RouterHarness {
        RouterHarness::seeded(settings, endpoints, DEFAULT_SEED)
    }

    /// The same, for a router whose host's clock may differ from that of the endpoints.
    pub fn with_unknown_clock(settings: Settings, endpoints: u64) -> RouterHarness {
        let router = Router::with_unknown_clock(settings, DEFAULT_SEED, LATE_START);
        RouterHarness::driving(router, LATE_START, endpoints)
    }

    fn seeded(settings: Settings, endpoints: u64, seed: u64) -> RouterHarness {
        RouterHarness::driving(Router::new(settings, seed, START), START, endpoints)
    }

    fn driving(router: Router, now: Micros, endpoints: u64) -> RouterHarness {
        let mut harness = RouterHarness { router, now, log: Vec::new(), timer: None };
        harness.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: (1..=endpoints).map(endpoint_entry).collect(),
        });
        harness
    }

    /// The same, with endpoint 1 known as the primary and the others as replicas.
    pub fn with_known_roles(settings: Settings, endpoints: u64) -> RouterHarness {
        RouterHarness::with_known_roles_seeded(settings, endpoints, DEFAULT_SEED)
    }

    /// The same, for the router with this seed.
    pub fn with_known_roles_seeded(settings: Settings, endpoints: u64, seed: u64) -> RouterHarness {
        let mut harness = RouterHarness::seeded(settings, endpoints, seed);
        for endpoint in 1..=endpoints {
            let role = if endpoint == 1 { Role::Primary } else { Role::Replica };
            harness.report(endpoint, role, harness.now - MS);
        }
        harness
    }

    /// Hands the router an event, and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { token, after } = action {
                self.timer = Some(Timer { due_at: self.now + after, token: *token });
            }
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    /// Lets a probe of this endpoint be answered.
    pub fn report(&mut self, endpoint: u64, role: Role, position: Micros) {
        let report = LoadReport { role: Some(role), position: Some(position) };
        self.handle(Event::ProbeEnded { endpoint: EndpointId(endpoint), answered: true, report });
    }

    /// Lets time pass, with the router's timers coming due on the way.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(timer) = self.timer.take_if(|timer| timer.due_at <= end) {
            self.now = timer.due_at;
            actions.extend(self.handle(Event::TimerFired(timer.token)));
        }
        self.now = end;
        actions
    }

    /// Lets a request of this class come.
    pub fn request(&mut self, id: u32, class: usize) -> Vec<Action> {
        self.handle(Event::Request(request(id, class)))
    }

    /// Lets an attempt end at this endpoint, which tells its role.
    pub fn end_attempt(
        &mut self,
        id: u32,
        attempt: u32,
        endpoint: u64,
        outcome: Outcome,
        role: Option<Role>,
    ) -> Vec<Action> {
        let result = attempt_result(id, attempt, endpoint, outcome);
        self.handle(Event::AttemptEnded(AttemptResult {
            metadata: ResponseMetadata { role, position: None },
            ..result
        }))
    }
}

/// The end of an attempt after 20 ms that tells nothing of the endpoint.
pub fn attempt_result(id: u32, attempt: u32, endpoint: u64, outcome: Outcome) -> AttemptResult {
    AttemptResult {
        request: id,
        attempt,
        endpoint: EndpointId(endpoint),
        outcome,
        elapsed: 20 * MS,
        metadata: ResponseMetadata::default(),
        finished: outcome == Outcome::Ok,
        report: LoadReport::default(),
    }
}

/// The endpoint of the only send among the actions.
pub fn sent_to(actions: &[Action]) -> Option<u64> {
    let mut endpoints = actions.iter().filter_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint.0),
        _ => None,
    });
    let first = endpoints.next();
    assert!(endpoints.next().is_none(), "more than one send: {actions:?}");
    first
}

/// Whether the actions reject this request.
pub fn is_rejected(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

/// Whether the actions fail this request.
pub fn is_failed(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request, .. } if *request == id))
}

/// Pseudo-random numbers (xorshift), the same in every run.
pub struct RandomDraws(pub u64);

impl RandomDraws {
    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }

    /// The time to the next of events that come at this rate a second, independently of each other.
    pub fn gap(&mut self, rate: f64) -> Micros {
        let part = (self.below(1 << 30) + 1) as f64 / f64::from(1 << 30);
        (-part.ln() / rate * 1e6) as Micros
    }
}

/// How many of the actions send to this endpoint.
pub fn send_count(actions: &[Action], to: u64) -> usize {
    let is_send = |action: &&Action| matches!(action, Action::Send { endpoint, .. } if endpoint.0 == to);
    actions.iter().filter(is_send).count()
}

/// Serves reads for a while, endpoint `faulty` ending all it gets with `outcome`; returns how many it got.
pub fn serve_reads(
    harness: &mut RouterHarness,
    ids: std::ops::Range<u32>,
    faulty: u64,
    outcome: Outcome,
) -> usize {
    let mut at_faulty = 0;
    for id in ids {
        harness.advance(20 * MS);
        let mut actions = harness.request(id, ANY);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            at_faulty += usize::from(to == faulty);
            harness.now += 2 * MS;
            let how = if to == faulty { outcome } else { Outcome::Ok };
            actions = harness.end_attempt(id, attempt, to, how, None);
            attempt += 1;
        }
    }
    at_faulty
}

/// Connections that never last: ties go in turn among all.
pub fn settings_without_kept_connections() -> Settings {
    Settings { idle_timeout: 0, ..settings() }
}

/// Lets the list change the state of one endpoint.
pub fn update_state(harness: &mut RouterHarness, endpoint: u64, state: EndpointState) {
    harness.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![EndpointEntry { state, ..endpoint_entry(endpoint) }],
    });
}

/// Serves reads one by one, and returns how many went to the endpoints `to`.
pub fn serve_and_count(
    harness: &mut RouterHarness,
    ids: std::ops::Range<u32>,
    to: std::ops::RangeInclusive<u64>,
) -> usize {
    harness.log.clear();
    for id in ids {
        harness.advance(100 * MS);
        if let Some(at) = sent_to(&harness.request(id, ANY)) {
            harness.end_attempt(id, 0, at, Outcome::Ok, None);
        }
    }
    to.map(|n| send_count(&harness.log, n)).sum()
}
