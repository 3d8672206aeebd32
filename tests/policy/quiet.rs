//! Changes and faults after a long time without requests, in which the rates of requests have decayed.

use crate::harness::*;
use liftrelay::*;

const TEN_MINUTES: Micros = 600_000 * MS;
/// After an hour without requests, the decayed rates underflow to 0, as after a day.
const HOUR: Micros = 6 * TEN_MINUTES;

/// Returns two routers after a quiet time, and one without a quiet time for comparison, each with its quiet
/// time.
fn after_quiet_times() -> Vec<(Micros, RouterHarness)> {
    let start = |quiet| {
        let mut harness = RouterHarness::with_known_roles(settings(), 4);
        serve_reads(&mut harness, 1..200, 0, Outcome::Ok);
        for _ in 0..10 {
            harness.advance(quiet / 10);
            answer_probes(&mut harness);
        }
        harness.log.clear();
        (quiet, harness)
    };
    [0, TEN_MINUTES, HOUR].map(start).into()
}

/// Answers all probes in the log, clears the log, and returns the number of probes.
fn answer_probes(harness: &mut RouterHarness) -> usize {
    let probed = |action: &Action| match action {
        Action::Probe(endpoint) => Some(endpoint.0),
        _ => None,
    };
    let probed: Vec<u64> = harness.log.iter().filter_map(probed).collect();
    harness.log.clear();
    for endpoint in &probed {
        let role = if *endpoint == 1 { Role::Primary } else { Role::Replica };
        harness.report(*endpoint, role, harness.now);
    }
    probed.len()
}

#[test]
fn probes_return_to_the_usual_rate_soon_after_a_quiet_time() {
    let probes = |mut harness: RouterHarness| {
        let mut probes = 0;
        for id in 1000..1500 {
            serve_reads(&mut harness, id..id + 1, 0, Outcome::Ok);
            probes += answer_probes(&mut harness);
        }
        probes
    };
    let counts: Vec<_> =
        after_quiet_times().into_iter().map(|(quiet, harness)| (quiet, probes(harness))).collect();
    let usual = counts[0].1;
    assert!(counts.iter().all(|(_, count)| count * 2 > usual), "{counts:?}");
}

#[test]
fn a_drain_after_a_quiet_time_takes_effect_immediately() {
    for (quiet, mut harness) in after_quiet_times() {
        update_state(&mut harness, 3, EndpointState::Draining);
        serve_reads(&mut harness, 1000..1100, 0, Outcome::Ok);
        assert_eq!(send_count(&harness.log, 3), 0, "after {quiet}");
    }
}

#[test]
fn a_burst_after_a_quiet_time_is_served() {
    for (quiet, mut harness) in after_quiet_times() {
        let served = (1000..1100).filter(|id| {
            harness.advance(2 * MS);
            let to = sent_to(&harness.request(*id, ANY));
            to.is_some_and(|to| !is_rejected(&harness.end_attempt(*id, 0, to, Outcome::Ok, None), *id))
        });
        assert_eq!(served.count(), 100, "after {quiet}");
    }
}

/// The primary has failed in the quiet time. The first write may be rejected, as the router still sends it to
/// the failed primary; all other writes must be served by the new one.
#[test]
fn a_primary_that_failed_in_a_quiet_time_is_replaced() {
    for (quiet, mut harness) in after_quiet_times() {
        let mut served = 0;
        for id in 1000..1010 {
            let mut actions = harness.request(id, AT_MOST_ONCE);
            let mut attempt = 0;
            for _ in 0..20 {
                while let Some(to) = sent_to(&actions) {
                    let (outcome, role) = match to {
                        1 => (Outcome::ConnectFailed, None),
                        2 => (Outcome::Ok, Some(Role::Primary)),
                        _ => (Outcome::NotServable, Some(Role::Replica)),
                    };
                    served += usize::from(outcome == Outcome::Ok);
                    actions = harness.end_attempt(id, attempt, to, outcome, role);
                    attempt += 1;
                }
                actions = harness.advance(50 * MS);
            }
        }
        assert!(served >= 9, "{served} of 10 after {quiet}");
    }
}

/// An endpoint that has started to fail in the quiet time must be ejected after as few attempts as one that
/// starts to fail at any other time.
#[test]
fn an_endpoint_that_fails_after_a_quiet_time_is_ejected() {
    for (quiet, mut harness) in after_quiet_times() {
        let at_faulty = serve_reads(&mut harness, 1000..1200, 3, Outcome::Error);
        assert!(at_faulty < 20, "{at_faulty} of 200 after {quiet}");
    }
}
