//! Writes while the primary is unknown or out of reach.

use crate::harness::*;
use liftrelay::*;

/// Guards against a write that asks all of a large group at once amid a handover and has no attempt left when
/// the new primary is there.
#[test]
fn a_write_outlasts_a_handover_of_a_large_group() {
    let mut harness = RouterHarness::new(Settings { max_attempts: 8, ..settings() }, 10);
    let patient = Request { remaining: 5000 * MS, ..request(1, AT_MOST_ONCE) };
    let mut actions = harness.handle(Event::Request(patient));
    let mut attempt = 0;
    for _ in 0..80 {
        while let Some(to) = sent_to(&actions) {
            actions = harness.end_attempt(1, attempt, to, Outcome::NotServable, Some(Role::Replica));
            attempt += 1;
        }
        assert!(!is_failed(&actions, 1) && !is_rejected(&actions, 1), "given up after {attempt} attempts");
        actions = harness.advance(20 * MS);
    }
    harness.report(7, Role::Primary, harness.now);
    harness.advance(100 * MS);
    let last = harness.log.iter().rev().find_map(|a| sent_to(std::slice::from_ref(a)));
    assert_eq!(last, Some(7), "sent to the primary once it is known");
}

/// Guards against a primary that refuses connections at once and uses up all of a write's attempts.
#[test]
fn a_write_outlasts_a_primary_that_refuses_connections() {
    let mut harness = RouterHarness::with_known_roles(Settings { max_attempts: 8, ..settings() }, 2);
    let patient = Request { remaining: 5000 * MS, ..request(1, AT_MOST_ONCE) };
    let mut actions = harness.handle(Event::Request(patient));
    let mut attempt = 0;
    for _ in 0..150 {
        while let Some(to) = sent_to(&actions) {
            let how = if to == 1 { Outcome::ConnectFailed } else { Outcome::NotServable };
            actions = harness.end_attempt(1, attempt, to, how, None);
            attempt += 1;
        }
        assert!(!is_failed(&actions, 1) && !is_rejected(&actions, 1), "given up after {attempt} attempts");
        actions = harness.advance(20 * MS);
    }
    harness.report(2, Role::Primary, harness.now);
    let last = harness.log.iter().rev().find_map(|a| sent_to(std::slice::from_ref(a)));
    assert_eq!(last, Some(2), "sent to the new primary as soon as a report names it");
}
