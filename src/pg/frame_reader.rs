//! Splits the bytes of a connection into messages, and checks their lengths.

use super::HEADER_BYTES;
use super::error::ProtocolError;
use super::message_tags::backend;
use crate::sockets::TransientErrorRetries;
use std::io::Read;
use std::ops::RangeInclusive;

/// The longest message that is read: a value of 64 KiB as hexadecimal digits, with room around it.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The longest message of a server other than a row: errors, notices, descriptions.
const MAX_CONTROL_MESSAGE_BYTES: usize = 16 * 1024;
/// The most bytes in one read from the socket.
const READ_BYTES: usize = 16 * 1024;
/// An empty buffer with more capacity than this is released.
const MAX_IDLE_CAPACITY: usize = 4 * READ_BYTES;
/// The length of a length field, which counts itself.
const LENGTH_FIELD_BYTES: usize = 4;

/// The lengths that a startup packet may have.
const STARTUP_PACKET_LENGTHS: RangeInclusive<usize> = 8..=10_000;
/// The code of a request to cancel a command of another connection.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const CANCEL_REQUEST_BYTES: usize = 16;
/// The code of a request for TLS.
const SSL_REQUEST_CODE: u32 = 80_877_103;
/// The code of a request for GSS encryption.
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;
const ENCRYPTION_REQUEST_BYTES: usize = 8;
/// The protocol versions that are served: 3.0 and later minor versions.
const PROTOCOL_VERSIONS: RangeInclusive<u32> = 196_608..=196_699;

/// The first packet of a client's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// The startup message of version 3.
    Startup,
    /// A request for TLS or GSS encryption, which is answered `N`.
    EncryptionRequest,
    /// A request to cancel a command of another connection.
    CancelRequest {
        /// The connection's process id.
        process: u32,
        /// Its secret.
        secret: u32,
    },
}

/// The bytes of a connection, and the messages in them.
#[derive(Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// The start of the bytes that are not consumed yet.
    start: usize,
}

impl FrameReader {
    /// Reads once; `false` at the end of the stream. Blocks if the stream does.
    pub fn fill(&mut self, mut stream: impl Read) -> std::io::Result<bool> {
        if self.start > 0 {
            self.discard_taken();
        }
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY {
            // Guards against keeping the memory of a long message for as long as the connection lasts.
            self.buffer = Vec::new();
        }
        let filled = self.buffer.len();
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

    /// Appends bytes that were read elsewhere.
    pub fn push(&mut self, bytes: &[u8]) {
        self.discard_taken();
        self.buffer.extend_from_slice(bytes);
    }

    /// The bytes that have arrived and are not consumed yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    fn discard_taken(&mut self) {
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

    /// The type of a client's next message, if it has arrived completely. An invalid length counts as
    /// complete: nothing more is waited for.
    pub fn complete_message_tag(&self) -> Option<u8> {
        let tag = *self.buffered().first()?;
        let length = length_at(self.buffered(), 1)?;
        let is_complete = length > MAX_MESSAGE_BYTES || self.buffered().len() > length;
        is_complete.then_some(tag)
    }

    /// Consumes the next complete message of a client: its type, and all its bytes with type and length.
    pub fn next_message(&mut self) -> Result<Option<(u8, &[u8])>, ProtocolError> {
        self.next_frame(|_| Some(LENGTH_FIELD_BYTES..=MAX_MESSAGE_BYTES))
    }

    /// Consumes the next complete message of a server.
    ///
    /// Anything that no server can send is rejected once its header has arrived: a message of 3 GB,
    /// or noise, is not waited for.
    pub fn next_reply(&mut self) -> Result<Option<(u8, &[u8])>, ProtocolError> {
        if self.first_value_exceeds_row() {
            return Err(ProtocolError::ValueTooLong);
        }
        self.next_frame(reply_lengths)
    }

    /// Whether a row has begun whose first value is longer than the row, by its length field.
    fn first_value_exceeds_row(&self) -> bool {
        const HEADER_AND_FIRST_VALUE_LENGTH: usize = 11;
        const ROW_BYTES_BEFORE_FIRST_VALUE: i32 = 10;
        let Some(&[backend::DATA_ROW, _, _, _, _, _, _, a, b, c, d]) =
            self.buffered().get(..HEADER_AND_FIRST_VALUE_LENGTH)
        else {
            return false;
        };
        let room = length_at(self.buffered(), 1)
            .map_or(0, |row_length| (row_length as i32).wrapping_sub(ROW_BYTES_BEFORE_FIRST_VALUE));
        i32::from_be_bytes([a, b, c, d]) > room
    }

    /// Consumes the next complete message; its type allows these lengths, or is unknown.
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

/// The lengths that a server's message of this type may have; `None` if no server sends it.
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
    let code = u32_at(packet, 4).ok_or(ProtocolError::UnknownStartupPacket)?;
    match (code, packet.len()) {
        (SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE, ENCRYPTION_REQUEST_BYTES) => {
            Ok(StartupPacket::EncryptionRequest)
        }
        (CANCEL_REQUEST_CODE, CANCEL_REQUEST_BYTES) => {
            let process = u32_at(packet, 8).ok_or(ProtocolError::CancelWithoutKey)?;
            let secret = u32_at(packet, 12).ok_or(ProtocolError::CancelWithoutKey)?;
            Ok(StartupPacket::CancelRequest { process, secret })
        }
        (version, length)
            if PROTOCOL_VERSIONS.contains(&version)
                && length > ENCRYPTION_REQUEST_BYTES
                && packet.last() == Some(&0) =>
        {
            Ok(StartupPacket::Startup)
        }
        _ => Err(ProtocolError::UnknownStartupPacket),
    }
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + LENGTH_FIELD_BYTES)?;
    Some(u32::from_be_bytes([field[0], field[1], field[2], field[3]]))
}

fn length_at(bytes: &[u8], at: usize) -> Option<usize> {
    u32_at(bytes, at).map(|length| length as usize)
}
