//! The routing policy, through the public interface of a router.

mod admission;
mod endpoint_list;
mod fleet;
mod freshness;
mod harness;
mod health;
mod outage;
mod primary;
mod probing;
mod rules;
mod selection;
mod slow_start;
