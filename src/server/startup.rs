//! Builds the parts of the server, connects them to the event loop, and runs it.

use super::descriptor_budget::DescriptorBudget;
use super::endpoint_watch::EndpointWatches;
use super::event_log::{EventLog, ListSource};
use super::fronts::Fronts;
use super::inbox::{Inbox, inbox};
use super::memory_division::MemoryDivision;
use super::service::max_startup_wait;
use super::shutdown::Shutdown;
use super::{LOG_TARGET, Message, Messages, Server, signals};
use crate::Settings;
use crate::clock::Clock;
use crate::config::Config;
use crate::core::{Core, CoreLimits};
use crate::front::postgres::{ExtendedListenerConfig, Postgres, PostgresLimits};
use crate::net::admin::{self, CallSink, LoopUnavailable};
use crate::net::client::{self, ClientListener, ClientReactor, ReactorEvent, ReactorLimits};
use crate::net::discovery::DiscoveryKind;
use crate::net::member::{MemberEvents, WorkerPool};
use crate::sockets::extend_backlog;
use crate::store::{Change, State, Store, StoreConfig, StoreError};
use crate::threads::spawn;
use crossbeam_channel::bounded;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Why the server could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The store could not be started.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A socket or a thread could not be created.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Serves clients on `listener`, and on the extended listener if one is configured. Returns when a shutdown
/// is complete; fails if the server can't be started.
pub fn serve(
    config: &Config,
    listener: TcpListener,
    extended: Option<ExtendedListenerConfig>,
    replicas: &StoreConfig,
) -> Result<(), ServeError> {
    let extended_listener = extended.as_ref().map(|listen| TcpListener::bind(listen.listen)).transpose()?;
    let clock = Clock::start();
    let (messages, inbox) = inbox();
    // The signal handlers come first: without them, a signal during startup would end the process without a
    // graceful shutdown.
    signals::start(messages.clone())?;
    let store = start_store(config, replicas, messages.clone())?;
    for listener in [Some(&listener), extended_listener.as_ref()].into_iter().flatten() {
        extend_backlog(listener)?;
    }
    let listen_address = listener.local_addr()?;
    let extended_address = extended_listener.as_ref().map(TcpListener::local_addr).transpose()?;
    let mut listeners = vec![ClientListener { listener, extended: false }];
    listeners.extend(extended_listener.map(|listener| ClientListener { listener, extended: true }));
    let (mut server, client_reactor) =
        Server::build(config, clock, store, (messages.clone(), inbox), listeners, extended)?;
    server.load_configured_state(config);
    if let Some(address) = config.admin_listen {
        let address = admin::listen(address, server.settings.clone(), admin_calls(messages))?;
        tracing::info!(target: LOG_TARGET, ops = %address, "admin listener started");
    }
    log_addresses(config, listen_address, extended_address);
    spawn("clients", move || client_reactor.run())?;
    server.run();
    tracing::info!(target: LOG_TARGET, "shutdown complete");
    Ok(())
}

/// Starts the store, which sends the recovered endpoint list to the event loop.
fn start_store(config: &Config, replicas: &StoreConfig, messages: Messages) -> Result<Store, StoreError> {
    let recovered = move |state: State| {
        let _ = messages.send(Message::StoredList(state.members));
    };
    Store::start(replicas, config.seed, recovered)
}

fn log_addresses(config: &Config, listen: SocketAddr, extended: Option<SocketAddr>) {
    tracing::info!(target: LOG_TARGET, name = config.name, listen = %listen, "serving");
    if let Some(extended) = extended {
        tracing::info!(target: LOG_TARGET, listen = %extended, "serving extended queries");
    }
}

fn reactor_limits(max_connections: usize, memory: &MemoryDivision) -> ReactorLimits {
    ReactorLimits {
        max_connections,
        max_unwritten_bytes: memory.buffer_bytes,
        max_unanswered_command_bytes: memory.buffer_bytes,
        command_memory: memory.commands.clone(),
        max_incomplete_command_bytes: memory.buffer_bytes,
    }
}

/// The kind of discovery service that the settings specify.
fn discovery_kind(settings: &Settings) -> DiscoveryKind {
    match settings.list_on_request {
        true => DiscoveryKind::SharedService,
        false => DiscoveryKind::LocalAgent { drain_grace: Duration::from_micros(settings.drain_grace) },
    }
}

/// Passes calls from the admin listener to the event loop.
fn admin_calls(messages: Messages) -> CallSink {
    Arc::new(move |call, timeout| {
        messages.send_timeout(Message::Admin(call), timeout).map_err(|_| LoopUnavailable)
    })
}

/// Passes events of member connections to the event loop.
fn member_events(messages: Messages) -> MemberEvents {
    MemberEvents::new(move |event| {
        let _ = messages.send(Message::Core(event));
    })
}

/// Passes events of the client reactor to the event loop.
fn client_events(messages: Messages) -> client::EventSink {
    Box::new(move |event| {
        let _ = messages.send(match event {
            ReactorEvent::Accepted(id, handle, place) => Message::Accepted(id, handle, place),
            ReactorEvent::Simple(id, event, place) => Message::Client(id, event, place),
            ReactorEvent::Extended(id, event, place) => Message::Extended(id, event, place),
            ReactorEvent::Barrier(barrier) => Message::ClientBarrier(barrier),
            ReactorEvent::ReadingStopped => Message::ClientReadingStopped,
        });
    })
}

impl Server {
    /// Builds the server, and the client reactor, which is to run on a thread of its own.
    fn build(
        config: &Config,
        clock: Clock,
        store: Store,
        (messages, inbox): (Messages, Inbox),
        listeners: Vec<ClientListener>,
        extended: Option<ExtendedListenerConfig>,
    ) -> std::io::Result<(Server, ClientReactor)> {
        let inherited_listener = config.listen_fd.is_some();
        let budget =
            DescriptorBudget::new(config.max_descriptors, config.admin_listen.is_some(), inherited_listener);
        let memory = MemoryDivision::new(config.memory_bytes, &budget);
        let settings = Arc::new(config.settings.clone());
        let commit_bytes = memory.table_bytes;
        let new_front = |listen| {
            let limits = PostgresLimits { session_memory: memory.sessions.clone(), commit_bytes };
            Postgres::new(listen, settings.clone(), limits, clock.now())
        };
        let postgres = extended.map(new_front).transpose();
        let postgres = postgres.map_err(std::io::Error::other)?;
        let core_limits =
            CoreLimits { member_connections: budget.member_connections, session_commit_bytes: commit_bytes };
        let reducer = Core::new(config.settings.clone(), config.seed, clock.now(), core_limits);
        let (alive, clients_closed) = bounded(0);
        let limits = reactor_limits(budget.client_connections, &memory);
        let (reactor, client_reactor) = ClientReactor::new(
            listeners,
            limits,
            settings.clone(),
            clock,
            client_events(messages.clone()),
            alive,
        )?;
        let server = Server {
            clock,
            reducer,
            fronts: Fronts::new(postgres, memory.buffer_bytes, memory.table_bytes),
            settings,
            store,
            client_reactor,
            clients_closed,
            workers: WorkerPool::default(),
            member_events: member_events(messages.clone()),
            member_memory: memory.members,
            member_connections: HashMap::new(),
            clients: HashMap::new(),
            max_clients: budget.clients,
            max_descriptors: config.max_descriptors,
            seed: config.seed,
            ready_at: Some(clock.now() + max_startup_wait(&config.settings)),
            endpoint_watches: EndpointWatches::start(
                config.discovery,
                discovery_kind(&config.settings),
                config.known_endpoints.revision,
                config.seed,
                messages.clone(),
            )?,
            reload_retry: None,
            drain_at: None,
            shutdown: Shutdown::new(inherited_listener),
            event_log: EventLog::default(),
            client_closes: BTreeMap::new(),
            discovery_calls: BTreeMap::new(),
            messages,
            inbox,
        };
        Ok((server, reactor))
    }

    /// Proposes the configured settings to the store, and applies the configured endpoint list.
    fn load_configured_state(&mut self, config: &Config) {
        self.store.propose(Change::Set("proxy".into(), config.raw_settings.clone()));
        let list = config.known_endpoints.clone().into_complete();
        self.apply_list(self.clock.now(), ListSource::Configuration, &list);
    }
}
