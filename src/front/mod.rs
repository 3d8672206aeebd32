//! The fronts: each turns what clients say into requests for the core, and verdicts into answers. What they
//! have in common is the [`ConnectionManager`]: connections, their [`Pipeline`]s of commands, cancels and
//! closing. A front's own way of talking is its [`Protocol`].

mod pipeline;
pub mod platform;
pub mod postgres;
#[cfg(test)]
mod tests;

use crate::client::{ClientEvent, ClientId, ParsedRequest};
use crate::core::{FinalAnswer, NewRequest};
use crate::exchange::{MemberRequest, MemberResponse, millis_rounded_up};
use crate::pg::{self, StartupPacket};
use crate::store::Change;
use crate::{Micros, Request, RequestId};
use pipeline::{Access, Pipeline, Queued};
use std::collections::{BTreeMap, HashSet};

/// A connection may be closed to make room when it has been idle this long, or has asked for nothing for this
/// long since it came.
const IDLE: Micros = 2_000_000;
const SILENT: Micros = 200_000;

/// Bytes of finished replies of one connection that may wait for an earlier one before no further command of
/// it begins behind an unfinished one.
const REORDERED_BYTES: usize = 160 * 1024;

/// What a front wants done.
pub enum FrontEffect {
    /// Write to a client.
    Write(ClientId, Vec<u8>),
    /// Close a client's connection once all is written.
    Close(ClientId),
    /// Close it if nothing of another command has come: [`ConnectionManager::forget`] is told if so.
    CloseIfIdle(ClientId),
    /// A client may send one more command.
    CommandAnswered(ClientId),
    /// A request is taken.
    StartRequest(NewRequest<MemberRequest>),
    /// A request's client has gone or given it up.
    AbandonRequest(RequestId),
    /// The store is to note this.
    RecordChange(Change),
}

impl ParsedRequest {
    fn access(&self) -> Access {
        Access { writes: self.writes, group: self.group, session: self.session }
    }
}

/// What a command comes to.
pub enum CommandStep<P: Protocol + ?Sized> {
    /// It waits for the proxy to be ready.
    Defer(P::Command),
    /// It is answered with this at once.
    Reply(Vec<u8>),
    /// It is a request.
    Forward(ParsedRequest, P::Context),
}

/// Whether the front layer may send clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// Not known yet: empty queries wait.
    Starting,
    /// Yes.
    InService,
    /// No: an operator has taken this proxy out of service. Open connections are served.
    OutOfService,
}

/// A front's own way of talking.
pub trait Protocol {
    /// A command, as the reader hands it over.
    type Command;
    /// What a connection keeps from command to command.
    type Session: Default;
    /// What is kept of a request until its final answer.
    type Context;
    /// When the command's last byte was read.
    fn read_at(command: &Self::Command) -> Micros;
    /// A command can be looked at only when these earlier ones of its connection have been answered.
    fn must_wait(_command: &Self::Command, _unfinished: &[&Self::Context]) -> bool {
        false
    }
    /// Takes a connection's next command.
    fn start(
        &mut self,
        session: &mut Self::Session,
        command: Self::Command,
        service: ServiceState,
    ) -> CommandStep<Self>;
    /// What the store is to note since the last call.
    fn notes(&mut self) -> Vec<Change> {
        Vec::new()
    }
    /// The answer of the request that [`Protocol::start`] asked for, up to ReadyForQuery.
    fn finish(
        &mut self,
        session: &mut Self::Session,
        context: Self::Context,
        verdict: FinalAnswer<MemberResponse>,
    ) -> Vec<u8>;
}

/// Hands out request numbers to both fronts, and remembers whose they are.
#[derive(Default)]
pub struct RequestRegistry {
    last: RequestId,
    owners: BTreeMap<RequestId, (ClientId, Vec<u8>)>,
    /// The names of open requests.
    names: HashSet<Vec<u8>>,
}

impl RequestRegistry {
    /// `None` if a request of that name is open.
    fn open(&mut self, client: ClientId, name: Vec<u8>) -> Option<RequestId> {
        if !name.is_empty() && !self.names.insert(name.clone()) {
            return None;
        }
        loop {
            self.last = self.last.wrapping_add(1);
            if !self.owners.contains_key(&self.last) {
                self.owners.insert(self.last, (client, name));
                return Some(self.last);
            }
        }
    }

    /// Whose it was, once.
    pub fn close(&mut self, request: RequestId) -> Option<ClientId> {
        let (client, name) = self.owners.remove(&request)?;
        self.names.remove(&name);
        Some(client)
    }
}

struct Client<P: Protocol> {
    secret: u32,
    /// It has asked for something that a member serves.
    asked: bool,
    pipeline: Pipeline<P>,
    /// When it came, or its last answer was given.
    free_at: Micros,
    session: P::Session,
}

/// The connections of a front.
pub struct ConnectionManager<P: Protocol> {
    talk: P,
    clients: BTreeMap<ClientId, Client<P>>,
    service: ServiceState,
    /// Connections are closed between requests.
    closing: bool,
    /// Bytes of replies that wait for those of earlier commands, over all clients, and the most there may be.
    reordered: usize,
    most_reordered: usize,
}

impl<P: Protocol> ConnectionManager<P> {
    /// A front without connections, of whose finished replies so many bytes may wait for earlier ones.
    pub fn new(talk: P, most_reordered: usize) -> Self {
        let (clients, service) = (BTreeMap::new(), ServiceState::Starting);
        ConnectionManager { talk, clients, service, closing: false, reordered: 0, most_reordered }
    }

    /// The proxy can serve, or is taken out of service or back: commands that waited for that go on.
    pub fn serve(
        &mut self,
        service: ServiceState,
        desk: &mut RequestRegistry,
        now: Micros,
    ) -> Vec<FrontEffect> {
        self.service = service;
        self.closing &= service == ServiceState::OutOfService;
        let mut out = Vec::new();
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.next(desk, now, id, &mut out);
        }
        out
    }

    /// From now on connections are closed between requests.
    pub fn close(&mut self) -> Vec<FrontEffect> {
        self.closing = true;
        let mut out = Vec::new();
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.close_if_idle(id, &mut out);
        }
        out
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.clients.len()
    }

    /// The connection that can best be closed to make room: one that has said nothing, or the one that was
    /// idle longest, if that is long enough. With how well it can be closed.
    pub fn idlest(&self, now: Micros) -> Option<(bool, Micros, ClientId)> {
        let idle = self.clients.iter().filter(|(_, c)| c.pipeline.is_empty());
        let long = idle.filter_map(|(id, c)| {
            let idle = now.saturating_sub(c.free_at);
            let enough = idle >= if c.asked { IDLE } else { SILENT };
            enough.then_some((!c.asked, idle, *id))
        });
        long.max()
    }

    /// Connections that have asked for something, and the one of them that was idle longest, with the time
    /// from which it may be closed.
    pub fn kept(&self) -> (usize, Option<(Micros, ClientId)>) {
        let asked = self.clients.iter().filter(|(_, c)| c.asked);
        let idle = asked.clone().filter(|(_, c)| c.pipeline.is_empty());
        (asked.count(), idle.map(|(id, c)| (c.free_at + IDLE, *id)).min())
    }

    /// A command of this connection is on its way: it is not idle.
    pub fn stirs(&mut self, now: Micros, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.free_at = now;
        }
    }

    /// A connection has been closed between requests.
    pub fn forget(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Takes what a client said.
    pub fn said(
        &mut self,
        desk: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        said: ClientEvent<P::Command>,
    ) -> Vec<FrontEffect> {
        let mut out = Vec::new();
        if let ClientEvent::Connected { secret } = said {
            let (pipeline, session) = (Pipeline::default(), P::Session::default());
            let client = Client { secret, asked: false, pipeline, free_at: now, session };
            self.clients.insert(id, client);
            return out;
        }
        // A cancel is heard also where there was no room for the connection that brings it.
        if let ClientEvent::Opening(StartupPacket::CancelRequest { process, secret }) = said {
            self.gone(desk, id, &mut out);
            self.cancel(desk, now, process, secret, &mut out);
            return out;
        }
        let Some(client) = self.clients.get_mut(&id) else { return out };
        match said {
            ClientEvent::Connected { .. } => {}
            ClientEvent::Opening(StartupPacket::EncryptionRequest) => {
                out.push(FrontEffect::Write(id, b"N".to_vec()))
            }
            ClientEvent::Opening(StartupPacket::Startup) => {
                let mut bytes = Vec::new();
                pg::put_startup_response(&mut bytes, id as u32, client.secret);
                out.push(FrontEffect::Write(id, bytes));
            }
            ClientEvent::Opening(StartupPacket::CancelRequest { .. }) => {}
            ClientEvent::Command(command) => {
                client.pipeline.push(command);
                self.next(desk, now, id, &mut out);
                self.close_if_idle(id, &mut out);
            }
            ClientEvent::Unsupported => self.fatal(
                desk,
                id,
                pg::sqlstate::FEATURE_NOT_SUPPORTED,
                "only simple queries are served here",
                &mut out,
            ),
            ClientEvent::Malformed(why) => {
                self.fatal(desk, id, pg::sqlstate::PROTOCOL_VIOLATION, &why.to_string(), &mut out)
            }
            ClientEvent::Terminate | ClientEvent::Disconnected => self.gone(desk, id, &mut out),
        }
        out
    }

    /// Gives a request its final answer.
    pub fn answer(
        &mut self,
        desk: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        request: RequestId,
        verdict: FinalAnswer<MemberResponse>,
    ) -> Vec<FrontEffect> {
        let mut out = Vec::new();
        let Some(client) = self.clients.get_mut(&id) else { return out };
        let Some(index) = client.pipeline.position(request) else { return out };
        // Guards against replies that fill the memory behind one that does not come.
        let verdict = match verdict {
            FinalAnswer::Served(answer)
                if index > 0 && self.reordered + answer.bytes.len() > self.most_reordered =>
            {
                FinalAnswer::Failed { maybe_executed: true }
            }
            verdict => verdict,
        };
        let commit = if let FinalAnswer::Served(answer) = &verdict { answer.commit_position } else { None };
        let (talk, session) = (&mut self.talk, &mut client.session);
        let before = client.pipeline.buffered();
        client.pipeline.finish(index, commit, |context| talk.finish(session, context, verdict));
        self.reordered += client.pipeline.buffered() - before;
        self.next(desk, now, id, &mut out);
        self.close_if_idle(id, &mut out);
        out
    }

    /// Moves a client's commands on: looks at those that have come, lets go of the replies whose turn it is,
    /// and begins what may begin. On a connection, answers arrive in the order of its commands.
    fn next(&mut self, desk: &mut RequestRegistry, now: Micros, id: ClientId, out: &mut Vec<FrontEffect>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = client.pipeline.buffered();
        let mut requests = Vec::new();
        loop {
            Self::plan(&mut self.talk, client, self.service, out);
            // Before any request is handed on: its answer may come at once, and belongs behind these.
            while let Some(reply) = client.pipeline.next_reply(now) {
                client.free_at = now;
                out.push(FrontEffect::Write(id, reply));
                out.push(FrontEffect::CommandAnswered(id));
            }
            let crowded = self.reordered >= self.most_reordered / 2;
            if !Self::begin(client, desk, now, id, crowded, &mut requests) {
                break;
            }
        }
        self.reordered = self.reordered + client.pipeline.buffered() - before;
        out.extend(requests.into_iter().map(FrontEffect::StartRequest));
    }

    /// Looks at the commands that have come, in their order.
    fn plan(talk: &mut P, client: &mut Client<P>, service: ServiceState, out: &mut Vec<FrontEffect>) {
        while let Some(Queued { index, command, unfinished }) = client.pipeline.next_queued() {
            if P::must_wait(&command, &unfinished) {
                return client.pipeline.put_back(index, command);
            }
            let step = talk.start(&mut client.session, command, service);
            out.extend(talk.notes().into_iter().map(FrontEffect::RecordChange));
            match step {
                CommandStep::Defer(command) => return client.pipeline.put_back(index, command),
                CommandStep::Reply(reply) => client.pipeline.reply(index, reply),
                CommandStep::Forward(ask, context) => client.pipeline.defer(index, ask, context),
            }
        }
    }

    /// Begins the requests whose turn it is; `true` if one of them was answered here, so that more may
    /// follow.
    fn begin(
        client: &mut Client<P>,
        desk: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        crowded: bool,
        requests: &mut Vec<NewRequest<MemberRequest>>,
    ) -> bool {
        let (mut from, mut answered) = (0, false);
        loop {
            let only_first = crowded || client.pipeline.buffered() >= REORDERED_BYTES;
            let Some(index) = client.pipeline.next_ready(from, only_first) else { return answered };
            from = index + 1;
            let Some(mut ready) = client.pipeline.ready(index) else { continue };
            // Guards against an answer that would be taken for another request's.
            let Some(request) = desk.open(id, std::mem::take(&mut ready.ask.external_id)) else {
                let mut bytes = Vec::new();
                let why = "a request of this id is open";
                pg::put_error_response(&mut bytes, "ERROR", pg::sqlstate::PROTOCOL_VIOLATION, why, None);
                pg::put_ready_for_query(&mut bytes);
                client.pipeline.reply(index, bytes);
                answered = true;
                continue;
            };
            client.pipeline.run(&ready, request);
            client.asked = true;
            requests.push(arrival(request, now, ready.read_at, ready.ask));
        }
    }

    fn close_if_idle(&mut self, id: ClientId, out: &mut Vec<FrontEffect>) {
        let idle = self.clients.get(&id).is_some_and(|c| c.pipeline.is_empty());
        if self.closing && idle {
            out.push(FrontEffect::CloseIfIdle(id));
        }
    }

    fn gone(&mut self, desk: &mut RequestRegistry, id: ClientId, out: &mut Vec<FrontEffect>) {
        if let Some(client) = self.clients.remove(&id) {
            self.reordered -= client.pipeline.buffered();
            for request in client.pipeline.running() {
                desk.close(request);
                out.push(FrontEffect::AbandonRequest(request));
            }
            out.push(FrontEffect::Close(id));
        }
    }

    /// An error after which the connection cannot go on.
    fn fatal(
        &mut self,
        desk: &mut RequestRegistry,
        id: ClientId,
        code: &str,
        text: &str,
        out: &mut Vec<FrontEffect>,
    ) {
        let mut bytes = Vec::new();
        pg::put_error_response(&mut bytes, "FATAL", code, text, None);
        out.push(FrontEffect::Write(id, bytes));
        self.gone(desk, id, out);
    }

    /// Calls off the first command that is not answered: in PostgreSQL, the one that runs.
    fn cancel(
        &mut self,
        desk: &mut RequestRegistry,
        now: Micros,
        process: u32,
        secret: u32,
        out: &mut Vec<FrontEffect>,
    ) {
        let found = self.clients.iter().find(|(id, c)| **id as u32 == process && c.secret == secret);
        if let Some((&id, client)) = found
            && let Some(request) = client.pipeline.first_running()
        {
            desk.close(request);
            out.push(FrontEffect::AbandonRequest(request));
            out.extend(self.answer(desk, now, id, request, FinalAnswer::Failed { maybe_executed: true }));
        }
    }
}

/// A request as the core takes it. Its time counts from when its last byte was read, also where it had to
/// wait for earlier commands: its client counts from when it was sent.
fn arrival(id: RequestId, now: Micros, read_at: Micros, ask: ParsedRequest) -> NewRequest<MemberRequest> {
    let request = Request {
        id,
        class: ask.class,
        group: ask.group,
        session: ask.session,
        tenant: 0,
        time_since_write: ask.required_position.map(|after| now.saturating_sub(after)),
        remaining: ask.timeout.saturating_sub(now.saturating_sub(read_at)),
        is_retry: ask.is_retry,
    };
    NewRequest { request, work: ask.member_request.into() }
}

/// Appends the error for a verdict that is not served, or the answer of one that is.
pub fn put_verdict(out: &mut Vec<u8>, verdict: &FinalAnswer<MemberResponse>) {
    match verdict {
        FinalAnswer::Served(answer) => out.extend_from_slice(&answer.bytes),
        FinalAnswer::Rejected { retry_after } => {
            let wait = (*retry_after > 0).then(|| millis_rounded_up(*retry_after));
            pg::put_error_response(
                out,
                "ERROR",
                pg::sqlstate::TOO_MANY_CONNECTIONS,
                "refused, nothing has run: try again",
                wait,
            );
        }
        FinalAnswer::Failed { maybe_executed: true } => {
            pg::put_error_response(
                out,
                "ERROR",
                pg::sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
                "no answer from the member: it may have run",
                None,
            );
        }
        FinalAnswer::Failed { maybe_executed: false } => {
            pg::put_error_response(
                out,
                "ERROR",
                pg::sqlstate::QUERY_CANCELED,
                "could not be served in time",
                None,
            );
        }
    }
}
