//! Groups whose members all refuse connections for a while.

use crate::harness::*;
use liftrelay::*;
use std::collections::HashMap;

const STEP: Micros = 5 * MS;
const SERVICE_TIME: Micros = 20 * MS;
/// How long a client waits after its answer before it asks again.
const THINK_TIME: Micros = 20 * MS;
const OUTAGE: Micros = 700 * MS;
const MEMBERS: u64 = 3;

/// An attempt that is being served.
struct InFlight {
    request: u32,
    attempt: u32,
    endpoint: u64,
    ends_at: Micros,
}

/// A router whose clients each have one read at a time. Its members refuse all connections at first.
struct Outage {
    harness: RouterHarness,
    ends_at: Micros,
    in_flight: Vec<InFlight>,
    /// When each client asks next.
    next_ask: Vec<Micros>,
    /// The client and the attempts of each request that is not answered.
    open: HashMap<u32, (usize, u32)>,
    last_request: u32,
    /// When the attempts were sent that a member serves.
    served: Vec<Micros>,
}

impl Outage {
    fn start(settings: &Settings, seed: u64, clients: usize) -> Outage {
        let settings = Settings { probes: false, ..settings.clone() };
        let harness = RouterHarness::with_known_roles_seeded(settings, MEMBERS, seed);
        let now = harness.now;
        Outage {
            ends_at: now + OUTAGE,
            harness,
            in_flight: Vec::new(),
            // They do not ask all at once.
            next_ask: (0..clients).map(|client| now + client as Micros * THINK_TIME / 4).collect(),
            open: HashMap::new(),
            last_request: 0,
            served: Vec::new(),
        }
    }

    /// Runs until so long after the outage; returns how many attempts the members served.
    fn run(&mut self, after_outage: Micros) -> usize {
        while self.harness.now < self.ends_at + after_outage {
            let actions = self.harness.advance(STEP);
            self.observe(actions);
            self.end_due_attempts();
            self.ask();
        }
        self.served.len()
    }

    fn ask(&mut self) {
        let now = self.harness.now;
        for client in 0..self.next_ask.len() {
            if self.next_ask[client] <= now {
                self.next_ask[client] = Micros::MAX;
                self.last_request += 1;
                self.open.insert(self.last_request, (client, 0));
                let actions = self.harness.request(self.last_request, ANY);
                self.observe(actions);
            }
        }
    }

    fn observe(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            match action {
                Action::Send { request, endpoint, .. } => {
                    actions.extend(self.send(request, endpoint.0));
                }
                Action::Reject { request, .. } => self.answer(request),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: u32, endpoint: u64) -> Vec<Action> {
        let now = self.harness.now;
        let (_, attempts) = self.open.get_mut(&request).expect("it is not answered");
        let attempt = *attempts;
        *attempts += 1;
        if now < self.ends_at {
            return self.harness.end_attempt(request, attempt, endpoint, Outcome::ConnectFailed, None);
        }
        self.served.push(now);
        self.in_flight.push(InFlight { request, attempt, endpoint, ends_at: now + SERVICE_TIME });
        Vec::new()
    }

    fn end_due_attempts(&mut self) {
        let now = self.harness.now;
        for InFlight { request, attempt, endpoint, .. } in
            self.in_flight.extract_if(.., |flight| flight.ends_at <= now).collect::<Vec<_>>()
        {
            self.answer(request);
            let actions = self.harness.end_attempt(request, attempt, endpoint, Outcome::Ok, None);
            self.observe(actions);
        }
    }

    fn answer(&mut self, request: u32) {
        let (client, _) = self.open.remove(&request).expect("one answer");
        self.next_ask[client] = self.harness.now + THINK_TIME;
    }
}

/// Guards against an outage that lasts seconds longer than its cause: each member counts as one that has just
/// started, and the little that was asked and served meanwhile for what a warm one serves.
#[test]
fn a_group_that_refused_all_connections_is_soon_tried_and_used_again() {
    for seed in 1..=10 {
        let mut outage = Outage::start(&settings(), seed, 6);
        let served = outage.run(4000 * MS);
        let tried_after = (outage.served[0] - outage.ends_at) / MS;
        assert!(tried_after < 1700, "seed {seed}: after {tried_after} ms");
        assert!(served > 100, "seed {seed}: only {served}");
    }
}

/// Guards against members that have really just started, and are pushed over by all routers together: each tries
/// the group once, and sends it no more than slow start allows.
#[test]
fn a_group_that_is_back_is_not_overloaded_by_many_routers() {
    let routers = 300;
    let settings = Settings { instances: routers, ..settings() };
    let seconds = 2;
    let served = (0..routers).map(|seed| Outage::start(&settings, seed.into(), 1).run(seconds * 1000 * MS));
    let served: usize = served.sum();
    // What the members serve warm if each serves one request at a time; slow start allows a sixth of it.
    let warm = MEMBERS * seconds * 1_000_000 / SERVICE_TIME;
    assert!(served as u64 <= u64::from(routers) + warm / 3, "{served} of {routers} routers");
}
