//! The sockets: threads that read and write. They handle bytes and connections, and report events;
//! they make no decisions.

pub mod admin;
pub mod client;
mod client_listener;
pub mod discovery;
pub mod member;

pub use client_listener::{ListenError, client_listener};
