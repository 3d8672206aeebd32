//! Summarizes a member's response to a batch.

use crate::pg::message_tags::backend;

/// The length of a message's type and length field.
const HEADER_BYTES: usize = 5;

/// Whether a message is the last one of the reply to one of the client's messages.
fn ends_message(tag: u8) -> bool {
    use backend::*;
    matches!(
        tag,
        PARSE_COMPLETE
            | BIND_COMPLETE
            | CLOSE_COMPLETE
            | ROW_DESCRIPTION
            | NO_DATA
            | COMMAND_COMPLETE
            | PORTAL_SUSPENDED
            | EMPTY_QUERY_RESPONSE
    )
}

/// A summary of the messages of a response.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReplySummary {
    /// The number of the client's messages that were carried out, before the first ErrorResponse.
    pub completed: usize,
    /// Whether one of the messages is an ErrorResponse.
    pub has_error: bool,
}

impl ReplySummary {
    /// Summarizes the messages of a response.
    pub fn of(mut messages: &[u8]) -> Self {
        let mut summary = ReplySummary::default();
        while let Some((header, _)) = messages.split_first_chunk::<HEADER_BYTES>() {
            let [tag, length @ ..] = *header;
            summary.has_error |= tag == backend::ERROR_RESPONSE;
            summary.completed += usize::from(!summary.has_error && ends_message(tag));
            let message_bytes = 1 + u32::from_be_bytes(length) as usize;
            messages = messages.get(message_bytes..).unwrap_or_default();
        }
        summary
    }
}
