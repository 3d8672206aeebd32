//! Elections on disks whose syncs take longer than an election timeout, as on an overloaded machine.

use super::*;
use std::collections::VecDeque;

/// The interval by which the simulated time advances.
const TIME_STEP: Micros = 5_000;
/// The time limit for an election; the tests that run processes, in `tests/store.rs`, have the same limit.
const AGREEMENT_LIMIT: Micros = 20_000_000;

#[derive(Clone, Default)]
struct NoState;

impl StateMachine for NoState {
    type Command = ();
    fn apply(&mut self, (): ()) {}
}

/// A replica that handles no input during a disk sync, as the service thread does.
struct Replica {
    node: RaftNode<NoState>,
    inbox: VecDeque<Input<(), NoState>>,
    /// The outputs that wait for the sync in progress.
    waiting_outputs: VecDeque<Output<(), NoState>>,
    sync_ends_at: Option<Micros>,
}

/// Three replicas in simulated time.
struct Group {
    replicas: Vec<Replica>,
    sync_duration: Micros,
    now: Micros,
}

impl Group {
    fn new(seed: u64, sync_duration: Micros) -> Group {
        let replica = |id| Replica {
            node: RaftNode::new(id, &[0, 1, 2], PersistedState::default(), seed, 0),
            inbox: VecDeque::new(),
            waiting_outputs: VecDeque::new(),
            sync_ends_at: None,
        };
        Group { replicas: (0..3).map(replica).collect(), sync_duration, now: 0 }
    }

    /// Carries out the waiting outputs of a replica up to the next sync.
    fn carry_out(&mut self, position: usize) {
        while let Some(output) = self.replicas[position].waiting_outputs.pop_front() {
            match output {
                Output::Persist { .. } | Output::Compact { .. } => {
                    self.replicas[position].sync_ends_at = Some(self.now + self.sync_duration);
                    return;
                }
                Output::Send { to, message } => {
                    self.replicas[to as usize].inbox.push_back(Input::Message(message));
                }
                Output::Applied { .. } => {}
            }
        }
    }

    fn step(&mut self, position: usize, input: Input<(), NoState>) {
        let outputs = self.replicas[position].node.step(self.now, input);
        self.replicas[position].waiting_outputs.extend(outputs);
        self.carry_out(position);
    }

    /// Ends a replica's sync if it is due. Then handles its inputs, and a tick if none is left, until a sync
    /// starts.
    fn run_replica(&mut self, position: usize) {
        let replica = &mut self.replicas[position];
        if let Some(end) = replica.sync_ends_at {
            if self.now < end {
                return;
            }
            replica.sync_ends_at = None;
            self.carry_out(position);
            self.step(position, Input::Persisted);
        }
        while self.replicas[position].sync_ends_at.is_none() {
            let Some(input) = self.replicas[position].inbox.pop_front() else {
                return self.step(position, Input::Tick);
            };
            self.step(position, input);
        }
    }

    /// Whether all replicas know the same leader of the same term, and it has committed an entry.
    fn agrees(&self) -> bool {
        let first = self.replicas[0].node.status();
        let same = |replica: &Replica| {
            let status = replica.node.status();
            (status.leader, status.term) == (first.leader, first.term) && status.commit_index > 0
        };
        first.leader.is_some() && self.replicas.iter().all(same)
    }

    /// Returns the time until all replicas agree on a leader; `None` if that takes longer than `limit`.
    fn time_to_agree(&mut self, limit: Micros) -> Option<Micros> {
        while self.now < limit {
            self.now += TIME_STEP;
            (0..3).for_each(|position| self.run_replica(position));
            if self.agrees() {
                return Some(self.now);
            }
        }
        None
    }
}

#[test]
fn a_leader_is_elected_although_disk_syncs_take_longer_than_the_election_timeout() {
    for sync_duration in [0, 100_000, 200_000, 300_000, 500_000, 700_000] {
        for seed in 0..50 {
            let time = Group::new(seed, sync_duration).time_to_agree(AGREEMENT_LIMIT);
            assert!(time.is_some(), "no leader with seed {seed} and syncs of {sync_duration} us");
        }
    }
}
