//! The service thread: it owns the raft node and the log file, and carries out the node's outputs.

use super::LOG_TARGET;
use super::config::StoreConfig;
use super::error::StoreError;
use super::log_file::LogFile;
use super::protocol::{Frame, PeerMessage, ServiceRequest, Status};
use super::raft::{
    Entry, HardState, Index, Input, Output, PersistedState, RaftNode, RaftStatus, ReplicaId, Snapshot, Term,
};
use super::state::{Change, State};
use super::transport;
use crate::clock::Clock;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;

/// The most queued requests, frames to a peer and proposals, each. Further proposals and frames are
/// dropped; Raft sends its messages again.
const QUEUE_CAPACITY: usize = 256;

/// The proxy's handle to its replica.
#[derive(Clone)]
pub struct Store {
    requests: Sender<ServiceRequest>,
}

impl Store {
    /// Starts a replica. `on_recovered` is called with the state once the persisted log is
    /// committed, if there was any.
    pub fn start(
        config: &StoreConfig,
        seed: u64,
        on_recovered: impl FnOnce(State) + Send + 'static,
    ) -> Result<Store, StoreError> {
        let clock = Clock::start();
        let (log_file, persisted) = open_log(config)?;
        config.check()?;
        let ids: Vec<_> = config.replicas.iter().map(|replica| replica.id).collect();
        let raft = RaftNode::new(config.id, &ids, persisted, seed, clock.now());
        let (requests, inbox) = bounded(QUEUE_CAPACITY);
        let mut service = Service {
            id: config.id,
            recovery: Recovery::of_log(raft.last_log_index(), on_recovered),
            raft,
            log_file,
            peers: start_transport(config, &requests)?,
            clock,
            proposals: VecDeque::new(),
            pending_puts: Vec::new(),
        };
        spawn("store", move || {
            if let Err(error) = service.run(&inbox) {
                // Nothing may be promised to others before it is on the disk: this replica stops sending.
                tracing::error!(target: LOG_TARGET, %error, "store service stopped");
            }
        })?;
        Ok(Store { requests })
    }

    /// Proposes a change. Never blocks; the change is committed once there is a leader.
    pub fn propose(&self, change: Change) {
        let _ = self.requests.try_send(ServiceRequest::Propose(change));
    }
}

fn open_log(config: &StoreConfig) -> Result<(Option<LogFile>, PersistedState<Change, State>), StoreError> {
    let Some(directory) = &config.data_directory else {
        let empty = PersistedState {
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
        };
        return Ok((None, empty));
    };
    let (log_file, persisted) = LogFile::open(directory)?;
    Ok((Some(log_file), persisted))
}

/// Listens at this replica's address, and returns the channels to the other replicas.
fn start_transport(
    config: &StoreConfig,
    requests: &Sender<ServiceRequest>,
) -> Result<HashMap<ReplicaId, Sender<Frame>>, StoreError> {
    let mut peers = HashMap::new();
    for replica in &config.replicas {
        let address = replica.address;
        if replica.id == config.id {
            transport::listen(TcpListener::bind(address)?, requests.clone())?;
        } else {
            let (sender, frames) = bounded(QUEUE_CAPACITY);
            spawn("store-peer", move || transport::send_frames(address, &frames))?;
            peers.insert(replica.id, sender);
        }
    }
    Ok(peers)
}

/// The callback for the recovered state, and the condition for calling it.
struct Recovery {
    /// The last entry that was in the log at the start.
    last_log_index: Index,
    on_recovered: Box<dyn FnOnce(State) + Send>,
}

impl Recovery {
    /// `None` for an empty log: there is nothing to recover.
    fn of_log(last_log_index: Index, on_recovered: impl FnOnce(State) + Send + 'static) -> Option<Self> {
        let recovery = Recovery { last_log_index, on_recovered: Box::new(on_recovered) };
        (last_log_index > 0).then_some(recovery)
    }
}

/// A put that waits for the commit of its entry.
struct PendingPut {
    index: Index,
    /// The entry is that of the put only if it has this term.
    term: Term,
    reply: Sender<Status>,
}

struct Service {
    id: ReplicaId,
    raft: RaftNode<State>,
    /// `None` for a replica in memory.
    log_file: Option<LogFile>,
    peers: HashMap<ReplicaId, Sender<Frame>>,
    clock: Clock,
    /// The local proxy's changes that wait for a leader.
    proposals: VecDeque<Change>,
    pending_puts: Vec<PendingPut>,
    /// `None` once the state is recovered.
    recovery: Option<Recovery>,
}

impl Service {
    /// Serves requests until all their senders are dropped.
    fn run(&mut self, inbox: &Receiver<ServiceRequest>) -> Result<(), StoreError> {
        loop {
            match inbox.recv_deadline(self.clock.instant(self.raft.next_deadline())) {
                Ok(request) => self.handle(request)?,
                Err(RecvTimeoutError::Timeout) => self.step(Input::Tick)?,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.propose_waiting()?;
        }
    }

    fn handle(&mut self, request: ServiceRequest) -> Result<(), StoreError> {
        match request {
            ServiceRequest::PeerMessage(message) => self.step(Input::Message(message))?,
            ServiceRequest::Propose(change) => {
                if self.proposals.len() < QUEUE_CAPACITY {
                    self.proposals.push_back(change);
                }
            }
            ServiceRequest::ProposeForwarded(change) => self.step(Input::Propose(change))?,
            ServiceRequest::Put { change, reply } => self.put(change, reply)?,
            ServiceRequest::Status { reply } => self.reply(&reply, false),
        }
        Ok(())
    }

    fn put(&mut self, change: Change, reply: Sender<Status>) -> Result<(), StoreError> {
        if !self.raft.is_leader() {
            self.reply(&reply, false);
            return Ok(());
        }
        let index = self.raft.last_log_index() + 1;
        let term = self.raft.status().term;
        self.pending_puts.push(PendingPut { index, term, reply });
        self.step(Input::Propose(change))
    }

    /// Commits the local proxy's changes, or forwards them to the leader.
    fn propose_waiting(&mut self) -> Result<(), StoreError> {
        while self.raft.is_leader()
            && let Some(change) = self.proposals.pop_front()
        {
            self.step(Input::Propose(change))?;
        }
        let leader = self.raft.status().leader;
        if let Some(leader) = leader.and_then(|leader| self.peers.get(&leader)) {
            for change in self.proposals.drain(..) {
                let _ = leader.try_send(Frame::Forward(change));
            }
        }
        Ok(())
    }

    /// Passes an input to the raft node, and carries out all outputs.
    fn step(&mut self, input: Input<Change, State>) -> Result<(), StoreError> {
        let was_leader = self.raft.is_leader();
        for output in self.raft.step(self.clock.now(), input) {
            match output {
                Output::Persist { hard_state, entries } => self.persist(hard_state, &entries)?,
                Output::Compact { snapshot, entries } => self.compact(snapshot, entries)?,
                Output::Send { to, message } => self.send(to, message),
                Output::Applied { index, term } => self.resolve_puts(index, term),
            }
        }
        self.notify_if_recovered();
        if was_leader != self.raft.is_leader() {
            let RaftStatus { term, leader, .. } = self.raft.status();
            tracing::info!(target: LOG_TARGET, term, ?leader, "raft leader changed");
        }
        Ok(())
    }

    fn persist(&mut self, hard_state: HardState, entries: &[Entry<Change>]) -> Result<(), StoreError> {
        self.log_file.as_mut().map_or(Ok(()), |log_file| log_file.persist(hard_state, entries))
    }

    fn compact(&mut self, snapshot: Snapshot<State>, entries: Vec<Entry<Change>>) -> Result<(), StoreError> {
        self.log_file.as_mut().map_or(Ok(()), |log_file| log_file.compact(snapshot, entries))
    }

    fn send(&self, to: ReplicaId, message: PeerMessage) {
        if let Some(peer) = self.peers.get(&to) {
            let _ = peer.try_send(Frame::Peer(message));
        }
    }

    /// Answers the puts whose log index is committed now.
    fn resolve_puts(&mut self, index: Index, term: Term) {
        let resolved: Vec<_> = self.pending_puts.extract_if(.., |put| put.index == index).collect();
        for put in resolved {
            self.reply(&put.reply, put.term == term);
        }
    }

    fn notify_if_recovered(&mut self) {
        let commit_index = self.raft.status().commit_index;
        if let Some(recovery) = self.recovery.take_if(|recovery| recovery.last_log_index <= commit_index) {
            (recovery.on_recovered)(self.raft.state_machine().clone());
        }
    }

    /// Answers the command line, which may have disconnected.
    fn reply(&self, reply: &Sender<Status>, put_committed: bool) {
        let RaftStatus { term, leader, commit_index } = self.raft.status();
        let state = self.raft.state_machine().clone();
        let status = Status { id: self.id, term, leader, commit_index, put_committed, state };
        let _ = reply.try_send(status);
    }
}
