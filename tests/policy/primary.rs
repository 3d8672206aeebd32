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

/// Guards against the refusal of a write with a short deadline that an idle primary has rejected a few times:
/// a backoff of 100 ms or more would use up its time before its attempts.
#[test]
fn a_write_with_a_short_deadline_is_retried_soon_after_rejections_by_an_idle_primary() {
    let mut harness = RouterHarness::with_known_roles(Settings { max_attempts: 8, ..settings() }, 3);
    for id in 1..=100 {
        let actions = harness.request(id, AT_MOST_ONCE);
        assert_eq!(sent_to(&actions), Some(1), "write {id}");
        harness.advance(12 * MS);
        harness.end_attempt(id, 0, 1, Outcome::Ok, Some(Role::Primary));
    }
    let mut actions =
        harness.handle(Event::Request(Request { remaining: 200 * MS, ..request(101, AT_MOST_ONCE) }));
    for attempt in 0..4 {
        for _ in 0..4 {
            if sent_to(&actions).is_none() {
                actions = harness.advance(10 * MS);
            }
        }
        assert_eq!(sent_to(&actions), Some(1), "attempt {attempt}: {:?}", harness.log);
        harness.advance(MS / 2);
        actions = harness.end_attempt(101, attempt, 1, Outcome::RejectedByMember, Some(Role::Primary));
    }
}
