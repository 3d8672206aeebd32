//! The clients' connections: one thread accepts and reads for all of them, and the loop writes. Neither
//! decides anything.
//!
//! A thread or two for each client would be the plain way with blocking sockets. Measured with 170 of them,
//! two thirds of a proxy's part of a core went into threads that were woken only to be stopped and continued
//! with the process; so the sockets are non-blocking here, and `epoll` says which of them have something.

use super::clock::Clock;
use super::{Message, Messages};
use crate::client::{ClientBatch, ClientEvent, ClientId, ParsedQuery, SimpleQuery};
use crate::pg::{self, FrameReader, ProtocolError};
use crate::{Micros, Settings};
use crossbeam_channel::Sender;
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventData, EventFlags};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Commands that one client may have unanswered before it is not read from, and their bytes.
const AHEAD: usize = 8;
const AHEAD_BYTES: usize = 160 * 1024;
/// Answers that may wait for one client's socket; with more, a client that does not read is cut off.
const UNWRITTEN: usize = 16;
/// A client has this long for its first whole command, and for each message that it has begun.
const FIRST: Duration = Duration::from_millis(2200);
const WHOLE: Duration = Duration::from_millis(2200);
/// What is read, and how many connections are accepted, at once.
const CHUNK: usize = 64 * 1024;
const ACCEPTS: usize = 16;
/// Without a free descriptor, the next try to accept comes after this.
const FULL_WAIT: Duration = Duration::from_millis(10);
/// A connection that is closed is read from until its client closes it, too, for so long and so many bytes at
/// most; at the end of the process, for less.
const LINGER: Duration = Duration::from_millis(1000);
const LINGER_AT_END: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 256 * 1024;
/// Part of a message, from which it counts in the bound on all of them.
const LARGE: usize = 4096;

/// Messages and bytes that may come before a Sync.
const UNIT_MESSAGES: usize = 1024;
const UNIT_BYTES: usize = 256 * 1024;

/// In `Shared::busy`: the loop has closed the connection.
const CLOSED: usize = 1 << 32;
/// Events that are no client's. Clients are counted from behind them.
const WAKER: u64 = 0;
const LISTENERS: u64 = 1;
/// The first client's number.
const FIRST_CLIENT: ClientId = 16;

/// What may be held for all clients together.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Connections, with those that the loop may still have to turn away, or that linger.
    pub most: usize,
    /// Bytes of answers that wait for sockets.
    pub unwritten: usize,
    /// Bytes of commands that are not answered yet.
    pub held: usize,
    /// Bytes of messages that have not come whole yet.
    pub partial: usize,
}

/// What the loop and the reading thread share of all clients.
struct Common {
    epoll: OwnedFd,
    waker: UnixStream,
    bounds: Bounds,
    unwritten: AtomicUsize,
    held: AtomicUsize,
    open: AtomicUsize,
    /// No connection is accepted until one has gone.
    full: AtomicBool,
    ending: AtomicBool,
    /// Nothing is accepted any more: another process does.
    hushed: AtomicBool,
    /// Nothing is read any more.
    stopped: AtomicBool,
    /// Connections that the loop has closed since the thread last looked.
    closed: Mutex<Vec<ClientId>>,
}

impl Common {
    fn wake(&self) {
        let _ = (&self.waker).write(&[0]);
    }
}

/// What they share of one client.
struct Shared {
    id: ClientId,
    stream: TcpStream,
    common: Arc<Common>,
    /// Commands not answered, and one more while bytes are being taken in. With none, the loop may close the
    /// connection without a request crossing it unseen.
    busy: AtomicUsize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Answers that wait for the socket, and what of the first is written.
    answers: VecDeque<Vec<u8>>,
    written: usize,
    /// The bytes of commands not answered.
    commands: VecDeque<usize>,
    /// It is not read from until there is room for another command.
    paused: bool,
    /// The reading thread has done with it.
    left: bool,
    /// It is closed once all is written.
    closing: bool,
}

impl State {
    /// Bytes of answers that wait for the socket.
    fn unwritten(&self) -> usize {
        self.answers.iter().map(Vec::len).sum::<usize>() - self.written
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(|e| e.into_inner());
        self.common.unwritten.fetch_sub(state.unwritten() + state.written, Ordering::SeqCst);
        self.common.held.fetch_sub(state.commands.iter().sum(), Ordering::SeqCst);
        self.common.open.fetch_sub(1, Ordering::SeqCst);
        if self.common.full.swap(false, Ordering::SeqCst) {
            self.common.wake();
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Asks for the events that this state wants; `now` also for one at once. That the client has closed its
    /// side is always told, also behind bytes that are not read yet.
    fn watch(&self, state: &State, now: bool) {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, !state.paused);
        flags.set(EventFlags::OUT, now || !state.answers.is_empty());
        if !state.left {
            let _ = epoll::modify(&self.common.epoll, &self.stream, EventData::new_u64(self.id), flags);
        }
    }

    /// Writes what the socket takes; `false` if it takes nothing any more.
    fn flush(&self, state: &mut State) -> bool {
        while let Some(first) = state.answers.front() {
            match (&self.stream).write(&first[state.written..]) {
                Ok(n) => state.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
            if state.written == first.len() {
                self.common.unwritten.fetch_sub(first.len(), Ordering::SeqCst);
                state.answers.pop_front();
                state.written = 0;
            }
        }
        if state.closing {
            self.half_close();
        }
        true
    }

    /// Ends our side. Guards against a close over bytes that were not read: it resets the connection, and
    /// takes along what the client has not had yet of its answer.
    fn half_close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

/// The loop's end of a client's connection. Dropped, it closes the connection once all is written.
pub struct Handle {
    shared: Arc<Shared>,
    /// It came in on the extended listener.
    pub extended: bool,
}

impl Handle {
    /// Hands bytes to the socket; `false` if the client does not read.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        let (shared, length) = (&self.shared, bytes.len());
        let mut state = shared.state();
        let before = shared.common.unwritten.fetch_add(length, Ordering::SeqCst);
        let waited = !state.answers.is_empty();
        if waited && (before + length > shared.common.bounds.unwritten || state.answers.len() >= UNWRITTEN) {
            shared.common.unwritten.fetch_sub(length, Ordering::SeqCst);
            return false;
        }
        state.answers.push_back(bytes);
        if waited {
            return true;
        }
        let open = shared.flush(&mut state);
        if open && !state.answers.is_empty() {
            shared.watch(&state, false);
        }
        open
    }

    /// Lets the client send one more command.
    pub fn credit(&self) {
        let shared = &self.shared;
        shared.busy.fetch_sub(1, Ordering::SeqCst);
        let mut state = shared.state();
        let size = state.commands.pop_front().unwrap_or(0);
        shared.common.held.fetch_sub(size, Ordering::SeqCst);
        if state.paused && !shared.common.stopped.load(Ordering::SeqCst) {
            state.paused = false;
            shared.watch(&state, true);
        }
    }

    /// Closes the connection if it is between requests, and nothing of another one has been read.
    pub fn retire(&self) -> bool {
        self.shared.busy.compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }

    /// Cuts the connection at once, whatever is unwritten.
    pub fn cut(&self) {
        let _ = self.shared.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        self.shared.busy.fetch_or(CLOSED, Ordering::SeqCst);
        state.closing = true;
        if state.left {
            let _ = self.shared.stream.shutdown(Shutdown::Both);
            return;
        }
        if state.answers.is_empty() {
            self.shared.half_close();
        }
        self.shared.common.closed.lock().unwrap_or_else(|e| e.into_inner()).push(self.shared.id);
        self.shared.common.wake();
    }
}

/// Ends the thread that reads once it has no connection any more.
pub struct Ender(Arc<Common>);

impl Ender {
    /// No connection is accepted any more; what waits is for the process that listens there, too.
    pub fn hush(&self) {
        self.0.hushed.store(true, Ordering::SeqCst);
        self.0.wake();
    }

    /// Nothing is read or accepted any more. The loop is told so behind all that was read before.
    pub fn stop(&self) {
        self.0.stopped.store(true, Ordering::SeqCst);
        self.0.wake();
    }

    /// No connection is accepted any more, and the thread ends when the last has gone.
    pub fn end(&self) {
        self.0.ending.store(true, Ordering::SeqCst);
        self.0.wake();
    }
}

/// Where a client's bytes stand.
enum Stage {
    /// The startup message has not come.
    Opening,
    /// Simple queries.
    Platform,
    /// Extended queries: messages up to a Sync.
    Postgres { messages: Vec<Vec<u8>>, size: usize },
}

struct Guest {
    shared: Arc<Shared>,
    extended: bool,
    frames: FrameReader,
    stage: Stage,
    /// When its last bytes came.
    at: Micros,
    /// It counts in `Shared::busy` for bytes that are no whole command yet.
    holds: bool,
    /// It has sent a whole command, and one since its limit was set.
    asked: bool,
    took: bool,
    /// By when what it has begun must be whole.
    limit: Option<Instant>,
    /// What it counts for in the bound on parts of messages.
    part: usize,
    /// Nothing that comes is taken any more.
    done: bool,
    /// Bytes that came since, and what was unwritten when its time was last up.
    waste: usize,
    unwritten: usize,
}

/// The thread that accepts and reads.
pub struct Reception {
    common: Arc<Common>,
    woken: UnixStream,
    listeners: Vec<(TcpListener, bool)>,
    guests: HashMap<ClientId, Guest>,
    limits: BTreeSet<(Instant, ClientId)>,
    last: ClientId,
    scratch: Vec<u8>,
    partial: usize,
    /// Connections that the loop has closed, the first at the front, and that may linger.
    lingering: VecDeque<ClientId>,
    /// The loop has been told that nothing is read any more.
    silent: bool,
    /// The listeners are not watched, until then if that was for want of descriptors.
    deaf: Option<Option<Instant>>,
    clock: Clock,
    settings: Arc<Settings>,
    messages: Messages,
    /// Held until the thread ends.
    alive: Option<Sender<()>>,
}

/// How a connection goes on.
enum Next {
    /// More bytes are wanted.
    More,
    /// It has as many commands unanswered as it may.
    Full,
    /// Nothing more is read from it.
    Done,
}

impl Reception {
    /// Prepares the thread; each listener comes with whether it is the extended one.
    pub fn new(
        listeners: Vec<(TcpListener, bool)>,
        bounds: Bounds,
        settings: Arc<Settings>,
        clock: Clock,
        messages: Messages,
        alive: Sender<()>,
    ) -> Result<(Reception, Ender)> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (waker, woken) = UnixStream::pair()?;
        waker.set_nonblocking(true)?;
        woken.set_nonblocking(true)?;
        epoll::add(&epoll, &woken, EventData::new_u64(WAKER), EventFlags::IN)?;
        for (n, (listener, _)) in listeners.iter().enumerate() {
            listener.set_nonblocking(true)?;
            epoll::add(&epoll, listener, EventData::new_u64(LISTENERS + n as u64), EventFlags::IN)?;
        }
        let common = Arc::new(Common {
            epoll,
            waker,
            bounds,
            unwritten: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            full: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            hushed: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            closed: Mutex::default(),
        });
        let ender = Ender(common.clone());
        let reception = Reception {
            common,
            woken,
            listeners,
            guests: HashMap::new(),
            limits: BTreeSet::new(),
            last: FIRST_CLIENT,
            scratch: vec![0; CHUNK],
            partial: 0,
            lingering: VecDeque::new(),
            silent: false,
            deaf: None,
            clock,
            settings,
            messages,
            alive: Some(alive),
        };
        Ok((reception, ender))
    }

    /// Runs until it is told to end and the last connection has gone.
    pub fn run(mut self) {
        let mut events = Vec::with_capacity(64);
        loop {
            let ending = self.common.ending.load(Ordering::SeqCst);
            if ending && self.guests.is_empty() {
                drop(self.alive.take());
                return;
            }
            self.linger(ending);
            if self.common.stopped.load(Ordering::SeqCst) && !self.silent {
                self.stop();
            }
            let hushed = self.silent || self.common.hushed.load(Ordering::SeqCst);
            if hushed && !self.listeners.is_empty() {
                let listeners = std::mem::take(&mut self.listeners);
                listeners.iter().for_each(|(l, _)| _ = epoll::delete(&self.common.epoll, l));
            }
            let due = [self.limits.first().map(|l| l.0), self.deaf.flatten()].into_iter().flatten().min();
            let wait = due.map(|due| {
                let left = due.saturating_duration_since(Instant::now()) + Duration::from_millis(1);
                Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() }
            });
            let space = rustix::buffer::spare_capacity(&mut events);
            if epoll::wait(&self.common.epoll, space, wait.as_ref()).is_err() {
                events.clear();
            }
            for event in events.drain(..) {
                match event.data.u64() {
                    WAKER => while matches!((&self.woken).read(&mut [0; 64]), Ok(n) if n > 0) {},
                    n if n < FIRST_CLIENT => self.accept((n - LISTENERS) as usize),
                    id => self.event(id, event.flags),
                }
            }
            self.expire();
            self.listen();
        }
    }

    /// Takes up what the loop has closed: from then on only the client's own close is waited for.
    fn linger(&mut self, ending: bool) {
        let closed = std::mem::take(&mut *self.common.closed.lock().unwrap_or_else(|e| e.into_inner()));
        while self.lingering.front().is_some_and(|id| !self.guests.contains_key(id)) {
            self.lingering.pop_front();
        }
        for id in closed {
            if self.guests.contains_key(&id) {
                self.lingering.push_back(id);
                self.give_up(id, LINGER);
            }
        }
        if ending {
            // Whatever the loop holds no more lingers.
            self.guests.keys().copied().collect::<Vec<_>>().into_iter().for_each(|id| {
                self.give_up(id, LINGER_AT_END);
            });
        }
    }

    /// Nothing that comes on this connection is taken any more, and it is closed after this time at most.
    fn give_up(&mut self, id: ClientId, after: Duration) {
        let Some(guest) = self.guests.get_mut(&id) else { return };
        let limit = Instant::now() + after;
        let limit = if guest.done { guest.limit.unwrap_or(limit).min(limit) } else { limit };
        guest.limit.map(|old| self.limits.remove(&(old, id)));
        self.limits.insert((limit, id));
        self.partial -= guest.part;
        (guest.done, guest.limit, guest.part, guest.frames) = (true, Some(limit), 0, FrameReader::default());
        let mut state = guest.shared.state();
        state.paused = false;
        guest.shared.watch(&state, false);
    }

    /// Reads nothing any more, and tells the loop: what it has been handed before is all that there is.
    fn stop(&mut self) {
        self.silent = true;
        for guest in self.guests.values().filter(|g| !g.done) {
            let mut state = guest.shared.state();
            state.paused = true;
            guest.shared.watch(&state, false);
        }
        let _ = self.messages.send(Message::Stopped);
    }

    /// Closes the connection that has lingered longest, for the sake of its descriptor; `false` if there is
    /// none. Those that have not had all of their answer come last.
    fn hurry(&mut self) -> bool {
        self.lingering.retain(|id| self.guests.contains_key(id));
        let had = |id: &ClientId| self.guests[id].shared.state().unwritten() == 0;
        let at = self.lingering.iter().position(had).unwrap_or(0);
        let id = self.lingering.remove(at);
        id.into_iter().for_each(|id| self.leave(id));
        id.is_some()
    }

    fn listen(&mut self) {
        let Some(until) = self.deaf else { return };
        let room = self.common.open.load(Ordering::SeqCst) < self.common.bounds.most;
        if room && until.is_none_or(|at| at <= Instant::now()) {
            self.deaf = None;
            self.hear(EventFlags::IN);
        }
    }

    fn hear(&self, flags: EventFlags) {
        for (n, (listener, _)) in self.listeners.iter().enumerate() {
            let data = EventData::new_u64(LISTENERS + n as u64);
            let _ = epoll::modify(&self.common.epoll, listener, data, flags);
        }
    }

    fn accept(&mut self, n: usize) {
        for _ in 0..ACCEPTS {
            if self.deaf.is_some() {
                return;
            }
            let full = |r: &Self| r.common.open.load(Ordering::SeqCst) >= r.common.bounds.most;
            if full(self) && (!self.hurry() || full(self)) {
                // Guards against a crowd that takes every descriptor: it waits in the backlog.
                self.common.full.store(true, Ordering::SeqCst);
                self.deaf = Some(None);
                self.hear(EventFlags::empty());
                return;
            }
            let Some((listener, extended)) = self.listeners.get(n) else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    let extended = *extended;
                    self.welcome(stream, extended);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(_) if self.hurry() => {}
                Err(e) => {
                    // Guards against a full table of descriptors: the connection waits in the backlog.
                    tracing::warn!(error = %e, "no connection accepted");
                    self.deaf = Some(Some(Instant::now() + FULL_WAIT));
                    self.hear(EventFlags::empty());
                    return;
                }
            }
        }
    }

    fn welcome(&mut self, stream: TcpStream, extended: bool) {
        let _ = stream.set_nodelay(true);
        self.last += 1;
        let id = self.last;
        // Guards against a crowd that has gone before it was let in: it would keep others out.
        let usable = stream.set_nonblocking(true).is_ok() && !matches!(stream.peek(&mut [0]), Ok(0));
        let data = EventData::new_u64(id);
        if !usable
            || epoll::add(&self.common.epoll, &stream, data, EventFlags::IN | EventFlags::RDHUP).is_err()
        {
            return;
        }
        self.common.open.fetch_add(1, Ordering::SeqCst);
        let shared = Arc::new(Shared {
            id,
            stream,
            common: self.common.clone(),
            busy: AtomicUsize::new(0),
            state: Mutex::default(),
        });
        let limit = Instant::now() + FIRST;
        self.limits.insert((limit, id));
        let handle = Handle { shared: shared.clone(), extended };
        self.guests.insert(
            id,
            Guest {
                shared,
                extended,
                frames: FrameReader::default(),
                stage: Stage::Opening,
                at: 0,
                holds: false,
                asked: false,
                took: false,
                limit: Some(limit),
                part: 0,
                done: false,
                waste: 0,
                unwritten: 0,
            },
        );
        let _ = self.messages.send(Message::Accepted(id, handle));
    }

    fn event(&mut self, id: ClientId, flags: EventFlags) {
        let Some(guest) = self.guests.get_mut(&id) else { return };
        let shared = guest.shared.clone();
        let (mut open, paused) = {
            let mut state = shared.state();
            let open = shared.flush(&mut state);
            if flags.contains(EventFlags::OUT) {
                shared.watch(&state, false);
            }
            (open, state.paused)
        };
        // Guards against a client that closes behind bytes that are not read yet: it has gone all the same.
        open &= !flags.intersects(EventFlags::ERR | EventFlags::HUP | EventFlags::RDHUP);
        if guest.done || shared.busy.load(Ordering::SeqCst) & CLOSED != 0 {
            // What has come since the loop closed it is not taken: only the client's own close is waited for.
            if open && flags.contains(EventFlags::IN) {
                match (&shared.stream).read(&mut self.scratch) {
                    Ok(n) => {
                        guest.waste += n;
                        open = n > 0 && guest.waste < LINGER_BYTES;
                        guest.cancels(id, &self.scratch[..n], &self.messages);
                    }
                    Err(e) => open = matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
                }
            }
            if !open {
                self.leave(id);
            }
            return;
        }
        if self.silent && open {
            return;
        }
        if paused && open {
            return;
        }
        if !guest.holds {
            if shared.busy.fetch_add(1, Ordering::SeqCst) & CLOSED != 0 {
                return;
            }
            guest.holds = true;
        }
        let mut next = Next::More;
        if open && flags.contains(EventFlags::IN) {
            match (&shared.stream).read(&mut self.scratch) {
                Ok(0) => open = false,
                Ok(n) => {
                    guest.at = self.clock.now();
                    guest.frames.push(&self.scratch[..n]);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => open = false,
            }
        }
        if open {
            next = guest.advance(id, &self.settings, &self.messages);
        } else {
            // Whoever cancels may close at once: that is no reason not to hear it.
            if let Ok(n) = (&shared.stream).read(&mut self.scratch) {
                guest.cancels(id, &self.scratch[..n], &self.messages);
            }
            guest.tell_gone(id, &self.messages);
        }
        if !open {
            return self.leave(id);
        }
        if matches!(next, Next::Done) {
            return self.give_up(id, WHOLE);
        }
        let rest = guest.frames.buffered().len() + guest.stage.size();
        let part = if rest >= LARGE { rest } else { 0 };
        self.partial = self.partial + part - guest.part;
        guest.part = part;
        if self.partial > self.common.bounds.partial && part > 0 {
            // Guards against many clients that each send a part of something long.
            guest.say_malformed(id, ProtocolError::TooMuchBuffered, &self.messages);
            return self.give_up(id, WHOLE);
        }
        let waiting = matches!(next, Next::Full);
        if guest.frames.buffered().is_empty() && guest.stage.between() {
            guest.frames = FrameReader::default();
            guest.holds = false;
            shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
        let begun = guest.holds && !waiting;
        let limit = match guest.limit {
            _ if waiting => None,
            Some(limit) if !guest.asked || (begun && !guest.took) => Some(limit),
            _ => begun.then(|| Instant::now() + WHOLE),
        };
        guest.took = false;
        if limit != guest.limit {
            guest.limit.map(|old| self.limits.remove(&(old, id)));
            limit.map(|new| self.limits.insert((new, id)));
            guest.limit = limit;
        }
    }

    /// Guards against clients that open and say nothing, or begin something and never end it.
    fn expire(&mut self) {
        while let Some(&(limit, id)) = self.limits.first()
            && limit <= Instant::now()
        {
            self.limits.remove(&(limit, id));
            let Some(guest) = self.guests.get_mut(&id) else { continue };
            guest.limit = None;
            if guest.done {
                let unwritten = guest.shared.state().unwritten();
                // Guards against cutting off a client that takes its answer slowly.
                if unwritten > 0 && unwritten != guest.unwritten && !self.silent {
                    guest.unwritten = unwritten;
                    self.give_up(id, LINGER);
                } else {
                    self.leave(id);
                }
            } else if !self.silent {
                guest.say_malformed(id, ProtocolError::CommandTimeout, &self.messages);
                self.give_up(id, WHOLE);
            }
        }
    }

    /// Reads no more from a client. The connection is closed when the loop drops its end, too.
    fn leave(&mut self, id: ClientId) {
        let Some(guest) = self.guests.remove(&id) else { return };
        let _ = epoll::delete(&self.common.epoll, &guest.shared.stream);
        guest.limit.map(|limit| self.limits.remove(&(limit, id)));
        self.partial -= guest.part;
        guest.shared.state().left = true;
    }
}

impl Stage {
    /// Bytes that have come of a command, in messages that are whole.
    fn size(&self) -> usize {
        if let Stage::Postgres { size, .. } = self { *size } else { 0 }
    }

    /// Nothing of a command has come.
    fn between(&self) -> bool {
        !matches!(self, Stage::Postgres { messages, .. } if !messages.is_empty())
    }
}

impl Guest {
    fn tell_gone(&self, id: ClientId, messages: &Messages) {
        let _ = messages.send(match self.extended {
            true => Message::Extended(id, ClientEvent::Disconnected),
            false => Message::Client(id, ClientEvent::Disconnected),
        });
    }

    fn say_malformed(&self, id: ClientId, why: ProtocolError, messages: &Messages) {
        let _ = messages.send(match self.extended {
            true => Message::Extended(id, ClientEvent::Malformed(why)),
            false => Message::Client(id, ClientEvent::Malformed(why)),
        });
    }

    /// Takes all that has come whole.
    fn advance(&mut self, id: ClientId, settings: &Settings, messages: &Messages) -> Next {
        loop {
            let step = match self.stage {
                Stage::Opening => self.opening(id, messages),
                Stage::Platform => self.query(id, settings, messages),
                Stage::Postgres { .. } => self.batch(id, messages),
            };
            match step {
                Ok(None) => {}
                Ok(Some(next)) => return next,
                Err(why) => {
                    self.say_malformed(id, why, messages);
                    return Next::Done;
                }
            }
        }
    }

    fn opening(
        &mut self,
        id: ClientId,
        messages: &Messages,
    ) -> std::result::Result<Option<Next>, ProtocolError> {
        let Some(opening) = self.frames.next_startup_packet()? else { return Ok(Some(Next::More)) };
        let started = opening == pg::StartupPacket::Startup;
        let last = matches!(opening, pg::StartupPacket::CancelRequest { .. });
        let _ = messages.send(match self.extended {
            true => Message::Extended(id, ClientEvent::Opening(opening)),
            false => Message::Client(id, ClientEvent::Opening(opening)),
        });
        if started {
            self.stage = match self.extended {
                true => Stage::Postgres { messages: Vec::new(), size: 0 },
                false => Stage::Platform,
            };
        }
        Ok(last.then_some(Next::Done))
    }

    /// Guards against a cancel that is not heard because there is no room for its connection, or because that
    /// is closed already: the first bytes of a connection that is not taken may still be one.
    fn cancels(&mut self, id: ClientId, bytes: &[u8], messages: &Messages) {
        if matches!(self.stage, Stage::Opening) && self.waste <= bytes.len() {
            self.frames.push(bytes);
            if let Ok(Some(opening @ pg::StartupPacket::CancelRequest { .. })) =
                self.frames.next_startup_packet()
            {
                let _ = messages.send(match self.extended {
                    true => Message::Extended(id, ClientEvent::Opening(opening)),
                    false => Message::Client(id, ClientEvent::Opening(opening)),
                });
            }
            self.frames = FrameReader::default();
        }
    }

    /// Room for one more command, or the connection is read from no more until there is.
    fn room(&mut self) -> bool {
        let shared = &self.shared;
        let mut state = shared.state();
        let own: usize = state.commands.iter().sum();
        let all = shared.common.held.load(Ordering::SeqCst);
        let room = state.commands.is_empty()
            || (state.commands.len() < AHEAD && own < AHEAD_BYTES && all < shared.common.bounds.held);
        if !room {
            state.paused = true;
            shared.watch(&state, false);
        }
        room
    }

    /// Counts a command before the loop hears of it.
    fn took(&mut self, size: usize) {
        (self.asked, self.took) = (true, true);
        self.shared.state().commands.push_back(size);
        self.shared.common.held.fetch_add(size, Ordering::SeqCst);
        self.shared.busy.fetch_add(1, Ordering::SeqCst);
    }

    fn query(
        &mut self,
        id: ClientId,
        settings: &Settings,
        messages: &Messages,
    ) -> std::result::Result<Option<Next>, ProtocolError> {
        if !self.frames.buffered().is_empty() && !self.room() {
            return Ok(Some(Next::Full));
        }
        let said = match self.frames.next_message()? {
            None => return Ok(Some(Next::More)),
            Some((b'Q', message)) => {
                let (text, _) =
                    pg::split_c_string(pg::message_body(message)).ok_or(ProtocolError::UnterminatedQuery)?;
                if text.len() + 6 != message.len() {
                    return Err(ProtocolError::BytesAfterQuery);
                }
                let query = SimpleQuery {
                    at: self.at,
                    text: text.to_vec(),
                    fields: ParsedQuery::read(text, settings),
                };
                ClientEvent::Command(query)
            }
            Some((b'X', _)) => ClientEvent::Terminate,
            Some((b'P' | b'B' | b'E' | b'D' | b'C' | b'H' | b'S' | b'F', _)) => ClientEvent::Unsupported,
            Some(_) => return Err(ProtocolError::UnknownMessageType),
        };
        let last = !matches!(said, ClientEvent::Command(_));
        if let ClientEvent::Command(query) = &said {
            self.took(query.text.len());
        }
        let _ = messages.send(Message::Client(id, said));
        Ok(last.then_some(Next::Done))
    }

    fn batch(
        &mut self,
        id: ClientId,
        messages: &Messages,
    ) -> std::result::Result<Option<Next>, ProtocolError> {
        if !self.frames.buffered().is_empty() && !self.room() {
            return Ok(Some(Next::Full));
        }
        let Stage::Postgres { messages: parts, size } = &mut self.stage else { return Ok(None) };
        match self.frames.next_message()? {
            None => Ok(Some(Next::More)),
            Some((end @ (b'S' | b'H' | b'Q'), message)) => {
                if end == b'Q' {
                    if !parts.is_empty() {
                        return Err(ProtocolError::QueryWithinBatch);
                    }
                    *size = message.len();
                    parts.push(message.to_vec());
                } else if message.len() != 5 {
                    return Err(ProtocolError::UnexpectedBody);
                }
                let batch = ClientBatch { at: self.at, messages: std::mem::take(parts), end };
                let size = std::mem::take(size);
                self.took(size);
                let _ = messages.send(Message::Extended(id, ClientEvent::Command(batch)));
                Ok(None)
            }
            Some((b'P' | b'B' | b'E' | b'D' | b'C', message)) => {
                *size += message.len();
                if *size > UNIT_BYTES || parts.len() >= UNIT_MESSAGES {
                    return Err(ProtocolError::BatchTooLong);
                }
                parts.push(message.to_vec());
                Ok(None)
            }
            Some((b'X', _)) => {
                let _ = messages.send(Message::Extended(id, ClientEvent::Terminate));
                Ok(Some(Next::Done))
            }
            Some(_) => Err(ProtocolError::UnknownMessageType),
        }
    }
}
