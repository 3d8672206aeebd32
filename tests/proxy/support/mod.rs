//! Runs the program as a process, with mock members, discovery and clients on the loopback interface.

mod client;
mod discovery;
mod discovery_agent;
mod faults;
mod fleet;
mod fleet_limits;
mod member;
mod member_connection;
mod proxy;
pub mod wire;

pub use client::Client;
pub use discovery::{
    MockDiscovery, ScriptedDiscovery, chunk, endpoint_entry, endpoint_entry_in_group, endpoint_update,
    full_list, serving_list,
};
pub use discovery_agent::{AgentMode, DiscoveryAgent};
pub use faults::Faults;
pub use fleet::Fleet;
pub use fleet_limits::COST_LIMITS;
pub use member::{Execution, MemberBehavior, MemberEvent, MockMember};
pub use proxy::{Proxy, configuration, configuration_at, shell_without_probes, wait_for_counter};
pub use wire::{extended_messages, parse_with_types, read_query, simple_query, startup_message, write_query};

use std::time::Duration;

/// The timeout of a blocking read or wait in a test. Only a test that fails reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The reply to a simple query that was served, in the notation of [`Client::read_reply`].
pub const SERVED: &str = "T D(value) C Z";
