//! The reactor's handling of connections that are ready, whose deadline has passed, or that are to be closed.

use super::connection::{COMMAND_TIMEOUT, ClientConnection, ConnectionEvent, ParseProgress};
use super::reactor::{ClientReactor, LINGER_TIMEOUT};
use crate::client::{ClientId, Refusal};
use crate::pg::ProtocolError;
use rustix::event::epoll::{self, EventFlags};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long commands are still read before the process exits. The rest of the time until SIGKILL is left for
/// their answers.
const LAST_READ_TIME: Duration = Duration::from_millis(100);

impl ClientReactor {
    /// Handles the events of a connection: writes waiting answers, then reads and parses input.
    pub(super) fn handle_readiness(&mut self, id: ClientId, flags: EventFlags) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let flushed = connection.flush(flags);
        // A client whose close is reported has disconnected, even if unread bytes precede the close. Without
        // this, the disconnect would go unnoticed while those bytes wait for capacity.
        let hung_up = flags.intersects(EventFlags::ERR | EventFlags::HUP | EventFlags::RDHUP);
        if flags.contains(EventFlags::ERR) || !flushed.open {
            connection.shared.was_reset.store(true, Ordering::SeqCst);
        }
        let mut open = flushed.open && !hung_up;
        if connection.is_closing() {
            // Input after the close is discarded until the client closes the connection as well.
            if open && flags.contains(EventFlags::IN) {
                open = connection.discard_input(&mut self.read_buffer, &self.events);
            }
            if !open {
                // The event loop may still have commands of the client to answer.
                connection.report(ConnectionEvent::Disconnected, &self.events);
                self.remove_connection(id);
            }
            return;
        }
        if open && (self.reading_stopped || flushed.reading_paused) {
            return;
        }
        if !connection.begin_command() {
            return;
        }
        if open && flags.contains(EventFlags::IN) && !connection.has_unparsed_message() {
            open = connection.read(&mut self.read_buffer, &self.clock);
        }
        if !open {
            connection.report_disconnect(&mut self.read_buffer, &self.events);
            return self.remove_connection(id);
        }
        self.parse_input(id);
    }

    /// Reads and parses what arrives on all connections, one read of each in turn, until there is nothing to
    /// read, but no longer than [`LAST_READ_TIME`]. A client that sends without end delays the others little.
    pub(super) fn read_arrived_input(&mut self) {
        let deadline = Instant::now() + LAST_READ_TIME;
        let ids: Vec<ClientId> = self.connections.keys().copied().collect();
        let mut has_read = true;
        while has_read && Instant::now() < deadline {
            has_read = false;
            for id in &ids {
                has_read |= self.read_once(*id);
            }
        }
    }

    /// Parses what has been read on a connection, reads once more if bytes have arrived, and parses those.
    /// Returns whether bytes were read.
    fn read_once(&mut self, id: ClientId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.is_closing() || !connection.begin_command() {
            return false;
        }
        if !connection.shared.has_unread_input() {
            self.parse_input(id);
            return false;
        }
        if !connection.read(&mut self.read_buffer, &self.clock) {
            connection.report_disconnect(&mut self.read_buffer, &self.events);
            self.remove_connection(id);
            return false;
        }
        self.parse_input(id);
        true
    }

    /// Parses the input that has been read, and sets the deadline for completing the next command.
    fn parse_input(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let progress = connection.parse(&self.settings, &self.events);
        if progress == ParseProgress::Finished {
            return self.end_input(id);
        }
        connection.update_incomplete_command_bytes(&mut self.incomplete_command_bytes);
        self.close_longest_incomplete_commands();
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| !connection.closing) else {
            return;
        };
        connection.end_command_if_complete();
        let deadline = connection.next_deadline(progress);
        self.deadlines.replace(id, connection.deadline, deadline);
        connection.deadline = deadline;
    }

    /// Closes the connections with the longest incomplete commands until the total is within its limit.
    /// Without the limit, many clients that each send part of a long message could exhaust the memory; if the
    /// client that exceeds it were closed, clients that send short commands would be closed for those of
    /// others.
    fn close_longest_incomplete_commands(&mut self) {
        while self.incomplete_command_bytes > self.shared.limits.max_incomplete_command_bytes {
            let Some(id) = self.longest_incomplete_command() else { return };
            let Some(connection) = self.connections.get_mut(&id) else { return };
            // Complete commands may wait for capacity ahead of the incomplete one.
            connection.shared.refuse_commands(Refusal::OverBudget);
            if connection.parse(&self.settings, &self.events) != ParseProgress::Finished {
                connection.report(ConnectionEvent::Malformed(ProtocolError::TooMuchBuffered), &self.events);
            }
            self.end_input(id);
        }
    }

    /// The connection with the longest incomplete command. Connections that exceed their part of the limit
    /// and have no unanswered command come first, as the close of another one would lose the answer.
    fn longest_incomplete_command(&self) -> Option<ClientId> {
        let limits = &self.shared.limits;
        let part = limits.max_incomplete_command_bytes / limits.max_connections;
        let rank = |connection: &ClientConnection| {
            let bytes = connection.incomplete_command_bytes();
            (bytes > part && !connection.shared.has_unanswered_commands(), bytes)
        };
        let longest = self.connections.iter().max_by_key(|(_, connection)| rank(connection));
        longest.filter(|(_, connection)| connection.incomplete_command_bytes() > 0).map(|(id, _)| *id)
    }

    /// Removes closing connections whose deadline has passed, and starts to close open connections that have
    /// not completed a command in time. Otherwise clients that connect and send nothing, or never complete a
    /// message, would use up connections forever.
    pub(super) fn expire_deadlines(&mut self) {
        while let Some(id) = self.deadlines.pop_expired() {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            connection.deadline = None;
            if connection.closing {
                let unwritten = connection.shared.state().write_buffer.unwritten_bytes();
                let progresses = unwritten > 0 && unwritten != connection.unwritten_bytes_at_deadline;
                // A client that reads its answer slowly gets more time as long as it makes progress.
                if progresses && !self.reading_stopped {
                    connection.unwritten_bytes_at_deadline = unwritten;
                    self.start_closing(id, LINGER_TIMEOUT);
                } else {
                    self.remove_connection(id);
                }
            } else if !self.reading_stopped {
                connection.report(ConnectionEvent::Malformed(ProtocolError::CommandTimeout), &self.events);
                self.end_input(id);
            }
        }
    }

    /// Starts to close a connection: discards all further input, and sets the deadline to `timeout` from now
    /// unless an earlier deadline of the closing connection is set.
    pub(super) fn start_closing(&mut self, id: ClientId, timeout: Duration) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let mut deadline = Instant::now() + timeout;
        if connection.closing {
            deadline = connection.deadline.unwrap_or(deadline).min(deadline);
        }
        self.deadlines.replace(id, connection.deadline, Some(deadline));
        connection.drop_incomplete_command(&mut self.incomplete_command_bytes);
        connection.closing = true;
        connection.deadline = Some(deadline);
        connection.shared.set_reading_paused(false);
    }

    /// Ends the input of a connection, of which a last event has been reported. The event loop closes it once
    /// the earlier commands have been answered; without any, it is closed here after [`COMMAND_TIMEOUT`].
    fn end_input(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.shared.has_unanswered_commands() {
            return self.start_closing(id, COMMAND_TIMEOUT);
        }
        self.deadlines.replace(id, connection.deadline, None);
        connection.drop_incomplete_command(&mut self.incomplete_command_bytes);
        connection.closing = true;
        connection.deadline = None;
        connection.shared.end_input();
    }

    /// Removes a connection from the reactor. Its socket is closed once the event loop has dropped its handle
    /// as well.
    pub(super) fn remove_connection(&mut self, id: ClientId) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        let _ = epoll::delete(&self.shared.epoll, &connection.shared.stream);
        self.deadlines.replace(id, connection.deadline, None);
        connection.drop_incomplete_command(&mut self.incomplete_command_bytes);
        connection.shared.state().removed = true;
    }
}
