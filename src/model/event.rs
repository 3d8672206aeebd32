//! Events that a [`Router`](crate::Router) handles, and actions that it requests from its host.

use crate::{AttemptResult, EndpointEntry, EndpointId, LoadReport, Micros, Request, RequestId};

/// An event for the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointUpdate {
        /// Whether the entries are the complete list: an endpoint that is missing from it is removed.
        full: bool,
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
    Probed {
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
    },
    /// Final answer: failed, the request may have been executed.
    Fail(RequestId),
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
    /// A line for the operator's log.
    Log(String),
}
