//! Whether a client still waits for the answer to its request.

use super::shared::ConnectionShared;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::sync::Weak;

/// Tells whether a client has closed its connection. It keeps nothing open.
pub struct ClientPresence(Weak<ConnectionShared>);

impl ClientPresence {
    pub(super) fn new(connection: Weak<ConnectionShared>) -> ClientPresence {
        ClientPresence(connection)
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
