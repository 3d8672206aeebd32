//! Network input and output: the threads that read and write sockets. They handle bytes and connections and
//! report events; the event loop makes all decisions.

pub mod admin;
pub mod client;
mod client_listener;
pub mod discovery;
pub mod member;

pub use client_listener::{ListenError, client_listener};
