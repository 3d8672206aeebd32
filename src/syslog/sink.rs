//! A destination of messages: a bounded queue, and the thread that writes the queued messages.

use super::SyslogError;
use crate::threads::spawn;
use crossbeam_channel::{Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Messages that one sink may have queued.
pub const QUEUE_CAPACITY: usize = 1024;

/// The number of messages of a sink that are queued and not written yet.
#[derive(Clone, Default)]
pub struct Unwritten(Arc<AtomicU64>);

impl Unwritten {
    /// Whether there are any.
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
    /// Starts the thread that writes, with this function.
    pub fn start(name: &str, mut write: impl FnMut(&str) + Send + 'static) -> Result<Sink, SyslogError> {
        let (queue, queued) = bounded::<Arc<str>>(QUEUE_CAPACITY);
        let unwritten = Unwritten::default();
        let written_by_thread = unwritten.clone();
        let run = move || {
            while let Ok(message) = queued.recv() {
                write(&message);
                written_by_thread.remove_one();
            }
        };
        spawn(name, run).map_err(SyslogError::Thread)?;
        Ok(Sink { queue, dropped: Arc::default(), unwritten })
    }

    /// The number of messages that are not written yet.
    pub fn unwritten(&self) -> Unwritten {
        self.unwritten.clone()
    }

    /// The number of messages that were dropped since the last notice.
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
        // Counted first: the thread may have written it before this returns.
        self.unwritten.add_one();
        let enqueued = self.queue.try_send(message).is_ok();
        if !enqueued {
            self.unwritten.remove_one();
        }
        enqueued
    }
}
