//! Client connections. One reactor thread accepts connections and reads from all of them; the event loop
//! writes through one handle per connection. Neither the reactor nor the handles decide how requests are
//! handled; the event loop does.
//!
//! The sockets are non-blocking, and `epoll` reports which of them are ready. Blocking sockets would need one
//! or two threads per client. With 170 clients, such threads took two thirds of the proxy's share of a CPU
//! core, because they were woken only to be stopped and continued with the process.

mod accept_gate;
mod commands;
mod connection;
mod deadlines;
mod event_barrier;
mod handle;
mod hold;
mod presence;
mod queue_place;
mod reactor;
mod reactor_shared;
mod readiness;
mod shared;
mod turns;
mod write_buffer;

pub use accept_gate::ClientListener;
pub use event_barrier::EventBarrier;
pub use handle::{ClientHandle, ReactorHandle};
pub use hold::HoldReason;
pub use presence::ClientPresence;
pub use queue_place::QueuePlace;
pub use reactor::ClientReactor;

use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};
use crate::memory_budget::MemoryBudget;
use std::sync::Arc;

/// An event that the reactor reports to the event loop. Each event of a connection takes one of its places in
/// the queue to the event loop.
pub enum ReactorEvent {
    /// A new connection, and the handle to write to it.
    Accepted(ClientId, ClientHandle, QueuePlace),
    /// An event of a connection that uses the simple query protocol.
    Simple(ClientId, ClientEvent<SimpleQuery>, QueuePlace),
    /// An event of a connection that uses the extended query protocol.
    Extended(ClientId, ClientEvent<ClientBatch>, QueuePlace),
    /// All client events that had arrived when the barrier was requested have been reported.
    Barrier(EventBarrier),
    /// Reading from clients has stopped, and everything read before has been reported.
    ReadingStopped,
}

/// Receives the reactor's events. Their number is bounded by the places of the connections.
pub type EventSink = Box<dyn Fn(ReactorEvent) + Send>;

/// Limits on the totals over all client connections.
#[derive(Clone)]
pub struct ReactorLimits {
    /// The most open connections, including those that the event loop has not admitted or rejected yet and
    /// those that are closed but still linger.
    pub max_connections: usize,
    /// The most bytes of answers that wait to be written to sockets.
    pub max_unwritten_bytes: usize,
    /// The bytes of commands that are not answered yet above which no connection may have a second one.
    pub max_unanswered_command_bytes: usize,
    /// The memory of the commands that are not answered yet.
    pub command_memory: Arc<MemoryBudget>,
    /// The most bytes of commands that have not arrived completely. Small incomplete commands don't count.
    pub max_incomplete_command_bytes: usize,
}

#[cfg(test)]
mod tests;
