//! Selection without faults: by the router's own pending counts, with ties in turn, and by the primary last
//! observed.

use crate::harness::*;
use liftrelay::*;

#[test]
fn reads_go_to_the_replica_with_fewest_pending() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let mut seen: Vec<u64> = (1..=3).map(|id| sent_to(&harness.request(id, ANY)).unwrap()).collect();
    let second = seen[1];
    seen.sort();
    assert_eq!(seen, [2, 3, 4], "each replica has one pending read, the primary none");
    harness.end_attempt(2, 0, second, Outcome::Ok, Some(Role::Replica));
    assert_eq!(
        sent_to(&harness.request(4, ANY)),
        Some(second),
        "its pending count has fallen with the outcome"
    );
}

#[test]
fn replicas_with_equal_pending_counts_take_turns() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let mut order = Vec::new();
    for id in 1..=4 {
        let to = sent_to(&harness.request(id, ANY)).unwrap();
        order.push(to);
        harness.end_attempt(id, 0, to, Outcome::Ok, Some(Role::Replica));
    }
    assert_ne!(order[0], order[1]);
    assert_eq!(order[..2], order[2..]);
}

#[test]
fn writes_and_latest_reads_go_to_the_primary_last_observed() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    assert_eq!(sent_to(&harness.request(1, WRITE)), Some(1));
    assert_eq!(sent_to(&harness.request(2, LATEST)), Some(1));
    harness.now += 10 * MS;
    harness.report(2, Role::Primary, harness.now);
    assert_eq!(sent_to(&harness.request(3, WRITE)), Some(2), "newer evidence changes the primary");
    harness.report(1, Role::Primary, harness.now - 8 * MS);
    assert_eq!(sent_to(&harness.request(4, WRITE)), Some(2), "an older report does not change it back");
}

#[test]
fn a_write_without_a_known_primary_is_sent_to_each_member_once_and_then_held() {
    let mut harness = RouterHarness::new(settings(), 3);
    let mut tried = vec![sent_to(&harness.request(1, WRITE)).unwrap()];
    for attempt in 0..2 {
        let member = *tried.last().unwrap();
        tried.push(
            sent_to(&harness.end_attempt(1, attempt, member, Outcome::NotServable, Some(Role::Replica)))
                .unwrap(),
        );
    }
    let last = tried[2];
    assert_eq!(
        sent_to(&harness.end_attempt(1, 2, last, Outcome::NotServable, Some(Role::Replica))),
        None,
        "the write is held"
    );
    tried.sort();
    assert_eq!(tried, [1, 2, 3]);
    let later = harness.advance(300 * MS);
    assert!(
        later.iter().any(|a| matches!(a, Action::Send { request: 1, .. })),
        "sent again when the timer fires"
    );
}

#[test]
fn a_held_write_is_rejected_in_time_when_no_primary_is_found() {
    let mut harness = RouterHarness::new(settings(), 1);
    let mut attempt = 0;
    let mut actions = harness.request(1, WRITE);
    let end = harness.now + 2000 * MS;
    while harness.now < end {
        if let Some(to) = sent_to(&actions) {
            actions = harness.end_attempt(1, attempt, to, Outcome::NotServable, Some(Role::Replica));
            attempt += 1;
        } else {
            actions = harness.advance(20 * MS);
        }
    }
    let final_answers = harness
        .log
        .iter()
        .filter(|a| matches!(a, Action::Reject { request: 1, .. } | Action::Fail { request: 1, .. }));
    assert_eq!(final_answers.count(), 1);
    assert!(is_rejected(&harness.log, 1), "no attempt may have run, so the write is rejected");
}

#[test]
fn reads_go_by_pending_count_while_roles_are_unknown() {
    let mut harness = RouterHarness::new(settings(), 2);
    let mut to = [sent_to(&harness.request(1, ANY)).unwrap(), sent_to(&harness.request(2, ANY)).unwrap()];
    to.sort();
    assert_eq!(to, [1, 2]);
}

#[test]
fn a_rejected_write_clears_the_known_primary_and_is_sent_to_another_member() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    assert_eq!(sent_to(&harness.request(1, WRITE)), Some(1));
    harness.now += 5 * MS;
    let next = sent_to(&harness.end_attempt(1, 0, 1, Outcome::NotServable, Some(Role::Replica)));
    assert!(matches!(next, Some(2 | 3)));
}

#[test]
fn a_read_rejected_by_replicas_is_sent_to_the_next_replica_and_then_to_the_primary() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let first = sent_to(&harness.request(1, ANY)).unwrap();
    let second =
        sent_to(&harness.end_attempt(1, 0, first, Outcome::NotServable, Some(Role::Replica))).unwrap();
    let third =
        sent_to(&harness.end_attempt(1, 1, second, Outcome::NotServable, Some(Role::Replica))).unwrap();
    assert_eq!((first + second, third), (5, 1));
}

#[test]
fn a_read_for_which_no_endpoint_is_fresh_enough_is_rejected_in_time() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    let end = harness.now + 90 * MS;
    let mut actions =
        harness.handle(Event::Request(Request { remaining: 90 * MS, ..request(1, READ_YOUR_WRITES) }));
    let mut attempt = 0;
    while harness.now < end {
        harness.now += 2 * MS;
        actions = match sent_to(&actions) {
            Some(to) => harness.end_attempt(1, attempt, to, Outcome::NotServable, None),
            None => harness.advance(3 * MS),
        };
        attempt = harness.log.iter().filter(|a| matches!(a, Action::Send { .. })).count() as u32 - 1;
    }
    assert!(is_rejected(&harness.log, 1), "{:?}", harness.log);
}
