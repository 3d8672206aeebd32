//! Endpoints, which are the members of replicated groups, as described by the endpoint list and by their own
//! responses.

use crate::Micros;

/// The number of a group: one primary and its replicas, all with the same data.
pub type GroupId = u32;

/// Identifies an endpoint. The value has no meaning beyond identity.
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
    /// The name of the state in logs.
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
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The group that the endpoint belongs to.
    pub group: GroupId,
    /// The number of the zone that the endpoint runs in.
    pub zone: u32,
    /// Whether the endpoint is in service, draining or removed.
    pub state: EndpointState,
    /// Whether the list names the endpoint as the primary. The list may be out of date or wrong.
    pub primary_hint: bool,
    /// When the endpoint last started, on the members' clock; 0 for long ago.
    pub started_at: Micros,
}

/// The role of an endpoint in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Applies the commits of the primary.
    Replica,
}

/// What a response reports about its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseMetadata {
    /// The role of the endpoint when it answered, if reported.
    pub role: Option<Role>,
    /// The replication position: the time on the group's clock up to which the endpoint has applied all
    /// commits. For a successful write, the time of its commit.
    pub position: Option<Micros>,
}

/// The load report of an endpoint. It may be out of date when it is received.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The role of the endpoint at the time of the report, if reported.
    pub role: Option<Role>,
    /// The time on the group's clock up to which the endpoint had applied all commits at the time of the
    /// report, if reported.
    pub position: Option<Micros>,
}

/// The number of endpoints in a router's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints in the list that are not removed.
    pub listed: usize,
    /// Listed endpoints that are ejected, down or draining.
    pub avoided: usize,
}
