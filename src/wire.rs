//! The simulator's wire: frames in, frames out, and the settings text. Pure translation, no decision.

use crate::interface::*;
use crate::{Router, Settings};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Why the wire had to be given up.
#[derive(Debug)]
pub struct WireError(pub String);

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn bad<T>(what: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(what.into()))
}

/// Reads big-endian fields off a record.
struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        if n > self.rest.len() {
            return bad(format!("truncated: {n} bytes wanted, {} left", self.rest.len()));
        }
        let (head, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(head)
    }
    fn uint(&mut self, n: usize) -> Result<u64, WireError> {
        Ok(self.take(n)?.iter().fold(0, |v, b| v << 8 | u64::from(*b)))
    }
    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.uint(1)? as u8)
    }
    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(self.uint(2)? as u16)
    }
    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(self.uint(4)? as u32)
    }
    fn u64(&mut self) -> Result<u64, WireError> {
        self.uint(8)
    }
    fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_bits(self.u32()?)))
    }
    fn server(&mut self) -> Result<EndpointId, WireError> {
        Ok(EndpointId(self.uint(6)?))
    }
    fn floats(&mut self) -> Result<Vec<f64>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

/// The settings as the simulator and the proxy's configuration spell them.
#[derive(Deserialize)]
pub(crate) struct Conf {
    #[serde(default = "one")]
    instances: u32,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    resolution_us: u64,
    request_classes: Vec<ConfClass>,
    #[serde(default)]
    tenants: Vec<ConfTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    discovery: String,
    family_info: ConfFamily,
    limits: ConfLimits,
    contract: ConfContract,
    #[serde(default)]
    prices: ConfPrices,
    #[serde(default)]
    stats: ConfStats,
}

fn one() -> u32 {
    1
}

fn dial_timeout_us() -> u64 {
    Settings::default().connect_timeout
}

fn conn_idle_us() -> u64 {
    Settings::default().idle_timeout
}

fn most_held() -> usize {
    Settings::default().max_pending
}

#[derive(Deserialize)]
struct ConfClass {
    #[serde(default)]
    name: String,
    aim_us: u64,
    deadline_us: u64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_us: u64,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    credit: f64,
}

#[derive(Deserialize)]
struct ConfTenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct ConfFamily {
    when_behind: String,
    #[serde(default)]
    class_bound_us: Vec<u64>,
    freshness: Vec<String>,
    #[serde(default)]
    write_marks: String,
    #[serde(default)]
    catch_up_wait_us: u64,
    counted_from_us: u64,
}

#[derive(Deserialize)]
struct ConfLimits {
    #[serde(default)]
    cancel: bool,
    max_attempts: u32,
    #[serde(default = "dial_timeout_us")]
    dial_timeout_us: u64,
    #[serde(default = "conn_idle_us")]
    conn_idle_us: u64,
    #[serde(default = "most_held")]
    max_pending: usize,
    #[serde(default)]
    max_retry_after_us: u64,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
struct ConfContract {
    cold_from: f64,
    cold_us: u64,
    fall_multiple: f64,
    fall_us: u64,
    #[serde(default)]
    only_draining_binds: bool,
}

#[derive(Deserialize, Default)]
struct ConfPrices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct ConfStats {
    #[serde(default)]
    fields: Vec<String>,
}

/// The settings, with what only the codec needs of them.
struct Dialect {
    zero: Micros,
    fields: Vec<String>,
}

impl TryFrom<Conf> for Settings {
    type Error = WireError;

    fn try_from(conf: Conf) -> Result<Settings, WireError> {
        let fam = &conf.family_info;
        let mut classes = Vec::new();
        for (i, c) in conf.request_classes.iter().enumerate() {
            let need = match fam.freshness.get(i).map(String::as_str) {
                Some("update") => Requirement::Write,
                Some("latest") => Requirement::Latest,
                Some("own_writes") => Requirement::ReadYourWrites,
                Some("recent") => {
                    Requirement::BoundedStaleness(fam.class_bound_us.get(i).copied().unwrap_or(0))
                }
                Some("loose") => Requirement::Any,
                other => return bad(format!("freshness of class {i} is {other:?}")),
            };
            let effect = match c.effect.as_str() {
                "safe" => Idempotency::Idempotent,
                "keyed" => Idempotency::Keyed { across_groups: c.key_scope == "all", window: c.window_us },
                "unsafe" => Idempotency::AtMostOnce,
                other => return bad(format!("effect of class {i} is {other:?}")),
            };
            classes.push(Class {
                requirement: need,
                idempotency: effect,
                latency_objective: c.aim_us,
                deadline: c.deadline_us,
                priority_weight: c.credit,
                late_value: c.late_share,
            });
        }
        Ok(Settings {
            instances: conf.instances,
            zone: conf.zone,
            resolution: conf.resolution_us,
            classes,
            quotas: conf.tenants.iter().map(|t| t.quota_per_s).collect(),
            over_quota_weight: conf.over_share_worth,
            stale_read_behavior: match fam.when_behind.as_str() {
                "silent" => StaleReadBehavior::Serve,
                "reject" => StaleReadBehavior::Reject,
                "hold" => StaleReadBehavior::WaitThenReject(fam.catch_up_wait_us),
                other => return bad(format!("when_behind is {other:?}")),
            },
            remember_commits: fam.write_marks == "router",
            max_attempts: conf.limits.max_attempts,
            retry_after: conf.limits.retry_after,
            max_retry_after: conf.limits.max_retry_after_us,
            probes: conf.limits.probes,
            cancel: conf.limits.cancel,
            removed_endpoints_usable: conf.contract.only_draining_binds,
            list_on_request: conf.discovery == "on_request",
            slow_start_capacity: conf.contract.cold_from,
            slow_start_duration: conf.contract.cold_us,
            overload_multiple: conf.contract.fall_multiple,
            overload_window: conf.contract.fall_us,
            cross_zone_cost: conf.prices.cross_zone,
            class_names: conf.request_classes.into_iter().map(|c| c.name).collect(),
            load_report_fields: conf.stats.fields,
            position_epoch: fam.counted_from_us,
            connect_timeout: conf.limits.dial_timeout_us,
            idle_timeout: conf.limits.conn_idle_us,
            max_pending: conf.limits.max_pending,
        })
    }
}

fn settings(text: &[u8]) -> Result<(Settings, Dialect), WireError> {
    let settings: Settings =
        serde_json::from_slice(text).map_err(|e| WireError(format!("unusable settings: {e}")))?;
    let dialect = Dialect { zero: settings.position_epoch, fields: settings.load_report_fields.clone() };
    Ok((settings, dialect))
}

impl Dialect {
    fn report(&self, values: &[f64]) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, &v) in self.fields.iter().zip(values) {
            match name.as_str() {
                "x0" => report.position = Some(self.zero.saturating_add((v * 1e6) as u64)),
                "x1" => report.role = Some(if v >= 0.5 { Role::Primary } else { Role::Replica }),
                _ => {}
            }
        }
        report
    }
    fn metadata(&self, stamp: u32) -> ResponseMetadata {
        let role = match stamp % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        let ms = u64::from(stamp / 4);
        ResponseMetadata { role, position: (ms > 0).then_some(self.zero + ms * 1000) }
    }
}

fn status(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        200 => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::Full,
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NeverSent,
        204 => Outcome::NotServable,
        other => return bad(format!("status {other} is unknown")),
    })
}

struct Instance {
    router: Router,
    dialect: Dialect,
}

/// Hosts any number of routers that share nothing, and answers one batch at a time.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    pages: BTreeMap<u8, Vec<EndpointEntry>>,
    /// What was skipped or dropped since the caller last took it.
    pub warnings: Vec<String>,
}

impl Host {
    /// Handles the records of one batch and returns the body of the reply.
    pub fn batch(&mut self, now: Micros, count: u32, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut frame = Fields { rest: body };
        let mut out = Vec::new();
        for i in 0..count {
            let code = frame.u8()?;
            let size = frame.u32()? as usize;
            let mut record = Fields { rest: frame.take(size)? };
            self.record(now, code, &mut record, &mut out)
                .map_err(|e| WireError(format!("record {i} (code {code}): {e}")))?;
        }
        if !frame.rest.is_empty() {
            return bad(format!("{} bytes after the last record", frame.rest.len()));
        }
        Ok(out)
    }

    fn record(
        &mut self,
        now: Micros,
        code: u8,
        r: &mut Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<(), WireError> {
        if code == 20 {
            let page = r.u8()?;
            let rows = r.u32()?;
            let members = (0..rows).map(|_| row(r)).collect::<Result<Vec<_>, _>>()?;
            self.pages.insert(page, members);
            return Ok(());
        }
        if !matches!(code, 16..=19 | 21..=26) {
            self.warnings.push(format!("record of unknown code {code} skipped"));
            return Ok(());
        }
        let id = r.u32()?;
        if code == 16 {
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            let (settings, dialect) = settings(r.take(n)?)?;
            self.instances.insert(id, Instance { router: Router::new(settings, seed, now), dialect });
            return Ok(());
        }
        if code == 26 {
            self.instances.remove(&id);
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            self.warnings
                .push(format!("event of code {code} for instance {id}, which is not running, dropped"));
            return Ok(());
        };
        let Some(event) = event(code, r, &instance.dialect, &self.pages)? else { return Ok(()) };
        let mut actions = Vec::new();
        instance.router.handle(now, event, &mut actions);
        for action in &actions {
            encode(id, action, out);
        }
        Ok(())
    }
}

fn row(r: &mut Fields<'_>) -> Result<EndpointEntry, WireError> {
    let listed = match r.u8()? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return bad(format!("readiness {other} is unknown")),
    };
    let _kind = r.u8()?;
    let primary_hint = r.f32()? >= 0.5;
    let group = u32::from(r.u16()?);
    let server = r.server()?;
    let _power = r.f32()?;
    let started = r.u64()?;
    let zone = u32::from(r.u8()?);
    Ok(EndpointEntry { endpoint: server, group, zone, state: listed, primary_hint, started_at: started })
}

fn event(
    code: u8,
    r: &mut Fields<'_>,
    dialect: &Dialect,
    pages: &BTreeMap<u8, Vec<EndpointEntry>>,
) -> Result<Option<Event>, WireError> {
    Ok(Some(match code {
        17 => Event::TimerFired(r.u32()?),
        19 => {
            let server = r.server()?;
            let answered = r.u16()? == 200;
            let _elapsed = r.u32()?;
            Event::Probed { endpoint: server, answered, report: dialect.report(&r.floats()?) }
        }
        21 => Event::ClientDisconnected(r.u32()?),
        22 => {
            let request = r.u32()?;
            let elapsed = u64::from(r.u32()?);
            let attempt = u32::from(r.u8()?);
            let outcome = status(r.u16()?)?;
            let server = r.server()?;
            let metadata = dialect.metadata(r.u32()?);
            let finished = r.u8()? != 0;
            let report = dialect.report(&r.floats()?);
            Event::AttemptEnded(AttemptResult {
                request,
                attempt,
                endpoint: server,
                outcome,
                elapsed,
                metadata,
                finished,
                report,
            })
        }
        23 => {
            let id = r.u32()?;
            let since = r.f32()?;
            let class = usize::from(r.u8()?);
            let group = r.f32()? as u32;
            let _cost = r.u32()?;
            let session = r.u64()?;
            let tenant = usize::from(r.u16()?);
            let remaining = u64::from(r.u32()?);
            let opts = r.u16()?;
            let since_write = (since > 0.0).then_some((since * 1000.0) as u64);
            let repeat = opts & 2 != 0;
            Event::Request(Request {
                id,
                class,
                group,
                session,
                tenant,
                time_since_write: since_write,
                remaining,
                is_retry: repeat,
            })
        }
        25 => {
            let how = r.u8()?;
            let _generation = r.u64()?;
            let page = r.u8()?;
            if how == 3 {
                return Ok(Some(Event::EndpointListFailed));
            }
            let Some(members) = pages.get(&page) else {
                return bad(format!("list {page} was never set up"));
            };
            Event::EndpointUpdate { full: how != 0, endpoints: members.clone() }
        }
        _ => return Ok(None),
    }))
}

fn encode(id: u32, action: &Action, out: &mut Vec<u8>) {
    let at = out.len();
    out.extend([0; 5]);
    out.extend(id.to_be_bytes());
    let server = |out: &mut Vec<u8>, s: &EndpointId| out.extend(&s.0.to_be_bytes()[2..]);
    let span = |t: &Micros| u32::try_from(*t).unwrap_or(u32::MAX).to_be_bytes();
    let code = match action {
        Action::Send { request, endpoint: to, timeout, .. } => {
            out.extend(request.to_be_bytes());
            server(out, to);
            out.extend(span(timeout));
            16
        }
        Action::Reject { request, retry_after } => {
            out.extend(request.to_be_bytes());
            out.extend(span(retry_after));
            17
        }
        Action::Fail(request) => {
            out.extend(request.to_be_bytes());
            18
        }
        Action::Cancel { request, attempt } => {
            out.extend(request.to_be_bytes());
            out.push(*attempt as u8);
            19
        }
        Action::SetTimer { token, after } => {
            out.extend(token.to_be_bytes());
            out.extend(span(after));
            20
        }
        Action::Probe(to) => {
            server(out, to);
            21
        }
        Action::Log(text) => {
            let n = text.len().min(usize::from(u16::MAX));
            out.extend((n as u16).to_be_bytes());
            out.extend(&text.as_bytes()[..n]);
            24
        }
        Action::Subscribe => {
            out.push(1);
            26
        }
    };
    let size = (out.len() - at - 5) as u32;
    out[at] = code;
    out[at + 1..at + 5].copy_from_slice(&size.to_be_bytes());
}
