//! The five rules as properties over fixed-seed random event sequences. The checker knows nothing of the module:
//! it reads only the events that went in and the actions that came out.

mod common;
use common::*;
use liftrelay::*;
use std::collections::BTreeMap;

const GRACE: Micros = 20 * MS;
const DRAIN_GRACE: Micros = 500 * MS;

struct Attempt {
    server: u64,
    sent: Micros,
    ended: Option<Outcome>,
}

struct Req {
    class: usize,
    came: Micros,
    deadline: Micros,
    attempts: Vec<Attempt>,
    answered: bool,
}

/// Watches one router from outside and collects what breaks a rule.
struct Checker {
    settings: Settings,
    requests: BTreeMap<u32, Req>,
    banned: BTreeMap<u64, Micros>,
    broken: Vec<String>,
}

fn never_ran(o: Outcome) -> bool {
    matches!(o, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::NotServable)
}

impl Checker {
    fn new(settings: Settings) -> Checker {
        Checker { settings, requests: BTreeMap::new(), banned: BTreeMap::new(), broken: Vec::new() }
    }

    fn actions(&mut self, now: Micros, actions: &[Action]) {
        for a in actions {
            match a {
                Action::Send { request, endpoint: server, .. } => self.send(now, *request, server.0),
                Action::Reject { request, .. } => {
                    let r = self.requests.get_mut(request).expect("a known request");
                    let ran = r.attempts.iter().any(|t| t.ended.is_none_or(|o| !never_ran(o)));
                    let anywhere = matches!(
                        self.settings.classes[r.class].idempotency,
                        Idempotency::Idempotent | Idempotency::Keyed { across_groups: true, .. }
                    );
                    if ran && !anywhere {
                        self.broken.push(format!("request {request} refused though it may have run"));
                    }
                    Self::answer(&mut self.broken, r, *request, now);
                }
                Action::Fail(request) => {
                    let r = self.requests.get_mut(request).expect("a known request");
                    Self::answer(&mut self.broken, r, *request, now);
                }
                _ => {}
            }
        }
    }

    fn answer(broken: &mut Vec<String>, r: &mut Req, id: u32, now: Micros) {
        if r.answered {
            broken.push(format!("request {id} answered twice"));
        }
        if now > r.deadline + GRACE {
            broken.push(format!("request {id} answered late"));
        }
        r.answered = true;
    }

    fn send(&mut self, now: Micros, id: u32, server: u64) {
        let r = self.requests.get_mut(&id).expect("a known request");
        let class = &self.settings.classes[r.class];
        if r.answered {
            self.broken.push(format!("request {id} sent after its answer"));
        }
        if r.attempts.len() as u32 >= self.settings.max_attempts {
            self.broken.push(format!("request {id} sent too often"));
        }
        if r.attempts.iter().any(|t| t.ended.is_none()) {
            self.broken.push(format!("request {id} out twice"));
        }
        let ran = r.attempts.iter().filter(|t| t.ended.is_none_or(|o| !never_ran(o)));
        let first = ran.map(|t| t.sent).min();
        match (class.idempotency, first) {
            (Idempotency::AtMostOnce, Some(_)) => self.broken.push(format!("unsafe request {id} repeated")),
            (Idempotency::Keyed { window, .. }, Some(first)) if now > first + window => {
                self.broken.push(format!("keyed request {id} repeated outside its window"));
            }
            _ => {}
        }
        if self.banned.get(&server).is_some_and(|at| now > at + DRAIN_GRACE) {
            self.broken.push(format!("request {id} sent to {server}, which drains or is gone"));
        }
        r.attempts.push(Attempt { server, sent: now, ended: None });
    }

    fn at_end(&mut self, now: Micros) {
        for (id, r) in &self.requests {
            if !r.answered && now > r.deadline + GRACE {
                self.broken.push(format!("request {id} (class {}, came {}) never answered", r.class, r.came));
            }
        }
    }
}

/// Plays a random stretch; `meddle` may change the actions, to show that the checker sees it.
fn play(seed: u64, settings: Settings, meddle: &dyn Fn(&mut Vec<Action>)) -> Vec<String> {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9) | 1);
    let mut rig = Rig::new(settings.clone(), 4);
    let mut check = Checker::new(settings.clone());
    let mut flying: Vec<(Micros, Outcome, u32, u32, u64)> = Vec::new();
    let mut next = 1;
    let stop = rig.now + 6_000 * MS;
    while rig.now < stop + 3_000 * MS {
        let mut actions = rig.pass(5 * MS);
        meddle(&mut actions);
        let now = rig.now;
        let mut all = vec![actions];
        let due: Vec<_> = flying.iter().filter(|f| f.0 <= now).copied().collect();
        flying.retain(|f| f.0 > now);
        for (_, outcome, id, attempt, server) in due {
            let r = check.requests.get_mut(&id).expect("a known request");
            let t = &mut r.attempts[attempt as usize];
            assert_eq!(t.server, server);
            t.ended = Some(outcome);
            let elapsed = now - t.sent;
            r.answered |= outcome == Outcome::Ok;
            let finished = r.answered;
            let role = if server == 1 { Role::Primary } else { Role::Replica };
            let mut out = rig.event(Event::AttemptEnded(AttemptResult {
                request: id,
                attempt,
                endpoint: EndpointId(server),
                outcome,
                elapsed,
                metadata: ResponseMetadata { role: Some(role), position: None },
                finished,
                report: LoadReport::default(),
            }));
            meddle(&mut out);
            check.actions(now, &out);
            schedule(&mut check, &mut flying, &mut dice, &settings, &out, now);
        }
        if now < stop && dice.below(3) == 0 {
            let class = dice.below(settings.classes.len() as u64) as usize;
            let remaining = (50 + dice.below(1950)) * MS;
            let r =
                Req { class, came: now, deadline: now + remaining, attempts: Vec::new(), answered: false };
            check.requests.insert(next, r);
            all.push(rig.event(Event::Request(Request { remaining, ..request(next, class) })));
            next += 1;
        }
        if dice.below(60) == 0 {
            let n = 1 + dice.below(4);
            let listed =
                [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]
                    [dice.below(4) as usize];
            match listed {
                EndpointState::Ready => check.banned.remove(&n),
                EndpointState::Removed if settings.removed_endpoints_usable => None,
                _ => Some(*check.banned.entry(n).or_insert(now)),
            };
            all.push(rig.event(Event::EndpointUpdate {
                full: false,
                endpoints: vec![EndpointEntry { state: listed, ..member(n) }],
            }));
        }
        for mut actions in all {
            meddle(&mut actions);
            check.actions(now, &actions);
            schedule(&mut check, &mut flying, &mut dice, &settings, &actions, now);
        }
    }
    check.at_end(rig.now);
    check.broken
}

fn schedule(
    check: &mut Checker,
    flying: &mut Vec<(Micros, Outcome, u32, u32, u64)>,
    dice: &mut Dice,
    settings: &Settings,
    actions: &[Action],
    now: Micros,
) {
    for a in actions {
        match a {
            Action::Send { request, endpoint: server, timeout, .. } => {
                let r = &check.requests[request];
                let attempt = r.attempts.len() as u32 - 1;
                let write = settings.classes[r.class].requirement == Requirement::Write;
                let (after, outcome) = match dice.below(12) {
                    _ if write && server.0 != 1 => (2, Outcome::NotServable),
                    0 => (3, Outcome::Error),
                    1 => (1, Outcome::Full),
                    2 => (250, Outcome::ConnectFailed),
                    3 => (40, Outcome::Reset),
                    4 => (50, Outcome::NotServable),
                    5 | 6 => (1_000_000, Outcome::TimedOut),
                    _ => (10 + dice.below(100), Outcome::Ok),
                };
                let limit = now + timeout.min(&(r.deadline.saturating_sub(now)));
                let at = now + after * MS;
                let (at, outcome) = if at > limit { (limit, Outcome::TimedOut) } else { (at, outcome) };
                flying.push((at, outcome, *request, attempt, server.0));
            }
            Action::Cancel { request, attempt } => {
                for f in flying.iter_mut().filter(|f| f.2 == *request && f.3 == *attempt) {
                    (f.0, f.1) = (now, Outcome::Cancelled);
                }
            }
            _ => {}
        }
    }
}

#[test]
fn random_stretches_keep_the_rules() {
    for seed in 1..=60 {
        for (anywhere, removed_endpoints_usable) in [(false, false), (true, false), (false, true)] {
            let mut settings = Settings { removed_endpoints_usable, ..settings() };
            settings.classes[WRITE].idempotency =
                Idempotency::Keyed { across_groups: anywhere, window: 700 * MS };
            let broken = play(seed, settings, &|_| {});
            assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        }
    }
}

#[test]
fn the_checker_sees_lost_answers() {
    let lose = |actions: &mut Vec<Action>| actions.retain(|a| !matches!(a, Action::Reject { .. }));
    let broken: Vec<String> = (1..=10).flat_map(|seed| play(seed, settings(), &lose)).collect();
    assert!(broken.iter().any(|b| b.contains("never answered")), "{broken:?}");
}

#[test]
fn the_checker_sees_refusals_of_what_may_have_run() {
    let refuse = |actions: &mut Vec<Action>| {
        for a in actions {
            if let Action::Fail(request) = a {
                *a = Action::Reject { request: *request, retry_after: 0 };
            }
        }
    };
    let broken: Vec<String> = (1..=20).flat_map(|seed| play(seed, settings(), &refuse)).collect();
    assert!(broken.iter().any(|b| b.contains("refused though it may have run")), "{broken:?}");
}

#[test]
fn the_checker_sees_sends_to_drained_members() {
    let divert = |actions: &mut Vec<Action>| {
        for a in actions {
            if let Action::Send { endpoint: server, .. } = a {
                *server = EndpointId(2);
            }
        }
    };
    let broken: Vec<String> = (1..=10).flat_map(|seed| play_diverted(seed, &divert)).collect();
    assert!(broken.iter().any(|b| b.contains("drains or is gone")), "{broken:?}");
}

/// Only the checker runs on diverted sends: the router would not know the outcomes.
fn play_diverted(seed: u64, divert: &dyn Fn(&mut Vec<Action>)) -> Vec<String> {
    let mut rig = Rig::known(settings(), 3);
    let mut check = Checker::new(settings());
    rig.event(Event::EndpointUpdate {
        full: false,
        endpoints: vec![EndpointEntry { state: EndpointState::Draining, ..member(2) }],
    });
    check.banned.insert(2, rig.now);
    rig.pass(DRAIN_GRACE + seed * MS);
    let r = Req { class: ANY, came: rig.now, deadline: rig.now, attempts: Vec::new(), answered: false };
    check.requests.insert(1, r);
    let mut actions = rig.ask(1, ANY);
    assert_ne!(sent(&actions), Some(2));
    divert(&mut actions);
    check.actions(rig.now, &actions);
    check.broken
}

#[test]
fn a_cold_member_gets_no_more_than_its_share() {
    let mut rig = Rig::known(settings(), 4);
    let cold = EndpointEntry { started_at: rig.now, ..member(4) };
    rig.event(Event::EndpointUpdate { full: false, endpoints: vec![cold] });
    let mut counts = BTreeMap::new();
    for id in 1..=600 {
        rig.pass(5 * MS);
        if let Some(to) = sent(&rig.ask(id, ANY)) {
            *counts.entry(to).or_insert(0) += 1;
            rig.now += MS;
            rig.end(id, 0, to, Outcome::Ok, Some(Role::Replica));
        }
    }
    let cold = counts.get(&4).copied().unwrap_or(0);
    assert!(cold >= 1 && cold * 3 < counts[&2], "{counts:?}");
}

#[test]
fn no_read_goes_to_a_member_not_known_fresh_where_members_do_not_check() {
    let mut rig = Rig::known(Settings { probes: false, ..unchecked() }, 3);
    rig.pass(100 * MS);
    let own = Request { time_since_write: Some(50 * MS), ..request(1, OWN) };
    assert_eq!(sent(&rig.event(Event::Request(own))), Some(1), "only the primary is known to have it");
    rig.report(2, Role::Replica, rig.now - 20 * MS);
    let own = Request { time_since_write: Some(50 * MS), ..request(2, OWN) };
    assert_eq!(sent(&rig.event(Event::Request(own))), Some(2));
    assert!(matches!(sent(&rig.ask(3, RECENT)), Some(2 | 3)));
}

/// Members that answer from what they have, however old it is.
fn unchecked() -> Settings {
    Settings { stale_read_behavior: StaleReadBehavior::Serve, ..settings() }
}

/// Guards against trials that ask a member whose data is seconds old, as it was back from a lost zone.
#[test]
fn a_trial_keeps_to_the_age_of_data_where_members_do_not_check() {
    let mut rig = Rig::known(unchecked(), 4);
    for round in 0..10 {
        rig.pass(20 * MS);
        let ids = round * 3 + 1..round * 3 + 4;
        let sends: Vec<_> = ids.map(|id| (id, sent(&rig.ask(id, ANY)).unwrap())).collect();
        for (id, to) in sends {
            // Member 4 falls silent, with what is known of it at the start.
            let outcome = if to == 4 { Outcome::ConnectFailed } else { Outcome::Ok };
            if let Some(to) = sent(&rig.end(id, 0, to, outcome, None)) {
                rig.end(id, 1, to, Outcome::Ok, None);
            }
        }
    }
    assert_eq!(rig.router.endpoint_counts(), EndpointCounts { listed: 4, avoided: 1 }, "it is set aside");
    for id in 100..160 {
        rig.pass(100 * MS);
        (1..=3).for_each(|s| rig.report(s, if s == 1 { Role::Primary } else { Role::Replica }, rig.now));
        let to = sent(&rig.ask(id, RECENT)).unwrap();
        assert_ne!(to, 4, "what it has is {} old", rig.now - 1_000_000 * MS);
        rig.end(id, 0, to, Outcome::Ok, None);
    }
    rig.report(4, Role::Replica, rig.now - 100 * MS);
    assert_eq!(sent(&rig.ask(200, RECENT)), Some(4), "known to be fresh, it gets its trial");
}

/// Guards against reads that hundreds of routers all send to primaries, as none knows a replica's position lately.
#[test]
fn a_read_first_asks_a_replica_how_fresh_it_is_where_members_do_not_check() {
    let mut rig = Rig::known(unchecked(), 3);
    rig.pass(3000 * MS);
    let probed = |actions: &[Action]| {
        let probe = |a: &Action| if let Action::Probe(s) = a { Some(s.0) } else { None };
        actions.iter().find_map(probe)
    };
    let asked = |rig: &mut Rig, id| {
        let actions = rig.ask(id, RECENT);
        assert_eq!(sent(&actions), None, "it waits for the answer");
        // One under way already is not sent twice.
        probed(&actions).or_else(|| probed(&rig.log)).unwrap()
    };
    let answer = |rig: &mut Rig, s, age| {
        let report = LoadReport { role: Some(Role::Replica), position: Some(rig.now - age) };
        sent(&rig.event(Event::Probed { endpoint: EndpointId(s), answered: true, report }))
    };
    let first = asked(&mut rig, 1);
    assert_ne!(first, 1, "the primary stands at the present");
    rig.now += 2 * MS;
    assert_eq!(answer(&mut rig, first, 200 * MS), Some(first));
    assert_eq!(sent(&rig.ask(2, RECENT)), Some(first), "what is known to be fresh is not asked again");
    rig.pass(3000 * MS);
    rig.log.clear();
    let second = asked(&mut rig, 3);
    assert_eq!(answer(&mut rig, second, 900 * MS), Some(1), "too far behind: the primary serves it");
    rig.pass(3000 * MS);
    rig.log.clear();
    let third = asked(&mut rig, 4);
    assert_eq!(sent(&rig.pass(100 * MS)), Some(1), "no answer: the primary serves it soon");
    let failed =
        Event::Probed { endpoint: EndpointId(third), answered: false, report: LoadReport::default() };
    rig.event(failed);
    rig.log.clear();
    assert_ne!(asked(&mut rig, 5), third, "who did not answer is not the next to be asked");
}

/// Guards against answers that nothing keeps from being too old: only writes may look for the primary there.
#[test]
fn reads_of_the_latest_data_do_not_look_for_the_primary_where_members_do_not_check() {
    let mut rig = Rig::new(unchecked(), 3);
    assert_eq!(sent(&rig.ask(1, LATEST)), None);
    assert_eq!(sent(&rig.pass(200 * MS)), None);
    rig.log.clear();
    rig.report(2, Role::Primary, rig.now);
    assert_eq!(sent(&rig.log), Some(2), "found, it serves the read at once");
}

/// Guards against a report on its way that names a primary which has said since that it is none.
#[test]
fn an_old_report_does_not_make_a_replica_the_primary() {
    let mut rig = Rig::known(unchecked(), 3);
    rig.report(1, Role::Replica, rig.now);
    let between = rig.now + 100 * MS;
    rig.pass(200 * MS);
    rig.report(2, Role::Replica, rig.now);
    rig.report(2, Role::Primary, between);
    assert_eq!(sent(&rig.ask(1, LATEST)), None, "member 2 has said since that it is a replica");
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 4);
        for id in 1..=50 {
            rig.ask(id, (id % 6) as usize);
            rig.pass(7 * MS);
        }
        rig.log
    };
    assert_eq!(run(), run());
}

/// Guards against a router that grows with every member that ever was, and one that mixes a new member up with
/// the old one whose place it takes.
#[test]
fn members_that_come_and_go_leave_nothing_behind() {
    let mut rig = Rig::known(settings(), 3);
    let time = |rig: &mut Rig, from: u32| {
        let round = |from: u32| {
            let begun = std::time::Instant::now();
            for id in from..from + 500 {
                let to = sent(&rig.ask(id, ANY)).unwrap();
                rig.end(id, 0, to, Outcome::Ok, None);
            }
            begun.elapsed()
        };
        (0..5).map(|n| from + n * 500).map(round).min().unwrap()
    };
    let before = time(&mut rig, 10_000);
    let gone = |n| EndpointEntry { state: EndpointState::Removed, ..member(n) };
    for n in 4..1_000 {
        rig.event(Event::EndpointUpdate { full: false, endpoints: vec![gone(n - 1), member(n)] });
        rig.report(n, Role::Replica, rig.now);
        rig.pass(11_000 * MS);
        let to = sent(&rig.ask(n as u32, ANY)).unwrap();
        assert!(to <= 2 || to == n, "{to} is gone");
        rig.end(n as u32, 0, to, Outcome::Ok, None);
    }
    let after = time(&mut rig, 100_000);
    assert!(after < 3 * before, "{before:?} for 500 requests, {after:?} behind 1,000 members that are gone");
}

/// Guards against a write that asks all of a large group at once amid a handover and has no attempt left when
/// the new primary is there.
#[test]
fn a_write_outlasts_a_handover_of_a_large_group() {
    let mut rig = Rig::new(Settings { max_attempts: 8, ..settings() }, 10);
    let patient = Request { remaining: 5000 * MS, ..request(1, UNSAFE) };
    let mut actions = rig.event(Event::Request(patient));
    let mut attempt = 0;
    for _ in 0..80 {
        while let Some(to) = sent(&actions) {
            actions = rig.end(1, attempt, to, Outcome::NotServable, Some(Role::Replica));
            attempt += 1;
        }
        assert!(!failed(&actions, 1) && !refused(&actions, 1), "given up after {attempt} attempts");
        actions = rig.pass(20 * MS);
    }
    rig.report(7, Role::Primary, rig.now);
    rig.pass(100 * MS);
    let last = rig.log.iter().rev().find_map(|a| sent(std::slice::from_ref(a)));
    assert_eq!(last, Some(7), "sent to the primary once it is heard");
}

/// Guards against a primary that refuses connections at once and uses up all of a write's attempts.
#[test]
fn a_write_outlasts_a_primary_that_refuses_connections() {
    let mut rig = Rig::known(Settings { max_attempts: 8, ..settings() }, 2);
    let patient = Request { remaining: 5000 * MS, ..request(1, UNSAFE) };
    let mut actions = rig.event(Event::Request(patient));
    let mut attempt = 0;
    for _ in 0..150 {
        while let Some(to) = sent(&actions) {
            let how = if to == 1 { Outcome::ConnectFailed } else { Outcome::NotServable };
            actions = rig.end(1, attempt, to, how, None);
            attempt += 1;
        }
        assert!(!failed(&actions, 1) && !refused(&actions, 1), "given up after {attempt} attempts");
        actions = rig.pass(20 * MS);
    }
    rig.report(2, Role::Primary, rig.now);
    let last = rig.log.iter().rev().find_map(|a| sent(std::slice::from_ref(a)));
    assert_eq!(last, Some(2), "sent to the new primary as soon as a report names it");
}
