//! The messages that the event loop handles.

use super::inbox::Source;
use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};
use crate::config::{Config, ConfigError};
use crate::core::Input;
use crate::endpoint_list::EndpointList;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::net::admin::AdminCall;
use crate::net::client::{self, QueuePlace};
use crate::net::discovery::WatchEvent;

/// A message to the event loop.
pub enum Message {
    /// An input for the reducer.
    Core(Input<MemberRequest, MemberResponse>),
    /// An event of a discovery watch.
    Discovery(WatchEvent),
    /// SIGHUP has been received: the configuration as read from the file, or the error in it.
    Reload(Box<Result<Config, ConfigError>>),
    /// The endpoint list that the store recovered from this proxy's last run.
    StoredList(EndpointList),
    /// A new client connection, and the handle to write to it.
    Accepted(ClientId, client::ClientHandle, QueuePlace),
    /// An event of a client of the platform's front.
    Client(ClientId, ClientEvent<SimpleQuery>, QueuePlace),
    /// An event of a client of the extended front.
    Extended(ClientId, ClientEvent<ClientBatch>, QueuePlace),
    /// A barrier behind the client events that had arrived before it; it is dropped when it is handled.
    ClientBarrier(client::EventBarrier),
    /// A call from the admin listener.
    Admin(AdminCall),
    /// SIGTERM or SIGINT has been received.
    Terminate,
    /// Reading from clients has stopped, and everything read before has been sent to the event loop.
    ClientReadingStopped,
}

impl Message {
    /// The connection that the message came on, and its place in the queue; `None` for a message that comes
    /// behind those of all connections, or that is of no client.
    pub fn client_place(&self) -> Option<(ClientId, &QueuePlace)> {
        match self {
            Message::Accepted(id, _, place)
            | Message::Client(id, _, place)
            | Message::Extended(id, _, place) => Some((*id, place)),
            _ => None,
        }
    }

    /// Where the message comes from.
    pub fn source(&self) -> Source {
        match self {
            Message::Core(_) => Source::Members,
            Message::Discovery(_) => Source::Discovery,
            Message::Reload(_) | Message::StoredList(_) | Message::Admin(_) | Message::Terminate => {
                Source::Control
            }
            Message::Accepted(..)
            | Message::Client(..)
            | Message::Extended(..)
            | Message::ClientBarrier(_)
            | Message::ClientReadingStopped => Source::Clients,
        }
    }
}
