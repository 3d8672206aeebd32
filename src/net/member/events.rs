//! What connections to members report to their owner.

use crate::core::Input;
use crate::exchange::{MemberRequest, MemberResponse};
use std::sync::Arc;

/// Something that happened to a connection or to its job.
pub type MemberEvent = Input<MemberRequest, MemberResponse>;

/// Where all connections send their events; a send may block until there is room.
#[derive(Clone)]
pub struct MemberEvents(Arc<dyn Fn(MemberEvent) + Send + Sync>);

impl MemberEvents {
    /// Passes each event to this function, on the thread of the connection.
    pub fn new(send: impl Fn(MemberEvent) + Send + Sync + 'static) -> Self {
        MemberEvents(Arc::new(send))
    }

    /// Sends an event.
    pub(super) fn send(&self, event: MemberEvent) {
        (self.0)(event);
    }
}
