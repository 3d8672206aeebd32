//! The simulator's protocol: decodes batches of events for routers, and encodes the actions of the routers.
//! The adapter makes no routing decisions.

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
