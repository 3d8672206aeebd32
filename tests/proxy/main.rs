//! Tests that run the program as a process, with mock clients, members and discovery on the loopback
//! interface.

#![allow(missing_docs)]

mod batch_needs;
mod daemon;
mod extended;
mod fault_injection;
mod keys;
mod memory_limits;
mod operations;
mod pipelining;
mod platform;
mod races;
mod random_faults;
mod rejections;
mod session_commits;
mod support;
mod system_calls;
