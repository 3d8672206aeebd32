//! Log replication: a leader sends entries, followers append them, and a quorum commits them.

use super::messages::{
    AppendEntries, AppendEntriesReply, Entry, Index, InstallSnapshot, MessageBody, ReplicaId,
};
use super::{HEARTBEAT_INTERVAL, MAX_ENTRIES_PER_MESSAGE, Output, RaftNode, StateMachine};
use crate::Micros;

impl<M: StateMachine> RaftNode<M> {
    /// Appends an entry of the current term to the leader's log.
    pub(super) fn append_entry(&mut self, command: Option<M::Command>) {
        let index = self.log.append(self.hard_state.term, command);
        self.mark_unpersisted(index);
    }

    /// Sends every follower the entries that it lacks, or a heartbeat.
    pub(super) fn broadcast_append_entries(&mut self, now: Micros) {
        self.next_deadline = now + HEARTBEAT_INTERVAL;
        for peer in self.peer_ids() {
            self.send_append_entries(now, peer);
        }
        self.advance_commit_index();
    }

    /// Sends a follower the entries that it lacks, or the snapshot if the entry before them is compacted.
    /// Sends a heartbeat instead if the follower lacks none, or has not replied and its resend delay has not
    /// passed.
    fn send_append_entries(&mut self, now: Micros, to: ReplicaId) {
        let last_index = self.log.last_index();
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let prev_log_index = peer.next_index - 1;
        let sends_entries = prev_log_index < last_index && peer.may_send_entries(now);
        let Some(prev_log_term) = self.log.term_at(prev_log_index) else {
            return self.send_snapshot(to, sends_entries);
        };
        let max_entries = if sends_entries { MAX_ENTRIES_PER_MESSAGE } else { 0 };
        let entries = self.log.entries_from(prev_log_index + 1).iter().take(max_entries);
        let request = AppendEntries {
            prev_log_index,
            prev_log_term,
            entries: entries.cloned().collect(),
            leader_commit: self.commit_index,
        };
        self.send(to, MessageBody::AppendEntries(request));
    }

    /// Sends the snapshot, or only a heartbeat whose previous entry is the snapshot's last.
    fn send_snapshot(&mut self, to: ReplicaId, include_snapshot: bool) {
        let snapshot = self.log.snapshot();
        let body = if include_snapshot {
            MessageBody::InstallSnapshot(InstallSnapshot { snapshot: snapshot.clone() })
        } else {
            MessageBody::AppendEntries(AppendEntries {
                prev_log_index: snapshot.last_included_index,
                prev_log_term: snapshot.last_included_term,
                entries: Vec::new(),
                leader_commit: self.commit_index,
            })
        };
        self.send(to, body);
    }

    pub(super) fn on_append_entries(
        &mut self,
        now: Micros,
        leader: ReplicaId,
        request: AppendEntries<M::Command>,
    ) {
        self.accept_leader(now, leader);
        let prev_log_index = request.prev_log_index;
        // A committed entry is in the log of every later leader: the logs match up to the commit index.
        let logs_match = prev_log_index <= self.commit_index
            || self.log.term_at(prev_log_index) == Some(request.prev_log_term);
        if !logs_match {
            let index = self.log.last_index().min(prev_log_index.saturating_sub(1));
            return self.reply_to_leader(leader, false, index);
        }
        let last_sent = request.entries.last().map_or(prev_log_index, |entry| entry.index);
        self.append_missing_entries(request.entries);
        let last_agreed = last_sent.min(self.log.last_index());
        self.commit_index = self.commit_index.max(request.leader_commit.min(last_agreed));
        self.apply_committed();
        self.reply_to_leader(leader, true, last_agreed);
    }

    /// Appends the leader's entries that this log lacks. Removes an entry that conflicts with the leader's,
    /// and all entries after it.
    fn append_missing_entries(&mut self, entries: Vec<Entry<M::Command>>) {
        for entry in entries {
            if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index > self.log.last_index() + 1 {
                break;
            }
            self.mark_unpersisted(entry.index);
            self.log.truncate_and_append(entry);
        }
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        now: Micros,
        leader: ReplicaId,
        request: InstallSnapshot<M>,
    ) {
        self.accept_leader(now, leader);
        let snapshot = request.snapshot;
        let index = snapshot.last_included_index;
        if index > self.commit_index {
            self.state_machine = snapshot.state.clone();
            self.commit_index = index;
            self.last_applied = index;
            self.log.install(snapshot);
            self.outputs.push(Output::Compact { contents: self.persistent_state() });
        }
        self.reply_to_leader(leader, true, index);
    }

    pub(super) fn reply_to_leader(&mut self, leader: ReplicaId, success: bool, last_agreed_index: Index) {
        let reply = AppendEntriesReply { success, last_agreed_index };
        self.send(leader, MessageBody::AppendEntriesReply(reply));
    }

    pub(super) fn on_append_entries_reply(
        &mut self,
        now: Micros,
        from: ReplicaId,
        reply: AppendEntriesReply,
    ) {
        if !self.is_leader() {
            return;
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.unanswered_sends = 0;
        if reply.success {
            peer.match_index = peer.match_index.max(reply.last_agreed_index);
            peer.next_index = peer.next_index.max(peer.match_index + 1);
        } else {
            // Retry from an earlier entry, but from none that is known to be replicated on the peer.
            let earlier = peer.next_index.saturating_sub(1);
            peer.next_index = (reply.last_agreed_index + 1).min(earlier).max(peer.match_index + 1);
        }
        let behind = peer.next_index <= self.log.last_index();
        self.advance_commit_index();
        if behind {
            self.send_append_entries(now, from);
        }
    }

    /// Commits the last entry that a quorum has on the disk, and all before it, if that entry is of the
    /// leader's own term. Then applies the committed entries.
    pub(super) fn advance_commit_index(&mut self) {
        let replicated = self.index_at_quorum();
        let own_term = self.log.term_at(replicated) == Some(self.hard_state.term);
        if replicated > self.commit_index && own_term {
            self.commit_index = replicated;
        }
        self.apply_committed();
    }

    /// Returns the highest index up to which a quorum has all entries on the disk. This leader's own disk
    /// counts as one of the group's.
    fn index_at_quorum(&self) -> Index {
        let mut indexes: Vec<Index> = self.peers.values().map(|peer| peer.match_index).collect();
        indexes.push(self.persisted_index);
        indexes.sort_unstable_by_key(|index| std::cmp::Reverse(*index));
        indexes[self.quorum() - 1]
    }

    /// Applies the committed entries that are not applied yet.
    pub(super) fn apply_committed(&mut self) {
        while self.last_applied < self.commit_index {
            let next = self.log.entries_from(self.last_applied + 1).first();
            let Some(entry) = next.cloned() else { return };
            self.last_applied = entry.index;
            if let Some(command) = entry.command {
                self.state_machine.apply(command);
            }
            self.outputs.push(Output::Applied { index: entry.index, term: entry.term });
        }
    }
}
