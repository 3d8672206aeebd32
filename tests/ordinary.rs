//! The ordinary path: own pending counts, ties in turn, the primary last heard.

mod common;
use common::*;
use liftrelay::*;

#[test]
fn reads_go_to_the_replica_with_fewest_pending() {
    let mut rig = Rig::known(settings(), 4);
    let mut seen: Vec<u64> = (1..=3).map(|id| sent(&rig.ask(id, ANY)).unwrap()).collect();
    let second = seen[1];
    seen.sort();
    assert_eq!(seen, [2, 3, 4], "each replica has one, the primary none");
    rig.end(2, 0, second, Outcome::Ok, Some(Role::Replica));
    assert_eq!(sent(&rig.ask(4, ANY)), Some(second), "its count fell on the outcome");
}

#[test]
fn ties_are_taken_in_turn() {
    let mut rig = Rig::known(settings(), 3);
    let mut order = Vec::new();
    for id in 1..=4 {
        let to = sent(&rig.ask(id, ANY)).unwrap();
        order.push(to);
        rig.end(id, 0, to, Outcome::Ok, Some(Role::Replica));
    }
    assert_ne!(order[0], order[1]);
    assert_eq!(order[..2], order[2..]);
}

#[test]
fn writes_and_latest_reads_go_to_the_primary_last_heard() {
    let mut rig = Rig::known(settings(), 3);
    assert_eq!(sent(&rig.ask(1, WRITE)), Some(1));
    assert_eq!(sent(&rig.ask(2, LATEST)), Some(1));
    rig.now += 10 * MS;
    rig.report(2, Role::Primary, rig.now);
    assert_eq!(sent(&rig.ask(3, WRITE)), Some(2), "newer evidence wins");
    rig.report(1, Role::Primary, rig.now - 8 * MS);
    assert_eq!(sent(&rig.ask(4, WRITE)), Some(2), "an old report does not");
}

#[test]
fn a_write_without_a_primary_goes_round_once_then_waits_for_the_timer() {
    let mut rig = Rig::new(settings(), 3);
    let mut asked = vec![sent(&rig.ask(1, WRITE)).unwrap()];
    for attempt in 0..2 {
        let at = *asked.last().unwrap();
        asked.push(sent(&rig.end(1, attempt, at, Outcome::NotServable, Some(Role::Replica))).unwrap());
    }
    let last = asked[2];
    assert_eq!(sent(&rig.end(1, 2, last, Outcome::NotServable, Some(Role::Replica))), None, "held");
    asked.sort();
    assert_eq!(asked, [1, 2, 3]);
    let later = rig.pass(300 * MS);
    assert!(later.iter().any(|a| matches!(a, Action::Send { request: 1, .. })), "sent again on the timer");
}

#[test]
fn a_held_write_is_refused_in_time_when_no_primary_shows() {
    let mut rig = Rig::new(settings(), 1);
    let mut attempt = 0;
    let mut actions = rig.ask(1, WRITE);
    let end = rig.now + 2000 * MS;
    while rig.now < end {
        if let Some(to) = sent(&actions) {
            actions = rig.end(1, attempt, to, Outcome::NotServable, Some(Role::Replica));
            attempt += 1;
        } else {
            actions = rig.pass(20 * MS);
        }
    }
    let finals = rig.log.iter().filter(|a| matches!(a, Action::Reject { request: 1, .. } | Action::Fail(1)));
    assert_eq!(finals.count(), 1);
    assert!(refused(&rig.log, 1), "nothing ran, so it is refused");
}

#[test]
fn unknown_roles_take_reads_by_pending_count() {
    let mut rig = Rig::new(settings(), 2);
    let mut to = [sent(&rig.ask(1, ANY)).unwrap(), sent(&rig.ask(2, ANY)).unwrap()];
    to.sort();
    assert_eq!(to, [1, 2]);
}

#[test]
fn a_miss_clears_the_belief_and_the_next_member_is_asked() {
    let mut rig = Rig::known(settings(), 3);
    assert_eq!(sent(&rig.ask(1, WRITE)), Some(1));
    rig.now += 5 * MS;
    let next = sent(&rig.end(1, 0, 1, Outcome::NotServable, Some(Role::Replica)));
    assert!(matches!(next, Some(2 | 3)));
}

#[test]
fn a_read_missed_at_one_replica_tries_the_next_then_the_primary() {
    let mut rig = Rig::known(settings(), 3);
    let first = sent(&rig.ask(1, ANY)).unwrap();
    let second = sent(&rig.end(1, 0, first, Outcome::NotServable, Some(Role::Replica))).unwrap();
    let third = sent(&rig.end(1, 1, second, Outcome::NotServable, Some(Role::Replica))).unwrap();
    assert_eq!((first + second, third), (5, 1));
}

#[test]
fn a_read_that_no_member_is_fresh_enough_for_is_answered_in_time() {
    let mut rig = Rig::known(settings(), 2);
    let end = rig.now + 90 * MS;
    let mut actions = rig.event(Event::Request(Request { remaining: 90 * MS, ..request(1, OWN) }));
    let mut attempt = 0;
    while rig.now < end {
        rig.now += 2 * MS;
        actions = match sent(&actions) {
            Some(to) => rig.end(1, attempt, to, Outcome::NotServable, None),
            None => rig.pass(3 * MS),
        };
        attempt = rig.log.iter().filter(|a| matches!(a, Action::Send { .. })).count() as u32 - 1;
    }
    assert!(refused(&rig.log, 1), "{:?}", rig.log);
}
