//! Checks that random event sequences with fixed seeds keep the rules of the router's interface:
//!
//! - Each request gets one final answer, at most `ANSWER_GRACE` after its deadline, unless an attempt serves
//!   it.
//! - A request has at most one attempt in flight and none after its answer. It has at most `max_attempts` in
//!   total, not counting attempts that failed on this machine.
//! - A request that may have run is sent again only if its class allows this; a request with an idempotency
//!   key, only within its window.
//! - A request that may have run is rejected only if it may be repeated at any endpoint.
//! - An endpoint gets no attempts later than `DRAIN_GRACE` after it is listed as draining, or as removed
//!   where the settings do not allow the use of removed endpoints.
//!
//! The checker does not depend on the policy: it sees only the events that the router handles and the actions
//! that it returns.

use crate::harness::*;
use liftrelay::*;
use std::collections::BTreeMap;

/// How long after its deadline a request may get its final answer.
const ANSWER_GRACE: Micros = 20 * MS;
/// How long an endpoint may still be sent attempts after it is listed as draining or removed.
const DRAIN_GRACE: Micros = 500 * MS;
/// The time from the start of a sequence to the last arrival of a request.
const ARRIVALS: Micros = 6_000 * MS;
/// How long a sequence continues after the last arrival, so that all requests reach their deadline.
const SETTLING: Micros = 3_000 * MS;
const STEP: Micros = 5 * MS;

struct ObservedAttempt {
    endpoint: u64,
    sent_at: Micros,
    outcome: Option<Outcome>,
}

impl ObservedAttempt {
    fn may_have_run(&self) -> bool {
        use Outcome::{ConnectFailed, LocalError, NeverSent, NotServable, RejectedByMember};
        !matches!(self.outcome, Some(RejectedByMember | ConnectFailed | NeverSent | LocalError | NotServable))
    }
}

struct ObservedRequest {
    class: usize,
    arrived_at: Micros,
    deadline: Micros,
    attempts: Vec<ObservedAttempt>,
    answered: bool,
}

/// Checks the actions of one router, and collects the violations of the rules.
struct RuleChecker {
    settings: Settings,
    requests: BTreeMap<u32, ObservedRequest>,
    /// The endpoints that must not be sent attempts, with the time at which they were listed as draining, or
    /// as removed where the settings do not allow the use of removed endpoints.
    forbidden_since: BTreeMap<u64, Micros>,
    violations: Vec<String>,
}

impl RuleChecker {
    fn new(settings: Settings) -> RuleChecker {
        RuleChecker {
            settings,
            requests: BTreeMap::new(),
            forbidden_since: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    fn add_request(&mut self, id: u32, class: usize, arrived_at: Micros, deadline: Micros) {
        let request = ObservedRequest { class, arrived_at, deadline, attempts: Vec::new(), answered: false };
        self.requests.insert(id, request);
    }

    fn check_actions(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, endpoint, .. } => self.check_send(now, *request, endpoint.0),
                Action::Reject { request, .. } => {
                    self.check_rejection(*request);
                    self.check_answer(now, *request);
                }
                Action::Fail { request, .. } => self.check_answer(now, *request),
                _ => {}
            }
        }
    }

    fn check_rejection(&mut self, id: u32) {
        let request = &self.requests[&id];
        let may_have_run = request.attempts.iter().any(ObservedAttempt::may_have_run);
        let is_repeatable = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { across_groups: true, .. }
        );
        if may_have_run && !is_repeatable {
            self.violations.push(format!("request {id} rejected though it may have run"));
        }
    }

    fn check_answer(&mut self, now: Micros, id: u32) {
        let request = self.requests.get_mut(&id).expect("a known request");
        if request.answered {
            self.violations.push(format!("request {id} answered twice"));
        }
        if now > request.deadline + ANSWER_GRACE {
            self.violations.push(format!("request {id} answered after its deadline"));
        }
        request.answered = true;
    }

    fn check_send(&mut self, now: Micros, id: u32, endpoint: u64) {
        let request = self.requests.get_mut(&id).expect("a known request");
        if request.answered {
            self.violations.push(format!("request {id} sent after its answer"));
        }
        let was_made = |attempt: &&ObservedAttempt| attempt.outcome != Some(Outcome::LocalError);
        if request.attempts.iter().filter(was_made).count() as u32 >= self.settings.max_attempts {
            self.violations.push(format!("request {id} sent more often than max_attempts allows"));
        }
        if request.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            self.violations.push(format!("request {id} sent while an attempt was in flight"));
        }
        let may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        let first_run_at = may_have_run.map(|attempt| attempt.sent_at).min();
        match (self.settings.classes[request.class].idempotency, first_run_at) {
            (Idempotency::AtMostOnce, Some(_)) => {
                self.violations.push(format!("at-most-once request {id} repeated"));
            }
            (Idempotency::Keyed { window, .. }, Some(first_run_at)) if now > first_run_at + window => {
                self.violations.push(format!("keyed request {id} repeated outside its window"));
            }
            _ => {}
        }
        if self.forbidden_since.get(&endpoint).is_some_and(|since| now > since + DRAIN_GRACE) {
            self.violations.push(format!("request {id} sent to {endpoint}, which is draining or removed"));
        }
        request.attempts.push(ObservedAttempt { endpoint, sent_at: now, outcome: None });
    }

    fn check_all_answered(&mut self, now: Micros) {
        for (id, request) in &self.requests {
            if !request.answered && now > request.deadline + ANSWER_GRACE {
                let ObservedRequest { class, arrived_at, .. } = request;
                let unanswered =
                    format!("request {id} (class {class}, arrived at {arrived_at}) never answered");
                self.violations.push(unanswered);
            }
        }
    }
}

#[derive(Clone, Copy)]
struct InFlight {
    ends_at: Micros,
    outcome: Outcome,
    request: u32,
    attempt: u32,
    endpoint: u64,
}

/// Simulates the clients, the endpoints and the endpoint list of one router with random events.
struct RandomEnvironment<'a> {
    settings: Settings,
    draws: RandomDraws,
    harness: RouterHarness,
    checker: RuleChecker,
    in_flight: Vec<InFlight>,
    last_request: u32,
    /// Changes the actions before the checker sees them. Tests of the checker use it to cause violations.
    tamper: &'a dyn Fn(&mut Vec<Action>),
}

impl RandomEnvironment<'_> {
    fn observe(&mut self, mut actions: Vec<Action>) {
        (self.tamper)(&mut actions);
        self.checker.check_actions(self.harness.now, &actions);
        for action in &actions {
            match action {
                Action::Send { request, endpoint, timeout, .. } => {
                    self.schedule_outcome(*request, endpoint.0, *timeout);
                }
                Action::Cancel { request, attempt } => self.cancel(*request, *attempt),
                _ => {}
            }
        }
    }

    fn schedule_outcome(&mut self, id: u32, endpoint: u64, timeout: Micros) {
        let now = self.harness.now;
        let request = &self.checker.requests[&id];
        let attempt = request.attempts.len() as u32 - 1;
        let is_write = self.settings.classes[request.class].requirement == Requirement::Write;
        let (after, outcome) = match self.draws.below(12) {
            _ if is_write && endpoint != 1 => (2, Outcome::NotServable),
            0 => (3, Outcome::Error),
            1 => (1, Outcome::RejectedByMember),
            2 => (250, Outcome::ConnectFailed),
            3 => (40, Outcome::Reset),
            4 => (50, Outcome::NotServable),
            5 | 6 => (1_000_000, Outcome::TimedOut),
            7 => (1, Outcome::LocalError),
            _ => (10 + self.draws.below(100), Outcome::Ok),
        };
        let limit = now + timeout.min(request.deadline.saturating_sub(now));
        let is_overdue = now + after * MS > limit;
        let ends_at = if is_overdue { limit } else { now + after * MS };
        let outcome = if is_overdue { Outcome::TimedOut } else { outcome };
        self.in_flight.push(InFlight { ends_at, outcome, request: id, attempt, endpoint });
    }

    fn cancel(&mut self, id: u32, attempt: u32) {
        let cancelled = self.in_flight.iter_mut().filter(|flight| flight.request == id);
        for flight in cancelled.filter(|flight| flight.attempt == attempt) {
            flight.ends_at = self.harness.now;
            flight.outcome = Outcome::Cancelled;
        }
    }

    fn end_due_attempts(&mut self) {
        let now = self.harness.now;
        let due: Vec<_> = self.in_flight.iter().filter(|flight| flight.ends_at <= now).copied().collect();
        self.in_flight.retain(|flight| flight.ends_at > now);
        for flight in due {
            let request = self.checker.requests.get_mut(&flight.request).expect("a known request");
            let attempt = &mut request.attempts[flight.attempt as usize];
            assert_eq!(attempt.endpoint, flight.endpoint);
            attempt.outcome = Some(flight.outcome);
            request.answered |= flight.outcome == Outcome::Ok;
            let role = if flight.endpoint == 1 { Role::Primary } else { Role::Replica };
            let result = AttemptResult {
                elapsed: now - attempt.sent_at,
                metadata: ResponseMetadata { role: Some(role), position: None },
                finished: request.answered,
                ..attempt_result(flight.request, flight.attempt, flight.endpoint, flight.outcome)
            };
            let actions = self.harness.handle(Event::AttemptEnded(result));
            self.observe(actions);
        }
    }

    fn add_request(&mut self) -> Vec<Action> {
        let now = self.harness.now;
        let class = self.draws.below(self.settings.classes.len() as u64) as usize;
        let remaining = (50 + self.draws.below(1950)) * MS;
        self.last_request += 1;
        self.checker.add_request(self.last_request, class, now, now + remaining);
        let request = Request { remaining, ..request(self.last_request, class) };
        self.harness.handle(Event::Request(request))
    }

    fn change_endpoint_state(&mut self) -> Vec<Action> {
        use EndpointState::{Draining, Ready, Removed};
        let endpoint = 1 + self.draws.below(4);
        let state = [Ready, Ready, Draining, Removed][self.draws.below(4) as usize];
        match state {
            Ready => {
                self.checker.forbidden_since.remove(&endpoint);
            }
            Removed if self.settings.removed_endpoints_usable => {}
            Draining | Removed => {
                self.checker.forbidden_since.entry(endpoint).or_insert(self.harness.now);
            }
        }
        let entry = EndpointEntry { state, ..endpoint_entry(endpoint) };
        self.harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![entry] })
    }
}

/// Runs a random sequence of events, and returns the violations of the rules.
fn run_random_events(seed: u64, settings: Settings, tamper: &dyn Fn(&mut Vec<Action>)) -> Vec<String> {
    let mut environment = RandomEnvironment {
        draws: RandomDraws(seed.wrapping_mul(0x9e37_79b9) | 1),
        harness: RouterHarness::new(settings.clone(), 4),
        checker: RuleChecker::new(settings.clone()),
        in_flight: Vec::new(),
        last_request: 0,
        settings,
        tamper,
    };
    let last_arrival = environment.harness.now + ARRIVALS;
    while environment.harness.now < last_arrival + SETTLING {
        let mut batches = vec![environment.harness.advance(STEP)];
        environment.end_due_attempts();
        if environment.harness.now < last_arrival && environment.draws.below(3) == 0 {
            batches.push(environment.add_request());
        }
        if environment.draws.below(60) == 0 {
            batches.push(environment.change_endpoint_state());
        }
        for actions in batches {
            environment.observe(actions);
        }
    }
    environment.checker.check_all_answered(environment.harness.now);
    environment.checker.violations
}

#[test]
fn the_router_keeps_the_rules_in_random_event_sequences() {
    for seed in 1..=60 {
        for (keyed_across_groups, removed_endpoints_usable) in [(false, false), (true, false), (false, true)]
        {
            let mut settings = Settings { removed_endpoints_usable, ..settings() };
            settings.classes[WRITE].idempotency =
                Idempotency::Keyed { across_groups: keyed_across_groups, window: 700 * MS };
            let violations = run_random_events(seed, settings, &|_| {});
            assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        }
    }
}

#[test]
fn the_checker_detects_lost_answers() {
    let drop_rejections = |actions: &mut Vec<Action>| actions.retain(|a| !matches!(a, Action::Reject { .. }));
    let violations: Vec<String> =
        (1..=10).flat_map(|seed| run_random_events(seed, settings(), &drop_rejections)).collect();
    assert!(violations.iter().any(|violation| violation.contains("never answered")), "{violations:?}");
}

#[test]
fn the_checker_detects_rejections_of_requests_that_may_have_run() {
    let reject_failures = |actions: &mut Vec<Action>| {
        for a in actions {
            if let Action::Fail { request, reason, ruled_out } = a {
                let (request, reason, ruled_out) = (*request, *reason, *ruled_out);
                *a = Action::Reject { request, retry_after: 0, reason, ruled_out };
            }
        }
    };
    let violations: Vec<String> =
        (1..=20).flat_map(|seed| run_random_events(seed, settings(), &reject_failures)).collect();
    assert!(
        violations.iter().any(|violation| violation.contains("rejected though it may have run")),
        "{violations:?}"
    );
}

#[test]
fn the_checker_detects_sends_to_draining_endpoints() {
    let divert = |actions: &mut Vec<Action>| {
        for a in actions {
            if let Action::Send { endpoint: destination, .. } = a {
                *destination = EndpointId(2);
            }
        }
    };
    let violations: Vec<String> = (1..=10).flat_map(|seed| run_diverted_send(seed, &divert)).collect();
    assert!(violations.iter().any(|violation| violation.contains("draining or removed")), "{violations:?}");
}

/// Sends one request, diverts its attempt to a draining endpoint, and returns the violations of the rules.
///
/// Only the checker sees the diverted attempt. The router would ignore its outcome, as it has no attempt
/// outstanding at that endpoint.
fn run_diverted_send(seed: u64, divert: &dyn Fn(&mut Vec<Action>)) -> Vec<String> {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let mut checker = RuleChecker::new(settings());
    update_state(&mut harness, 2, EndpointState::Draining);
    checker.forbidden_since.insert(2, harness.now);
    harness.advance(DRAIN_GRACE + seed * MS);
    checker.add_request(1, ANY, harness.now, harness.now);
    let mut actions = harness.request(1, ANY);
    assert_ne!(sent_to(&actions), Some(2));
    divert(&mut actions);
    checker.check_actions(harness.now, &actions);
    checker.violations
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut harness = RouterHarness::new(settings(), 4);
        for id in 1..=50 {
            harness.request(id, (id % 6) as usize);
            harness.advance(7 * MS);
        }
        harness.log
    };
    assert_eq!(run(), run());
}
