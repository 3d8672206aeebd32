//! The platform's front: simple queries, one statement each, described by the comment that they carry.

use super::{Answer, ClientId, Desk, Out, Work, put_verdict};
use crate::core::{Arrival, Verdict};
use crate::pg::{self, Malformed, Opening, statement};
use crate::{Micros, Request, RequestId, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

/// What a client's reader found on the wire.
pub enum Said {
    /// A new connection, with the secret of its cancel key.
    Connected {
        /// The secret.
        secret: u32,
    },
    /// An opening packet.
    Opening(Opening),
    /// A simple query, read whole.
    Query(Query),
    /// A message that this front does not serve.
    Unsupported,
    /// The client says that it is done.
    Terminate,
    /// A message that breaks the protocol.
    Malformed(Malformed),
    /// The connection has ended.
    Gone,
}

/// A simple query and what was read off its comment.
pub struct Query {
    /// When its last byte was read.
    pub at: Micros,
    /// The statement, without the closing zero.
    pub text: Vec<u8>,
    /// What the decisions need, or what is wrong with it.
    pub fields: Result<Asked, &'static str>,
}

/// What the decisions need of a query.
pub enum Asked {
    /// Nothing: an empty query.
    Empty,
    /// A request.
    Request {
        /// Its class.
        class: usize,
        /// Its group.
        group: u32,
        /// Its session.
        session: u64,
        /// The position that it must see, as time on the core's clock.
        after: Option<Micros>,
        /// A client's retry.
        repeat: bool,
        /// How long the client waits.
        wait: Micros,
        /// Where the digits of `d` stand.
        place: Range<usize>,
    },
}

impl Asked {
    /// Reads a statement; the names of the classes are looked up here.
    pub fn read(text: &[u8], settings: &Settings) -> Result<Asked, &'static str> {
        if text.trim_ascii().is_empty() {
            return Ok(Asked::Empty);
        }
        let fields = statement::fields(text);
        let name = fields.class.ok_or("the comment names no class")?;
        let class = settings.class_names.iter().position(|n| n.as_bytes() == name).ok_or("unknown class")?;
        if !fields.id {
            return Err("the comment holds no id");
        }
        let (wait, place) = fields.wait.ok_or("the comment holds no d")?;
        let group = fields.group.ok_or("the comment holds no cluster")?;
        Ok(Asked::Request {
            class,
            group,
            session: fields.key.map_or(0, statement::session),
            after: fields.after.map(crate::net::clock::from_unix_ms),
            repeat: fields.repeat,
            wait: wait.saturating_mul(1000).min(1 << 40),
            place,
        })
    }
}

struct Client {
    secret: u32,
    greeted: bool,
    queue: VecDeque<Query>,
    busy: Option<RequestId>,
    /// When its last answer was given: the time of a request that waited its turn counts from there.
    free_at: Micros,
}

/// The state of the front.
#[derive(Default)]
pub struct Platform {
    clients: BTreeMap<ClientId, Client>,
    /// Empty queries are answered: the front layer may send clients.
    ready: bool,
    /// Connections are closed between requests.
    closing: bool,
}

impl Platform {
    /// The proxy is ready: empty queries that waited are answered.
    pub fn ready(&mut self, desk: &mut Desk, now: Micros) -> Vec<Out> {
        self.ready = true;
        let mut out = Vec::new();
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            self.next(desk, now, id, &mut out);
        }
        out
    }

    /// From now on connections are closed between requests.
    pub fn close(&mut self) -> Vec<Out> {
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

    /// A connection between requests that may be closed to make room.
    pub fn idle(&self) -> Option<ClientId> {
        let idle = |c: &Client| c.greeted && c.busy.is_none() && c.queue.is_empty();
        self.clients.iter().find(|(_, c)| idle(c)).map(|(id, _)| *id)
    }

    /// Closes a connection that [`Platform::idle`] named.
    pub fn evict(&mut self, id: ClientId) -> Vec<Out> {
        self.clients.remove(&id).map(|_| Out::Close(id)).into_iter().collect()
    }

    /// Takes what a client said.
    pub fn said(&mut self, desk: &mut Desk, now: Micros, id: ClientId, said: Said) -> Vec<Out> {
        let mut out = Vec::new();
        if let Said::Connected { secret } = said {
            let client = Client { secret, greeted: false, queue: VecDeque::new(), busy: None, free_at: 0 };
            self.clients.insert(id, client);
            return out;
        }
        let Some(client) = self.clients.get_mut(&id) else { return out };
        match said {
            Said::Connected { .. } => {}
            Said::Opening(Opening::Encryption) => out.push(Out::Write(id, b"N".to_vec())),
            Said::Opening(Opening::Startup) => {
                client.greeted = true;
                let mut bytes = Vec::new();
                pg::put_greeting(&mut bytes, id as u32, client.secret);
                out.push(Out::Write(id, bytes));
            }
            Said::Opening(Opening::Cancel { process, secret }) => {
                self.gone(desk, id, &mut out);
                self.cancel(desk, now, process, secret, &mut out);
            }
            Said::Query(query) => {
                client.queue.push_back(query);
                self.next(desk, now, id, &mut out);
            }
            Said::Unsupported => {
                self.fatal(desk, id, pg::NOT_SUPPORTED, "only simple queries are served here", &mut out)
            }
            Said::Malformed(why) => self.fatal(desk, id, pg::PROTOCOL_VIOLATION, why.0, &mut out),
            Said::Terminate | Said::Gone => self.gone(desk, id, &mut out),
        }
        out
    }

    /// Gives a request its final answer.
    pub fn answer(
        &mut self,
        desk: &mut Desk,
        now: Micros,
        id: ClientId,
        request: RequestId,
        verdict: Verdict<Answer>,
    ) -> Vec<Out> {
        let mut out = Vec::new();
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.busy == Some(request)) else { return out };
        (client.busy, client.free_at) = (None, now);
        let mut bytes = Vec::new();
        put_verdict(&mut bytes, &verdict);
        pg::put_ready(&mut bytes);
        out.push(Out::Write(id, bytes));
        out.push(Out::Credit(id));
        self.next(desk, now, id, &mut out);
        self.close_if_idle(id, &mut out);
        out
    }

    /// Starts the client's next query where none is under way. Those behind it wait their turn: on a
    /// connection, answers arrive in the order of its commands.
    fn next(&mut self, desk: &mut Desk, now: Micros, id: ClientId, out: &mut Vec<Out>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while client.busy.is_none()
            && let Some(query) = client.queue.pop_front()
        {
            let mut bytes = Vec::new();
            match query.fields {
                Ok(Asked::Empty) if !self.ready => {
                    client.queue.push_front(query);
                    return;
                }
                Ok(Asked::Empty) => pg::put(&mut bytes, b'I', &[]),
                Err(why) => pg::put_error(&mut bytes, "ERROR", pg::PROTOCOL_VIOLATION, why, None),
                Ok(Asked::Request { class, group, session, after, repeat, wait, place }) => {
                    let request = desk.open(id);
                    client.busy = Some(request);
                    let request = Request {
                        id: request,
                        class,
                        group,
                        session,
                        tenant: 0,
                        since_write: after.map(|after| now.saturating_sub(after)),
                        remaining: wait.saturating_sub(now.saturating_sub(query.at.max(client.free_at))),
                        repeat,
                    };
                    let work = Work::Simple { text: query.text, wait: place };
                    out.push(Out::Take(Arrival { request, work: work.into() }));
                    return;
                }
            }
            pg::put_ready(&mut bytes);
            out.push(Out::Write(id, bytes));
            out.push(Out::Credit(id));
        }
    }

    fn close_if_idle(&mut self, id: ClientId, out: &mut Vec<Out>) {
        let idle = self.clients.get(&id).is_some_and(|c| c.busy.is_none() && c.queue.is_empty());
        if self.closing && idle {
            self.clients.remove(&id);
            out.push(Out::Close(id));
        }
    }

    fn gone(&mut self, desk: &mut Desk, id: ClientId, out: &mut Vec<Out>) {
        if let Some(client) = self.clients.remove(&id) {
            if let Some(request) = client.busy {
                desk.close(request);
                out.push(Out::Left(request));
            }
            out.push(Out::Close(id));
        }
    }

    /// An error after which the connection cannot go on.
    fn fatal(&mut self, desk: &mut Desk, id: ClientId, code: &str, text: &str, out: &mut Vec<Out>) {
        let mut bytes = Vec::new();
        pg::put_error(&mut bytes, "FATAL", code, text, None);
        out.push(Out::Write(id, bytes));
        self.gone(desk, id, out);
    }

    fn cancel(&mut self, desk: &mut Desk, now: Micros, process: u32, secret: u32, out: &mut Vec<Out>) {
        let found = self.clients.iter().find(|(id, c)| **id as u32 == process && c.secret == secret);
        if let Some((&id, client)) = found
            && let Some(request) = client.busy
        {
            desk.close(request);
            out.push(Out::Left(request));
            out.extend(self.answer(desk, now, id, request, Verdict::Failed { ran: true }));
        }
    }
}
