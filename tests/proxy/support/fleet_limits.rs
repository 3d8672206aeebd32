//! Limits of the resources that a proxy may use in a large fleet, relative to a fleet of the usual size.

use super::fleet::FleetCost;

/// The limit of one value of [`FleetCost`]: `factor` times the value in a fleet of the usual size, plus
/// `allowance`, plus `allowance_per_thousand` for each thousand members.
pub struct CostLimit {
    pub name: &'static str,
    pub value: fn(&FleetCost) -> f64,
    /// Whether the value is the same on every machine, so that a test may check it.
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
    /// Returns the highest, or the lowest, permitted value in a fleet with this many members.
    pub fn bound(&self, usual: &FleetCost, members: usize) -> f64 {
        let thousands = members as f64 / 1000.0;
        (self.value)(usual) * self.factor + self.allowance + self.allowance_per_thousand * thousands
    }

    /// Returns whether a fleet with this many members is within the limit.
    pub fn holds(&self, usual: &FleetCost, large: &FleetCost, members: usize) -> bool {
        let (value, bound) = ((self.value)(large), self.bound(usual, members));
        match self.bound {
            Bound::AtMost => value <= bound,
            Bound::AtLeast => value >= bound,
        }
    }
}

/// The limits that the operators require.
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
