//! Runs steps of the reducer, and carries out the effects that they request.

use super::event_log::unnamed_request;
use super::{LOG_TARGET, Server};
use crate::core::{ConnectionId, Effect, FinalAnswer, Input, JobId, JobResult, JobSpec, Record};
use crate::exchange::{MemberRequest, MemberResponse};
use crate::net::client::ClientHandle;
use crate::net::member::{JobCancellation, MemberHandle, StartConditions};
use crate::{Micros, Outcome, RequestId};
use std::net::SocketAddr;
use std::time::Duration;

impl Server {
    /// Runs one step of the reducer, and carries out its effects in order.
    pub(super) fn step_reducer(&mut self, now: Micros, input: Input<MemberRequest, MemberResponse>) {
        for effect in self.reducer.step(now, input) {
            self.apply_reducer_effect(now, effect);
        }
    }

    fn apply_reducer_effect(&mut self, now: Micros, effect: Effect<MemberRequest, MemberResponse>) {
        match effect {
            Effect::OpenConnection { connection, address } => self.open_connection(connection, address),
            Effect::StartJob { connection, job, spec } => self.start_job(now, connection, job, spec),
            Effect::CancelJob { connection, job } => self.cancel_job(now, connection, job),
            Effect::CancelUnsentJob { connection, job } => self.cancel_unsent_job(now, connection, job),
            Effect::CloseConnection(connection) => self.close_member_connection(now, connection),
            Effect::Answer { request, answer } => self.answer_request(now, request, answer),
            Effect::Record(record) => self.log_record(now, &record),
            Effect::EndpointEjected { endpoint, cause } => {
                self.event_log.endpoint_ejected(endpoint, &cause);
            }
            Effect::Log(text) => tracing::info!(target: LOG_TARGET, "{text}"),
        }
    }

    fn log_record(&mut self, now: Micros, record: &Record) {
        let (request, class) = match record {
            Record::AttemptFailed { request, .. } => (self.request_name(*request), None),
            Record::NotServed { request, class, .. } => (self.request_name(*request), Some(*class)),
            Record::ConnectionClosed { .. } => (String::new(), None),
        };
        let class = class.and_then(|class| self.settings.class_names.get(class));
        self.event_log.record(now, record, &request, class.map_or("", String::as_str));
    }

    fn request_name(&self, request: RequestId) -> String {
        match self.fronts.external_id(request) {
            Some(id) if !id.is_empty() => String::from_utf8_lossy(id).into_owned(),
            _ => unnamed_request(request),
        }
    }

    fn open_connection(&mut self, connection: ConnectionId, address: SocketAddr) {
        let connect_timeout = Duration::from_micros(self.settings.connect_timeout);
        let events = self.member_events.clone();
        let handle = MemberHandle::new(
            connection,
            address,
            connect_timeout,
            events,
            &self.workers,
            &self.member_memory,
        );
        self.member_connections.insert(connection, handle);
    }

    fn start_job(&mut self, now: Micros, connection: ConnectionId, job: JobId, spec: JobSpec<MemberRequest>) {
        let conditions = self.start_conditions(now, &spec);
        let handle = self.member_connections.get_mut(&connection);
        if handle.is_some_and(|handle| handle.start_job(job, spec, conditions)) {
            return;
        }
        // The outcome is a local error, so that the proxy's lack of threads is not counted as a fault of the
        // member.
        tracing::warn!(target: LOG_TARGET, "job not started: no thread available");
        let result = JobResult::from_outcome(Outcome::LocalError);
        self.member_connections.remove(&connection);
        self.step_reducer(now, Input::JobFinished { connection, job, result, reusable: false });
        self.step_reducer(now, Input::ConnectionClosed(connection));
    }

    fn start_conditions(&self, now: Micros, spec: &JobSpec<MemberRequest>) -> StartConditions {
        let client = match spec {
            JobSpec::Attempt { request, .. } => self.fronts.client_of(*request),
            JobSpec::Probe => None,
        };
        let client = client.and_then(|id| self.clients.get(&id)).map(ClientHandle::presence);
        StartConditions::new(spec, self.clock.instant(now), client)
    }

    fn cancel_job(&mut self, now: Micros, connection: ConnectionId, job: JobId) {
        let handle = self.member_connections.get(&connection);
        let cancellation = handle.map_or(JobCancellation::ABORTED, |handle| handle.cancel(job));
        self.finish_cancellation(now, connection, job, cancellation);
    }

    fn cancel_unsent_job(&mut self, now: Micros, connection: ConnectionId, job: JobId) {
        let handle = self.member_connections.get(&connection);
        if let Some(cancellation) = handle.and_then(|handle| handle.cancel_unsent(job)) {
            self.finish_cancellation(now, connection, job, cancellation);
        }
    }

    fn finish_cancellation(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        job: JobId,
        cancellation: JobCancellation,
    ) {
        let JobCancellation { maybe_sent, reusable } = cancellation;
        if !reusable {
            self.member_connections.remove(&connection);
        }
        self.step_reducer(now, Input::JobCancelled { job, maybe_sent, reusable });
    }

    fn close_member_connection(&mut self, now: Micros, connection: ConnectionId) {
        if let Some(handle) = self.member_connections.remove(&connection) {
            handle.abort();
        }
        // The reducer closes only connections without a job. Such a connection has no thread that could
        // report the close.
        self.step_reducer(now, Input::ConnectionClosed(connection));
    }

    fn answer_request(&mut self, now: Micros, request: RequestId, answer: FinalAnswer<MemberResponse>) {
        if let Some(id) = self.fronts.close_request(now, request, &answer) {
            let extended = self.clients.get(&id).is_some_and(|client| client.extended);
            let effects = self.fronts.answer(now, id, extended, request, answer);
            self.apply_front_effects(now, effects);
        }
    }
}
