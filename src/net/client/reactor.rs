//! The reactor: the thread that accepts connections and reads from all of them.

use super::accept_gate::{AcceptGate, AcceptResult, ClientListener};
use super::connection::ClientConnection;
use super::deadlines::Deadlines;
use super::event_barrier::PendingBarriers;
use super::handle::{ClientHandle, ReactorHandle};
use super::shared::{ConnectionShared, ReactorShared};
use super::{EventSink, ReactorEvent, ReactorLimits};
use crate::Settings;
use crate::client::ClientId;
use crate::clock::Clock;
use crossbeam_channel::Sender;
use rustix::event::Timespec;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Result};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The target of the reactor's log lines. Its last part is the message id in syslog, which collectors filter
/// by: it stays as it is wherever the code moves.
const LOG_TARGET: &str = "liftrelay::net::client";
/// The time limit for a client's first complete command.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2200);
/// A connection that is closed is read from until its client closes it as well, for this long at most; at the
/// exit of the process, for less.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
const SHUTDOWN_LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The most bytes in one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The most connections accepted in one round.
const MAX_ACCEPTS_PER_EVENT: usize = 16;
/// The most events in one poll.
const EVENT_CAPACITY: usize = 64;
/// Added to each wait. Guards against waking just before a deadline.
const WAIT_MARGIN: Duration = Duration::from_millis(1);

/// The epoll token of the waker. Those of the listeners follow it.
const WAKER_TOKEN: u64 = 0;
/// The first client id; a client's epoll token is its id.
const FIRST_CLIENT: ClientId = 16;

/// The thread that accepts and reads.
pub struct ClientReactor {
    pub(super) shared: Arc<ReactorShared>,
    wake_receiver: UnixStream,
    accept_gate: AcceptGate,
    pub(super) connections: HashMap<ClientId, ClientConnection>,
    pub(super) deadlines: Deadlines,
    last_id: ClientId,
    pub(super) read_buffer: Vec<u8>,
    /// The total of all incomplete messages.
    pub(super) incomplete_message_bytes: usize,
    /// Connections that the event loop has closed and that may linger, the oldest first.
    lingering: VecDeque<ClientId>,
    barriers: PendingBarriers,
    /// Whether the event loop has been notified that reading has stopped.
    pub(super) reading_stopped: bool,
    pub(super) clock: Clock,
    pub(super) settings: Arc<Settings>,
    pub(super) events: EventSink,
    /// Held until the thread ends.
    alive: Option<Sender<()>>,
}

impl ClientReactor {
    /// Prepares the thread. `alive` is dropped when the last connection has closed after a shutdown.
    pub fn new(
        listeners: Vec<ClientListener>,
        limits: ReactorLimits,
        settings: Arc<Settings>,
        clock: Clock,
        events: EventSink,
        alive: Sender<()>,
    ) -> Result<(ClientReactor, ReactorHandle)> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (waker, wake_receiver) = UnixStream::pair()?;
        waker.set_nonblocking(true)?;
        wake_receiver.set_nonblocking(true)?;
        epoll::add(&epoll, &wake_receiver, EventData::new_u64(WAKER_TOKEN), EventFlags::IN)?;
        let accept_gate = AcceptGate::open(listeners, &epoll)?;
        let shared = Arc::new(ReactorShared::new(epoll, waker, limits));
        let handle = ReactorHandle(shared.clone());
        let reactor = ClientReactor {
            shared,
            wake_receiver,
            accept_gate,
            connections: HashMap::new(),
            deadlines: Deadlines::default(),
            last_id: FIRST_CLIENT,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            incomplete_message_bytes: 0,
            lingering: VecDeque::new(),
            barriers: PendingBarriers::default(),
            reading_stopped: false,
            clock,
            settings,
            events,
            alive: Some(alive),
        };
        Ok((reactor, handle))
    }

    /// Runs until it is shut down and the last connection has closed.
    pub fn run(mut self) {
        let mut ready = Vec::with_capacity(EVENT_CAPACITY);
        loop {
            let shutting_down = self.shared.shutdown_requested.load(Ordering::SeqCst);
            if shutting_down && self.connections.is_empty() {
                drop(self.alive.take());
                return;
            }
            self.start_lingering(shutting_down);
            self.apply_stop_requests();
            self.barriers.add(self.shared.take_requested_barriers());
            let timeout = self.wait_timeout();
            let space = rustix::buffer::spare_capacity(&mut ready);
            if epoll::wait(&self.shared.epoll, space, timeout.as_ref()).is_err() {
                ready.clear();
            }
            let nothing_was_ready = ready.iter().all(|event: &Event| event.data.u64() == WAKER_TOKEN);
            for event in ready.drain(..) {
                self.handle_event(event);
            }
            self.barriers.finish_round(nothing_was_ready, &self.events);
            self.expire_deadlines();
            self.accept_gate.resume_if_due(&self.shared);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event.data.u64() {
            WAKER_TOKEN => self.drain_waker(),
            token if token < FIRST_CLIENT => self.accept_waiting(AcceptGate::listener_index(token)),
            id => self.handle_readiness(id, event.flags),
        }
    }

    fn drain_waker(&self) {
        while matches!((&self.wake_receiver).read(&mut [0; 64]), Ok(length) if length > 0) {}
    }

    /// How long to wait for events: until the next deadline, or until connections are accepted again; not at
    /// all while a barrier waits for what is ready.
    fn wait_timeout(&self) -> Option<Timespec> {
        if !self.barriers.is_empty() {
            return Some(Timespec { tv_sec: 0, tv_nsec: 0 });
        }
        let due_times = [self.deadlines.next(), self.accept_gate.paused_until()];
        let due = due_times.into_iter().flatten().min()?;
        let wait = due.saturating_duration_since(Instant::now()) + WAIT_MARGIN;
        Some(Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: wait.subsec_nanos().into() })
    }

    /// Processes the connections that the event loop has closed: from then on only the client's own close is
    /// awaited. At the exit of the process, this applies to all connections.
    fn start_lingering(&mut self, shutting_down: bool) {
        let closed = self.shared.take_closed();
        while self.lingering.front().is_some_and(|id| !self.connections.contains_key(id)) {
            self.lingering.pop_front();
        }
        for id in closed {
            if self.connections.contains_key(&id) {
                self.lingering.push_back(id);
                self.start_closing(id, LINGER_TIMEOUT);
            }
        }
        if shutting_down {
            let ids: Vec<ClientId> = self.connections.keys().copied().collect();
            for id in ids {
                self.start_closing(id, SHUTDOWN_LINGER_TIMEOUT);
            }
        }
    }

    /// Stops reading or accepting if the event loop has requested it.
    fn apply_stop_requests(&mut self) {
        if self.shared.stop_reading_requested.load(Ordering::SeqCst) && !self.reading_stopped {
            self.stop_reading();
        }
        if self.reading_stopped || self.shared.stop_accepting_requested.load(Ordering::SeqCst) {
            self.accept_gate.close(&self.shared.epoll);
        }
    }

    /// Stops reading, and notifies the event loop: no further commands will be reported.
    fn stop_reading(&mut self) {
        self.reading_stopped = true;
        for connection in self.connections.values().filter(|connection| !connection.closing) {
            connection.shared.set_reading_paused(true);
        }
        (self.events)(ReactorEvent::ReadingStopped);
    }

    /// Accepts waiting connections of a listener.
    fn accept_waiting(&mut self, listener_index: usize) {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            if self.accept_gate.is_paused() || !self.ensure_capacity() {
                return;
            }
            match self.accept_gate.accept(listener_index) {
                AcceptResult::Accepted { stream, extended } => self.register_connection(stream, extended),
                AcceptResult::NoneWaiting => return,
                AcceptResult::Retry => {}
                AcceptResult::Exhausted(_) if self.close_oldest_lingering() => {}
                AcceptResult::Exhausted(error) => {
                    tracing::warn!(target: LOG_TARGET, %error, "no connection accepted");
                    self.accept_gate.pause_for_descriptors(&self.shared);
                    return;
                }
            }
        }
    }

    /// Frees capacity for another connection, or pauses accepting; `false` if there is none.
    fn ensure_capacity(&mut self) -> bool {
        if !self.shared.is_full() {
            return true;
        }
        if self.close_oldest_lingering() && !self.shared.is_full() {
            return true;
        }
        self.shared.at_connection_limit.store(true, Ordering::SeqCst);
        self.accept_gate.pause_at_connection_limit(&self.shared);
        false
    }

    /// Closes the connection that has lingered longest, to free its descriptor; `false` if there is
    /// none. Those that have not received their complete answer come last.
    fn close_oldest_lingering(&mut self) -> bool {
        self.lingering.retain(|id| self.connections.contains_key(id));
        let is_written =
            |id: &ClientId| self.connections[id].shared.state().write_buffer.unwritten_bytes() == 0;
        let index = self.lingering.iter().position(is_written).unwrap_or(0);
        let Some(id) = self.lingering.remove(index) else { return false };
        self.remove_connection(id);
        true
    }

    /// Starts reading from a new connection, and reports it.
    fn register_connection(&mut self, stream: TcpStream, extended: bool) {
        let _ = stream.set_nodelay(true);
        self.last_id += 1;
        let id = self.last_id;
        // Guards against a burst of clients that have already disconnected: they would keep others out.
        let usable = stream.set_nonblocking(true).is_ok() && !matches!(stream.peek(&mut [0]), Ok(0));
        if !usable {
            return;
        }
        let flags = EventFlags::IN | EventFlags::RDHUP;
        if epoll::add(&self.shared.epoll, &stream, EventData::new_u64(id), flags).is_err() {
            return;
        }
        self.shared.open_connections.fetch_add(1, Ordering::SeqCst);
        let shared = Arc::new(ConnectionShared::new(id, stream, self.shared.clone()));
        let handle = ClientHandle { shared: shared.clone(), extended };
        let deadline = Instant::now() + FIRST_COMMAND_TIMEOUT;
        self.deadlines.replace(id, None, Some(deadline));
        self.connections.insert(id, ClientConnection::new(shared, extended, deadline));
        (self.events)(ReactorEvent::Accepted(id, handle));
    }
}
