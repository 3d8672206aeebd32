//! Raft consensus: leader election, log replication, and commit by a quorum.
//!
//! [`RaftNode::step`] is deterministic: its result depends only on the node's state, the time and the input.
//! The caller carries out the outputs of a step in order, and waits until the contents of an
//! [`Output::Persist`] or [`Output::Compact`] are on the disk before it continues with the next output. After
//! the outputs of a step with one of these two, the caller reports [`Input::Persisted`].
//!
//! If the caller's storage fails, it drops the remaining outputs of the step and reports
//! [`Input::StorageFailed`]. From then until [`Input::StorageRecovered`], the replica still applies the
//! leader's committed entries, but sends no messages.

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

/// The shortest election timeout. A follower that receives no heartbeat starts an election after a random
/// time between this and twice this.
const ELECTION_TIMEOUT: Micros = 300_000;
/// How many times the election timeout may double. Each election without a winner doubles the next timeout.
/// A vote takes two disk syncs in sequence, the candidate's and the voter's. On disks whose syncs take longer
/// than the timeout, without this backoff the next election would start before the votes arrive, and no
/// candidate would win.
const MAX_ELECTION_BACKOFF: u32 = 3;
/// The heartbeat interval of a leader.
const HEARTBEAT_INTERVAL: Micros = 75_000;
/// How many times the resend delay may double, up to 2.4 s. This is the delay before a leader sends entries
/// again to a follower that does not reply.
const MAX_RESEND_BACKOFF: u32 = 5;
/// The most entries in one AppendEntries message.
const MAX_ENTRIES_PER_MESSAGE: usize = 128;
/// The log is compacted once it has more applied entries than this after its snapshot.
const COMPACT_AFTER_ENTRIES: u64 = 512;

/// An input of [`RaftNode::step`].
pub enum Input<C, S> {
    /// The time has advanced. Due at [`RaftNode::next_deadline`].
    Tick,
    /// A message from another replica.
    Message(Message<C, S>),
    /// A command to append to the log and commit. Ignored unless this replica is the leader.
    Propose(C),
    /// The contents of the last [`Output::Persist`] or [`Output::Compact`] are on the disk.
    Persisted,
    /// An output could not be persisted: the contents of the disk are older than the node's state.
    StorageFailed,
    /// All of [`RaftNode::persistent_state`] is on the disk again.
    StorageRecovered,
}

/// An output that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<C, S> {
    /// Persist the hard state and the entries. The entries replace all persisted ones from the index of the
    /// first new one on.
    Persist { hard_state: HardState, entries: Vec<Entry<C>> },
    /// Persist the contents in place of everything that was persisted before.
    Compact { contents: PersistedState<C, S> },
    /// Send a message to a replica.
    Send { to: ReplicaId, message: Message<C, S> },
    /// An entry was committed and applied to the state machine.
    Applied { index: Index, term: Term },
}

/// A deterministic state machine, which the committed commands are applied to.
pub trait StateMachine: Clone + Default {
    /// A command that changes the state.
    type Command: Clone;
    /// Applies a command. The result must be the same at every replica.
    fn apply(&mut self, command: Self::Command);
}

/// A replica's view of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftStatus {
    /// The current term.
    pub term: Term,
    /// The leader of the current term, if this replica knows it.
    pub leader: Option<ReplicaId>,
    /// The index of the last entry that this replica knows to be committed.
    pub commit_index: Index,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Candidate,
    Leader,
}

/// What a replica knows of another replica of its group.
struct Peer {
    /// On a leader: the index of the next entry to send to the peer.
    next_index: Index,
    /// On a leader: the index of the last entry known to be replicated on the peer.
    match_index: Index,
    /// On a leader: how many times entries or a snapshot were sent since the peer's last reply.
    unanswered_sends: u32,
    /// On a leader: when entries are sent again if the peer has not replied.
    resend_at: Micros,
    /// On a candidate: whether the peer granted its vote in the current term.
    vote_granted: bool,
}

/// The Raft state of one replica of the group.
pub struct RaftNode<M: StateMachine> {
    id: ReplicaId,
    hard_state: HardState,
    role: Role,
    leader: Option<ReplicaId>,
    leader_heard_at: Micros,
    /// The number of elections that this replica has started since it last knew a leader.
    elections_without_leader: u32,
    peers: BTreeMap<ReplicaId, Peer>,
    log: Log<M::Command, M>,
    /// The state after all entries up to `last_applied`.
    state_machine: M,
    commit_index: Index,
    last_applied: Index,
    /// When the next election (of a follower or candidate) or heartbeat (of a leader) is due.
    next_deadline: Micros,
    random: RandomSource,
    outputs: Vec<Output<M::Command, M>>,
    /// The current step must persist the hard state and the entries from this index on, before its other
    /// outputs. `None` if neither has changed.
    unpersisted_from: Option<Index>,
    /// The index of the last entry of this replica's log that is on the disk.
    persisted_index: Index,
    /// Whether this replica can persist; while it can't, it neither votes nor acknowledges entries.
    storage_available: bool,
}

impl<M: StateMachine> RaftNode<M> {
    /// Creates a follower that resumes from its persisted state. `replicas` may include its own id.
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
            // Without the id, replicas with the same seed would draw the same election timeouts, and their
            // elections would collide again and again.
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

    /// Returns the state machine after the last applied entry.
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// Returns the term, the leader and the commit index.
    pub fn status(&self) -> RaftStatus {
        RaftStatus { term: self.hard_state.term, leader: self.leader, commit_index: self.commit_index }
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the index of the last entry in the log, committed or not.
    pub fn last_log_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns when [`Input::Tick`] is due next.
    pub fn next_deadline(&self) -> Micros {
        self.next_deadline
    }

    /// Returns everything that must be on the disk for the messages that this replica has sent, and for those
    /// that it may send next.
    pub fn persistent_state(&self) -> PersistedState<M::Command, M> {
        PersistedState {
            hard_state: self.hard_state,
            snapshot: self.log.snapshot().clone(),
            entries: self.log.entries_from(self.log.snapshot().last_included_index + 1).to_vec(),
        }
    }

    /// Handles one input, and returns the outputs to carry out in their order.
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
            self.forget_leader(now);
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

    /// Makes this step persist the hard state and the entries from `index` on.
    fn mark_unpersisted(&mut self, index: Index) {
        let earliest = self.unpersisted_from.map_or(index, |earlier| earlier.min(index));
        self.unpersisted_from = Some(earliest);
    }

    /// Makes this step persist the hard state.
    fn mark_hard_state_unpersisted(&mut self) {
        self.mark_unpersisted(self.log.last_index() + 1);
    }

    /// Inserts the [`Output::Persist`] of this step, if any, before the messages that rely on it.
    fn persist_before_other_outputs(&mut self) {
        if let Some(index) = self.unpersisted_from.take() {
            let entries = self.log.entries_from(index).to_vec();
            self.outputs.insert(0, Output::Persist { hard_state: self.hard_state, entries });
        }
    }

    /// Replaces the applied entries by a snapshot once there are more than [`COMPACT_AFTER_ENTRIES`].
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

    /// Returns whether entries or a snapshot may be sent to the peer now, and if so, counts the send. A peer
    /// that does not reply may have a failed disk: the delay before the next send to it doubles each time.
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
