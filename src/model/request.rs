//! Client requests, their classes, and the attempts made for them.

use crate::{EndpointId, GroupId, LoadReport, Micros, ResponseMetadata, Role};

/// The number of a client request. A host never reuses a number.
pub type RequestId = u32;

/// What a class of requests requires of the endpoint that serves them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// A write: only the primary accepts it.
    Write,
    /// A read that must see every write committed before it arrived.
    Latest,
    /// A read that must see every earlier write of its own session.
    ReadYourWrites,
    /// A read of data that is no older than this when the read is sent.
    BoundedStaleness(Micros),
    /// A read that any endpoint may serve.
    Any,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing the request again is harmless.
    Idempotent,
    /// The request carries an idempotency key, by which endpoints recognize and drop repeats for `window`.
    Keyed {
        /// Whether all endpoints drop repeats; otherwise only those of the group that got the first attempt.
        across_groups: bool,
        /// How long repeats are dropped, from the sending of the first attempt that may have run.
        window: Micros,
    },
    /// The request must not be executed more than once.
    AtMostOnce,
}

impl Idempotency {
    /// How often two statements may be executed together.
    pub fn and(self, other: Idempotency) -> Idempotency {
        use Idempotency::{AtMostOnce, Idempotent, Keyed};
        match (self, other) {
            (AtMostOnce, _) | (_, AtMostOnce) => AtMostOnce,
            (Idempotent, other) => other,
            (keyed, Idempotent) => keyed,
            (
                Keyed { across_groups, window },
                Keyed { across_groups: other_across, window: other_window },
            ) => Keyed { across_groups: across_groups && other_across, window: window.min(other_window) },
        }
    }

    /// Whether a client may safely retry the request at any endpoint, even if it has been executed.
    pub fn is_repeatable_anywhere(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Keyed { across_groups: true, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// What requests of this class require of the endpoint that serves them.
    pub requirement: Requirement,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// The time within which an answer has the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits for an answer in total.
    pub deadline: Micros,
    /// The value of an answer within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The value of an answer after the latency objective, as a share of the priority weight from 0 to 1.
    pub late_value: f64,
}

impl Class {
    /// The role of the endpoints that are selected for this class: the primary if only the primary can serve
    /// it.
    pub fn role(&self) -> Role {
        match self.requirement {
            Requirement::Write | Requirement::Latest => Role::Primary,
            Requirement::ReadYourWrites | Requirement::BoundedStaleness(_) | Requirement::Any => {
                Role::Replica
            }
        }
    }
}

/// A statement that a request executes, or several of them with the same class and session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// The index of the class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// The session whose data the statement reads or writes; 0 for none, or for several whose commits the
    /// other fields cover.
    pub session: u64,
    /// How long before the arrival of the request the session's last write was committed, if known.
    pub time_since_write: Option<Micros>,
    /// If none of the session's commits is known: the time on the host's clock from which on they would be.
    pub commits_known_since: Option<Micros>,
    /// The position that the endpoint must have reached, if known.
    pub min_position: Option<Micros>,
    /// Whether the statement carries an idempotency key. Without one, no endpoint recognizes a repeat,
    /// whatever the class says.
    pub has_key: bool,
}

impl ExecutedStatement {
    /// A statement of this class and session, without a key and with nothing known of the session's commits.
    pub fn new(class: usize, session: u64) -> Self {
        ExecutedStatement { class, session, ..ExecutedStatement::default() }
    }

    /// How often the statement, which is of this class, may be executed.
    pub(crate) fn idempotency(&self, class: &Class) -> Idempotency {
        match class.idempotency {
            Idempotency::Keyed { .. } if !self.has_key => Idempotency::AtMostOnce,
            idempotency => idempotency,
        }
    }
}

/// A client request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The number of the request.
    pub id: RequestId,
    /// The index of the class under which the request is accounted, with its price, its priority and its
    /// latency. What the request requires of an endpoint follows from its statements alone.
    pub class: usize,
    /// The statements that the request executes. Their order has no meaning.
    pub statements: Vec<ExecutedStatement>,
    /// The group that stores the data of the request.
    pub group: GroupId,
    /// The index of the tenant in [`Settings::quotas`](crate::Settings::quotas).
    pub tenant: usize,
    /// How long the client still waits for an answer, counted from the arrival of the request.
    pub remaining: Micros,
    /// Whether the client has sent the same request before.
    pub is_retry: bool,
}

impl Request {
    /// A request that executes one statement, and is accounted under the statement's class.
    pub fn executing(statement: ExecutedStatement) -> Self {
        Request { class: statement.class, statements: vec![statement], ..Request::default() }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Ok,
    /// The endpoint answered with an error. The request may have been executed.
    Error,
    /// The endpoint rejected the request without executing it because its queue was full.
    RejectedByMember,
    /// The endpoint did not answer within the timeout. The request may have been executed.
    TimedOut,
    /// No connection could be established. The request was not executed.
    ConnectFailed,
    /// The connection broke before the answer. The request may have been executed.
    Reset,
    /// The router cancelled the attempt. The request may have been executed.
    Cancelled,
    /// The attempt was not sent.
    NeverSent,
    /// The attempt was not sent because this machine lacked a port, route, memory, descriptor or thread for
    /// it. The outcome is no evidence of the endpoint's health.
    LocalError,
    /// The endpoint rejected the request without executing it because it is not the primary, or because it
    /// has not reached the required position.
    NotServable,
}

impl Outcome {
    /// The name of the outcome in logs and metrics.
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

    /// Whether the request may have been executed by the attempt.
    pub fn may_have_run(self) -> bool {
        use Outcome::{ConnectFailed, LocalError, NeverSent, NotServable, RejectedByMember};
        !matches!(self, RejectedByMember | ConnectFailed | NeverSent | LocalError | NotServable)
    }
}

/// The result of an attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request that the attempt was made for.
    pub request: RequestId,
    /// The number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time from the sending of the attempt to its end, in microseconds.
    pub elapsed: Micros,
    /// What the response reports about the endpoint; empty without a response.
    pub metadata: ResponseMetadata,
    /// Whether the request has had its final answer, so that the router makes no further attempt.
    pub finished: bool,
    /// The load report that came with the response; empty without one.
    pub report: LoadReport,
}
