//! The settings of a [`Router`](crate::Router) and its host.

use super::settings_document::SettingsDocument;
use crate::{Class, Idempotency, Micros, Request};

/// How an endpoint handles a read that requires a position that the endpoint has not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReadBehavior {
    /// Answers from the data that it has, so that only the router can prevent stale answers.
    Serve,
    /// Rejects the read without executing it.
    Reject,
    /// Waits for up to this long until it has reached the position, then rejects the read without executing
    /// it.
    WaitThenReject(Micros),
}

/// The settings with which a router starts. The simulator's adapter and the proxy read the same format.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(try_from = "SettingsDocument")]
pub struct Settings {
    /// The number of routers that share the endpoints, including this one.
    pub instances: u32,
    /// The zone that this router runs in.
    pub zone: u32,
    /// The shortest interval between two batches of events.
    pub resolution: Micros,
    /// The request classes. [`Request::class`](crate::Request::class) is an index into this vector.
    pub classes: Vec<Class>,
    /// The quota of each tenant: the requests per second, over all routers, that have their full priority
    /// weight.
    pub quotas: Vec<f64>,
    /// The share of the priority weight that a request beyond its tenant's quota has.
    pub over_quota_weight: f64,
    /// How endpoints handle reads that require a position that they have not reached.
    pub stale_read_behavior: StaleReadBehavior,
    /// Whether the router remembers the last commit of each session. Otherwise each request says when its
    /// session last wrote.
    pub remember_commits: bool,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether a rejection may advise a retry delay to the client.
    pub retry_after: bool,
    /// The longest retry delay that clients follow.
    pub max_retry_after: Micros,
    /// Whether health checks may be sent.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether an endpoint that is listed as removed may still be used. An endpoint that is listed as
    /// draining is never used.
    pub removed_endpoints_usable: bool,
    /// Whether the endpoint list is sent only on request.
    pub list_on_request: bool,
    /// How soon after an endpoint is listed as draining or removed the router must have stopped sending
    /// requests to it.
    pub drain_grace: Micros,
    /// The least capacity of an endpoint that has just started, as a share of its full capacity.
    pub slow_start_capacity: f64,
    /// The time after its start within which an endpoint reaches its full capacity.
    pub slow_start_duration: Micros,
    /// The multiple of its current capacity above which an endpoint that is warming up fails, if it is sent
    /// that much work for [`Settings::overload_window`].
    pub overload_multiple: f64,
    /// How long an endpoint that is warming up must be overloaded before it fails.
    pub overload_window: Micros,
    /// The cost of a request that crosses zones, as a share of its result. If it is above 0, the router
    /// prefers endpoints in its own zone.
    pub cross_zone_cost: f64,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The names of the values in a load report, in order.
    pub load_report_fields: Vec<String>,
    /// The time that positions on the simulator's wire are relative to.
    pub position_epoch: Micros,
    /// The time after which an attempt to establish a connection has failed.
    pub connect_timeout: Micros,
    /// How long a connection may be idle before its endpoint closes it.
    pub idle_timeout: Micros,
    /// The maximum number of pending requests of one router.
    pub max_pending: usize,
}

impl Default for Settings {
    /// Settings for a single router without classes, tenants or zone costs, and for endpoints that reject
    /// reads that require a position that they have not reached.
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
    /// Whether endpoints answer reads from stale data, so that only the router can prevent stale answers.
    pub fn endpoints_serve_stale(&self) -> bool {
        self.stale_read_behavior == StaleReadBehavior::Serve
    }

    /// How often all statements of a request together may be executed; `None` if one of their classes, or the
    /// class under which the request is accounted, does not exist.
    pub(crate) fn idempotency_of(&self, request: &Request) -> Option<Idempotency> {
        self.classes.get(request.class)?;
        request.statements.iter().try_fold(Idempotency::Idempotent, |all, statement| {
            Some(all.and(statement.idempotency(self.classes.get(statement.class)?)))
        })
    }

    /// Returns the index of the class with this name.
    pub fn class(&self, name: &[u8]) -> Option<usize> {
        self.class_names.iter().position(|class_name| class_name.as_bytes() == name)
    }
}
