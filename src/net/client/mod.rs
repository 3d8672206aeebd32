//! Client connections: one reactor thread accepts and reads for all of them, and the event loop writes
//! through a handle for each. Neither makes decisions.
//!
//! A thread or two for each client would be the simple way with blocking sockets. Measured with 170 of them,
//! two thirds of a proxy's share of a core went into threads that were woken only to be stopped and continued
//! with the process; so the sockets are non-blocking here, and `epoll` reports which of them are ready.

mod accept_gate;
mod commands;
mod connection;
mod deadlines;
mod event_barrier;
mod handle;
mod presence;
mod reactor;
mod readiness;
mod shared;
mod write_buffer;

pub use accept_gate::ClientListener;
pub use event_barrier::EventBarrier;
pub use handle::{ClientHandle, ReactorHandle};
pub use presence::ClientPresence;
pub use reactor::ClientReactor;

use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};

/// An event that the reactor reports.
pub enum ReactorEvent {
    /// A new connection, and the handle to write to it.
    Accepted(ClientId, ClientHandle),
    /// From a connection that speaks the simple query protocol.
    Simple(ClientId, ClientEvent<SimpleQuery>),
    /// From a connection that speaks the extended query protocol.
    Extended(ClientId, ClientEvent<ClientBatch>),
    /// All events that had arrived when the barrier was requested have been reported.
    Barrier(EventBarrier),
    /// Reading from clients has stopped, and all that was read before has been reported.
    ReadingStopped,
}

/// The sink of the reactor's events; may block until there is capacity.
pub type EventSink = Box<dyn Fn(ReactorEvent) + Send>;

/// Limits over all clients.
#[derive(Clone, Copy)]
pub struct ReactorLimits {
    /// Connections, including those that the event loop may still have to reject, and those that linger.
    pub max_connections: usize,
    /// Bytes of answers that wait for sockets.
    pub max_unwritten_bytes: usize,
    /// Bytes of commands that are not answered yet.
    pub max_unanswered_command_bytes: usize,
    /// Bytes of messages that have not arrived completely yet.
    pub max_incomplete_message_bytes: usize,
}

#[cfg(test)]
mod tests;
