//! Races between events. Stand-ins hold back, release, hang or reset on command, so that each order of events
//! is forced and not left to chance; `docs/race-conditions.md` lists them.

mod clients;
mod clock_steps;
mod deadlines;
mod discovery;
mod discovery_outage;
mod members;
mod process_pauses;
mod short_deadlines;
mod shutdown;
