//! The state that the reactor thread and the event loop share for all clients together.

use super::ReactorLimits;
use super::event_barrier::EventBarrier;
use super::hold::HoldTotals;
use crate::client::ClientId;
use crossbeam_channel::{Receiver, bounded};
use std::convert::Infallible;
use std::io::{ErrorKind, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

/// The state that the reactor thread and the event loop share for all clients together.
pub(super) struct ReactorShared {
    pub(super) epoll: OwnedFd,
    pub(super) waker: UnixStream,
    pub(super) limits: ReactorLimits,
    pub(super) unwritten_bytes: AtomicUsize,
    pub(super) open_connections: AtomicUsize,
    /// Whether accepting is paused at the connection limit, so that the reactor must be woken when a
    /// connection has closed.
    pub(super) at_connection_limit: AtomicBool,
    pub(super) holds: HoldTotals,
    pub(super) shutdown_requested: AtomicBool,
    /// Whether the reactor is to stop accepting, because another process accepts from the same socket.
    pub(super) stop_accepting_requested: AtomicBool,
    /// Whether the reactor is to stop reading and accepting.
    pub(super) stop_reading_requested: AtomicBool,
    /// Connections that the event loop has closed, until the reactor takes them.
    closed: Mutex<Vec<ClientId>>,
    /// Connections whose events could not be requested, until the reactor takes them to retry.
    interest_failed: Mutex<Vec<ClientId>>,
    /// Barriers that have been requested, until the reactor takes them.
    requested_barriers: Mutex<Vec<EventBarrier>>,
}

impl ReactorShared {
    pub(super) fn new(epoll: OwnedFd, waker: UnixStream, limits: ReactorLimits) -> ReactorShared {
        ReactorShared {
            epoll,
            waker,
            limits,
            unwritten_bytes: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            at_connection_limit: AtomicBool::new(false),
            holds: HoldTotals::default(),
            shutdown_requested: AtomicBool::new(false),
            stop_accepting_requested: AtomicBool::new(false),
            stop_reading_requested: AtomicBool::new(false),
            closed: Mutex::default(),
            interest_failed: Mutex::default(),
            requested_barriers: Mutex::default(),
        }
    }

    /// Wakes the reactor thread.
    pub(super) fn wake(&self) {
        while (&self.waker).write(&[0]).is_err_and(|error| error.kind() == ErrorKind::Interrupted) {}
    }

    /// Requests a barrier behind the client events that have arrived. The returned receiver is disconnected
    /// once the event loop has handled them.
    pub(super) fn request_barrier(&self) -> Receiver<Infallible> {
        let (released, barrier) = bounded(0);
        self.requested_barriers().push(EventBarrier::new(released));
        self.wake();
        barrier
    }

    /// Removes and returns the requested barriers.
    pub(super) fn take_requested_barriers(&self) -> Vec<EventBarrier> {
        std::mem::take(&mut *self.requested_barriers())
    }

    fn requested_barriers(&self) -> MutexGuard<'_, Vec<EventBarrier>> {
        self.requested_barriers.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether the event loop has requested that reading stops.
    pub(super) fn is_reading_stopped(&self) -> bool {
        self.stop_reading_requested.load(Ordering::SeqCst)
    }

    /// Whether the limit on open connections is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open_connections.load(Ordering::SeqCst) >= self.limits.max_connections
    }

    /// Records a connection that the event loop has closed.
    pub(super) fn push_closed(&self, id: ClientId) {
        self.closed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(id);
    }

    /// Records a connection whose events could not be requested.
    pub(super) fn push_interest_failed(&self, id: ClientId) {
        self.interest_failed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(id);
        self.wake();
    }

    /// Removes and returns the connections whose events could not be requested.
    pub(super) fn take_interest_failed(&self) -> Vec<ClientId> {
        std::mem::take(&mut *self.interest_failed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Removes and returns the connections that the event loop has closed.
    pub(super) fn take_closed(&self) -> Vec<ClientId> {
        std::mem::take(&mut *self.closed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
