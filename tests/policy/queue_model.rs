//! A model of a primary with finite workers and a finite waiting room, and the routers that send to it.

use crate::harness::*;
use liftrelay::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The endpoint that is the primary; the others are replicas.
const PRIMARY: u64 = 1;
/// The time after which a rejection by the member arrives at its router.
const REJECTION_DELAY: Micros = MS / 2;
/// The share of what the primary can serve that is offered during the warm-up.
const WARM_UP_LOAD: f64 = 0.1;
/// How often the routers' timers are run.
const TIMER_STEP: Micros = 5 * MS;

/// How long the primary works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceTime {
    /// Always equally long.
    Fixed,
    /// Distributed exponentially.
    Exponential,
}

/// A primary, its load, and the routers that send to it.
#[derive(Clone, Copy, Debug)]
pub struct QueueCase {
    /// The number of routers; each gets an equal share of the requests.
    pub routers: usize,
    /// The number of requests that the primary works on at a time.
    pub workers: usize,
    /// The number of requests that may wait for a worker.
    pub waiting_room: usize,
    /// The mean time that the primary works on a request.
    pub work: Micros,
    /// How this time is distributed.
    pub service_time: ServiceTime,
    /// The offered requests, as a share of what the primary can serve.
    pub load: f64,
    /// The percentage of attempts that the primary rejects whether or not its waiting room is full.
    pub rejected_percent: u64,
    /// How long a tenth of what the primary can serve is offered, before the counted time.
    pub warm_up: Micros,
    /// How long requests arrive that are counted.
    pub duration: Micros,
}

/// The sums over a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueOutcome {
    /// The requests that arrived.
    pub requests: usize,
    /// The attempts that were sent to the primary.
    pub attempts: usize,
    /// The requests that were served.
    pub served: usize,
    /// The requests that were served within their latency objective.
    pub served_in_time: usize,
    /// The requests that were rejected.
    pub rejected: usize,
}

impl QueueOutcome {
    /// The attempts for each request, on average.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests as f64
    }

    /// The share of the requests that were served within their latency objective.
    pub fn useful_share(&self) -> f64 {
        self.served_in_time as f64 / self.requests as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedAttempt {
    router: usize,
    request: u32,
    number: u32,
    sent_at: Micros,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum QueueEvent {
    RequestArrives(usize),
    WorkEnds(QueuedAttempt),
    RejectionArrives(QueuedAttempt),
    ReplicaAnswers(QueuedAttempt, u64),
    TimersRun,
}

struct PendingAtRouter {
    arrived_at: Micros,
    attempts: u32,
}

struct QueueModel {
    case: QueueCase,
    draws: RandomDraws,
    harnesses: Vec<RouterHarness>,
    events: BinaryHeap<Reverse<(Micros, QueueEvent)>>,
    pending: BTreeMap<u32, PendingAtRouter>,
    busy_workers: usize,
    waiting: VecDeque<QueuedAttempt>,
    counted_from: Micros,
    last_id: u32,
    outcome: QueueOutcome,
}

impl QueueCase {
    /// The settings of the routers.
    fn settings(&self) -> Settings {
        let class = Class {
            latency_objective: 600 * MS,
            deadline: 5000 * MS,
            late_value: 0.7,
            ..class(Requirement::Write, Idempotency::AtMostOnce)
        };
        let mut classes = settings().classes;
        classes[AT_MOST_ONCE] = class;
        Settings { instances: self.routers as u32, classes, max_attempts: 8, ..settings() }
    }

    /// Runs the case with this seed.
    pub fn run(self, seed: u64) -> QueueOutcome {
        QueueModel::new(self, seed).run()
    }

    /// Runs the case with these seeds, and returns the sums.
    pub fn run_all(self, seeds: std::ops::RangeInclusive<u64>) -> QueueOutcome {
        seeds.map(|seed| self.run(seed)).fold(QueueOutcome::default(), |sum, outcome| QueueOutcome {
            requests: sum.requests + outcome.requests,
            attempts: sum.attempts + outcome.attempts,
            served: sum.served + outcome.served,
            served_in_time: sum.served_in_time + outcome.served_in_time,
            rejected: sum.rejected + outcome.rejected,
        })
    }
}

impl QueueModel {
    fn new(case: QueueCase, seed: u64) -> QueueModel {
        let settings = case.settings();
        let harness = |router| {
            let seed = seed * 1000 + router as u64;
            RouterHarness::with_known_roles_seeded(settings.clone(), 3, seed)
        };
        let harnesses: Vec<_> = (0..case.routers).map(harness).collect();
        let start = harnesses[0].now;
        let mut model = QueueModel {
            case,
            draws: RandomDraws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            harnesses,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            busy_workers: 0,
            waiting: VecDeque::new(),
            counted_from: start + case.warm_up,
            last_id: 0,
            outcome: QueueOutcome::default(),
        };
        model.events.push(Reverse((start, QueueEvent::TimersRun)));
        for router in 0..case.routers {
            model.schedule_arrival(start, router);
        }
        model
    }

    fn schedule_arrival(&mut self, now: Micros, router: usize) {
        let capacity = self.case.workers as f64 * 1e6 / self.case.work as f64;
        let load = if now < self.counted_from { WARM_UP_LOAD } else { self.case.load };
        let rate = load * capacity / self.case.routers as f64;
        let at = now + self.draws.interval(rate);
        self.events.push(Reverse((at, QueueEvent::RequestArrives(router))));
    }

    /// Runs until no request has arrived for as long as a client waits.
    fn run(mut self) -> QueueOutcome {
        let start = self.harnesses[0].now;
        let arrivals_end = start + self.case.warm_up + self.case.duration;
        let end = arrivals_end + 5000 * MS;
        let mut is_counted = false;
        while let Some(Reverse((now, event))) = self.events.pop()
            && now < end
        {
            if !is_counted && now >= self.counted_from {
                is_counted = true;
                self.outcome = QueueOutcome::default();
            }
            match event {
                QueueEvent::RequestArrives(_) if now >= arrivals_end => {}
                QueueEvent::RequestArrives(router) => self.start_request(now, router),
                QueueEvent::WorkEnds(attempt) => self.end_work(now, attempt),
                QueueEvent::RejectionArrives(attempt) => {
                    self.end_attempt(now, attempt, Outcome::RejectedByMember);
                }
                QueueEvent::ReplicaAnswers(attempt, endpoint) => {
                    self.end_attempt_at(now, attempt, endpoint, Outcome::NotServable);
                }
                QueueEvent::TimersRun => self.run_timers(now),
            }
        }
        self.outcome
    }

    fn run_timers(&mut self, now: Micros) {
        for router in 0..self.harnesses.len() {
            self.advance(now, router);
            self.carry_out(now, router);
        }
        self.events.push(Reverse((now + TIMER_STEP, QueueEvent::TimersRun)));
    }

    fn advance(&mut self, now: Micros, router: usize) {
        let harness = &mut self.harnesses[router];
        harness.advance(now.saturating_sub(harness.now));
    }

    fn start_request(&mut self, now: Micros, router: usize) {
        self.schedule_arrival(now, router);
        self.outcome.requests += 1;
        self.last_id += 1;
        let id = self.last_id;
        self.pending.insert(id, PendingAtRouter { arrived_at: now, attempts: 0 });
        self.advance(now, router);
        let request = Request { remaining: 5000 * MS, ..request(id, AT_MOST_ONCE) };
        self.harnesses[router].handle(Event::Request(request));
        self.carry_out(now, router);
    }

    /// Carries out the sends and the rejections that a router has requested.
    fn carry_out(&mut self, now: Micros, router: usize) {
        for action in std::mem::take(&mut self.harnesses[router].log) {
            match action {
                Action::Send { request, endpoint, .. } => {
                    let attempt = self.count_attempt(now, router, request);
                    match endpoint.0 {
                        PRIMARY => self.receive(now, attempt),
                        replica => {
                            let answer = QueueEvent::ReplicaAnswers(attempt, replica);
                            self.events.push(Reverse((now + REJECTION_DELAY, answer)));
                        }
                    }
                }
                Action::Reject { request, .. } => {
                    self.pending.remove(&request).expect("one final answer");
                    self.outcome.rejected += 1;
                }
                Action::Fail { request, .. } => panic!("request {request} failed"),
                _ => {}
            }
        }
    }

    fn count_attempt(&mut self, now: Micros, router: usize, request: u32) -> QueuedAttempt {
        let pending = self.pending.get_mut(&request).expect("no attempt follows the final answer");
        let attempt = QueuedAttempt { router, request, number: pending.attempts, sent_at: now };
        pending.attempts += 1;
        self.outcome.attempts += 1;
        attempt
    }

    /// Lets an attempt arrive at the primary, which works on it, queues it or rejects it.
    fn receive(&mut self, now: Micros, attempt: QueuedAttempt) {
        let is_rejected_by_chance = self.draws.below(100) < self.case.rejected_percent;
        if is_rejected_by_chance || self.waiting.len() >= self.case.waiting_room.max(1) {
            self.events.push(Reverse((now + REJECTION_DELAY, QueueEvent::RejectionArrives(attempt))));
            return;
        }
        self.waiting.push_back(attempt);
        self.start_work(now);
        // Without a waiting room, an attempt that finds no worker is rejected.
        if self.case.waiting_room == 0
            && let Some(attempt) = self.waiting.pop_back()
        {
            self.events.push(Reverse((now + REJECTION_DELAY, QueueEvent::RejectionArrives(attempt))));
        }
    }

    fn start_work(&mut self, now: Micros) {
        while self.busy_workers < self.case.workers
            && let Some(attempt) = self.waiting.pop_front()
        {
            self.busy_workers += 1;
            let work = match self.case.service_time {
                ServiceTime::Fixed => self.case.work,
                ServiceTime::Exponential => self.draws.interval(1e6 / self.case.work as f64),
            };
            self.events.push(Reverse((now + work, QueueEvent::WorkEnds(attempt))));
        }
    }

    fn end_work(&mut self, now: Micros, attempt: QueuedAttempt) {
        self.busy_workers -= 1;
        self.end_attempt(now, attempt, Outcome::Ok);
        self.start_work(now);
    }

    fn end_attempt(&mut self, now: Micros, attempt: QueuedAttempt, outcome: Outcome) {
        self.end_attempt_at(now, attempt, PRIMARY, outcome);
    }

    fn end_attempt_at(&mut self, now: Micros, attempt: QueuedAttempt, endpoint: u64, outcome: Outcome) {
        let QueuedAttempt { router, request, number, sent_at } = attempt;
        if outcome == Outcome::Ok {
            let pending = self.pending.remove(&request).expect("one final answer");
            self.outcome.served += 1;
            self.outcome.served_in_time += usize::from(now <= pending.arrived_at + 600 * MS);
        }
        self.advance(now, router);
        let role = if endpoint == PRIMARY { Role::Primary } else { Role::Replica };
        let result = AttemptResult {
            metadata: ResponseMetadata { role: Some(role), position: None },
            elapsed: now - sent_at,
            ..attempt_result(request, number, endpoint, outcome)
        };
        self.harnesses[router].handle(Event::AttemptEnded(result));
        self.carry_out(now, router);
    }
}
