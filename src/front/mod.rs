//! The fronts: each turns client commands into requests for the core, and final answers into replies.
//!
//! All fronts share the [`ConnectionManager`], which handles connections, the pipelines of their commands,
//! cancel requests and closing. They differ in their [`Protocol`].

mod connection;
mod connection_manager;
mod effect;
mod executed_ids;
mod final_answer;
mod pipeline;
pub mod platform;
pub mod postgres;
mod protocol;
mod request_registry;

pub use connection_manager::ConnectionManager;
pub use effect::FrontEffect;
pub use protocol::{CommandStep, Protocol, ServiceState};
pub use request_registry::{RefusedId, RequestRegistry};
