//! The log of what happens to requests, connections and the endpoint list.
//!
//! Each kind of line has a budget of its own: a burst of lines, then a few per second. Lines beyond that
//! are left out, and the next one of that kind says how many were. The counters by reason count all of
//! them.

use super::LOG_TARGET;
use super::endpoint_directory::{EndpointChange, EndpointDirectory};
use crate::client::{ClientCloseReason, ClientId};
use crate::core::{Record, RecordKind};
use crate::endpoint_list::EndpointList;
use crate::net::discovery::{CallEnd, WatchId};
use crate::{EndpointId, EndpointState, Micros, RequestId};
use std::collections::BTreeMap;
use std::num::NonZeroU64;
use std::time::Duration;

/// Lines of one kind that may be written in a burst.
const BURST: f64 = 64.0;
/// Lines of one kind that may be written per second.
const LINES_PER_SECOND: f64 = 8.0;
const MICROS_PER_SECOND: f64 = 1e6;
/// The target of lines about calls to discovery.
const DISCOVERY_TARGET: &str = "liftrelay::discovery";

/// Where an endpoint list came from.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListSource {
    /// The configuration file.
    Configuration,
    /// The store, from this proxy's last run.
    Store,
    /// This discovery watch.
    Discovery {
        /// Its number.
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

/// How many lines were left out before this one, if any were.
type LeftOut = Option<NonZeroU64>;

/// The lines of one kind that may still be written.
struct LineBudget {
    lines: f64,
    updated_at: Micros,
    left_out: u64,
}

impl LineBudget {
    /// Takes a line from the budget. Returns how many were left out before it; `None` if it is left out,
    /// too.
    fn take(&mut self, now: Micros) -> Option<LeftOut> {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.updated_at = now;
        self.lines = (self.lines + elapsed * LINES_PER_SECOND).min(BURST);
        if self.lines < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(NonZeroU64::new(std::mem::take(&mut self.left_out)))
    }
}

/// Writes the lines.
#[derive(Default)]
pub(super) struct EventLog {
    budgets: BTreeMap<RecordKind, LineBudget>,
    endpoints: EndpointDirectory,
}

impl EventLog {
    fn take_line(&mut self, now: Micros, kind: RecordKind) -> Option<LeftOut> {
        let full = LineBudget { lines: BURST, updated_at: now, left_out: 0 };
        self.budgets.entry(kind).or_insert(full).take(now)
    }

    /// Writes a record of the reducer; `request` is the id that the client gave its request.
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
            Record::NotServed { attempts, reason, rejected, list_revision, .. } => {
                let answer = if *rejected { "rejected" } else { "failed" };
                tracing::info!(
                    target: LOG_TARGET, request, class, answer, reason = reason.name(), attempts,
                    list_revision, left_out, "request not served"
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

    /// Writes that a client's connection was closed.
    pub(super) fn client_closed(&mut self, now: Micros, client: ClientId, reason: ClientCloseReason) {
        let Some(left_out) = self.take_line(now, RecordKind::ClientConnectionClosed) else { return };
        tracing::info!(
            target: LOG_TARGET, client, reason = reason.name(), left_out, "client connection closed"
        );
    }

    /// Writes that an endpoint is avoided from now on.
    pub(super) fn endpoint_ejected(&mut self, endpoint: EndpointId, cause: &str) {
        let member = self.endpoints.name(endpoint);
        tracing::info!(target: LOG_TARGET, member, cause, "endpoint ejected");
    }

    /// Writes that a call to discovery ended, and why.
    pub(super) fn discovery_call_ended(&mut self, now: Micros, watch: WatchId, end: &CallEnd) {
        let Some(left_out) = self.take_line(now, RecordKind::DiscoveryCallEnded) else { return };
        let CallEnd { call, path, reason, detail, lasted, updates, revision } = end;
        tracing::warn!(
            target: DISCOVERY_TARGET, watch, call, path, reason, error = detail,
            lasted_ms = lasted.as_millis(), updates, list_revision = revision, left_out,
            "discovery call ended"
        );
    }

    /// Writes that no call to discovery is answered in time any more.
    pub(super) fn discovery_unanswered(&mut self, now: Micros, watch: WatchId) {
        let Some(left_out) = self.take_line(now, RecordKind::DiscoveryStateChanged) else { return };
        tracing::warn!(target: DISCOVERY_TARGET, watch, left_out, "discovery does not answer");
    }

    /// Writes that discovery answers again.
    pub(super) fn discovery_answered(&mut self, now: Micros, watch: WatchId, after: Duration) {
        let Some(left_out) = self.take_line(now, RecordKind::DiscoveryStateChanged) else { return };
        tracing::info!(
            target: DISCOVERY_TARGET, watch, after_ms = after.as_millis(), left_out,
            "discovery answers again"
        );
    }

    /// Writes that a list was applied, and what it changed; returns the number of changes.
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

/// How a request without an id of its client's is named.
pub(super) fn unnamed_request(request: RequestId) -> String {
    format!("#{request}")
}
