//! The messages that the event loop handles.

use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};
use crate::config::{Config, ConfigError};
use crate::core::Input;
use crate::endpoint_list::EndpointList;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::net::admin::AdminCall;
use crate::net::client;
use crate::net::discovery::WatchEvent;
use crossbeam_channel::Sender;

/// A message to the event loop.
pub enum Message {
    /// An input of the reducer.
    Core(Input<MemberRequest, MemberResponse>),
    /// An update of the endpoint list.
    Discovery(WatchEvent),
    /// SIGHUP: the configuration as read from the file, or why it can't be used.
    Reload(Box<Result<Config, ConfigError>>),
    /// The endpoint list that the store recovered from this proxy's last run.
    Stored(EndpointList),
    /// A new connection of a client.
    Accepted(ClientId, client::ClientHandle),
    /// An event of a client of the platform's front.
    Client(ClientId, ClientEvent<SimpleQuery>),
    /// An event of a client of the extended front.
    Extended(ClientId, ClientEvent<ClientBatch>),
    /// All that had arrived from clients before is handled.
    ClientBarrier(client::EventBarrier),
    /// An operator's request.
    Admin(AdminCall),
    /// SIGTERM or SIGINT.
    Terminate,
    /// Reading from clients has stopped, and all that was read before has been sent.
    Stopped,
}

/// Where messages to the event loop are sent.
pub type Messages = Sender<Message>;
