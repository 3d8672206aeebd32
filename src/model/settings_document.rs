//! Parses the settings from the JSON format of the simulator and of the proxy's configuration. No other code
//! parses that format.

use crate::{Class, Idempotency, Micros, Requirement, Settings, StaleReadBehavior};
use serde::Deserialize;

/// Why settings that are well-formed JSON can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The `freshness` of a class is missing or unknown.
    #[error(
        "freshness of class {class}: expected update, latest, own_writes, recent or loose, got {freshness:?}"
    )]
    Freshness {
        /// The index of the class.
        class: usize,
        /// The unknown value; `None` if it is missing.
        freshness: Option<String>,
    },
    /// The `effect` of a class is unknown.
    #[error("effect of class {class}: expected safe, keyed or unsafe, got {effect:?}")]
    Effect {
        /// The index of the class.
        class: usize,
        /// The unknown value.
        effect: String,
    },
    /// The value of `when_behind` is unknown.
    #[error("when_behind: expected silent, reject or hold, got {0:?}")]
    WhenBehind(String),
}

/// The settings in the form of the JSON document. [`Settings`] documents the meaning of the fields.
#[derive(Deserialize)]
pub(super) struct SettingsDocument {
    #[serde(default = "single_instance")]
    instances: u32,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    resolution_us: Micros,
    request_classes: Vec<ClassDocument>,
    #[serde(default)]
    tenants: Vec<TenantDocument>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    discovery: String,
    family_info: FamilyDocument,
    limits: LimitsDocument,
    contract: ContractDocument,
    #[serde(default)]
    prices: PricesDocument,
    #[serde(default)]
    stats: StatsDocument,
}

#[derive(Deserialize)]
struct ClassDocument {
    #[serde(default)]
    name: String,
    aim_us: Micros,
    deadline_us: Micros,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_us: Micros,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    credit: f64,
}

#[derive(Deserialize)]
struct TenantDocument {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct FamilyDocument {
    when_behind: String,
    #[serde(default)]
    class_bound_us: Vec<Micros>,
    freshness: Vec<String>,
    #[serde(default)]
    write_marks: String,
    #[serde(default)]
    catch_up_wait_us: Micros,
    counted_from_us: Micros,
}

#[derive(Deserialize)]
struct LimitsDocument {
    #[serde(default)]
    cancel: bool,
    max_attempts: u32,
    #[serde(default = "default_connect_timeout")]
    dial_timeout_us: Micros,
    #[serde(default = "default_idle_timeout")]
    conn_idle_us: Micros,
    #[serde(default = "default_max_pending")]
    max_pending: usize,
    #[serde(default)]
    max_retry_after_us: Micros,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
struct ContractDocument {
    cold_from: f64,
    cold_us: Micros,
    fall_multiple: f64,
    fall_us: Micros,
    #[serde(default = "default_drain_grace")]
    stop_sending_within_us: Micros,
    #[serde(default)]
    only_draining_binds: bool,
}

#[derive(Deserialize, Default)]
struct PricesDocument {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct StatsDocument {
    #[serde(default)]
    fields: Vec<String>,
}

fn single_instance() -> u32 {
    1
}

fn default_connect_timeout() -> Micros {
    Settings::default().connect_timeout
}

fn default_drain_grace() -> Micros {
    Settings::default().drain_grace
}

fn default_idle_timeout() -> Micros {
    Settings::default().idle_timeout
}

fn default_max_pending() -> usize {
    Settings::default().max_pending
}

impl ClassDocument {
    fn idempotency(&self, class: usize) -> Result<Idempotency, SettingsError> {
        match self.effect.as_str() {
            "safe" => Ok(Idempotency::Idempotent),
            "keyed" => {
                let across_groups = self.key_scope == "all";
                Ok(Idempotency::Keyed { across_groups, window: self.window_us })
            }
            "unsafe" => Ok(Idempotency::AtMostOnce),
            _ => Err(SettingsError::Effect { class, effect: self.effect.clone() }),
        }
    }
}

impl FamilyDocument {
    fn requirement(&self, class: usize) -> Result<Requirement, SettingsError> {
        let freshness = self.freshness.get(class);
        match freshness.map(String::as_str) {
            Some("update") => Ok(Requirement::Write),
            Some("latest") => Ok(Requirement::Latest),
            Some("own_writes") => Ok(Requirement::ReadYourWrites),
            Some("recent") => {
                let bound = self.class_bound_us.get(class).copied().unwrap_or(0);
                Ok(Requirement::BoundedStaleness(bound))
            }
            Some("loose") => Ok(Requirement::Any),
            _ => Err(SettingsError::Freshness { class, freshness: freshness.cloned() }),
        }
    }

    fn stale_read_behavior(&self) -> Result<StaleReadBehavior, SettingsError> {
        match self.when_behind.as_str() {
            "silent" => Ok(StaleReadBehavior::Serve),
            "reject" => Ok(StaleReadBehavior::Reject),
            "hold" => Ok(StaleReadBehavior::WaitThenReject(self.catch_up_wait_us)),
            _ => Err(SettingsError::WhenBehind(self.when_behind.clone())),
        }
    }
}

impl SettingsDocument {
    fn classes(&self) -> Result<Vec<Class>, SettingsError> {
        let class = |(index, document): (usize, &ClassDocument)| {
            Ok(Class {
                requirement: self.family_info.requirement(index)?,
                idempotency: document.idempotency(index)?,
                latency_objective: document.aim_us,
                deadline: document.deadline_us,
                priority_weight: document.credit,
                late_value: document.late_share,
            })
        };
        self.request_classes.iter().enumerate().map(class).collect()
    }
}

impl TryFrom<SettingsDocument> for Settings {
    type Error = SettingsError;

    fn try_from(document: SettingsDocument) -> Result<Settings, SettingsError> {
        Ok(Settings {
            classes: document.classes()?,
            stale_read_behavior: document.family_info.stale_read_behavior()?,
            instances: document.instances,
            zone: document.zone,
            resolution: document.resolution_us,
            quotas: document.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            over_quota_weight: document.over_share_worth,
            remember_commits: document.family_info.write_marks == "router",
            max_attempts: document.limits.max_attempts,
            retry_after: document.limits.retry_after,
            max_retry_after: document.limits.max_retry_after_us,
            probes: document.limits.probes,
            cancel: document.limits.cancel,
            removed_endpoints_usable: document.contract.only_draining_binds,
            list_on_request: document.discovery == "on_request",
            slow_start_capacity: document.contract.cold_from,
            slow_start_duration: document.contract.cold_us,
            overload_multiple: document.contract.fall_multiple,
            overload_window: document.contract.fall_us,
            drain_grace: document.contract.stop_sending_within_us,
            cross_zone_cost: document.prices.cross_zone,
            class_names: document.request_classes.into_iter().map(|class| class.name).collect(),
            load_report_fields: document.stats.fields,
            position_epoch: document.family_info.counted_from_us,
            connect_timeout: document.limits.dial_timeout_us,
            idle_timeout: document.limits.conn_idle_us,
            max_pending: document.limits.max_pending,
        })
    }
}
