//! The reactor's interface under the names that the event loop still uses, until it is moved.

use super::{ClientHandle, ClientListener, ClientReactor, ReactorEvent, ReactorHandle, ReactorLimits};
use crate::Settings;
use crate::clock::Clock;
use crate::net::{Message, Messages};
use crossbeam_channel::Sender;
use std::net::TcpListener;
use std::sync::Arc;

pub use super::{ClientHandle as Handle, ReactorHandle as Ender};

/// See [`ReactorLimits`].
pub struct Bounds {
    /// Connections.
    pub most: usize,
    /// Bytes of answers that wait for sockets.
    pub unwritten: usize,
    /// Bytes of commands that are not answered yet.
    pub held: usize,
    /// Bytes of messages that have not arrived completely yet.
    pub partial: usize,
}

/// Creates a [`ClientReactor`].
pub struct Reception;

impl Reception {
    /// See [`ClientReactor::new`].
    #[allow(clippy::new_ret_no_self, reason = "the event loop's present call")]
    pub fn new(
        listeners: Vec<(TcpListener, bool)>,
        bounds: Bounds,
        settings: Arc<Settings>,
        clock: Clock,
        messages: Messages,
        alive: Sender<()>,
    ) -> std::io::Result<(ClientReactor, ReactorHandle)> {
        let listeners =
            listeners.into_iter().map(|(listener, extended)| ClientListener { listener, extended }).collect();
        let limits = ReactorLimits {
            max_connections: bounds.most,
            max_unwritten_bytes: bounds.unwritten,
            max_unanswered_command_bytes: bounds.held,
            max_incomplete_message_bytes: bounds.partial,
        };
        let events = Box::new(move |event| {
            let _ = messages.send(match event {
                ReactorEvent::Accepted(id, handle) => Message::Accepted(id, handle),
                ReactorEvent::Simple(id, event) => Message::Client(id, event),
                ReactorEvent::Extended(id, event) => Message::Extended(id, event),
                ReactorEvent::ReadingStopped => Message::Stopped,
            });
        });
        ClientReactor::new(listeners, limits, settings, clock, events, alive)
    }
}

impl ClientHandle {
    /// See [`ClientHandle::command_answered`].
    pub fn credit(&self) {
        self.command_answered();
    }

    /// See [`ClientHandle::close_if_idle`].
    pub fn retire(&self) -> bool {
        self.close_if_idle()
    }
}

impl ReactorHandle {
    /// See [`ReactorHandle::stop_accepting`].
    pub fn hush(&self) {
        self.stop_accepting();
    }

    /// See [`ReactorHandle::stop_reading`].
    pub fn stop(&self) {
        self.stop_reading();
    }

    /// See [`ReactorHandle::shut_down`].
    pub fn end(&self) {
        self.shut_down();
    }
}
