//! The sockets: threads that read and write, and the one loop that feeds the reducer and carries out what it
//! asks for. The loop itself never blocks on a socket.

pub mod admin;
pub mod client;
mod client_listener;
pub mod discovery;
pub mod member;

pub use crate::threads::spawn;
pub use client_listener::{ListenError, client_listener};

use crate::client::{ClientBatch, ClientEvent, ClientId, SimpleQuery};
use crate::config::{Config, ConfigError};
use crate::core::{ConnectionId, Core, Effect, Input};
use crate::endpoint_list::EndpointList;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::front::platform::Platform;
use crate::front::postgres::{Listen, Postgres};
use crate::front::{ConnectionManager, FrontEffect, RequestRegistry, ServiceState};
use crate::store::{Change, State, Store, StoreConfig};
use crate::{Micros, Settings, clock};
use admin::{AdminCall, AdminRequest, AdminResponse, CallSink, LoopUnavailable};
use clock::Clock;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use discovery::{EventSink, ReceiverClosed, Watch, WatchEvent};
use member::{MemberEvents, Withdrawal};
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Messages to the loop that may wait; whoever sends more waits.
const UNREAD: usize = 1024;
/// Descriptors kept for the listener, discovery, logs and the like; with few, the part that these need at
/// least.
const SPARE: usize = 40;
const NEEDED: usize = 14;
/// Connections of clients beyond the most, which the loop has still to turn away, or which linger.
const DOOR: usize = 8;
/// Without news of the list, the proxy is ready this long after its start.
const READY_AFTER: Micros = 400_000;
/// SIGKILL comes no earlier than the longest deadline, counted as this at most, and a bit more after SIGTERM.
const LONGEST: Micros = 3_000_000;
const KILL_AFTER: Micros = 700_000;
/// Before SIGKILL: connections are closed between requests from here on ...
const CLOSE_BEFORE: Micros = 900_000;
/// ... and what is still owed fails here.
const FAIL_BEFORE: Micros = 250_000;
/// New connections are answered for this long after SIGTERM at least, even if there are no clients.
const SERVE_FOR: Micros = 900_000;
/// How often the loop looks whether all is done after SIGTERM.
const LOOK: Micros = 20_000;
/// Taken out of service, connections are closed between requests after this: the front layer asks ten times a
/// second, and goes on sending for 0.2 s after a no.
const NOTICED: Micros = 1_000_000;
/// Clients hold a third of the descriptors at most. From this part of them on, connections that are kept for
/// good are closed once they may be.
const KEPT: usize = 4;
/// The share of its descriptors that a proxy keeps to where two processes of it may overlap, for links: the
/// clients hold as much, and so does the other one.
const OVERLAP: usize = 3;
/// After SIGTERM, new connections are taken for this long where the next process accepts them, too.
const ACCEPT_FOR: Micros = 500_000;
/// How long the program waits at its end for clients to take answers and close, and what it leaves of the
/// time before SIGKILL.
const LAST_WRITES: Micros = 1_000_000;
const SPARED: Micros = 30_000;

/// What reaches the loop.
pub enum Message {
    /// For the core.
    Core(Input<MemberRequest, MemberResponse>),
    /// An update of the endpoint list.
    Discovery(WatchEvent),
    /// SIGHUP: the configuration as the file has it now, or why it can't be used.
    Reload(Box<Result<Config, ConfigError>>),
    /// The member list as the store had it when this proxy last ran.
    Stored(EndpointList),
    /// A new connection.
    Accepted(ClientId, client::Handle),
    /// From a reader of the platform's front.
    Client(ClientId, ClientEvent<SimpleQuery>),
    /// From a reader of the extended front.
    Extended(ClientId, ClientEvent<ClientBatch>),
    /// An operator's request.
    Admin(AdminCall),
    /// SIGTERM or SIGINT.
    Terminate,
    /// Nothing is read from clients any more, and all that was read before has been handed over.
    Stopped,
}

/// Where messages to the loop go.
pub type Messages = Sender<Message>;

/// Serves until it is told to end; on the extended listener too, where there is one.
pub fn serve(
    config: &Config,
    listener: TcpListener,
    extended: Option<Listen>,
    replicas: &StoreConfig,
) -> std::io::Result<()> {
    let bound = extended.as_ref().map(|e| TcpListener::bind(e.listen)).transpose()?;
    let clock = Clock::start();
    let (messages, inbox) = bounded(UNREAD);
    let stored = messages.clone();
    let recovered = move |state: State| drop(stored.try_send(Message::Stored(state.members)));
    let store = Store::start(replicas, config.seed, recovered)?;
    let callers = config.admin_listen.map_or(0, |_| admin::MAX_CONNECTIONS);
    // Guards against clients or links that take the last descriptor: news of the list must come in whatever
    // they do.
    let left = config.max_descriptors.saturating_sub(NEEDED + callers);
    let spare = (SPARE - NEEDED).min(left / 2);
    let (budget, door) = (left.saturating_sub(spare).max(2), DOOR.min(spare));
    let links = match config.listen_fd {
        Some(_) => (config.max_descriptors / OVERLAP).saturating_sub(SPARE / 2).clamp(2, (budget / 2).max(2)),
        None => budget / 2,
    };
    let settings = Arc::new(config.settings.clone());
    let postgres = extended.map(|listen| Postgres::new(listen, settings.clone()));
    let postgres = postgres.transpose().map_err(std::io::Error::other)?;
    let reordered = config.memory_bytes / 8;
    let core = Core::new(config.settings.clone(), config.seed, clock.now(), links);
    let (alive, written) = bounded(0);
    let memory = config.memory_bytes;
    let bounds = client::Bounds {
        most: budget - budget / 2 + door,
        unwritten: memory / 8,
        held: memory / 8,
        partial: memory / 8,
    };
    let listen_at = listener.local_addr()?;
    let extended_at = bound.as_ref().map(TcpListener::local_addr).transpose()?;
    let listeners = [(listener, false)].into_iter().chain(bound.map(|b| (b, true))).collect();
    let (reception, ender) =
        client::Reception::new(listeners, bounds, settings.clone(), clock, messages.clone(), alive)?;
    let mut host = Host {
        clock,
        core,
        platform: ConnectionManager::new(Platform, reordered),
        postgres: postgres.map(|postgres| ConnectionManager::new(postgres, reordered)),
        desk: RequestRegistry::default(),
        settings,
        store,
        messages: messages.clone(),
        ender,
        written,
        workers: member::WorkerPool::default(),
        member_events: {
            let messages = messages.clone();
            MemberEvents::new(move |event| drop(messages.send(Message::Core(event))))
        },
        links: HashMap::new(),
        clients: HashMap::new(),
        most_clients: budget - budget / 2,
        sockets: config.max_descriptors,
        seed: config.seed,
        ready_at: Some(clock.now() + READY_AFTER),
        told: config.known_endpoints.revision,
        before: None,
        watch: Watch::start(
            0,
            config.discovery,
            Some(config.known_endpoints.revision),
            config.seed,
            event_sink(messages.clone()),
        )?,
        ending: None,
        stopped: None,
        inherited: config.listen_fd.is_some(),
        drain_at: None,
    };
    host.store.propose(Change::Set("proxy".into(), config.raw_settings.clone()));
    let known = Input::EndpointUpdate { full: true, members: config.known_endpoints.members() };
    host.core(clock.now(), known);
    if let Some(at) = config.admin_listen {
        let at = admin::listen(at, host.settings.clone(), call_sink(messages.clone()))?;
        tracing::info!(ops = %at, "admin listener started");
    }
    signals(messages.clone())?;
    tracing::info!(name = config.name, listen = %listen_at, "serving");
    if let Some(at) = extended_at {
        tracing::info!(listen = %at, "serving extended queries");
    }
    spawn("clients", move || reception.run())?;
    host.run(&inbox);
    tracing::info!("ended");
    Ok(())
}

/// Sends what a watch receives to the loop.
fn event_sink(messages: Messages) -> EventSink {
    Box::new(move |event| messages.send(Message::Discovery(event)).map_err(|_| ReceiverClosed))
}

/// Sends what the admin listener is asked to the loop.
fn call_sink(messages: Messages) -> CallSink {
    Arc::new(move |call, timeout| {
        messages.send_timeout(Message::Admin(call), timeout).map_err(|_| LoopUnavailable)
    })
}

fn signals(messages: Messages) -> std::io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    spawn("signals", move || {
        for signal in signals.forever() {
            let _ = messages.send(match signal {
                SIGHUP => Message::Reload(Box::new(Config::from_file())),
                _ => Message::Terminate,
            });
        }
    })
}

struct Host {
    clock: Clock,
    core: Core<MemberRequest, MemberResponse>,
    platform: ConnectionManager<Platform>,
    postgres: Option<ConnectionManager<Postgres>>,
    desk: RequestRegistry,
    settings: Arc<Settings>,
    store: Store,
    messages: Messages,
    ender: client::Ender,
    written: Receiver<()>,
    workers: member::WorkerPool,
    member_events: MemberEvents,
    links: HashMap<ConnectionId, member::MemberHandle>,
    clients: HashMap<ClientId, client::Handle>,
    most_clients: usize,
    /// Descriptors that the process may hold.
    sockets: usize,
    seed: u64,
    ready_at: Option<Micros>,
    /// The version of the list that the proxy goes by; the highest once discovery has spoken.
    told: u64,
    /// The watch on the member list, and the one before until it has spoken; news of any other are stale.
    watch: Watch,
    before: Option<Watch>,
    /// The platform holds the clients' socket: another process may accept from it.
    inherited: bool,
    /// Out of service: connections are closed between requests from then on.
    drain_at: Option<Micros>,
    /// SIGTERM has come: when, and whether connections are being closed.
    ending: Option<(Micros, bool)>,
    /// The end has come: whether nothing is read from clients any more.
    stopped: Option<bool>,
}

impl Host {
    fn run(&mut self, inbox: &Receiver<Message>) {
        loop {
            let mut due = self.core.next_timer_at();
            let kept = self.kept().map(|(at, _)| at);
            due = [due, self.ready_at, self.drain_at, kept].into_iter().flatten().min();
            if self.ending.is_some() {
                due = Some(due.unwrap_or(Micros::MAX).min(self.clock.now() + LOOK));
            }
            let message = match due {
                Some(at) if at <= self.clock.now() => inbox.try_recv().ok(),
                Some(at) => match inbox.recv_deadline(self.clock.instant(at)) {
                    Ok(message) => Some(message),
                    Err(RecvTimeoutError::Timeout) => None,
                    Err(RecvTimeoutError::Disconnected) => return,
                },
                None => match inbox.recv() {
                    Ok(message) => Some(message),
                    Err(_) => return,
                },
            };
            let now = self.clock.now();
            if let Some(message) = message {
                self.take(now, message);
            }
            if self.core.next_timer_at().is_some_and(|at| at <= now) {
                self.core(now, Input::TimerDue);
            }
            if self.ready_at.is_some_and(|at| at <= now) {
                self.ready(now);
            }
            while let Some((at, id)) = self.kept()
                && at <= now
            {
                if !self.retire(id) {
                    self.stirs(now, id);
                }
            }
            if self.drain_at.is_some_and(|at| at <= now) {
                self.drain_at = None;
                self.close_idle(now);
            }
            if let Some((since, closing)) = self.ending {
                if self.inherited && now >= since + ACCEPT_FOR {
                    self.inherited = false;
                    self.ender.hush();
                }
                let close = (self.kill_after() - CLOSE_BEFORE).max(SERVE_FOR);
                // From then on at each look: a connection that came late and says nothing is closed, too.
                if now >= since + close {
                    if !closing {
                        self.ending = Some((since, true));
                        tracing::info!("closing connections between requests");
                    }
                    self.close_idle(now);
                }
                let open = self.platform.open() + self.postgres.as_ref().map_or(0, ConnectionManager::open);
                let done = open == 0 && self.core.pending_requests() == 0;
                let late = now >= since + self.kill_after() - FAIL_BEFORE / 2;
                if self.stopped.is_none() && now >= since + SERVE_FOR && (done || late) {
                    self.stopped = Some(false);
                    self.ender.stop();
                }
                // Guards against a request that is read in the last moment and never answered.
                let last = now >= since + self.kill_after() - FAIL_BEFORE / 4;
                if self.stopped == Some(true) && self.core.pending_requests() == 0 || last {
                    self.linger(since + self.kill_after() - SPARED);
                    return;
                }
            }
        }
    }

    /// From now on, connections are closed between requests.
    fn close_idle(&mut self, now: Micros) {
        let mut outs = self.platform.close();
        outs.extend(self.postgres.iter_mut().flat_map(ConnectionManager::close));
        self.carry_out(now, outs);
    }

    /// When SIGKILL may come after SIGTERM. Guards against being down for longer than a restart takes: until
    /// shortly before it, the connections that are open are served.
    fn kill_after(&self) -> Micros {
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        longest.min(LONGEST) + KILL_AFTER
    }

    /// Lets clients take what is still to be written, until then at most.
    fn linger(&mut self, by: Micros) {
        self.clients.clear();
        self.ender.end();
        let left = by.saturating_sub(self.clock.now()).min(LAST_WRITES);
        // Ends at once when the last connection has gone: nothing is ever sent here.
        let _ = self.written.recv_timeout(Duration::from_micros(left));
    }

    fn take(&mut self, now: Micros, message: Message) {
        match message {
            Message::Core(input) => {
                if let Input::ConnectionClosed(link) = &input {
                    self.links.remove(link);
                }
                self.core(now, input);
            }
            Message::Reload(read) => self.reload(*read),
            Message::Discovery(WatchEvent { watch, endpoints: list }) => {
                if watch == self.watch.id {
                    self.before = None;
                } else if self.before.as_ref().is_none_or(|before| before.id != watch) {
                    // Guards against news that an ended watch had under way.
                    return;
                }
                let input = Input::EndpointUpdate { full: list.complete, members: list.members() };
                self.told = u64::MAX;
                self.core(now, input);
                self.store.propose(Change::Members(list));
                self.ready(now);
            }
            // What discovery says goes before what the store remembers, and so does a newer list.
            Message::Stored(list) => {
                if list.revision > self.told && !list.endpoints.is_empty() {
                    self.told = list.revision;
                    self.core(now, Input::EndpointUpdate { full: true, members: list.members() });
                }
            }
            Message::Stopped => self.stopped = Some(true),
            Message::Accepted(id, handle) => self.accepted(now, id, handle),
            Message::Extended(id, said) => {
                if let Some(postgres) = &mut self.postgres {
                    let outs = postgres.said(&mut self.desk, now, id, said);
                    self.carry_out(now, outs);
                }
            }
            Message::Client(id, said) => {
                let outs = self.platform.said(&mut self.desk, now, id, said);
                self.carry_out(now, outs);
            }
            Message::Admin(AdminCall { request, respond_to }) => {
                let response = match request {
                    AdminRequest::Ready => AdminResponse::Answer(self.ready_at.is_none()),
                    AdminRequest::Counters => AdminResponse::Counters(self.core.counters()),
                    AdminRequest::SetInService(on) => {
                        tracing::info!(on, "service state set by an operator");
                        self.drain_at = (!on).then_some(now + NOTICED);
                        self.ready_at = None;
                        self.serve(
                            now,
                            if on { ServiceState::InService } else { ServiceState::OutOfService },
                        );
                        AdminResponse::Answer(true)
                    }
                };
                // The caller may have gone.
                let _ = respond_to.try_send(response);
            }
            Message::Terminate => {
                if self.ending.is_none() {
                    tracing::info!("told to end");
                    self.ending = Some((now, false));
                    let by = now + self.kill_after() - FAIL_BEFORE;
                    self.core(now, Input::ShutdownRequested { deadline: by });
                }
            }
        }
    }

    /// Follows `discovery` to where the file says it is now; all else it says holds from the next start.
    fn reload(&mut self, read: Result<Config, ConfigError>) {
        let address = match read {
            Ok(config) => config.discovery,
            Err(e) => {
                return tracing::error!(error = %e, "the new configuration can't be used; the old one holds");
            }
        };
        if address == self.watch.address {
            return tracing::info!("told to read the configuration again: discovery is where it was");
        }
        // The members stay as they were last told until the new address has told its whole list.
        match Watch::start(self.watch.id + 1, address, None, self.seed, event_sink(self.messages.clone())) {
            Ok(watch) => {
                tracing::info!(discovery = %address, "following discovery to another address");
                let before = std::mem::replace(&mut self.watch, watch);
                // Guards against missing what the old address tells until the new one has spoken. One that
                // has not spoken itself tells nothing that counts.
                self.before.get_or_insert(before);
            }
            Err(e) => tracing::error!(error = %e, "no thread for another watch; the old one goes on"),
        }
    }

    fn ready(&mut self, now: Micros) {
        if self.ready_at.take().is_some() {
            self.serve(now, ServiceState::InService);
        }
    }

    fn serve(&mut self, now: Micros, service: ServiceState) {
        let mut outs = self.platform.serve(service, &mut self.desk, now);
        if let Some(postgres) = &mut self.postgres {
            outs.extend(postgres.serve(service, &mut self.desk, now));
        }
        self.carry_out(now, outs);
    }

    fn accepted(&mut self, now: Micros, id: ClientId, handle: client::Handle) {
        if self.clients.len() >= self.most_clients && !self.evict(now) {
            tracing::debug!("no room for another client");
            // Nothing has run: it is told so and not waited for.
            let mut bytes = Vec::new();
            crate::pg::put_error_response(
                &mut bytes,
                "FATAL",
                crate::pg::sqlstate::TOO_MANY_CONNECTIONS,
                "too many clients",
                None,
            );
            handle.write(bytes);
            return;
        }
        let extended = handle.extended;
        self.clients.insert(id, handle);
        let secret =
            crate::stable_hash::stable_hash(&[self.seed.to_be_bytes(), id.to_be_bytes()].concat()) as u32;
        let outs = match &mut self.postgres {
            Some(postgres) if extended => {
                postgres.said(&mut self.desk, now, id, ClientEvent::Connected { secret })
            }
            _ => self.platform.said(&mut self.desk, now, id, ClientEvent::Connected { secret }),
        };
        self.carry_out(now, outs);
    }

    /// Makes room for a client: guards against connections that say nothing, or are kept for good, crowding
    /// out those that ask.
    fn evict(&mut self, now: Micros) -> bool {
        loop {
            let idlest = [self.platform.idlest(now), self.postgres.as_ref().and_then(|p| p.idlest(now))];
            let Some((.., id)) = idlest.into_iter().flatten().max() else { return false };
            if self.retire(id) {
                return true;
            }
            // Its next command is on its way: it is not idle, but the next one may be.
            self.stirs(now, id);
        }
    }

    /// The connection to close next where many are kept. Guards against clients that ask once and keep their
    /// connection for good: with all that clients may hold in such hands, nobody else gets in, however much
    /// room this proxy has.
    fn kept(&self) -> Option<(Micros, ClientId)> {
        let (asked, idlest) = self.platform.kept();
        let (more, idler) = self.postgres.as_ref().map_or((0, None), ConnectionManager::kept);
        let many = (asked + more) * KEPT >= self.sockets;
        many.then(|| [idlest, idler].into_iter().flatten().min()).flatten()
    }

    fn stirs(&mut self, now: Micros, id: ClientId) {
        self.platform.stirs(now, id);
        self.postgres.iter_mut().for_each(|p| p.stirs(now, id));
    }

    /// Closes a connection between requests; `false` if another request is on its way.
    fn retire(&mut self, id: ClientId) -> bool {
        let retired = self.clients.get(&id).is_some_and(client::Handle::retire);
        if retired {
            self.clients.remove(&id);
            self.platform.forget(id);
            self.postgres.iter_mut().for_each(|p| p.forget(id));
        }
        retired
    }

    fn carry_out(&mut self, now: Micros, outs: Vec<FrontEffect>) {
        for out in outs {
            match out {
                FrontEffect::Write(id, bytes) => {
                    if let Some(client) = self.clients.get(&id)
                        && !client.write(bytes)
                    {
                        client.cut();
                    }
                }
                FrontEffect::Close(id) => drop(self.clients.remove(&id)),
                FrontEffect::CloseIfIdle(id) => drop(self.retire(id)),
                FrontEffect::CommandAnswered(id) => {
                    if let Some(client) = self.clients.get(&id) {
                        client.credit();
                    }
                }
                FrontEffect::StartRequest(arrival) => self.core(now, Input::RequestReceived(arrival)),
                FrontEffect::RecordChange(change) => self.store.propose(change),
                FrontEffect::AbandonRequest(request) => self.core(now, Input::ClientDisconnected(request)),
            }
        }
    }

    /// One step of the reducer, and all that follows from it.
    fn core(&mut self, now: Micros, input: Input<MemberRequest, MemberResponse>) {
        for effect in self.core.step(now, input) {
            match effect {
                Effect::OpenConnection { connection: link, address } => {
                    let dial = Duration::from_micros(self.settings.connect_timeout);
                    let events = self.member_events.clone();
                    let handle = member::MemberHandle::new(link, address, dial, events, &self.workers);
                    self.links.insert(link, handle);
                }
                Effect::StartJob { connection: link, job, spec: what } => {
                    let carried = self.links.get_mut(&link).is_some_and(|l| l.start_job(job, what));
                    // Guards against taking the proxy's own want of threads for the member's fault.
                    if !carried {
                        tracing::warn!("no thread for another job");
                        let ending = crate::core::JobResult::from_outcome(crate::Outcome::NeverSent);
                        self.links.remove(&link);
                        self.core(
                            now,
                            Input::JobFinished { connection: link, job, result: ending, reusable: false },
                        );
                        self.core(now, Input::ConnectionClosed(link));
                    }
                }
                Effect::CancelJob { connection: link, job } => {
                    let withdrawal = self.links.get(&link).map_or(Withdrawal::CUT, |l| l.abandon(job));
                    let Withdrawal { maybe_sent: sent, reusable: open } = withdrawal;
                    if !open {
                        self.links.remove(&link);
                    }
                    self.core(now, Input::JobCancelled { job, maybe_sent: sent, reusable: open });
                }
                Effect::CancelUnsentJob { connection: link, job } => {
                    let withdrawal = self.links.get(&link).and_then(|l| l.withdraw_unsent(job));
                    if let Some(Withdrawal { maybe_sent: sent, reusable: open }) = withdrawal {
                        if !open {
                            self.links.remove(&link);
                        }
                        self.core(now, Input::JobCancelled { job, maybe_sent: sent, reusable: open });
                    }
                }
                Effect::CloseConnection(link) => {
                    if let Some(handle) = self.links.remove(&link) {
                        handle.cut();
                    }
                    // No thread is left with it that could say so.
                    self.core(now, Input::ConnectionClosed(link));
                }
                Effect::Answer { request, answer: verdict } => {
                    if let Some(id) = self.desk.close(request) {
                        let extended = self.clients.get(&id).is_some_and(|c| c.extended);
                        let outs = match &mut self.postgres {
                            Some(front) if extended => {
                                front.answer(&mut self.desk, now, id, request, verdict)
                            }
                            _ => self.platform.answer(&mut self.desk, now, id, request, verdict),
                        };
                        self.carry_out(now, outs);
                    }
                }
                Effect::Log(text) => tracing::info!("{text}"),
            }
        }
    }
}
