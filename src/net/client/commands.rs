//! Turns a client's messages into commands.

use super::EventSink;
use super::ReactorEvent;
use super::connection::{ClientConnection, ConnectionEvent, ParseProgress, ParseState, PartialBatch};
use crate::Settings;
use crate::client::{BatchEnd, ClientBatch, ClientEvent, ParsedQuery, SimpleQuery};
use crate::pg::message_tags::frontend;
use crate::pg::{self, ProtocolError, StartupPacket};
use std::ops::ControlFlow;

/// The most messages and bytes of one batch, without the Sync or Flush that ends it.
const MAX_BATCH_MESSAGES: usize = 1024;
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// What a message of a batch takes in memory besides its bytes, until it is answered.
const MESSAGE_OVERHEAD_BYTES: usize = 128;
/// The length of a message's header: its type byte and its length field.
const HEADER_BYTES: usize = 5;
/// The length of a Query message without its text: the header and the zero byte that terminates the text.
const QUERY_OVERHEAD_BYTES: usize = HEADER_BYTES + 1;

/// The result of parsing one message: parsing continues with the next message, or pauses for this reason.
type ParseStep = Result<ControlFlow<ParseProgress>, ProtocolError>;

impl ClientConnection {
    /// Parses the next startup packet, and reports it.
    pub(super) fn parse_startup(&mut self, events: &EventSink) -> ParseStep {
        let Some(packet) = self.frames.next_startup_packet()? else {
            return Ok(ControlFlow::Break(ParseProgress::NeedsBytes));
        };
        let is_startup = packet == StartupPacket::Startup;
        let is_cancel = matches!(packet, StartupPacket::CancelRequest { .. });
        self.report(ConnectionEvent::Startup(packet), events);
        if is_startup {
            self.parse_state = match self.extended {
                true => ParseState::Extended(PartialBatch::default()),
                false => ParseState::Simple,
            };
        }
        Ok(if is_cancel { ControlFlow::Break(ParseProgress::Finished) } else { ControlFlow::Continue(()) })
    }

    /// Parses the next message of the simple query protocol, and reports it.
    pub(super) fn parse_simple_query(&mut self, settings: &Settings, events: &EventSink) -> ParseStep {
        let event = match self.frames.next_message()? {
            None => return Ok(ControlFlow::Break(ParseProgress::NeedsBytes)),
            Some((frontend::QUERY, message)) => {
                let text = query_text(message)?;
                let (text, fields) = match self.shared.command_received(text.len()) {
                    Ok(()) => (text.to_vec(), ParsedQuery::parse(text, settings)),
                    Err(refusal) => (Vec::new(), Err(refusal.into())),
                };
                ClientEvent::Command(SimpleQuery { received_at: self.last_read_at, text, fields })
            }
            Some((frontend::TERMINATE, _)) => ClientEvent::Terminate,
            Some((tag, _)) if frontend::ALL.contains(&tag) => ClientEvent::Unsupported,
            Some(_) => return Err(ProtocolError::UnknownMessageType),
        };
        let step = match &event {
            ClientEvent::Command(_) => {
                self.mark_command_received();
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Break(ParseProgress::Finished),
        };
        events(ReactorEvent::Simple(self.shared.id, event, self.take_place()));
        Ok(step)
    }

    /// Parses the next message of the extended query protocol. A batch is reported when its last message has
    /// been parsed.
    pub(super) fn parse_extended_message(&mut self, events: &EventSink) -> ParseStep {
        let ParseState::Extended(batch) = &mut self.parse_state else {
            return Ok(ControlFlow::Continue(()));
        };
        match self.frames.next_message()? {
            None => Ok(ControlFlow::Break(ParseProgress::NeedsBytes)),
            Some((tag @ (frontend::SYNC | frontend::FLUSH | frontend::QUERY), message)) => {
                let end = match tag {
                    frontend::SYNC => BatchEnd::Sync,
                    frontend::FLUSH => BatchEnd::Flush,
                    _ => BatchEnd::Query,
                };
                batch.end_with(end, message)?;
                self.report_batch(end, events);
                Ok(ControlFlow::Continue(()))
            }
            Some((tag, message)) if begins_or_continues_batch(tag) => {
                batch.push(message)?;
                Ok(ControlFlow::Continue(()))
            }
            Some((frontend::TERMINATE, _)) => {
                events(ReactorEvent::Extended(self.shared.id, ClientEvent::Terminate, self.take_place()));
                Ok(ControlFlow::Break(ParseProgress::Finished))
            }
            Some(_) => Err(ProtocolError::UnknownMessageType),
        }
    }

    /// Whether the next message would be reported while the limits on events or on unanswered commands allow
    /// no further one. Messages that only continue a batch are not reported. They are parsed regardless of
    /// these limits, because a connection that waits for capacity has no deadline: a client that stops in the
    /// middle of a command while others are unanswered must still run into the deadline for completing the
    /// command.
    pub(super) fn must_wait_for_capacity(&self) -> bool {
        let would_report = match self.parse_state {
            ParseState::Startup => self.frames.has_complete_startup_packet(),
            ParseState::Simple => self.frames.complete_message_tag().is_some(),
            ParseState::Extended(_) => {
                self.frames.complete_message_tag().is_some_and(|tag| !begins_or_continues_batch(tag))
            }
        };
        would_report && !self.shared.has_capacity()
    }

    /// Counts a complete batch as a command, and reports it.
    fn report_batch(&mut self, end: BatchEnd, events: &EventSink) {
        let ParseState::Extended(batch) = &mut self.parse_state else { return };
        let size = batch.memory_bytes();
        let mut messages = std::mem::take(batch).messages;
        let refusal = self.shared.command_received(size).err();
        if refusal.is_some() {
            messages = Vec::new();
        }
        let batch = ClientBatch { received_at: self.last_read_at, messages, end, refusal };
        self.mark_command_received();
        events(ReactorEvent::Extended(self.shared.id, ClientEvent::Command(batch), self.take_place()));
    }
}

impl PartialBatch {
    /// What the messages take in memory.
    pub(super) fn memory_bytes(&self) -> usize {
        self.bytes + self.messages.len() * MESSAGE_OVERHEAD_BYTES
    }

    /// Adds a message; fails if the batch would exceed its limits.
    pub(super) fn push(&mut self, message: &[u8]) -> Result<(), ProtocolError> {
        self.bytes += message.len();
        if self.bytes > MAX_BATCH_BYTES || self.messages.len() >= MAX_BATCH_MESSAGES {
            return Err(ProtocolError::BatchTooLong);
        }
        self.messages.push(message.to_vec());
        Ok(())
    }

    /// Ends the batch with a Sync or a Flush, which must have no body, or with a Query message, which must be
    /// a batch by itself and is added to it.
    pub(super) fn end_with(&mut self, end: BatchEnd, message: &[u8]) -> Result<(), ProtocolError> {
        if end != BatchEnd::Query {
            return if message.len() == HEADER_BYTES { Ok(()) } else { Err(ProtocolError::UnexpectedBody) };
        }
        if !self.messages.is_empty() {
            return Err(ProtocolError::QueryWithinBatch);
        }
        self.bytes = message.len();
        self.messages.push(message.to_vec());
        Ok(())
    }
}

/// The text of a Query message, without the zero byte that terminates it.
fn query_text(message: &[u8]) -> Result<&[u8], ProtocolError> {
    let body = pg::message_body(message);
    let (text, _) = pg::split_c_string(body).ok_or(ProtocolError::UnterminatedQuery)?;
    if text.len() + QUERY_OVERHEAD_BYTES != message.len() {
        return Err(ProtocolError::BytesAfterQuery);
    }
    Ok(text)
}

/// Whether messages of this type belong to a batch without ending it.
fn begins_or_continues_batch(tag: u8) -> bool {
    matches!(tag, frontend::PARSE | frontend::BIND | frontend::EXECUTE | frontend::DESCRIBE | frontend::CLOSE)
}
