//! The answers that wait for one client's socket.

use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Answers that may wait for one client's socket; with more, a client that does not read is cut off.
const MAX_WAITING_ANSWERS: usize = 16;

/// What became of an answer that was added to a [`WriteBuffer`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Added {
    /// It is the only one: the socket may take it at once.
    First,
    /// It waits behind others.
    Queued,
    /// The limits leave no room for it.
    Rejected,
}

/// Answers that wait for a client's socket. Their bytes also count in a total over all clients, each answer
/// until it is written completely.
#[derive(Default)]
pub(super) struct WriteBuffer {
    answers: VecDeque<Vec<u8>>,
    /// Bytes of the first answer that have been written.
    written_of_first: usize,
}

impl WriteBuffer {
    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Bytes that the socket has not taken yet.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.counted_bytes() - self.written_of_first
    }

    /// Bytes that count in the total over all clients.
    pub(super) fn counted_bytes(&self) -> usize {
        self.answers.iter().map(Vec::len).sum()
    }

    /// Adds an answer. One that need not wait behind others is always taken.
    pub(super) fn push(
        &mut self,
        answer: Vec<u8>,
        total_bytes: &AtomicUsize,
        max_total_bytes: usize,
    ) -> Added {
        let length = answer.len();
        let total_before = total_bytes.fetch_add(length, Ordering::SeqCst);
        let must_wait = !self.answers.is_empty();
        let too_much = total_before + length > max_total_bytes || self.answers.len() >= MAX_WAITING_ANSWERS;
        if must_wait && too_much {
            total_bytes.fetch_sub(length, Ordering::SeqCst);
            return Added::Rejected;
        }
        self.answers.push_back(answer);
        if must_wait { Added::Queued } else { Added::First }
    }

    /// Writes what the socket takes; `false` if it takes nothing any more.
    pub(super) fn flush(&mut self, mut socket: &TcpStream, total_bytes: &AtomicUsize) -> bool {
        while let Some(first) = self.answers.front() {
            match socket.write(&first[self.written_of_first..]) {
                Ok(written) => self.written_of_first += written,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
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
