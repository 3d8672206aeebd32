//! How much more a proxy may need in a large fleet than in one of the usual size.

use super::fleet::FleetCost;

/// The limit of one need: a multiple of what the usual size takes, and more for each thousand members.
pub struct CostLimit {
    pub name: &'static str,
    pub value: fn(&FleetCost) -> f64,
    /// The figure is the same on every machine.
    pub is_machine_independent: bool,
    factor: f64,
    allowance: f64,
    allowance_per_thousand: f64,
    bound: Bound,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Bound {
    AtMost,
    AtLeast,
}

impl CostLimit {
    /// The most, or the least, of a fleet with so many members.
    pub fn bound(&self, usual: &FleetCost, members: usize) -> f64 {
        let thousands = members as f64 / 1000.0;
        (self.value)(usual) * self.factor + self.allowance + self.allowance_per_thousand * thousands
    }

    /// Whether the fleet with so many members keeps to the limit.
    pub fn holds(&self, usual: &FleetCost, large: &FleetCost, members: usize) -> bool {
        let (value, bound) = ((self.value)(large), self.bound(usual, members));
        match self.bound {
            Bound::AtMost => value <= bound,
            Bound::AtLeast => value >= bound,
        }
    }
}

/// The limits that the operators set.
pub const COST_LIMITS: [CostLimit; 6] = [
    CostLimit {
        name: "CPU seconds",
        value: |cost| cost.cpu_seconds,
        is_machine_independent: false,
        factor: 1.4,
        allowance: 0.02,
        allowance_per_thousand: 0.03,
        bound: Bound::AtMost,
    },
    CostLimit {
        name: "peak memory, MB",
        value: |cost| cost.peak_memory_bytes / 1e6,
        is_machine_independent: false,
        factor: 1.5,
        allowance: 8.0,
        allowance_per_thousand: 4.0,
        bound: Bound::AtMost,
    },
    CostLimit {
        name: "descriptors",
        value: |cost| cost.descriptors,
        is_machine_independent: true,
        factor: 2.0,
        allowance: 40.0,
        allowance_per_thousand: 0.0,
        bound: Bound::AtMost,
    },
    CostLimit {
        name: "connections made to members",
        value: |cost| cost.member_connections,
        is_machine_independent: true,
        factor: 2.5,
        allowance: 40.0,
        allowance_per_thousand: 0.0,
        bound: Bound::AtMost,
    },
    CostLimit {
        name: "bytes of lists from discovery, KB",
        value: |cost| cost.list_bytes / 1e3,
        is_machine_independent: true,
        factor: 2.0,
        allowance: 64.0,
        allowance_per_thousand: 500.0,
        bound: Bound::AtMost,
    },
    CostLimit {
        name: "share served, at least",
        value: |cost| cost.served_share,
        is_machine_independent: true,
        factor: 0.85,
        allowance: 0.0,
        allowance_per_thousand: 0.0,
        bound: Bound::AtLeast,
    },
];
