//! The real program as a process, between stand-ins for its clients, members and discovery.

#![allow(missing_docs)]

mod daemon;
mod extended;
mod fault_injection;
mod operations;
mod pipelining;
mod platform;
mod races;
mod random_faults;
mod support;
mod system_calls;
