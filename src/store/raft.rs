//! Consensus on a log, after Raft: terms, leader election, and commit by a quorum. A pure step function:
//! `(state, now, input) -> outputs`. Whoever runs it carries the outputs out in order, and has what
//! [`Output::Persist`] names on the disk before it goes on.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of a replica.
pub type ReplicaId = u32;
/// The place of an entry in the log, from 1.
pub type Index = u64;

/// A replica that hears of no leader for this long stands for election; up to twice that, drawn anew.
pub const ELECTION: Micros = 300_000;
/// A leader says that it is one this often.
const HEARTBEAT: Micros = 75_000;
/// Entries in one message.
const BATCH: usize = 128;
/// Applied entries in the log before they become part of the snapshot, with which it starts anew.
const COMPACT: u64 = 512;

/// An entry of the log; the one that a new leader begins with holds no command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Its place.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it says.
    pub command: Option<C>,
}

/// The state after all entries up to one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// The last entry in it.
    pub index: Index,
    /// That entry's term.
    pub term: u64,
    /// The state.
    pub state: S,
}

/// What replicas say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say<C, S> {
    /// Asks for a vote.
    Vote { last_index: Index, last_term: u64 },
    /// Answers that.
    Voted { granted: bool },
    /// Entries behind one that both should have; without entries, a sign of life.
    Append { prev_index: Index, prev_term: u64, entries: Vec<Entry<C>>, commit: Index },
    /// Answers that: the logs agree up to here, or may do so.
    Appended { ok: bool, index: Index },
    /// The whole state, for a replica that lags behind the log.
    Install { snapshot: Snapshot<S> },
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message<C, S> {
    /// Who says it.
    pub from: ReplicaId,
    /// In which term.
    pub term: u64,
    /// What.
    pub say: Say<C, S>,
}

/// What must survive a restart, beside the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The latest term seen.
    pub term: u64,
    /// Who got this replica's vote in it.
    pub vote: Option<ReplicaId>,
}

/// What a replica has on its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved<C, S> {
    /// Term and vote.
    pub hard: Hard,
    /// The state that the log starts from.
    pub snapshot: Snapshot<S>,
    /// The log.
    pub entries: Vec<Entry<C>>,
}

/// What happens to a replica.
pub enum Input<C, S> {
    /// Time has passed.
    Tick,
    /// A message came.
    Message(Message<C, S>),
    /// A command is to be committed; dropped where this is no leader.
    Propose(C),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<C, S> {
    /// On the disk before anything that follows: term and vote, and entries that replace all from their
    /// place.
    Persist { hard: Hard, entries: Vec<Entry<C>> },
    /// On the disk in place of all before it.
    Compact { snapshot: Snapshot<S>, entries: Vec<Entry<C>> },
    /// Say this to a replica.
    Send(ReplicaId, Message<C, S>),
    /// A command is committed and part of the state.
    Applied { index: Index, term: u64 },
}

/// A state that commands change.
pub trait Machine: Clone + Default {
    /// What changes it.
    type Command: Clone;
    /// Changes it, the same way at every replica.
    fn apply(&mut self, command: Self::Command);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Candidate,
    Leader,
}

struct Peer {
    next: Index,
    matched: Index,
    voted: bool,
}

/// One replica.
pub struct Raft<M: Machine> {
    id: ReplicaId,
    hard: Hard,
    role: Role,
    leader: Option<ReplicaId>,
    heard_at: Micros,
    peers: BTreeMap<ReplicaId, Peer>,
    /// The state as of the log's start, and as of the last entry applied.
    base: Snapshot<M>,
    state: M,
    log: Vec<Entry<M::Command>>,
    commit: Index,
    applied: Index,
    due: Micros,
    seed: u64,
    out: Vec<Output<M::Command, M>>,
    /// Term and vote, or the entries from an index on, are to be persisted before anything is said.
    unsaved: Option<Index>,
}

impl<M: Machine> Raft<M> {
    /// A replica with what it had saved.
    pub fn new(
        id: ReplicaId,
        peers: &[ReplicaId],
        saved: Saved<M::Command, M>,
        seed: u64,
        now: Micros,
    ) -> Self {
        let Saved { hard, snapshot, entries } = saved;
        let peer = |p: &ReplicaId| (*p, Peer { next: 1, matched: 0, voted: false });
        let mut raft = Raft {
            id,
            hard,
            role: Role::Follower,
            leader: None,
            heard_at: 0,
            peers: peers.iter().filter(|p| **p != id).map(peer).collect(),
            state: snapshot.state.clone(),
            commit: snapshot.index,
            applied: snapshot.index,
            base: snapshot,
            log: entries,
            due: now,
            // Replicas that are started alike must not stand for election at the same moments for ever.
            seed: seed.wrapping_add(u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            out: Vec::new(),
            unsaved: None,
        };
        // A replica alone has no one to wait for.
        if !raft.peers.is_empty() {
            raft.rest(now);
        }
        raft
    }

    /// The state after all that is committed here.
    pub fn state(&self) -> &M {
        &self.state
    }

    /// The term, the leader as far as known, and the last entry committed here.
    pub fn standing(&self) -> (u64, Option<ReplicaId>, Index) {
        (self.hard.term, self.leader, self.commit)
    }

    /// This is the leader.
    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// The last entry in the log, committed or not.
    pub fn last(&self) -> Index {
        self.log.last().map_or(self.base.index, |e| e.index)
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Takes one input.
    pub fn step(&mut self, now: Micros, input: Input<M::Command, M>) -> Vec<Output<M::Command, M>> {
        match input {
            Input::Tick if now < self.due => {}
            Input::Tick if self.role == Role::Leader => self.lead(now),
            Input::Tick => self.stand(now),
            Input::Propose(command) if self.role == Role::Leader => {
                self.append(Some(command));
                self.lead(now);
            }
            Input::Propose(_) => {}
            Input::Message(message) => self.hear(now, message),
        }
        self.save();
        std::mem::take(&mut self.out)
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below.max(1)
    }

    fn rest(&mut self, now: Micros) {
        self.due = now + ELECTION + self.random(ELECTION);
    }

    fn term_at(&self, index: Index) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        let at = usize::try_from(index.checked_sub(self.base.index + 1)?).ok()?;
        self.log.get(at).map(|e| e.term)
    }

    fn from(&self, index: Index) -> &[Entry<M::Command>] {
        let at = usize::try_from(index.saturating_sub(self.base.index + 1)).unwrap_or(usize::MAX);
        self.log.get(at..).unwrap_or_default()
    }

    fn unsaved(&mut self, from: Index) {
        self.unsaved = Some(self.unsaved.map_or(from, |f| f.min(from)));
    }

    /// Puts what must be on the disk ahead of what was going to be said.
    fn save(&mut self) {
        if let Some(from) = self.unsaved.take() {
            let persist = Output::Persist { hard: self.hard, entries: self.from(from).to_vec() };
            self.out.insert(0, persist);
        }
        if self.applied.saturating_sub(self.base.index) > COMPACT {
            // The state is that of the last entry applied; entries before it are kept in neither.
            let snapshot = Snapshot {
                index: self.applied,
                term: self.term_at(self.applied).unwrap_or(self.base.term),
                state: self.state.clone(),
            };
            let entries = self.from(self.applied + 1).to_vec();
            (self.base, self.log) = (snapshot.clone(), entries.clone());
            self.out.push(Output::Compact { snapshot, entries });
        }
    }

    fn say(&mut self, to: ReplicaId, say: Say<M::Command, M>) {
        self.out.push(Output::Send(to, Message { from: self.id, term: self.hard.term, say }));
    }

    fn quorum(&self) -> usize {
        self.peers.len().div_ceil(2) + 1
    }

    fn follow(&mut self, term: u64) {
        if term > self.hard.term {
            self.hard = Hard { term, vote: None };
            self.leader = None;
            self.unsaved(self.last() + 1);
        }
        self.role = Role::Follower;
    }

    fn stand(&mut self, now: Micros) {
        self.hard = Hard { term: self.hard.term + 1, vote: Some(self.id) };
        (self.role, self.leader) = (Role::Candidate, None);
        self.unsaved(self.last() + 1);
        self.rest(now);
        let (last_index, last_term) = (self.last(), self.term_at(self.last()).unwrap_or(0));
        for peer in self.peers.keys().copied().collect::<Vec<_>>() {
            self.peers.entry(peer).and_modify(|p| p.voted = false);
            self.say(peer, Say::Vote { last_index, last_term });
        }
        self.count(now);
    }

    /// Takes the lead with a quorum of votes, its own included.
    fn count(&mut self, now: Micros) {
        let votes = 1 + self.peers.values().filter(|p| p.voted).count();
        if self.role != Role::Candidate || votes < self.quorum() {
            return;
        }
        (self.role, self.leader) = (Role::Leader, Some(self.id));
        let next = self.last() + 1;
        self.peers.values_mut().for_each(|p| (p.next, p.matched) = (next, 0));
        // What earlier terms left is committed together with an entry of this one, and only so.
        self.append(None);
        self.lead(now);
    }

    fn append(&mut self, command: Option<M::Command>) {
        let index = self.last() + 1;
        self.log.push(Entry { index, term: self.hard.term, command });
        self.unsaved(index);
    }

    fn lead(&mut self, now: Micros) {
        self.due = now + HEARTBEAT;
        for peer in self.peers.keys().copied().collect::<Vec<_>>() {
            self.replicate(peer);
        }
        self.settle();
    }

    fn replicate(&mut self, peer: ReplicaId) {
        let Some(next) = self.peers.get(&peer).map(|p| p.next) else { return };
        let prev_index = next - 1;
        let Some(prev_term) = self.term_at(prev_index) else {
            return self.say(peer, Say::Install { snapshot: self.base.clone() });
        };
        let entries: Vec<_> = self.from(next).iter().take(BATCH).cloned().collect();
        let commit = self.commit;
        self.say(peer, Say::Append { prev_index, prev_term, entries, commit });
    }

    /// A leader commits what a quorum has, if it is of its own term.
    fn settle(&mut self) {
        if self.role == Role::Leader {
            let mut have: Vec<Index> = self.peers.values().map(|p| p.matched).collect();
            have.push(self.last());
            have.sort_unstable_by(|a, b| b.cmp(a));
            let most = have[self.quorum() - 1];
            if most > self.commit && self.term_at(most) == Some(self.hard.term) {
                self.commit = most;
            }
        }
        while self.applied < self.commit {
            let Some(entry) = self.from(self.applied + 1).first().cloned() else { return };
            self.applied = entry.index;
            if let Some(command) = entry.command {
                self.state.apply(command);
            }
            self.out.push(Output::Applied { index: entry.index, term: entry.term });
        }
    }

    fn hear(&mut self, now: Micros, message: Message<M::Command, M>) {
        let Message { from, term, say } = message;
        if !self.peers.contains_key(&from) {
            return;
        }
        // Guards against a replica that was cut off and stands again and again: while there is a leader,
        // nobody else is voted for.
        let led = self.leader.is_some() && now < self.heard_at + ELECTION;
        if matches!(say, Say::Vote { .. }) && led && self.leader != Some(from) {
            return;
        }
        if term > self.hard.term {
            self.follow(term);
        }
        let old = term < self.hard.term;
        match say {
            Say::Vote { last_index, last_term } => {
                let own = (self.term_at(self.last()).unwrap_or(0), self.last());
                let free = self.hard.vote.is_none_or(|v| v == from);
                let granted = !old && free && self.role == Role::Follower && (last_term, last_index) >= own;
                if granted && self.hard.vote.is_none() {
                    self.hard.vote = Some(from);
                    self.unsaved(self.last() + 1);
                }
                if granted {
                    self.rest(now);
                }
                self.say(from, Say::Voted { granted });
            }
            Say::Voted { granted } => {
                if !old && granted {
                    self.peers.entry(from).and_modify(|p| p.voted = true);
                    self.count(now);
                }
            }
            Say::Append { .. } | Say::Install { .. } if old => {
                let index = self.last();
                self.say(from, Say::Appended { ok: false, index });
            }
            Say::Append { prev_index, prev_term, entries, commit } => {
                self.led_by(from, now);
                self.take(from, prev_index, prev_term, entries, commit);
            }
            Say::Install { snapshot } => {
                self.led_by(from, now);
                let index = snapshot.index;
                if index > self.commit {
                    self.state = snapshot.state.clone();
                    (self.commit, self.applied, self.log) = (index, index, Vec::new());
                    self.base = snapshot.clone();
                    self.out.push(Output::Compact { snapshot, entries: Vec::new() });
                }
                self.say(from, Say::Appended { ok: true, index });
            }
            Say::Appended { ok, index } => {
                if old || self.role != Role::Leader {
                    return;
                }
                let Some(peer) = self.peers.get_mut(&from) else { return };
                if ok {
                    peer.matched = peer.matched.max(index);
                    peer.next = peer.next.max(peer.matched + 1);
                } else {
                    // The logs part somewhere before: try further back, no further than they are known to
                    // agree.
                    peer.next = (index + 1).min(peer.next.saturating_sub(1)).max(peer.matched + 1);
                }
                let behind = peer.next <= self.last();
                self.settle();
                if behind {
                    self.replicate(from);
                }
            }
        }
    }

    fn led_by(&mut self, leader: ReplicaId, now: Micros) {
        (self.role, self.leader, self.heard_at) = (Role::Follower, Some(leader), now);
        self.rest(now);
    }

    fn take(
        &mut self,
        from: ReplicaId,
        prev_index: Index,
        prev_term: u64,
        entries: Vec<Entry<M::Command>>,
        commit: Index,
    ) {
        // What is committed here agrees with every leader's log.
        let agrees = prev_index <= self.commit || self.term_at(prev_index) == Some(prev_term);
        if !agrees {
            let index = self.last().min(prev_index.saturating_sub(1));
            return self.say(from, Say::Appended { ok: false, index });
        }
        let last = entries.last().map_or(prev_index, |e| e.index);
        for entry in entries {
            if entry.index <= self.commit || self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index > self.last() + 1 {
                break;
            }
            let keep = (entry.index - self.base.index - 1) as usize;
            self.log.truncate(keep);
            self.unsaved(entry.index);
            self.log.push(entry);
        }
        self.commit = self.commit.max(commit.min(last).min(self.last()));
        self.settle();
        self.say(from, Say::Appended { ok: true, index: last.min(self.last()) });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Default, Debug, PartialEq)]
    struct Sum(Vec<u64>);

    impl Machine for Sum {
        type Command = u64;
        fn apply(&mut self, command: u64) {
            self.0.push(command);
        }
    }

    /// Three replicas, the clock, and which of them are cut off.
    struct Group {
        all: Vec<Raft<Sum>>,
        saved: Vec<Saved<u64, Sum>>,
        cut: Vec<bool>,
        now: Micros,
    }

    impl Group {
        fn new() -> Group {
            let saved = vec![Saved::default(); 3];
            let all =
                (0..3).map(|n| Raft::new(n, &[0, 1, 2], Saved::default(), u64::from(n) + 1, 0)).collect();
            Group { all, saved, cut: vec![false; 3], now: 0 }
        }

        fn give(&mut self, to: usize, input: Input<u64, Sum>) {
            let mut todo = vec![(to, input)];
            while let Some((to, input)) = todo.pop() {
                for output in self.all[to].step(self.now, input) {
                    let saved = &mut self.saved[to];
                    match output {
                        Output::Persist { hard, entries } => {
                            saved.hard = hard;
                            if let Some(first) = entries.first() {
                                saved.entries.retain(|e| e.index < first.index);
                            }
                            saved.entries.extend(entries);
                        }
                        Output::Compact { snapshot, entries } => {
                            (saved.snapshot, saved.entries) = (snapshot, entries)
                        }
                        Output::Send(peer, message) => {
                            if !self.cut[to] && !self.cut[peer as usize] {
                                todo.insert(0, (peer as usize, Input::Message(message)));
                            }
                        }
                        Output::Applied { .. } => {}
                    }
                }
            }
        }

        fn pass(&mut self, span: Micros) {
            let end = self.now + span;
            while self.now < end {
                self.now += 5_000;
                for n in 0..3 {
                    self.give(n, Input::Tick);
                }
            }
        }

        fn leader(&self) -> usize {
            let leaders: Vec<_> = (0..3).filter(|n| self.all[*n].leads() && !self.cut[*n]).collect();
            assert_eq!(leaders.len(), 1, "one leader");
            leaders[0]
        }

        fn restart(&mut self, n: usize) {
            let saved = self.saved[n].clone();
            self.all[n] = Raft::new(n as u32, &[0, 1, 2], saved, 77, self.now);
        }

        fn states(&self) -> Vec<Vec<u64>> {
            self.all.iter().map(|r| r.state().0.clone()).collect()
        }
    }

    #[test]
    fn a_new_leader_keeps_what_was_committed_and_the_old_one_catches_up() {
        let mut g = Group::new();
        g.pass(2_000_000);
        let old = g.leader();
        g.give(old, Input::Propose(1));
        g.pass(200_000);
        g.cut[old] = true;
        // Not committed: the old leader alone has it.
        g.give(old, Input::Propose(99));
        g.pass(2_000_000);
        let new = g.leader();
        g.give(new, Input::Propose(2));
        g.pass(200_000);
        assert_eq!(g.all[old].state().0, [1], "a minority commits nothing");
        g.cut[old] = false;
        g.restart(old);
        g.pass(2_000_000);
        assert_eq!(g.states(), vec![vec![1, 2]; 3]);
    }

    #[test]
    fn a_replica_far_behind_gets_the_snapshot() {
        let mut g = Group::new();
        g.pass(2_000_000);
        let leader = g.leader();
        let late = (leader + 1) % 3;
        g.cut[late] = true;
        for n in 0..(2 * COMPACT) {
            g.give(leader, Input::Propose(n));
        }
        assert!(g.saved[leader].entries.len() as u64 <= COMPACT, "the log is compacted");
        g.cut[late] = false;
        g.pass(3_000_000);
        assert_eq!(g.all[late].state(), g.all[leader].state());
        g.restart(leader);
        g.pass(3_000_000);
        assert_eq!(g.states(), vec![(0..2 * COMPACT).collect::<Vec<_>>(); 3]);
    }

    #[test]
    fn a_vote_is_given_once_a_term_even_over_a_restart() {
        let mut g = Group::new();
        let ask = |from| Message { from, term: 5, say: Say::Vote { last_index: 0, last_term: 0 } };
        g.cut = vec![true; 3];
        g.give(0, Input::Message(ask(1)));
        assert_eq!(g.saved[0].hard, Hard { term: 5, vote: Some(1) });
        g.restart(0);
        let said = g.all[0].step(0, Input::Message(ask(2)));
        let refused = Say::Voted { granted: false };
        let granted = |o: &Output<u64, Sum>| matches!(o, Output::Send(2, m) if m.say == refused);
        assert!(said.iter().any(granted), "{said:?}");
    }

    #[test]
    fn replicas_started_alike_choose_different_moments() {
        let mut two = [0, 1].map(|n| Raft::<Sum>::new(n, &[0, 1, 2], Saved::default(), 77, 0));
        let moments = two.each_mut().map(|r| (0..20).map(|_| r.random(ELECTION)).collect::<Vec<_>>());
        let close = moments[0].iter().zip(&moments[1]).filter(|(a, b)| a.abs_diff(**b) < 10_000).count();
        assert!(close < 5, "{close} of 20 elections collide");
    }

    #[test]
    fn what_is_said_comes_after_what_is_saved() {
        let mut alone: Raft<Sum> = Raft::new(0, &[0], Saved::default(), 1, 0);
        let out = alone.step(0, Input::Tick);
        assert!(matches!(out[0], Output::Persist { .. }), "{out:?}");
        assert!(alone.leads());
        alone.step(0, Input::Propose(7));
        assert_eq!(alone.state().0, [7], "a replica alone is its own quorum");
    }
}
