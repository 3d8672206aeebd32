//! Tests of races between inputs: each test passes inputs to the reducer in the order that makes the race.

use super::*;
use crate::{
    Class, EndpointEntry, EndpointId, EndpointState, ExecutedStatement, Idempotency, LoadReport, Outcome,
    Request, Requirement, ResponseMetadata, Role, StaleReadBehavior,
};
use std::net::SocketAddr;
use std::sync::Arc;

const MS: Micros = 1000;
const START: Micros = 1_000_000 * MS;
const MAX_CONNECTIONS: usize = 8;

/// The classes that [`core`] knows, by index.
const BOUNDED_READ: usize = 0;
const KEYED_WRITE: usize = 1;
const AT_MOST_ONCE_WRITE: usize = 2;

/// The greatest age of the data that a bounded read may return.
const STALENESS_BOUND: Micros = 200 * MS;
/// How long members recognize the idempotency key of a keyed write.
const KEY_WINDOW: Micros = 300 * MS;

type TestCore = Core<(), ()>;
type Effects = Vec<Effect<(), ()>>;

fn class(requirement: Requirement, idempotency: Idempotency) -> Class {
    Class {
        requirement,
        idempotency,
        latency_objective: 400 * MS,
        deadline: 2000 * MS,
        priority_weight: 1.0,
        late_value: 0.5,
    }
}

fn member(number: u16, state: EndpointState) -> ListedMember {
    let entry = EndpointEntry {
        endpoint: EndpointId(number.into()),
        group: 1,
        zone: 0,
        state,
        primary_hint: number == 1,
        started_at: 0,
    };
    ListedMember { entry, address: SocketAddr::from(([127, 0, 0, 1], number)) }
}

/// A reducer whose endpoint list has two members; a hint says that the first is the primary. `cancel` sets
/// whether the router may cancel attempts.
fn core(cancel: bool) -> TestCore {
    let keyed = Idempotency::Keyed { across_groups: true, window: KEY_WINDOW };
    let settings = Settings {
        classes: vec![
            class(Requirement::BoundedStaleness(STALENESS_BOUND), Idempotency::Idempotent),
            class(Requirement::Write, keyed),
            class(Requirement::Write, Idempotency::AtMostOnce),
        ],
        stale_read_behavior: StaleReadBehavior::Serve,
        probes: false,
        cancel,
        ..Settings::default()
    };
    let limits = CoreLimits { member_connections: MAX_CONNECTIONS, session_commit_bytes: 1 << 20 };
    let mut core = Core::new(settings, 7, START, limits);
    let members = vec![member(1, EndpointState::Ready), member(2, EndpointState::Ready)];
    core.step(START, Input::EndpointUpdate { revision: 1, complete: true, members });
    core
}

fn receive_request(core: &mut TestCore, now: Micros, id: RequestId, class: usize) -> Effects {
    let request = Request::executing(ExecutedStatement { has_key: true, ..ExecutedStatement::new(class, 0) });
    let request = Request { id, group: 1, remaining: 1900 * MS, ..request };
    core.step(now, Input::RequestReceived(NewRequest { request, work: Arc::new(()) }))
}

/// An attempt that an effect starts.
struct StartedAttempt {
    connection: ConnectionId,
    job: JobId,
    start_within: Micros,
}

impl StartedAttempt {
    /// The attempt that the effects start; panics unless there is exactly one.
    fn only_one_in(effects: &Effects) -> Self {
        let mut attempts = effects.iter().filter_map(|effect| match effect {
            Effect::StartJob { connection, job, spec: JobSpec::Attempt { start_within, .. } } => {
                Some(StartedAttempt { connection: *connection, job: *job, start_within: *start_within })
            }
            _ => None,
        });
        let first = attempts.next().expect("the effects start no attempt");
        assert!(attempts.next().is_none());
        first
    }

    /// The input that reports the end of the attempt, with a connection that can be reused.
    fn finished(&self, outcome: Outcome, role: Role, position: Micros) -> Input<(), ()> {
        let metadata = ResponseMetadata { role: Some(role), position: Some(position) };
        let answer = (outcome == Outcome::Ok).then_some(());
        let result = JobResult { outcome, metadata, report: LoadReport::default(), answer };
        Input::JobFinished { connection: self.connection, job: self.job, result, reusable: true }
    }

    /// The input that reports the cancellation of the unsent attempt, with a connection that can be reused.
    fn cancelled_unsent(&self) -> Input<(), ()> {
        Input::JobCancelled { job: self.job, maybe_sent: false, reusable: true }
    }
}

/// Receives a request and returns the attempt that it starts.
fn start_request(core: &mut TestCore, now: Micros, id: RequestId, class: usize) -> StartedAttempt {
    StartedAttempt::only_one_in(&receive_request(core, now, id, class))
}

/// The jobs that the effects cancel if they have not been started.
fn unsent_cancellations(effects: &Effects) -> Vec<JobId> {
    let cancellation = |effect: &Effect<(), ()>| match effect {
        Effect::CancelUnsentJob { job, .. } => Some(*job),
        _ => None,
    };
    effects.iter().filter_map(cancellation).collect()
}

fn closes(effects: &Effects, connection: ConnectionId) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::CloseConnection(closed) if *closed == connection))
}

#[test]
fn unsent_attempt_is_cancelled_when_its_client_disconnects_even_if_the_router_may_not_cancel() {
    let mut core = core(false);
    let attempt = start_request(&mut core, START, 1, AT_MOST_ONCE_WRITE);
    let effects = core.step(START + MS, Input::ClientDisconnected(1));
    assert_eq!(unsent_cancellations(&effects), [attempt.job]);
    // The reply to the cancellation ends the attempt. There is no client to answer, so no effect follows.
    let effects = core.step(START + MS, attempt.cancelled_unsent());
    assert!(effects.is_empty());
}

#[test]
fn unsent_attempt_is_cancelled_when_its_member_is_taken_out_of_service_and_its_request_stays_pending() {
    for complete in [false, true] {
        let mut core = core(true);
        let first = start_request(&mut core, START, 1, AT_MOST_ONCE_WRITE);
        core.step(START + MS, first.finished(Outcome::Ok, Role::Primary, START));
        let second = start_request(&mut core, START + 2 * MS, 2, AT_MOST_ONCE_WRITE);
        let members = if complete {
            vec![member(2, EndpointState::Ready)]
        } else {
            vec![member(1, EndpointState::Draining)]
        };
        let effects = core.step(START + 3 * MS, Input::EndpointUpdate { revision: 1, complete, members });
        assert_eq!(unsent_cancellations(&effects), [second.job]);
        let effects = core.step(START + 3 * MS, second.cancelled_unsent());
        let answered = effects.iter().any(|effect| matches!(effect, Effect::Answer { .. }));
        assert!(!answered, "the request must stay pending; complete update: {complete}");
    }
}

#[test]
fn bounded_read_must_start_while_the_replica_is_fresh_enough_and_is_cancelled_afterwards() {
    let mut core = core(true);
    // Makes the roles known: the first attempt reaches a replica whose data is 100 ms old, the second one the
    // primary.
    let first = start_request(&mut core, START, 1, AT_MOST_ONCE_WRITE);
    let effects = core.step(START, first.finished(Outcome::NotServable, Role::Replica, START - 100 * MS));
    let second = StartedAttempt::only_one_in(&effects);
    core.step(START + MS, second.finished(Outcome::Ok, Role::Primary, START));

    let read = start_request(&mut core, START + 10 * MS, 2, BOUNDED_READ);
    assert_eq!(
        read.start_within,
        40 * MS,
        "bound of 200 ms less a margin of 50 ms and the data's age of 110 ms"
    );
    let effects = core.step(START + 49 * MS, Input::TimerDue);
    assert!(unsent_cancellations(&effects).is_empty());
    let effects = core.step(START + 51 * MS, Input::TimerDue);
    assert_eq!(unsent_cancellations(&effects), [read.job]);
}

/// The positions of the members are an hour ahead of the proxy's clock. If the proxy dropped positions in the
/// future of its clock, it would consider every replica too stale for bounded reads.
#[test]
fn bounded_read_goes_to_a_fresh_replica_even_if_the_proxys_clock_is_an_hour_behind() {
    const HOUR: Micros = 3_600_000 * MS;
    let mut core = core(true);
    let first = start_request(&mut core, START, 1, AT_MOST_ONCE_WRITE);
    let rejected = first.finished(Outcome::NotServable, Role::Replica, START + HOUR - 100 * MS);
    let second = StartedAttempt::only_one_in(&core.step(START, rejected));
    core.step(START + MS, second.finished(Outcome::Ok, Role::Primary, START + HOUR));

    let read = start_request(&mut core, START + 10 * MS, 2, BOUNDED_READ);
    assert_eq!(read.connection, first.connection, "the replica's data is 110 ms old");
    assert!((36 * MS..=40 * MS).contains(&read.start_within), "{}", read.start_within);
}

#[test]
fn keyed_retry_must_start_within_the_key_window_of_the_first_attempt() {
    let mut core = core(true);
    let first = start_request(&mut core, START, 1, KEYED_WRITE);
    assert_eq!(first.start_within, Micros::MAX);
    let effects = core.step(START + 100 * MS, first.finished(Outcome::Error, Role::Primary, START));
    let retry = StartedAttempt::only_one_in(&effects);
    assert_eq!(
        retry.start_within,
        125 * MS,
        "window of 300 ms less a margin of 75 ms and the 100 ms since the first attempt"
    );
}

/// Guards against a second execution of a statement whose request is accounted under a class that allows it.
#[test]
fn request_is_retried_only_as_each_of_its_statements_allows() {
    for (other, expected) in [(KEYED_WRITE, Some(125 * MS)), (AT_MOST_ONCE_WRITE, None)] {
        let mut core = core(true);
        let read = Request::executing(ExecutedStatement::new(BOUNDED_READ, 0));
        let mut request = Request { id: 1, group: 1, remaining: 1900 * MS, ..read };
        request.statements.push(ExecutedStatement { has_key: true, ..ExecutedStatement::new(other, 0) });
        let received = Input::RequestReceived(NewRequest { request, work: Arc::new(()) });
        let first = StartedAttempt::only_one_in(&core.step(START, received));
        let effects = core.step(START + 100 * MS, first.finished(Outcome::Error, Role::Primary, START));
        let limit = effects.iter().find_map(|effect| match effect {
            Effect::StartJob { spec: JobSpec::Attempt { start_within, .. }, .. } => Some(*start_within),
            _ => None,
        });
        // A read with a bound starts within 50 ms at the primary, which may step down.
        assert_eq!(limit, expected.map(|window| window.min(50 * MS)), "class {other}");
    }
}

#[test]
fn connection_closed_just_as_its_job_finished_is_not_reused() {
    let mut core = core(true);
    let attempt = start_request(&mut core, START, 1, AT_MOST_ONCE_WRITE);
    // The attempt times out while its result, which reports the connection as reusable, is in transit.
    let now = START + 2000 * MS;
    let effects = core.step(now, Input::TimerDue);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::CancelJob { .. })));
    core.step(now, Input::JobCancelled { job: attempt.job, maybe_sent: true, reusable: false });
    let effects = core.step(now, attempt.finished(Outcome::Ok, Role::Primary, START));
    assert!(
        closes(&effects, attempt.connection),
        "the connection must be closed although the result reports it as reusable"
    );
    core.step(now, Input::ConnectionClosed(attempt.connection));

    let effects = receive_request(&mut core, START + 2001 * MS, 2, AT_MOST_ONCE_WRITE);
    let opens_connection = effects.iter().any(|effect| matches!(effect, Effect::OpenConnection { .. }));
    assert!(opens_connection, "the next request must open a new connection");
    assert_ne!(StartedAttempt::only_one_in(&effects).connection, attempt.connection);
}

#[test]
fn connection_to_the_former_address_of_a_member_is_not_reused() {
    let mut core = core(true);
    let attempt = start_request(&mut core, START, 1, AT_MOST_ONCE_WRITE);
    let new_address = SocketAddr::from(([127, 0, 0, 1], 99));
    let moved = ListedMember { address: new_address, ..member(1, EndpointState::Ready) };
    core.step(START + MS, Input::EndpointUpdate { revision: 1, complete: false, members: vec![moved] });
    let effects = core.step(START + 2 * MS, attempt.finished(Outcome::Ok, Role::Primary, START));
    assert!(closes(&effects, attempt.connection));
    core.step(START + 2 * MS, Input::ConnectionClosed(attempt.connection));

    let effects = receive_request(&mut core, START + 3 * MS, 2, AT_MOST_ONCE_WRITE);
    let opens_new_address = effects
        .iter()
        .any(|effect| matches!(effect, Effect::OpenConnection { address, .. } if *address == new_address));
    assert!(opens_new_address);
}
