//! Events that a [`Router`](crate::Router) handles, and actions that it requests from its host.

use crate::{AttemptResult, EndpointEntry, EndpointId, LoadReport, Micros, Request, RequestId};

/// An event for the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointUpdate {
        /// Whether the entries are the complete list: an endpoint that is missing from it is removed.
        complete: bool,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// Polling the endpoint list failed; the previous list stays in use.
    EndpointListFailed,
    /// A request arrived; it must get one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A health check ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it answered.
        answered: bool,
        /// Its load report.
        report: LoadReport,
    },
    /// A health check could not be sent, for a reason that does not concern the endpoint.
    ProbeNotSent(EndpointId),
    /// The client disconnected; no answer is required any more.
    ClientDisconnected(RequestId),
    /// A timer fired.
    TimerFired(u32),
}

/// Why a request gets a final answer without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Its class is not known.
    UnknownClass,
    /// Too little time is left for an attempt.
    NoTimeLeft,
    /// All attempts that the settings allow have been made.
    AttemptsUsed,
    /// It may have run, and its class does not allow a repeat.
    MayHaveRun,
    /// No endpoint of its group may be used.
    NoUsableEndpoint,
    /// No endpoint admits it now: load is shed.
    Shed,
    /// It was held until shortly before its deadline, as nothing could take it.
    HoldEnded,
    /// The retry budget does not cover another attempt.
    RetryBudget,
    /// Too many requests are pending.
    TooManyPending,
    /// Its deadline passed without an answer of the router.
    Deadline,
}

impl GiveUpReason {
    /// The name in logs and metrics.
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

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The timeout of the attempt.
        timeout: Micros,
        /// It must start within this time, [`Micros::MAX`] for any time: else it is never sent.
        start_within: Micros,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The retry delay advised to the client; 0 for no advice.
        retry_after: Micros,
        /// Why it is not served.
        reason: GiveUpReason,
    },
    /// Final answer: failed, the request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it is not served.
        reason: GiveUpReason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask an endpoint for its load report.
    Probe(EndpointId),
    /// Set a timer.
    SetTimer {
        /// Returned when the timer fires.
        token: u32,
        /// The delay from now.
        after: Micros,
    },
    /// Subscribe to the endpoint list, where it is sent only on request.
    Subscribe,
    /// For the operator's log: the endpoint is avoided from now on.
    EndpointEjected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its failures, in words.
        cause: String,
    },
    /// A line for the operator's log.
    Log(String),
}
