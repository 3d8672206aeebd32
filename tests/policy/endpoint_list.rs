//! The endpoint list: endpoints that are added, removed, restarted, drained, or listed wrongly.

use crate::harness::*;
use liftrelay::*;

#[test]
fn where_removed_endpoints_are_usable_an_endpoint_listed_as_removed_is_used_while_it_answers() {
    let settings_with_removed_usable = Settings { removed_endpoints_usable: true, ..settings() };
    let mut harness = RouterHarness::with_known_roles(settings_with_removed_usable.clone(), 4);
    harness.handle(Event::EndpointUpdate { complete: true, endpoints: Vec::new() });
    serve_reads(&mut harness, 1..40, 0, Outcome::Ok);
    assert_eq!(
        (1..=4).map(|n| send_count(&harness.log, n)).sum::<usize>(),
        39,
        "all reads are served after an empty list"
    );
    assert_eq!(sent_to(&harness.request(50, WRITE)), Some(1), "writes still go to the primary");
    update_state(&mut harness, 3, EndpointState::Draining);
    harness.handle(Event::EndpointUpdate { complete: true, endpoints: Vec::new() });
    harness.log.clear();
    serve_reads(&mut harness, 60..100, 0, Outcome::Ok);
    assert_eq!(send_count(&harness.log, 3), 0, "an endpoint that was listed as draining before is not used");
    let at_removed = serve_reads(&mut harness, 100..200, 4, Outcome::ConnectFailed);
    assert!(at_removed <= 1, "an endpoint that is really removed gets one attempt, not {at_removed}");
    let mut with_removed_unusable = RouterHarness::with_known_roles(settings(), 4);
    with_removed_unusable.handle(Event::EndpointUpdate { complete: true, endpoints: Vec::new() });
    assert!(
        is_rejected(&with_removed_unusable.request(1, ANY), 1),
        "by other settings, no endpoint that is listed as removed is used"
    );
}

/// Guards against an overload of the old members after new ones were added: if every new endpoint had to pass
/// a trial first, trials would take minutes at a few requests per second, and all routers would send to the
/// old members.
#[test]
fn new_endpoints_are_used_without_trials_where_requests_are_few() {
    let reads_of_router = |seed| {
        let mut harness = RouterHarness::with_known_roles_seeded(settings(), 4, seed);
        serve_and_count(&mut harness, 1..100, 1..=4);
        let started = harness.now;
        let members = (5..=12).map(|n| EndpointEntry { started_at: started, ..endpoint_entry(n) }).collect();
        harness.handle(Event::EndpointUpdate { complete: false, endpoints: members });
        serve_and_count(&mut harness, 100..190, 5..=12);
        serve_and_count(&mut harness, 200..220, 5..=12)
    };
    let reads = (0..30).map(reads_of_router).sum::<usize>();
    assert!(reads >= 270, "{reads} of 600 reads were sent to the 8 new endpoints of 12");
}

/// Guards against needless connections: if hundreds of routers with few requests spread them over all
/// members, each router would keep a connection to each member, for one request every ten seconds.
#[test]
fn a_router_with_few_requests_uses_few_replicas() {
    let mut used = 0;
    for n in 0..30 {
        let mut harness = RouterHarness::with_known_roles_seeded(settings(), 8, n);
        serve_and_count(&mut harness, 1..100, 1..=8);
        used += (1..=8).filter(|n| send_count(&harness.log, *n) > 0).count();
    }
    assert!((30..=75).contains(&used), "{used} connections from 30 routers");
}

/// Guards against many simultaneous reads at a new endpoint that has not answered yet: without a trial, the
/// router would send it reads before anything shows that it serves them. Where requests are many, a trial
/// delays the use of the endpoint only a little.
#[test]
fn a_new_endpoint_gets_a_single_trial_first_where_requests_are_many() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    for id in 1..1000 {
        harness.advance(3 * MS);
        let to = sent_to(&harness.request(id, ANY)).unwrap();
        harness.end_attempt(id, 0, to, Outcome::Ok, None);
    }
    harness.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![EndpointEntry { started_at: harness.now, ..endpoint_entry(5) }],
    });
    harness.advance(9500 * MS);
    (2000..2300).for_each(|id| drop(harness.request(id, ANY)));
    harness.log.clear();
    let started = harness.now - 9000 * MS;
    harness.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![EndpointEntry { started_at: started, ..endpoint_entry(6) }],
    });
    (3000..3040).for_each(|id| drop(harness.request(id, ANY)));
    assert!(send_count(&harness.log, 6) <= 1, "{} sent before its first answer", send_count(&harness.log, 6));
}

#[test]
fn an_endpoint_added_later_is_used_after_its_first_successful_answer() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    update_state(&mut harness, 3, EndpointState::Ready);
    serve_reads(&mut harness, 1..60, 0, Outcome::Ok);
    assert!(send_count(&harness.log, 3) >= 15, "{} of 60", send_count(&harness.log, 3));
}

#[test]
fn a_restart_of_the_primary_clears_the_known_primary() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let restarted = EndpointEntry { started_at: harness.now, ..endpoint_entry(1) };
    harness.handle(Event::EndpointUpdate { complete: false, endpoints: vec![restarted] });
    assert_ne!(
        sent_to(&harness.request(1, WRITE)),
        Some(1),
        "the restarted endpoint may be a replica, and is warming up"
    );
}

#[test]
fn unexpected_events_are_ignored_or_answered() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    harness.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: vec![endpoint_entry(1), endpoint_entry(1)],
    });
    harness.end_attempt(77, 0, 1, Outcome::Ok, None);
    harness.end_attempt(77, 0, 99, Outcome::Ok, None);
    harness.handle(Event::ClientDisconnected(77));
    harness.handle(Event::TimerFired(12345));
    harness.handle(Event::EndpointListFailed);
    let to = sent_to(&harness.request(1, ANY)).unwrap();
    harness.handle(Event::ClientDisconnected(1));
    assert!(harness.end_attempt(1, 0, to, Outcome::TimedOut, None).is_empty(), "the request has ended");
    harness.handle(Event::EndpointUpdate { complete: true, endpoints: Vec::new() });
    assert!(is_rejected(&harness.request(2, ANY), 2), "all endpoints are removed");
    assert!(is_rejected(&harness.handle(Event::Request(Request { group: 9, ..request(3, WRITE) })), 3));
    assert!(is_failed(&harness.request(4, 99), 4), "a class that is not in the settings");
    assert!(is_rejected(&harness.handle(Event::Request(Request { remaining: 0, ..request(5, ANY) })), 5));
    assert!(is_rejected(&RouterHarness::new(settings(), 0).request(1, ANY), 1), "the list is empty");
}

#[test]
fn a_failed_subscription_to_the_endpoint_list_is_retried_after_a_delay() {
    let mut router = Router::new(Settings { list_on_request: true, ..settings() }, 3, 0);
    let mut out = Vec::new();
    router.handle(0, Event::EndpointListFailed, &mut out);
    assert_eq!(
        out.iter().filter(|a| **a == Action::Subscribe).count(),
        1,
        "only the subscription of the start"
    );
    let Some(Action::SetTimer { token, after }) = out.last().cloned() else { panic!("{out:?}") };
    assert!(after >= 500 * MS);
    out.clear();
    router.handle(after, Event::TimerFired(token), &mut out);
    assert_eq!(out, [Action::Subscribe]);
}

/// Guards against a router whose state grows with every member that was ever listed, so that requests take
/// longer, and against a new member that inherits the state of the removed one whose slot it reuses.
#[test]
fn removed_endpoints_do_not_slow_down_requests_or_affect_new_endpoints() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let fastest_round = |harness: &mut RouterHarness, from: u32| {
        let time_round = |from: u32| {
            let round_start = std::time::Instant::now();
            for id in from..from + 500 {
                let to = sent_to(&harness.request(id, ANY)).unwrap();
                harness.end_attempt(id, 0, to, Outcome::Ok, None);
            }
            round_start.elapsed()
        };
        (0..5).map(|n| from + n * 500).map(time_round).min().unwrap()
    };
    let before = fastest_round(&mut harness, 10_000);
    let removed = |n| EndpointEntry { state: EndpointState::Removed, ..endpoint_entry(n) };
    for n in 4..1_000 {
        harness.handle(Event::EndpointUpdate {
            complete: false,
            endpoints: vec![removed(n - 1), endpoint_entry(n)],
        });
        harness.report(n, Role::Replica, harness.now);
        harness.advance(11_000 * MS);
        let to = sent_to(&harness.request(n as u32, ANY)).unwrap();
        assert!(to <= 2 || to == n, "endpoint {to} is removed");
        harness.end_attempt(n as u32, 0, to, Outcome::Ok, None);
    }
    let after = fastest_round(&mut harness, 100_000);
    assert!(after < 3 * before, "{before:?} for 500 requests, {after:?} after the removal of 1,000 members");
}
