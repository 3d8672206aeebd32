//! The module's interface: what a [`Router`](crate::Router) is told at start, what happens to it, and what
//! it asks for.
//!
//! Everything here is plain data. All times are microseconds on the host's clock, which only advances.

/// A point in time, or a span, in microseconds.
pub type Micros = u64;
/// The number of a client request, never used twice by one host.
pub type RequestId = u32;
/// The number of a group: one primary and its replicas, all holding the same data.
pub type GroupId = u32;

/// A server of the store. The value carries no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// What a class of requests needs from the member that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// A write: only the primary takes it.
    Write,
    /// A read of everything written before it arrived.
    Latest,
    /// A read of everything its own session has written.
    ReadYourWrites,
    /// A read of data no older than this when it is sent.
    BoundedStaleness(Micros),
    /// A read that any member may serve.
    Any,
}

/// How often a request of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// It carries a key; the stated circle of servers drops repeats for `window`.
    Keyed {
        /// Whether every server drops repeats, or only the group that got the first attempt.
        across_groups: bool,
        /// For how long after the send of the first attempt that may have run.
        window: Micros,
    },
    /// It must run at most once.
    AtMostOnce,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// What it needs of the serving member.
    pub requirement: Requirement,
    /// How often it may take effect.
    pub idempotency: Idempotency,
    /// An answer within this earns the full worth.
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// The part of the worth that a late answer still earns.
    pub late_value: f64,
}

/// What a member does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadBehavior {
    /// It answers from what it has: the router alone keeps stale answers out.
    Serve,
    /// It turns the read away untouched.
    Reject,
    /// It waits for up to this long to catch up, then turns the read away untouched.
    WaitThenReject(Micros),
}

/// What a router is told when it starts. The one settings type: the adapter and the proxy both read it.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(try_from = "crate::wire::Conf")]
pub struct Settings {
    /// Routers that share the servers, this one included.
    pub instances: u32,
    /// The zone this router sits in.
    pub zone: u32,
    /// The shortest span between two batches of events.
    pub resolution: Micros,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// For each tenant, the requests a second over all routers that count in full.
    pub quotas: Vec<f64>,
    /// The part of its worth that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// What members do when they are behind.
    pub stale_read_behavior: StaleReadBehavior,
    /// Session commits are remembered by the router (else the request says when its session last wrote).
    pub remember_commits: bool,
    /// At most this many attempts for one request.
    pub max_attempts: u32,
    /// A refusal may say when to come back.
    pub retry_after: bool,
    /// The longest wait a client honours.
    pub max_retry_after: Micros,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Only a server listed as draining is out of bounds; one that is gone is not.
    pub removed_endpoints_usable: bool,
    /// The list is sent only when asked for.
    pub list_on_request: bool,
    /// The share of its capacity that a server has at least when it starts.
    pub slow_start_capacity: f64,
    /// The time within which a started server reaches its full capacity.
    pub slow_start_duration: Micros,
    /// A cold server falls over when sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// The price of one zone crossing for each request, as a share of the result.
    pub cross_zone_cost: f64,
    /// The names of the classes, by index.
    pub class_names: Vec<String>,
    /// The names of the values in a load report, in order.
    pub load_report_fields: Vec<String>,
    /// The time from which the simulator's wire counts positions.
    pub position_epoch: Micros,
    /// A connection that is not up within this has failed.
    pub connect_timeout: Micros,
    /// A member closes a connection that was idle for this long.
    pub idle_timeout: Micros,
    /// The most requests that one router may hold open.
    pub max_pending: usize,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The server.
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

/// The part a member plays in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// What an answer says of the member that gave it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseMetadata {
    /// Its role when it answered.
    pub role: Option<Role>,
    /// The time up to which it has all commits; for a write that went through, the time of its commit.
    pub position: Option<Micros>,
}

/// What a member reported of itself, as of some time ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Its role.
    pub role: Option<Role>,
    /// The time up to which it had all commits.
    pub position: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The member answered with an error; it may have run.
    Error,
    /// Turned away unseen for want of room.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Turned away untouched: not the primary, or too far behind.
    NotServable,
}

/// A client request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// The group that holds its data.
    pub group: GroupId,
    /// The session, 0 for none.
    pub session: u64,
    /// The tenant.
    pub tenant: usize,
    /// How long ago the session's last write was committed, where the client says so.
    pub time_since_write: Option<Micros>,
    /// How long the client still waits.
    pub remaining: Micros,
    /// The client has tried before.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// The server it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since its send.
    pub elapsed: Micros,
    /// What the answer says of the member.
    pub metadata: ResponseMetadata,
    /// The request has had its final answer.
    pub finished: bool,
    /// The report that came with the answer, if any.
    pub report: LoadReport,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    EndpointUpdate {
        /// The entries are the whole list: a server not among them is gone.
        full: bool,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// A call for the list failed; the old one stays.
    EndpointListFailed,
    /// A request came in; it is owed one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A probe ended.
    Probed {
        /// The server.
        endpoint: EndpointId,
        /// Whether it answered.
        answered: bool,
        /// Its report.
        report: LoadReport,
    },
    /// The client left; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A timer came due.
    TimerFired(u32),
}

/// Something the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out.
        timeout: Micros,
        /// It must begin within this, [`Micros::MAX`] for any time: else it is never sent.
        start_within: Micros,
    },
    /// Final answer: not served, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask a server for its report.
    Probe(EndpointId),
    /// Set a timer.
    SetTimer {
        /// Handed back when it comes due.
        token: u32,
        /// From now.
        after: Micros,
    },
    /// Subscribe to the list, where it comes only on request.
    Subscribe,
    /// A line for people.
    Log(String),
}

impl Default for Settings {
    /// One router alone, members that wait briefly when behind, nothing that costs anything.
    fn default() -> Self {
        Settings {
            instances: 1,
            zone: 0,
            resolution: 1000,
            classes: Vec::new(),
            quotas: Vec::new(),
            over_quota_weight: 1.0,
            stale_read_behavior: StaleReadBehavior::Reject,
            remember_commits: false,
            max_attempts: 6,
            retry_after: true,
            max_retry_after: 1_000_000,
            probes: true,
            cancel: true,
            removed_endpoints_usable: false,
            list_on_request: false,
            slow_start_capacity: 0.15,
            slow_start_duration: 20_000_000,
            overload_multiple: 2.0,
            overload_window: 2_000_000,
            cross_zone_cost: 0.0,
            class_names: Vec::new(),
            load_report_fields: Vec::new(),
            position_epoch: 0,
            connect_timeout: 250_000,
            idle_timeout: 15_000_000,
            max_pending: 40_000,
        }
    }
}

impl Settings {
    /// The number of the class with this name.
    pub fn class(&self, name: &[u8]) -> Option<usize> {
        self.class_names.iter().position(|n| n.as_bytes() == name)
    }
}
