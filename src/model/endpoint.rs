//! Endpoints: the members of replicated groups, as described by the endpoint list and their own responses.

use crate::Micros;

/// The number of a group: one primary and its replicas, all with the same data.
pub type GroupId = u32;

/// Identifies an endpoint. The value carries no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Draining: no new work may be sent.
    Draining,
    /// Removed from service.
    #[default]
    Removed,
}

impl EndpointState {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Whether it is in service.
    pub state: EndpointState,
    /// Whether the list names it as the primary; the list may be late or wrong.
    pub primary_hint: bool,
    /// Its last start, 0 for long ago.
    pub started_at: Micros,
}

/// The role of an endpoint in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It accepts writes.
    Primary,
    /// It replicates from the primary.
    Replica,
}

/// What a response reports about its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseMetadata {
    /// Its role when it answered.
    pub role: Option<Role>,
    /// The time up to which it has all commits; for a write that succeeded, the time of its commit.
    pub position: Option<Micros>,
}

/// The load report of an endpoint, as of some time ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Its role.
    pub role: Option<Role>,
    /// The time up to which it had all commits.
    pub position: Option<Micros>,
}

/// How many endpoints a router knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints in the list.
    pub listed: usize,
    /// Those of them that are avoided at present.
    pub avoided: usize,
}
