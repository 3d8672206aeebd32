//! Tests of race conditions. Mock members and discovery delay, release or drop messages when the test says
//! so, which determines the order of events. `docs/race-conditions.md` lists the races.

mod clients;
mod clock_steps;
mod deadlines;
mod discovery;
mod discovery_outage;
mod members;
mod process_pauses;
mod short_deadlines;
mod shutdown;
