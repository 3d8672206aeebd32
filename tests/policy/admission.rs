//! Concurrency limits, load shedding and the retry budget.

use crate::harness::*;
use liftrelay::*;

/// Guards against taking lost requests for queueing delay: an endpoint that answers all other requests
/// immediately would count as overloaded, and these would be shed.
#[test]
fn lost_writes_do_not_cause_shedding_of_other_writes() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let mut lost_writes = Vec::new();
    for id in 1..=120 {
        harness.advance(100 * MS);
        // Every fourth write is never answered, the others are answered after 2 ms.
        assert_eq!(sent_to(&harness.request(id, AT_MOST_ONCE)), Some(1), "{id}");
        if id % 4 == 0 {
            lost_writes.push((harness.now, id));
        } else {
            harness.now += 2 * MS;
            harness.end_attempt(id, 0, 1, Outcome::Ok, Some(Role::Primary));
        }
        while let Some((sent_at, lost_id)) =
            lost_writes.first().copied().filter(|(sent_at, _)| sent_at + 2000 * MS <= harness.now)
        {
            let elapsed = harness.now - sent_at;
            harness.handle(Event::AttemptEnded(AttemptResult {
                elapsed,
                ..attempt_result(lost_id, 0, 1, Outcome::TimedOut)
            }));
            lost_writes.remove(0);
        }
    }
}

/// Guards against the refusal of writes that nothing has run because an idle primary has rejected others: each
/// rejection counted as a queueing delay of the whole latency objective.
#[test]
fn rejections_by_an_idle_primary_shed_no_other_write() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for id in 1..=200 {
        harness.advance(50 * MS);
        assert_eq!(sent_to(&harness.request(id, AT_MOST_ONCE)), Some(1), "write {id} is sent immediately");
        if id % 3 == 0 {
            harness.advance(MS);
            harness.end_attempt(id, 0, 1, Outcome::RejectedByMember, Some(Role::Primary));
            harness.handle(Event::ClientDisconnected(id));
        } else {
            harness.advance(12 * MS);
            harness.end_attempt(id, 0, 1, Outcome::Ok, Some(Role::Primary));
        }
    }
}

/// Guards against sparing a primary whose queue is full: it holds several attempts all the time, and its
/// rejections show overload.
#[test]
fn rejections_by_a_busy_primary_shed_writes() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let mut rejected = 0;
    let mut held = std::collections::VecDeque::new();
    for id in 1..=400 {
        harness.advance(10 * MS);
        let actions = harness.request(id, AT_MOST_ONCE);
        rejected += usize::from(is_rejected(&actions, id));
        if sent_to(&actions).is_some() && id % 2 == 0 {
            harness.end_attempt(id, 0, 1, Outcome::RejectedByMember, Some(Role::Primary));
            harness.handle(Event::ClientDisconnected(id));
        } else if sent_to(&actions).is_some() {
            held.push_back(id);
        }
        if held.len() > 3 {
            harness.end_attempt(held.pop_front().unwrap(), 0, 1, Outcome::Ok, Some(Role::Primary));
        }
    }
    assert!(rejected > 100, "{rejected} of 400 writes are shed");
}

#[test]
fn requests_beyond_capacity_are_rejected_immediately() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    let rejections = (1..=60).filter(|id| is_rejected(&harness.request(*id, ANY), *id)).count();
    let sends = send_count(&harness.log, 1) + send_count(&harness.log, 2);
    assert!(sends < 30, "{sends} were sent");
    assert_eq!(rejections, 60 - sends);
}

#[test]
fn requests_marked_as_client_retries_are_shed_before_first_requests() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|c| c.late_value = 0.0);
    let sends_if_retry = |is_retry: bool| {
        let mut harness = RouterHarness::with_known_roles(settings.clone(), 2);
        for id in 1..=40 {
            harness.handle(Event::Request(Request { is_retry, ..request(id, ANY) }));
        }
        send_count(&harness.log, 1) + send_count(&harness.log, 2)
    };
    assert!(sends_if_retry(true) < sends_if_retry(false));
}

/// Guards against a retry storm: all members reject requests because their queues are full, and each rejected
/// request would be sent to every member.
#[test]
fn requests_to_a_group_with_full_queues_are_retried_rarely() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    for id in 1..=30 {
        harness.advance(20 * MS);
        let mut actions = harness.request(id, ANY);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            harness.now += MS / 2;
            let rejection = AttemptResult {
                elapsed: MS / 2,
                ..attempt_result(id, attempt, to, Outcome::RejectedByMember)
            };
            actions = harness.handle(Event::AttemptEnded(rejection));
            attempt += 1;
        }
    }
    let attempts = (1..=4).map(|n| send_count(&harness.log, n)).sum::<usize>();
    assert!(attempts <= 40, "{attempts} for 30 requests");
}

/// A primary that has held so many writes for a second and now rejects write 100, and a retry budget that is
/// used up by reads.
fn harness_with_rejected_write_and_empty_budget(held_writes: u32) -> RouterHarness {
    let mut harness = RouterHarness::with_known_roles(settings(), 6);
    // The primary answers, so that its rejection is not the first of a row.
    harness.request(1, AT_MOST_ONCE);
    harness.advance(12 * MS);
    harness.end_attempt(1, 0, 1, Outcome::Ok, Some(Role::Primary));
    for id in 200..200 + held_writes {
        harness.request(id, AT_MOST_ONCE);
    }
    harness.advance(1000 * MS);
    // Lost reads cost the budget a whole retry each, and are given up once it is used up.
    for id in 2..20 {
        let Some(to) = sent_to(&harness.request(id, ANY)) else { continue };
        let lost = AttemptResult { elapsed: 300 * MS, ..attempt_result(id, 0, to, Outcome::Reset) };
        harness.handle(Event::AttemptEnded(lost));
        harness.handle(Event::ClientDisconnected(id));
    }
    harness.log.clear();
    assert_eq!(sent_to(&harness.request(100, AT_MOST_ONCE)), Some(1));
    harness.advance(MS / 2);
    harness.end_attempt(100, 0, 1, Outcome::RejectedByMember, Some(Role::Primary));
    harness
}

/// Guards against the refusal of a write that nothing has run because the retries of other requests have used
/// up the budget.
#[test]
fn a_write_that_an_idle_primary_rejects_waits_for_the_retry_budget() {
    let mut harness = harness_with_rejected_write_and_empty_budget(0);
    assert!(!is_rejected(&harness.log, 100), "refused for the retry budget: {:?}", harness.log);
    // Further requests add to the budget.
    for id in 101..106 {
        harness.request(id, AT_MOST_ONCE);
        harness.advance(12 * MS);
        harness.end_attempt(id, 0, 1, Outcome::Ok, Some(Role::Primary));
    }
    harness.log.clear();
    harness.advance(300 * MS);
    let is_retried = |action: &Action| matches!(action, Action::Send { request: 100, .. });
    assert!(harness.log.iter().any(is_retried), "{:?}", harness.log);
}

/// Guards against writes that are held in vain while a primary is really full: they are refused immediately.
#[test]
fn a_write_that_a_busy_primary_rejects_does_not_wait_for_the_retry_budget() {
    let harness = harness_with_rejected_write_and_empty_budget(5);
    assert!(is_rejected(&harness.log, 100), "{:?}", harness.log);
}

#[test]
fn requests_beyond_a_tenants_quota_are_shed_first() {
    let sends_with_quota = |quota: f64| {
        let mut harness = RouterHarness::with_known_roles(
            Settings { quotas: vec![quota], over_quota_weight: 0.1, ..settings() },
            2,
        );
        for id in 1..=40 {
            harness.request(id, ANY);
        }
        send_count(&harness.log, 1) + send_count(&harness.log, 2)
    };
    assert!(sends_with_quota(0.1) < sends_with_quota(1000.0));
}

/// Guards against hundreds of routers that together keep a group overloaded: each sends it one request every
/// few seconds, and would need minutes to detect the queueing delay.
#[test]
fn requests_to_a_rarely_used_group_are_shed_after_a_few_delays() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let other_group_entry = |n| EndpointEntry { group: 2, ..endpoint_entry(n) };
    harness.handle(Event::EndpointUpdate {
        complete: false,
        endpoints: (11..=13).map(other_group_entry).collect(),
    });
    (11..=13)
        .for_each(|s| harness.report(s, if s == 11 { Role::Primary } else { Role::Replica }, harness.now));
    let serve = |harness: &mut RouterHarness, id: u32, group, elapsed| {
        let actions = harness.handle(Event::Request(Request { group, ..request(id, ANY) }));
        let to = sent_to(&actions);
        to.map(|to| {
            harness.advance(elapsed);
            let success = AttemptResult { elapsed, ..attempt_result(id, 0, to, Outcome::Ok) };
            harness.handle(Event::AttemptEnded(success))
        });
        to.is_some()
    };
    let mut rejected = 0;
    let mut rejected_elsewhere = 0;
    for round in 0..200 {
        for id in 0..20 {
            harness.advance(100 * MS);
            rejected_elsewhere += usize::from(!serve(&mut harness, 10_000 + round * 20 + id, 2, 20 * MS));
        }
        // Answers of group 1 take three times the latency objective.
        rejected += usize::from(!serve(&mut harness, 1 + round, 1, 1200 * MS));
    }
    assert!(rejected >= 15, "{rejected} of 200 rejected in the group with queueing delay");
    assert_eq!(rejected_elsewhere, 0, "no request is rejected in the group without queueing delay");
}

/// Guards against the shedding of writes because reads, which the replicas could serve, use up the capacity
/// of the primary.
#[test]
fn reads_that_replicas_could_serve_leave_capacity_for_writes_at_the_primary() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    let mut reads_at = [0; 3];
    for id in 1..=40 {
        if let Some(to) = sent_to(&harness.request(id, ANY)) {
            reads_at[to as usize] += 1;
        }
    }
    assert!(
        reads_at[1] < reads_at[2] && reads_at[1] > 0,
        "{reads_at:?}: the primary gets some reads, but fewer than its replica"
    );
    let writes = (100..110).filter(|id| sent_to(&harness.request(*id, WRITE)) == Some(1)).count();
    assert!(writes >= 3, "{writes} of 10 writes found capacity beside {} reads", reads_at[1]);
}

/// Guards against charging the retry budget for lost writes, which are never retried: reads would have no
/// retries left.
#[test]
fn lost_writes_do_not_use_up_the_retry_budget_of_reads() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for id in 1..40 {
        harness.advance(100 * MS);
        let to = sent_to(&harness.request(10 * id, AT_MOST_ONCE)).unwrap();
        let lost = attempt_result(10 * id, 0, to, Outcome::Reset);
        let after = harness.handle(Event::AttemptEnded(AttemptResult { elapsed: 300 * MS, ..lost }));
        assert!(is_failed(&after, 10 * id), "{id}");
        // Five reads add one retry to the budget. The first read needs it at its full cost, as its attempt
        // took longer than its unloaded latency.
        for read in 1..=5 {
            let to = sent_to(&harness.request(10 * id + read, ANY)).unwrap();
            if read > 1 {
                harness.end_attempt(10 * id + read, 0, to, Outcome::Ok, None);
                continue;
            }
            let lost = attempt_result(10 * id + read, 0, to, Outcome::Reset);
            let after = harness.handle(Event::AttemptEnded(AttemptResult { elapsed: 300 * MS, ..lost }));
            let retried_at = sent_to(&after).unwrap_or_else(|| panic!("read {id} is not retried: {after:?}"));
            harness.end_attempt(10 * id + read, 1, retried_at, Outcome::Ok, None);
        }
    }
}

/// Guards against a retry storm: if the router gave a read up at its latency objective, the endpoint would
/// continue to work on it without a pending attempt being counted, and the client would send it again,
/// although no answer could meet the objective.
#[test]
fn the_router_waits_for_a_late_read_as_long_as_its_client() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.late_value = 0.0);
    for class in [ANY, READ_YOUR_WRITES, LATEST] {
        let mut harness = RouterHarness::with_known_roles(settings.clone(), 3);
        let actions = harness.request(1, class);
        let to = sent_to(&actions).expect("the read is sent");
        let timeouts = actions.iter().filter_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        assert_eq!(timeouts.collect::<Vec<_>>(), [2000 * MS], "class {class}");
        let meanwhile = harness.advance(1900 * MS);
        assert!(!is_rejected(&meanwhile, 1) && !is_failed(&meanwhile, 1), "class {class}: given up early");
        let late = harness.end_attempt(1, 0, to, Outcome::Error, None);
        assert_eq!(sent_to(&late), None, "class {class}: no retry, as its answer could only be late");
    }
}
