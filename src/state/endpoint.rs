//! The router's state of one endpoint.

use super::PerRole;
use crate::estimators::{FailureRate, Occupancy, QueueingDelay, ReplicationEstimate};
use crate::{Class, EndpointEntry, EndpointId, EndpointState, GroupId, Micros, Needs, Outcome, RequestId};
use std::fmt;
use std::sync::Arc;

/// An attempt whose outcome is not known yet.
#[derive(Clone)]
pub(crate) struct OutstandingAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) class: usize,
    pub(crate) needs: Needs,
    /// The sessions that the request writes for; empty if commits are not remembered.
    pub(crate) written_sessions: Arc<[u64]>,
    pub(crate) sent_at: Micros,
}

/// Why an attempt counts against its endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The attempt was answered with an error.
    Error,
    /// The attempt timed out, although another one that was sent well after it was answered without queueing.
    Lost,
    /// The connection for the attempt was refused or broke.
    NoConnection,
    /// The endpoint has answered nothing since the attempt was sent.
    NoAnswer,
    /// The endpoint has rejected this attempt and those before it because its queue was full.
    Rejections,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Failure::Error => "errors",
            Failure::Lost => "lost requests",
            Failure::NoConnection => "no connection",
            Failure::NoAnswer => "no answer",
            Failure::Rejections => "rejections",
        })
    }
}

/// The budget of an endpoint that is warming up: the work that may be sent to it, in microseconds of unloaded
/// latency.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartBudget {
    /// The unused budget at `updated_at`; negative if more work was sent than the budget covered.
    pub(crate) saved: f64,
    pub(crate) updated_at: Micros,
}

impl SlowStartBudget {
    /// A budget without unused work.
    pub(crate) fn empty(now: Micros) -> Self {
        SlowStartBudget { saved: 0.0, updated_at: now }
    }
}

/// An endpoint of the list.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) group: GroupId,
    pub(crate) zone: u32,
    pub(crate) state: EndpointState,
    /// Whether the list has reported the endpoint as draining since it last reported it as ready. Remains set
    /// when the endpoint is listed as removed afterwards.
    pub(crate) was_draining: bool,
    /// Whether the endpoint is known to exist: it was in the first list, or has answered.
    pub(crate) confirmed: bool,
    /// Whether the list names the endpoint as the primary.
    pub(crate) primary_hint: bool,
    /// The start that the list reports, on the members' clock; 0 for long ago.
    pub(crate) started_at: Micros,
    /// When the list first reported that start, on the host's clock.
    pub(crate) start_listed_at: Micros,

    pub(crate) outstanding: Vec<OutstandingAttempt>,
    /// The average number of outstanding attempts.
    pub(crate) occupancy: Occupancy,
    /// The number of attempts that the endpoint has rejected, because its queue was full, since it last
    /// answered one.
    pub(crate) rejections_in_a_row: u32,
    /// When the first of those attempts was rejected.
    pub(crate) first_rejection_at: Micros,
    pub(crate) last_sent_at: Micros,
    /// The router-wide sequence number of the last attempt sent to the endpoint; a random number below all
    /// sequence numbers before the first attempt.
    pub(crate) last_send_number: u64,
    /// When the latest of the attempts that were answered without queueing was sent. Attempts sent well
    /// before that time count as lost.
    pub(crate) last_undelayed_send: Micros,
    pub(crate) last_answer_at: Micros,

    pub(crate) replication: ReplicationEstimate,
    /// When the endpoint was last observed to be a replica; 0 if it was observed to be the primary since.
    pub(crate) replica_seen_at: Micros,

    /// How many attempts of this router may be outstanding at the endpoint. Work of low priority may use only
    /// a part of the limit, and work of the highest priority may exceed it.
    pub(crate) concurrency_limit: f64,
    pub(crate) queueing_delay: QueueingDelay,

    pub(crate) failure_rate: FailureRate,
    /// Whether the endpoint is ejected as an outlier: it gets only single trials until it is readmitted.
    pub(crate) ejected: bool,
    /// No trial of the ejected endpoint starts before this time.
    pub(crate) next_trial_at: Micros,
    /// When a connection to the endpoint first failed after its last answer; 0 for none.
    pub(crate) disconnected_since: Micros,
    /// Whether the endpoint counts as not running. It is set when a connection is refused some time after
    /// `disconnected_since`; for an endpoint that is not listed as ready, by the first refusal; for one that
    /// is listed as removed, also when an attempt gets no answer.
    pub(crate) down: bool,
    /// When the endpoint first answered after it was last down; 0 for never.
    pub(crate) recovered_at: Micros,

    /// The budgets while the endpoint is warming up: one for reads that a replica may serve, and one for
    /// requests that only a primary can serve.
    pub(crate) slow_start: PerRole<SlowStartBudget>,

    /// No probe is sent before this time.
    pub(crate) next_probe_at: Micros,
    /// The interval by which `next_probe_at` was set; 0 before the first probe.
    pub(crate) probe_interval: Micros,
    pub(crate) probe_in_flight: bool,
    /// Whether the endpoint did not answer the last health check.
    pub(crate) probe_unanswered: bool,
}

impl Endpoint {
    /// Creates an endpoint of which only its entry in the list is known.
    pub(crate) fn new(entry: &EndpointEntry) -> Self {
        Endpoint {
            id: entry.endpoint,
            group: entry.group,
            started_at: entry.started_at,
            ..Endpoint::default()
        }
    }

    /// Whether the list names the endpoint as the primary, and it was not observed to be a replica since.
    pub(crate) fn is_hinted_primary(&self) -> bool {
        self.primary_hint && self.replica_seen_at == 0
    }

    /// The number of outstanding attempts that may still be answered. Attempts that were sent more than one
    /// and a half of their latency objective before [`Endpoint::last_undelayed_send`] count as lost.
    pub(crate) fn pending_count(&self, classes: &[Class]) -> usize {
        let may_be_answered = |attempt: &&OutstandingAttempt| {
            let loss_delay = classes[attempt.class].latency_objective * 3 / 2;
            attempt.sent_at + loss_delay >= self.last_undelayed_send
        };
        self.outstanding.iter().filter(may_be_answered).count()
    }

    /// Adds an attempt that is sent now.
    pub(crate) fn add_outstanding(&mut self, attempt: OutstandingAttempt) {
        self.occupancy.record(self.outstanding.len(), attempt.sent_at);
        self.outstanding.push(attempt);
    }

    /// Removes an attempt that has ended, and returns it if it was outstanding.
    pub(crate) fn take_outstanding(
        &mut self,
        request: RequestId,
        attempt: u32,
        now: Micros,
    ) -> Option<OutstandingAttempt> {
        let is_same = |other: &OutstandingAttempt| other.request == request && other.attempt == attempt;
        let index = self.outstanding.iter().position(is_same)?;
        self.occupancy.record(self.outstanding.len(), now);
        Some(self.outstanding.swap_remove(index))
    }

    /// Records what the outcome of an attempt shows about whether the endpoint is running.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, now: Micros) {
        match outcome {
            Outcome::Ok | Outcome::NotServable => {
                self.last_answer_at = now;
                self.record_contact(now);
            }
            Outcome::Error => self.last_answer_at = now,
            _ => {}
        }
    }

    /// Records that the endpoint is running. If it was down, it may have just been restarted, so its
    /// slow start budgets are reset.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        self.confirmed = true;
        self.probe_unanswered = false;
        self.disconnected_since = 0;
        if self.down {
            self.down = false;
            self.recovered_at = now;
            self.slow_start = PerRole::uniform(SlowStartBudget::empty(now));
        }
    }
}
