//! The reactor's side of one client connection: reading, parsing, and accounting for its limits.

use super::shared::{CLOSED, ConnectionShared};
use super::{EventSink, ReactorEvent};
use crate::client::ClientEvent;
use crate::clock::Clock;
use crate::pg::{FrameReader, ProtocolError, StartupPacket};
use crate::sockets::is_transient_error;
use crate::{Micros, Settings};
use rustix::event::epoll::EventFlags;
use std::io::{Error, ErrorKind, Read};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The time limit for each message that a client has begun.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2200);
/// The most bytes that are read from a connection that is being closed.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// From this size on, part of a message counts towards the limit on all of them.
const MIN_COUNTED_INCOMPLETE_BYTES: usize = 4096;

/// The parser's state for a client's bytes.
pub(super) enum ParseState {
    /// The startup message has not arrived.
    Startup,
    /// Simple queries.
    Simple,
    /// Extended queries: messages up to a Sync.
    Extended(PartialBatch),
}

/// The messages received so far of a batch that is not complete.
#[derive(Default)]
pub(super) struct PartialBatch {
    pub(super) messages: Vec<Vec<u8>>,
    pub(super) bytes: usize,
}

impl ParseState {
    /// Bytes received of a command, in complete messages.
    fn buffered_bytes(&self) -> usize {
        match self {
            ParseState::Extended(batch) => batch.bytes,
            ParseState::Startup | ParseState::Simple => 0,
        }
    }

    /// Whether nothing of a command has been received.
    fn is_between_commands(&self) -> bool {
        match self {
            ParseState::Extended(batch) => batch.messages.is_empty(),
            ParseState::Startup | ParseState::Simple => true,
        }
    }
}

/// Why parsing has paused.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ParseProgress {
    /// More bytes are needed.
    NeedsBytes,
    /// The limit on unanswered commands is reached.
    AtCapacity,
    /// Reading from the connection has ended.
    Finished,
}

/// An event that connections of both protocols have.
pub(super) enum ConnectionEvent {
    Startup(StartupPacket),
    Malformed(ProtocolError),
    Disconnected,
}

impl<C> From<ConnectionEvent> for ClientEvent<C> {
    fn from(event: ConnectionEvent) -> ClientEvent<C> {
        match event {
            ConnectionEvent::Startup(packet) => ClientEvent::Startup(packet),
            ConnectionEvent::Malformed(error) => ClientEvent::Malformed(error),
            ConnectionEvent::Disconnected => ClientEvent::Disconnected,
        }
    }
}

/// A client's connection, as the reactor sees it.
pub(super) struct ClientConnection {
    pub(super) shared: Arc<ConnectionShared>,
    /// It was accepted on the listener for extended queries.
    pub(super) extended: bool,
    pub(super) frames: FrameReader,
    pub(super) parse_state: ParseState,
    /// When its last bytes arrived.
    pub(super) last_read_at: Micros,
    /// It counts in `ConnectionShared::unfinished_commands` for bytes of an incomplete command.
    command_begun: bool,
    /// It has sent a complete command.
    any_command_received: bool,
    /// It has sent one since its deadline was last checked.
    command_received_since_deadline: bool,
    /// When its incomplete message must be complete; once it is closing, when it is removed.
    pub(super) deadline: Option<Instant>,
    /// Its part of the total of incomplete messages.
    incomplete_message_bytes: usize,
    /// Incoming bytes are discarded.
    pub(super) closing: bool,
    /// Bytes received since it has been closing.
    discarded_bytes: usize,
    /// The unwritten bytes when its deadline last passed.
    pub(super) unwritten_bytes_at_deadline: usize,
}

impl ClientConnection {
    pub(super) fn new(shared: Arc<ConnectionShared>, extended: bool, deadline: Instant) -> ClientConnection {
        ClientConnection {
            shared,
            extended,
            frames: FrameReader::default(),
            parse_state: ParseState::Startup,
            last_read_at: 0,
            command_begun: false,
            any_command_received: false,
            command_received_since_deadline: false,
            deadline: Some(deadline),
            incomplete_message_bytes: 0,
            closing: false,
            discarded_bytes: 0,
            unwritten_bytes_at_deadline: 0,
        }
    }

    /// Reports an event.
    pub(super) fn report(&self, event: ConnectionEvent, events: &EventSink) {
        let id = self.shared.id;
        events(match self.extended {
            true => ReactorEvent::Extended(id, event.into()),
            false => ReactorEvent::Simple(id, event.into()),
        });
    }

    /// Whether incoming bytes are discarded: the reactor or the event loop has closed the connection.
    pub(super) fn is_closing(&self) -> bool {
        self.closing || self.shared.unfinished_commands.load(Ordering::SeqCst) & CLOSED != 0
    }

    /// Counts a command from its first bytes on; `false` if the event loop has closed the connection.
    pub(super) fn begin_command(&mut self) -> bool {
        if self.command_begun {
            return true;
        }
        if self.shared.unfinished_commands.fetch_add(1, Ordering::SeqCst) & CLOSED != 0 {
            return false;
        }
        self.command_begun = true;
        true
    }

    /// Counts a complete command before it is reported.
    pub(super) fn count_command(&mut self, size: usize) {
        self.any_command_received = true;
        self.command_received_since_deadline = true;
        self.shared.command_received(size);
    }

    /// Ends the count of an incomplete command if no bytes of one are left.
    pub(super) fn end_command_if_complete(&mut self) {
        if self.frames.buffered().is_empty() && self.parse_state.is_between_commands() {
            self.frames = FrameReader::default();
            self.command_begun = false;
            self.shared.unfinished_commands.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Reads from the socket, up to the size of the read buffer; `false` if the client has disconnected.
    pub(super) fn read(&mut self, read_buffer: &mut [u8], clock: &Clock) -> bool {
        // Before the read: a delay between the two must not count as time that the client has left.
        let read_at = clock.now();
        match (&self.shared.stream).read(read_buffer) {
            Ok(0) => false,
            Ok(length) => {
                self.last_read_at = read_at;
                self.frames.push(&read_buffer[..length]);
                true
            }
            Err(error) => is_transient(&error),
        }
    }

    /// A complete message has been read and waits for capacity: nothing more is read until it is parsed.
    pub(super) fn has_unparsed_message(&self) -> bool {
        let is_started = !matches!(self.parse_state, ParseState::Startup);
        is_started && self.frames.complete_message_tag().is_some()
    }

    /// Parses everything that has arrived completely.
    pub(super) fn parse(&mut self, settings: &Settings, events: &EventSink) -> ParseProgress {
        loop {
            let step = match self.parse_state {
                ParseState::Startup => self.parse_startup(events),
                ParseState::Simple => self.parse_simple_query(settings, events),
                ParseState::Extended(_) => self.parse_extended_message(events),
            };
            match step {
                Ok(ControlFlow::Continue(())) => {}
                Ok(ControlFlow::Break(progress)) => return progress,
                Err(error) => {
                    self.report(ConnectionEvent::Malformed(error), events);
                    return ParseProgress::Finished;
                }
            }
        }
    }

    /// Reports that the client has disconnected. A client that cancels may close at once: its cancel request
    /// must be handled all the same.
    pub(super) fn report_disconnect(&mut self, read_buffer: &mut [u8], events: &EventSink) {
        if let Ok(length) = (&self.shared.stream).read(read_buffer) {
            self.report_cancel_request(&read_buffer[..length], events);
        }
        self.report(ConnectionEvent::Disconnected, events);
    }

    /// Reads and discards bytes received since the connection was closed; `false` if waiting can end.
    pub(super) fn discard_input(&mut self, read_buffer: &mut [u8], events: &EventSink) -> bool {
        match (&self.shared.stream).read(read_buffer) {
            Ok(length) => {
                self.discarded_bytes += length;
                self.report_cancel_request(&read_buffer[..length], events);
                length > 0 && self.discarded_bytes < MAX_LINGER_BYTES
            }
            Err(error) => is_transient(&error),
        }
    }

    /// Guards against a cancel request that is missed because there is no capacity for its connection, or
    /// because that is closed already: the first bytes of a rejected connection may still be one.
    fn report_cancel_request(&mut self, bytes: &[u8], events: &EventSink) {
        if !matches!(self.parse_state, ParseState::Startup) || self.discarded_bytes > bytes.len() {
            return;
        }
        self.frames.push(bytes);
        if let Ok(Some(packet @ StartupPacket::CancelRequest { .. })) = self.frames.next_startup_packet() {
            self.report(ConnectionEvent::Startup(packet), events);
        }
        self.frames = FrameReader::default();
    }

    /// Updates the bytes of incomplete messages, here and in the total over all connections. `false` if the
    /// total is too high and this connection contributes to it. Guards against many clients that each send a
    /// part of a long message.
    pub(super) fn update_incomplete_message_bytes(&mut self, total: &mut usize, max_total: usize) -> bool {
        let buffered = self.frames.buffered().len() + self.parse_state.buffered_bytes();
        let counted = if buffered >= MIN_COUNTED_INCOMPLETE_BYTES { buffered } else { 0 };
        *total = *total + counted - self.incomplete_message_bytes;
        self.incomplete_message_bytes = counted;
        *total <= max_total || counted == 0
    }

    /// Discards the bytes of an incomplete message, and their part of the total.
    pub(super) fn drop_incomplete_message(&mut self, total: &mut usize) {
        *total -= self.incomplete_message_bytes;
        self.incomplete_message_bytes = 0;
        self.frames = FrameReader::default();
    }

    /// The deadline after the latest read: an incomplete message must be completed in time, unless the
    /// client itself waits for answers.
    pub(super) fn next_deadline(&mut self, progress: ParseProgress) -> Option<Instant> {
        let command_received = std::mem::take(&mut self.command_received_since_deadline);
        if progress == ParseProgress::AtCapacity {
            return None;
        }
        match self.deadline {
            Some(deadline) if !self.any_command_received => Some(deadline),
            Some(deadline) if self.command_begun && !command_received => Some(deadline),
            _ => self.command_begun.then(|| Instant::now() + MESSAGE_TIMEOUT),
        }
    }

    /// Writes as much as the socket accepts and updates the requested events.
    pub(super) fn flush(&mut self, flags: EventFlags) -> Flushed {
        let mut state = self.shared.state();
        let open = self.shared.flush(&mut state);
        let is_stopping = self.shared.reactor.stop_reading_requested.load(Ordering::SeqCst);
        if state.reading_paused && !is_stopping && self.shared.may_add_answer(&state) {
            state.reading_paused = false;
            self.shared.update_interest(&mut state, false);
        } else if flags.contains(EventFlags::OUT) {
            self.shared.update_interest(&mut state, false);
        }
        Flushed { open, reading_paused: state.reading_paused }
    }
}

/// The state of a connection after a flush.
pub(super) struct Flushed {
    /// The socket still accepts bytes.
    pub(super) open: bool,
    /// Reading is paused until another command may be sent.
    pub(super) reading_paused: bool,
}

/// Whether the socket is still usable after this error.
fn is_transient(error: &Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || is_transient_error(error)
}
