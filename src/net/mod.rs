//! The sockets: threads that read and write. They know bytes and connections, and pass what happens on as
//! events; none of them decides anything.

pub mod admin;
pub mod client;
mod client_listener;
pub mod discovery;
pub mod member;

pub use client_listener::{ListenError, client_listener};
