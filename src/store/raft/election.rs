//! Leader election: terms, votes and the election timer.

use super::messages::{HardState, MessageBody, ReplicaId, RequestVote, RequestVoteReply, Term};
use super::{ELECTION_TIMEOUT, MAX_ELECTION_BACKOFF, RaftNode, Role, StateMachine};
use crate::Micros;

impl<M: StateMachine> RaftNode<M> {
    /// Sets the next election to a random time between one and two election timeouts from now. Each election
    /// without a winner doubles that time, up to [`MAX_ELECTION_BACKOFF`] times.
    pub(super) fn reset_election_timer(&mut self, now: Micros) {
        let backoff = self.elections_without_leader.min(MAX_ELECTION_BACKOFF);
        self.next_deadline = now + ((ELECTION_TIMEOUT + self.election_jitter()) << backoff);
    }

    /// Draws the random part of an election timeout, less than [`ELECTION_TIMEOUT`].
    pub(super) fn election_jitter(&mut self) -> Micros {
        self.random.below(ELECTION_TIMEOUT)
    }

    /// Becomes a follower. A term later than the current one is adopted, without a known leader and without a
    /// vote.
    pub(super) fn become_follower(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.leader = None;
            self.mark_hard_state_unpersisted();
        }
        self.role = Role::Follower;
    }

    /// Follows the sender of a message that only the leader of the current term sends.
    pub(super) fn accept_leader(&mut self, now: Micros, leader: ReplicaId) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = now;
        self.elections_without_leader = 0;
        self.reset_election_timer(now);
    }

    /// Returns whether this replica has heard from a leader other than `candidate` within an election
    /// timeout. It then ignores the candidate's vote request and its term. A replica that was partitioned off
    /// starts one election after another: without this check, the others would give up a working leader for
    /// its later term when it reconnects.
    pub(super) fn follows_other_leader(&self, now: Micros, candidate: ReplicaId) -> bool {
        let heard_recently = now < self.leader_heard_at + ELECTION_TIMEOUT;
        self.leader.is_some_and(|leader| leader != candidate) && heard_recently
    }

    /// Becomes a candidate in the next term, and requests the votes of all peers.
    pub(super) fn start_election(&mut self, now: Micros) {
        self.hard_state = HardState { term: self.hard_state.term + 1, voted_for: Some(self.id) };
        self.role = Role::Candidate;
        self.leader = None;
        self.mark_hard_state_unpersisted();
        self.reset_election_timer(now);
        self.elections_without_leader = self.elections_without_leader.saturating_add(1);
        for peer in self.peers.values_mut() {
            peer.vote_granted = false;
        }
        let request =
            RequestVote { last_log_index: self.log.last_index(), last_log_term: self.log.last_term() };
        for peer in self.peer_ids() {
            self.send(peer, MessageBody::RequestVote(request));
        }
        self.count_votes(now);
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Micros,
        candidate: ReplicaId,
        stale: bool,
        request: RequestVote,
    ) {
        let can_vote = self.hard_state.voted_for.is_none_or(|voted_for| voted_for == candidate);
        let vote_granted = !stale && can_vote && self.role == Role::Follower && self.is_up_to_date(request);
        if vote_granted {
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(candidate);
                self.mark_hard_state_unpersisted();
            }
            self.reset_election_timer(now);
        }
        self.send(candidate, MessageBody::RequestVoteReply(RequestVoteReply { vote_granted }));
    }

    /// Whether a candidate's log is at least as up to date as this replica's.
    fn is_up_to_date(&self, request: RequestVote) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_log_term, request.last_log_index) >= own
    }

    pub(super) fn on_request_vote_reply(&mut self, now: Micros, from: ReplicaId, reply: RequestVoteReply) {
        if !reply.vote_granted {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.vote_granted = true;
        }
        self.count_votes(now);
    }

    /// Becomes the leader if this candidate has the votes of a quorum, its own included.
    fn count_votes(&mut self, now: Micros) {
        let votes = 1 + self.peers.values().filter(|peer| peer.vote_granted).count();
        if self.role == Role::Candidate && votes >= self.quorum() {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Micros) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elections_without_leader = 0;
        let next_index = self.log.last_index() + 1;
        for peer in self.peers.values_mut() {
            peer.next_index = next_index;
            peer.match_index = 0;
            peer.unanswered_sends = 0;
        }
        // Raft commits entries of earlier terms only together with an entry of the current term. Without this
        // entry, they would stay uncommitted until the next proposal.
        self.append_entry(None);
        self.broadcast_append_entries(now);
    }
}
