//! The settings of a [`Router`](crate::Router) and its host.

use super::settings_document::SettingsDocument;
use crate::{Class, Micros};

/// How an endpoint handles a read for which it is too far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadBehavior {
    /// It answers from the data that it has: only the router prevents stale answers.
    Serve,
    /// It rejects the read without executing it.
    Reject,
    /// It waits for up to this long to catch up, then rejects the read without executing it.
    WaitThenReject(Micros),
}

/// The settings of a router at its start. The simulator's adapter and the proxy read the same settings.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(try_from = "SettingsDocument")]
pub struct Settings {
    /// Routers that share the endpoints, this one included.
    pub instances: u32,
    /// The zone of this router.
    pub zone: u32,
    /// The shortest span between two batches of events.
    pub resolution: Micros,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// For each tenant, the requests per second over all routers that keep their full priority weight.
    pub quotas: Vec<f64>,
    /// The part of its priority weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// How endpoints handle reads for which they are too far behind.
    pub stale_read_behavior: StaleReadBehavior,
    /// Session commits are remembered by the router (else the request carries its session's last write).
    pub remember_commits: bool,
    /// At most this many attempts for one request.
    pub max_attempts: u32,
    /// Whether a rejection may advise a retry delay.
    pub retry_after: bool,
    /// The longest retry delay that a client honours.
    pub max_retry_after: Micros,
    /// Whether health checks may be sent.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether an endpoint that is listed as removed may still be used; one listed as draining never may.
    pub removed_endpoints_usable: bool,
    /// Whether the endpoint list is sent only on request.
    pub list_on_request: bool,
    /// The time within which sends to a draining or removed endpoint have to stop.
    pub drain_grace: Micros,
    /// The share of its capacity that an endpoint has at least when it starts.
    pub slow_start_capacity: f64,
    /// The time within which a started endpoint reaches its full capacity.
    pub slow_start_duration: Micros,
    /// An endpoint that is warming up fails when sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// The cost of one zone crossing for each request, as a share of the result.
    pub cross_zone_cost: f64,
    /// The names of the classes, by index.
    pub class_names: Vec<String>,
    /// The names of the values in a load report, in order.
    pub load_report_fields: Vec<String>,
    /// The time from which the simulator's wire counts positions.
    pub position_epoch: Micros,
    /// A connection that is not established within this has failed.
    pub connect_timeout: Micros,
    /// An endpoint closes a connection that was idle for this long.
    pub idle_timeout: Micros,
    /// The most open requests of one router.
    pub max_pending: usize,
}

impl Default for Settings {
    /// A single router, endpoints that reject reads when behind, and no costs.
    fn default() -> Self {
        Settings {
            instances: 1,
            zone: 0,
            resolution: 1000,
            classes: Vec::new(),
            quotas: Vec::new(),
            over_quota_weight: 1.0,
            stale_read_behavior: StaleReadBehavior::Reject,
            remember_commits: false,
            max_attempts: 6,
            retry_after: true,
            max_retry_after: 1_000_000,
            probes: true,
            cancel: true,
            removed_endpoints_usable: false,
            list_on_request: false,
            drain_grace: 500_000,
            slow_start_capacity: 0.15,
            slow_start_duration: 20_000_000,
            overload_multiple: 2.0,
            overload_window: 2_000_000,
            cross_zone_cost: 0.0,
            class_names: Vec::new(),
            load_report_fields: Vec::new(),
            position_epoch: 0,
            connect_timeout: 250_000,
            idle_timeout: 15_000_000,
            max_pending: 40_000,
        }
    }
}

impl Settings {
    /// Whether endpoints also answer from stale data, so that only the router can prevent stale answers.
    pub fn endpoints_serve_stale(&self) -> bool {
        self.stale_read_behavior == StaleReadBehavior::Serve
    }

    /// The index of the class with this name.
    pub fn class(&self, name: &[u8]) -> Option<usize> {
        self.class_names.iter().position(|class_name| class_name.as_bytes() == name)
    }
}
