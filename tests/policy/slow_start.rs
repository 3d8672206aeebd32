//! Slow start: the load of endpoints that are warming up.

use crate::harness::*;
use liftrelay::*;
use std::collections::BTreeMap;

/// Returns the number of attempts that 300 routers send to an endpoint for four reads each, after each router
/// has applied `start`. All reads have the same unloaded latency, so that the number measures the work.
fn reads_sent_by_many_routers(start: impl Fn(&mut RouterHarness), to: u64) -> usize {
    requests_sent_by_many_routers(start, to, ANY)
}

/// Like [`reads_sent_by_many_routers`], for requests of one class.
fn requests_sent_by_many_routers(start: impl Fn(&mut RouterHarness), to: u64, class: usize) -> usize {
    (0..300)
        .map(|seed| {
            let mut harness =
                RouterHarness::with_known_roles_seeded(Settings { instances: 300, ..settings() }, 4, seed);
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
    let warm = reads_sent_by_many_routers(|_| {}, 3);
    let warming_up = reads_sent_by_many_routers(
        |harness| {
            let started = EndpointEntry { started_at: harness.now, ..endpoint_entry(3) };
            harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![started] });
        },
        3,
    );
    assert!(warm > 250, "{warm} sent to the warm endpoint");
    assert!(
        warming_up > 0 && warming_up < warm / 4,
        "{warming_up} sent while it warms up, {warm} when it is warm"
    );
}

/// Lists an endpoint as just started, and as the primary if `primary_hint` is set.
fn restart_in_list(harness: &mut RouterHarness, endpoint: u64, primary_hint: bool) {
    let started = EndpointEntry { started_at: harness.now, primary_hint, ..endpoint_entry(endpoint) };
    harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![started] });
}

#[test]
fn a_primary_warming_up_is_not_overloaded_by_the_writes_of_many_routers() {
    // The 300 routers get 1,200 writes in 1.6 s. In that time, the capacity of the primary rises from 0.2 to
    // 0.33 of that of a warm member, and the settings allow twice the load that it can serve. The upper bound
    // of 250 writes is what all members together are taken to serve at first, 83 each.
    let writes = requests_sent_by_many_routers(|harness| restart_in_list(harness, 1, true), 1, AT_MOST_ONCE);
    assert!((50..250).contains(&writes), "{writes} writes in 1.6 s");
}

#[test]
fn a_primary_warming_up_gets_the_occasional_writes_of_a_router() {
    let routers = 300;
    let sent_writes = (0..routers).filter(|seed| {
        let mut harness =
            RouterHarness::with_known_roles_seeded(Settings { instances: 300, ..settings() }, 4, *seed);
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
    let sent_writes = sent_writes.count();
    assert!(
        sent_writes > routers as usize * 2 / 3,
        "{sent_writes} of {routers} writes sent after 3.2 s without a write"
    );
}

/// Guards against the starvation of a class that each of many routers seldom gets: no router saves enough
/// budget for one request, and most of what all routers save together is never used.
#[test]
fn a_primary_warming_up_gets_its_share_of_rare_writes_immediately() {
    let routers = 300;
    let sent_writes = (0..routers).filter(|seed| {
        let mut harness =
            RouterHarness::with_known_roles_seeded(Settings { instances: 300, ..settings() }, 4, *seed);
        serve_reads(&mut harness, 1..30, 0, Outcome::Ok);
        restart_in_list(&mut harness, 1, true);
        harness.advance(50 * MS);
        sent_to(&harness.request(200, AT_MOST_ONCE)) == Some(1)
    });
    // The primary has a fifth of its capacity, and the settings allow twice that load.
    let sent_writes = sent_writes.count();
    assert!((80..160).contains(&sent_writes), "{sent_writes} of {routers} writes");
}

#[test]
fn a_write_waits_for_a_listed_primary_that_is_warming_up() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    restart_in_list(&mut harness, 1, true);
    assert_eq!(
        sent_to(&harness.request(1, AT_MOST_ONCE)),
        None,
        "no budget is saved for the primary yet, and the others are replicas"
    );
    harness.advance(200 * MS);
    assert_eq!([1, 2, 3, 4].map(|n| send_count(&harness.log, n)), [0; 4]);
    harness.report(1, Role::Replica, harness.now);
    let later_actions = harness.advance(200 * MS);
    assert!(
        send_count(&later_actions, 2) + send_count(&later_actions, 3) + send_count(&later_actions, 4) > 0,
        "the listed primary is a replica, so other members are tried"
    );
}

#[test]
fn an_endpoint_that_refused_connections_warms_up_before_its_restart_is_listed() {
    let warm = reads_sent_by_many_routers(|_| {}, 3);
    let recovered = reads_sent_by_many_routers(
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
    assert!(recovered < warm / 4, "{recovered} sent after the recovery, {warm} when it is warm");
}

/// Guards against a router that never sends anything because all endpoints were warming up when it started: a
/// slow start budget that follows the served work alone stays at 0 then.
#[test]
fn a_router_that_has_just_started_uses_endpoints_warming_up() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    let started = harness.now;
    let members = (1..=4).map(|n| EndpointEntry { started_at: started, ..endpoint_entry(n) }).collect();
    harness.handle(Event::EndpointUpdate { complete: true, endpoints: members });
    harness.advance(5000 * MS);
    let reads = serve_and_count(&mut harness, 1..40, 1..=4);
    assert!(reads >= 5, "{reads} of 39");
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

/// Guards against an overload of the primary while most endpoints are warming up: clients retry what is not
/// served, so a budget that follows the offered work instead of the served work exceeds the capacity.
#[test]
fn work_that_is_not_served_does_not_raise_the_budget_of_a_primary_warming_up() {
    let settings = settings();
    let mut harness = RouterHarness::with_known_roles(settings.clone(), 4);
    // 100 reads and writes per second are served, 25 at each endpoint.
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
    // 400 writes per second are offered, four times as much as before, and none is served.
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
