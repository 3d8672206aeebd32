//! A destination of messages: a bounded queue, and a thread that writes the queued messages.

use super::SyslogError;
use crate::threads::spawn;
use crossbeam_channel::{Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The most messages in the queue of a sink.
pub const QUEUE_CAPACITY: usize = 1024;

/// The number of messages of a sink that are not written yet: those in its queue and the one that its thread
/// is writing.
#[derive(Clone, Default)]
pub struct Unwritten(Arc<AtomicU64>);

impl Unwritten {
    /// Returns whether there are any.
    pub fn any(&self) -> bool {
        self.0.load(Ordering::SeqCst) > 0
    }

    fn add_one(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    fn remove_one(&self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A destination of messages. Sending never blocks: if the queue is full, the message is dropped and counted.
pub struct Sink {
    queue: Sender<Arc<str>>,
    dropped: Arc<AtomicU64>,
    unwritten: Unwritten,
}

impl Sink {
    /// Starts the thread, which passes each queued message to `write`.
    pub fn start(name: &str, mut write: impl FnMut(&str) + Send + 'static) -> Result<Sink, SyslogError> {
        let (queue, queued) = bounded::<Arc<str>>(QUEUE_CAPACITY);
        let unwritten = Unwritten::default();
        let unwritten_of_thread = unwritten.clone();
        let run = move || {
            while let Ok(message) = queued.recv() {
                write(&message);
                unwritten_of_thread.remove_one();
            }
        };
        spawn(name, run).map_err(SyslogError::Thread)?;
        Ok(Sink { queue, dropped: Arc::default(), unwritten })
    }

    /// Returns the counter of the messages that are not written yet.
    pub fn unwritten(&self) -> Unwritten {
        self.unwritten.clone()
    }

    /// Returns the counter of the messages that were dropped since the last notice.
    #[cfg(test)]
    pub fn dropped(&self) -> Arc<AtomicU64> {
        self.dropped.clone()
    }

    /// Queues a message. If messages were dropped before it, a notice with their number is queued first.
    pub fn send(&self, message: Arc<str>, dropped_notice: impl FnOnce(u64) -> String) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.try_enqueue(dropped_notice(dropped).into()) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if !self.try_enqueue(message) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn try_enqueue(&self, message: Arc<str>) -> bool {
        // Counts the message before it is queued: the thread may write it and decrease the count before
        // `try_send` returns, and the count must not fall below 0.
        self.unwritten.add_one();
        let enqueued = self.queue.try_send(message).is_ok();
        if !enqueued {
            self.unwritten.remove_one();
        }
        enqueued
    }
}
