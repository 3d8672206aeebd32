//! The replica's own storage: which entries of its log count as persisted, and how the replica behaves while
//! nothing can be persisted.

use super::messages::MessageBody;
use super::{RaftNode, Role, StateMachine};
use crate::Micros;

impl<M: StateMachine> RaftNode<M> {
    /// Records that all entries of this replica's log are on the disk. A leader then counts them towards the
    /// quorum.
    pub(super) fn on_persisted(&mut self) {
        self.persisted_index = self.log.last_index();
        if self.is_leader() {
            self.advance_commit_index();
        }
    }

    /// Steps down. Until the storage recovers, this replica follows a leader without sending messages.
    pub(super) fn on_storage_failed(&mut self, now: Micros) {
        self.storage_available = false;
        if self.is_leader() {
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    /// Votes and acknowledges entries again. A replica with peers waits an election timeout for a leader's
    /// heartbeat before it starts an election; a single replica starts one without delay.
    pub(super) fn on_storage_recovered(&mut self, now: Micros) {
        self.storage_available = true;
        self.persisted_index = self.log.last_index();
        if self.peers.is_empty() {
            self.next_deadline = now;
        } else {
            self.reset_election_timer(now);
        }
    }

    /// Returns whether a message may be handled. Without storage, only a leader's messages are handled: a
    /// vote, or a term that was learnt from a candidate, would have to be persisted.
    pub(super) fn may_handle(&self, body: &MessageBody<M::Command, M>) -> bool {
        let from_leader = matches!(body, MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_));
        self.storage_available || from_leader
    }

    /// Forgets a leader that has sent no heartbeat within the election timeout. Without storage, this replica
    /// starts no election.
    pub(super) fn forget_leader(&mut self, now: Micros) {
        self.leader = None;
        self.reset_election_timer(now);
    }

    /// Commits and applies all persisted entries of a group's only replica, which is a quorum by itself.
    pub(super) fn commit_persisted_entries(&mut self) {
        self.commit_index = self.persisted_index;
        self.apply_committed();
        self.outputs.clear();
    }
}
