//! Checks whether a client is still connected, so that nothing is sent for a client that has disconnected.

use super::shared::ConnectionShared;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::Weak;
use std::time::Duration;

/// A weak reference to a client connection that checks whether the client has closed it. The reference does
/// not keep the connection open.
pub struct ClientPresence(Weak<ConnectionShared>);

impl ClientPresence {
    pub(super) fn new(connection: Weak<ConnectionShared>) -> ClientPresence {
        ClientPresence(connection)
    }

    /// Waits until the event loop has handled all events that have arrived from clients, such as cancel
    /// requests, but no longer than `timeout`.
    pub fn await_arrived_events(&self, timeout: Duration) {
        let Some(connection) = self.0.upgrade() else { return };
        let barrier = connection.reactor.request_barrier();
        drop(connection);
        // Nothing is ever sent: the channel is disconnected when the event loop drops the barrier.
        let _ = barrier.recv_timeout(timeout);
    }

    /// Whether the client has closed its connection. Queries the socket, so a close is found even if the
    /// reactor has not handled it yet or unread bytes precede it.
    pub fn has_disconnected(&self) -> bool {
        let Some(connection) = self.0.upgrade() else { return true };
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&connection.stream, PollFlags::RDHUP)];
        let zero_timeout = Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = poll(&mut descriptors, Some(&zero_timeout));
        polled.is_ok() && descriptors[0].revents().intersects(closed)
    }
}
