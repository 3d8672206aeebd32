use super::messages::{AppendEntriesReply, RequestVote, RequestVoteReply};
use super::*;

/// A state machine whose state is the list of all applied commands.
#[derive(Clone, Default, Debug, PartialEq)]
struct CommandHistory(Vec<u64>);

impl StateMachine for CommandHistory {
    type Command = u64;
    fn apply(&mut self, command: u64) {
        self.0.push(command);
    }
}

/// Three replicas in simulated time, with the persisted state of each and whether it is partitioned off.
struct Group {
    nodes: Vec<RaftNode<CommandHistory>>,
    persisted: Vec<PersistedState<u64, CommandHistory>>,
    partitioned: Vec<bool>,
    now: Micros,
}

impl Group {
    fn new() -> Group {
        let persisted = vec![PersistedState::default(); 3];
        let node = |id| RaftNode::new(id, &[0, 1, 2], PersistedState::default(), u64::from(id) + 1, 0);
        Group { nodes: (0..3).map(node).collect(), persisted, partitioned: vec![false; 3], now: 0 }
    }

    /// Passes an input to a replica, and delivers all messages that result from it.
    fn input(&mut self, to: usize, input: Input<u64, CommandHistory>) {
        let mut pending = vec![(to, input)];
        while let Some((to, input)) = pending.pop() {
            for output in self.nodes[to].step(self.now, input) {
                match output {
                    Output::Persist { hard_state, entries } => {
                        self.persist(to, hard_state, entries);
                        pending.push((to, Input::Persisted));
                    }
                    Output::Compact { contents } => {
                        self.persisted[to] = contents;
                        pending.push((to, Input::Persisted));
                    }
                    Output::Send { to: peer, message } => {
                        if !self.partitioned[to] && !self.partitioned[peer as usize] {
                            pending.insert(0, (peer as usize, Input::Message(message)));
                        }
                    }
                    Output::Applied { .. } => {}
                }
            }
        }
    }

    fn persist(&mut self, replica: usize, hard_state: HardState, entries: Vec<Entry<u64>>) {
        let persisted = &mut self.persisted[replica];
        persisted.hard_state = hard_state;
        if let Some(first) = entries.first() {
            persisted.entries.retain(|entry| entry.index < first.index);
        }
        persisted.entries.extend(entries);
    }

    fn advance_time(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 5_000;
            for replica in 0..3 {
                self.input(replica, Input::Tick);
            }
        }
    }

    fn leader(&self) -> usize {
        let reachable = (0..3).filter(|replica| !self.partitioned[*replica]);
        let leaders: Vec<_> = reachable.filter(|replica| self.nodes[*replica].is_leader()).collect();
        assert_eq!(leaders.len(), 1, "number of reachable leaders");
        leaders[0]
    }

    fn restart(&mut self, replica: usize) {
        let persisted = self.persisted[replica].clone();
        self.nodes[replica] = RaftNode::new(replica as u32, &[0, 1, 2], persisted, 77, self.now);
    }

    fn applied(&self) -> Vec<Vec<u64>> {
        self.nodes.iter().map(|node| node.state_machine().0.clone()).collect()
    }
}

#[test]
fn a_new_leader_keeps_committed_entries_and_the_old_leader_catches_up() {
    let mut group = Group::new();
    group.advance_time(2_000_000);
    let old_leader = group.leader();
    group.input(old_leader, Input::Propose(1));
    group.advance_time(200_000);
    group.partitioned[old_leader] = true;
    // This entry is not committed: only the old leader has it.
    group.input(old_leader, Input::Propose(99));
    group.advance_time(2_000_000);
    let new_leader = group.leader();
    group.input(new_leader, Input::Propose(2));
    group.advance_time(200_000);
    assert_eq!(group.nodes[old_leader].state_machine().0, [1], "the old leader has no quorum");
    group.partitioned[old_leader] = false;
    group.restart(old_leader);
    group.advance_time(2_000_000);
    assert_eq!(group.applied(), vec![vec![1, 2]; 3]);
}

#[test]
fn a_replica_behind_the_compacted_log_receives_the_snapshot() {
    let mut group = Group::new();
    group.advance_time(2_000_000);
    let leader = group.leader();
    let lagging = (leader + 1) % 3;
    group.partitioned[lagging] = true;
    for command in 0..(2 * COMPACT_AFTER_ENTRIES) {
        group.input(leader, Input::Propose(command));
    }
    let remaining = group.persisted[leader].entries.len() as u64;
    assert!(remaining <= COMPACT_AFTER_ENTRIES, "the log is compacted");
    group.partitioned[lagging] = false;
    group.advance_time(3_000_000);
    assert_eq!(group.nodes[lagging].state_machine(), group.nodes[leader].state_machine());
    group.restart(leader);
    group.advance_time(3_000_000);
    assert_eq!(group.applied(), vec![(0..2 * COMPACT_AFTER_ENTRIES).collect::<Vec<_>>(); 3]);
}

#[test]
fn a_replica_votes_once_per_term_even_after_a_restart() {
    let mut group = Group::new();
    let request = |from| {
        let body = MessageBody::RequestVote(RequestVote { last_log_index: 0, last_log_term: 0 });
        Input::Message(Message { from, term: 5, body })
    };
    group.partitioned = vec![true; 3];
    group.input(0, request(1));
    assert_eq!(group.persisted[0].hard_state, HardState { term: 5, voted_for: Some(1) });
    group.restart(0);
    let outputs = group.nodes[0].step(0, request(2));
    let vote_denied = MessageBody::RequestVoteReply(RequestVoteReply { vote_granted: false });
    let denies_vote = |output: &Output<u64, CommandHistory>| match output {
        Output::Send { to: 2, message } => message.body == vote_denied,
        _ => false,
    };
    assert!(outputs.iter().any(denies_vote), "{outputs:?}");
}

#[test]
fn replicas_with_the_same_seed_draw_different_election_timeouts() {
    let mut replicas =
        [0, 1].map(|id| RaftNode::<CommandHistory>::new(id, &[0, 1, 2], PersistedState::default(), 77, 0));
    let timeouts =
        replicas.each_mut().map(|node| (0..20).map(|_| node.election_jitter()).collect::<Vec<_>>());
    let pairs = timeouts[0].iter().zip(&timeouts[1]);
    let close = pairs.filter(|(first, second)| first.abs_diff(**second) < 10_000).count();
    assert!(close < 5, "{close} of 20 elections collide");
}

#[test]
fn a_single_replica_persists_before_other_outputs_and_commits_alone() {
    let persisted = PersistedState::default();
    let mut single: RaftNode<CommandHistory> = RaftNode::new(0, &[0], persisted, 1, 0);
    let outputs = single.step(0, Input::Tick);
    assert!(matches!(outputs[0], Output::Persist { .. }), "{outputs:?}");
    assert!(single.is_leader());
    single.step(0, Input::Persisted);
    single.step(0, Input::Propose(7));
    assert!(single.state_machine().0.is_empty(), "not committed before it is on the disk");
    single.step(0, Input::Persisted);
    assert_eq!(single.state_machine().0, [7], "a single replica is its own quorum");
}

#[test]
fn entries_are_resent_with_backoff_to_a_silent_follower_until_it_replies() {
    let mut leader: RaftNode<CommandHistory> = RaftNode::new(0, &[0, 1, 2], PersistedState::default(), 1, 0);
    let mut now = 0;
    let message = |term, body| Input::Message(Message { from: 2, term, body });
    while !leader.is_leader() {
        now += HEARTBEAT_INTERVAL;
        leader.step(now, Input::Tick);
        let granted = MessageBody::RequestVoteReply(RequestVoteReply { vote_granted: true });
        leader.step(now, message(leader.status().term, granted));
    }
    (0..100).for_each(|command| drop(leader.step(now, Input::Propose(command))));
    let sent_to_follower = |outputs: Vec<Output<u64, CommandHistory>>| -> Option<Vec<Entry<u64>>> {
        outputs.into_iter().find_map(|output| match output {
            Output::Send { to: 2, message: Message { body: MessageBody::AppendEntries(append), .. } } => {
                Some(append.entries)
            }
            _ => None,
        })
    };
    let (mut heartbeats, mut with_entries) = (0, 0);
    for _ in 0..100 {
        now += HEARTBEAT_INTERVAL;
        if let Some(entries) = sent_to_follower(leader.step(now, Input::Tick)) {
            heartbeats += 1;
            with_entries += usize::from(!entries.is_empty());
        }
    }
    assert_eq!(heartbeats, 100, "the leader sends all heartbeats to a silent follower");
    assert!((3..15).contains(&with_entries), "entries were sent {with_entries} times in 100 heartbeats");
    let last_index = leader.last_log_index();
    let reply = AppendEntriesReply { success: true, last_agreed_index: 1 };
    let reply = message(leader.status().term, MessageBody::AppendEntriesReply(reply));
    let entries = sent_to_follower(leader.step(now, reply)).unwrap();
    assert_eq!(entries.last().map(|entry| entry.index), Some(last_index), "the reply makes the leader send");
}
