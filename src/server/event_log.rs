//! Log lines about requests, connections and the endpoint list, limited in rate.
//!
//! Each kind of line has its own rate limit: a burst of lines, then a few lines per second. Lines beyond the
//! limit are left out, and the next line of that kind has their number in the field `left_out`. The counters
//! by reason count all events, whether logged or not.

use super::LOG_TARGET;
use super::endpoint_directory::{EndpointChange, EndpointDirectory};
use crate::client::{ClientCloseReason, ClientId};
use crate::core::{Record, RecordKind};
use crate::endpoint_list::EndpointList;
use crate::line_budget::{LeftOut, LineBudget};
use crate::net::discovery::{CallEnd, WatchId};
use crate::{EndpointId, EndpointState, Micros, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The target of lines about discovery.
const DISCOVERY_TARGET: &str = "liftrelay::discovery";

/// Where an endpoint list came from.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListSource {
    /// The configuration file.
    Configuration,
    /// The store, which recovered the list of this proxy's last run.
    Store,
    /// A discovery watch.
    Discovery {
        /// The id of the watch.
        watch: WatchId,
    },
}

impl ListSource {
    fn name(self) -> &'static str {
        match self {
            ListSource::Configuration => "configuration",
            ListSource::Store => "store",
            ListSource::Discovery { .. } => "discovery",
        }
    }

    fn watch(self) -> Option<WatchId> {
        match self {
            ListSource::Configuration | ListSource::Store => None,
            ListSource::Discovery { watch } => Some(watch),
        }
    }
}

/// Writes log lines about events, within the budget of each kind.
#[derive(Default)]
pub(super) struct EventLog {
    budgets: BTreeMap<RecordKind, LineBudget>,
    endpoints: EndpointDirectory,
}

impl EventLog {
    fn take_line(&mut self, now: Micros, kind: RecordKind) -> Option<LeftOut> {
        self.budgets.entry(kind).or_insert_with(|| LineBudget::full(now)).take(now)
    }

    /// Logs a record of the reducer. `request` is the request's name in the log, `class` the name of its
    /// class; either is empty where the record has none.
    pub(super) fn record(&mut self, now: Micros, record: &Record, request: &str, class: &str) {
        let Some(left_out) = self.take_line(now, record.key().0) else { return };
        match record {
            Record::AttemptFailed { attempt, endpoint, outcome, elapsed, list_revision, .. } => {
                let member = self.endpoints.name(*endpoint);
                tracing::info!(
                    target: LOG_TARGET, request, attempt, member, outcome = outcome.name(),
                    elapsed_us = elapsed, list_revision, left_out, "attempt failed"
                );
            }
            Record::NotServed { attempts, reason, ruled_out, rejected, list_revision, .. } => {
                let answer = if *rejected { "rejected" } else { "failed" };
                tracing::info!(
                    target: LOG_TARGET, request, class, answer, reason = reason.name(), attempts,
                    ruled_out_role = ruled_out.role, ruled_out_position = ruled_out.position,
                    ruled_out_bound = ruled_out.bound, list_revision, left_out, "request not served"
                );
            }
            Record::ConnectionClosed { connection, endpoint, reason } => {
                let member = self.endpoints.name(*endpoint);
                tracing::info!(
                    target: LOG_TARGET, connection, member, reason = reason.name(), left_out,
                    "member connection closed"
                );
            }
        }
    }

    /// Logs that a client connection was closed.
    pub(super) fn client_closed(&mut self, now: Micros, client: ClientId, reason: ClientCloseReason) {
        let Some(left_out) = self.take_line(now, RecordKind::ClientConnectionClosed) else { return };
        tracing::info!(
            target: LOG_TARGET, client, reason = reason.name(), left_out, "client connection closed"
        );
    }

    /// Logs that an endpoint was ejected.
    pub(super) fn endpoint_ejected(&mut self, endpoint: EndpointId, cause: &str) {
        let member = self.endpoints.name(endpoint);
        tracing::info!(target: LOG_TARGET, member, cause, "endpoint ejected");
    }

    /// Logs that a call to discovery ended, and why.
    pub(super) fn discovery_call_ended(&mut self, now: Micros, watch: WatchId, end: &CallEnd) {
        let Some(left_out) = self.take_line(now, RecordKind::DiscoveryCallEnded) else { return };
        let CallEnd { call, path, reason, detail, lasted, updates, revision } = end;
        tracing::warn!(
            target: DISCOVERY_TARGET, watch, call, path, reason, error = detail,
            lasted_ms = lasted.as_millis(), updates, list_revision = revision, left_out,
            "discovery call ended"
        );
    }

    /// Logs that calls to discovery are no longer answered in time.
    pub(super) fn discovery_unanswered(&mut self, now: Micros, watch: WatchId) {
        let Some(left_out) = self.take_line(now, RecordKind::DiscoveryStateChanged) else { return };
        tracing::warn!(target: DISCOVERY_TARGET, watch, left_out, "discovery does not answer");
    }

    /// Logs that discovery answers again, after this time without answers.
    pub(super) fn discovery_answered(&mut self, now: Micros, watch: WatchId, after: Duration) {
        let Some(left_out) = self.take_line(now, RecordKind::DiscoveryStateChanged) else { return };
        tracing::info!(
            target: DISCOVERY_TARGET, watch, after_ms = after.as_millis(), left_out,
            "discovery answers again"
        );
    }

    /// Logs that an endpoint list was applied, and each endpoint whose listed state it changed.
    pub(super) fn list_applied(&mut self, now: Micros, source: ListSource, list: &EndpointList) {
        let changes = self.endpoints.apply(list);
        if let Some(left_out) = self.take_line(now, RecordKind::EndpointListApplied) {
            self.write_list(source, list, changes.len(), left_out);
        }
        for change in &changes {
            self.endpoint_changed(now, list.revision, change);
        }
    }

    fn write_list(&self, source: ListSource, list: &EndpointList, changes: usize, left_out: LeftOut) {
        tracing::info!(
            target: LOG_TARGET, list_revision = list.revision, complete = list.complete,
            source = source.name(), watch = source.watch(), entries = list.endpoints.len(), changes,
            known = self.endpoints.len(), left_out, "endpoint list applied"
        );
    }

    fn endpoint_changed(&mut self, now: Micros, list_revision: u64, change: &EndpointChange) {
        let Some(left_out) = self.take_line(now, RecordKind::EndpointChanged) else { return };
        let EndpointChange { uid, from, to } = change;
        let (from, to) = (from.map(EndpointState::name), to.name());
        tracing::info!(
            target: LOG_TARGET, member = uid, from, to, list_revision, left_out, "endpoint state changed"
        );
    }
}

/// The name in the log of a request to which its client gave no id.
pub(super) fn unnamed_request(request: RequestId) -> String {
    format!("#{request}")
}
