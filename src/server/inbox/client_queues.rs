//! The messages of clients: a queue for each connection, served in the order of the time that the event loop
//! has spent on it.

use super::QueuedMessage;
use crate::client::ClientId;
use crate::fair_share::{FairClock, SharedUsedTime, UsedTime};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

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

/// The connection whose message is being handled.
struct Served {
    client: ClientId,
    used_time: Arc<SharedUsedTime>,
    position: UsedTime,
}

/// The messages of clients.
#[derive(Default)]
pub(super) struct ClientQueues {
    /// The connections of which messages wait.
    queues: HashMap<ClientId, ConnectionQueue>,
    /// The turns of these connections, without that of the one that is served.
    turns: BTreeMap<Turn, ClientId>,
    clock: FairClock,
    served: Option<Served>,
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
        let new_queue =
            || ConnectionQueue { used_time: place.used_time().clone(), messages: VecDeque::new() };
        let queue = self.queues.entry(client).or_insert_with(new_queue);
        if queue.messages.is_empty() && !is_served {
            self.turns.insert((self.clock.shared_position(&queue.used_time), number), client);
        }
        queue.messages.push_back((number, message));
    }

    /// Whether no message can be taken.
    pub(super) fn is_empty(&self) -> bool {
        self.queued == 0 && self.barriers.is_empty()
    }

    /// Takes the first message of the connection whose turn it is, or a barrier that none is ahead of. The
    /// turn ends with [`ClientQueues::end_turn`].
    pub(super) fn take(&mut self) -> Option<QueuedMessage> {
        if let Some(barrier) = self.barriers.pop_front_if(|barrier| barrier.ahead == 0) {
            return Some(barrier.message);
        }
        let ((position, _), client) = self.turns.pop_first()?;
        let queue = self.queues.get_mut(&client)?;
        let (number, message) = queue.messages.pop_front()?;
        self.queued -= 1;
        self.clock.serve(position);
        self.served = Some(Served { client, used_time: queue.used_time.clone(), position });
        for barrier in self.barriers.iter_mut().filter(|barrier| barrier.number > number) {
            barrier.ahead -= 1;
        }
        Some(message)
    }

    /// Charges the connection of the last message with this time, and gives it its next turn.
    pub(super) fn end_turn(&mut self, spent: Duration) {
        let Some(Served { client, used_time, position }) = self.served.take() else { return };
        used_time.charge(position, spent);
        match self.queues.get(&client).and_then(|queue| queue.messages.front()) {
            Some((number, _)) => {
                self.turns.insert((self.clock.shared_position(&used_time), *number), client);
            }
            None => drop(self.queues.remove(&client)),
        }
    }
}
