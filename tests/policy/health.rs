//! Outlier ejection and readmission by trials, and failures that must not eject an endpoint.

use crate::harness::*;
use liftrelay::*;

/// Guards against the failure of most reads because one endpoint fails fast: it has few pending attempts, so
/// least-pending selection without ejection sends it most reads.
#[test]
fn an_endpoint_that_fails_fast_gets_few_reads() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let at_faulty = serve_reads(&mut harness, 1..200, 3, Outcome::Error);
    assert!(at_faulty < 20, "{at_faulty} of 200");
}

#[test]
fn an_endpoint_that_refuses_connections_gets_few_reads() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let at_faulty = serve_reads(&mut harness, 1..200, 3, Outcome::ConnectFailed);
    assert!(at_faulty < 20, "{at_faulty} of 200");
}

/// Guards against the rejection of most reads because one endpoint hangs with a full queue: it rejects every
/// attempt immediately, so none is pending there, and least-pending selection without ejection prefers it.
#[test]
fn an_endpoint_that_rejects_every_attempt_gets_few_reads() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let at_faulty = serve_reads(&mut harness, 1..200, 3, Outcome::RejectedByMember);
    assert!(at_faulty < 20, "{at_faulty} of 200");
}

#[test]
fn an_ejected_endpoint_is_readmitted_by_trials() {
    let mut harness = RouterHarness::with_known_roles(settings_without_open_connections(), 4);
    serve_reads(&mut harness, 1..100, 3, Outcome::Error);
    serve_reads(&mut harness, 100..400, 0, Outcome::Ok);
    let mut after_readmission = 0;
    for id in 400..420 {
        let to = sent_to(&harness.request(id, ANY)).unwrap();
        after_readmission += usize::from(to == 3);
        harness.end_attempt(id, 0, to, Outcome::Ok, None);
    }
    assert!(after_readmission >= 5, "{after_readmission} of 20");
}

#[test]
fn the_last_usable_endpoint_is_never_ejected() {
    let mut harness = RouterHarness::new(settings(), 1);
    for id in 1..=10 {
        let brief = Request { remaining: 30 * MS, ..request(id, ANY) };
        assert_eq!(sent_to(&harness.handle(Event::Request(brief))), Some(1));
        assert!(
            is_rejected(&harness.end_attempt(id, 0, 1, Outcome::Error, None), id),
            "no time left for a retry"
        );
    }
}

/// Guards against taking an occasional refused or broken connection for the end of the process: the endpoint
/// would count as down, and as warming up once it answers again, although it runs all the time.
#[test]
fn occasional_connection_failures_do_not_eject_an_endpoint() {
    let mut harness = RouterHarness::with_known_roles(settings_without_open_connections(), 4);
    let mut attempts_at = [0; 5];
    for id in 1..=400 {
        harness.advance(10 * MS);
        let mut actions = harness.request(id, ANY);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            attempts_at[to as usize] += 1;
            let attempt_outcome = match attempts_at[to as usize] % 12 {
                0 if to == 3 => Outcome::ConnectFailed,
                6 if to == 3 => Outcome::Reset,
                _ => Outcome::Ok,
            };
            actions = harness.end_attempt(id, attempt, to, attempt_outcome, None);
            attempt += 1;
        }
    }
    assert!(10 * attempts_at[3] > 8 * attempts_at[2], "{attempts_at:?}");
}

/// Guards against the ejection of a primary because some writes fail there: no other member accepts writes,
/// so all of them would be held.
#[test]
fn a_primary_with_occasional_errors_keeps_its_writes() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for id in 1..60 {
        assert_eq!(sent_to(&harness.request(id, AT_MOST_ONCE)), Some(1), "{id}");
        let outcome = if id % 2 == 0 { Outcome::Ok } else { Outcome::Error };
        harness.end_attempt(id, 0, 1, outcome, None);
        // Reads at the other members succeed, so that the failure rate of the primary stands out.
        for read in [1000 + 2 * id, 1001 + 2 * id] {
            let to = sent_to(&harness.request(read, ANY)).unwrap();
            harness.end_attempt(read, 0, to, Outcome::Ok, None);
        }
        harness.advance(50 * MS);
    }
}

#[test]
fn reads_avoid_an_endpoint_that_never_answers() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    serve_reads(&mut harness, 1..60, 0, Outcome::Ok);
    let at_faulty = serve_reads(&mut harness, 100..300, 3, Outcome::TimedOut);
    assert!(at_faulty < 20, "{at_faulty} of 200");
}

#[test]
fn ejected_endpoints_do_not_get_the_reads_that_exceed_the_capacity_of_others() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    serve_reads(&mut harness, 1..40, 3, Outcome::Error);
    harness.log.clear();
    for id in 100..160 {
        harness.request(id, ANY);
    }
    assert!(send_count(&harness.log, 3) <= 1, "at most a single trial");
    assert!(send_count(&harness.log, 2) >= 3);
}

#[test]
fn a_listed_endpoint_that_does_not_exist_gets_few_attempts() {
    let mut with_missing = RouterHarness::with_known_roles(settings(), 4);
    update_state(&mut with_missing, 5, EndpointState::Ready);
    let at_missing = serve_reads(&mut with_missing, 1..40, 5, Outcome::Error);
    assert!(at_missing <= 1, "{at_missing} of 39");
}

#[test]
fn failed_probes_do_not_eject_an_endpoint_that_serves() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for _ in 0..20 {
        let report = LoadReport::default();
        harness.handle(Event::ProbeEnded { endpoint: EndpointId(3), answered: false, report });
    }
    serve_reads(&mut harness, 1..41, 0, Outcome::Ok);
    assert!(send_count(&harness.log, 3) >= 15, "{} of 40", send_count(&harness.log, 3));
}

#[test]
fn attempts_outstanding_during_a_suspension_do_not_count_against_endpoints() {
    // If `suspension` is 0, 400 ms pass in which the timers of the router fire on time.
    let ejections = |suspension: Micros| {
        let mut harness = RouterHarness::with_known_roles(settings(), 3);
        serve_reads(&mut harness, 1..20, 0, Outcome::Ok);
        for round in 0..6 {
            let ids = 100 + 10 * round..104 + 10 * round;
            let sends: Vec<_> =
                ids.clone().filter_map(|id| Some((id, sent_to(&harness.request(id, ANY))?))).collect();
            if suspension > 0 {
                harness.now += suspension;
            } else {
                harness.advance(400 * MS);
            }
            for (id, destination) in sends {
                harness.handle(Event::ClientDisconnected(id));
                harness.end_attempt(
                    id,
                    0,
                    destination,
                    if destination == 2 { Outcome::Ok } else { Outcome::TimedOut },
                    None,
                );
            }
            harness.advance(20 * MS);
        }
        harness.log.iter().filter(|a| matches!(a, Action::EndpointEjected { .. })).count()
    };
    assert_eq!(ejections(900 * MS), 0, "the router was suspended, so no endpoint is ejected");
    assert!(ejections(0) > 0, "the same outcomes without a suspension eject endpoints");
}

/// Guards against the ejection of a primary that rejects some attempts: writes would wait for its next trial.
#[test]
fn a_primary_that_rejects_some_attempts_is_not_ejected() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for id in 1..=60 {
        harness.advance(50 * MS);
        assert_eq!(sent_to(&harness.request(id, AT_MOST_ONCE)), Some(1), "write {id}");
        // Two writes are served, then five are rejected.
        let outcome = if id % 7 < 2 { Outcome::Ok } else { Outcome::RejectedByMember };
        harness.advance(MS);
        harness.end_attempt(id, 0, 1, outcome, Some(Role::Primary));
        harness.handle(Event::ClientDisconnected(id));
    }
    let is_ejection = |action: &&Action| matches!(action, Action::EndpointEjected { .. });
    assert_eq!(harness.log.iter().find(is_ejection), None);
}

/// Guards against a wrong cause in the log: an endpoint that only rejects does answer.
#[test]
fn an_endpoint_that_only_rejects_is_ejected_for_its_rejections() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    serve_reads(&mut harness, 1..200, 3, Outcome::RejectedByMember);
    let ejected = Action::EndpointEjected { endpoint: EndpointId(3), cause: "rejections".into() };
    assert!(harness.log.contains(&ejected), "{:?}", harness.log);
}

/// Guards against taking an endpoint that the list has dropped by mistake out of service, because it has
/// rejected one attempt.
#[test]
fn one_rejection_does_not_take_an_endpoint_listed_as_removed_out_of_service() {
    let settings = Settings { removed_endpoints_usable: true, ..settings() };
    let mut harness = RouterHarness::with_known_roles(settings, 1);
    harness.request(1, AT_MOST_ONCE);
    harness.end_attempt(1, 0, 1, Outcome::Ok, Some(Role::Primary));
    update_state(&mut harness, 1, EndpointState::Removed);
    harness.advance(50 * MS);
    assert_eq!(sent_to(&harness.request(2, AT_MOST_ONCE)), Some(1));
    harness.advance(MS);
    harness.end_attempt(2, 0, 1, Outcome::RejectedByMember, Some(Role::Primary));
    assert_eq!(sent_to(&harness.request(3, AT_MOST_ONCE)), Some(1), "still in use");
}
