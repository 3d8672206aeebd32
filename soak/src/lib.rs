//! The soak test: runs real liftrelay processes on loopback between emulated clients, members and discovery.
//! A seed determines the settings, the injected faults, the signals and the changes of the endpoint list.
//! The rules of the protocol documentation are checked on what clients, members and discovery recorded. A
//! violation is reported with its seed and the events of one affected request.

mod actions;
mod batch_checker;
pub mod batch_client;
pub mod checker;
pub mod client;
pub mod discovery;
mod extended_session;
pub mod flood;
pub mod history;
pub mod member;
pub mod notices;
pub mod process;
pub mod random;
pub mod report;
pub mod run;
pub mod scenario;
pub mod wire;
