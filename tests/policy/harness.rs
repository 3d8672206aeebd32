//! Drives one router with a simulated clock, fires its timers, and returns its actions.

use liftrelay::*;

/// One millisecond.
pub const MS: Micros = 1000;

/// The indices of the classes in [`settings`].
pub const ANY: usize = 0;
pub const WRITE: usize = 1;
pub const LATEST: usize = 2;
pub const READ_YOUR_WRITES: usize = 3;
pub const BOUNDED_STALENESS: usize = 4;
pub const AT_MOST_ONCE: usize = 5;

/// A class with a latency objective of 400 ms.
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

/// Settings with a class for each requirement, and one for writes that must run at most once.
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

/// The list entry of an endpoint of group 1 that is in service and started long ago.
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

/// A request to group 1 whose client waits for 2 s. It has an idempotency key, which its class may use.
pub fn request(id: u32, class: usize) -> Request {
    executing(id, ExecutedStatement { has_key: true, ..ExecutedStatement::new(class, 0) })
}

/// A request like [`request`] that executes this statement.
pub fn executing(id: u32, statement: ExecutedStatement) -> Request {
    Request { id, group: 1, remaining: 2000 * MS, ..Request::executing(statement) }
}

/// A read of own writes whose session has committed this long before.
pub fn own_read(id: u32, time_since_write: Micros) -> Request {
    let statement = ExecutedStatement::new(READ_YOUR_WRITES, 0);
    executing(id, ExecutedStatement { time_since_write: Some(time_since_write), ..statement })
}

const DEFAULT_SEED: u64 = 5;
/// The time at which a harness starts.
const START: Micros = 1_000_000 * MS;
/// The time at which a harness with an unknown clock starts: more than an hour after 0, so that the members'
/// clocks can be an hour behind.
const LATE_START: Micros = 10_000_000 * MS;

#[derive(Clone, Copy)]
struct Timer {
    due_at: Micros,
    token: u32,
}

/// A router, its clock and its timer.
pub struct RouterHarness {
    pub router: Router,
    pub now: Micros,
    /// All actions of the router since the log was last cleared.
    pub log: Vec<Action>,
    timer: Option<Timer>,
}

impl RouterHarness {
    /// Creates a router whose list has this many endpoints, numbered from 1.
    pub fn new(settings: Settings, endpoints: u64) -> RouterHarness {
        RouterHarness::seeded(settings, endpoints, DEFAULT_SEED)
    }

    /// Creates a router like [`RouterHarness::new`], on a host whose clock may differ from those of the
    /// members.
    pub fn with_unknown_clock(settings: Settings, endpoints: u64) -> RouterHarness {
        let router = Router::with_unknown_clock(settings, DEFAULT_SEED, LATE_START);
        RouterHarness::with_router(router, LATE_START, endpoints)
    }

    fn seeded(settings: Settings, endpoints: u64, seed: u64) -> RouterHarness {
        RouterHarness::with_router(Router::new(settings, seed, START), START, endpoints)
    }

    fn with_router(router: Router, now: Micros, endpoints: u64) -> RouterHarness {
        let mut harness = RouterHarness { router, now, log: Vec::new(), timer: None };
        harness.handle(Event::EndpointUpdate {
            complete: true,
            endpoints: (1..=endpoints).map(endpoint_entry).collect(),
        });
        harness
    }

    /// Creates a router like [`RouterHarness::new`], which knows endpoint 1 as the primary and the others as
    /// replicas.
    pub fn with_known_roles(settings: Settings, endpoints: u64) -> RouterHarness {
        RouterHarness::with_known_roles_seeded(settings, endpoints, DEFAULT_SEED)
    }

    /// Creates a router like [`RouterHarness::with_known_roles`], with this seed.
    pub fn with_known_roles_seeded(settings: Settings, endpoints: u64, seed: u64) -> RouterHarness {
        let mut harness = RouterHarness::seeded(settings, endpoints, seed);
        for endpoint in 1..=endpoints {
            let role = if endpoint == 1 { Role::Primary } else { Role::Replica };
            harness.report(endpoint, role, harness.now - MS);
        }
        harness
    }

    /// Passes an event to the router, and returns its actions.
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

    /// Ends a probe of an endpoint with an answer that reports this role and position.
    pub fn report(&mut self, endpoint: u64, role: Role, position: Micros) {
        let report = LoadReport { role: Some(role), position: Some(position) };
        self.handle(Event::ProbeEnded { endpoint: EndpointId(endpoint), answered: true, report });
    }

    /// Advances the clock by `span`, and fires the timers of the router that become due meanwhile.
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

    /// Passes a new request of this class to the router.
    pub fn request(&mut self, id: u32, class: usize) -> Vec<Action> {
        self.handle(Event::Request(request(id, class)))
    }

    /// Ends an attempt at an endpoint, whose response reports this role.
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

/// The result of an attempt that took 20 ms and whose response reports nothing about the endpoint.
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

/// The endpoint of the only send among the actions; `None` without a send.
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

/// A pseudo-random number generator (xorshift) with this state, whose numbers are the same in every run.
pub struct RandomDraws(pub u64);

impl RandomDraws {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }

    /// Returns a random interval between independent events that occur at this rate per second.
    pub fn interval(&mut self, rate: f64) -> Micros {
        let uniform = (self.below(1 << 30) + 1) as f64 / f64::from(1 << 30);
        (-uniform.ln() / rate * 1e6) as Micros
    }
}

/// The number of sends to this endpoint among the actions.
pub fn send_count(actions: &[Action], to: u64) -> usize {
    let is_send = |action: &&Action| matches!(action, Action::Send { endpoint, .. } if endpoint.0 == to);
    actions.iter().filter(is_send).count()
}

/// Serves reads and their retries, each read 20 ms after the end of the one before, and returns the number of
/// attempts that were sent to endpoint `faulty`. Every attempt there ends with `outcome`, and every attempt
/// elsewhere succeeds.
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
            let attempt_outcome = if to == faulty { outcome } else { Outcome::Ok };
            actions = harness.end_attempt(id, attempt, to, attempt_outcome, None);
            attempt += 1;
        }
    }
    at_faulty
}

/// Settings with an idle timeout of 0. No connection counts as open, so that all replicas take turns in ties.
pub fn settings_without_open_connections() -> Settings {
    Settings { idle_timeout: 0, ..settings() }
}

/// Changes the state of one endpoint in the list.
pub fn update_state(harness: &mut RouterHarness, endpoint: u64, state: EndpointState) {
    harness.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![EndpointEntry { state, ..endpoint_entry(endpoint) }],
    });
}

/// Serves reads one by one at intervals of 100 ms, and returns the number that were sent to the endpoints
/// `counted`.
pub fn serve_and_count(
    harness: &mut RouterHarness,
    ids: std::ops::Range<u32>,
    counted: std::ops::RangeInclusive<u64>,
) -> usize {
    harness.log.clear();
    for id in ids {
        harness.advance(100 * MS);
        if let Some(destination) = sent_to(&harness.request(id, ANY)) {
            harness.end_attempt(id, 0, destination, Outcome::Ok, None);
        }
    }
    counted.map(|number| send_count(&harness.log, number)).sum()
}
