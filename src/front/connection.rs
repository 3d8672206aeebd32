//! A client connection and the progress of its commands.

use super::pipeline::{Pipeline, Queued, ReadyRequest};
use super::{CommandStep, FrontEffect, Protocol, RefusedId, RequestRegistry, ServiceState};
use crate::client::ClientId;
use crate::core::NewRequest;
use crate::exchange::MemberRequest;
use crate::pg;
use crate::{Micros, Request, RequestId};

/// While this many bytes of one connection's replies wait for an earlier reply, each further request starts
/// only after all earlier commands of the connection have finished.
const MAX_REORDERED_BYTES: usize = 160 * 1024;

/// A client connection.
pub struct Connection<P: Protocol> {
    /// The secret of the connection's cancel key.
    pub secret: u32,
    /// Whether a request of this connection has been forwarded to the core.
    pub has_requested: bool,
    /// The commands that have not been answered yet.
    pub pipeline: Pipeline<P>,
    /// The time at which the connection was opened, its last reply was written, or part of a command was
    /// found to have arrived, whichever is latest.
    pub idle_since: Micros,
    /// The protocol's state for this connection.
    pub session: P::Session,
    /// How the connection ends once all commands have been answered; `None` while more may be read.
    pub end: Option<ConnectionEnd>,
}

/// What the client sent last, on which the connection is closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A Terminate message.
    Terminate,
    /// Something that is answered with a FATAL error.
    Error {
        /// The SQLSTATE of the error.
        sqlstate: &'static str,
        /// The text of the error.
        text: String,
    },
}

/// The result of [`Connection::start_requests`].
#[derive(Default)]
pub struct StartedRequests {
    /// The requests to forward to the core, in the order of their commands.
    pub requests: Vec<NewRequest<MemberRequest>>,
    /// Whether a command was answered without the core, so that later commands may have to be processed.
    pub answered_locally: bool,
}

impl<P: Protocol> Connection<P> {
    /// Creates the state of a connection that has just been opened.
    pub fn new(secret: u32, now: Micros, session: P::Session) -> Self {
        Connection {
            secret,
            has_requested: false,
            pipeline: Pipeline::default(),
            idle_since: now,
            session,
            end: None,
        }
    }

    /// Whether all commands have been answered, so that the connection may be closed.
    pub fn is_idle(&self) -> bool {
        self.pipeline.is_empty()
    }

    /// Processes the queued commands in order, up to the first command that must wait.
    pub fn start_queued_commands(
        &mut self,
        protocol: &mut P,
        service: ServiceState,
        effects: &mut Vec<FrontEffect>,
    ) {
        while let Some(Queued { index, command, unfinished }) = self.pipeline.take_queued() {
            if P::must_wait(&command, &unfinished) {
                return self.pipeline.requeue(index, command);
            }
            let step = protocol.start(&mut self.session, command, service);
            effects.extend(protocol.take_store_changes().into_iter().map(FrontEffect::RecordChange));
            match step {
                CommandStep::AwaitServiceState(command) => return self.pipeline.requeue(index, command),
                CommandStep::Reply(reply) => self.pipeline.reply(index, reply),
                CommandStep::Forward(request, context) => self.pipeline.defer(index, request, context),
            }
        }
    }

    /// Writes the replies that are next in order.
    pub fn write_replies(&mut self, id: ClientId, now: Micros, effects: &mut Vec<FrontEffect>) {
        while let Some(reply) = self.pipeline.pop_reply(now) {
            self.idle_since = now;
            effects.push(FrontEffect::Write(id, reply));
            effects.push(FrontEffect::CommandAnswered(id));
        }
    }

    /// Starts the requests that do not have to wait for earlier commands. With `only_first`, a request starts
    /// only if all earlier commands have finished.
    pub fn start_requests(
        &mut self,
        id: ClientId,
        now: Micros,
        only_first: bool,
        registry: &mut RequestRegistry,
    ) -> StartedRequests {
        let mut started = StartedRequests::default();
        let mut first = 0;
        loop {
            let only_first = only_first || self.pipeline.buffered_bytes() >= MAX_REORDERED_BYTES;
            let Some(index) = self.pipeline.next_ready_index(first, only_first) else { return started };
            first = index + 1;
            let Some(mut ready) = self.pipeline.take_ready(index) else { continue };
            let external_id = std::mem::take(&mut ready.request.external_id);
            // An external id names at most one open request; with two, a response could be matched to the
            // wrong request.
            let at_most_once = ready.request.at_most_once;
            let request_id = match registry.open(now, id, external_id, at_most_once) {
                Ok(request_id) => request_id,
                Err(refused) => {
                    self.pipeline.reply(index, refused_id_reply(refused));
                    started.answered_locally = true;
                    continue;
                }
            };
            self.pipeline.mark_running(index, request_id);
            self.has_requested = true;
            started.requests.push(new_request(request_id, now, ready));
        }
    }
}

fn refused_id_reply(refused: RefusedId) -> Vec<u8> {
    let (sqlstate, text) = match refused {
        RefusedId::Open => (pg::sqlstate::PROTOCOL_VIOLATION, "a request of this id is open"),
        RefusedId::MayHaveRun => {
            let text = "a request of this id may have run: it is not run again";
            (pg::sqlstate::TRANSACTION_RESOLUTION_UNKNOWN, text)
        }
    };
    let mut bytes = Vec::new();
    pg::put_error_response(&mut bytes, "ERROR", sqlstate, text, None);
    pg::put_ready_for_query(&mut bytes);
    bytes
}

/// Converts a request to the core's form. The remaining time is reduced by the time since the last byte of
/// the command was read, including the wait for earlier commands, because the client's timeout has been
/// running since it sent the command.
fn new_request(id: RequestId, now: Micros, ready: ReadyRequest) -> NewRequest<MemberRequest> {
    let ReadyRequest { read_at, request: parsed } = ready;
    let request = Request {
        id,
        class: parsed.class,
        statements: parsed.statements,
        group: parsed.group,
        tenant: 0,
        remaining: parsed.timeout.saturating_sub(now.saturating_sub(read_at)),
        is_retry: parsed.is_retry,
    };
    NewRequest { request, work: parsed.member_request.into() }
}
