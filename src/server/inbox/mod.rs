//! The queue of messages to the event loop. Every message passes it, and its order bounds what one sender may
//! cost the others.
//!
//! The event loop's time is shared by start-time fair queueing ([`crate::fair_share`]), at two levels: among
//! the sources of messages, and within the clients among their connections. What counts is the time that was
//! measured, so it does not matter which messages a client sends. A connection has no more messages here than
//! it has places ([`crate::net::client::QueuePlace`]); further ones stay in its socket. Members and discovery
//! block while their queue is full.

mod client_queues;
mod counts;

pub use counts::{InboxCounts, Source};

use super::Message;
use crate::fair_share::{FairClock, UsedTime};
use client_queues::ClientQueues;
use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The most queued messages of a source that is not the clients; a sender blocks while they are as many.
const CAPACITY: usize = 1024;
/// The most time of one message that counts for its source.
const MAX_CHARGE: Duration = Duration::from_millis(10);

/// How often the event loop lets other threads run before it sleeps. A sender that is about to send the next
/// message of a pipeline would have to wake it otherwise, for each of them.
const MAX_YIELDS: u32 = 16;

/// Why a message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotQueued {
    /// The queue was full for the whole time.
    Full,
    /// The event loop has ended.
    Closed,
}

/// Sends messages to the event loop.
#[derive(Clone)]
pub struct Messages(Arc<Shared>);

/// The event loop's end of the queue. Senders fail once it has been dropped.
pub struct Inbox {
    shared: Arc<Shared>,
    /// When the last message was taken, and how long its handling took.
    taken_at: Cell<Instant>,
    handled_in: Cell<Duration>,
}

struct Shared {
    queue: Mutex<Queue>,
    message_queued: Condvar,
    place_free: Condvar,
}

/// A message, and when its sender began to send it.
struct QueuedMessage {
    sent_at: Instant,
    message: Message,
}

#[derive(Default)]
struct Queue {
    /// The messages of the sources other than clients, by the number of the source.
    others: [VecDeque<QueuedMessage>; Source::ALL.len()],
    clients: ClientQueues,
    /// The used time of each source.
    used: [UsedTime; Source::ALL.len()],
    clock: FairClock,
    /// The source and the position of the last message that was taken.
    served: Option<(Source, UsedTime)>,
    counts: InboxCounts,
    /// Whether the event loop waits for a message.
    is_awaited: bool,
    is_closed: bool,
}

/// Creates the queue.
pub fn inbox() -> (Messages, Inbox) {
    let shared =
        Shared { queue: Mutex::default(), message_queued: Condvar::new(), place_free: Condvar::new() };
    let shared = Arc::new(shared);
    let taken_at = Cell::new(Instant::now());
    (Messages(shared.clone()), Inbox { shared, taken_at, handled_in: Cell::default() })
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Messages {
    /// Queues a message; blocks while the queue of its source is full. The clients' queue never is, as their
    /// connections have limited places in it.
    pub fn send(&self, message: Message) -> Result<(), NotQueued> {
        self.send_until(message, None)
    }

    /// Queues a message; fails if the queue of its source stays full for this long.
    pub fn send_timeout(&self, message: Message, timeout: Duration) -> Result<(), NotQueued> {
        self.send_until(message, Some(Instant::now() + timeout))
    }

    fn send_until(&self, message: Message, deadline: Option<Instant>) -> Result<(), NotQueued> {
        let message = QueuedMessage { sent_at: Instant::now(), message };
        let source = message.message.source();
        let mut queue = self.0.queue();
        while queue.is_full(source) && !queue.is_closed {
            let left = deadline.map_or(Duration::MAX, |at| at.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                return Err(NotQueued::Full);
            }
            queue = wait(&self.0.place_free, queue, left);
        }
        if queue.is_closed {
            return Err(NotQueued::Closed);
        }
        queue.push(source, message);
        // A notification is a system call, even if nobody waits.
        let is_awaited = std::mem::take(&mut queue.is_awaited);
        drop(queue);
        if is_awaited {
            self.0.message_queued.notify_one();
        }
        Ok(())
    }
}

impl Inbox {
    /// Takes the next message, and waits for it until this time, or without a limit; `None` if none came.
    pub fn take_until(&self, deadline: Option<Instant>) -> Option<Message> {
        let mut queue = self.shared.queue();
        queue.end_turn(self.handled_in.take());
        let mut yields = 0;
        loop {
            if let Some((source, message)) = queue.take(&self.taken_at) {
                let was_full = queue.others[source as usize].len() + 1 >= CAPACITY;
                drop(queue);
                if was_full {
                    self.shared.place_free.notify_all();
                }
                return Some(message);
            }
            let left = deadline.map_or(Duration::MAX, |at| at.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                return None;
            }
            if yields < MAX_YIELDS {
                yields += 1;
                drop(queue);
                std::thread::yield_now();
                queue = self.shared.queue();
                continue;
            }
            queue.is_awaited = true;
            queue = wait(&self.shared.message_queued, queue, left);
            queue.is_awaited = false;
        }
    }

    /// Records that the message which was taken last has been handled.
    pub fn handled(&self) {
        self.handled_in.set(self.taken_at.get().elapsed());
    }

    /// The counts of all sources.
    pub fn counts(&self) -> InboxCounts {
        self.shared.queue().counts
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.shared.queue().is_closed = true;
        self.shared.place_free.notify_all();
    }
}

/// Waits for a notification, `left` at most.
fn wait<'a>(condition: &Condvar, queue: MutexGuard<'a, Queue>, left: Duration) -> MutexGuard<'a, Queue> {
    if left == Duration::MAX {
        return condition.wait(queue).unwrap_or_else(|poisoned| poisoned.into_inner());
    }
    condition.wait_timeout(queue, left).unwrap_or_else(|poisoned| poisoned.into_inner()).0
}

impl Queue {
    fn is_full(&self, source: Source) -> bool {
        self.others[source as usize].len() >= CAPACITY
    }

    fn has_message(&self, source: Source) -> bool {
        match source {
            Source::Clients => !self.clients.is_empty(),
            other => !self.others[other as usize].is_empty(),
        }
    }

    fn push(&mut self, source: Source, message: QueuedMessage) {
        self.counts[source as usize].count_queued();
        match source {
            Source::Clients => self.clients.push(message),
            other => self.others[other as usize].push_back(message),
        }
    }

    /// Takes a message of the source that has used least of the event loop's time, and sets `taken_at`.
    fn take(&mut self, taken_at: &Cell<Instant>) -> Option<(Source, Message)> {
        let position = |source: &Source| self.clock.position(self.used[*source as usize]);
        let waiting = Source::ALL.into_iter().filter(|source| self.has_message(*source));
        let source = waiting.min_by_key(position)?;
        let position = position(&source);
        let QueuedMessage { sent_at, message } = match source {
            Source::Clients => self.clients.take(),
            other => self.others[other as usize].pop_front(),
        }?;
        self.clock.serve(position);
        self.served = Some((source, position));
        taken_at.set(Instant::now());
        self.counts[source as usize].count_taken(taken_at.get() - sent_at);
        Some((source, message))
    }

    /// Charges the source, and the client, of the message that was taken last.
    fn end_turn(&mut self, spent: Duration) {
        let Some((source, position)) = self.served.take() else { return };
        self.used[source as usize] = position.charged(spent, MAX_CHARGE);
        if source == Source::Clients {
            self.clients.message_handled(spent);
        }
    }
}

#[cfg(test)]
mod tests;
