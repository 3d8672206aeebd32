//! The router's state of one endpoint.

use super::PerRole;
use crate::estimators::{FailureRate, QueueingDelay, ReplicationEstimate};
use crate::{Class, EndpointEntry, EndpointId, EndpointState, GroupId, Micros, Outcome, RequestId};
use std::fmt;

/// An attempt whose outcome is not known yet.
#[derive(Clone, Copy)]
pub(crate) struct OutstandingAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) class: usize,
    pub(crate) sent_at: Micros,
}

/// Why an attempt counts against its endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It was answered with an error.
    Error,
    /// It got no answer, while later ones were answered at once.
    Lost,
    /// Its connection was refused or broke.
    NoConnection,
    /// Nothing was answered since it was sent.
    NoAnswer,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Failure::Error => "errors",
            Failure::Lost => "lost requests",
            Failure::NoConnection => "no connection",
            Failure::NoAnswer => "no answer",
        })
    }
}

/// Work, in microseconds of unloaded service time, that may be sent to an endpoint that is warming up.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartBudget {
    /// What is saved up; negative for work sent on credit.
    pub(crate) saved: f64,
    pub(crate) updated_at: Micros,
}

impl SlowStartBudget {
    /// An empty budget.
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
    /// The list has reported it as draining since it last reported it as ready. Stays set once it is removed.
    pub(crate) was_draining: bool,
    /// It was in the first list, or has answered.
    pub(crate) confirmed: bool,
    /// The list names it as the primary.
    pub(crate) primary_hint: bool,
    /// Its start as reported by the list, on the members' clock; 0 for long ago.
    pub(crate) started_at: Micros,
    /// When the list first reported that start.
    pub(crate) start_listed_at: Micros,

    pub(crate) outstanding: Vec<OutstandingAttempt>,
    pub(crate) last_sent_at: Micros,
    /// The number of the last send to it, over all endpoints; drawn at random until then.
    pub(crate) last_send_number: u64,
    /// The latest send that was answered without queueing: what was sent long before it is lost.
    pub(crate) last_undelayed_send: Micros,
    pub(crate) last_answer_at: Micros,

    pub(crate) replication: ReplicationEstimate,
    /// When it was last seen as a replica, 0 if it was seen as the primary since.
    pub(crate) replica_seen_at: Micros,

    /// The most attempts that this router may have outstanding at it.
    pub(crate) concurrency_limit: f64,
    pub(crate) queueing_delay: QueueingDelay,

    /// The moving share of its attempts that failed.
    pub(crate) failure_rate: FailureRate,
    pub(crate) ejected: bool,
    pub(crate) next_trial_at: Micros,
    /// When a connection to it first failed since its last answer, 0 for none.
    pub(crate) disconnected_since: Micros,
    /// It refused connections for a while after that.
    pub(crate) down: bool,
    /// When it last answered after it had been down.
    pub(crate) recovered_at: Micros,

    /// While it warms up: the budgets of reads, and of what only a primary can serve.
    pub(crate) slow_start: PerRole<SlowStartBudget>,

    pub(crate) next_probe_at: Micros,
    /// The interval that the next probe was scheduled by; 0 before the first.
    pub(crate) probe_interval: Micros,
    pub(crate) probe_in_flight: bool,
    /// It did not answer the last health check.
    pub(crate) probe_unanswered: bool,
}

impl Endpoint {
    /// An endpoint of which only the list's entry is known.
    pub(crate) fn new(entry: &EndpointEntry) -> Self {
        Endpoint {
            id: entry.endpoint,
            group: entry.group,
            started_at: entry.started_at,
            ..Endpoint::default()
        }
    }

    /// The list names it as the primary, and it was not seen as a replica since.
    pub(crate) fn is_hinted_primary(&self) -> bool {
        self.primary_hint && self.replica_seen_at == 0
    }

    /// The outstanding attempts, less those that are lost: sent well before one that was answered at once.
    pub(crate) fn pending_count(&self, classes: &[Class]) -> usize {
        let may_be_answered = |attempt: &&OutstandingAttempt| {
            let patience = classes[attempt.class].latency_objective * 3 / 2;
            attempt.sent_at + patience >= self.last_undelayed_send
        };
        self.outstanding.iter().filter(may_be_answered).count()
    }

    /// Removes an attempt that has ended.
    pub(crate) fn take_outstanding(
        &mut self,
        request: RequestId,
        attempt: u32,
    ) -> Option<OutstandingAttempt> {
        let is_same = |other: &OutstandingAttempt| other.request == request && other.attempt == attempt;
        let place = self.outstanding.iter().position(is_same)?;
        Some(self.outstanding.swap_remove(place))
    }

    /// Records how an attempt ended, as far as that shows that the endpoint is running.
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

    /// Records that it is running: an endpoint that answers after it was down may have just started.
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
