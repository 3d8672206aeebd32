//! One client connection and the progress of its commands.

use super::pipeline::{Pipeline, Queued, ReadyRequest};
use super::{CommandStep, FrontEffect, Protocol, RequestRegistry, ServiceState};
use crate::client::{ClientId, ParsedRequest};
use crate::core::NewRequest;
use crate::exchange::MemberRequest;
use crate::pg;
use crate::{Micros, Request, RequestId};

/// With this many bytes of finished replies of one connection waiting for an earlier one, no command of it
/// starts after an unfinished one.
const MAX_REORDERED_BYTES: usize = 160 * 1024;

/// A client connection.
pub struct Connection<P: Protocol> {
    /// The secret of its cancel key.
    pub secret: u32,
    /// Whether it has made a request that a member serves.
    pub has_requested: bool,
    /// The commands that are not answered yet.
    pub pipeline: Pipeline<P>,
    /// When it was opened, or when its last reply was sent.
    pub idle_since: Micros,
    /// The state that the protocol keeps for it.
    pub session: P::Session,
}

/// The requests that a connection may start, and whether further commands are to be processed.
#[derive(Default)]
pub struct BegunRequests {
    /// The requests, in order.
    pub requests: Vec<NewRequest<MemberRequest>>,
    /// Whether a command was answered at once, so that others may follow.
    pub answered_locally: bool,
}

impl<P: Protocol> Connection<P> {
    /// A connection that has just been opened.
    pub fn new(secret: u32, now: Micros) -> Self {
        Connection {
            secret,
            has_requested: false,
            pipeline: Pipeline::default(),
            idle_since: now,
            session: P::Session::default(),
        }
    }

    /// Whether it may be closed between commands.
    pub fn is_idle(&self) -> bool {
        self.pipeline.is_empty()
    }

    /// Processes the commands that have arrived, in order, up to one that must wait.
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
                CommandStep::Defer(command) => return self.pipeline.requeue(index, command),
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

    /// Starts the requests whose order allows it. With `only_first`, none starts after an unfinished one.
    pub fn begin_requests(
        &mut self,
        id: ClientId,
        now: Micros,
        only_first: bool,
        registry: &mut RequestRegistry,
    ) -> BegunRequests {
        let mut begun = BegunRequests::default();
        let mut first = 0;
        loop {
            let only_first = only_first || self.pipeline.buffered_bytes() >= MAX_REORDERED_BYTES;
            let Some(index) = self.pipeline.next_ready_index(first, only_first) else { return begun };
            first = index + 1;
            let Some(mut ready) = self.pipeline.take_ready(index) else { continue };
            let external_id = std::mem::take(&mut ready.request.external_id);
            // Guards against a response that would be matched to another request.
            let Some(request_id) = registry.open(id, external_id) else {
                self.pipeline.reply(index, duplicate_id_reply());
                begun.answered_locally = true;
                continue;
            };
            self.pipeline.mark_running(index, request_id);
            self.has_requested = true;
            begun.requests.push(new_request(request_id, now, ready));
        }
    }
}

fn duplicate_id_reply() -> Vec<u8> {
    let mut bytes = Vec::new();
    let text = "a request of this id is open";
    pg::put_error_response(&mut bytes, "ERROR", pg::sqlstate::PROTOCOL_VIOLATION, text, None);
    pg::put_ready_for_query(&mut bytes);
    bytes
}

/// A request in the core's form. Its time counts from when its last byte was read, also if it had to
/// wait for earlier commands: its client counts from when it was sent.
fn new_request(id: RequestId, now: Micros, ready: ReadyRequest) -> NewRequest<MemberRequest> {
    let ReadyRequest { read_at, request: parsed } = ready;
    let ParsedRequest { required_position, timeout, .. } = parsed;
    let request = Request {
        id,
        class: parsed.class,
        group: parsed.group,
        session: parsed.session,
        tenant: 0,
        time_since_write: None,
        min_position: required_position,
        remaining: timeout.saturating_sub(now.saturating_sub(read_at)),
        is_retry: parsed.is_retry,
    };
    NewRequest { request, work: parsed.member_request.into() }
}
