//! The types of the reducer: its inputs ([`Input`]) and the effects that it requests ([`Effect`]).
//!
//! `W` is the work that a request asks of a member and `A` is its response; the reducer passes both on
//! without inspecting them.

pub use crate::endpoint_list::ListedMember;

use super::{ConnectionId, Record};
use crate::{EndpointId, LoadReport, Micros, Outcome, Request, RequestId, ResponseMetadata};
use std::net::SocketAddr;
use std::sync::Arc;

/// The id of a job; ids are never reused.
pub type JobId = u64;

/// A request that has been read from a client.
pub struct NewRequest<W> {
    /// The properties that the router needs; `remaining` counts from now.
    pub request: Request,
    /// The work that it asks of a member.
    pub work: Arc<W>,
}

/// The kind of work that a connection does next.
pub enum JobSpec<W> {
    /// Send an attempt and wait for its response.
    Attempt {
        /// The request that it serves.
        request: RequestId,
        /// The work to send.
        work: Arc<W>,
        /// How long this proxy waits for the response, from the step that starts the attempt. The member is
        /// told what is left of it when the attempt is written.
        timeout: Micros,
        /// The attempt must be started within this time from that step, or not at all.
        start_within: Micros,
        /// Verify first that the connection to the member is still alive.
        verify_connection: bool,
    },
    /// Ask the member for its load report.
    Probe,
}

/// How a job ended.
pub struct JobResult<A> {
    /// The outcome, classified by the protocol's table.
    pub outcome: Outcome,
    /// What the response reports about the member.
    pub metadata: ResponseMetadata,
    /// The load report that came with the response.
    pub report: LoadReport,
    /// The response for the client, if there is one.
    pub answer: Option<A>,
}

impl<A> JobResult<A> {
    /// A result that carries only its outcome.
    pub fn from_outcome(outcome: Outcome) -> Self {
        let metadata = ResponseMetadata::default();
        let report = LoadReport::default();
        JobResult { outcome, metadata, report, answer: None }
    }
}

/// Something that happened outside the reducer.
pub enum Input<W, A> {
    /// The last byte of a request has been read.
    RequestReceived(NewRequest<W>),
    /// The client of a request has disconnected or has cancelled the request.
    ClientDisconnected(RequestId),
    /// An update of the endpoint list.
    EndpointUpdate {
        /// The revision of the list with this update.
        revision: u64,
        /// The members are the complete list: a member that is missing from it has been removed.
        complete: bool,
        /// The members that the update names.
        members: Vec<ListedMember>,
    },
    /// A job has ended.
    JobFinished {
        /// The connection that did the job.
        connection: ConnectionId,
        /// The job.
        job: JobId,
        /// How it ended.
        result: JobResult<A>,
        /// The connection can be given another job.
        reusable: bool,
    },
    /// The last byte of an attempt has been written to its member.
    AttemptWritten,
    /// A connection whose job was cancelled before its start is open and idle.
    ConnectionIdle(ConnectionId),
    /// A check before reuse found that a connection to a member is dead; a new one is opened in
    /// its place, under the same number.
    StaleConnectionFound,
    /// A connection has been closed.
    ConnectionClosed(ConnectionId),
    /// The reply to an [`Effect::CancelJob`] or an [`Effect::CancelUnsentJob`].
    JobCancelled {
        /// The job.
        job: JobId,
        /// Its last byte may have been handed to the kernel.
        maybe_sent: bool,
        /// The connection can be given another job.
        reusable: bool,
    },
    /// The proxy shuts down: every request must be answered before the deadline.
    ShutdownRequested {
        /// When the proxy shuts down.
        deadline: Micros,
    },
    /// The time that [`Core::next_timer_at`](super::Core::next_timer_at) returned has been reached. To be
    /// repeated while a timer is due.
    TimerDue,
}

/// The final answer to a request.
pub enum FinalAnswer<A> {
    /// The request was served.
    Served(A),
    /// The request was rejected: it has not been executed, and a retry is harmless.
    Rejected {
        /// The retry delay advised to the client; 0 for no advice.
        retry_after: Micros,
    },
    /// The request failed.
    Failed {
        /// A member may have executed it.
        maybe_executed: bool,
    },
}

/// Something that the caller of the reducer must do.
pub enum Effect<W, A> {
    /// Open a connection.
    OpenConnection {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The address of the member.
        address: SocketAddr,
    },
    /// Give a connection its next job; a connection that is still being opened starts it afterwards.
    StartJob {
        /// The connection.
        connection: ConnectionId,
        /// The id of the job.
        job: JobId,
        /// The work of the job.
        spec: JobSpec<W>,
    },
    /// Cancel a job, and close its connection if the job may have been sent. The reply is an
    /// [`Input::JobCancelled`], at once.
    CancelJob {
        /// The connection that runs the job.
        connection: ConnectionId,
        /// The job.
        job: JobId,
    },
    /// Cancel a job if it has not been started. The reply is an [`Input::JobCancelled`], at once, if so.
    CancelUnsentJob {
        /// The connection that the job was given to.
        connection: ConnectionId,
        /// The job.
        job: JobId,
    },
    /// Close an idle connection.
    CloseConnection(ConnectionId),
    /// Give a request its one final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: FinalAnswer<A>,
    },
    /// Log that a member is avoided from now on.
    EndpointEjected {
        /// The member.
        endpoint: EndpointId,
        /// Its failures, in words.
        cause: String,
    },
    /// Write a line to the log.
    Log(String),
    /// Report this to the log; it is counted already.
    Record(Record),
}
