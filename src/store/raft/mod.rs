//! Raft consensus: leader election, log replication, and commit by a quorum.
//!
//! [`RaftNode::step`] is a pure function of the node's state, the time and an input. The caller carries the
//! outputs out in order, and persists what [`Output::Persist`] and [`Output::Compact`] name before it
//! continues with the next. After a step with one of these two it reports [`Input::Persisted`]. If its
//! storage fails, it drops the rest of the outputs and reports [`Input::StorageFailed`]: until
//! [`Input::StorageRecovered`], the replica follows silently.

mod election;
mod log;
mod messages;
mod replication;
mod storage;

pub use messages::{Entry, HardState, Index, Message, PersistedState, ReplicaId, Snapshot, Term};

use crate::Micros;
use crate::random::RandomSource;
use log::Log;
use messages::MessageBody;
use std::collections::BTreeMap;

/// The election timeout: a follower without a heartbeat for this long, up to twice that, starts an election.
const ELECTION_TIMEOUT: Micros = 300_000;
/// Each election without a result doubles the next election timeout, up to this many times. A vote takes two
/// syncs one after the other, of the candidate and of the voter: on disks that are slower than the timeout,
/// the next election must not start before it is there.
const MAX_ELECTION_BACKOFF: u32 = 3;
/// The heartbeat interval of a leader.
const HEARTBEAT_INTERVAL: Micros = 75_000;
/// The delay before entries are sent to a silent follower again doubles up to this many times, to 2.4 s.
const MAX_RESEND_BACKOFF: u32 = 5;
/// The most entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 128;
/// The log is compacted once it has more applied entries than this.
const COMPACT_AFTER_ENTRIES: u64 = 512;

/// An input of [`RaftNode::step`].
pub enum Input<C, S> {
    /// Time has passed.
    Tick,
    /// A message from another replica.
    Message(Message<C, S>),
    /// A command to commit; dropped where this replica is not the leader.
    Propose(C),
    /// What the last [`Output::Persist`] or [`Output::Compact`] named is on the disk.
    Persisted,
    /// An output could not be persisted: what the disk holds is older than this node's state.
    StorageFailed,
    /// The disk holds all of [`RaftNode::persistent_state`] again.
    StorageRecovered,
}

/// An output that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<C, S> {
    /// Persist term and vote, and entries that replace all from the first one's index on.
    Persist { hard_state: HardState, entries: Vec<Entry<C>> },
    /// Persist this in place of all that was persisted before.
    Compact { contents: PersistedState<C, S> },
    /// Send a message to a replica.
    Send { to: ReplicaId, message: Message<C, S> },
    /// An entry was committed and applied to the state machine.
    Applied { index: Index, term: Term },
}

/// A deterministic state machine.
pub trait StateMachine: Clone + Default {
    /// A command that changes the state.
    type Command: Clone;
    /// Applies a command, with the same result at every replica.
    fn apply(&mut self, command: Self::Command);
}

/// A replica's view of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftStatus {
    /// The current term.
    pub term: Term,
    /// The leader, as far as known.
    pub leader: Option<ReplicaId>,
    /// The last entry that is known to be committed.
    pub commit_index: Index,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Candidate,
    Leader,
}

/// This replica's view of another one.
struct Peer {
    /// Leader: the next entry to send.
    next_index: Index,
    /// Leader: the last entry known to be replicated there.
    match_index: Index,
    /// Leader: how many times entries were sent since its last answer.
    unanswered_sends: u32,
    /// Leader: when entries are sent again without an answer.
    resend_at: Micros,
    /// Candidate: whether it voted for this replica in the current term.
    vote_granted: bool,
}

/// One replica of the group.
pub struct RaftNode<M: StateMachine> {
    id: ReplicaId,
    hard_state: HardState,
    role: Role,
    leader: Option<ReplicaId>,
    leader_heard_at: Micros,
    /// The elections that this replica has started since it last knew a leader.
    elections_without_leader: u32,
    peers: BTreeMap<ReplicaId, Peer>,
    log: Log<M::Command, M>,
    /// The state after all entries up to `last_applied`.
    state_machine: M,
    commit_index: Index,
    last_applied: Index,
    /// When the next election or heartbeat is due.
    next_deadline: Micros,
    random: RandomSource,
    outputs: Vec<Output<M::Command, M>>,
    /// Hard state and the entries from this index on are to be persisted ahead of all other outputs.
    unpersisted_from: Option<Index>,
    /// The last own entry that is on the disk.
    persisted_index: Index,
    /// Whether this replica can persist; while it can't, it neither votes nor acknowledges entries.
    storage_available: bool,
}

impl<M: StateMachine> RaftNode<M> {
    /// A replica that resumes from its persisted state. `replicas` may include its own id.
    pub fn new(
        id: ReplicaId,
        replicas: &[ReplicaId],
        persisted: PersistedState<M::Command, M>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let PersistedState { hard_state, snapshot, entries } = persisted;
        let log = Log::new(snapshot, entries);
        let others = replicas.iter().filter(|replica| **replica != id);
        let mut node = RaftNode {
            id,
            hard_state,
            role: Role::Follower,
            leader: None,
            leader_heard_at: 0,
            elections_without_leader: 0,
            peers: others.map(|peer| (*peer, Peer::new(1))).collect(),
            state_machine: log.snapshot().state.clone(),
            commit_index: log.snapshot().last_included_index,
            last_applied: log.snapshot().last_included_index,
            persisted_index: log.last_index(),
            log,
            next_deadline: now,
            // Replicas with the same seed must not start their elections at the same time forever.
            random: RandomSource::new(seed ^ u64::from(id) << u32::BITS),
            outputs: Vec::new(),
            unpersisted_from: None,
            storage_available: true,
        };
        if node.peers.is_empty() {
            node.commit_persisted_entries();
        } else {
            node.reset_election_timer(now);
        }
        node
    }

    /// The state machine after all entries applied here.
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// Term, leader and commit index.
    pub fn status(&self) -> RaftStatus {
        RaftStatus { term: self.hard_state.term, leader: self.leader, commit_index: self.commit_index }
    }

    /// Whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The last entry in the log, committed or not.
    pub fn last_log_index(&self) -> Index {
        self.log.last_index()
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_deadline(&self) -> Micros {
        self.next_deadline
    }

    /// All that must be on the disk for what this replica has sent so far, and for what it may send next.
    pub fn persistent_state(&self) -> PersistedState<M::Command, M> {
        PersistedState {
            hard_state: self.hard_state,
            snapshot: self.log.snapshot().clone(),
            entries: self.log.entries_from(self.log.snapshot().last_included_index + 1).to_vec(),
        }
    }

    /// Handles one input.
    pub fn step(&mut self, now: Micros, input: Input<M::Command, M>) -> Vec<Output<M::Command, M>> {
        match input {
            Input::Tick => self.on_tick(now),
            Input::Propose(command) => self.on_propose(now, command),
            Input::Message(message) => self.on_message(now, message),
            Input::Persisted => self.on_persisted(),
            Input::StorageFailed => self.on_storage_failed(now),
            Input::StorageRecovered => self.on_storage_recovered(now),
        }
        self.persist_before_other_outputs();
        self.compact_log();
        let mut outputs = std::mem::take(&mut self.outputs);
        if !self.storage_available {
            outputs.retain(|output| matches!(output, Output::Applied { .. }));
        }
        outputs
    }

    fn on_tick(&mut self, now: Micros) {
        if now < self.next_deadline {
            return;
        }
        if self.is_leader() {
            self.broadcast_append_entries(now);
        } else if self.storage_available {
            self.start_election(now);
        } else {
            self.lose_leader(now);
        }
    }

    fn on_propose(&mut self, now: Micros, command: M::Command) {
        if self.is_leader() {
            self.append_entry(Some(command));
            self.broadcast_append_entries(now);
        }
    }

    fn on_message(&mut self, now: Micros, message: Message<M::Command, M>) {
        let Message { from, term, body } = message;
        if !self.peers.contains_key(&from) || !self.may_handle(&body) {
            return;
        }
        if matches!(body, MessageBody::RequestVote(_)) && self.follows_other_leader(now, from) {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        let stale = term < self.hard_state.term;
        match body {
            MessageBody::RequestVote(request) => self.on_request_vote(now, from, stale, request),
            MessageBody::RequestVoteReply(reply) if !stale => self.on_request_vote_reply(now, from, reply),
            MessageBody::AppendEntriesReply(reply) if !stale => {
                self.on_append_entries_reply(now, from, reply)
            }
            MessageBody::RequestVoteReply(_) | MessageBody::AppendEntriesReply(_) => {}
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_) if stale => {
                self.reply_to_leader(from, false, self.log.last_index());
            }
            MessageBody::AppendEntries(request) => self.on_append_entries(now, from, request),
            MessageBody::InstallSnapshot(request) => self.on_install_snapshot(now, from, request),
        }
    }

    fn send(&mut self, to: ReplicaId, body: MessageBody<M::Command, M>) {
        let message = Message { from: self.id, term: self.hard_state.term, body };
        self.outputs.push(Output::Send { to, message });
    }

    fn peer_ids(&self) -> Vec<ReplicaId> {
        self.peers.keys().copied().collect()
    }

    fn quorum(&self) -> usize {
        self.peers.len().div_ceil(2) + 1
    }

    /// Hard state and the entries from `index` on have to be persisted in this step.
    fn mark_unpersisted(&mut self, index: Index) {
        let earliest = self.unpersisted_from.map_or(index, |earlier| earlier.min(index));
        self.unpersisted_from = Some(earliest);
    }

    /// Only hard state has to be persisted in this step.
    fn mark_hard_state_unpersisted(&mut self) {
        self.mark_unpersisted(self.log.last_index() + 1);
    }

    /// Puts what has to be on the disk ahead of the messages that rely on it.
    fn persist_before_other_outputs(&mut self) {
        if let Some(index) = self.unpersisted_from.take() {
            let entries = self.log.entries_from(index).to_vec();
            self.outputs.insert(0, Output::Persist { hard_state: self.hard_state, entries });
        }
    }

    /// Replaces the applied entries by a snapshot once there are many.
    fn compact_log(&mut self) {
        let snapshot_index = self.log.snapshot().last_included_index;
        if self.last_applied.saturating_sub(snapshot_index) <= COMPACT_AFTER_ENTRIES {
            return;
        }
        let snapshot_term = self.log.snapshot().last_included_term;
        let snapshot = Snapshot {
            last_included_index: self.last_applied,
            last_included_term: self.log.term_at(self.last_applied).unwrap_or(snapshot_term),
            state: self.state_machine.clone(),
        };
        self.log.compact(snapshot);
        self.outputs.push(Output::Compact { contents: self.persistent_state() });
    }
}

impl Peer {
    fn new(next_index: Index) -> Self {
        Peer { next_index, match_index: 0, unanswered_sends: 0, resend_at: 0, vote_granted: false }
    }

    /// Whether entries may be sent now. To a peer that doesn't answer, which may be silent since its disk
    /// fails, they are sent again after a delay that doubles each time.
    fn may_send_entries(&mut self, now: Micros) -> bool {
        if self.unanswered_sends > 0 && now < self.resend_at {
            return false;
        }
        self.resend_at = now + (HEARTBEAT_INTERVAL << self.unanswered_sends.min(MAX_RESEND_BACKOFF));
        self.unanswered_sends = self.unanswered_sends.saturating_add(1);
        true
    }
}

#[cfg(test)]
mod slow_disk_tests;
#[cfg(test)]
mod tests;
