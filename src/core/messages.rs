//! The types of the reducer: its inputs ([`Input`]) and the effects that it requests ([`Effect`]).
//!
//! `W` is the work that a member does for a request, and `A` is the member's response. The reducer passes
//! both on without inspecting them.

pub use crate::endpoint_list::ListedMember;

use super::{ConnectionId, Record};
use crate::{EndpointId, LoadReport, Micros, Outcome, Request, RequestId, ResponseMetadata};
use std::net::SocketAddr;
use std::sync::Arc;

/// The id of a job; ids are never reused.
pub type JobId = u64;

/// A request that has been read from a client.
pub struct NewRequest<W> {
    /// The properties that the router needs. `remaining` counts from the step that receives the request.
    pub request: Request,
    /// The work that a member does for the request, shared by all of its attempts.
    pub work: Arc<W>,
}

/// The work of a job.
pub enum JobSpec<W> {
    /// Send an attempt and wait for its response.
    Attempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The work to send.
        work: Arc<W>,
        /// How long this proxy waits for the response, counted from the step that starts the attempt. The
        /// member is sent the time that is left when the attempt is written.
        timeout: Micros,
        /// The attempt must start within this time of the same step, or not at all; [`Micros::MAX`] for no
        /// limit.
        start_within: Micros,
        /// Whether to verify that the connection is alive before the attempt is written to it.
        verify_connection: bool,
    },
    /// Request the member's load report, as a health check.
    Probe,
}

/// How a job ended.
pub struct JobResult<A> {
    /// The outcome, classified by the error code of the response or by the failure of the connection.
    pub outcome: Outcome,
    /// The member's role and replication position, where the response reports them.
    pub metadata: ResponseMetadata,
    /// The member's load report, where the response carries one.
    pub report: LoadReport,
    /// The response for the client; `None` if the attempt yielded none, and for a health check.
    pub answer: Option<A>,
}

impl<A> JobResult<A> {
    /// A result with this outcome and without a response.
    pub fn from_outcome(outcome: Outcome) -> Self {
        let metadata = ResponseMetadata::default();
        let report = LoadReport::default();
        JobResult { outcome, metadata, report, answer: None }
    }
}

/// An input of the reducer: something that happened outside of it.
pub enum Input<W, A> {
    /// A request has been read up to its last byte.
    RequestReceived(NewRequest<W>),
    /// The client of a request has disconnected or has cancelled the request.
    ClientDisconnected(RequestId),
    /// An update of the endpoint list.
    EndpointUpdate {
        /// The revision of the list with this update.
        revision: u64,
        /// Whether `members` is the complete list, so that a member missing from it has been removed.
        complete: bool,
        /// The members that the update names.
        members: Vec<ListedMember>,
    },
    /// A job has ended.
    JobFinished {
        /// The connection that ran the job.
        connection: ConnectionId,
        /// The job.
        job: JobId,
        /// The result.
        result: JobResult<A>,
        /// Whether the connection can be given another job.
        reusable: bool,
    },
    /// The last byte of an attempt has been written to its member.
    AttemptWritten,
    /// A connection whose job was cancelled before its start can be given another job.
    ConnectionIdle(ConnectionId),
    /// The verification of an idle connection before reuse found it dead. The connection is opened again
    /// under the same id.
    StaleConnectionFound,
    /// A connection has been closed, has broken or could not be opened.
    ConnectionClosed(ConnectionId),
    /// The reply to an [`Effect::CancelJob`], or to an [`Effect::CancelUnsentJob`] that cancelled the job.
    JobCancelled {
        /// The job.
        job: JobId,
        /// Whether the last byte of the job may have been handed to the kernel.
        maybe_sent: bool,
        /// Whether the connection can be given another job.
        reusable: bool,
    },
    /// The proxy is shutting down: every request must be answered by the deadline.
    ShutdownRequested {
        /// When the proxy stops running.
        deadline: Micros,
    },
    /// The time that [`Core::next_timer_at`](super::Core::next_timer_at) returned has been reached. The
    /// caller repeats this input while a timer is due, because one step may fire only some of them.
    TimerDue,
}

/// The final answer to a request, of which there is exactly one.
pub enum FinalAnswer<A> {
    /// The request was served with this response.
    Served(A),
    /// The request was rejected and has not been executed, so that a retry is harmless.
    Rejected {
        /// The retry delay advised to the client; 0 for none.
        retry_after: Micros,
    },
    /// The request failed. `maybe_executed` tells whether a retry could execute it a second time.
    Failed {
        /// Whether a member may have executed the request.
        maybe_executed: bool,
    },
}

/// An effect that the reducer requests and that its caller carries out.
pub enum Effect<W, A> {
    /// Open a connection.
    OpenConnection {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The address of the member.
        address: SocketAddr,
    },
    /// Give a connection its next job. A new connection is opened before the job starts.
    StartJob {
        /// The connection.
        connection: ConnectionId,
        /// The id of the job.
        job: JobId,
        /// The work of the job.
        spec: JobSpec<W>,
    },
    /// Cancel a job, and close its connection if that is in use for the job. While the caller carries out
    /// this effect, it replies with an [`Input::JobCancelled`].
    CancelJob {
        /// The connection that runs the job.
        connection: ConnectionId,
        /// The job.
        job: JobId,
    },
    /// Cancel a job if it has not been started. In this case the caller replies with an
    /// [`Input::JobCancelled`] while it carries out this effect.
    CancelUnsentJob {
        /// The connection that the job was given to.
        connection: ConnectionId,
        /// The job.
        job: JobId,
    },
    /// Close a connection that runs no job.
    CloseConnection(ConnectionId),
    /// Give a request its final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: FinalAnswer<A>,
    },
    /// Log that the router has ejected a member.
    EndpointEjected {
        /// The member.
        endpoint: EndpointId,
        /// The failures that caused the ejection, as text for the log.
        cause: String,
    },
    /// Write a line to the log.
    Log(String),
    /// Write this record to the log. The reducer has already counted it.
    Record(Record),
}
