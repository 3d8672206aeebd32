//! Whether a client still waits for the answer to its request.

use super::shared::ConnectionShared;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::Weak;
use std::time::Duration;

/// Tells whether a client has closed its connection. It keeps nothing open.
pub struct ClientPresence(Weak<ConnectionShared>);

impl ClientPresence {
    pub(super) fn new(connection: Weak<ConnectionShared>) -> ClientPresence {
        ClientPresence(connection)
    }

    /// Waits until everything that has arrived from clients so far is handled, a cancel request among it, for
    /// this long at most.
    pub fn await_arrived_events(&self, timeout: Duration) {
        let Some(connection) = self.0.upgrade() else { return };
        let barrier = connection.reactor.request_barrier();
        drop(connection);
        // Nothing is ever sent: the barrier is dropped when it has been handled.
        let _ = barrier.recv_timeout(timeout);
    }

    /// Whether the client has closed its connection, also behind bytes that are not read yet, and though the
    /// reactor may not have seen it.
    pub fn has_left(&self) -> bool {
        let Some(connection) = self.0.upgrade() else { return true };
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&connection.stream, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let polled = poll(&mut descriptors, Some(&at_once));
        polled.is_ok() && descriptors[0].revents().intersects(closed)
    }
}
