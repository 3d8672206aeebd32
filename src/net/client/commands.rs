//! Turns a client's messages into commands.

use super::EventSink;
use super::ReactorEvent;
use super::connection::{ClientConnection, ConnectionEvent, ParseProgress, ParseState, PartialBatch};
use crate::Settings;
use crate::client::{BatchEnd, ClientBatch, ClientEvent, ParsedQuery, SimpleQuery};
use crate::pg::message_tags::frontend;
use crate::pg::{self, ProtocolError, StartupPacket};
use std::ops::ControlFlow;

/// Messages and bytes that may precede a Sync.
const MAX_BATCH_MESSAGES: usize = 1024;
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The length of a message's type and length field.
const HEADER_BYTES: usize = 5;
/// The length of a Query message without its text: the header and the closing zero.
const QUERY_OVERHEAD_BYTES: usize = HEADER_BYTES + 1;

/// Whether to continue with the next message or to pause.
type ParseStep = Result<ControlFlow<ParseProgress>, ProtocolError>;

impl ClientConnection {
    /// Handles a startup packet.
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

    /// Handles a message of the simple query protocol.
    pub(super) fn parse_simple_query(&mut self, settings: &Settings, events: &EventSink) -> ParseStep {
        if self.must_wait_for_capacity() {
            return Ok(ControlFlow::Break(ParseProgress::AtCapacity));
        }
        let event = match self.frames.next_message()? {
            None => return Ok(ControlFlow::Break(ParseProgress::NeedsBytes)),
            Some((frontend::QUERY, message)) => {
                let text = query_text(message)?;
                ClientEvent::Command(SimpleQuery {
                    received_at: self.last_read_at,
                    text: text.to_vec(),
                    fields: ParsedQuery::parse(text, settings),
                })
            }
            Some((frontend::TERMINATE, _)) => ClientEvent::Terminate,
            Some((tag, _)) if is_known_but_unsupported(tag) => ClientEvent::Unsupported,
            Some(_) => return Err(ProtocolError::UnknownMessageType),
        };
        let step = match &event {
            ClientEvent::Command(query) => {
                self.count_command(query.text.len());
                ControlFlow::Continue(())
            }
            _ => ControlFlow::Break(ParseProgress::Finished),
        };
        events(ReactorEvent::Simple(self.shared.id, event));
        Ok(step)
    }

    /// Handles a message of the extended query protocol.
    pub(super) fn parse_extended_message(&mut self, events: &EventSink) -> ParseStep {
        if self.must_wait_for_capacity() {
            return Ok(ControlFlow::Break(ParseProgress::AtCapacity));
        }
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
                events(ReactorEvent::Extended(self.shared.id, ClientEvent::Terminate));
                Ok(ControlFlow::Break(ParseProgress::Finished))
            }
            Some(_) => Err(ProtocolError::UnknownMessageType),
        }
    }

    /// The next message would complete a command, but the limits on unanswered commands do not allow another
    /// one. Guards against a client that stops within a command behind others: it is read from until the
    /// command is complete, and so has a deadline for that.
    fn must_wait_for_capacity(&self) -> bool {
        let is_part_of_batch = |tag| match self.parse_state {
            ParseState::Extended(_) => begins_or_continues_batch(tag),
            ParseState::Startup | ParseState::Simple => false,
        };
        let completes_command = self.frames.complete_message_tag().is_some_and(|tag| !is_part_of_batch(tag));
        completes_command && !self.shared.has_capacity()
    }

    /// Counts the completed batch, and reports it.
    fn report_batch(&mut self, end: BatchEnd, events: &EventSink) {
        let ParseState::Extended(batch) = &mut self.parse_state else { return };
        let PartialBatch { messages, bytes } = std::mem::take(batch);
        let batch = ClientBatch { received_at: self.last_read_at, messages, end };
        self.count_command(bytes);
        events(ReactorEvent::Extended(self.shared.id, ClientEvent::Command(batch)));
    }
}

impl PartialBatch {
    /// Adds a message.
    pub(super) fn push(&mut self, message: &[u8]) -> Result<(), ProtocolError> {
        self.bytes += message.len();
        if self.bytes > MAX_BATCH_BYTES || self.messages.len() >= MAX_BATCH_MESSAGES {
            return Err(ProtocolError::BatchTooLong);
        }
        self.messages.push(message.to_vec());
        Ok(())
    }

    /// Handles the message that ends the batch: a Sync, a Flush, or a simple query by itself.
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

/// The text of a Query message.
fn query_text(message: &[u8]) -> Result<&[u8], ProtocolError> {
    let body = pg::message_body(message);
    let (text, _) = pg::split_c_string(body).ok_or(ProtocolError::UnterminatedQuery)?;
    if text.len() + QUERY_OVERHEAD_BYTES != message.len() {
        return Err(ProtocolError::BytesAfterQuery);
    }
    Ok(text)
}

/// A message of a batch other than the one that ends it.
fn begins_or_continues_batch(tag: u8) -> bool {
    matches!(tag, frontend::PARSE | frontend::BIND | frontend::EXECUTE | frontend::DESCRIBE | frontend::CLOSE)
}

/// A message that clients may send, but that the simple query protocol here does not support.
fn is_known_but_unsupported(tag: u8) -> bool {
    matches!(
        tag,
        frontend::PARSE
            | frontend::BIND
            | frontend::EXECUTE
            | frontend::DESCRIBE
            | frontend::CLOSE
            | frontend::FLUSH
            | frontend::SYNC
            | frontend::FUNCTION_CALL
    )
}
