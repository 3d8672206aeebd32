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
/// The pause while commands are only waiting for places in the queue to the event loop.
const PLACE_WAIT: Duration = Duration::from_micros(100);

/// What the last read of a connection has found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LastRead {
    /// Bytes, behind which more may have arrived.
    Bytes,
    /// Nothing new, but a message that waits for a place in the queue to the event loop.
    AwaitsPlace,
    /// Nothing.
    Nothing,
}

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
        if !connection.awaits_turn {
            self.parse_input(id);
        }
    }

    /// Parses further messages of a connection whose turn ended before all were parsed.
    pub(super) fn continue_parsing(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.awaits_turn = false;
        if !connection.is_closing() && !self.reading_stopped {
            self.parse_input(id);
        }
    }

    /// Has the rest of a connection's messages parsed in a later turn.
    fn continue_later(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !std::mem::replace(&mut connection.awaits_turn, true) {
            self.turns.continue_later(id);
        }
    }

    /// Reads and parses what arrives on all connections, one read of each in turn, until there is nothing to
    /// read, but no longer than [`LAST_READ_TIME`]. A client that sends without end delays the others little.
    pub(super) fn read_arrived_input(&mut self) {
        let deadline = Instant::now() + LAST_READ_TIME;
        let ids: Vec<ClientId> = self.connections.keys().copied().collect();
        while Instant::now() < deadline {
            let steps: Vec<LastRead> = ids.iter().map(|id| self.read_once(*id)).collect();
            if steps.iter().all(|step| *step == LastRead::Nothing) {
                return;
            }
            if !steps.contains(&LastRead::Bytes) {
                std::thread::sleep(PLACE_WAIT);
            }
        }
    }

    /// Parses what has been read on a connection, reads once more if bytes have arrived, and parses those.
    fn read_once(&mut self, id: ClientId) -> LastRead {
        let Some(connection) = self.connections.get_mut(&id) else { return LastRead::Nothing };
        if connection.is_closing() || !connection.begin_command() {
            return LastRead::Nothing;
        }
        let may_read = connection.shared.has_unread_input() && !connection.has_unparsed_message();
        if may_read && !connection.read(&mut self.read_buffer, &self.clock) {
            connection.report_disconnect(&mut self.read_buffer, &self.events);
            self.remove_connection(id);
            return LastRead::Nothing;
        }
        match self.parse_input(id) {
            ParseProgress::Finished => LastRead::Nothing,
            ParseProgress::AtCapacity => LastRead::AwaitsPlace,
            ParseProgress::TurnOver => LastRead::Bytes,
            ParseProgress::NeedsBytes if may_read || self.has_unread_input(id) => LastRead::Bytes,
            ParseProgress::NeedsBytes => LastRead::Nothing,
        }
    }

    fn has_unread_input(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.shared.has_unread_input())
    }

    /// Parses the input that has been read, and sets the deadline for completing the next command.
    pub(super) fn parse_input(&mut self, id: ClientId) -> ParseProgress {
        let Some(connection) = self.connections.get_mut(&id) else { return ParseProgress::Finished };
        let progress = connection.parse(&self.settings, &self.events);
        if self.end_if_finished(id, progress) {
            return ParseProgress::Finished;
        }
        let Some(connection) = self.connections.get_mut(&id) else { return ParseProgress::Finished };
        connection.update_incomplete_command_bytes(&mut self.incomplete_command_bytes);
        self.close_longest_incomplete_commands();
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| !connection.closing) else {
            return ParseProgress::Finished;
        };
        connection.end_command_if_complete();
        let deadline = connection.next_deadline(progress);
        self.deadlines.replace(id, connection.deadline, deadline);
        connection.deadline = deadline;
        progress
    }

    /// Ends the input of a connection after its last message, or after the last complete command where all
    /// are refused; returns whether it has ended.
    fn end_if_finished(&mut self, id: ClientId, progress: ParseProgress) -> bool {
        let Some(connection) = self.connections.get(&id) else { return true };
        let is_refused = progress == ParseProgress::NeedsBytes && connection.shared.refuses_commands();
        if is_refused {
            connection.report(ConnectionEvent::Malformed(ProtocolError::TooMuchBuffered), &self.events);
        }
        if progress == ParseProgress::TurnOver {
            self.continue_later(id);
        }
        let is_finished = is_refused || progress == ParseProgress::Finished;
        if is_finished {
            self.end_input(id);
        }
        is_finished
    }

    /// Closes the connections with the longest incomplete commands until the total is within its limit.
    /// Without the limit, many clients that each send part of a long message could exhaust the memory; if the
    /// client that exceeds it were closed, clients that send short commands would be closed for those of
    /// others.
    fn close_longest_incomplete_commands(&mut self) {
        while self.incomplete_command_bytes > self.shared.limits.max_incomplete_command_bytes {
            let Some(id) = self.longest_incomplete_command() else { return };
            let Some(connection) = self.connections.get_mut(&id) else { return };
            // Complete commands may wait for capacity ahead of the incomplete one. If they have no place in
            // the queue, the connection ends when the last of them has been refused.
            connection.shared.refuse_commands(Refusal::OverBudget);
            let progress = connection.parse(&self.settings, &self.events);
            self.end_if_finished(id, progress);
        }
    }

    /// The connection with the longest incomplete command, of those that are not about to end. Connections
    /// that exceed their part of the limit and have no unanswered command come first, as the close of another
    /// one would lose the answer.
    fn longest_incomplete_command(&self) -> Option<ClientId> {
        let limits = &self.shared.limits;
        let part = limits.max_incomplete_command_bytes / limits.max_connections;
        let rank = |connection: &ClientConnection| {
            let bytes = connection.incomplete_command_bytes();
            (bytes > part && !connection.shared.has_unanswered_commands(), bytes)
        };
        let is_candidate = |connection: &ClientConnection| {
            connection.incomplete_command_bytes() > 0 && !connection.shared.refuses_commands()
        };
        let candidates = self.connections.iter().filter(|(_, connection)| is_candidate(connection));
        candidates.max_by_key(|(_, connection)| rank(connection)).map(|(id, _)| *id)
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
