//! The parts of PostgreSQL's wire protocol, version 3, that the connections to clients and members use: an
//! incremental, length-checked reader of messages, parsers of their bodies, and builders of the messages that
//! the proxy sends.
//!
//! Only [`FrameReader::fill`] does I/O. No function panics, whatever bytes were received.

mod build;
mod error;
mod frame_reader;
pub mod message_tags;
mod parse;
pub mod sqlstate;
pub mod statement;

pub use build::{
    put_error_response, put_message, put_ready_for_query, put_startup_response, query_message,
    startup_message,
};
pub use error::ProtocolError;
pub use frame_reader::{
    FrameReader, MAX_MESSAGE_BYTES, STARTUP_FORMS, StartupForm, StartupKind, StartupPacket,
};
pub use parse::{error_field, error_sqlstate, is_well_formed, message_body, single_column, split_c_string};

/// The length of a message's header: its type and its length field.
const HEADER_BYTES: usize = 5;

#[cfg(test)]
mod tests;
