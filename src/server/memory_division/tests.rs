use super::{DescriptorBudget, MemoryDivision};
use crate::memory_budget::{HeldBytes, MemoryBudget};
use std::sync::Arc;

const MIB: usize = 1024 * 1024;
/// What the process uses without any client.
const BASE_BYTES: usize = 5 * MIB;
/// The kinds of buffers: incomplete commands, answers to be written, and answers that wait for earlier ones.
const BUFFER_KINDS: usize = 3;
/// The most that a holder takes at once.
const STEP_BYTES: usize = 64 * 1024;

/// Lets holders take memory in turn until none gets more, and returns them.
fn fill(budget: &Arc<MemoryBudget>, holders: usize) -> Vec<HeldBytes> {
    let mut holders: Vec<_> = (0..holders).map(|_| HeldBytes::new(budget.clone())).collect();
    for step in [STEP_BYTES, STEP_BYTES / 16] {
        while holders.iter_mut().any(|holder| holder.try_set(holder.bytes() + step).is_ok()) {}
    }
    holders
}

/// Guards against limits that hold each by itself, and together exceed the memory: with as many clients
/// as the descriptors admit, each kind of memory can be filled at the same time.
#[test]
fn all_that_clients_can_fill_at_the_same_time_fits_into_the_memory() {
    for (memory_bytes, descriptors) in [(32 * MIB, 256), (32 * MIB, 512), (192 * MIB, 1024)] {
        let connections = DescriptorBudget::new(descriptors, false, false);
        let division = MemoryDivision::new(memory_bytes, &connections);
        let members = connections.member_connections;
        let held = [
            fill(&division.commands, connections.client_connections),
            fill(&division.sessions, connections.clients),
            fill(&division.members.statements, members),
            fill(&division.members.responses, members),
        ];
        let held_bytes: usize = held.iter().flatten().map(HeldBytes::bytes).sum();
        let tables = 3 * division.table_bytes;
        let all = held_bytes + tables + BUFFER_KINDS * division.buffer_bytes + BASE_BYTES;
        assert!(all <= memory_bytes, "{all} bytes of {memory_bytes}, {descriptors} descriptors");
    }
}
