//! The replica's own storage: which of its entries count as persisted, and what it does while nothing can be
//! persisted.

use super::messages::MessageBody;
use super::{RaftNode, Role, StateMachine};
use crate::Micros;

impl<M: StateMachine> RaftNode<M> {
    /// Counts the own entries towards the quorum, now that they are on the disk.
    pub(super) fn on_persisted(&mut self) {
        self.persisted_index = self.log.last_index();
        if self.is_leader() {
            self.advance_commit_index();
        }
    }

    /// Steps down, and follows silently from now on.
    pub(super) fn on_storage_failed(&mut self, now: Micros) {
        self.storage_available = false;
        if self.is_leader() {
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    /// Takes part again. A replica with peers gives the present leader time for a heartbeat first.
    pub(super) fn on_storage_recovered(&mut self, now: Micros) {
        self.storage_available = true;
        self.persisted_index = self.log.last_index();
        if self.peers.is_empty() {
            self.next_deadline = now;
        } else {
            self.reset_election_timer(now);
        }
    }

    /// Whether a message counts. Without storage, only what a leader says does: a vote, or a term that was
    /// learnt from a candidate, would have to be persisted.
    pub(super) fn may_handle(&self, body: &MessageBody<M::Command, M>) -> bool {
        let from_leader = matches!(body, MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_));
        self.storage_available || from_leader
    }

    /// Without storage there is no election to start when the leader has fallen silent.
    pub(super) fn lose_leader(&mut self, now: Micros) {
        self.leader = None;
        self.reset_election_timer(now);
    }

    /// The only replica of a group is a quorum: all entries on its disk are committed.
    pub(super) fn commit_persisted_entries(&mut self) {
        self.commit_index = self.persisted_index;
        self.apply_committed();
        self.outputs.clear();
    }
}
