//! Client requests, their classes, and the attempts made for them.

use crate::{EndpointId, GroupId, LoadReport, Micros, ResponseMetadata, Role};

/// The number of a client request, never reused by one host.
pub type RequestId = u32;

/// What a class of requests requires of the endpoint that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// A write: only the primary accepts it.
    Write,
    /// A read of everything written before it arrived.
    Latest,
    /// A read of everything its own session has written.
    ReadYourWrites,
    /// A read of data no older than this when it is sent.
    BoundedStaleness(Micros),
    /// A read that any endpoint may serve.
    Any,
}

/// How often a request of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// It carries an idempotency key, by which endpoints drop repeats for `window`.
    Keyed {
        /// Whether every endpoint drops repeats, or only those of the group that got the first attempt.
        across_groups: bool,
        /// For how long after the first attempt that may have run was sent.
        window: Micros,
    },
    /// It must run at most once.
    AtMostOnce,
}

impl Idempotency {
    /// Whether a client may safely retry the request anywhere, even if it has run.
    pub fn is_repeatable_anywhere(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { across_groups: true, .. })
    }
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// What it requires of the endpoint that serves it.
    pub requirement: Requirement,
    /// How often it may take effect.
    pub idempotency: Idempotency,
    /// An answer within this earns the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits in total.
    pub deadline: Micros,
    /// The value of an answer within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The part of the priority weight that a later answer still earns.
    pub late_value: f64,
}

impl Class {
    /// The role of the endpoints that serve it: the primary, where only the primary can.
    pub fn role(&self) -> Role {
        match self.requirement {
            Requirement::Write | Requirement::Latest => Role::Primary,
            Requirement::ReadYourWrites | Requirement::BoundedStaleness(_) | Requirement::Any => {
                Role::Replica
            }
        }
    }
}

/// A client request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// The group that stores its data.
    pub group: GroupId,
    /// The session, 0 for none.
    pub session: u64,
    /// The tenant.
    pub tenant: usize,
    /// How long ago the session's last write was committed, where the client provides it.
    pub time_since_write: Option<Micros>,
    /// The position that it must see, where the client provides it.
    pub min_position: Option<Micros>,
    /// How long the client still waits.
    pub remaining: Micros,
    /// Whether this is a retry by the client.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Rejected without being executed, as the endpoint's queue was full.
    RejectedByMember,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Never sent, as this machine had no port, route, memory, descriptor or thread for it: that says nothing
    /// about the endpoint.
    LocalError,
    /// Rejected without being executed: not the primary, or too far behind.
    NotServable,
}

impl Outcome {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Ok => "ok",
            Outcome::Error => "error",
            Outcome::RejectedByMember => "rejected_by_member",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NeverSent => "never_sent",
            Outcome::LocalError => "local_error",
            Outcome::NotServable => "not_servable",
        }
    }

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        use Outcome::{ConnectFailed, LocalError, NeverSent, NotServable, RejectedByMember};
        !matches!(self, RejectedByMember | ConnectFailed | NeverSent | LocalError | NotServable)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// The endpoint it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since its send.
    pub elapsed: Micros,
    /// What the response reports about the endpoint.
    pub metadata: ResponseMetadata,
    /// Whether the request has had its final answer.
    pub finished: bool,
    /// The load report that came with the response, if any.
    pub report: LoadReport,
}
