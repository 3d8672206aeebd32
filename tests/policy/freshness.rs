//! Reads with a freshness requirement, and positions of replicas.

use crate::harness::*;
use liftrelay::*;

#[test]
fn lagging_replicas_are_avoided_while_a_primary_is_known() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    harness.now += 1000 * MS;
    for n in 2..=4 {
        harness.report(n, Role::Replica, harness.now - 3000 * MS);
    }
    let own = Request { time_since_write: Some(500 * MS), ..request(1, READ_YOUR_WRITES) };
    assert_eq!(sent_to(&harness.handle(Event::Request(own))), Some(1));
}

#[test]
fn a_rejected_read_is_evidence_of_lag() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    harness.now += 2000 * MS;
    let own =
        |id| Event::Request(Request { time_since_write: Some(500 * MS), ..request(id, READ_YOUR_WRITES) });
    assert_eq!(sent_to(&harness.handle(own(1))), Some(2));
    harness.now += 60 * MS;
    assert_eq!(sent_to(&harness.end_attempt(1, 0, 2, Outcome::NotServable, Some(Role::Replica))), Some(1));
    assert_eq!(sent_to(&harness.handle(own(2))), Some(1), "the next one is not sent there");
}

#[test]
fn long_reads_of_all_routers_gather_at_one_replica() {
    let mut settings = settings();
    settings.classes.push(Class {
        latency_objective: 6000 * MS,
        deadline: 9000 * MS,
        ..class(Requirement::Any, Idempotency::Idempotent)
    });
    let long = settings.classes.len() - 1;
    for before in 0..4 {
        let mut harness = RouterHarness::with_known_roles(settings.clone(), 4);
        serve_reads(&mut harness, 1..1 + before, 0, Outcome::Ok);
        let to: Vec<_> = (10..12).map(|id| sent_to(&harness.request(id, long))).collect();
        assert_eq!(to, [Some(2), Some(2)]);
        assert_ne!(sent_to(&harness.request(20, ANY)), Some(2), "others come first for the rest");
    }
}

/// Guards against a rejection of a request that is over: nobody knows what it required, and the endpoint was
/// taken for one that lags by years.
#[test]
fn a_rejected_read_of_a_finished_request_tells_no_lag() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    harness.advance(2000 * MS);
    let fresh = Request { time_since_write: Some(500 * MS), ..request(1, READ_YOUR_WRITES) };
    let to = sent_to(&harness.handle(Event::Request(fresh))).unwrap();
    harness.handle(Event::ClientDisconnected(1));
    harness.end_attempt(1, 0, to, Outcome::NotServable, None);
    let usual = Request { time_since_write: Some(500 * MS), ..request(2, READ_YOUR_WRITES) };
    let again = [2, 3].map(|id| sent_to(&harness.handle(Event::Request(Request { id, ..usual.clone() }))));
    assert!(again.contains(&Some(to)), "{again:?}");
}

#[test]
fn commits_of_a_session_are_remembered() {
    let mut harness = RouterHarness::with_known_roles(Settings { remember_commits: true, ..settings() }, 2);
    harness.now += 1000 * MS;
    harness.report(2, Role::Replica, harness.now - 700 * MS);
    let of = |id, class| Event::Request(Request { session: 7, ..request(id, class) });
    harness.handle(of(1, WRITE));
    harness.end_attempt(1, 0, 1, Outcome::Ok, Some(Role::Primary));
    harness.now += 10 * MS;
    assert_eq!(
        sent_to(&harness.handle(of(2, READ_YOUR_WRITES))),
        Some(1),
        "the replica is not expected to have it yet"
    );
    let other = Request { session: 8, ..request(3, READ_YOUR_WRITES) };
    assert_eq!(sent_to(&harness.handle(Event::Request(other))), Some(2));
}

#[test]
fn no_read_goes_to_an_endpoint_not_known_fresh_where_endpoints_serve_stale() {
    let mut harness =
        RouterHarness::with_known_roles(Settings { probes: false, ..settings_serving_stale() }, 3);
    harness.advance(100 * MS);
    let own = Request { time_since_write: Some(50 * MS), ..request(1, READ_YOUR_WRITES) };
    assert_eq!(
        sent_to(&harness.handle(Event::Request(own))),
        Some(1),
        "only the primary is known to have it"
    );
    harness.report(2, Role::Replica, harness.now - 20 * MS);
    let own = Request { time_since_write: Some(50 * MS), ..request(2, READ_YOUR_WRITES) };
    assert_eq!(sent_to(&harness.handle(Event::Request(own))), Some(2));
    assert!(matches!(sent_to(&harness.request(3, BOUNDED_STALENESS)), Some(2 | 3)));
}

/// Members that answer from what they have, however old it is.
fn settings_serving_stale() -> Settings {
    Settings { stale_read_behavior: StaleReadBehavior::Serve, ..settings() }
}

/// Guards against trials that ask a member whose data is seconds old, as it was back from a lost zone.
#[test]
fn a_trial_keeps_to_the_staleness_bound_where_endpoints_serve_stale() {
    let mut harness = RouterHarness::with_known_roles(settings_serving_stale(), 4);
    for round in 0..10 {
        harness.advance(20 * MS);
        let ids = round * 3 + 1..round * 3 + 4;
        let sends: Vec<_> = ids.map(|id| (id, sent_to(&harness.request(id, ANY)).unwrap())).collect();
        for (id, to) in sends {
            // Member 4 falls silent, with what is known of it at the start.
            let outcome = if to == 4 { Outcome::ConnectFailed } else { Outcome::Ok };
            if let Some(to) = sent_to(&harness.end_attempt(id, 0, to, outcome, None)) {
                harness.end_attempt(id, 1, to, Outcome::Ok, None);
            }
        }
    }
    assert_eq!(harness.router.endpoint_counts(), EndpointCounts { listed: 4, avoided: 1 }, "it is ejected");
    for id in 100..160 {
        harness.advance(100 * MS);
        (1..=3)
            .for_each(|s| harness.report(s, if s == 1 { Role::Primary } else { Role::Replica }, harness.now));
        let to = sent_to(&harness.request(id, BOUNDED_STALENESS)).unwrap();
        assert_ne!(to, 4, "what it has is {} old", harness.now - 1_000_000 * MS);
        harness.end_attempt(id, 0, to, Outcome::Ok, None);
    }
    harness.report(4, Role::Replica, harness.now - 100 * MS);
    assert_eq!(
        sent_to(&harness.request(200, BOUNDED_STALENESS)),
        Some(4),
        "known to be fresh, it gets its trial"
    );
}

/// Guards against reads that hundreds of routers all send to primaries, as none knows a replica's position lately.
#[test]
fn a_read_first_probes_a_replica_for_its_position_where_endpoints_serve_stale() {
    let mut harness = RouterHarness::with_known_roles(settings_serving_stale(), 3);
    harness.advance(3000 * MS);
    let probed = |actions: &[Action]| {
        let probe = |a: &Action| if let Action::Probe(s) = a { Some(s.0) } else { None };
        actions.iter().find_map(probe)
    };
    let asked = |harness: &mut RouterHarness, id| {
        let actions = harness.request(id, BOUNDED_STALENESS);
        assert_eq!(sent_to(&actions), None, "it waits for the answer");
        // One under way already is not sent twice.
        probed(&actions).or_else(|| probed(&harness.log)).unwrap()
    };
    let answer = |harness: &mut RouterHarness, s, age| {
        let report = LoadReport { role: Some(Role::Replica), position: Some(harness.now - age) };
        sent_to(&harness.handle(Event::ProbeEnded { endpoint: EndpointId(s), answered: true, report }))
    };
    let first = asked(&mut harness, 1);
    assert_ne!(first, 1, "the primary stands at the present");
    harness.now += 2 * MS;
    assert_eq!(answer(&mut harness, first, 200 * MS), Some(first));
    assert_eq!(
        sent_to(&harness.request(2, BOUNDED_STALENESS)),
        Some(first),
        "what is known to be fresh is not asked again"
    );
    harness.advance(3000 * MS);
    harness.log.clear();
    let second = asked(&mut harness, 3);
    assert_eq!(answer(&mut harness, second, 900 * MS), Some(1), "it lags too far: the primary serves it");
    harness.advance(3000 * MS);
    harness.log.clear();
    let third = asked(&mut harness, 4);
    assert_eq!(sent_to(&harness.advance(100 * MS)), Some(1), "no answer: the primary serves it soon");
    let failed =
        Event::ProbeEnded { endpoint: EndpointId(third), answered: false, report: LoadReport::default() };
    harness.handle(failed);
    harness.log.clear();
    assert_ne!(asked(&mut harness, 5), third, "who did not answer is not the next to be asked");
}

/// Guards against answers that nothing keeps from being too old: only writes may look for the primary there.
#[test]
fn latest_reads_do_not_search_for_the_primary_where_endpoints_serve_stale() {
    let mut harness = RouterHarness::new(settings_serving_stale(), 3);
    assert_eq!(sent_to(&harness.request(1, LATEST)), None);
    assert_eq!(sent_to(&harness.advance(200 * MS)), None);
    harness.log.clear();
    harness.report(2, Role::Primary, harness.now);
    assert_eq!(sent_to(&harness.log), Some(2), "found, it serves the read at once");
}

/// Guards against a report on its way that names a primary which has said since that it is none.
#[test]
fn an_old_report_does_not_make_a_replica_the_primary() {
    let mut harness = RouterHarness::with_known_roles(settings_serving_stale(), 3);
    harness.report(1, Role::Replica, harness.now);
    let between = harness.now + 100 * MS;
    harness.advance(200 * MS);
    harness.report(2, Role::Replica, harness.now);
    harness.report(2, Role::Primary, between);
    assert_eq!(sent_to(&harness.request(1, LATEST)), None, "member 2 has said since that it is a replica");
}

/// Guards against a read that is too old once it is written, as the proxy was paused after the selection.
#[test]
fn a_bounded_read_leaves_time_for_a_process_pause_where_endpoints_serve_stale() {
    for (age, expected) in [(640, true), (660, false)] {
        let settings = Settings { probes: false, ..settings_serving_stale() };
        let mut harness = RouterHarness::with_known_roles(settings, 2);
        harness.advance(2000 * MS);
        harness.report(1, Role::Primary, harness.now);
        harness.report(2, Role::Replica, harness.now - age * MS);
        let actions = harness.request(1, BOUNDED_STALENESS);
        assert_eq!(sent_to(&actions) == Some(2), expected, "the bound is 800 ms, the age {age} ms");
        let limits = actions.iter().filter_map(|action| match action {
            Action::Send { endpoint: EndpointId(2), start_within, .. } => Some(*start_within),
            _ => None,
        });
        assert!(limits.eq(expected.then_some(10 * MS)), "150 ms are left when it must have started");
    }
}

/// Guards against a repeat that is written after its window, as the proxy was paused after the decision.
#[test]
fn a_keyed_write_is_not_repeated_when_a_process_pause_could_carry_it_out_of_its_window() {
    for (passed, expected) in [(1840, true), (1860, false)] {
        let mut harness = RouterHarness::with_known_roles(settings(), 2);
        let write = Request { remaining: 9000 * MS, ..request(1, WRITE) };
        assert_eq!(sent_to(&harness.handle(Event::Request(write))), Some(1));
        harness.advance(passed * MS);
        let repeated = sent_to(&harness.end_attempt(1, 0, 1, Outcome::Error, None));
        assert_eq!(repeated.is_some(), expected, "{passed} ms of 2000 ms have passed");
    }
}
