//! The router's state: its endpoints, their groups, the pending requests, and the commits of sessions. The
//! policy reads and updates these tables and records; they make no decisions.

mod clock_step;
mod endpoint;
mod endpoint_table;
mod group;
mod pending_request;
mod per_role;
mod probe_schedule;
mod serving_capacity;
mod session_commits;
mod topology;
mod usable_counts;

#[cfg(test)]
mod tests;

pub(crate) use clock_step::ClockStep;
pub(crate) use endpoint::{Endpoint, Failure, OutstandingAttempt, SlowStartBudget};
pub(crate) use endpoint_table::EndpointIndex;
pub(crate) use group::Group;
pub(crate) use pending_request::{DeferredRetry, PendingRequest};
pub(crate) use per_role::PerRole;
pub(crate) use probe_schedule::{ProbeSchedule, ProbeTimes};
pub(crate) use serving_capacity::ServingCapacity;
pub(crate) use session_commits::{Arrival, SessionCommits};
pub(crate) use topology::Topology;
pub(crate) use usable_counts::UsableCounts;
