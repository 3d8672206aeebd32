//! The event loop's handles: one for each client connection, and one for the reactor.

use super::hold::{HoldCounts, HoldReason};
use super::presence::ClientPresence;
use super::reactor_shared::ReactorShared;
use super::shared::{CLOSED, ConnectionShared};
use super::write_buffer::{Added, MAX_WAITING_ANSWERS, WriteLimits};
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The event loop's handle of a client connection. Dropping the handle closes the connection after all
/// answers have been written.
pub struct ClientHandle {
    pub(super) shared: Arc<ConnectionShared>,
    /// Whether the connection was accepted on the listener for extended queries.
    pub extended: bool,
}

impl ClientHandle {
    /// Writes an answer to the socket, or queues it; `false` if the limits on waiting answers are exceeded or
    /// the socket can't be written to any more. A first answer may exceed the limits by what the socket has
    /// not accepted, unless the client then exceeds its part of the memory.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        let shared = &self.shared;
        let reactor = &shared.reactor;
        let mut state = shared.state();
        // Before the process exits, the reactor reads more commands than may be answered otherwise.
        let max_answers = if reactor.is_reading_stopped() { usize::MAX } else { MAX_WAITING_ANSWERS };
        let limits = WriteLimits { max_answers, max_total_bytes: reactor.limits.max_unwritten_bytes };
        let added = state.write_buffer.push(bytes, &reactor.unwritten_bytes, limits);
        match added {
            Added::Rejected => return false,
            Added::Queued => return true,
            Added::First => {}
        }
        let open = shared.flush(&mut state);
        if open && !state.write_buffer.is_empty() {
            shared.update_interest(&mut state, false);
        }
        open && !shared.exceeds_unwritten_memory(&state)
    }

    /// Returns an object with which other threads can check whether the client has disconnected.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence::new(Arc::downgrade(&self.shared))
    }

    /// Counts the client's oldest command as answered, so that another command may be read.
    pub fn command_answered(&self) {
        self.shared.command_answered();
    }

    /// Marks the connection as closed if no command is unanswered and no part of a command has arrived;
    /// otherwise returns `false`. The connection closes when the handle is dropped.
    pub fn close_if_idle(&self) -> bool {
        let unfinished = &self.shared.unfinished_commands;
        if self.shared.has_unread_input() {
            return false;
        }
        unfinished.compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }

    /// Whether the client may not have read all answers: its connection was reset, or answers are unwritten.
    pub fn has_unread_answers(&self) -> bool {
        let shared = &self.shared;
        shared.was_reset.load(Ordering::SeqCst)
            || matches!(shared.stream.take_error(), Ok(Some(_)) | Err(_))
            || !shared.state().write_buffer.is_empty()
    }

    /// Closes the connection immediately and discards unwritten bytes.
    pub fn abort(&self) {
        let _ = self.shared.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for ClientHandle {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        self.shared.unfinished_commands.fetch_or(CLOSED, Ordering::SeqCst);
        state.closing = true;
        if state.removed {
            let _ = self.shared.stream.shutdown(Shutdown::Both);
            return;
        }
        if state.write_buffer.is_empty() {
            self.shared.half_close();
        }
        self.shared.reactor.push_closed(self.shared.id);
        self.shared.reactor.wake();
    }
}

/// Controls the reactor thread.
pub struct ReactorHandle(pub(super) Arc<ReactorShared>);

impl ReactorHandle {
    /// Stops accepting connections. Connections that wait are left to the other process that accepts from the
    /// same listening socket.
    pub fn stop_accepting(&self) {
        self.0.stop_accepting_requested.store(true, Ordering::SeqCst);
        self.0.wake();
    }

    /// Stops reading and accepting. The event loop receives `ReactorEvent::ReadingStopped` after all events
    /// that were read before.
    pub fn stop_reading(&self) {
        self.0.stop_reading_requested.store(true, Ordering::SeqCst);
        self.0.wake();
    }

    /// How often and how long clients were held back, in the order of [`HoldReason::ALL`].
    pub fn hold_counts(&self) -> [HoldCounts; HoldReason::ALL.len()] {
        self.0.holds.counts()
    }

    /// Closes all connections, which linger for a shorter time than usual. The thread ends when the last
    /// connection has closed.
    pub fn shut_down(&self) {
        self.0.shutdown_requested.store(true, Ordering::SeqCst);
        self.0.wake();
    }
}
