//! Discovery: one list for all proxies, and an agent for each proxy that tells it.

use crate::history::{History, ListChange, MS, Micros, Notice, RunClock};
use crate::random::Draws;
use rustix::net::sockopt::set_socket_linger;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often an agent looks for something to send.
const AGENT_STEP: Duration = Duration::from_millis(4);
/// The time between two empty lines on a watch.
const HEARTBEAT: Micros = 2_000 * MS;
/// The pause between two pieces of a message that comes in pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(6);

/// What an agent does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// It answers at once.
    Up,
    /// It answers with messages cut into pieces.
    Fragmented,
    /// It answers calls late, as a crowded service does.
    Slow,
    /// It takes no new calls; open ones go on.
    Closing,
    /// It accepts calls and is silent; it learns nothing.
    Silent,
    /// It is silent, and calls that were made meanwhile are never answered.
    DropsCalls,
    /// It resets all calls.
    Resetting,
    /// It answers 503.
    Busy,
    /// Nothing listens.
    Gone,
}

impl AgentMode {
    /// Whether it learns what discovery has.
    pub fn is_up(self) -> bool {
        matches!(self, AgentMode::Up | AgentMode::Fragmented | AgentMode::Slow | AgentMode::Closing)
    }
}

/// A member in the list.
#[derive(Clone, Debug)]
pub struct ListedMember {
    /// Its index.
    pub index: usize,
    /// The group.
    pub group: usize,
    /// The state in the list.
    pub state: &'static str,
    /// It is primary.
    pub primary: bool,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// The list, with its changes by revision.
pub struct EndpointDirectory {
    members: Mutex<Vec<ListedMember>>,
    changes: Mutex<Vec<(u64, usize)>>,
    revision: Mutex<u64>,
}

impl EndpointDirectory {
    /// A list of these members.
    pub fn new(members: Vec<ListedMember>) -> EndpointDirectory {
        EndpointDirectory {
            members: Mutex::new(members),
            changes: Mutex::default(),
            revision: Mutex::new(40),
        }
    }

    /// The revision now.
    pub fn revision(&self) -> u64 {
        *self.revision.lock().unwrap()
    }

    /// Changes a member.
    pub fn change(
        &self,
        at: Micros,
        history: &History,
        index: usize,
        change: impl FnOnce(&mut ListedMember),
    ) {
        let mut members = self.members.lock().unwrap();
        change(&mut members[index]);
        let mut revision = self.revision.lock().unwrap();
        *revision += 1;
        self.changes.lock().unwrap().push((*revision, index));
        let serving = members[index].state == "SERVING";
        let change = ListChange { at, revision: *revision, member: index, serving };
        history.changes.lock().unwrap().push(change);
    }

    /// The whole list, or the changes after a revision, as a proxy sees it.
    pub fn text(&self, after: Option<u64>, proxy_host: &dyn Fn(usize) -> SocketAddr) -> (u64, String) {
        let members = self.members.lock().unwrap();
        let revision = *self.revision.lock().unwrap();
        let changed = |index: usize| match after {
            None => members[index].state != "DELETED",
            Some(after) => {
                self.changes.lock().unwrap().iter().any(|&(rev, member)| rev > after && member == index)
            }
        };
        let entries: Vec<String> = members
            .iter()
            .filter(|member| changed(member.index))
            .map(|member| {
                let ListedMember { index, group, state, primary, boot_ms } = member;
                let recovery = if *primary { "off" } else { "on" };
                format!(
                    r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms},"recovery":"{recovery}"}}"#,
                    member_name(*index), proxy_host(*index)
                )
            })
            .collect();
        let all = after.is_none();
        (revision, format!(r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#, entries.join(",")))
    }
}

/// The name of a member in the list.
pub fn member_name(index: usize) -> String {
    format!("s-{index:02}")
}

/// The agent of one proxy at one address.
pub struct Agent {
    /// Its address.
    pub address: SocketAddr,
    /// The proxy.
    pub proxy: usize,
    /// Where the proxy reaches the members.
    pub members: Vec<SocketAddr>,
    /// The list.
    pub directory: Arc<EndpointDirectory>,
    /// The records.
    pub history: Arc<History>,
    /// The clock.
    pub clock: RunClock,
    mode: Mutex<AgentMode>,
    /// The revision that it has; it learns no more while it is down.
    synced_revision: Mutex<u64>,
    /// Watches opened before this fall silent.
    silenced_before: Mutex<Micros>,
    /// A planted fault: changes are counted as told and not sent.
    pub swallows_changes: AtomicBool,
    is_over: Arc<AtomicBool>,
}

impl Agent {
    /// Starts an agent.
    pub fn start(
        address: SocketAddr,
        proxy: usize,
        members: Vec<SocketAddr>,
        directory: Arc<EndpointDirectory>,
        history: Arc<History>,
        clock: RunClock,
        is_over: Arc<AtomicBool>,
    ) -> std::io::Result<Arc<Agent>> {
        let listener = TcpListener::bind(address)?;
        let agent = Arc::new(Agent {
            address: listener.local_addr()?,
            proxy,
            members,
            synced_revision: Mutex::new(directory.revision()),
            directory,
            history,
            clock,
            mode: Mutex::new(AgentMode::Up),
            silenced_before: Mutex::new(0),
            swallows_changes: AtomicBool::new(false),
            is_over,
        });
        let serving = agent.clone();
        std::thread::spawn(move || serving.accept(Some(listener)));
        Ok(agent)
    }

    /// What it does now.
    pub fn mode(&self) -> AgentMode {
        *self.mode.lock().unwrap()
    }

    /// Changes what it does from now on. What it learns at a return counts as told at once.
    pub fn set_mode(&self, mode: AgentMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Watches that are open now fall silent.
    pub fn silence_watches(&self) {
        *self.silenced_before.lock().unwrap() = self.clock.now();
    }

    /// When the watches that were open fell silent.
    pub fn silenced_at(&self) -> Micros {
        *self.silenced_before.lock().unwrap()
    }

    /// The revision that it has.
    pub fn synced_revision(&self) -> u64 {
        *self.synced_revision.lock().unwrap()
    }

    /// Learns what discovery has, if it is up. Returns the revision if that is news.
    pub fn sync(&self) -> Option<u64> {
        let mut synced = self.synced_revision.lock().unwrap();
        let revision = self.directory.revision();
        let is_news = self.mode().is_up() && revision > *synced;
        if is_news {
            *synced = revision;
        }
        is_news.then_some(revision)
    }

    fn ended(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, mut listener: Option<TcpListener>) {
        while !self.ended() {
            if matches!(self.mode(), AgentMode::Gone | AgentMode::Closing) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let agent = self.clone();
                    std::thread::spawn(move || agent.serve(stream));
                }
            }
            std::thread::sleep(AGENT_STEP);
        }
    }

    /// Serves one call; the connection ends with it.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let opened_at = self.clock.now();
        let mode_at_open = self.mode();
        let Some(index) = read_request(&stream) else { return };
        loop {
            match self.mode() {
                AgentMode::Resetting | AgentMode::Gone => return reset(&stream),
                AgentMode::Busy => {
                    let _ = (&stream).write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                mode if mode.is_up() && mode_at_open != AgentMode::DropsCalls => break,
                _ if self.ended() || is_closed(&stream) => return,
                _ => std::thread::sleep(AGENT_STEP),
            }
        }
        if self.mode() == AgentMode::Slow {
            let late = Draws::new(opened_at, 3).between(100, 1800);
            std::thread::sleep(Duration::from_millis(late));
        }
        match index {
            None => self.send_list(&stream),
            Some(index) => self.send_changes(&stream, index, opened_at),
        }
    }

    fn host_of(&self) -> impl Fn(usize) -> SocketAddr + '_ {
        |index| self.members[index]
    }

    fn send_list(&self, stream: &TcpStream) {
        self.sync();
        let (revision, text) = self.directory.text(None, &self.host_of());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if self.write(stream, format!("{head}{text}").as_bytes()).is_ok() {
            self.record_notice(revision);
        }
    }

    fn send_changes(&self, stream: &TcpStream, index: u64, opened_at: Micros) {
        let _ = (&*stream).write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut sent = index;
        let mut last_line = self.clock.now();
        while !self.ended() && !is_closed(stream) {
            let mode = self.mode();
            if !mode.is_up() {
                if matches!(mode, AgentMode::Silent | AgentMode::DropsCalls) {
                    std::thread::sleep(AGENT_STEP);
                    continue;
                }
                return reset(stream);
            }
            if opened_at < self.silenced_at() {
                std::thread::sleep(AGENT_STEP);
                continue;
            }
            self.sync();
            let now = self.clock.now();
            if self.directory.revision() > sent && !self.swallows_changes.load(Ordering::SeqCst) {
                let (revision, text) = self.directory.text(Some(sent), &self.host_of());
                if self.write(stream, chunk(&text).as_bytes()).is_err() {
                    return;
                }
                self.record_notice(revision);
                (sent, last_line) = (revision, now);
            } else if now >= last_line + HEARTBEAT {
                if self.write(stream, b"1\r\n\n\r\n").is_err() {
                    return;
                }
                last_line = now;
            }
            std::thread::sleep(AGENT_STEP);
        }
    }

    /// The proxy has been told this revision, or counts as told.
    pub fn record_notice(&self, revision: u64) {
        let notice = Notice { at: self.clock.now(), proxy: self.proxy, revision };
        self.history.notices.lock().unwrap().push(notice);
    }

    fn write(&self, mut stream: &TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        if self.mode() != AgentMode::Fragmented {
            return stream.write_all(bytes);
        }
        for piece in bytes.chunks(bytes.len() / 4 + 1) {
            stream.write_all(piece)?;
            std::thread::sleep(PIECE_PAUSE);
        }
        Ok(())
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// The index that a watch asks for; `Some(None)` for the whole list.
fn read_request(stream: &TcpStream) -> Option<Option<u64>> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut request = String::new();
    reader.read_line(&mut request).ok()?;
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 2) {
        line.clear();
    }
    let path = request.split(' ').nth(1)?;
    match path.split_once("index=") {
        Some((_, index)) => Some(Some(index.parse().ok()?)),
        None => Some(None),
    }
}

/// Whether the proxy has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
