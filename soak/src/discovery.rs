//! Emulated discovery: one endpoint list for all proxies, and for each proxy an agent that serves the list.

use crate::history::{History, ListChange, MS, Micros, Notice, RunClock};
use crate::random::Draws;
use rustix::net::sockopt::set_socket_linger;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which an agent polls for connections, changes of its mode, and changes of the list.
const AGENT_STEP: Duration = Duration::from_millis(4);
/// Time without an event on a watch after which the agent sends an empty line.
const HEARTBEAT: Micros = 2_000 * MS;
/// Pause between two fragments of a message in [`AgentMode::Fragmented`].
const FRAGMENT_PAUSE: Duration = Duration::from_millis(6);

/// How an agent answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// Answers without delay.
    Up,
    /// Answers without delay, but writes each message in up to 4 fragments with pauses.
    Fragmented,
    /// Starts to answer each call 100 to 1800 ms late, as an overloaded service does.
    Slow,
    /// Accepts no new calls; open calls continue.
    Closing,
    /// Accepts calls but sends nothing, and does not follow the list. The calls are answered when the agent
    /// is up again.
    Silent,
    /// Like [`AgentMode::Silent`], but calls that were opened in this mode are never answered.
    NeverAnswering,
    /// Accepts calls and resets them, open ones included.
    Resetting,
    /// Answers calls with status 503 and resets watches that have begun.
    Busy,
    /// Closes its listener and resets open calls.
    Gone,
}

impl AgentMode {
    /// Returns whether the agent follows the list and serves open calls.
    pub fn is_up(self) -> bool {
        matches!(self, AgentMode::Up | AgentMode::Fragmented | AgentMode::Slow | AgentMode::Closing)
    }
}

/// A member in the list.
#[derive(Clone, Debug)]
pub struct ListedMember {
    /// The member's index.
    pub index: usize,
    /// The index of its group.
    pub group: usize,
    /// The `state` in the list: `SERVING`, `DRAINING` or `DELETED`.
    pub state: &'static str,
    /// Whether the list calls it primary (`recovery` is `off`).
    pub primary: bool,
    /// The time of its last start, in Unix milliseconds; 0 if that was long ago.
    pub boot_ms: u64,
}

/// The endpoint list, with the revision and member of each change.
pub struct EndpointDirectory {
    members: Mutex<Vec<ListedMember>>,
    changes: Mutex<Vec<(u64, usize)>>,
    revision: Mutex<u64>,
}

impl EndpointDirectory {
    /// Creates a list of these members, without changes.
    pub fn new(members: Vec<ListedMember>) -> EndpointDirectory {
        EndpointDirectory {
            members: Mutex::new(members),
            changes: Mutex::default(),
            revision: Mutex::new(40),
        }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        *self.revision.lock().unwrap()
    }

    /// Changes a member, which makes a new revision, and records the change at `at`.
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

    /// Returns the revision, and the JSON text of the complete list or of the members changed after a
    /// revision. `proxy_host` gives the address at which the proxy reaches a member.
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

/// Returns the `uid` of a member in the list.
pub fn member_name(index: usize) -> String {
    format!("s-{index:02}")
}

/// The agent that serves one proxy at one address.
pub struct Agent {
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The index of the proxy.
    pub proxy: usize,
    /// The addresses at which the proxy reaches the members, by the members' index.
    pub members: Vec<SocketAddr>,
    /// The list that it serves.
    pub directory: Arc<EndpointDirectory>,
    /// Where it records notices.
    pub history: Arc<History>,
    /// The clock of the run.
    pub clock: RunClock,
    mode: Mutex<AgentMode>,
    /// The last revision of the list that the agent has seen; it does not change while the agent is not up.
    synced_revision: Mutex<u64>,
    /// Watches opened before this time send nothing more.
    silenced_before: Mutex<Micros>,
    /// A planted fault: changes count as notified, but are not sent on watches.
    pub swallows_changes: AtomicBool,
    is_over: Arc<AtomicBool>,
}

impl Agent {
    /// Starts an agent in mode [`AgentMode::Up`]; port 0 chooses a free port. Returns an error if the address
    /// can't be bound.
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

    /// Returns the current mode.
    pub fn mode(&self) -> AgentMode {
        *self.mode.lock().unwrap()
    }

    /// Changes the mode, also for open calls. Revisions that the agent sees when it is up again are recorded
    /// as notified by [`NoticeSchedule::update`](crate::notices::NoticeSchedule::update).
    pub fn set_mode(&self, mode: AgentMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Silences the watches that are open now: they stay open, but send nothing more.
    pub fn silence_watches(&self) {
        *self.silenced_before.lock().unwrap() = self.clock.now();
    }

    /// Returns the time of the last [`Agent::silence_watches`]; 0 if there was none.
    pub fn silenced_at(&self) -> Micros {
        *self.silenced_before.lock().unwrap()
    }

    /// Returns the last revision of the list that the agent has seen.
    pub fn synced_revision(&self) -> u64 {
        *self.synced_revision.lock().unwrap()
    }

    /// Updates the agent to the current revision of the list, if it is up. Returns the revision if it is new
    /// to the agent.
    pub fn sync(&self) -> Option<u64> {
        let mut synced = self.synced_revision.lock().unwrap();
        let revision = self.directory.revision();
        let is_newer = self.mode().is_up() && revision > *synced;
        if is_newer {
            *synced = revision;
        }
        is_newer.then_some(revision)
    }

    fn has_ended(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, mut listener: Option<TcpListener>) {
        while !self.has_ended() {
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

    /// Serves one call. A call that arrives while the agent is not up waits until the agent is up again, or
    /// ends as the mode demands. The connection is closed afterwards.
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
                mode if mode.is_up() && mode_at_open != AgentMode::NeverAnswering => break,
                _ if self.has_ended() || is_closed(&stream) => return,
                _ => std::thread::sleep(AGENT_STEP),
            }
        }
        if self.mode() == AgentMode::Slow {
            let delay_ms = Draws::new(opened_at, 3).between(100, 1800);
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        match index {
            None => self.send_list(&stream),
            Some(index) => self.send_changes(&stream, index, opened_at),
        }
    }

    fn host_of(&self) -> impl Fn(usize) -> SocketAddr + '_ {
        |index| self.members[index]
    }

    /// Answers a call for the complete list.
    fn send_list(&self, stream: &TcpStream) {
        self.sync();
        let (revision, text) = self.directory.text(None, &self.host_of());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if self.write(stream, format!("{head}{text}").as_bytes()).is_ok() {
            self.record_notice(revision);
        }
    }

    /// Answers a watch: sends the changes after revision `index` as they come, and a heartbeat in between.
    fn send_changes(&self, stream: &TcpStream, index: u64, opened_at: Micros) {
        let _ = (&*stream).write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut sent = index;
        let mut last_line = self.clock.now();
        while !self.has_ended() && !is_closed(stream) {
            let mode = self.mode();
            if !mode.is_up() {
                if matches!(mode, AgentMode::Silent | AgentMode::NeverAnswering) {
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

    /// Records that the proxy has been notified of this revision, or counts as notified from now on.
    pub fn record_notice(&self, revision: u64) {
        let notice = Notice { at: self.clock.now(), proxy: self.proxy, revision };
        self.history.notices.lock().unwrap().push(notice);
    }

    /// Writes bytes, in fragments with pauses if the mode is [`AgentMode::Fragmented`].
    fn write(&self, mut stream: &TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        if self.mode() != AgentMode::Fragmented {
            return stream.write_all(bytes);
        }
        for fragment in bytes.chunks(bytes.len() / 4 + 1) {
            stream.write_all(fragment)?;
            std::thread::sleep(FRAGMENT_PAUSE);
        }
        Ok(())
    }
}

/// Encodes a text and a line end as a chunk of HTTP's chunked transfer coding.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// Reads the head of a call. Returns the revision after which a watch asks for changes, `Some(None)` for a
/// call for the complete list, and `None` if the head can't be read.
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

/// Returns whether the proxy has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Makes the kernel send a TCP reset when the stream is dropped.
fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
