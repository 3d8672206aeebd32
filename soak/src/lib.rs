//! The soak: real liftrelay processes on loopback between emulated clients, members and discovery. A seed
//! draws settings, faults, signals and changes of the endpoint list; the rules of the protocol pages are checked on
//! what clients, members and discovery saw, and a broken one is shown with its seed and one request's way.

mod actions;
pub mod checker;
pub mod client;
pub mod discovery;
pub mod history;
pub mod member;
pub mod notices;
pub mod process;
pub mod random;
pub mod report;
pub mod run;
pub mod scenario;
pub mod wire;
