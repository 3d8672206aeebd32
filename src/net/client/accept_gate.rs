//! The listeners, and whether they accept connections at present.

use super::shared::ReactorShared;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::io::Errno;
use rustix::net::{SocketFlags, accept_with};
use std::io::Result;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// The epoll token of the first listener; those of the others follow it.
const FIRST_LISTENER_TOKEN: u64 = 1;
/// The delay before the next attempt to accept when there is no free descriptor.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A socket that clients connect to.
pub struct ClientListener {
    /// The socket.
    pub listener: TcpListener,
    /// Its connections speak the extended query protocol.
    pub extended: bool,
}

/// Whether connections are accepted.
#[derive(Clone, Copy)]
enum AcceptState {
    /// The listeners are watched.
    Accepting,
    /// The limit on open connections is reached.
    PausedAtConnectionLimit,
    /// The process had no free descriptor; the next attempt is at this time.
    PausedUntil(Instant),
}

/// The result of an attempt to accept.
pub(super) enum AcceptResult {
    /// A new connection.
    Accepted {
        /// Its socket.
        stream: TcpStream,
        /// It speaks the extended query protocol.
        extended: bool,
    },
    /// No connection is waiting.
    NoneWaiting,
    /// The attempt failed for a reason that does not concern the next one.
    Retry,
    /// There is no descriptor, or another resource is missing.
    Exhausted(std::io::Error),
}

/// The listeners, watched while connections may be accepted.
pub(super) struct AcceptGate {
    listeners: Vec<ClientListener>,
    state: AcceptState,
    /// When a listener that could not be watched again is tried once more.
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

    /// The listener of an epoll token.
    pub(super) fn listener_index(token: u64) -> usize {
        (token - FIRST_LISTENER_TOKEN) as usize
    }

    pub(super) fn is_paused(&self) -> bool {
        !matches!(self.state, AcceptState::Accepting)
    }

    /// When [`AcceptGate::resume_if_due`] has something to do.
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

    /// Accepts nothing until a connection has closed. Guards against a burst of connections that uses all
    /// descriptors: they wait in the backlog.
    pub(super) fn pause_at_connection_limit(&mut self, shared: &ReactorShared) {
        self.pause(AcceptState::PausedAtConnectionLimit, &shared.epoll);
    }

    /// Accepts nothing for a short while. Guards against a full descriptor table: the connection waits in
    /// the backlog.
    pub(super) fn pause_for_descriptors(&mut self, shared: &ReactorShared) {
        self.pause(AcceptState::PausedUntil(Instant::now() + DESCRIPTOR_RETRY_DELAY), &shared.epoll);
    }

    /// Asks for no events while accepting is paused; where that fails, it is called again with the next
    /// event.
    pub(super) fn ignore_events(&self, epoll: &OwnedFd) {
        let _ = self.watch(epoll, EventFlags::empty());
    }

    fn pause(&mut self, state: AcceptState, epoll: &OwnedFd) {
        self.state = state;
        self.ignore_events(epoll);
    }

    /// Accepts connections again if there is capacity and the pause is over. Guards against a listener that
    /// is never watched again, as an error of this machine came between.
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
        // Non-blocking from the start: no further call could fail and drop a connection that is not read yet.
        match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => AcceptResult::Accepted { stream: socket.into(), extended: *extended },
            Err(Errno::AGAIN) => AcceptResult::NoneWaiting,
            Err(errno @ (Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)) => {
                AcceptResult::Exhausted(errno.into())
            }
            // The connection that waited has failed: the next one may not.
            Err(_) => AcceptResult::Retry,
        }
    }

    /// Watches all listeners for these events; `false` if one of them could not be.
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
