//! Events that member connections report to the event loop.

use crate::core::Input;
use crate::exchange::{MemberRequest, MemberResponse};
use std::sync::Arc;

/// An event of a connection or of its job, as an input of the reducer.
pub type MemberEvent = Input<MemberRequest, MemberResponse>;

/// The sink of the events of all connections. A send may block until there is capacity.
#[derive(Clone)]
pub struct MemberEvents(Arc<dyn Fn(MemberEvent) + Send + Sync>);

impl MemberEvents {
    /// Creates a sink that passes each event to this function, on the thread of the job that caused it.
    pub fn new(send: impl Fn(MemberEvent) + Send + Sync + 'static) -> Self {
        MemberEvents(Arc::new(send))
    }

    pub(super) fn send(&self, event: MemberEvent) {
        (self.0)(event);
    }
}
