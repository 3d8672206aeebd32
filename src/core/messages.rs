//! The vocabulary of the reducer: what it is told ([`Input`]) and what it asks for ([`Effect`]).
//!
//! `W` is the work that a request asks of a member and `A` is the answer to it; the reducer passes both on
//! without looking inside.

pub use crate::endpoint_list::ListedMember;

use super::ConnectionId;
use crate::{LoadReport, Micros, Outcome, Request, RequestId, ResponseMetadata};
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of a job, never used twice.
pub type JobId = u64;

/// A request that has been read from a client.
pub struct NewRequest<W> {
    /// What the router needs to know of it; `remaining` counts from now.
    pub request: Request,
    /// What it asks of a member.
    pub work: Arc<W>,
}

/// What a connection is to do next.
pub enum JobSpec<W> {
    /// Send an attempt and wait for its answer.
    Attempt {
        /// What is asked.
        work: Arc<W>,
        /// How long this proxy waits for the answer.
        timeout: Micros,
        /// The attempt must be started within this from now, or not at all.
        start_within: Micros,
        /// Make sure first that the connection still leads to the member.
        verify_connection: bool,
    },
    /// Ask the member for its load report.
    Probe,
}

/// How a job ended.
pub struct JobResult<A> {
    /// The outcome, classified as the table of the protocol says.
    pub outcome: Outcome,
    /// What the answer says of the member.
    pub metadata: ResponseMetadata,
    /// The load report that came with the answer.
    pub report: LoadReport,
    /// What goes to the client, if there is an answer to give.
    pub answer: Option<A>,
}

impl<A> JobResult<A> {
    /// A result that tells nothing but its outcome.
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
        /// The members are the whole list: one that is not among them is gone.
        full: bool,
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
        /// The connection can take another job.
        reusable: bool,
    },
    /// The last byte of an attempt has been written to its member.
    AttemptWritten,
    /// A connection whose job was cancelled before its start is open and idle.
    ConnectionIdle(ConnectionId),
    /// A check before reuse found that a connection no longer leads to its member; a new one is opened in
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
        /// The connection can take another job.
        reusable: bool,
    },
    /// The proxy shuts down: every request must have its answer before the deadline.
    ShutdownRequested {
        /// When the proxy shuts down.
        deadline: Micros,
    },
    /// The time that [`Core::next_timer_at`](super::Core::next_timer_at) told has come.
    TimerDue,
}

/// The final answer to a request.
pub enum FinalAnswer<A> {
    /// The request was served.
    Served(A),
    /// The request was rejected: it has not been executed, and a retry is harmless.
    Rejected {
        /// After which time the client should retry; 0 for no advice.
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
        /// The number it gets.
        connection: ConnectionId,
        /// Where it leads.
        address: SocketAddr,
    },
    /// Give a connection its next job; a connection that is still being opened starts it afterwards.
    StartJob {
        /// The connection.
        connection: ConnectionId,
        /// The number of the job.
        job: JobId,
        /// What is to be done.
        spec: JobSpec<W>,
    },
    /// Cancel a job, and close its connection if the job may have been sent. The reply is an
    /// [`Input::JobCancelled`], at once.
    CancelJob {
        /// The connection that does the job.
        connection: ConnectionId,
        /// The job.
        job: JobId,
    },
    /// Cancel a job if it has not been started. The reply is an [`Input::JobCancelled`], at once, if so.
    CancelUnsentJob {
        /// The connection that has the job.
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
    /// Write a line to the log.
    Log(String),
}
