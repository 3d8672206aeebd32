//! The service thread: it owns the raft node and the log file, and carries out the node's outputs.

use super::LOG_TARGET;
use super::config::StoreConfig;
use super::error::StoreError;
use super::file_operations::{FileOperations, SystemFiles};
use super::log_file::{LogFile, OpenedLog};
use super::persistent_log::{PersistFailed, PersistentLog};
use super::proposals::Proposals;
use super::protocol::{Frame, PeerMessage, ServiceRequest, Status};
use super::raft::{
    HardState, Index, Input, Output, PersistedState, RaftNode, RaftStatus, ReplicaId, Snapshot, Term,
};
use super::state::{Change, State};
use super::transport;
use crate::Micros;
use crate::clock::Clock;
use crate::sockets::bind;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::collections::HashMap;

/// The capacity of each queue: of requests, of frames to a peer and of proposals. When a queue is full, the
/// proxy's requests and frames to peers are dropped; Raft sends its messages again.
const QUEUE_CAPACITY: usize = 256;

/// The proxy's handle to its replica.
#[derive(Clone)]
pub struct Store {
    requests: Sender<ServiceRequest>,
}

impl Store {
    /// Starts a replica. Calls `on_recovered` with the state once all entries of the persisted log are
    /// committed; never if that log is empty.
    pub fn start(
        config: &StoreConfig,
        seed: u64,
        on_recovered: impl FnOnce(State) + Send + 'static,
    ) -> Result<Store, StoreError> {
        config.check()?;
        // Binds before the log is opened: a previous process that still holds the address may write to the
        // log until it ends.
        let listener = config.own_address().map(bind).transpose()?;
        let mut service = Service::new(config, Box::new(SystemFiles), seed, on_recovered)?;
        let (requests, inbox) = bounded(QUEUE_CAPACITY);
        if let Some(listener) = listener {
            transport::listen(listener, requests.clone())?;
        }
        service.peers = start_senders(config)?;
        spawn("store", move || service.run(&inbox))?;
        Ok(Store { requests })
    }

    /// Proposes a change, which is committed once there is a leader. Never blocks: if the queue is full, the
    /// change is dropped.
    pub fn propose(&self, change: Change) {
        let _ = self.requests.try_send(ServiceRequest::Propose(change));
    }
}

/// Opens the log of a replica, and returns it with its contents.
fn open_log(
    config: &StoreConfig,
    files: Box<dyn FileOperations>,
    clock: Clock,
    seed: u64,
) -> Result<(PersistentLog, PersistedState<Change, State>), StoreError> {
    let Some(directory) = &config.data_directory else {
        let empty = PersistedState {
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
        };
        return Ok((PersistentLog::new(None, clock, seed), empty));
    };
    let OpenedLog { log_file, persisted, failure } = LogFile::open(files, directory)?;
    let mut log = PersistentLog::new(Some(log_file), clock, seed);
    if let Some(error) = failure {
        log.fail(&error.into());
    }
    Ok((log, persisted))
}

/// Starts the threads that send frames to the other replicas, and returns the channels to them.
fn start_senders(config: &StoreConfig) -> Result<HashMap<ReplicaId, Sender<Frame>>, StoreError> {
    let mut peers = HashMap::new();
    for replica in config.replicas.iter().filter(|replica| replica.id != config.id) {
        let address = replica.address;
        let (sender, frames) = bounded(QUEUE_CAPACITY);
        spawn("store-peer", move || transport::send_frames(address, &frames))?;
        peers.insert(replica.id, sender);
    }
    Ok(peers)
}

/// The callback for the recovered state, and the condition for calling it.
struct Recovery {
    /// The index of the last entry that was in the log at the start. The state is recovered when that entry
    /// is committed.
    last_log_index: Index,
    on_recovered: Box<dyn FnOnce(State) + Send>,
}

impl Recovery {
    /// Returns `None` for an empty log, which has nothing to recover.
    fn of_log(last_log_index: Index, on_recovered: impl FnOnce(State) + Send + 'static) -> Option<Self> {
        let recovery = Recovery { last_log_index, on_recovered: Box::new(on_recovered) };
        (last_log_index > 0).then_some(recovery)
    }
}

/// A put whose answer waits for the commit of its entry.
struct PendingPut {
    index: Index,
    /// The term of the put's entry. A committed entry of another term at `index` has replaced that entry.
    term: Term,
    reply: Sender<Status>,
}

struct Service {
    id: ReplicaId,
    raft: RaftNode<State>,
    log: PersistentLog,
    peers: HashMap<ReplicaId, Sender<Frame>>,
    clock: Clock,
    /// The changes of the local proxy that wait for a leader.
    proposals: Proposals,
    pending_puts: Vec<PendingPut>,
    /// `None` when the state is recovered, or if there is none to recover.
    recovery: Option<Recovery>,
}

impl Service {
    /// Creates a replica that has no connections to its peers yet.
    fn new(
        config: &StoreConfig,
        files: Box<dyn FileOperations>,
        seed: u64,
        on_recovered: impl FnOnce(State) + Send + 'static,
    ) -> Result<Service, StoreError> {
        let clock = Clock::start();
        let (log, persisted) = open_log(config, files, clock, seed)?;
        let ids: Vec<_> = config.replicas.iter().map(|replica| replica.id).collect();
        let raft = RaftNode::new(config.id, &ids, persisted, seed, clock.now());
        let mut service = Service {
            id: config.id,
            recovery: Recovery::of_log(raft.last_log_index(), on_recovered),
            raft,
            log,
            peers: HashMap::new(),
            clock,
            proposals: Proposals::new(QUEUE_CAPACITY),
            pending_puts: Vec::new(),
        };
        if service.log.failure().is_some() {
            service.step(Input::StorageFailed);
        }
        service.notify_if_recovered();
        Ok(service)
    }

    /// Serves requests until all their senders are dropped.
    fn run(&mut self, inbox: &Receiver<ServiceRequest>) {
        loop {
            match inbox.recv_deadline(self.clock.instant(self.next_deadline())) {
                Ok(request) => self.handle(request),
                Err(RecvTimeoutError::Timeout) => self.step(Input::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.replace_failed_log_if_due();
            self.propose_waiting_changes();
        }
    }

    fn next_deadline(&self) -> Micros {
        let raft = self.raft.next_deadline();
        self.log.retry_at().map_or(raft, |retry_at| raft.min(retry_at))
    }

    /// Replaces a failed log by the state in memory when the next attempt is due. On success, this replica
    /// votes and acknowledges entries again.
    fn replace_failed_log_if_due(&mut self) {
        let due = self.log.retry_at().is_some_and(|retry_at| retry_at <= self.clock.now());
        if due && self.log.replace(self.raft.persistent_state()).is_ok() {
            self.step(Input::StorageRecovered);
        }
    }

    fn handle(&mut self, request: ServiceRequest) {
        match request {
            ServiceRequest::PeerMessage(message) => self.step(Input::Message(message)),
            ServiceRequest::Propose(change) => self.proposals.push(change),
            ServiceRequest::ProposeForwarded(change) => self.step(Input::Propose(change)),
            ServiceRequest::Put { change, reply } => self.put(change, reply),
            ServiceRequest::Status { reply } => self.reply(&reply, false),
        }
    }

    fn put(&mut self, change: Change, reply: Sender<Status>) {
        if !self.raft.is_leader() {
            self.reply(&reply, false);
            return;
        }
        let index = self.raft.last_log_index() + 1;
        let term = self.raft.status().term;
        self.pending_puts.push(PendingPut { index, term, reply });
        self.step(Input::Propose(change));
    }

    /// Proposes the local proxy's waiting changes as leader, or forwards them to the leader if it is known.
    fn propose_waiting_changes(&mut self) {
        while self.raft.is_leader()
            && let Some(change) = self.proposals.pop()
        {
            self.step(Input::Propose(change));
        }
        let leader = self.raft.status().leader;
        if let Some(leader) = leader.and_then(|leader| self.peers.get(&leader)) {
            while let Some(change) = self.proposals.pop() {
                let _ = leader.try_send(Frame::Forward(change));
            }
        }
    }

    /// Passes an input to the raft node, carries out its outputs, and passes on the inputs that result.
    fn step(&mut self, input: Input<Change, State>) {
        let was_leader = self.raft.is_leader();
        let mut next = Some(input);
        while let Some(input) = next {
            let failed = matches!(input, Input::StorageFailed);
            let outputs = self.raft.step(self.clock.now(), input);
            if failed {
                self.reject_pending_puts();
            }
            next = self.carry_out(outputs);
        }
        self.notify_if_recovered();
        if was_leader != self.raft.is_leader() {
            let RaftStatus { term, leader, .. } = self.raft.status();
            tracing::info!(target: LOG_TARGET, term, ?leader, "raft leader changed");
        }
    }

    /// Carries out outputs in their order, and returns the input that results, if any. If the log fails,
    /// drops the remaining outputs: a vote or an acknowledgement must not be sent before it is on the disk.
    fn carry_out(&mut self, outputs: Vec<Output<Change, State>>) -> Option<Input<Change, State>> {
        let mut next = None;
        for output in outputs {
            match self.carry_out_one(output) {
                Ok(persisted) => next = next.or(persisted),
                Err(PersistFailed) => return Some(Input::StorageFailed),
            }
        }
        next
    }

    fn carry_out_one(
        &mut self,
        output: Output<Change, State>,
    ) -> Result<Option<Input<Change, State>>, PersistFailed> {
        match output {
            Output::Persist { hard_state, entries } => self.log.append(hard_state, &entries)?,
            Output::Compact { contents } => self.log.replace(contents)?,
            Output::Send { to, message } => {
                self.send(to, message);
                return Ok(None);
            }
            Output::Applied { index, term } => {
                self.resolve_puts(index, term);
                return Ok(None);
            }
        }
        Ok(Some(Input::Persisted))
    }

    fn send(&self, to: ReplicaId, message: PeerMessage) {
        if let Some(peer) = self.peers.get(&to) {
            let _ = peer.try_send(Frame::Peer(message));
        }
    }

    /// Answers the puts whose entry was appended at `index`, where an entry of this term is now committed. A
    /// put is committed only if its entry has the same term.
    fn resolve_puts(&mut self, index: Index, term: Term) {
        let resolved: Vec<_> = self.pending_puts.extract_if(.., |put| put.index == index).collect();
        for put in resolved {
            self.reply(&put.reply, put.term == term);
        }
    }

    /// Answers all pending puts as not committed. Their entries may or may not be kept.
    fn reject_pending_puts(&mut self) {
        for put in std::mem::take(&mut self.pending_puts) {
            self.reply(&put.reply, false);
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
        let log_error = self.log.failure().map(String::from);
        let status = Status { id: self.id, term, leader, commit_index, put_committed, log_error, state };
        let _ = reply.try_send(status);
    }
}

#[cfg(test)]
mod tests;
