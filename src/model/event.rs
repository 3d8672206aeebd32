//! Events that a [`Router`](crate::Router) handles, and actions that it requests from its host.

use crate::{AttemptResult, EndpointEntry, EndpointId, LoadReport, Micros, PerNeed, Request, RequestId};

/// An event for the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list, or changes of it, were received.
    EndpointUpdate {
        /// Whether the entries are the complete list, so that endpoints that are missing from it are removed.
        complete: bool,
        /// The entries of the list, or the changed ones.
        endpoints: Vec<EndpointEntry>,
    },
    /// A subscription to the endpoint list failed; the previous list stays in use.
    EndpointListFailed,
    /// A request arrived. The router must give it exactly one final answer, unless the client disconnects.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check ended.
    ProbeEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// Whether the endpoint answered.
        answered: bool,
        /// The load report in the answer.
        report: LoadReport,
    },
    /// A health check could not be sent, for a reason that does not concern the endpoint.
    ProbeNotSent(EndpointId),
    /// The client of a request disconnected, so the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// The timer with this token fired.
    TimerFired(u32),
}

/// Why a request gets a final answer without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// The class of the request is unknown.
    UnknownClass,
    /// Too little time is left for an attempt whose answer would still be useful.
    NoTimeLeft,
    /// All attempts that the settings allow have been made.
    AttemptsUsed,
    /// The request may have run, and its class does not allow it to run again, or not any more.
    MayHaveRun,
    /// No endpoint of the request's group may be used.
    NoUsableEndpoint,
    /// No endpoint admitted the request: its load was shed.
    Shed,
    /// The request was held because no endpoint could be selected, until too little time was left to hold it.
    HoldEnded,
    /// The retry budget does not cover another attempt.
    RetryBudget,
    /// Too many requests are pending.
    TooManyPending,
    /// The deadline of the request passed before the router gave a final answer.
    Deadline,
}

impl GiveUpReason {
    /// The name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpReason::UnknownClass => "unknown_class",
            GiveUpReason::NoTimeLeft => "no_time_left",
            GiveUpReason::AttemptsUsed => "attempts_used",
            GiveUpReason::MayHaveRun => "may_have_run",
            GiveUpReason::NoUsableEndpoint => "no_usable_endpoint",
            GiveUpReason::Shed => "shed",
            GiveUpReason::HoldEnded => "hold_ended",
            GiveUpReason::RetryBudget => "retry_budget",
            GiveUpReason::TooManyPending => "too_many_pending",
            GiveUpReason::Deadline => "deadline",
        }
    }
}

/// An action that the router requests from its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an endpoint.
    Send {
        /// The request to send.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// How long to wait for the answer, in microseconds.
        timeout: Micros,
        /// How long the attempt may wait before it is sent, in microseconds; [`Micros::MAX`] for no limit.
        /// After this time it is not sent at all.
        start_within: Micros,
    },
    /// Answer a request as rejected: the client may safely retry it.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// The retry delay to advise to the client, in microseconds; 0 for no advice.
        retry_after: Micros,
        /// Why the request is not served.
        reason: GiveUpReason,
        /// How many endpoints each need ruled out when the request was last considered.
        ruled_out: PerNeed<u64>,
    },
    /// Answer a request as failed: it may have been executed.
    Fail {
        /// The request to answer.
        request: RequestId,
        /// Why the request is not served.
        reason: GiveUpReason,
        /// How many endpoints each need ruled out when the request was last considered.
        ruled_out: PerNeed<u64>,
    },
    /// Stop waiting for the answer of an attempt.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Send a health check to an endpoint, which asks for its load report.
    Probe(EndpointId),
    /// Set a timer.
    SetTimer {
        /// The token to return in [`Event::TimerFired`].
        token: u32,
        /// The delay after which the timer fires, in microseconds.
        after: Micros,
    },
    /// Subscribe to the endpoint list. Requested only by routers whose settings say that the list is sent on
    /// request.
    Subscribe,
    /// Log that an endpoint was ejected as an outlier.
    EndpointEjected {
        /// The endpoint that was ejected.
        endpoint: EndpointId,
        /// The kind of failure that led to the ejection, as logged.
        cause: String,
    },
    /// A line for the operator's log.
    Log(String),
}
