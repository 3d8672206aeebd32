//! Outages in which all members of a group refuse connections.

use crate::harness::*;
use liftrelay::*;
use std::collections::HashMap;

const STEP: Micros = 5 * MS;
const SERVICE_TIME: Micros = 20 * MS;
/// How long a client waits after an answer before it sends its next request.
const THINK_TIME: Micros = 20 * MS;
const OUTAGE: Micros = 700 * MS;
const MEMBERS: u64 = 3;

/// An attempt that a member is serving.
struct InFlight {
    request: u32,
    attempt: u32,
    endpoint: u64,
    ends_at: Micros,
}

/// A router whose clients send one read at a time. Its members refuse all connections until the outage ends.
struct Outage {
    harness: RouterHarness,
    ends_at: Micros,
    in_flight: Vec<InFlight>,
    /// When each client sends its next request; [`Micros::MAX`] while it waits for an answer.
    next_request_at: Vec<Micros>,
    /// The client of each request without a final answer, and the number of its attempts.
    open: HashMap<u32, (usize, u32)>,
    last_request: u32,
    /// The times at which the attempts that a member served were sent.
    served_sends: Vec<Micros>,
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
            // The first requests of the clients are spread over time.
            next_request_at: (0..clients).map(|client| now + client as Micros * THINK_TIME / 4).collect(),
            open: HashMap::new(),
            last_request: 0,
            served_sends: Vec::new(),
        }
    }

    /// Runs until `after_outage` has passed since the end of the outage, and returns the number of attempts
    /// that the members served.
    fn run(&mut self, after_outage: Micros) -> usize {
        while self.harness.now < self.ends_at + after_outage {
            let actions = self.harness.advance(STEP);
            self.observe(actions);
            self.end_due_attempts();
            self.send_due_requests();
        }
        self.served_sends.len()
    }

    fn send_due_requests(&mut self) {
        let now = self.harness.now;
        for client in 0..self.next_request_at.len() {
            if self.next_request_at[client] <= now {
                self.next_request_at[client] = Micros::MAX;
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
        let (_, attempts) = self.open.get_mut(&request).expect("the request has no final answer");
        let attempt = *attempts;
        *attempts += 1;
        if now < self.ends_at {
            return self.harness.end_attempt(request, attempt, endpoint, Outcome::ConnectFailed, None);
        }
        self.served_sends.push(now);
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
        let (client, _) = self.open.remove(&request).expect("the request has no other final answer");
        self.next_request_at[client] = self.harness.now + THINK_TIME;
    }
}

/// Guards against a slow start that keeps a group out of use for seconds after an outage. All its members
/// then count as just started, and their budgets would follow the little work that was offered and served
/// during the outage.
#[test]
fn a_group_that_refused_all_connections_is_tried_and_used_soon_after_the_outage() {
    for seed in 1..=10 {
        let mut outage = Outage::start(&settings(), seed, 6);
        let served = outage.run(4000 * MS);
        let tried_after = (outage.served_sends[0] - outage.ends_at) / MS;
        assert!(tried_after < 1700, "seed {seed}: first tried after {tried_after} ms");
        assert!(served > 100, "seed {seed}: only {served} attempts served");
    }
}

/// Guards against an overload of members that have just started, to which all routers send at the same time:
/// each router must try the group only once, and send no more than slow start allows.
#[test]
fn a_group_is_not_overloaded_by_many_routers_after_an_outage() {
    let routers = 300;
    let settings = Settings { instances: routers, ..settings() };
    let seconds = 2;
    let served = (0..routers).map(|seed| Outage::start(&settings, seed.into(), 1).run(seconds * 1000 * MS));
    let served: usize = served.sum();
    // The number of requests that the members serve if they are warm and each serves one at a time. Slow
    // start allows about a sixth of that rate when the members are back (0.4 of twice a capacity of 0.2), and
    // still less than a third 2 s later, when their capacity has risen to 0.36.
    let warm_requests = MEMBERS * seconds * 1_000_000 / SERVICE_TIME;
    assert!(
        served as u64 <= u64::from(routers) + warm_requests / 3,
        "{served} attempts of {routers} routers"
    );
}
