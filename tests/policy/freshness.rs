//! Reads with a freshness requirement, and the positions of replicas.

use crate::harness::*;
use liftrelay::*;

#[test]
fn reads_avoid_lagging_replicas_while_a_primary_is_known() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    harness.now += 1000 * MS;
    for n in 2..=4 {
        harness.report(n, Role::Replica, harness.now - 3000 * MS);
    }
    let own = own_read(1, 500 * MS);
    assert_eq!(sent_to(&harness.handle(Event::Request(own))), Some(1));
}

#[test]
fn a_replica_that_rejected_a_read_counts_as_lagging() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    harness.now += 2000 * MS;
    let own = |id| Event::Request(own_read(id, 500 * MS));
    assert_eq!(sent_to(&harness.handle(own(1))), Some(2));
    harness.now += 60 * MS;
    assert_eq!(sent_to(&harness.end_attempt(1, 0, 2, Outcome::NotServable, Some(Role::Replica))), Some(1));
    assert_eq!(sent_to(&harness.handle(own(2))), Some(1), "the next read is not sent to the replica");
}

#[test]
fn all_routers_send_long_reads_to_the_same_replica() {
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
        assert_ne!(sent_to(&harness.request(20, ANY)), Some(2), "other reads prefer the other replicas");
    }
}

/// Guards against the rejection of a read whose client has disconnected: its required position is no
/// longer known, and if it were taken as 0, the endpoint would count as lagging by years.
#[test]
fn a_rejected_read_without_a_client_does_not_make_its_replica_count_as_lagging() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    harness.advance(2000 * MS);
    let fresh = own_read(1, 500 * MS);
    let to = sent_to(&harness.handle(Event::Request(fresh))).unwrap();
    harness.handle(Event::ClientDisconnected(1));
    harness.end_attempt(1, 0, to, Outcome::NotServable, None);
    let usual = own_read(2, 500 * MS);
    let again = [2, 3].map(|id| sent_to(&harness.handle(Event::Request(Request { id, ..usual.clone() }))));
    assert!(again.contains(&Some(to)), "{again:?}");
}

#[test]
fn reads_of_a_session_see_its_remembered_commits() {
    let mut harness = RouterHarness::with_known_roles(Settings { remember_commits: true, ..settings() }, 2);
    harness.now += 1000 * MS;
    harness.report(2, Role::Replica, harness.now - 700 * MS);
    let session_request = |id, class| Event::Request(executing(id, ExecutedStatement::new(class, 7)));
    harness.handle(session_request(1, WRITE));
    harness.end_attempt(1, 0, 1, Outcome::Ok, Some(Role::Primary));
    harness.now += 10 * MS;
    assert_eq!(
        sent_to(&harness.handle(session_request(2, READ_YOUR_WRITES))),
        Some(1),
        "the replica is not expected to have the commit yet"
    );
    let other = executing(3, ExecutedStatement::new(READ_YOUR_WRITES, 8));
    assert_eq!(sent_to(&harness.handle(Event::Request(other))), Some(2));
}

/// A primary, endpoint 1, and a replica whose position is known, in a router that remembers commits.
fn harness_that_remembers_commits() -> RouterHarness {
    let settings = Settings { remember_commits: true, ..settings_with_stale_reads() };
    let mut harness = RouterHarness::with_known_roles(settings, 2);
    harness.advance(1000 * MS);
    harness
}

/// A request of the session that the tests of remembered commits use.
fn of_session(id: u32, class: usize) -> Event {
    Event::Request(executing(id, ExecutedStatement::new(class, 7)))
}

/// Answers a write with this commit position; `finished` means that the client no longer waits for the answer.
fn answer_write(harness: &mut RouterHarness, id: u32, commit: Micros, finished: bool) {
    let metadata = ResponseMetadata { role: Some(Role::Primary), position: Some(commit) };
    let result = AttemptResult { metadata, finished, ..attempt_result(id, 0, 1, Outcome::Ok) };
    harness.handle(Event::AttemptEnded(result));
}

/// Guards against the loss of a session's commit to an earlier one whose answer arrives later.
#[test]
fn a_commit_that_is_answered_late_does_not_hide_a_later_commit_of_its_session() {
    let mut harness = harness_that_remembers_commits();
    harness.handle(of_session(1, WRITE));
    harness.handle(of_session(2, WRITE));
    harness.advance(100 * MS);
    let later = harness.now;
    answer_write(&mut harness, 2, later, true);
    answer_write(&mut harness, 1, later - 50 * MS, true);
    harness.report(2, Role::Replica, later - 20 * MS);
    assert_eq!(sent_to(&harness.handle(of_session(3, READ_YOUR_WRITES))), Some(1));
}

/// Guards against the loss of a commit whose answer arrives after the client has disconnected: the session may
/// go on with another connection, and this router has received the answer.
#[test]
fn a_commit_that_is_answered_after_its_client_has_disconnected_is_remembered() {
    let mut harness = harness_that_remembers_commits();
    harness.handle(of_session(1, WRITE));
    harness.handle(Event::ClientDisconnected(1));
    harness.advance(100 * MS);
    let commit = harness.now;
    answer_write(&mut harness, 1, commit, true);
    harness.report(2, Role::Replica, commit - 20 * MS);
    assert_eq!(sent_to(&harness.handle(of_session(2, READ_YOUR_WRITES))), Some(1));
}

/// Guards against a commit that is forgotten because all members have it: a member that is started from an older
/// copy lacks it.
#[test]
fn a_member_that_joins_from_an_old_copy_serves_no_session_whose_commit_it_lacks() {
    let mut harness = harness_that_remembers_commits();
    harness.handle(of_session(1, WRITE));
    let commit = harness.now;
    answer_write(&mut harness, 1, commit, true);
    for session in 100..25_000 {
        harness.now += 1000;
        harness.handle(Event::Request(executing(session as u32, ExecutedStatement::new(WRITE, session))));
        let now = harness.now;
        answer_write(&mut harness, session as u32, now, true);
    }
    let now = harness.now;
    harness.report(2, Role::Replica, now);
    harness.advance(100 * MS);
    let endpoints = vec![endpoint_entry(3)];
    harness.handle(Event::EndpointUpdate { complete: false, endpoints });
    harness.report(3, Role::Replica, commit - 20 * MS);
    for id in 2..8 {
        let to = sent_to(&harness.handle(of_session(id, READ_YOUR_WRITES)));
        assert!(to.is_some_and(|to| to != 3), "{to:?}");
    }
}

#[test]
fn reads_go_only_to_endpoints_known_to_be_fresh_where_endpoints_serve_stale_data() {
    let mut harness =
        RouterHarness::with_known_roles(Settings { probes: false, ..settings_with_stale_reads() }, 3);
    harness.advance(100 * MS);
    let own = own_read(1, 50 * MS);
    assert_eq!(
        sent_to(&harness.handle(Event::Request(own))),
        Some(1),
        "only the primary is known to have the session's write"
    );
    harness.report(2, Role::Replica, harness.now - 20 * MS);
    let own = own_read(2, 50 * MS);
    assert_eq!(sent_to(&harness.handle(Event::Request(own))), Some(2));
    assert!(matches!(sent_to(&harness.request(3, BOUNDED_STALENESS)), Some(2 | 3)));
}

/// Settings for endpoints that answer reads from the data that they have, however old it is.
fn settings_with_stale_reads() -> Settings {
    Settings { stale_read_behavior: StaleReadBehavior::Serve, ..settings() }
}

/// Guards against stale answers from trials: a member that is reachable again after the loss of its zone may
/// have data that is seconds old, and serves a read from it.
#[test]
fn trials_respect_the_staleness_bound_where_endpoints_serve_stale_data() {
    let mut harness = RouterHarness::with_known_roles(settings_with_stale_reads(), 4);
    for round in 0..10 {
        harness.advance(20 * MS);
        let ids = round * 3 + 1..round * 3 + 4;
        let sends: Vec<_> = ids.map(|id| (id, sent_to(&harness.request(id, ANY)).unwrap())).collect();
        for (id, to) in sends {
            // Member 4 refuses connections, so that its position at the start remains the last known one.
            let outcome = if to == 4 { Outcome::ConnectFailed } else { Outcome::Ok };
            if let Some(to) = sent_to(&harness.end_attempt(id, 0, to, outcome, None)) {
                harness.end_attempt(id, 1, to, Outcome::Ok, None);
            }
        }
    }
    assert_eq!(
        harness.router.endpoint_counts(),
        EndpointCounts { listed: 4, avoided: 1 },
        "member 4 is ejected"
    );
    for id in 100..160 {
        harness.advance(100 * MS);
        (1..=3).for_each(|member| {
            harness.report(member, if member == 1 { Role::Primary } else { Role::Replica }, harness.now)
        });
        let to = sent_to(&harness.request(id, BOUNDED_STALENESS)).unwrap();
        assert_ne!(to, 4, "the data of member 4 is {} us old", harness.now - 1_000_000 * MS);
        harness.end_attempt(id, 0, to, Outcome::Ok, None);
    }
    harness.report(4, Role::Replica, harness.now - 100 * MS);
    assert_eq!(
        sent_to(&harness.request(200, BOUNDED_STALENESS)),
        Some(4),
        "member 4 gets its trial once it is known to be fresh"
    );
}

/// Guards against an overload of primaries by reads: each of hundreds of routers sends few requests, knows no
/// recent position of a replica, and would send all reads with a staleness bound to the primary.
#[test]
fn a_read_waits_for_a_probe_of_a_replicas_position_where_endpoints_serve_stale_data() {
    let mut harness = RouterHarness::with_known_roles(settings_with_stale_reads(), 3);
    harness.advance(3000 * MS);
    let probed = |actions: &[Action]| {
        let probe = |a: &Action| if let Action::Probe(s) = a { Some(s.0) } else { None };
        actions.iter().find_map(probe)
    };
    let probed_for_read = |harness: &mut RouterHarness, id| {
        let actions = harness.request(id, BOUNDED_STALENESS);
        assert_eq!(sent_to(&actions), None, "the read waits for the answer of the probe");
        // A replica with a probe in flight is not probed again.
        probed(&actions).or_else(|| probed(&harness.log)).unwrap()
    };
    let answer_probe = |harness: &mut RouterHarness, replica, age| {
        let report = LoadReport { role: Some(Role::Replica), position: Some(harness.now - age) };
        sent_to(&harness.handle(Event::ProbeEnded { endpoint: EndpointId(replica), answered: true, report }))
    };
    let first = probed_for_read(&mut harness, 1);
    assert_ne!(first, 1, "the primary has no lag, so a replica is probed");
    harness.now += 2 * MS;
    assert_eq!(answer_probe(&mut harness, first, 200 * MS), Some(first));
    assert_eq!(
        sent_to(&harness.request(2, BOUNDED_STALENESS)),
        Some(first),
        "a replica that is known to be fresh is not probed again"
    );
    harness.advance(3000 * MS);
    harness.log.clear();
    let second = probed_for_read(&mut harness, 3);
    assert_eq!(
        answer_probe(&mut harness, second, 900 * MS),
        Some(1),
        "the replica lags too far, so the primary serves the read"
    );
    harness.advance(3000 * MS);
    harness.log.clear();
    let third = probed_for_read(&mut harness, 4);
    assert_eq!(
        sent_to(&harness.advance(100 * MS)),
        Some(1),
        "without an answer, the primary serves the read within 100 ms"
    );
    let failed =
        Event::ProbeEnded { endpoint: EndpointId(third), answered: false, report: LoadReport::default() };
    harness.handle(failed);
    harness.log.clear();
    assert_ne!(
        probed_for_read(&mut harness, 5),
        third,
        "a replica that did not answer is not probed for the next read"
    );
}

/// Guards against stale answers to reads of the latest data: a replica that serves stale data would answer
/// such a read if it were sent there in a search for the primary. Only writes may search.
#[test]
fn latest_reads_do_not_search_for_the_primary_where_endpoints_serve_stale_data() {
    let mut harness = RouterHarness::new(settings_with_stale_reads(), 3);
    assert_eq!(sent_to(&harness.request(1, LATEST)), None);
    assert_eq!(sent_to(&harness.advance(200 * MS)), None);
    harness.log.clear();
    harness.report(2, Role::Primary, harness.now);
    assert_eq!(
        sent_to(&harness.log),
        Some(2),
        "once the primary is known, the read is sent to it immediately"
    );
}

/// Guards against reads of the latest data at a replica: a load report from the time when the member was the
/// primary may be received after its later report that it is a replica.
#[test]
fn an_old_report_does_not_make_a_replica_the_primary() {
    let mut harness = RouterHarness::with_known_roles(settings_with_stale_reads(), 3);
    harness.report(1, Role::Replica, harness.now);
    let between = harness.now + 100 * MS;
    harness.advance(200 * MS);
    harness.report(2, Role::Replica, harness.now);
    harness.report(2, Role::Primary, between);
    assert_eq!(
        sent_to(&harness.request(1, LATEST)),
        None,
        "member 2 has reported later that it is a replica"
    );
}

/// Guards against stale answers after a pause of the proxy's process: between the selection of the replica
/// and the write of the request, the data of the replica would become older than the bound.
#[test]
fn a_bounded_read_leaves_time_for_a_process_pause_where_endpoints_serve_stale_data() {
    for (age, expected) in [(640, true), (660, false)] {
        let settings = Settings { probes: false, ..settings_with_stale_reads() };
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
        assert!(
            limits.eq(expected.then_some(10 * MS)),
            "the attempt must start at least 150 ms before the data is too old"
        );
    }
}

/// Guards against a write that is executed twice after a pause of the proxy's process: a repeat that is
/// decided within the deduplication window would be written after its end.
#[test]
fn a_keyed_write_is_not_repeated_where_a_process_pause_could_delay_it_past_its_window() {
    for (passed, expected) in [(1840, true), (1860, false)] {
        let mut harness = RouterHarness::with_known_roles(settings(), 2);
        let write = Request { remaining: 9000 * MS, ..request(1, WRITE) };
        assert_eq!(sent_to(&harness.handle(Event::Request(write))), Some(1));
        harness.advance(passed * MS);
        let repeated = sent_to(&harness.end_attempt(1, 0, 1, Outcome::Error, None));
        assert_eq!(repeated.is_some(), expected, "{passed} ms of 2000 ms have passed");
    }
}

/// Guards against a remembered commit that stands in for another position: a read in a pipeline must also see the
/// unanswered writes of other sessions ahead of it.
#[test]
fn a_position_that_the_host_names_holds_beside_the_remembered_commit() {
    let mut harness = harness_that_remembers_commits();
    harness.handle(of_session(1, WRITE));
    let commit = harness.now;
    answer_write(&mut harness, 1, commit, true);
    harness.advance(100 * MS);
    harness.report(2, Role::Replica, commit + 10 * MS);
    assert_eq!(sent_to(&harness.handle(of_session(2, READ_YOUR_WRITES))), Some(2));
    let statement = ExecutedStatement::new(READ_YOUR_WRITES, 7);
    let named = ExecutedStatement { min_position: Some(commit + 50 * MS), ..statement };
    assert_eq!(sent_to(&harness.handle(Event::Request(executing(3, named)))), Some(1));
}
