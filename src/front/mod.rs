//! The fronts: each turns what clients send into requests for the core, and final answers into replies. What
//! they have in common is the [`ConnectionManager`]: connections, the pipelines of their commands, cancel
//! requests and closing. What differs is the [`Protocol`].

mod connection;
mod connection_manager;
mod effect;
mod final_answer;
mod pipeline;
pub mod platform;
pub mod postgres;
mod protocol;
mod request_registry;

pub use connection_manager::ConnectionManager;
pub use effect::FrontEffect;
pub use protocol::{CommandStep, Protocol, ServiceState};
pub use request_registry::RequestRegistry;
