//! The types that the routing policy and its hosts share: requests, endpoints, settings, events and actions.
//!
//! Everything here is plain data. All times are in microseconds, and points in time are on the host's clock,
//! which never goes back, unless the documentation of a field says otherwise.

mod endpoint;
mod event;
mod needs;
mod process_pause;
mod request;
mod session;
mod settings;
mod settings_document;

pub use endpoint::{
    EndpointCounts, EndpointEntry, EndpointId, EndpointState, GroupId, LoadReport, ResponseMetadata, Role,
};
pub use event::{Action, Event, GiveUpReason};
pub(crate) use needs::Needs;
pub use needs::{PerNeed, RoutingCounts};
pub use process_pause::process_pause_margin;
pub use request::{
    AttemptResult, Class, ExecutedStatement, Idempotency, Outcome, Request, RequestId, Requirement,
};
pub use session::SessionInGroup;
pub use settings::{Settings, StaleReadBehavior};
pub use settings_document::SettingsError;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
