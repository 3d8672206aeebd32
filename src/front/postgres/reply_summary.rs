//! Summarizes a member's response to a batch.

use crate::pg::message_tags::backend;

/// The length of a message's type and length field.
const HEADER_BYTES: usize = 5;

/// A summary of the messages of a response.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplySummary {
    /// The number of ParseComplete messages, one for each statement that was prepared.
    pub parse_completes: usize,
    /// Whether one of the messages is an ErrorResponse.
    pub has_error: bool,
}

impl ReplySummary {
    /// Summarizes the messages of a response.
    pub fn of(mut messages: &[u8]) -> Self {
        let mut summary = ReplySummary::default();
        while let Some((header, _)) = messages.split_first_chunk::<HEADER_BYTES>() {
            let [tag, length @ ..] = *header;
            summary.parse_completes += usize::from(tag == backend::PARSE_COMPLETE);
            summary.has_error |= tag == backend::ERROR_RESPONSE;
            let message_bytes = 1 + u32::from_be_bytes(length) as usize;
            messages = messages.get(message_bytes..).unwrap_or_default();
        }
        summary
    }
}
