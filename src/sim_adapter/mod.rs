//! The simulator's protocol: batches of events in, batches of actions out. Translates only, decides nothing.

mod actions;
mod codes;
mod error;
mod events;
mod fields;
mod frame;
mod host;

pub use error::WireError;
pub use frame::{Batch, read_batch, write_reply};
pub use host::RouterHost;
