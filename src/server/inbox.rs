//! The queue of messages to the event loop. It counts its length and the wait in it, by their source.

use super::Message;
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The most messages that are queued; a sender blocks while the queue is full.
const CAPACITY: usize = 1024;

/// Where messages to the event loop come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Operators, signals and the store.
    Control,
    /// Connections to members.
    Members,
    /// Discovery watches.
    Discovery,
    /// Client connections.
    Clients,
}

impl Source {
    /// All sources, in the order of their numbers.
    pub const ALL: [Source; 4] = [Source::Control, Source::Members, Source::Discovery, Source::Clients];

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Source::Control => "control",
            Source::Members => "members",
            Source::Discovery => "discovery",
            Source::Clients => "clients",
        }
    }
}

/// The messages of one source: those that wait now, and totals since the start of the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceCounts {
    /// The messages that wait now.
    pub queued: usize,
    /// The most messages that have waited at a time.
    pub most_queued: usize,
    /// The messages that the event loop has taken.
    pub taken: u64,
    /// The sum of the times from the start of their sending to the event loop's taking them.
    pub waited: Duration,
    /// The longest of these times.
    pub longest_wait: Duration,
}

/// The counts of all sources, in the order of [`Source::ALL`].
pub type InboxCounts = [SourceCounts; Source::ALL.len()];

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
pub struct Inbox(Arc<Shared>);

struct Shared {
    queue: Mutex<Queue>,
    message_queued: Condvar,
    place_free: Condvar,
}

#[derive(Default)]
struct Queue {
    messages: VecDeque<(Instant, Message)>,
    counts: InboxCounts,
    is_closed: bool,
}

/// Creates the queue.
pub fn inbox() -> (Messages, Inbox) {
    let shared =
        Shared { queue: Mutex::default(), message_queued: Condvar::new(), place_free: Condvar::new() };
    let shared = Arc::new(shared);
    (Messages(shared.clone()), Inbox(shared))
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Messages {
    /// Queues a message; blocks while the queue is full.
    pub fn send(&self, message: Message) -> Result<(), NotQueued> {
        self.send_until(message, None)
    }

    /// Queues a message; fails if the queue stays full for this long.
    pub fn send_timeout(&self, message: Message, timeout: Duration) -> Result<(), NotQueued> {
        self.send_until(message, Some(Instant::now() + timeout))
    }

    fn send_until(&self, message: Message, deadline: Option<Instant>) -> Result<(), NotQueued> {
        let sent_at = Instant::now();
        let mut queue = self.0.queue();
        while queue.messages.len() >= CAPACITY && !queue.is_closed {
            let left = deadline.map_or(Duration::MAX, |at| at.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                return Err(NotQueued::Full);
            }
            queue = wait(&self.0.place_free, queue, left);
        }
        if queue.is_closed {
            return Err(NotQueued::Closed);
        }
        queue.push(sent_at, message);
        drop(queue);
        self.0.message_queued.notify_one();
        Ok(())
    }
}

impl Inbox {
    /// Takes the next message, and waits for it until this time, or without a limit; `None` if none came.
    pub fn take_until(&self, deadline: Option<Instant>) -> Option<Message> {
        let mut queue = self.0.queue();
        loop {
            if let Some(message) = queue.pop() {
                drop(queue);
                self.0.place_free.notify_one();
                return Some(message);
            }
            let left = deadline.map_or(Duration::MAX, |at| at.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                return None;
            }
            queue = wait(&self.0.message_queued, queue, left);
        }
    }

    /// The counts of all sources.
    pub fn counts(&self) -> InboxCounts {
        self.0.queue().counts
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.0.queue().is_closed = true;
        self.0.place_free.notify_all();
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
    fn push(&mut self, sent_at: Instant, message: Message) {
        self.counts[message.source() as usize].count_queued();
        self.messages.push_back((sent_at, message));
    }

    fn pop(&mut self) -> Option<Message> {
        let (sent_at, message) = self.messages.pop_front()?;
        self.counts[message.source() as usize].count_taken(sent_at.elapsed());
        Some(message)
    }
}

impl SourceCounts {
    fn count_queued(&mut self) {
        self.queued += 1;
        self.most_queued = self.most_queued.max(self.queued);
    }

    fn count_taken(&mut self, waited: Duration) {
        self.queued -= 1;
        self.taken += 1;
        self.waited += waited;
        self.longest_wait = self.longest_wait.max(waited);
    }
}
