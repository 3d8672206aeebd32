//! The reactor: the thread that accepts connections and reads from all of them.

use super::accept_gate::{AcceptGate, AcceptResult, ClientListener};
use super::connection::ClientConnection;
use super::deadlines::Deadlines;
use super::event_barrier::PendingBarriers;
use super::handle::{ClientHandle, ReactorHandle};
use super::queue_place::QueuePlace;
use super::reactor_shared::ReactorShared;
use super::shared::ConnectionShared;
use super::turns::{Task, Turns};
use super::{EventSink, ReactorEvent, ReactorLimits};
use crate::Settings;
use crate::client::ClientId;
use crate::clock::Clock;
use crate::fair_share::{SharedUsedTime, UsedTime};
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

/// The target of the reactor's log lines. Its last part is the message id in syslog. Collectors filter by
/// that id, so the target must not change even if the module is moved.
const LOG_TARGET: &str = "liftrelay::net::client";
/// How long a client may take from connecting to the end of its first command.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long the reactor reads from a connection that the event loop has closed, until the client closes it as
/// well. When the time ends while the client is still reading its answer, it starts again.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The same limit when the process is about to exit.
const SHUTDOWN_LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The most bytes in one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The most connections that are accepted for one event of a listener.
const MAX_ACCEPTS_PER_EVENT: usize = 16;
/// The most events that one call of `epoll_wait` returns, besides one of each connection.
const OTHER_EVENTS: usize = 64;
/// Added to each wait, because a wait that ends just before a deadline finds nothing to do.
const WAIT_MARGIN: Duration = Duration::from_millis(1);

/// The delay before the events of a connection are requested again after that has failed.
const INTEREST_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The epoll token of the waker. The tokens of the listeners follow it.
const WAKER_TOKEN: u64 = 0;
/// All client ids are greater than this, and all listener tokens are less. The epoll token of a client
/// connection is its client id.
const CLIENT_ID_BASE: ClientId = 16;

/// The thread that accepts client connections and reads from them.
pub struct ClientReactor {
    pub(super) shared: Arc<ReactorShared>,
    wake_receiver: UnixStream,
    accept_gate: AcceptGate,
    pub(super) connections: HashMap<ClientId, ClientConnection>,
    pub(super) deadlines: Deadlines,
    last_id: ClientId,
    pub(super) read_buffer: Vec<u8>,
    /// The bytes of incomplete commands, over all connections; small ones are not counted.
    pub(super) incomplete_command_bytes: usize,
    /// Connections that the event loop has closed and that may still linger, in the order of their close.
    lingering: VecDeque<ClientId>,
    /// Connections whose events could not be requested.
    interest_failed: Vec<ClientId>,
    /// When the events of `interest_failed` may be requested again.
    interest_retry_at: Option<Instant>,
    barriers: PendingBarriers,
    pub(super) turns: Turns,
    /// Whether the event loop has been notified that reading has stopped.
    pub(super) reading_stopped: bool,
    pub(super) clock: Clock,
    pub(super) settings: Arc<Settings>,
    pub(super) events: EventSink,
    /// Dropped when the thread ends, which disconnects the event loop's receiver.
    alive: Option<Sender<()>>,
}

impl ClientReactor {
    /// Creates the reactor, which [`ClientReactor::run`] runs, and its handle. `alive` is dropped when the
    /// last connection has closed after a shutdown.
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
            last_id: CLIENT_ID_BASE,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            incomplete_command_bytes: 0,
            lingering: VecDeque::new(),
            interest_failed: Vec::new(),
            interest_retry_at: None,
            barriers: PendingBarriers::default(),
            turns: Turns::default(),
            reading_stopped: false,
            clock,
            settings,
            events,
            alive: Some(alive),
        };
        Ok((reactor, handle))
    }

    /// Runs until a shutdown has been requested and the last connection has closed.
    pub fn run(mut self) {
        let mut ready = Vec::with_capacity(self.shared.limits.max_connections + OTHER_EVENTS);
        loop {
            let shutting_down = self.shared.shutdown_requested.load(Ordering::SeqCst);
            if shutting_down && self.connections.is_empty() {
                drop(self.alive.take());
                return;
            }
            self.start_lingering(shutting_down);
            self.apply_stop_requests();
            self.retry_interest();
            self.barriers.add(self.shared.take_requested_barriers());
            let timeout = self.wait_timeout();
            let space = rustix::buffer::spare_capacity(&mut ready);
            if epoll::wait(&self.shared.epoll, space, timeout.as_ref()).is_err() {
                ready.clear();
            }
            let tasks = self.take_tasks(ready.drain(..));
            let nothing_was_ready = tasks.iter().all(|(_, task)| matches!(task, Task::DrainWaker));
            self.do_tasks(tasks);
            self.barriers.finish_round(nothing_was_ready, &self.events);
            self.expire_deadlines();
            self.accept_gate.resume_if_due(&self.shared);
        }
    }

    /// Requests events again for the connections for which that has failed, at most once per
    /// [`INTEREST_RETRY_DELAY`].
    fn retry_interest(&mut self) {
        self.interest_failed.extend(self.shared.take_interest_failed());
        let is_due = self.interest_retry_at.is_none_or(|at| at <= Instant::now());
        if self.interest_failed.is_empty() || !is_due {
            return;
        }
        self.interest_retry_at = Some(Instant::now() + INTEREST_RETRY_DELAY);
        for id in std::mem::take(&mut self.interest_failed) {
            if let Some(connection) = self.connections.get(&id) {
                connection.shared.retry_interest();
            }
        }
        self.interest_failed.extend(self.shared.take_interest_failed());
    }

    /// The tasks of a round, in the order of the time that connections have used. Accepting comes first, and
    /// has its part by [`MAX_ACCEPTS_PER_EVENT`]: whoever connects would wait for everyone else otherwise.
    fn take_tasks(&mut self, ready: impl Iterator<Item = Event>) -> Vec<(UsedTime, Task)> {
        let ready = ready.map(|event| match event.data.u64() {
            WAKER_TOKEN => Task::DrainWaker,
            token if token < CLIENT_ID_BASE => Task::Accept(AcceptGate::listener_index(token)),
            id => Task::Handle(id, event.flags),
        });
        let continued = self.turns.take_continued().into_iter().map(Task::Continue);
        let with_position = |task| {
            let used = used_time(task, &self.connections);
            (used.map_or_else(UsedTime::default, |used| self.turns.position(used)), task)
        };
        let mut tasks: Vec<_> = ready.chain(continued).map(with_position).collect();
        tasks.sort_by_key(|(position, _)| *position);
        tasks
    }

    /// Does the tasks of a round until its time is over. `epoll` reports again what is left. While a barrier
    /// is pending, all tasks are done, because it follows what had arrived.
    fn do_tasks(&mut self, tasks: Vec<(UsedTime, Task)>) {
        let mut round = self.turns.begin_round();
        for (position, task) in tasks {
            match task {
                Task::Continue(id) if round.is_over() && self.barriers.is_empty() => {
                    self.turns.continue_later(id);
                    continue;
                }
                Task::Handle(..) if round.is_over() && self.barriers.is_empty() => continue,
                Task::DrainWaker => self.drain_waker(),
                Task::Accept(listener) => self.accept_waiting(listener),
                Task::Handle(id, flags) => self.handle_readiness(id, flags),
                Task::Continue(id) => self.continue_parsing(id),
            }
            let used = used_time(task, &self.connections);
            self.turns.end_turn(&mut round, position, used);
        }
    }

    fn drain_waker(&self) {
        while matches!((&self.wake_receiver).read(&mut [0; 64]), Ok(length) if length > 0) {}
    }

    /// How long to wait for events: until the next deadline or retry is due, or without a limit if none is.
    /// While a barrier is pending, the wait is zero, so that only events that are already ready are returned.
    fn wait_timeout(&self) -> Option<Timespec> {
        if !self.barriers.is_empty() || self.turns.has_continued() {
            return Some(Timespec { tv_sec: 0, tv_nsec: 0 });
        }
        let interest_retry = self.interest_retry_at.filter(|_| !self.interest_failed.is_empty());
        let due_times = [self.deadlines.next(), self.accept_gate.next_due(), interest_retry];
        let due = due_times.into_iter().flatten().min()?;
        let wait = due.saturating_duration_since(Instant::now()) + WAIT_MARGIN;
        Some(Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: wait.subsec_nanos().into() })
    }

    /// Starts the linger time of the connections that the event loop has closed, in which their input is
    /// discarded until their clients close them as well. On shutdown, does this for all connections.
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

    /// Reads what has arrived, stops reading, and notifies the event loop that no further commands will be
    /// reported. Without the last read, commands that wait unparsed or unread behind others would get no
    /// answer.
    fn stop_reading(&mut self) {
        if !self.shared.stop_accepting_requested.load(Ordering::SeqCst) {
            self.accept_backlog();
        }
        self.read_arrived_input();
        self.reading_stopped = true;
        for connection in self.connections.values().filter(|connection| !connection.closing) {
            connection.shared.set_reading_paused(true);
        }
        (self.events)(ReactorEvent::ReadingStopped);
    }

    /// Accepts the connections that wait at the listeners, which are then closed.
    fn accept_backlog(&mut self) {
        for index in 0..self.accept_gate.listener_count() {
            let mut open_before = None;
            while open_before != Some(self.last_id) {
                open_before = Some(self.last_id);
                self.accept_waiting(index);
            }
        }
    }

    /// Accepts connections that wait at a listener, up to [`MAX_ACCEPTS_PER_EVENT`].
    fn accept_waiting(&mut self, listener_index: usize) {
        if self.accept_gate.is_paused() {
            return self.accept_gate.ignore_events(&self.shared.epoll);
        }
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

    /// Ensures that there is capacity for another connection, by closing a lingering one if necessary. If
    /// that fails, pauses accepting and returns `false`.
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

    /// Closes the connection that has lingered longest, to free its descriptor; `false` if none lingers.
    /// Connections whose answers have been written completely are closed before the others.
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
        // Clients that have already disconnected are not reported: in a burst of them, they would use the
        // capacity of clients that are still connected.
        if matches!(stream.peek(&mut [0]), Ok(0)) {
            return;
        }
        self.shared.open_connections.fetch_add(1, Ordering::SeqCst);
        let shared = Arc::new(ConnectionShared::new(id, stream, self.shared.clone()));
        let handle = ClientHandle { shared: shared.clone(), extended };
        let deadline = Instant::now() + FIRST_COMMAND_TIMEOUT;
        self.deadlines.replace(id, None, Some(deadline));
        self.connections.insert(id, ClientConnection::new(shared.clone(), extended, deadline));
        (self.events)(ReactorEvent::Accepted(id, handle, QueuePlace::take(&shared)));
        shared.update_interest(&mut shared.state(), false);
    }
}

/// The time that the connection of a task has used; `None` for a task of no connection.
fn used_time(task: Task, connections: &HashMap<ClientId, ClientConnection>) -> Option<&SharedUsedTime> {
    match task {
        Task::DrainWaker | Task::Accept(_) => None,
        Task::Handle(id, _) | Task::Continue(id) => {
            connections.get(&id).map(|connection| &connection.used_time)
        }
    }
}
