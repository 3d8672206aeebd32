//! Checks whether an idle connection is still alive.

use super::connect::{OpenConnection, fill_before};
use crate::pg;
use crate::pg::message_tags::backend;
use std::io::Write;
use std::time::Instant;

/// Whether a connection to a member is alive: an empty query, which has no effect, is answered before
/// the deadline. Leaves the read timeout set.
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
            // One deadline for the complete reply. Guards against a member that sends a little at a time.
            None => {
                if fill_before(deadline, stream, frames).is_err() {
                    return false;
                }
            }
        }
    }
}
