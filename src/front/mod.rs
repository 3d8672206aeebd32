//! The fronts: each turns what clients say into requests for the core, and verdicts into answers.

pub mod platform;

use crate::core::{Arrival, Verdict};
use crate::{Micros, RequestId};
use std::ops::Range;

/// The number of a client connection, never used twice.
pub type ClientId = u64;

/// What a request asks of a member.
pub enum Work {
    /// A statement as one simple query, and where the digits of its `d` stand.
    Simple {
        /// The bytes that came.
        text: Vec<u8>,
        /// What is to be rewritten.
        wait: Range<usize>,
    },
}

/// What a member answered, as the bytes that came.
pub type Answer = Vec<u8>;

/// What a front wants done.
pub enum Out {
    /// Write to a client.
    Write(ClientId, Vec<u8>),
    /// Close a client's connection once all is written.
    Close(ClientId),
    /// A client may send one more command.
    Credit(ClientId),
    /// A request is taken.
    Take(Arrival<Work>),
    /// A request's client has gone or given it up.
    Left(RequestId),
}

/// Hands out request numbers to both fronts, and remembers whose they are.
#[derive(Default)]
pub struct Desk {
    last: RequestId,
    owners: std::collections::BTreeMap<RequestId, ClientId>,
}

impl Desk {
    /// A number for a request of this client.
    pub fn open(&mut self, client: ClientId) -> RequestId {
        loop {
            self.last = self.last.wrapping_add(1);
            if !self.owners.contains_key(&self.last) {
                self.owners.insert(self.last, client);
                return self.last;
            }
        }
    }

    /// Whose it was, once.
    pub fn close(&mut self, request: RequestId) -> Option<ClientId> {
        self.owners.remove(&request)
    }
}

/// The error that a client gets for a verdict that is not served.
pub fn put_verdict(out: &mut Vec<u8>, verdict: &Verdict<Answer>) {
    use crate::pg;
    match verdict {
        Verdict::Served(answer) => out.extend_from_slice(answer),
        Verdict::Refused { retry_after } => {
            let wait = (*retry_after > 0).then(|| millis(*retry_after));
            pg::put_error(out, "ERROR", pg::TOO_MANY, "refused, nothing has run: try again", wait);
        }
        Verdict::Failed { ran: true } => {
            pg::put_error(
                out,
                "ERROR",
                pg::UNKNOWN_EFFECT,
                "no answer from the member: it may have run",
                None,
            );
        }
        Verdict::Failed { ran: false } => {
            pg::put_error(out, "ERROR", pg::CANCELED, "could not be served in time", None);
        }
    }
}

/// Whole milliseconds, rounded up.
pub fn millis(span: Micros) -> u64 {
    span.div_ceil(1000)
}
