//! Plays one scenario: starts the emulators and the processes, performs the actions, and ends the processes.

use crate::client::Clients;
use crate::discovery::{Agent, AgentMode, EndpointDirectory, ListedMember};
use crate::history::{History, MS, Micros, RunClock, RunContext, watch_for_stalls};
use crate::member::{Member, SeenKeys};
use crate::notices::NoticeSchedule;
use crate::process::Proxy;
use crate::scenario::Scenario;
use rustix::process::Signal;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause of the main loop between two checks for due actions.
const STEP: Duration = Duration::from_millis(2);
/// Interval at which the memory and the descriptors of the processes are checked.
const USAGE_INTERVAL: Micros = 250 * MS;
/// Memory limit of a proxy in MiB.
const MEMORY_MB: u64 = 192;
/// Time after SIGTERM during which clients still open connections to a proxy, as if a load balancer took it
/// out of rotation late.
pub(crate) const ROTATION_DELAY: Micros = 300 * MS;
/// Mean pause of a client between two requests.
const THINK_TIME: Micros = 90 * MS;
/// Number of clients of each proxy's extended listener.
const BATCH_CLIENTS: u64 = 3;
/// The lowest second octet of a run's addresses in 127.0.0.0/8.
const FIRST_NETWORK: u64 = 20;
/// Number of second octets, chosen by the seed so that runs side by side use different addresses.
const NETWORKS: u64 = 200;
/// The last octet of a proxy's address.
const PROXY_HOST: u8 = 1;
/// The last octet of the first member's addresses; the others follow by index.
const FIRST_MEMBER_HOST: u8 = 10;
/// The last octet of the first agent's address; later agents of the run follow.
const FIRST_AGENT_HOST: u8 = 100;

/// A step that an action schedules for later.
pub(crate) enum Followup {
    LeaveRotation(usize),
    KillAndStart(usize),
    Start(usize),
    Continue(usize),
    EndAgent(Arc<Agent>),
}

/// Returns the file that configures an extended listener at this address.
fn extended_listener_text(address: SocketAddr) -> String {
    format!(
        "listen = '{address}'\nread_class = 'any'\nwrite_class = 'write'\ngroup = 0\nwait_ms = 1000\n\
         session_parameter = 1\nstatements = 64\n"
    )
}

/// The state of a run that is being played.
pub(crate) struct Run<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) history: Arc<History>,
    pub(crate) clock: RunClock,
    pub(crate) is_over: Arc<AtomicBool>,
    pub(crate) directory: Arc<EndpointDirectory>,
    pub(crate) members: Vec<Arc<Member>>,
    pub(crate) member_addresses: Vec<Vec<SocketAddr>>,
    pub(crate) proxies: Vec<Arc<Proxy>>,
    /// The addresses of the proxies' extended listeners.
    pub(crate) extended_addresses: Vec<SocketAddr>,
    pub(crate) agents: Vec<Arc<Agent>>,
    pub(crate) notices: NoticeSchedule,
    pub(crate) followups: Vec<(Micros, Followup)>,
    pub(crate) agents_made: u8,
    pub(crate) clients: Option<Arc<Clients>>,
    pub(crate) threads: Arc<Mutex<Vec<std::thread::JoinHandle<()>>>>,
}

/// The result of a run: its records, and its proxies with their logs.
pub struct PlayedRun {
    /// The records of the run.
    pub history: Arc<History>,
    /// The proxies, by index; their processes have ended.
    pub proxies: Vec<Arc<Proxy>>,
}

/// Plays a scenario with the proxy's program at `program`. Configuration files are written below `folder`.
/// Returns an error if an address can't be bound, or a file or a process can't be created.
pub fn play(scenario: &Scenario, program: &Path, folder: &Path) -> std::io::Result<PlayedRun> {
    let mut run = Run::prepare(scenario, program, folder)?;
    run.start()?;
    run.play_actions()?;
    run.finish();
    Ok(PlayedRun { history: run.history.clone(), proxies: run.proxies.clone() })
}

impl<'a> Run<'a> {
    /// Creates the members, the agents and the proxies; members and agents listen, no process is started.
    fn prepare(scenario: &'a Scenario, program: &Path, folder: &Path) -> std::io::Result<Run<'a>> {
        let (history, clock) = (Arc::new(History::default()), RunClock::start());
        let is_over = Arc::new(AtomicBool::new(false));
        let keys: Vec<_> = (0..scenario.groups).map(|_| Arc::default()).collect();
        let context =
            RunContext { seed: scenario.seed, history: history.clone(), clock, is_over: is_over.clone() };
        let make_member = |index: usize| {
            let group = index / scenario.group_size;
            let keys: Arc<SeenKeys> = Arc::clone(&keys[group]);
            Arc::new(Member::new(index, group, scenario.rejects_stale, context.clone(), keys))
        };
        let members: Vec<_> = (0..scenario.members()).map(make_member).collect();
        for group in 0..scenario.groups {
            members[group * scenario.group_size].primary.store(true, Ordering::SeqCst);
        }
        let listed = |member: &Arc<Member>| ListedMember {
            index: member.index,
            group: member.group,
            state: "SERVING",
            primary: member.primary.load(Ordering::SeqCst),
            boot_ms: 0,
        };
        let directory = Arc::new(EndpointDirectory::new(members.iter().map(listed).collect()));
        let mut run = Run {
            scenario,
            history,
            clock,
            is_over,
            directory,
            members,
            member_addresses: Vec::new(),
            proxies: Vec::new(),
            extended_addresses: Vec::new(),
            agents: Vec::new(),
            notices: NoticeSchedule::new(scenario),
            followups: Vec::new(),
            agents_made: 0,
            clients: None,
            threads: Arc::default(),
        };
        for proxy in 0..scenario.proxies {
            let mut addresses = Vec::new();
            for member in &run.members {
                let host = FIRST_MEMBER_HOST + member.index as u8;
                addresses.push(member.listen(run.address(proxy, host, 0), proxy)?);
            }
            run.member_addresses.push(addresses);
            let agent = run.new_agent(proxy)?;
            run.agents.push(agent);
            let address = run.free_address(proxy)?;
            let extended = run.free_address(proxy)?;
            let (history, clock) = (run.history.clone(), run.clock);
            let process = Proxy::new(proxy, address, program, folder, history, clock)?;
            let listener_file = folder.join(format!("postgres-{proxy}.toml"));
            std::fs::write(&listener_file, extended_listener_text(extended))?;
            let arguments = ["--postgres".into(), listener_file.into_os_string()];
            run.proxies.push(Arc::new(process.with_arguments(arguments)));
            run.extended_addresses.push(extended);
        }
        Ok(run)
    }

    /// Returns the address of a host of this run that belongs to a proxy.
    fn address(&self, proxy: usize, host: u8, port: u16) -> SocketAddr {
        let network = (FIRST_NETWORK + self.scenario.seed % NETWORKS) as u8;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, proxy as u8, host)), port)
    }

    /// Returns an address with a port that is free now, at which the proxy can listen.
    fn free_address(&self, proxy: usize) -> std::io::Result<SocketAddr> {
        std::net::TcpListener::bind(self.address(proxy, PROXY_HOST, 0))?.local_addr()
    }

    /// Starts an agent for a proxy, at an address that no other agent of the run has.
    pub(crate) fn new_agent(&mut self, proxy: usize) -> std::io::Result<Arc<Agent>> {
        let address = self.address(proxy, FIRST_AGENT_HOST + self.agents_made, 0);
        self.agents_made += 1;
        Agent::start(
            address,
            proxy,
            self.member_addresses[proxy].clone(),
            self.directory.clone(),
            self.history.clone(),
            self.clock,
            self.is_over.clone(),
        )
    }

    /// Starts the processes, the clients and the thread that watches for stalls.
    fn start(&mut self) -> std::io::Result<()> {
        for proxy in 0..self.proxies.len() {
            self.start_proxy(proxy)?;
        }
        let clients = Arc::new(Clients {
            proxies: self.proxies.clone(),
            history: self.history.clone(),
            clock: self.clock,
            is_over: self.is_over.clone(),
            groups: self.scenario.groups,
            seed: self.scenario.seed,
            deadline_percent: self.scenario.deadline_percent,
            leave_one_in: self.scenario.leave_one_in,
            next_id: AtomicU64::new(1),
        });
        for proxy in 0..self.proxies.len() {
            for client in 0..self.scenario.clients {
                let (clients, number) = (clients.clone(), (proxy * 1000 + client) as u64);
                self.spawn(move || clients.run_client(number, proxy, THINK_TIME));
            }
            for client in 0..BATCH_CLIENTS {
                let (clients, address) = (clients.clone(), self.extended_addresses[proxy]);
                let number = (proxy * 1000) as u64 + client;
                self.spawn(move || clients.run_batch_client(number, proxy, address, THINK_TIME));
            }
            if self.scenario.has_pipelining_client {
                let (clients, number) = (clients.clone(), proxy as u64);
                self.spawn(move || clients.run_pipelining_client(number, proxy));
            }
            for client in 0..self.scenario.faulty_clients {
                let (clients, number) = (clients.clone(), (proxy * 1000 + client) as u64);
                self.spawn(move || clients.run_faulty_client(number, proxy));
            }
        }
        let context = self.context();
        self.spawn(move || watch_for_stalls(&context));
        self.clients = Some(clients);
        Ok(())
    }

    fn context(&self) -> RunContext {
        let (history, is_over) = (self.history.clone(), self.is_over.clone());
        RunContext { seed: self.scenario.seed, history, clock: self.clock, is_over }
    }

    /// Starts a thread that is joined at the end of the run.
    pub(crate) fn spawn(&self, run: impl FnOnce() + Send + 'static) {
        self.threads.lock().unwrap().push(std::thread::spawn(run));
    }

    /// Returns the text of a proxy's configuration file, with the current address of its agent.
    pub(crate) fn configuration(&self, proxy: usize) -> String {
        let addresses = &self.member_addresses[proxy];
        let (_, known) = self.directory.text(None, &|member| addresses[member]);
        format!(
            r#"{{"name":"n{proxy}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"sockets":{},"memory_mb":{MEMORY_MB}}},"known":{known},"settings":{}}}"#,
            self.proxies[proxy].address,
            self.agents[proxy].address,
            self.scenario.seed,
            self.scenario.sockets,
            self.scenario.settings_text()
        )
    }

    /// Starts the process of a proxy with a new configuration file, and notes the start for its notices.
    fn start_proxy(&mut self, proxy: usize) -> std::io::Result<()> {
        self.proxies[proxy].write_configuration(&self.configuration(proxy))?;
        self.notices.process_started(self.clock.now(), &self.agents[proxy]);
        self.proxies[proxy].start()
    }

    /// Performs the actions and follow-ups at their times until the scenario's duration is over, updates the
    /// notices, and checks the processes.
    fn play_actions(&mut self) -> std::io::Result<()> {
        let mut next = 0;
        let mut usage_at = 0;
        while self.clock.now() < self.scenario.duration {
            let now = self.clock.now();
            while let Some((at, action)) = self.scenario.actions.get(next)
                && *at <= now
            {
                self.history.note(now, format!("{action:?}"));
                self.perform(now, *action)?;
                next += 1;
            }
            self.do_followups(now)?;
            self.agents.iter().for_each(|agent| self.notices.update(now, agent));
            if now >= usage_at {
                usage_at = now + USAGE_INTERVAL;
                self.proxies.iter().for_each(|proxy| self.check_usage(now, proxy));
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    /// Performs the follow-ups that are due.
    fn do_followups(&mut self, now: Micros) -> std::io::Result<()> {
        while let Some(index) = self.followups.iter().position(|(at, _)| *at <= now) {
            match self.followups.swap_remove(index).1 {
                Followup::LeaveRotation(proxy) => {
                    self.proxies[proxy].is_in_rotation.store(false, Ordering::SeqCst)
                }
                Followup::KillAndStart(proxy) => {
                    if self.proxies[proxy].check_running() {
                        self.proxies[proxy].kill();
                    }
                    self.start_proxy(proxy)?;
                }
                Followup::Start(proxy) => self.start_proxy(proxy)?,
                Followup::Continue(proxy) => self.proxies[proxy].signal(Signal::CONT),
                Followup::EndAgent(agent) => agent.set_mode(AgentMode::Gone),
            }
        }
        Ok(())
    }

    /// Records an incident if a process exceeds its limits of memory or descriptors.
    fn check_usage(&self, now: Micros, proxy: &Proxy) {
        proxy.check_running();
        let Some((memory_kib, descriptors)) = proxy.usage() else { return };
        if memory_kib > MEMORY_MB * 1024 || descriptors > self.scenario.sockets {
            let text = format!(
                "limits: {memory_kib} KiB and {descriptors} descriptors exceed {MEMORY_MB} MiB or `sockets`"
            );
            self.history.incident(now, proxy.index, text);
        }
    }

    /// Ends the processes with SIGTERM while the clients continue. Then ends the clients' threads and joins
    /// them.
    fn finish(&mut self) {
        for process in &self.proxies {
            if !process.may_exit.load(Ordering::SeqCst) && process.check_running() {
                process.signal(Signal::CONT);
            }
        }
        // By proxy: when its shutdown began.
        let mut ends_since = vec![None; self.proxies.len()];
        while ends_since.contains(&None) || self.proxies.iter().any(|proxy| proxy.check_running()) {
            for (proxy, ends_since) in self.proxies.iter().zip(&mut ends_since) {
                self.end_process(proxy, ends_since);
            }
            self.agents.iter().for_each(|agent| self.notices.update(self.clock.now(), agent));
            std::thread::sleep(STEP);
        }
        self.is_over.store(true, Ordering::SeqCst);
        for thread in std::mem::take(&mut *self.threads.lock().unwrap()) {
            if thread.join().is_err() {
                self.history.incident(
                    self.clock.now(),
                    0,
                    "emulator: expected its threads to end, but one panicked",
                );
            }
        }
    }

    /// Performs the steps that are due to end a process: SIGTERM, [`ROTATION_DELAY`] later the end of its
    /// rotation, and SIGKILL if it still runs [`Scenario::kill_after`] after SIGTERM; its open requests are
    /// not excused. A process must exit with 0 after SIGTERM. `ends_since` is the time of SIGTERM, or for a
    /// process that does not run or was told to exit before, the time of the first call.
    fn end_process(&self, process: &Proxy, ends_since: &mut Option<Micros>) {
        let now = self.clock.now();
        let Some(since) = *ends_since else {
            // SIGTERM ends a process without a shutdown if it comes before the process has installed its
            // handlers. So a process that is starting gets SIGTERM once it is ready or the limit has passed.
            if !process.is_starting() {
                *ends_since = Some(now);
                if !process.may_exit.swap(true, Ordering::SeqCst) && process.check_running() {
                    process.signal(Signal::TERM);
                }
            }
            return;
        };
        if now > since + ROTATION_DELAY {
            process.is_in_rotation.store(false, Ordering::SeqCst);
        }
        if now >= since + self.scenario.kill_after() && process.check_running() {
            process.kill();
        }
    }
}
