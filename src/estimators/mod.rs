//! Estimators that the routing policy reads: decaying rates, moving averages and baselines. They measure
//! only; the decisions are made in `policy`.

mod failure_rate;
mod group_clock;
mod latency_baseline;
mod occupancy;
mod queueing_delay;
mod rate;
mod replication;
mod traffic;

#[cfg(test)]
mod tests;

pub(crate) use failure_rate::FailureRate;
pub(crate) use group_clock::{GroupClock, PrimaryPosition};
pub(crate) use latency_baseline::LatencyBaselines;
pub(crate) use occupancy::Occupancy;
pub(crate) use queueing_delay::{GroupQueueingDelay, QueueingDelay};
pub(crate) use rate::DecayingRate;
pub(crate) use replication::ReplicationEstimate;
pub(crate) use traffic::Traffic;
