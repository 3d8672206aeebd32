//! A small driver of one router: it keeps the clock and hands back what the router asks for.
#![allow(dead_code, missing_docs)]

use liftrelay::*;

pub const MS: Micros = 1000;
/// Class numbers of [`settings`].
pub const ANY: usize = 0;
pub const WRITE: usize = 1;
pub const LATEST: usize = 2;
pub const OWN: usize = 3;
pub const RECENT: usize = 4;
pub const UNSAFE: usize = 5;

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

pub fn member(n: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(n),
        group: 1,
        zone: 0,
        state: EndpointState::Ready,
        primary_hint: false,
        started_at: 0,
    }
}

pub fn request(id: u32, class: usize) -> Request {
    Request {
        id,
        class,
        group: 1,
        session: 0,
        tenant: 0,
        time_since_write: None,
        remaining: 2000 * MS,
        is_retry: false,
    }
}

pub struct Rig {
    pub router: Router,
    pub now: Micros,
    pub log: Vec<Action>,
    tick: Option<(Micros, u32)>,
}

impl Rig {
    /// A router that has been given the list of members 1 to `n`.
    pub fn new(settings: Settings, n: u64) -> Rig {
        Rig::seeded(settings, n, 5)
    }

    fn seeded(settings: Settings, n: u64, seed: u64) -> Rig {
        let now = 1_000_000 * MS;
        let mut rig = Rig { router: Router::new(settings, seed, now), now, log: Vec::new(), tick: None };
        rig.event(Event::EndpointUpdate { full: true, endpoints: (1..=n).map(member).collect() });
        rig
    }

    /// The same, with member 1 heard as the primary and the others as replicas.
    pub fn known(settings: Settings, n: u64) -> Rig {
        Rig::known_by(settings, n, 5)
    }

    /// The same, for the router with this seed.
    pub fn known_by(settings: Settings, n: u64, seed: u64) -> Rig {
        let mut rig = Rig::seeded(settings, n, seed);
        for s in 1..=n {
            rig.report(s, if s == 1 { Role::Primary } else { Role::Replica }, rig.now - MS);
        }
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        for a in &out {
            if let Action::SetTimer { token, after } = a {
                self.tick = Some((self.now + after, *token));
            }
        }
        self.log.extend(out.iter().cloned());
        out
    }

    pub fn report(&mut self, n: u64, role: Role, position: Micros) {
        let report = LoadReport { role: Some(role), position: Some(position) };
        self.event(Event::Probed { endpoint: EndpointId(n), answered: true, report });
    }

    /// Lets time pass, with the router's timers coming due on the way.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while let Some((at, token)) = self.tick.filter(|(at, _)| *at <= end) {
            self.now = at;
            self.tick = None;
            all.extend(self.event(Event::TimerFired(token)));
        }
        self.now = end;
        all
    }

    pub fn ask(&mut self, id: u32, class: usize) -> Vec<Action> {
        self.event(Event::Request(request(id, class)))
    }

    pub fn end(
        &mut self,
        id: u32,
        attempt: u32,
        n: u64,
        outcome: Outcome,
        role: Option<Role>,
    ) -> Vec<Action> {
        let ended = ended(id, attempt, n, outcome);
        self.event(Event::AttemptEnded(AttemptResult {
            metadata: ResponseMetadata { role, position: None },
            ..ended
        }))
    }
}

/// The end of an attempt after 20 ms, without a note.
pub fn ended(id: u32, attempt: u32, n: u64, outcome: Outcome) -> AttemptResult {
    AttemptResult {
        request: id,
        attempt,
        endpoint: EndpointId(n),
        outcome,
        elapsed: 20 * MS,
        metadata: ResponseMetadata::default(),
        finished: outcome == Outcome::Ok,
        report: LoadReport::default(),
    }
}

/// The server of the only send among the actions.
pub fn sent(actions: &[Action]) -> Option<u64> {
    let mut to = actions.iter().filter_map(|a| match a {
        Action::Send { endpoint: server, .. } => Some(server.0),
        _ => None,
    });
    let first = to.next();
    assert!(to.next().is_none(), "more than one send: {actions:?}");
    first
}

pub fn refused(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: u32) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Chance that is the same every time.
pub struct Dice(pub u64);

impl Dice {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }

    /// The time to the next of events that come at this rate a second, independently of each other.
    pub fn gap(&mut self, rate: f64) -> Micros {
        let part = (self.below(1 << 30) + 1) as f64 / f64::from(1 << 30);
        (-part.ln() / rate * 1e6) as Micros
    }
}
