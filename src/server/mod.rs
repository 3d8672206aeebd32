//! The server: one event loop that passes events to the reducer and the fronts, and carries out their
//! effects. The event loop itself never blocks on a socket; the threads in [`crate::net`] do.

mod clients;
mod descriptor_budget;
mod endpoint_directory;
mod endpoint_watch;
mod event_log;
mod event_loop;
mod fronts;
mod inbox;
mod memory_division;
mod messages;
mod reducer_effects;
mod service;
mod shutdown;
mod signals;
mod startup;

pub use inbox::Messages;
pub use messages::Message;
pub use startup::{ServeError, serve};

use crate::client::{ClientCloseReason, ClientId};
use crate::clock::Clock;
use crate::core::{ConnectionId, Core};
use crate::exchange::{MemberRequest, MemberResponse};
use crate::net::client;
use crate::net::member::{MemberEvents, MemberHandle, MemberMemory, WorkerPool};
use crate::store::Store;
use crate::{Micros, Settings};
use crossbeam_channel::Receiver;
use endpoint_watch::{EndpointWatches, ReloadRetry};
use event_log::EventLog;
use fronts::Fronts;
use inbox::Inbox;
use shutdown::Shutdown;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The target of the server's log lines. Its last part is the message id in syslog. Collectors filter by
/// that id, so the target must not change even if the module is moved.
const LOG_TARGET: &str = "liftrelay::net";

/// The state of the event loop.
struct Server {
    clock: Clock,
    reducer: Core<MemberRequest, MemberResponse>,
    fronts: Fronts,
    settings: Arc<Settings>,
    store: Store,
    /// The sender of messages to this event loop.
    messages: Messages,
    inbox: Inbox,
    client_reactor: client::ReactorHandle,
    /// Disconnected once the last client connection has closed after a shutdown.
    clients_closed: Receiver<()>,
    workers: WorkerPool,
    member_events: MemberEvents,
    member_memory: MemberMemory,
    member_connections: HashMap<ConnectionId, MemberHandle>,
    clients: HashMap<ClientId, client::ClientHandle>,
    max_clients: usize,
    /// The number of descriptors that the process may have open.
    max_descriptors: usize,
    seed: u64,
    endpoint_watches: EndpointWatches,
    /// The discovery watch that could not be started, and when to retry; `None` if there is none.
    reload_retry: Option<ReloadRetry>,
    /// When the proxy becomes ready even if no endpoint update has arrived; `None` once it is ready or an
    /// operator has set the service state.
    ready_at: Option<Micros>,
    /// When the proxy starts to close idle connections after an operator has taken it out of service.
    drain_at: Option<Micros>,
    shutdown: Shutdown,
    event_log: EventLog,
    /// The number of client connections that have been closed, by reason.
    client_closes: BTreeMap<ClientCloseReason, u64>,
    /// The number of calls to discovery that have ended, by reason.
    discovery_calls: BTreeMap<&'static str, u64>,
}
