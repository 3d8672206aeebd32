//! Tests of the routing policy through the public interface of the router.

mod admission;
mod clock_steps;
mod endpoint_list;
mod fleet;
mod freshness;
mod harness;
mod health;
mod outage;
mod overload;
mod primary;
mod probing;
mod queue_model;
mod quiet;
mod rules;
mod selection;
mod slow_start;
