//! Concurrency limits, load shedding and the retry budget.

use crate::harness::*;
use liftrelay::*;

/// Guards against requests that are lost at an endpoint being taken for its load: they would shed all
/// others, though it answers these at once.
#[test]
fn lost_writes_do_not_shed_those_that_are_served() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let mut lost = Vec::new();
    for id in 1..=120 {
        harness.advance(100 * MS);
        // Every fourth is never answered, the others are at once.
        assert_eq!(sent_to(&harness.request(id, AT_MOST_ONCE)), Some(1), "{id}");
        if id % 4 == 0 {
            lost.push((harness.now, id));
        } else {
            harness.now += 2 * MS;
            harness.end_attempt(id, 0, 1, Outcome::Ok, Some(Role::Primary));
        }
        while let Some((at, old)) = lost.first().copied().filter(|(at, _)| at + 2000 * MS <= harness.now) {
            let elapsed = harness.now - at;
            harness.handle(Event::AttemptEnded(AttemptResult {
                elapsed,
                ..attempt_result(old, 0, 1, Outcome::TimedOut)
            }));
            lost.remove(0);
        }
    }
}

#[test]
fn requests_beyond_capacity_are_rejected_at_once() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    let rejections = (1..=60).filter(|id| is_rejected(&harness.request(*id, ANY), *id)).count();
    let out = send_count(&harness.log, 1) + send_count(&harness.log, 2);
    assert!(out < 30, "{out} were sent");
    assert_eq!(rejections, 60 - out);
}

#[test]
fn a_marked_client_retry_yields_to_first_attempts() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|c| c.late_value = 0.0);
    let sent_with = |is_retry: bool| {
        let mut harness = RouterHarness::with_known_roles(settings.clone(), 2);
        for id in 1..=40 {
            harness.handle(Event::Request(Request { is_retry, ..request(id, ANY) }));
        }
        send_count(&harness.log, 1) + send_count(&harness.log, 2)
    };
    assert!(sent_with(true) < sent_with(false));
}

#[test]
fn a_full_group_is_not_retried_again_and_again() {
    let mut harness = RouterHarness::with_known_roles(settings(), 4);
    for id in 1..=30 {
        harness.advance(20 * MS);
        let mut actions = harness.request(id, ANY);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            harness.now += MS / 2;
            let full = AttemptResult {
                elapsed: MS / 2,
                ..attempt_result(id, attempt, to, Outcome::RejectedByMember)
            };
            actions = harness.handle(Event::AttemptEnded(full));
            attempt += 1;
        }
    }
    let attempts = (1..=4).map(|n| send_count(&harness.log, n)).sum::<usize>();
    assert!(attempts <= 40, "{attempts} for 30 requests");
}

#[test]
fn a_tenant_over_its_quota_is_shed_first() {
    let out_at_once = |quota: f64| {
        let mut harness = RouterHarness::with_known_roles(
            Settings { quotas: vec![quota], over_quota_weight: 0.1, ..settings() },
            2,
        );
        for id in 1..=40 {
            harness.request(id, ANY);
        }
        send_count(&harness.log, 1) + send_count(&harness.log, 2)
    };
    assert!(out_at_once(0.1) < out_at_once(1000.0));
}

/// Guards against hundreds of routers that each see a group once in seconds and take minutes to learn that it is
/// overloaded: together they keep it so.
#[test]
fn a_rarely_used_group_is_spared_after_a_few_delays() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    let other = |n| EndpointEntry { group: 2, ..endpoint_entry(n) };
    harness.handle(Event::EndpointUpdate { complete: false, endpoints: (11..=13).map(other).collect() });
    (11..=13)
        .for_each(|s| harness.report(s, if s == 11 { Role::Primary } else { Role::Replica }, harness.now));
    let ask = |harness: &mut RouterHarness, id: u32, group, elapsed| {
        let actions = harness.handle(Event::Request(Request { group, ..request(id, ANY) }));
        let to = sent_to(&actions);
        to.map(|to| {
            harness.advance(elapsed);
            let took = AttemptResult { elapsed, ..attempt_result(id, 0, to, Outcome::Ok) };
            harness.handle(Event::AttemptEnded(took))
        });
        to.is_some()
    };
    let mut rejected = 0;
    let mut rejected_elsewhere = 0;
    for round in 0..200 {
        for id in 0..20 {
            harness.advance(100 * MS);
            rejected_elsewhere += usize::from(!ask(&mut harness, 10_000 + round * 20 + id, 2, 20 * MS));
        }
        // Its answers take three times the objective.
        rejected += usize::from(!ask(&mut harness, 1 + round, 1, 1200 * MS));
    }
    assert!(rejected >= 15, "{rejected} of 200 rejected where all wait");
    assert_eq!(rejected_elsewhere, 0, "rejected where nobody waits");
}

/// Guards against a primary that is filled up with what its replicas could do, and writes that find no room there.
#[test]
fn reads_that_replicas_could_serve_leave_a_primary_its_capacity() {
    let mut harness = RouterHarness::with_known_roles(settings(), 2);
    let mut at = [0; 3];
    for id in 1..=40 {
        if let Some(to) = sent_to(&harness.request(id, ANY)) {
            at[to as usize] += 1;
        }
    }
    assert!(at[1] < at[2] && at[1] > 0, "{at:?}: some go to the primary, fewer than to its replica");
    let writes = (100..110).filter(|id| sent_to(&harness.request(*id, WRITE)) == Some(1)).count();
    assert!(writes >= 3, "{writes} of 10 writes found capacity behind {} reads", at[1]);
}

/// Guards against writes that are lost, and are not sent again, using up what reads may be retried.
#[test]
fn lost_writes_do_not_use_up_the_retries_of_reads() {
    let mut harness = RouterHarness::with_known_roles(settings(), 3);
    for id in 1..40 {
        harness.advance(100 * MS);
        let to = sent_to(&harness.request(10 * id, AT_MOST_ONCE)).unwrap();
        let lost = attempt_result(10 * id, 0, to, Outcome::Reset);
        let after = harness.handle(Event::AttemptEnded(AttemptResult { elapsed: 300 * MS, ..lost }));
        assert!(is_failed(&after, 10 * id), "{id}");
        // Five reads earn one retry; the first needs it, and takes its whole time for it.
        for read in 1..=5 {
            let to = sent_to(&harness.request(10 * id + read, ANY)).unwrap();
            if read > 1 {
                harness.end_attempt(10 * id + read, 0, to, Outcome::Ok, None);
                continue;
            }
            let lost = attempt_result(10 * id + read, 0, to, Outcome::Reset);
            let after = harness.handle(Event::AttemptEnded(AttemptResult { elapsed: 300 * MS, ..lost }));
            let again = sent_to(&after).unwrap_or_else(|| panic!("read {id} is not tried again: {after:?}"));
            harness.end_attempt(10 * id + read, 1, again, Outcome::Ok, None);
        }
    }
}

/// Guards against a retry storm: an endpoint goes on with a read that is given up at its objective, which is then
/// not counted as pending there, and its client sends it again, though it can no longer be in time.
#[test]
fn a_read_that_is_late_is_awaited_as_long_as_its_client_waits() {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|class| class.late_value = 0.0);
    for class in [ANY, READ_YOUR_WRITES, LATEST] {
        let mut harness = RouterHarness::with_known_roles(settings.clone(), 3);
        let actions = harness.request(1, class);
        let to = sent_to(&actions).expect("it is sent");
        let timeouts = actions.iter().filter_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        assert_eq!(timeouts.collect::<Vec<_>>(), [2000 * MS], "class {class}");
        let meanwhile = harness.advance(1900 * MS);
        assert!(!is_rejected(&meanwhile, 1) && !is_failed(&meanwhile, 1), "class {class}: given up early");
        let late = harness.end_attempt(1, 0, to, Outcome::Error, None);
        assert_eq!(sent_to(&late), None, "class {class}: an attempt that can only be late");
    }
}
