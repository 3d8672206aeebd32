//! Splits the bytes that are received on a connection into messages, and checks the lengths of these.

use super::HEADER_BYTES;
use super::error::ProtocolError;
use super::message_tags::backend;
use crate::sockets::TransientErrorRetries;
use std::io::Read;
use std::ops::RangeInclusive;

/// The maximum length of a message. A value of 64 KiB takes half of it, as each byte is encoded as two
/// hexadecimal digits.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The maximum length of an error, a notice, a description and other messages of a server that are not rows.
const MAX_CONTROL_MESSAGE_BYTES: usize = 16 * 1024;
/// The maximum number of bytes in one read from the stream.
const READ_BYTES: usize = 16 * 1024;
/// The capacity above which the buffer of an idle connection is freed.
const MAX_IDLE_CAPACITY: usize = 2 * READ_BYTES;
/// The length of a message's length field. The value of the field includes this length.
const LENGTH_FIELD_BYTES: usize = 4;

/// The lengths that a startup packet may have.
const STARTUP_PACKET_LENGTHS: RangeInclusive<usize> = 8..=10_000;
/// The bytes of a startup packet before its parameters: its length and its code.
const STARTUP_HEADER_BYTES: usize = 8;

/// What a startup packet asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupKind {
    /// The protocol of version 3, with parameters.
    Startup,
    /// TLS or GSS encryption.
    Encryption,
    /// To cancel a command of another connection.
    Cancel,
}

/// The form of a kind of startup packet.
#[derive(Clone, Debug)]
pub struct StartupForm {
    /// What the packet asks for.
    pub kind: StartupKind,
    /// Its codes.
    pub codes: RangeInclusive<u32>,
    /// Its lengths in bytes.
    pub lengths: RangeInclusive<usize>,
}

/// All startup packets that the parser accepts.
pub const STARTUP_FORMS: [StartupForm; 4] = [
    // Protocol versions 3.0 to 3.91.
    StartupForm { kind: StartupKind::Startup, codes: 196_608..=196_699, lengths: 9..=10_000 },
    StartupForm { kind: StartupKind::Cancel, codes: 80_877_102..=80_877_102, lengths: 16..=16 },
    // SSLRequest.
    StartupForm { kind: StartupKind::Encryption, codes: 80_877_103..=80_877_103, lengths: 8..=8 },
    // GSSENCRequest.
    StartupForm { kind: StartupKind::Encryption, codes: 80_877_104..=80_877_104, lengths: 8..=8 },
];

/// The first packet of a client's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// The startup message of version 3.
    Startup,
    /// A request for TLS or GSS encryption. The proxy supports neither and replies `N`.
    EncryptionRequest,
    /// A request to cancel a command of another connection.
    CancelRequest {
        /// The process id in the BackendKeyData of that connection.
        process: u32,
        /// The secret in the BackendKeyData of that connection.
        secret: u32,
    },
}

/// The receive buffer of a connection, from which complete messages are consumed.
#[derive(Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// The index in `buffer` of the first byte that has not been consumed.
    start: usize,
}

impl FrameReader {
    /// Reads once from the stream; returns `false` at its end. Blocks if the stream is blocking. A read that
    /// fails with a transient error is retried as [`TransientErrorRetries`] allows.
    pub fn fill(&mut self, mut stream: impl Read) -> std::io::Result<bool> {
        if self.start > 0 {
            self.discard_consumed();
        }
        let filled = self.buffer.len();
        self.reserve(READ_BYTES);
        self.buffer.resize(filled + READ_BYTES, 0);
        let mut retries = TransientErrorRetries::default();
        let result = loop {
            match stream.read(&mut self.buffer[filled..]) {
                Err(error) if retries.should_retry_after(&error) => {}
                other => break other,
            }
        };
        self.buffer.truncate(filled + *result.as_ref().unwrap_or(&0));
        result.map(|length| length > 0)
    }

    /// Frees the buffer if it is large and all its bytes have been consumed. Without this, the memory of a
    /// long message would stay allocated while the connection is idle.
    pub fn release_idle_buffer(&mut self) {
        if self.buffered().is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY {
            *self = FrameReader::default();
        }
    }

    /// Appends bytes that the caller has read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.discard_consumed();
        self.reserve(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Reserves capacity for more bytes. The capacity of a long buffer grows in steps instead of doubling, so
    /// that it exceeds the bytes of an incomplete message by little.
    fn reserve(&mut self, additional: usize) {
        let length = self.buffer.len() + additional;
        if length > self.buffer.capacity() && length > READ_BYTES {
            self.buffer.reserve_exact(length.next_multiple_of(READ_BYTES) - self.buffer.len());
        }
    }

    /// The bytes that have been received and not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    fn discard_consumed(&mut self) {
        self.buffer.drain(..self.start);
        self.start = 0;
    }

    /// Consumes the startup packet, which has no type byte, if it has arrived completely.
    pub fn next_startup_packet(&mut self) -> Result<Option<StartupPacket>, ProtocolError> {
        let Some(length) = length_at(self.buffered(), 0) else { return Ok(None) };
        if !STARTUP_PACKET_LENGTHS.contains(&length) {
            return Err(ProtocolError::StartupPacketLength);
        }
        let Some(bytes) = self.buffered().get(..length) else { return Ok(None) };
        let packet = parse_startup_packet(bytes)?;
        self.start += length;
        Ok(Some(packet))
    }

    /// Whether a startup packet has arrived completely. A packet of invalid length counts as complete,
    /// because [`next_startup_packet`](Self::next_startup_packet) rejects it without the rest.
    pub fn has_complete_startup_packet(&self) -> bool {
        length_at(self.buffered(), 0).is_some_and(|length| {
            !STARTUP_PACKET_LENGTHS.contains(&length) || self.buffered().len() >= length
        })
    }

    /// The type of a client's next message, if the message has arrived completely. A message of invalid
    /// length counts as complete, because [`next_message`](Self::next_message) rejects it without the rest.
    pub fn complete_message_tag(&self) -> Option<u8> {
        let tag = *self.buffered().first()?;
        let length = length_at(self.buffered(), 1)?;
        let is_complete = length > MAX_MESSAGE_BYTES || self.buffered().len() > length;
        is_complete.then_some(tag)
    }

    /// Consumes the next complete message of a client. Returns its type and all its bytes, including the
    /// type and the length field; `None` if no complete message has arrived.
    pub fn next_message(&mut self) -> Result<Option<(u8, &[u8])>, ProtocolError> {
        self.next_frame(|_| Some(LENGTH_FIELD_BYTES..=MAX_MESSAGE_BYTES))
    }

    /// Consumes the next complete message of a server. Returns the same as
    /// [`next_message`](Self::next_message).
    ///
    /// A message that no server can send is rejected as soon as its header has arrived. Otherwise the
    /// connection would wait for the rest of a message whose length field says, for example, 3 GB, or of
    /// random bytes.
    pub fn next_reply(&mut self) -> Result<Option<(u8, &[u8])>, ProtocolError> {
        if self.first_value_exceeds_row() {
            return Err(ProtocolError::ValueTooLong);
        }
        self.next_frame(reply_lengths)
    }

    /// Whether the next message is a DataRow with a first value that is longer, by its length field, than the
    /// row.
    fn first_value_exceeds_row(&self) -> bool {
        // Type, length field, number of values, length field of the first value.
        const HEADER_AND_FIRST_VALUE_LENGTH: usize = 11;
        // The same without the type, which the row's length field does not count.
        const ROW_BYTES_BEFORE_FIRST_VALUE: i32 = 10;
        let Some(&[backend::DATA_ROW, _, _, _, _, _, _, a, b, c, d]) =
            self.buffered().get(..HEADER_AND_FIRST_VALUE_LENGTH)
        else {
            return false;
        };
        let max_value_length = length_at(self.buffered(), 1)
            .map_or(0, |row_length| (row_length as i32).wrapping_sub(ROW_BYTES_BEFORE_FIRST_VALUE));
        i32::from_be_bytes([a, b, c, d]) > max_value_length
    }

    /// Consumes the next complete message. `allowed_lengths` returns the lengths that a message of a type may
    /// have, or `None` for an unknown type.
    fn next_frame(
        &mut self,
        allowed_lengths: impl Fn(u8) -> Option<RangeInclusive<usize>>,
    ) -> Result<Option<(u8, &[u8])>, ProtocolError> {
        let Some(&tag) = self.buffered().first() else { return Ok(None) };
        let allowed = allowed_lengths(tag).ok_or(ProtocolError::UnknownReplyType)?;
        let Some(length) = length_at(self.buffered(), 1) else { return Ok(None) };
        if length < *allowed.start() {
            return Err(ProtocolError::MessageTooShort);
        }
        if length > *allowed.end() {
            return Err(ProtocolError::MessageTooLong);
        }
        if self.buffered().len() <= length {
            return Ok(None);
        }
        let start = self.start;
        self.start += length + 1;
        Ok(Some((tag, &self.buffer[start..self.start])))
    }
}

#[cfg(test)]
impl From<&[u8]> for FrameReader {
    fn from(bytes: &[u8]) -> Self {
        FrameReader { buffer: bytes.to_vec(), start: 0 }
    }
}

/// The lengths that a server's message of this type may have; `None` if no server sends messages of the type.
fn reply_lengths(tag: u8) -> Option<RangeInclusive<usize>> {
    const EMPTY: usize = LENGTH_FIELD_BYTES;
    const READY: usize = HEADER_BYTES;
    match tag {
        backend::READY_FOR_QUERY => Some(READY..=READY),
        backend::PARSE_COMPLETE
        | backend::BIND_COMPLETE
        | backend::CLOSE_COMPLETE
        | backend::NO_DATA
        | backend::PORTAL_SUSPENDED
        | backend::EMPTY_QUERY_RESPONSE => Some(EMPTY..=EMPTY),
        backend::COMMAND_COMPLETE => Some(6..=128),
        backend::DATA_ROW => Some(6..=MAX_MESSAGE_BYTES),
        backend::ERROR_RESPONSE
        | backend::NOTICE_RESPONSE
        | backend::PARAMETER_STATUS
        | backend::ROW_DESCRIPTION
        | backend::PARAMETER_DESCRIPTION
        | backend::AUTHENTICATION
        | backend::BACKEND_KEY_DATA
        | backend::NEGOTIATE_PROTOCOL_VERSION => Some(EMPTY..=MAX_CONTROL_MESSAGE_BYTES),
        _ => None,
    }
}

fn parse_startup_packet(packet: &[u8]) -> Result<StartupPacket, ProtocolError> {
    let code = u32_at(packet, LENGTH_FIELD_BYTES).ok_or(ProtocolError::UnknownStartupPacket)?;
    let fits = |form: &&StartupForm| form.codes.contains(&code) && form.lengths.contains(&packet.len());
    let form = STARTUP_FORMS.iter().find(fits).ok_or(ProtocolError::UnknownStartupPacket)?;
    match form.kind {
        StartupKind::Startup if packet.last() == Some(&0) => Ok(StartupPacket::Startup),
        StartupKind::Startup => Err(ProtocolError::UnknownStartupPacket),
        StartupKind::Encryption => Ok(StartupPacket::EncryptionRequest),
        StartupKind::Cancel => {
            let process = u32_at(packet, STARTUP_HEADER_BYTES).ok_or(ProtocolError::CancelWithoutKey)?;
            let secret = u32_at(packet, STARTUP_HEADER_BYTES + LENGTH_FIELD_BYTES);
            let secret = secret.ok_or(ProtocolError::CancelWithoutKey)?;
            Ok(StartupPacket::CancelRequest { process, secret })
        }
    }
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + LENGTH_FIELD_BYTES)?;
    Some(u32::from_be_bytes([field[0], field[1], field[2], field[3]]))
}

fn length_at(bytes: &[u8], at: usize) -> Option<usize> {
    u32_at(bytes, at).map(|length| length as usize)
}
