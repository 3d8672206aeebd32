//! The processes of a play: proxies, members and discovery.

use super::ordinary::Target;
use super::{CHECK_DEADLINE, DEADLINES, Disturbance, EXIT_LIMIT, MEMORY_MB, Play, member};
use crate::discovery::{Agent, EndpointDirectory, ListedMember};
use crate::history::{History, RunClock};
use crate::process::Proxy;
use rustix::process::Signal;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The descriptors of a proxy.
const SOCKETS: usize = 256;
/// The members, the first of which is primary.
const MEMBERS: usize = 3;
/// The pause between two changes of the list in a series without end.
const LIST_CHANGE_INTERVAL: Duration = Duration::from_millis(2);
/// The pause between two checks whether the proxies are ready or have ended.
const STEP: Duration = Duration::from_millis(5);
/// How long the proxies may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

const SETTINGS: &str = r#"{"request_classes":[
 {"name":"any","aim_us":400000,"deadline_us":3000000,"effect":"safe","credit":3},
 {"name":"write","aim_us":600000,"deadline_us":3000000,"effect":"unsafe","credit":6}],
 "family_info":{"when_behind":"hold","freshness":["loose","update"],"counted_from_us":0,
 "catch_up_wait_us":50000},"limits":{"max_attempts":8,"probes":false,"cancel":true},"resolution_us":5000,
 "contract":{"cold_from":0.2,"cold_us":1000000,"fall_multiple":2.0,"fall_us":1000000}}"#;

/// A proxy with the addresses of its listeners.
struct StagedProxy {
    process: Arc<Proxy>,
    extended: SocketAddr,
    admin: SocketAddr,
    agent: Arc<Agent>,
}

/// The processes of a play.
pub(super) struct Stage {
    proxies: Vec<StagedProxy>,
    directory: Arc<EndpointDirectory>,
    history: Arc<History>,
    clock: RunClock,
    members: Vec<SocketAddr>,
    is_over: Arc<AtomicBool>,
    /// The cores of this thread before the play.
    all_cores: CpuSet,
    /// When SIGTERM was sent.
    pub(super) terminated_at: Option<Instant>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        let _ = sched_setaffinity(None, &self.all_cores);
    }
}

impl Stage {
    /// Starts the members, discovery and the proxies, and waits until these are ready.
    pub(super) fn prepare(play: &Play, program: &Path, folder: &Path) -> std::io::Result<Stage> {
        let all_cores = sched_getaffinity(None)?;
        if play.one_core {
            // The threads of the emulator leave the proxies their core.
            sched_setaffinity(None, &without_core(&all_cores, PROXY_CORE))?;
        }
        let members = (0..MEMBERS).map(|index| member::start(index == 0)).collect::<Result<Vec<_>, _>>()?;
        let listed =
            |index| ListedMember { index, group: 2, state: "SERVING", primary: index == 0, boot_ms: 0 };
        let directory = EndpointDirectory::new((0..MEMBERS).map(listed).collect());
        let mut stage = Stage {
            proxies: Vec::new(),
            directory: Arc::new(directory),
            history: Arc::default(),
            clock: RunClock::start(),
            members,
            is_over: Arc::default(),
            all_cores,
            terminated_at: None,
        };
        for index in 0..play.proxies {
            stage.add_proxy(index, program, folder)?;
        }
        stage.start_proxies(play.one_core)?;
        Ok(stage)
    }

    fn add_proxy(&mut self, index: usize, program: &Path, folder: &Path) -> std::io::Result<()> {
        let [address, extended, admin] = [free_address()?, free_address()?, free_address()?];
        let agent = self.new_agent(index)?;
        let extended_file = folder.join(format!("postgres-{index}.toml"));
        let arguments = ["--postgres".into(), extended_file.clone().into_os_string()];
        let process = Proxy::new(index, address, program, folder, self.history.clone(), self.clock)?;
        let process = process.with_arguments(arguments);
        std::fs::write(
            extended_file,
            format!(
                "listen = '{extended}'\nread_class = 'any'\nwrite_class = 'write'\ngroup = 2\nwait_ms = 2900\nsession_parameter = 1\n\
                 statements = 100\n"
            ),
        )?;
        let proxy = StagedProxy { process: Arc::new(process), extended, admin, agent };
        proxy.process.write_configuration(&self.configuration(&proxy))?;
        self.proxies.push(proxy);
        Ok(())
    }

    fn new_agent(&self, proxy: usize) -> std::io::Result<Arc<Agent>> {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let (directory, history) = (self.directory.clone(), self.history.clone());
        Agent::start(local, proxy, self.members.clone(), directory, history, self.clock, self.is_over.clone())
    }

    fn configuration(&self, proxy: &StagedProxy) -> String {
        let (_, known) = self.directory.text(None, &|member| self.members[member]);
        format!(
            r#"{{"name":"n{}","listen":"{}","discovery":"{}","ops":"{}","seed":"1","limits":{{"sockets":{SOCKETS},"memory_mb":{MEMORY_MB}}},"known":{known},"settings":{SETTINGS}}}"#,
            proxy.process.index, proxy.process.address, proxy.agent.address, proxy.admin
        )
    }

    /// Starts the proxies, which inherit the cores of this thread, and waits until they are ready.
    fn start_proxies(&self, one_core: bool) -> std::io::Result<()> {
        let own_cores = sched_getaffinity(None)?;
        if one_core {
            sched_setaffinity(None, &only_core(PROXY_CORE))?;
        }
        let started = self.proxies.iter().try_for_each(|proxy| proxy.process.start());
        sched_setaffinity(None, &own_cores)?;
        started?;
        self.await_ready()
    }

    fn await_ready(&self) -> std::io::Result<()> {
        let start = Instant::now();
        let is_ready = |proxy: &StagedProxy| proxy.process.is_in_rotation.load(Ordering::SeqCst);
        while !self.proxies.iter().all(is_ready) {
            let runs = self.proxies.iter().all(|proxy| proxy.process.check_running());
            if !runs || start.elapsed() > READY_LIMIT {
                return Err(std::io::Error::other("the proxies are not ready in time"));
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    /// The ordinary clients, by what they connect to, and their deadlines.
    pub(super) fn ordinary_clients(&self) -> Vec<(Target, SocketAddr, Duration)> {
        let mut clients = Vec::new();
        for proxy in &self.proxies {
            for deadline in DEADLINES {
                clients.push((Target::Platform, proxy.process.address, deadline));
                clients.push((Target::Extended, proxy.extended, deadline));
            }
            clients.push((Target::HealthCheck, proxy.process.address, CHECK_DEADLINE));
            clients.push((Target::Admin, proxy.admin, CHECK_DEADLINE));
        }
        clients
    }

    /// The listeners that are flooded.
    pub(super) fn flooded_addresses(&self, extended: bool) -> Vec<SocketAddr> {
        let address = |proxy: &StagedProxy| if extended { proxy.extended } else { proxy.process.address };
        self.proxies.iter().map(address).collect()
    }

    /// Waits for the end of the flood, and disturbs the proxies from its middle on.
    pub(super) fn disturb(&mut self, play: &Play, began: Instant, findings: &mut Vec<String>) {
        std::thread::sleep((began + play.duration / 2).saturating_duration_since(Instant::now()));
        if let Some(stop) = play.planted_stop {
            self.proxies[0].process.signal(Signal::STOP);
            std::thread::sleep(stop);
            self.proxies[0].process.signal(Signal::CONT);
        }
        match play.disturbance {
            Disturbance::None => {}
            Disturbance::Reload => self.reload(findings),
            Disturbance::ListChanges => self.change_list_until(began + play.duration),
            Disturbance::Terminate => return self.terminate(findings),
        }
        std::thread::sleep((began + play.duration).saturating_duration_since(Instant::now()));
    }

    fn reload(&mut self, findings: &mut Vec<String>) {
        for index in 0..self.proxies.len() {
            let Ok(agent) = self.new_agent(index) else { continue };
            self.proxies[index].agent = agent;
            let proxy = &self.proxies[index];
            if let Err(error) = proxy.process.write_configuration(&self.configuration(proxy)) {
                findings.push(format!("emulator: {error}"));
            }
            proxy.process.signal(Signal::HUP);
        }
    }

    /// Changes a replica's time of start over and over.
    fn change_list_until(&self, end: Instant) {
        for boot_ms in 1.. {
            if Instant::now() >= end {
                return;
            }
            let change = |listed: &mut ListedMember| listed.boot_ms = boot_ms % 2;
            self.directory.change(self.clock.now(), &self.history, MEMBERS - 1, change);
            std::thread::sleep(LIST_CHANGE_INTERVAL);
        }
    }

    /// Sends SIGTERM, and waits until the processes have ended with 0, no longer than they have.
    fn terminate(&mut self, findings: &mut Vec<String>) {
        self.terminated_at = Some(Instant::now());
        for proxy in &self.proxies {
            proxy.process.may_exit.store(true, Ordering::SeqCst);
            proxy.process.signal(Signal::TERM);
        }
        let end = Instant::now() + EXIT_LIMIT;
        while self.proxies.iter().any(|proxy| proxy.process.check_running()) {
            if Instant::now() > end {
                findings.push("a proxy runs 3.7 s after SIGTERM".into());
                return;
            }
            std::thread::sleep(STEP);
        }
    }

    /// The counters of the first proxy whose names begin with one of these; empty if it does not run.
    pub(super) fn counters(&self, prefixes: &[&str]) -> String {
        let text = read_counters(self.proxies[0].admin).unwrap_or_default();
        let is_wanted = |line: &&str| prefixes.iter().any(|prefix| line.starts_with(prefix));
        text.lines().filter(is_wanted).collect::<Vec<_>>().join(" ")
    }

    /// The highest memory of a proxy that runs, in KiB; 0 if none does.
    pub(super) fn highest_memory_kib(&self) -> u64 {
        self.proxies.iter().filter_map(|proxy| proxy.process.peak_memory_kib()).max().unwrap_or(0)
    }

    /// What is wrong with the processes.
    pub(super) fn usage_findings(&self) -> Vec<String> {
        for proxy in &self.proxies {
            proxy.process.check_running();
        }
        let incidents = self.history.incidents.lock().unwrap();
        let mut findings: Vec<_> = incidents.iter().map(|incident| incident.text.clone()).collect();
        let memory = self.highest_memory_kib();
        if memory > MEMORY_MB * 1024 {
            findings.push(format!("{memory} KiB used, {MEMORY_MB} MiB allowed"));
        }
        findings
    }
}

/// The core that the proxies are held to.
const PROXY_CORE: usize = 0;

fn only_core(core: usize) -> CpuSet {
    let mut set = CpuSet::new();
    set.set(core);
    set
}

/// These cores without one, or the same if there is no other.
fn without_core(cores: &CpuSet, core: usize) -> CpuSet {
    let mut others = *cores;
    others.unset(core);
    if others.count() == 0 { *cores } else { others }
}

fn read_counters(admin: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(admin)?;
    stream.set_read_timeout(Some(CHECK_DEADLINE))?;
    stream.write_all(b"GET /control/counters HTTP/1.1\r\nHost: proxy\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Returns an address with a port that is free now.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
