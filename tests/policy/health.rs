//! Outlier ejection, trials, and what must not count against an endpoint.

use crate::harness::*;
use liftrelay::*;

#[test]
fn an_endpoint_that_fails_fast_does_not_look_idle() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let at_sick = serve_reads(&mut harness, 1..200, 3, Outcome::Error);
    assert!(at_sick < 20, "{at_sick} of 200");
}

#[test]
fn an_endpoint_that_refuses_connections_does_not_look_idle() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let at_sick = serve_reads(&mut harness, 1..200, 3, Outcome::ConnectFailed);
    assert!(at_sick < 20, "{at_sick} of 200");
}

#[test]
fn a_hung_endpoint_with_a_full_queue_does_not_look_idle() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let at_sick = serve_reads(&mut harness, 1..200, 3, Outcome::RejectedByMember);
    assert!(at_sick < 20, "{at_sick} of 200");
}

#[test]
fn an_ejected_endpoint_is_readmitted_by_trials() {
    let mut harness = RouterHarness::with_known_roles(settings_without_open_connections(), 4);
    serve_reads(&mut harness, 1..100, 3, Outcome::Error);
    serve_reads(&mut harness, 100..400, 0, Outcome::Ok);
    let mut back = 0;
    for id in 400..420 {
        let to = sent_to(&harness.request(id, ANY)).unwrap();
        back += usize::from(to == 3);
        harness.end_attempt(id, 0, to, Outcome::Ok, None);
    }
    assert!(back >= 5, "{back} of 20");
}

#[test]
fn the_last_usable_endpoint_is_never_ejected() {
    let mut harness = RouterHarness::new(settings(), 1);
    for id in 1..=10 {
        let brief = Request { remaining: 30 * MS, ..request(id, ANY) };
        assert_eq!(sent_to(&harness.handle(Event::Request(brief))), Some(1));
        assert!(
            is_rejected(&harness.end_attempt(id, 0, 1, Outcome::Error, None), id),
            "no time for another try"
        );
    }
}

/// Guards against a broken connection now and then passing for a dead member, which would be left out, and
/// spared as warming up once it answers again.
#[test]
fn occasional_connection_failures_do_not_eject_an_endpoint() {
    let mut harness = RouterHarness::with_known_roles(settings_without_open_connections(), 4);
    let mut at = [0; 5];
    for id in 1..=400 {
        harness.advance(10 * MS);
        let mut actions = harness.request(id, ANY);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            at[to as usize] += 1;
            let how = match at[to as usize] % 12 {
                0 if to == 3 => Outcome::ConnectFailed,
                6 if to == 3 => Outcome::Reset,
                _ => Outcome::Ok,
            };
            actions = harness.end_attempt(id, attempt, to, how, None);
            attempt += 1;
        }
    }
    assert!(10 * at[3] > 8 * at[2], "{at:?}");
}

/// Guards against holding writes back from the only member that takes them, because some of them fail there.
#[test]
fn a_primary_with_occasional_errors_keeps_its_writes() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for id in 1..60 {
        assert_eq!(sent_to(&harness.request(id, AT_MOST_ONCE)), Some(1), "{id}");
        let outcome = if id % 2 == 0 { Outcome::Ok } else { Outcome::Error };
        harness.end_attempt(id, 0, 1, outcome, None);
        // The others succeed: the primary's failures stand out.
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
    let at_sick = serve_reads(&mut harness, 100..300, 3, Outcome::TimedOut);
    assert!(at_sick < 20, "{at_sick} of 200");
}

#[test]
fn ejected_endpoints_do_not_take_the_overflow_of_a_full_group() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    serve_reads(&mut harness, 1..40, 3, Outcome::Error);
    harness.log.clear();
    for id in 100..160 {
        harness.request(id, ANY);
    }
    assert!(send_count(&harness.log, 3) <= 1, "a single trial at most");
    assert!(send_count(&harness.log, 2) >= 3);
}

#[test]
fn a_listed_endpoint_that_does_not_exist_costs_few_attempts() {
    let mut fresh = RouterHarness::with_known_roles(settings(), 4);
    update_state(&mut fresh, 5, EndpointState::Ready);
    let at_ghost = serve_reads(&mut fresh, 1..40, 5, Outcome::Error);
    assert!(at_ghost <= 1, "{at_ghost} of 39");
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
    let stalled = |gap: Micros| {
        let mut harness = RouterHarness::with_known_roles(settings(), 3);
        serve_reads(&mut harness, 1..20, 0, Outcome::Ok);
        for round in 0..6 {
            let ids = 100 + 10 * round..104 + 10 * round;
            let to: Vec<_> =
                ids.clone().filter_map(|id| Some((id, sent_to(&harness.request(id, ANY))?))).collect();
            if gap > 0 {
                harness.now += gap;
            } else {
                harness.advance(400 * MS);
            }
            for (id, n) in to {
                harness.handle(Event::ClientDisconnected(id));
                harness.end_attempt(id, 0, n, if n == 2 { Outcome::Ok } else { Outcome::TimedOut }, None);
            }
            harness.advance(20 * MS);
        }
        harness.log.iter().filter(|a| matches!(a, Action::EndpointEjected { .. })).count()
    };
    assert_eq!(stalled(900 * MS), 0, "it was suspended: no endpoint is ejected");
    assert!(stalled(0) > 0, "the same outcomes without a suspension eject endpoints");
}
