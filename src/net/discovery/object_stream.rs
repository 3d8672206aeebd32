//! Splits a stream of JSON objects into single objects.

use super::error::DiscoveryError;

/// The longest accepted endpoint list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// An item that a byte of the stream completes.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An empty line, which the sender writes as a heartbeat.
    Heartbeat,
    /// The text of an object.
    Object(Vec<u8>),
}

/// Splits a stream of JSON objects, regardless of line breaks.
#[derive(Default)]
pub struct ObjectStream {
    /// The incomplete object.
    object: Vec<u8>,
    /// The number of open braces in the incomplete object; 0 between objects.
    depth: usize,
    /// Whether the last byte is within a string, where braces do not count.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next one.
    after_backslash: bool,
}

impl ObjectStream {
    /// Whether the stream is between the first and the last byte of an object.
    pub fn is_within_object(&self) -> bool {
        !self.object.is_empty()
    }

    /// Handles the next byte, and returns the item that it completes.
    pub fn push(&mut self, byte: u8) -> Result<Option<StreamItem>, DiscoveryError> {
        if self.depth == 0 && byte != b'{' {
            return match byte {
                b'\n' => Ok(Some(StreamItem::Heartbeat)),
                _ if byte.is_ascii_whitespace() => Ok(None),
                _ => Err(DiscoveryError::NotAnObject),
            };
        }
        self.object.push(byte);
        if self.object.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::ListTooLong);
        }
        match byte {
            _ if self.after_backslash => self.after_backslash = false,
            b'\\' if self.in_string => self.after_backslash = true,
            b'"' => self.in_string = !self.in_string,
            b'{' if !self.in_string => self.depth += 1,
            b'}' if !self.in_string => self.depth -= 1,
            _ => {}
        }
        if self.depth > 0 {
            return Ok(None);
        }
        Ok(Some(StreamItem::Object(std::mem::take(&mut self.object))))
    }
}
