//! The liveness check of an idle connection.

use super::connect::{OpenConnection, fill_before};
use crate::pg;
use crate::pg::message_tags::backend;
use std::io::Write;
use std::time::Instant;

/// Whether the member answers an empty query, which has no effect, before the deadline. The read timeout
/// remains set.
pub(super) fn answers_empty_query(connection: &mut OpenConnection, deadline: Instant) -> bool {
    let OpenConnection { stream, frames } = connection;
    if (&**stream).write_all(&pg::query_message(&[])).is_err() {
        return false;
    }
    let mut empty_query_answered = false;
    loop {
        let tag = match frames.next_reply() {
            Ok(reply) => reply.map(|(tag, _)| tag),
            Err(_) => return false,
        };
        match tag {
            Some(backend::EMPTY_QUERY_RESPONSE) if !empty_query_answered => empty_query_answered = true,
            Some(backend::PARAMETER_STATUS | backend::NOTICE_RESPONSE) => {}
            Some(backend::READY_FOR_QUERY) => return empty_query_answered && frames.buffered().is_empty(),
            Some(_) => return false,
            // The deadline limits the complete reply: a timeout for each read would let a member that sends a
            // few bytes at a time prolong the check without limit.
            None => {
                if fill_before(deadline, stream, frames).is_err() {
                    return false;
                }
            }
        }
    }
}
