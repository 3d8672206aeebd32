//! The encoding of a final answer for a client.

use crate::core::FinalAnswer;
use crate::exchange::{MemberResponse, millis_rounded_up};
use crate::pg::{put_error_response, sqlstate};

/// Appends the member's response or, if the request was rejected or failed, an ErrorResponse.
pub fn append_final_answer(out: &mut Vec<u8>, answer: &FinalAnswer<MemberResponse>) {
    match answer {
        FinalAnswer::Served(response) => out.extend_from_slice(&response.bytes),
        FinalAnswer::Rejected { retry_after } => {
            let retry_after_ms = (*retry_after > 0).then(|| millis_rounded_up(*retry_after));
            let text = "refused, nothing has run: try again";
            put_error_response(out, "ERROR", sqlstate::TOO_MANY_CONNECTIONS, text, retry_after_ms);
        }
        FinalAnswer::Failed { maybe_executed: true } => {
            let text = "no answer from the member: it may have run";
            put_error_response(out, "ERROR", sqlstate::TRANSACTION_RESOLUTION_UNKNOWN, text, None);
        }
        FinalAnswer::Failed { maybe_executed: false } => {
            let text = "could not be served in time";
            put_error_response(out, "ERROR", sqlstate::QUERY_CANCELED, text, None);
        }
    }
}
