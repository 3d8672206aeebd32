//! Decodes records of the simulator's protocol into events of a router.

use super::WireError;
use super::codes::EventCode;
use super::fields::FieldReader;
use crate::{
    AttemptResult, EndpointEntry, EndpointState, Event, ExecutedStatement, LoadReport, Micros, Outcome,
    Request, ResponseMetadata, Role, Settings,
};
use std::collections::BTreeMap;

/// The value of `how` in an `Update` record that reports a failed poll of the endpoint list.
const LIST_CALL_FAILED: u8 = 3;
/// The bit of a request's options that marks the request as a retry by the client.
const RETRY_OPTION: u16 = 2;
const STATUS_OK: u16 = 200;

/// The tables of endpoint entries that the simulator has sent, by their number.
pub(super) type Tables = BTreeMap<u8, Vec<EndpointEntry>>;

/// Decodes the values of load reports and the notes of responses according to the settings of an instance.
pub(super) struct ValueDecoder {
    position_epoch: Micros,
    load_report_fields: Vec<String>,
}

impl ValueDecoder {
    pub(super) fn new(settings: &Settings) -> Self {
        ValueDecoder {
            position_epoch: settings.position_epoch,
            load_report_fields: settings.load_report_fields.clone(),
        }
    }

    /// Decodes the values of a load report, which are in the order of the field names in the settings.
    /// `x0` is the replication position in seconds since `position_epoch`; `x1` is 1 for a primary and 0 for
    /// a replica.
    fn load_report(&self, values: &[f64]) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, &value) in self.load_report_fields.iter().zip(values) {
            match name.as_str() {
                "x0" => report.position = Some(self.position_epoch.saturating_add((value * 1e6) as u64)),
                "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
                _ => {}
            }
        }
        report
    }

    /// Decodes a note: 4 times the replication position in milliseconds since `position_epoch`, plus 1 from a
    /// primary or 2 from a replica. Position 0 means that none is reported.
    fn response_metadata(&self, note: u32) -> ResponseMetadata {
        let role = match note % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        let position_ms = u64::from(note / 4);
        let position = (position_ms > 0).then_some(self.position_epoch + position_ms * 1000);
        ResponseMetadata { role, position }
    }
}

/// Decodes one entry of a table.
pub(super) fn decode_entry(fields: &mut FieldReader<'_>) -> Result<EndpointEntry, WireError> {
    let state = match fields.u8()? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(WireError::UnknownState(other)),
    };
    let _machine_kind = fields.u8()?;
    let primary_hint = fields.f32()? >= 0.5;
    let group = u32::from(fields.u16()?);
    let endpoint = fields.endpoint()?;
    let _power_hint = fields.f32()?;
    let started_at = fields.u64()?;
    let zone = u32::from(fields.u8()?);
    Ok(EndpointEntry { endpoint, group, zone, state, primary_hint, started_at })
}

/// Decodes the event of a record; `None` for records that a router does not use.
pub(super) fn decode_event(
    code: EventCode,
    fields: &mut FieldReader<'_>,
    values: &ValueDecoder,
    tables: &Tables,
) -> Result<Option<Event>, WireError> {
    let event = match code {
        EventCode::Timer => Event::TimerFired(fields.u32()?),
        EventCode::Left => Event::ClientDisconnected(fields.u32()?),
        EventCode::Probed => decode_probe(fields, values)?,
        EventCode::Settled => Event::AttemptEnded(decode_attempt(fields, values)?),
        EventCode::Request => Event::Request(decode_request(fields)?),
        EventCode::Update => decode_update(fields, tables)?,
        EventCode::Enlist
        | EventCode::Exit
        | EventCode::FirstByte
        | EventCode::NeighbourSays
        | EventCode::Table => return Ok(None),
    };
    Ok(Some(event))
}

fn decode_probe(fields: &mut FieldReader<'_>, values: &ValueDecoder) -> Result<Event, WireError> {
    let endpoint = fields.endpoint()?;
    let answered = fields.u16()? == STATUS_OK;
    let _elapsed = fields.u32()?;
    let report = values.load_report(&fields.floats()?);
    Ok(Event::ProbeEnded { endpoint, answered, report })
}

fn decode_attempt(fields: &mut FieldReader<'_>, values: &ValueDecoder) -> Result<AttemptResult, WireError> {
    Ok(AttemptResult {
        request: fields.u32()?,
        elapsed: u64::from(fields.u32()?),
        attempt: u32::from(fields.u8()?),
        outcome: decode_status(fields.u16()?)?,
        endpoint: fields.endpoint()?,
        metadata: values.response_metadata(fields.u32()?),
        finished: fields.u8()? != 0,
        report: values.load_report(&fields.floats()?),
    })
}

fn decode_status(status: u16) -> Result<Outcome, WireError> {
    Ok(match status {
        STATUS_OK => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::RejectedByMember,
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NeverSent,
        204 => Outcome::NotServable,
        other => return Err(WireError::UnknownStatus(other)),
    })
}

fn decode_request(fields: &mut FieldReader<'_>) -> Result<Request, WireError> {
    let id = fields.u32()?;
    let since_write_ms = fields.f32()?;
    let class = usize::from(fields.u8()?);
    let group = fields.f32()? as u32;
    let _cost_hint = fields.u32()?;
    let session = fields.u64()?;
    let tenant = usize::from(fields.u16()?);
    let remaining = u64::from(fields.u32()?);
    let options = fields.u16()?;
    let time_since_write = (since_write_ms > 0.0).then_some((since_write_ms * 1000.0) as u64);
    let is_retry = options & RETRY_OPTION != 0;
    // Every request of a keyed class has a key, which the simulator does not send.
    let statement =
        ExecutedStatement { time_since_write, has_key: true, ..ExecutedStatement::new(class, session) };
    Ok(Request { id, class, statements: vec![statement], group, tenant, remaining, is_retry })
}

fn decode_update(fields: &mut FieldReader<'_>, tables: &Tables) -> Result<Event, WireError> {
    let how = fields.u8()?;
    let _generation = fields.u64()?;
    let table = fields.u8()?;
    if how == LIST_CALL_FAILED {
        return Ok(Event::EndpointListFailed);
    }
    let Some(endpoints) = tables.get(&table) else { return Err(WireError::UnknownTable(table)) };
    Ok(Event::EndpointUpdate { complete: how != 0, endpoints: endpoints.clone() })
}
