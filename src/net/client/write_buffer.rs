//! The answers that wait to be written to one client's socket.

use crate::sockets::is_transient_error;
use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The most answers that may wait for one client's socket. A client that exceeds the limit, because it does
/// not read its answers, is disconnected.
pub(super) const MAX_WAITING_ANSWERS: usize = 16;

/// The result of adding an answer to a [`WriteBuffer`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Added {
    /// The answer is the only one in the buffer, so that it can be written immediately.
    First,
    /// The answer is queued behind others.
    Queued,
    /// The answer was not added because it would exceed the limits.
    Rejected,
}

/// The limits on answers behind the first one.
#[derive(Clone, Copy)]
pub(super) struct WriteLimits {
    /// The most answers that wait for this client's socket.
    pub(super) max_answers: usize,
    /// The most bytes of the waiting answers of all clients.
    pub(super) max_total_bytes: usize,
}

/// The queue of answers that wait for a client's socket. Their bytes also count in a total over all clients;
/// all bytes of an answer count until it has been written completely.
#[derive(Default)]
pub(super) struct WriteBuffer {
    answers: VecDeque<Vec<u8>>,
    /// The number of bytes of the first answer that have been written.
    written_of_first: usize,
}

impl WriteBuffer {
    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// The number of answers that have not been written completely.
    pub(super) fn answer_count(&self) -> usize {
        self.answers.len()
    }

    /// The number of bytes that have not been written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.counted_bytes() - self.written_of_first
    }

    /// The number of bytes that count towards the total over all clients.
    pub(super) fn counted_bytes(&self) -> usize {
        self.answers.iter().map(Vec::len).sum()
    }

    /// Whether the waiting answers have more bytes than `part` while those of all clients have more than
    /// `max_total_bytes`.
    pub(super) fn exceeds(&self, part: usize, total_bytes: &AtomicUsize, max_total_bytes: usize) -> bool {
        self.counted_bytes() > part && total_bytes.load(Ordering::SeqCst) > max_total_bytes
    }

    /// Adds an answer. The first answer in an empty buffer is accepted whatever the limits.
    pub(super) fn push(&mut self, answer: Vec<u8>, total_bytes: &AtomicUsize, limits: WriteLimits) -> Added {
        let length = answer.len();
        let total_before = total_bytes.fetch_add(length, Ordering::SeqCst);
        let must_wait = !self.answers.is_empty();
        let exceeds_bytes = total_before + length > limits.max_total_bytes;
        let too_much = exceeds_bytes || self.answers.len() >= limits.max_answers;
        if must_wait && too_much {
            total_bytes.fetch_sub(length, Ordering::SeqCst);
            return Added::Rejected;
        }
        self.answers.push_back(answer);
        if must_wait { Added::Queued } else { Added::First }
    }

    /// Writes as much as the socket accepts; `false` if the socket can't be written to any more.
    pub(super) fn flush(&mut self, mut socket: &TcpStream, total_bytes: &AtomicUsize) -> bool {
        while let Some(first) = self.answers.front() {
            match socket.write(&first[self.written_of_first..]) {
                Ok(written) => self.written_of_first += written,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The rest is written when `epoll` reports the socket as writable.
                Err(error) => return error.kind() == ErrorKind::WouldBlock || is_transient_error(&error),
            }
            if self.written_of_first == first.len() {
                total_bytes.fetch_sub(first.len(), Ordering::SeqCst);
                self.answers.pop_front();
                self.written_of_first = 0;
            }
        }
        true
    }
}
