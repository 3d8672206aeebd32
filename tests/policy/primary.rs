//! Writes while the primary is unknown or unreachable.

use crate::harness::*;
use liftrelay::*;

/// Guards against the failure of a write during a failover: if the router sent it to every member of a large
/// group in search of the primary, no attempt would be left when the new primary is known.
#[test]
fn a_write_outlasts_a_failover_of_a_large_group() {
    let mut harness = RouterHarness::new(Settings { max_attempts: 8, ..settings() }, 10);
    let write = Request { remaining: 5000 * MS, ..request(1, AT_MOST_ONCE) };
    let mut actions = harness.handle(Event::Request(write));
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
    assert_eq!(last, Some(7), "sent to the new primary once it is known");
}

/// Guards against the failure of a write before a new primary is known: a primary that refuses connections
/// does so in almost no time, and repeated attempts there would use up all attempts of the write.
#[test]
fn a_write_outlasts_a_primary_that_refuses_connections() {
    let mut harness = RouterHarness::with_known_roles(Settings { max_attempts: 8, ..settings() }, 2);
    let write = Request { remaining: 5000 * MS, ..request(1, AT_MOST_ONCE) };
    let mut actions = harness.handle(Event::Request(write));
    let mut attempt = 0;
    for _ in 0..150 {
        while let Some(to) = sent_to(&actions) {
            let outcome = if to == 1 { Outcome::ConnectFailed } else { Outcome::NotServable };
            actions = harness.end_attempt(1, attempt, to, outcome, None);
            attempt += 1;
        }
        assert!(!is_failed(&actions, 1) && !is_rejected(&actions, 1), "given up after {attempt} attempts");
        actions = harness.advance(20 * MS);
    }
    harness.report(2, Role::Primary, harness.now);
    let last = harness.log.iter().rev().find_map(|a| sent_to(std::slice::from_ref(a)));
    assert_eq!(last, Some(2), "sent to the new primary as soon as a report names it");
}
