//! Events that member connections report to their owner.

use crate::core::Input;
use crate::exchange::{MemberRequest, MemberResponse};
use std::sync::Arc;

/// Something that happened to a connection or to its job.
pub type MemberEvent = Input<MemberRequest, MemberResponse>;

/// The sink of the events of all connections; a send may block until there is capacity.
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
