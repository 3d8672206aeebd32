//! Parses what a member's replies report about the member: its role, its position and its load report.

#[cfg(test)]
mod tests;

use crate::clock::from_unix_ms;
use crate::core::JobResult;
use crate::exchange::MemberResponse;
use crate::memory_budget::HeldBytes;
use crate::pg::message_tags::backend;
use crate::pg::{self, statement};
use crate::{LoadReport, Micros, Outcome, ResponseMetadata, Role};

/// The ParameterStatus with the member's role.
const ROLE_PARAMETER: &[u8] = b"recovery";
/// The ParameterStatus with the member's position, as Unix time in milliseconds.
const POSITION_PARAMETER: &[u8] = b"lsn_ms";
/// The ParameterStatus with a load report.
const LOAD_REPORT_PARAMETER: &[u8] = b"health";

/// The field of a load report with the member's position, as Unix time in seconds.
const POSITION_FIELD: &str = "x0";
/// The field of a load report with the member's role.
const ROLE_FIELD: &str = "x1";
/// Values of [`ROLE_FIELD`].
const ROLE_PRIMARY: f64 = 1.0;
const ROLE_REPLICA: f64 = 0.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The status of a member as the replies to one job report it.
#[derive(Default)]
pub(super) struct MemberStatus {
    metadata: ResponseMetadata,
    report: LoadReport,
}

impl MemberStatus {
    /// Handles the body of a ParameterStatus. A malformed body or an unknown parameter is ignored.
    pub(super) fn on_parameter(&mut self, body: &[u8]) {
        let Some((name, value)) = parameter(body) else { return };
        match name {
            ROLE_PARAMETER => {
                self.metadata.role = match value {
                    b"off" => Some(Role::Primary),
                    b"on" => Some(Role::Replica),
                    _ => None,
                }
            }
            POSITION_PARAMETER => {
                let millis = statement::parse_number(value).filter(|millis| *millis > 0);
                self.metadata.position = millis.map(from_unix_ms);
            }
            LOAD_REPORT_PARAMETER => self.on_load_report(value),
            _ => {}
        }
    }

    /// Handles a load report. If the text can't be parsed completely, an empty report replaces the previous
    /// one.
    pub(super) fn on_load_report(&mut self, text: &[u8]) {
        self.report = parse_load_report(text).unwrap_or_default();
    }

    /// Creates the result of a job with these bytes as its response, which `held` counts.
    pub(super) fn into_job_result(
        self,
        outcome: Outcome,
        bytes: Vec<u8>,
        held: Option<HeldBytes>,
    ) -> JobResult<MemberResponse> {
        let response = MemberResponse { bytes, position: self.metadata.position, held };
        JobResult { outcome, metadata: self.metadata, report: self.report, answer: Some(response) }
    }
}

/// The name and the value in the body of a ParameterStatus; `None` if the body is malformed.
fn parameter(body: &[u8]) -> Option<(&[u8], &[u8])> {
    if !pg::is_well_formed(backend::PARAMETER_STATUS, body) {
        return None;
    }
    let (name, rest) = pg::split_c_string(body)?;
    let (value, _) = pg::split_c_string(rest)?;
    Some((name, value))
}

/// Parses a load report: fields of the form `name=number`, separated by commas. Unknown fields are ignored.
/// Returns `None` if a field has another form or a known field has an invalid value.
fn parse_load_report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for field in std::str::from_utf8(text).ok()?.split(',') {
        let (name, value) = field.split_once('=')?;
        let value = value.trim().parse::<f64>().ok()?;
        if !value.is_finite() {
            return None;
        }
        match name.trim() {
            POSITION_FIELD if value >= 0.0 => report.position = position_of(value),
            POSITION_FIELD => return None,
            ROLE_FIELD => report.role = Some(parse_role(value)?),
            _ => {}
        }
    }
    Some(report)
}

/// Converts a position in a load report, in seconds, to microseconds; 0 means no position.
///
/// The position parameter beside replies is in milliseconds. If the seconds of a load report were read as
/// milliseconds, the member would count as years behind: reads with any freshness requirement would be
/// rejected there, and the member's reported role would count as outdated.
fn position_of(seconds: f64) -> Option<Micros> {
    let position = (seconds * MICROS_PER_SECOND) as Micros;
    (position > 0).then_some(position)
}

fn parse_role(value: f64) -> Option<Role> {
    if value == ROLE_PRIMARY {
        Some(Role::Primary)
    } else if value == ROLE_REPLICA {
        Some(Role::Replica)
    } else {
        None
    }
}
