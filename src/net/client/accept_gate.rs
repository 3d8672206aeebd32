//! The listeners for clients, and the state in which they accept connections or pause.

use super::reactor_shared::ReactorShared;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{SocketFlags, accept_with};
use std::io::Result;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// The epoll token of the first listener; each further listener has the next higher token.
const FIRST_LISTENER_TOKEN: u64 = 1;
/// The delay before accepting is retried when no descriptor is free, and before a listener is watched again
/// when that has failed.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A socket that clients connect to.
pub struct ClientListener {
    /// The listening socket.
    pub listener: TcpListener,
    /// Whether its connections use the extended query protocol.
    pub extended: bool,
}

/// Whether connections are accepted.
#[derive(Clone, Copy)]
enum AcceptState {
    /// Connections are accepted.
    Accepting,
    /// The limit on open connections was reached; accepting resumes when a connection has closed.
    PausedAtConnectionLimit,
    /// The process had no free descriptor; accepting resumes at this time.
    PausedUntil(Instant),
}

/// The result of an attempt to accept.
pub(super) enum AcceptResult {
    /// A new connection.
    Accepted {
        /// The socket of the connection, which is non-blocking.
        stream: TcpStream,
        /// Whether the connection uses the extended query protocol.
        extended: bool,
    },
    /// No connection is waiting.
    NoneWaiting,
    /// The attempt failed, but the next one may succeed.
    Retry,
    /// No descriptor is free, or the system lacks memory.
    Exhausted(std::io::Error),
}

/// The listeners for clients. They are watched while connections may be accepted.
pub(super) struct AcceptGate {
    listeners: Vec<ClientListener>,
    state: AcceptState,
    /// When the listeners are watched again after that has failed for one of them.
    watch_retry_at: Option<Instant>,
}

impl AcceptGate {
    /// Starts to watch the listeners.
    pub(super) fn open(listeners: Vec<ClientListener>, epoll: &OwnedFd) -> Result<AcceptGate> {
        for (index, ClientListener { listener, .. }) in listeners.iter().enumerate() {
            listener.set_nonblocking(true)?;
            epoll::add(epoll, listener, listener_token(index), EventFlags::IN)?;
        }
        Ok(AcceptGate { listeners, state: AcceptState::Accepting, watch_retry_at: None })
    }

    /// The index of the listener with this epoll token.
    pub(super) fn listener_index(token: u64) -> usize {
        (token - FIRST_LISTENER_TOKEN) as usize
    }

    pub(super) fn listener_count(&self) -> usize {
        self.listeners.len()
    }

    pub(super) fn is_paused(&self) -> bool {
        !matches!(self.state, AcceptState::Accepting)
    }

    /// The next time at which [`AcceptGate::resume_if_due`] must be called. Accepting that is paused at the
    /// connection limit resumes without a time.
    pub(super) fn next_due(&self) -> Option<Instant> {
        match self.state {
            AcceptState::PausedUntil(until) => Some(until),
            AcceptState::Accepting => self.watch_retry_at,
            AcceptState::PausedAtConnectionLimit => None,
        }
    }

    /// Stops accepting permanently, and closes the listeners.
    pub(super) fn close(&mut self, epoll: &OwnedFd) {
        for ClientListener { listener, .. } in std::mem::take(&mut self.listeners) {
            let _ = epoll::delete(epoll, &listener);
        }
    }

    /// Pauses accepting until a connection has closed; new connections wait in the listener's backlog.
    /// Without the limit, a burst of connections could use all descriptors of the process.
    pub(super) fn pause_at_connection_limit(&mut self, shared: &ReactorShared) {
        self.pause(AcceptState::PausedAtConnectionLimit, &shared.epoll);
    }

    /// Pauses accepting for [`DESCRIPTOR_RETRY_DELAY`] because no descriptor is free; new connections wait in
    /// the listener's backlog.
    pub(super) fn pause_for_descriptors(&mut self, shared: &ReactorShared) {
        self.pause(AcceptState::PausedUntil(Instant::now() + DESCRIPTOR_RETRY_DELAY), &shared.epoll);
    }

    /// Requests no events of the listeners while accepting is paused. If that fails, the reactor calls this
    /// method again at the next event of a listener.
    pub(super) fn ignore_events(&self, epoll: &OwnedFd) {
        let _ = self.watch(epoll, EventFlags::empty());
    }

    fn pause(&mut self, state: AcceptState, epoll: &OwnedFd) {
        self.state = state;
        self.ignore_events(epoll);
    }

    /// Resumes accepting if the pause is over and there is capacity. If a listener can't be watched because
    /// of an error of this machine, the call is retried after [`DESCRIPTOR_RETRY_DELAY`]; otherwise no
    /// connection of that listener would ever be accepted again.
    pub(super) fn resume_if_due(&mut self, shared: &ReactorShared) {
        let is_due = self.next_due().is_none_or(|due| due <= Instant::now());
        let has_capacity = !self.is_paused() || !shared.is_full();
        let wants_watch = self.is_paused() || self.watch_retry_at.is_some();
        if wants_watch && is_due && has_capacity {
            self.state = AcceptState::Accepting;
            let all_watched = self.watch(&shared.epoll, EventFlags::IN);
            self.watch_retry_at = (!all_watched).then(|| Instant::now() + DESCRIPTOR_RETRY_DELAY);
        }
    }

    /// Tries to accept one connection.
    pub(super) fn accept(&self, listener_index: usize) -> AcceptResult {
        let Some(ClientListener { listener, extended }) = self.listeners.get(listener_index) else {
            return AcceptResult::NoneWaiting;
        };
        // The socket is non-blocking from the start. A separate call for that could fail, and the connection
        // would be dropped before anything was read from it.
        match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => AcceptResult::Accepted { stream: socket.into(), extended: *extended },
            Err(Errno::AGAIN) => AcceptResult::NoneWaiting,
            Err(errno @ (Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)) => {
                AcceptResult::Exhausted(errno.into())
            }
            // For example, the connection failed while it waited: the next one may be accepted.
            Err(_) => AcceptResult::Retry,
        }
    }

    /// Requests these events of all listeners; `false` if that failed for one of them.
    fn watch(&self, epoll: &OwnedFd, flags: EventFlags) -> bool {
        let mut all_watched = true;
        for (index, ClientListener { listener, .. }) in self.listeners.iter().enumerate() {
            all_watched &= epoll::modify(epoll, listener, listener_token(index), flags).is_ok();
        }
        all_watched
    }
}

fn listener_token(index: usize) -> EventData {
    EventData::new_u64(FIRST_LISTENER_TOKEN + index as u64)
}
