//! The reactor's side of one client connection: reading, parsing, and counting towards the limits.

use super::queue_place::QueuePlace;
use super::shared::{CLOSED, ConnectionShared};
use super::{EventSink, ReactorEvent};
use crate::client::ClientEvent;
use crate::clock::Clock;
use crate::fair_share::SharedUsedTime;
use crate::pg::{FrameReader, ProtocolError, StartupPacket};
use crate::sockets::is_transient_error;
use crate::{Micros, Settings};
use rustix::event::epoll::EventFlags;
use std::io::{Error, ErrorKind, Read};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long a client may take to complete a command that it has begun. A connection that the reactor closes
/// is removed after the same time, unless the client is still reading its answer.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2200);
/// The most bytes that are read and discarded from a closing connection before it is removed.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// The most messages of one connection that are parsed before the reactor serves the others.
const MAX_MESSAGES_PER_TURN: usize = 64;
/// An incomplete command counts towards the limit over all connections only from this size on.
const MIN_COUNTED_INCOMPLETE_BYTES: usize = 4096;

/// What the parser expects next from a client.
pub(super) enum ParseState {
    /// A startup packet.
    Startup,
    /// A message of the simple query protocol.
    Simple,
    /// A message of the extended query protocol, which continues or ends this batch.
    Extended(PartialBatch),
}

/// The messages that have been received of an incomplete batch.
#[derive(Default)]
pub(super) struct PartialBatch {
    pub(super) messages: Vec<Vec<u8>>,
    pub(super) bytes: usize,
}

impl ParseState {
    /// What the complete messages that have been received of an incomplete command take in memory.
    fn buffered_bytes(&self) -> usize {
        match self {
            ParseState::Extended(batch) => batch.memory_bytes(),
            ParseState::Startup | ParseState::Simple => 0,
        }
    }

    /// Whether no complete message of an incomplete command has been received.
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
    /// A limit on events or on unanswered commands is reached.
    AtCapacity,
    /// The turn is over; further messages have been read.
    TurnOver,
    /// Nothing more is read from the connection.
    Finished,
}

/// An event that occurs on connections of either protocol.
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

/// The reactor's state of a client connection.
pub(super) struct ClientConnection {
    pub(super) shared: Arc<ConnectionShared>,
    /// Whether the connection was accepted on the listener for extended queries.
    pub(super) extended: bool,
    pub(super) frames: FrameReader,
    pub(super) parse_state: ParseState,
    /// When bytes were last read from the connection.
    pub(super) last_read_at: Micros,
    /// Whether an incomplete command is counted in `ConnectionShared::unfinished_commands`.
    command_begun: bool,
    /// Whether a complete command has been received on the connection.
    any_command_received: bool,
    /// Whether a complete command has been received since the deadline was last updated.
    command_received_since_deadline: bool,
    /// When the incomplete command must be complete; for a closing connection, when it is removed.
    pub(super) deadline: Option<Instant>,
    /// The bytes that this connection contributes to `ClientReactor::incomplete_command_bytes`.
    incomplete_command_bytes: usize,
    /// Whether the reactor is closing the connection and discards incoming bytes.
    pub(super) closing: bool,
    /// The bytes that have been discarded since the connection was closed.
    discarded_bytes: usize,
    /// The number of unwritten bytes when the deadline of the closing connection last expired.
    pub(super) unwritten_bytes_at_deadline: usize,
    /// Whether the connection waits for another turn, in which its messages are parsed further.
    pub(super) awaits_turn: bool,
    /// The time that the reactor has spent on the connection.
    pub(super) used_time: SharedUsedTime,
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
            incomplete_command_bytes: 0,
            closing: false,
            discarded_bytes: 0,
            unwritten_bytes_at_deadline: 0,
            awaits_turn: false,
            used_time: SharedUsedTime::default(),
        }
    }

    /// Reports an event in the form of the connection's protocol.
    pub(super) fn report(&self, event: ConnectionEvent, events: &EventSink) {
        let id = self.shared.id;
        events(match self.extended {
            true => ReactorEvent::Extended(id, event.into(), self.take_place()),
            false => ReactorEvent::Simple(id, event.into(), self.take_place()),
        });
    }

    /// Takes a place in the queue to the event loop for an event.
    pub(super) fn take_place(&self) -> QueuePlace {
        QueuePlace::take(&self.shared)
    }

    /// Whether incoming bytes are discarded: the reactor or the event loop has closed the connection.
    pub(super) fn is_closing(&self) -> bool {
        self.closing || self.shared.unfinished_commands.load(Ordering::SeqCst) & CLOSED != 0
    }

    /// Counts the next command as unfinished before its first bytes are read; `false` if the event loop has
    /// closed the connection.
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

    /// Records that a complete command has been received.
    pub(super) fn mark_command_received(&mut self) {
        self.any_command_received = true;
        self.command_received_since_deadline = true;
    }

    /// Stops counting an incomplete command if no bytes of one have been received.
    pub(super) fn end_command_if_complete(&mut self) {
        if self.frames.buffered().is_empty() && self.parse_state.is_between_commands() {
            self.frames = FrameReader::default();
            self.command_begun = false;
            self.shared.unfinished_commands.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Reads from the socket, up to the size of the read buffer; `false` if the client has disconnected.
    pub(super) fn read(&mut self, read_buffer: &mut [u8], clock: &Clock) -> bool {
        // The time is taken before the read: a process pause between the two then reduces the remaining time
        // of the request, as the client's own timeout goes on during the pause.
        let read_at = clock.now();
        match (&self.shared.stream).read(read_buffer) {
            Ok(0) => false,
            Ok(length) => {
                self.last_read_at = read_at;
                self.frames.push(&read_buffer[..length]);
                true
            }
            Err(error) if is_retryable(&error) => true,
            Err(_) => {
                self.shared.was_reset.store(true, Ordering::SeqCst);
                false
            }
        }
    }

    /// Whether a complete message has been read but not parsed, as it waits for capacity. Nothing more is
    /// read until it is parsed.
    pub(super) fn has_unparsed_message(&self) -> bool {
        match self.parse_state {
            ParseState::Startup => self.frames.has_complete_startup_packet(),
            ParseState::Simple | ParseState::Extended(_) => self.frames.complete_message_tag().is_some(),
        }
    }

    /// Parses and reports complete messages, up to [`MAX_MESSAGES_PER_TURN`] and to the limits on events and
    /// on unanswered commands. Every message passes here, in every state of its connection.
    pub(super) fn parse(&mut self, settings: &Settings, events: &EventSink) -> ParseProgress {
        for _ in 0..MAX_MESSAGES_PER_TURN {
            if self.must_wait_for_capacity() {
                return ParseProgress::AtCapacity;
            }
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
        match self.has_unparsed_message() {
            true => ParseProgress::TurnOver,
            false => ParseProgress::NeedsBytes,
        }
    }

    /// Reports that the client has disconnected. A client may close its connection right after it has sent a
    /// cancel request, so a request that is still unread is reported first.
    pub(super) fn report_disconnect(&mut self, read_buffer: &mut [u8], events: &EventSink) {
        if let Ok(length) = (&self.shared.stream).read(read_buffer) {
            self.report_cancel_request(&read_buffer[..length], events);
        }
        self.report(ConnectionEvent::Disconnected, events);
    }

    /// Reads and discards bytes that have arrived since the connection was closed; `false` if the client has
    /// closed the connection as well, or has sent too much.
    pub(super) fn discard_input(&mut self, read_buffer: &mut [u8], events: &EventSink) -> bool {
        match (&self.shared.stream).read(read_buffer) {
            Ok(length) => {
                self.discarded_bytes += length;
                self.report_cancel_request(&read_buffer[..length], events);
                length > 0 && self.discarded_bytes < MAX_LINGER_BYTES
            }
            Err(error) => is_retryable(&error),
        }
    }

    /// Reports a cancel request if these are the first bytes of a connection and contain one. Without this, a
    /// cancel request is lost if its connection is rejected for lack of capacity, or is already closed.
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

    /// Updates the bytes of the incomplete command, here and in the total over all connections.
    pub(super) fn update_incomplete_command_bytes(&mut self, total: &mut usize) {
        let buffered = self.frames.buffered().len() + self.parse_state.buffered_bytes();
        let counted = if buffered >= MIN_COUNTED_INCOMPLETE_BYTES { buffered } else { 0 };
        *total = *total + counted - self.incomplete_command_bytes;
        self.incomplete_command_bytes = counted;
    }

    /// The bytes that this connection contributes to the total of incomplete commands.
    pub(super) fn incomplete_command_bytes(&self) -> usize {
        self.incomplete_command_bytes
    }

    /// Discards the bytes that are not parsed and the messages of an incomplete batch, and subtracts those of
    /// the incomplete command from the total.
    pub(super) fn drop_incomplete_command(&mut self, total: &mut usize) {
        *total -= self.incomplete_command_bytes;
        self.incomplete_command_bytes = 0;
        self.frames = FrameReader::default();
        if let ParseState::Extended(batch) = &mut self.parse_state {
            *batch = PartialBatch::default();
        }
    }

    /// Returns the deadline that applies after a read: an incomplete command must be completed in time. No
    /// deadline applies at the limit on unanswered commands, where the client waits for the proxy.
    pub(super) fn next_deadline(&mut self, progress: ParseProgress) -> Option<Instant> {
        if progress == ParseProgress::TurnOver {
            return self.deadline;
        }
        let command_received = std::mem::take(&mut self.command_received_since_deadline);
        match self.deadline {
            Some(deadline) if !self.any_command_received => Some(deadline),
            _ if progress == ParseProgress::AtCapacity => None,
            Some(deadline) if self.command_begun && !command_received => Some(deadline),
            _ => self.command_begun.then(|| Instant::now() + COMMAND_TIMEOUT),
        }
    }

    /// Writes as much as the socket accepts, resumes reading if another answer may wait for the socket, and
    /// updates the requested events.
    pub(super) fn flush(&mut self, flags: EventFlags) -> Flushed {
        let mut state = self.shared.state();
        let open = self.shared.flush(&mut state);
        let may_resume = !state.input_ended && !self.shared.reactor.is_reading_stopped();
        if state.reading_paused && may_resume && self.shared.may_add_answer(&state) {
            self.shared.resume_reading(&mut state, false);
        } else if flags.contains(EventFlags::OUT) {
            self.shared.update_interest(&mut state, false);
        }
        Flushed { open, reading_paused: state.reading_paused }
    }
}

/// The state of a connection after a flush.
pub(super) struct Flushed {
    /// Whether the socket can still be written to, now or later.
    pub(super) open: bool,
    /// Whether reading is paused until the client may send another command.
    pub(super) reading_paused: bool,
}

/// Whether a read can be retried after this error: no bytes were available, or the error is transient.
fn is_retryable(error: &Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || is_transient_error(error)
}
