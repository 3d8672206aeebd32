//! Crossings that only the order of inputs decides: each is stepped through the reducer by hand.

use super::*;
use crate::{
    Class, EndpointEntry, EndpointId, EndpointState, Idempotency, LoadReport, Outcome, Requirement,
    ResponseMetadata, Role, WhenBehind,
};
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Micros = 1000;
const START: Micros = 1_000_000 * MS;

type Effects = Vec<Effect<(), ()>>;

fn class(need: Requirement, idempotency: Idempotency) -> Class {
    Class { need, idempotency, aim: 400 * MS, deadline: 2000 * MS, worth: 1.0, late_share: 0.5 }
}

fn member(n: u64, listed: EndpointState) -> ListedMember {
    let member =
        EndpointEntry { server: EndpointId(n), group: 1, zone: 0, listed, primary_hint: n == 1, started: 0 };
    ListedMember { entry: member, address: SocketAddr::from(([127, 0, 0, 1], n as u16)) }
}

/// A core with members 1, the primary, and 2; classes: 0 bounded reads, 1 keyed writes, 2 unsafe writes.
fn core(cancel: bool) -> Core<(), ()> {
    let keyed = Idempotency::Keyed { anywhere: true, window: 300 * MS };
    let settings = Settings {
        classes: vec![
            class(Requirement::BoundedStaleness(200 * MS), Idempotency::Idempotent),
            class(Requirement::Write, keyed),
            class(Requirement::Write, Idempotency::AtMostOnce),
        ],
        when_behind: WhenBehind::Answers,
        probes: false,
        cancel,
        ..Settings::default()
    };
    let mut core = Core::new(settings, 7, START, 8);
    let members = vec![member(1, EndpointState::Ready), member(2, EndpointState::Ready)];
    core.step(START, Input::EndpointUpdate { full: true, members });
    core
}

fn ask(core: &mut Core<(), ()>, now: Micros, id: RequestId, class: usize) -> Effects {
    let request = crate::Request { id, class, group: 1, remaining: 1900 * MS, ..Default::default() };
    core.step(now, Input::RequestReceived(NewRequest { request, work: Arc::new(()) }))
}

/// The link and the job of the only attempt among the effects, and within what it must begin.
fn carried(effects: &Effects) -> (ConnectionId, JobId, Micros) {
    let mut jobs = effects.iter().filter_map(|e| match e {
        Effect::StartJob { connection: link, job, spec: JobSpec::Attempt { start_within: within, .. } } => {
            Some((*link, *job, *within))
        }
        _ => None,
    });
    let first = jobs.next().expect("an attempt");
    assert!(jobs.next().is_none());
    first
}

fn recalled(effects: &Effects) -> Vec<JobId> {
    effects
        .iter()
        .filter_map(|e| if let Effect::CancelUnsentJob { job, .. } = e { Some(*job) } else { None })
        .collect()
}

fn ended(link: ConnectionId, job: JobId, outcome: Outcome, role: Role, position: Micros) -> Input<(), ()> {
    let metadata = ResponseMetadata { role: Some(role), position: Some(position) };
    let answer = (outcome == Outcome::Ok).then_some(());
    let ending = JobResult { outcome, metadata, report: LoadReport::default(), answer };
    Input::JobFinished { connection: link, job, result: ending, reusable: true }
}

#[test]
fn an_attempt_that_has_not_begun_is_recalled_when_its_client_leaves_whatever_may_be_cancelled() {
    let mut core = core(false);
    let (_, job, _) = carried(&ask(&mut core, START, 1, 2));
    assert_eq!(recalled(&core.step(START + MS, Input::ClientDisconnected(1))), [job]);
    // The answer to the recall ends it; nothing is owed, and nothing follows.
    let after = core.step(START + MS, Input::JobCancelled { job, maybe_sent: false, reusable: true });
    assert!(after.is_empty());
}

#[test]
fn an_attempt_that_has_not_begun_is_recalled_when_its_member_drains_and_goes_on_at_no_charge() {
    for full in [false, true] {
        let mut core = core(true);
        let (link, job, _) = carried(&ask(&mut core, START, 1, 2));
        core.step(START + MS, ended(link, job, Outcome::Ok, Role::Primary, START));
        let (_, job, _) = carried(&ask(&mut core, START + 2 * MS, 2, 2));
        let members = if full {
            vec![member(2, EndpointState::Ready)]
        } else {
            vec![member(1, EndpointState::Draining)]
        };
        assert_eq!(recalled(&core.step(START + 3 * MS, Input::EndpointUpdate { full, members })), [job]);
        let after = core.step(START + 3 * MS, Input::JobCancelled { job, maybe_sent: false, reusable: true });
        assert!(!after.iter().any(|e| matches!(e, Effect::Answer { .. })), "it goes on: {full}");
    }
}

#[test]
fn a_bounded_read_says_how_long_its_data_is_young_enough_and_is_recalled_then() {
    let mut core = core(true);
    // Member 2 is heard as a replica whose data is 150 ms old.
    let first = ask(&mut core, START, 1, 2);
    let (link, job, _) = carried(&first);
    let more = core.step(START, ended(link, job, Outcome::NotServable, Role::Replica, START - 150 * MS));
    let (link, job, _) = carried(&more);
    core.step(START + MS, ended(link, job, Outcome::Ok, Role::Primary, START));
    let (_, job, within) = carried(&ask(&mut core, START + 10 * MS, 2, 0));
    assert_eq!(within, 40 * MS, "200 ms less the 160 ms that it is old by now");
    assert!(recalled(&core.step(START + 49 * MS, Input::TimerDue)).is_empty());
    assert_eq!(recalled(&core.step(START + 51 * MS, Input::TimerDue)), [job]);
}

#[test]
fn a_repeat_must_begin_within_the_window_of_what_may_have_run() {
    let mut core = core(true);
    let (link, job, within) = carried(&ask(&mut core, START, 1, 1));
    assert_eq!(within, Micros::MAX);
    let again = core.step(START + 100 * MS, ended(link, job, Outcome::Error, Role::Primary, START));
    let within = carried(&again).2;
    assert_eq!(within, 200 * MS, "300 ms from the first, of which 100 are over");
}

#[test]
fn a_link_that_was_cut_as_its_job_ended_is_not_used_again() {
    let mut core = core(true);
    let (link, job, _) = carried(&ask(&mut core, START, 1, 2));
    // The time of the attempt is up; its end is on the way already, and says that the link is open.
    let late = core.step(START + 2000 * MS, Input::TimerDue);
    assert!(late.iter().any(|e| matches!(e, Effect::CancelJob { .. })));
    core.step(START + 2000 * MS, Input::JobCancelled { job, maybe_sent: true, reusable: false });
    let end = core.step(START + 2000 * MS, ended(link, job, Outcome::Ok, Role::Primary, START));
    assert!(end.iter().any(|e| matches!(e, Effect::CloseConnection(l) if *l == link)), "closed for good");
    core.step(START + 2000 * MS, Input::ConnectionClosed(link));
    let next = ask(&mut core, START + 2001 * MS, 2, 2);
    assert!(next.iter().any(|e| matches!(e, Effect::OpenConnection { .. })), "the next one opens its own");
    assert_ne!(carried(&next).0, link);
}

#[test]
fn a_link_to_where_its_member_was_is_not_used_again() {
    let mut core = core(true);
    let (link, job, _) = carried(&ask(&mut core, START, 1, 2));
    let there = SocketAddr::from(([127, 0, 0, 1], 99));
    core.step(
        START + MS,
        Input::EndpointUpdate {
            full: false,
            members: vec![ListedMember { address: there, ..member(1, EndpointState::Ready) }],
        },
    );
    let end = core.step(START + 2 * MS, ended(link, job, Outcome::Ok, Role::Primary, START));
    assert!(end.iter().any(|e| matches!(e, Effect::CloseConnection(l) if *l == link)));
    core.step(START + 2 * MS, Input::ConnectionClosed(link));
    let next = ask(&mut core, START + 3 * MS, 2, 2);
    assert!(next.iter().any(|e| matches!(e, Effect::OpenConnection { address, .. } if *address == there)));
}
