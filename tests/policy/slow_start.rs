//! Slow start: what endpoints that warm up are sent.

use crate::harness::*;
use liftrelay::*;
use std::collections::BTreeMap;

/// The work sent to a member by many routers with a read each now and then, in unloaded times of one read.
fn reads_sent_by_many(start: impl Fn(&mut RouterHarness), to: u64) -> usize {
    sends_by_many(start, to, ANY)
}

/// The same for work of one class.
fn sends_by_many(start: impl Fn(&mut RouterHarness), to: u64, class: usize) -> usize {
    (0..300)
        .map(|n| {
            let mut harness =
                RouterHarness::with_known_roles_seeded(Settings { instances: 300, ..settings() }, 4, n);
            serve_reads(&mut harness, 1..8, 0, Outcome::Ok);
            start(&mut harness);
            harness.log.clear();
            for id in 100..104 {
                harness.advance(400 * MS);
                let mut actions = harness.request(id, class);
                let mut attempt = 0;
                while let Some(to) = sent_to(&actions) {
                    actions = harness.end_attempt(id, attempt, to, Outcome::Ok, None);
                    attempt += 1;
                }
            }
            send_count(&harness.log, to)
        })
        .sum()
}

#[test]
fn an_endpoint_warming_up_is_not_overloaded_by_many_routers_together() {
    let warm = reads_sent_by_many(|_| {}, 3);
    let warming_up = reads_sent_by_many(
        |harness| {
            let started = EndpointEntry { started_at: harness.now, ..endpoint_entry(3) };
            harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![started] });
        },
        3,
    );
    assert!(warm > 250, "{warm} sent to it warm");
    assert!(warming_up > 0 && warming_up < warm / 4, "{warming_up} sent to it warming up, {warm} warm");
}

/// The list says that this member has just started, and whether it is the primary.
fn restart_in_list(harness: &mut RouterHarness, n: u64, primary_hint: bool) {
    let started = EndpointEntry { started_at: harness.now, primary_hint, ..endpoint_entry(n) };
    harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![started] });
}

#[test]
fn a_primary_warming_up_is_not_overloaded_by_the_writes_of_many_routers() {
    // All members together serve 250 at first, 83 each; the settings allow one that warms up twice its part of that.
    let writes = sends_by_many(|harness| restart_in_list(harness, 1, true), 1, AT_MOST_ONCE);
    assert!((50..250).contains(&writes), "{writes} writes in 1.6 s");
}

#[test]
fn a_primary_warming_up_gets_the_occasional_writes_of_a_router() {
    let routers = 300;
    let taken = (0..routers).filter(|n| {
        let mut harness =
            RouterHarness::with_known_roles_seeded(Settings { instances: 300, ..settings() }, 4, *n);
        serve_reads(&mut harness, 1..30, 0, Outcome::Ok);
        restart_in_list(&mut harness, 1, true);
        for id in 100..108 {
            harness.advance(400 * MS);
            let actions = harness.request(id, ANY);
            sent_to(&actions)
                .into_iter()
                .for_each(|to| drop(harness.end_attempt(id, 0, to, Outcome::Ok, None)));
        }
        sent_to(&harness.request(200, AT_MOST_ONCE)) == Some(1)
    });
    let taken = taken.count();
    assert!(taken > routers as usize * 2 / 3, "{taken} of {routers} writes after 3.2 s without one");
}

/// Guards against a class that each of many routers sees once in a while: what one router saves up is next to
/// nothing, what they save together mostly goes unused.
#[test]
fn a_primary_warming_up_gets_its_share_of_rare_writes_at_once() {
    let routers = 300;
    let taken = (0..routers).filter(|n| {
        let mut harness =
            RouterHarness::with_known_roles_seeded(Settings { instances: 300, ..settings() }, 4, *n);
        serve_reads(&mut harness, 1..30, 0, Outcome::Ok);
        restart_in_list(&mut harness, 1, true);
        harness.advance(50 * MS);
        sent_to(&harness.request(200, AT_MOST_ONCE)) == Some(1)
    });
    // It has a fifth of its capacity, and the settings allow it twice what it can do.
    let taken = taken.count();
    assert!((80..160).contains(&taken), "{taken} of {routers} writes");
}

#[test]
fn a_write_waits_for_a_listed_primary_that_is_warming_up() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    restart_in_list(&mut harness, 1, true);
    assert_eq!(
        sent_to(&harness.request(1, AT_MOST_ONCE)),
        None,
        "nothing is saved up for it yet, and the others are replicas"
    );
    harness.advance(200 * MS);
    assert_eq!([1, 2, 3, 4].map(|n| send_count(&harness.log, n)), [0; 4]);
    harness.report(1, Role::Replica, harness.now);
    let asked = harness.advance(200 * MS);
    assert!(
        send_count(&asked, 2) + send_count(&asked, 3) + send_count(&asked, 4) > 0,
        "it is not: others are asked"
    );
}

#[test]
fn an_endpoint_back_from_refused_connections_warms_up_before_the_list_says_so() {
    let warm = reads_sent_by_many(|_| {}, 3);
    let back = reads_sent_by_many(
        |harness| {
            for from in [50, 80] {
                let id = (from..).find(|id| sent_to(&harness.request(*id, ANY)) == Some(3)).unwrap();
                harness.advance(60 * MS);
                harness.end_attempt(id, 0, 3, Outcome::ConnectFailed, None);
            }
            harness.report(3, Role::Replica, harness.now);
        },
        3,
    );
    assert!(back < warm / 4, "{back} sent after it came back, {warm} usually");
}

/// Guards against a router that starts with endpoints that warm up only and sends them nothing for ever.
#[test]
fn a_router_that_has_just_started_uses_endpoints_warming_up() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let started = harness.now;
    let members = (1..=4).map(|n| EndpointEntry { started_at: started, ..endpoint_entry(n) }).collect();
    harness.handle(Event::EndpointUpdate { complete: true, endpoints: members });
    harness.advance(5000 * MS);
    let taken = serve_and_count(&mut harness, 1..40, 1..=4);
    assert!(taken >= 5, "{taken} of 39");
}

#[test]
fn an_endpoint_warming_up_gets_no_more_than_its_share() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let restarted = EndpointEntry { started_at: harness.now, ..endpoint_entry(4) };
    harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![restarted] });
    let mut counts = BTreeMap::new();
    for id in 1..=600 {
        harness.advance(5 * MS);
        if let Some(to) = sent_to(&harness.request(id, ANY)) {
            *counts.entry(to).or_insert(0) += 1;
            harness.now += MS;
            harness.end_attempt(id, 0, to, Outcome::Ok, Some(Role::Replica));
        }
    }
    let to_restarted = counts.get(&4).copied().unwrap_or(0);
    assert!(to_restarted >= 1 && to_restarted * 3 < counts[&2], "{counts:?}");
}

/// Guards against a budget that follows demand where most endpoints warm up: clients repeat what is not served,
/// so that demand says nothing about what an endpoint can do.
#[test]
fn demand_that_is_not_served_does_not_raise_the_budget_of_a_primary_warming_up() {
    let settings = settings();
    let mut harness = RouterHarness::with_known_roles(settings.clone(), 4);
    // 100 reads and writes a second are served: 25 at each endpoint.
    for id in 1..=1000 {
        harness.advance(10 * MS);
        let class = if id % 4 == 0 { AT_MOST_ONCE } else { ANY };
        if let Some(to) = sent_to(&harness.request(id, class)) {
            harness.end_attempt(id, 0, to, Outcome::Ok, None);
        }
    }
    for n in 1..=3 {
        restart_in_list(&mut harness, n, n == 1);
    }
    harness.report(1, Role::Primary, harness.now);
    harness.log.clear();
    let window = settings.overload_window;
    // Four times as much is asked for, and nothing is served.
    let started_at = harness.now;
    for id in 2000.. {
        harness.advance(2500);
        if harness.now >= started_at + window {
            break;
        }
        if let Some(to) = sent_to(&harness.request(id, AT_MOST_ONCE)) {
            harness.end_attempt(id, 0, to, Outcome::Error, None);
        }
    }
    let capacity = 25.0 * settings.slow_start_capacity;
    let allowed = settings.overload_multiple * capacity * window as f64 / 1e6;
    let most = allowed + 3.0 * allowed.sqrt() + 3.0;
    let sent = send_count(&harness.log, 1);
    assert!(sent > 0 && (sent as f64) < most, "{sent} sent, {allowed:.0} allowed");
}
