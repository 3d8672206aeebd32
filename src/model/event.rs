//! What happens to a [`Router`](crate::Router), and what it asks its host to do.

use crate::{AttemptResult, EndpointEntry, EndpointId, LoadReport, Micros, Request, RequestId};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointUpdate {
        /// Whether the entries are the whole list: an endpoint that is not among them is removed.
        full: bool,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// A call for the endpoint list failed; the old one stays.
    EndpointListFailed,
    /// A request came in; it is owed one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it answered.
        answered: bool,
        /// Its report.
        report: LoadReport,
    },
    /// The client disconnected; nothing more is owed.
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
        /// The timeout of the attempt.
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
    /// Ask an endpoint for its report.
    Probe(EndpointId),
    /// Set a timer.
    SetTimer {
        /// Handed back when it comes due.
        token: u32,
        /// From now.
        after: Micros,
    },
    /// Subscribe to the endpoint list, where it comes only on request.
    Subscribe,
    /// A line for the operator's log.
    Log(String),
}
