//! The daemon's own configuration and state - settings, the last member list, the catalogue of prepared
//! statements - in a small replicated log. A thread of its own runs it; no request and no decision waits
//! for it.

mod error;
mod log_file;
mod raft;
mod record;

pub use error::StoreError;

use crate::clock::Clock;
use crate::endpoint_list::EndpointList;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use log_file::LogFile;
use raft::{Input, Message, Output, PersistedState, RaftNode, RaftStatus, ReplicaId, StateMachine};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Words between threads that may wait; with more, the newest are dropped: replicas say them again.
const WAITING: usize = 256;
/// The longest line between replicas.
const MAX_LINE: u64 = 64 << 20;
/// Connections from other replicas and from the command line.
const CALLERS: u64 = 64;
const DIAL: Duration = Duration::from_millis(500);
const QUIET: Duration = Duration::from_secs(30);
/// How long the command line waits for a commit.
const COMMIT_WAIT: Duration = Duration::from_secs(3);
/// Statements in the catalogue, and values set by name.
const STATEMENTS: usize = 512;
const NAMES: usize = 256;

/// The file under `deploy/` that names the replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// This replica.
    pub id: ReplicaId,
    /// Where its log is kept; in memory without one.
    pub data: Option<PathBuf>,
    /// All replicas, this one included; alone without any.
    #[serde(default)]
    pub replica: Vec<Replica>,
}

/// One replica.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Its number.
    pub id: ReplicaId,
    /// Where the others reach it.
    pub address: SocketAddr,
}

impl Replicas {
    /// A list of replicas must hold this one.
    pub fn check(&self) -> std::result::Result<(), String> {
        let listed = self.replica.is_empty() || self.replica.iter().any(|r| r.id == self.id);
        if listed {
            Ok(())
        } else {
            Err(format!("the store's replica {} is not among those listed", self.id))
        }
    }

    /// One replica that keeps nothing over a restart.
    pub fn alone() -> Self {
        Replicas { id: 1, data: None, replica: Vec::new() }
    }
}

/// A statement that a client prepared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Its text.
    pub sql: String,
    /// Its parameter types, as they came.
    pub types: Vec<u8>,
}

/// What changes the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change {
    /// A setting.
    Set(String, serde_json::Value),
    /// News of the member list.
    Members(EndpointList),
    /// A statement was prepared.
    Prepared(Statement),
}

/// The state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Settings by name; `proxy` holds what the proxy was told.
    pub settings: BTreeMap<String, serde_json::Value>,
    /// The member list.
    pub members: EndpointList,
    /// The catalogue, the newest last.
    pub statements: VecDeque<Statement>,
}

impl StateMachine for State {
    type Command = Change;

    fn apply(&mut self, change: Change) {
        match change {
            Change::Set(name, value) => {
                if self.settings.len() < NAMES || self.settings.contains_key(&name) {
                    self.settings.insert(name, value);
                }
            }
            Change::Members(list) => self.members.merge(list),
            Change::Prepared(statement) => {
                self.statements.retain(|s| *s != statement);
                self.statements.push_back(statement);
                if self.statements.len() > STATEMENTS {
                    self.statements.pop_front();
                }
            }
        }
    }
}

/// What a caller may say on a connection, one a line.
#[derive(Serialize, Deserialize)]
enum Line {
    /// From another replica.
    Peer(Message<Change, State>),
    /// From another replica's proxy: dropped where this is no leader.
    Forward(Change),
    /// From the command line: answered once committed.
    Put(Change),
    /// From the command line.
    Status,
}

/// The answer to the command line.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The replica that answers.
    pub id: ReplicaId,
    /// Its term.
    pub term: u64,
    /// The leader it knows of.
    pub leader: Option<ReplicaId>,
    /// The last entry that is committed here.
    pub committed: u64,
    /// A put was committed.
    pub done: bool,
    /// The state here.
    pub state: State,
}

enum Word {
    Peer(Message<Change, State>),
    Propose(Change),
    Forward(Change),
    Put(Change, Sender<Status>),
    Status(Sender<Status>),
}

/// The proxy's end of its replica.
#[derive(Clone)]
pub struct Store {
    words: Sender<Word>,
    dropped: Arc<AtomicU64>,
}

impl Store {
    /// Starts a replica. `recovered` is called with the state once what it had saved is committed, if it had
    /// saved anything.
    pub fn start(
        replicas: &Replicas,
        seed: u64,
        recovered: impl FnOnce(State) + Send + 'static,
    ) -> Result<Store> {
        let clock = Clock::start();
        let (disk, saved) = match &replicas.data {
            Some(folder) => LogFile::open(folder).map(|(disk, saved)| (Some(disk), saved))?,
            None => (
                None,
                PersistedState {
                    hard_state: Default::default(),
                    snapshot: Default::default(),
                    entries: Vec::new(),
                },
            ),
        };
        let ids: Vec<_> = replicas.replica.iter().map(|r| r.id).collect();
        replicas.check().map_err(Error::other)?;
        let raft = RaftNode::new(replicas.id, &ids, saved, seed, clock.now());
        let (words, inbox) = bounded(WAITING);
        let mut peers = HashMap::new();
        for replica in &replicas.replica {
            if replica.id == replicas.id {
                listen(TcpListener::bind(replica.address)?, words.clone())?;
            } else {
                let (say, said) = bounded::<Line>(WAITING);
                let address = replica.address;
                spawn("store-peer", move || speak(address, &said))?;
                peers.insert(replica.id, say);
            }
        }
        let (saved_to, recovered) =
            (raft.last_log_index(), Some(Box::new(recovered) as Box<dyn FnOnce(State) + Send>));
        let recovered = recovered.filter(|_| saved_to > 0);
        let mut keeper = Keeper {
            id: replicas.id,
            raft,
            disk,
            peers,
            clock,
            proposed: VecDeque::new(),
            waiting: Vec::new(),
            saved_to,
            recovered,
        };
        spawn("store", move || {
            if let Err(e) = keeper.run(&inbox) {
                // What is not on the disk must not be promised to anyone: this replica says nothing any more.
                tracing::error!(error = %e, "the store has stopped");
            }
        })?;
        Ok(Store { words, dropped: Arc::default() })
    }

    /// Notes a change, as soon as there is a leader; never waits.
    pub fn note(&self, change: Change) {
        if self.words.try_send(Word::Propose(change)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

struct Keeper {
    id: ReplicaId,
    raft: RaftNode<State>,
    disk: Option<LogFile>,
    peers: HashMap<ReplicaId, Sender<Line>>,
    clock: Clock,
    /// This proxy's changes that wait for a leader.
    proposed: VecDeque<Change>,
    /// Puts that wait for the commit of their entry, which must be of this term.
    waiting: Vec<(u64, u64, Sender<Status>)>,
    /// The last entry that was saved before the start, and who is told when it is committed.
    saved_to: u64,
    recovered: Option<Box<dyn FnOnce(State) + Send>>,
}

impl Keeper {
    fn run(&mut self, inbox: &Receiver<Word>) -> Result<()> {
        loop {
            match inbox.recv_deadline(self.clock.instant(self.raft.next_deadline())) {
                Ok(Word::Peer(message)) => self.step(Input::Message(message))?,
                Ok(Word::Propose(change)) => {
                    if self.proposed.len() < WAITING {
                        self.proposed.push_back(change);
                    }
                }
                Ok(Word::Forward(change)) => self.step(Input::Propose(change))?,
                Ok(Word::Put(change, reply)) => {
                    if self.raft.is_leader() {
                        let at = self.raft.last_log_index() + 1;
                        self.waiting.push((at, self.raft.status().term, reply));
                        self.step(Input::Propose(change))?;
                    } else {
                        let _ = reply.try_send(self.status(false));
                    }
                }
                Ok(Word::Status(reply)) => drop(reply.try_send(self.status(false))),
                Err(RecvTimeoutError::Timeout) => self.step(Input::Tick)?,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while self.raft.is_leader()
                && let Some(change) = self.proposed.pop_front()
            {
                self.step(Input::Propose(change))?;
            }
            if let Some(leader) = self.raft.status().leader.and_then(|leader| self.peers.get(&leader)) {
                for change in self.proposed.drain(..) {
                    let _ = leader.try_send(Line::Forward(change));
                }
            }
        }
    }

    fn status(&self, done: bool) -> Status {
        let RaftStatus { term, leader, commit_index: committed } = self.raft.status();
        Status { id: self.id, term, leader, committed, done, state: self.raft.state_machine().clone() }
    }

    fn step(&mut self, input: Input<Change, State>) -> Result<()> {
        let led = self.raft.is_leader();
        for output in self.raft.step(self.clock.now(), input) {
            match output {
                Output::Persist { hard_state, entries } => {
                    if let Some(disk) = &mut self.disk {
                        disk.persist(hard_state, &entries)?;
                    }
                }
                Output::Compact { snapshot, entries } => {
                    if let Some(disk) = &mut self.disk {
                        disk.compact(snapshot, entries)?;
                    }
                }
                Output::Send { to, message } => {
                    if let Some(peer) = self.peers.get(&to) {
                        let _ = peer.try_send(Line::Peer(message));
                    }
                }
                Output::Applied { index, term } => {
                    let status = self.status(true);
                    self.waiting.retain(|(at, of, reply)| {
                        let here = *at == index;
                        if here {
                            let done = *of == term;
                            let _ = reply.try_send(Status { done, ..status_of(&status) });
                        }
                        !here
                    });
                }
            }
        }
        if self.raft.status().commit_index >= self.saved_to
            && let Some(tell) = self.recovered.take()
        {
            tell(self.raft.state_machine().clone());
        }
        if led != self.raft.is_leader() {
            let RaftStatus { term, leader, .. } = self.raft.status();
            tracing::info!(term, ?leader, "raft leader changed");
        }
        Ok(())
    }
}

fn status_of(status: &Status) -> Status {
    Status { state: status.state.clone(), ..*status }
}

/// Says a peer what there is to say, over one connection at a time.
fn speak(address: SocketAddr, said: &Receiver<Line>) {
    while let Ok(first) = said.recv() {
        let Ok(stream) = TcpStream::connect_timeout(&address, DIAL) else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(QUIET));
        let mut next = Some(first);
        while let Some(line) = next {
            // Guards against words said to a peer that has closed: they would be lost without a sign.
            if crate::sockets::closed_by_peer(&stream) || write_line(&stream, &line).is_err() {
                break;
            }
            next = said.recv().ok();
        }
    }
}

fn write_line(mut stream: &TcpStream, line: &impl Serialize) -> Result<()> {
    let mut text = serde_json::to_vec(line)?;
    text.push(b'\n');
    stream.write_all(&text)
}

fn listen(listener: TcpListener, words: Sender<Word>) -> Result<()> {
    let callers = Arc::new(Mutex::new(0u64));
    spawn("store-accept", move || {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let (words, count) = (words.clone(), callers.clone());
            let open = {
                let mut count = count.lock().unwrap_or_else(|e| e.into_inner());
                *count += 1;
                *count <= CALLERS
            };
            let ended = count.clone();
            let heard = spawn("store-caller", move || {
                if open {
                    hear(&stream, &words);
                }
                *count.lock().unwrap_or_else(|e| e.into_inner()) -= 1;
            });
            if heard.is_err() {
                *ended.lock().unwrap_or_else(|e| e.into_inner()) -= 1;
            }
        }
    })
}

fn hear(stream: &TcpStream, words: &Sender<Word>) {
    let _ = stream.set_read_timeout(Some(QUIET));
    let mut lines = BufReader::new(stream);
    let mut text = Vec::new();
    loop {
        text.clear();
        if !matches!(lines.by_ref().take(MAX_LINE).read_until(b'\n', &mut text), Ok(n) if n > 0) {
            return;
        }
        let Ok(line) = serde_json::from_slice::<Line>(&text) else { return };
        let (reply, replies) = bounded(1);
        let word = match line {
            Line::Peer(message) => Word::Peer(message),
            Line::Forward(change) => Word::Forward(change),
            Line::Put(change) => Word::Put(change, reply),
            Line::Status => Word::Status(reply),
        };
        let silent = matches!(word, Word::Peer(_) | Word::Forward(_));
        if words.send(word).is_err() {
            return;
        }
        if silent {
            continue;
        }
        let Ok(status) = replies.recv_timeout(COMMIT_WAIT) else { return };
        if write_line(stream, &status).is_err() {
            return;
        }
    }
}

fn ask(address: SocketAddr, line: &Line) -> Result<Status> {
    let stream = TcpStream::connect_timeout(&address, DIAL)?;
    stream.set_read_timeout(Some(COMMIT_WAIT + DIAL))?;
    write_line(&stream, line)?;
    let mut text = String::new();
    BufReader::new(&stream).read_line(&mut text)?;
    serde_json::from_str(&text).map_err(Error::other)
}

/// What each replica says of itself; an error where one is not reached.
pub fn status(replicas: &Replicas) -> Vec<(ReplicaId, Result<Status>)> {
    replicas.replica.iter().map(|r| (r.id, ask(r.address, &Line::Status))).collect()
}

/// Sets a value; returns once a quorum has it, or says that this can't be told.
pub fn put(replicas: &Replicas, name: &str, value: serde_json::Value) -> Result<()> {
    for replica in &replicas.replica {
        let leads = ask(replica.address, &Line::Status).is_ok_and(|s| s.leader == Some(replica.id));
        if leads {
            let answer = ask(replica.address, &Line::Put(Change::Set(name.to_string(), value.clone())));
            return match answer {
                Ok(status) if status.done => Ok(()),
                _ => Err(Error::other("not committed: no quorum answered, the value may or may not be kept")),
            };
        }
    }
    Err(Error::other("no leader is reached"))
}
