//! The messages of clients: a queue for each connection, served in the order of the time that the event loop
//! has spent on it.

use super::QueuedMessage;
use crate::client::ClientId;
use crate::fair_share::{FairClock, SharedUsedTime, UsedTime};
use fnv::FnvHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The most empty queues that are kept.
const MAX_SPARE_QUEUES: usize = 64;
/// How long a turn lasts: a connection of which more messages wait keeps its turn until then. Answers that
/// are written in a row wake their client once.
const TURN_TIME: Duration = Duration::from_micros(100);

/// The turn of a connection: its position, and the number of its first message among those of all clients.
type Turn = (UsedTime, u64);

/// The queue of one connection.
struct ConnectionQueue {
    used_time: Arc<SharedUsedTime>,
    messages: VecDeque<(u64, QueuedMessage)>,
}

/// A message that is taken after all messages of clients which were queued before it.
struct Barrier {
    number: u64,
    /// The messages before it that wait.
    ahead: usize,
    message: QueuedMessage,
}

/// The connection whose turn it is.
struct Served {
    client: ClientId,
    used_time: Arc<SharedUsedTime>,
    position: UsedTime,
    /// The time that the turn has taken so far.
    spent: Duration,
}

/// The messages of clients.
#[derive(Default)]
pub(super) struct ClientQueues {
    /// The connections of which messages wait.
    queues: FnvHashMap<ClientId, ConnectionQueue>,
    /// The turns of these connections, without that of the one that is served.
    turns: BTreeMap<Turn, ClientId>,
    clock: FairClock,
    served: Option<Served>,
    /// Empty queues that keep their memory for the next connections.
    spare: Vec<VecDeque<(u64, QueuedMessage)>>,
    barriers: VecDeque<Barrier>,
    /// The number of the next message.
    next_number: u64,
    queued: usize,
}

impl ClientQueues {
    /// Adds a message behind those of its connection; a barrier behind those of all.
    pub(super) fn push(&mut self, message: QueuedMessage) {
        let number = self.next_number;
        self.next_number += 1;
        let Some((client, place)) = message.message.client_place() else {
            self.barriers.push_back(Barrier { number, ahead: self.queued, message });
            return;
        };
        self.queued += 1;
        let is_served = self.served.as_ref().is_some_and(|served| served.client == client);
        let queue = self.queues.entry(client).or_insert_with(|| ConnectionQueue {
            used_time: place.used_time().clone(),
            messages: self.spare.pop().unwrap_or_default(),
        });
        if queue.messages.is_empty() && !is_served {
            self.turns.insert((self.clock.shared_position(&queue.used_time), number), client);
        }
        queue.messages.push_back((number, message));
    }

    /// Whether no message can be taken.
    pub(super) fn is_empty(&self) -> bool {
        self.queued == 0 && self.barriers.is_empty()
    }

    /// Takes the first message of the connection whose turn it is, or a barrier that none is ahead of.
    pub(super) fn take(&mut self) -> Option<QueuedMessage> {
        if let Some(barrier) = self.barriers.pop_front_if(|barrier| barrier.ahead == 0) {
            return Some(barrier.message);
        }
        if self.served.is_none() {
            self.begin_turn();
        }
        let queue = self.queues.get_mut(&self.served.as_ref()?.client)?;
        let (number, message) = queue.messages.pop_front()?;
        self.queued -= 1;
        for barrier in self.barriers.iter_mut().filter(|barrier| barrier.number > number) {
            barrier.ahead -= 1;
        }
        Some(message)
    }

    /// Begins the turn of the connection that has used least.
    fn begin_turn(&mut self) {
        let Some(((position, _), client)) = self.turns.pop_first() else { return };
        let Some(queue) = self.queues.get(&client) else { return };
        self.clock.serve(position);
        let used_time = queue.used_time.clone();
        self.served = Some(Served { client, used_time, position, spent: Duration::ZERO });
    }

    /// Adds the time of the last message to the turn. Ends the turn if its time is over or no further message
    /// of the connection waits: charges the connection, and gives it its next turn.
    pub(super) fn message_handled(&mut self, spent: Duration) {
        let Some(mut served) = self.served.take() else { return };
        served.spent += spent;
        let has_more = self.queues.get(&served.client).is_some_and(|queue| !queue.messages.is_empty());
        if has_more && served.spent < TURN_TIME {
            self.served = Some(served);
            return;
        }
        let Served { client, used_time, position, spent } = served;
        used_time.charge(position, spent);
        match self.queues.get(&client).and_then(|queue| queue.messages.front()) {
            Some((number, _)) => {
                self.turns.insert((self.clock.shared_position(&used_time), *number), client);
            }
            None => self.remove_queue(client),
        }
    }

    fn remove_queue(&mut self, client: ClientId) {
        let Some(ConnectionQueue { messages, .. }) = self.queues.remove(&client) else { return };
        if self.spare.len() < MAX_SPARE_QUEUES {
            self.spare.push(messages);
        }
    }
}
