//! Endpoints: the members of replicated groups, as the endpoint list and their own answers describe them.

use crate::Micros;

/// The number of a group: one primary and its replicas, all holding the same data.
pub type GroupId = u32;

/// Identifies an endpoint. The value carries no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// What the endpoint list says of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed from service.
    #[default]
    Removed,
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
    /// Whether the list takes it for the primary; late and sometimes wrong.
    pub primary_hint: bool,
    /// Its last start, 0 for long ago.
    pub started_at: Micros,
}

/// The role of an endpoint in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// What a response tells of the endpoint that sent it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseMetadata {
    /// Its role when it answered.
    pub role: Option<Role>,
    /// The time up to which it has all commits; for a write that went through, the time of its commit.
    pub position: Option<Micros>,
}

/// What an endpoint reported of itself, as of some time ago.
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
    /// Those of them that are avoided now.
    pub avoided: usize,
}
