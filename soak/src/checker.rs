//! Checks the rules of the protocol documentation on the records of a run.

use crate::batch_checker::check_batches;
use crate::batch_client::BatchEnd;
use crate::client::LATE_LIMIT;
use crate::discovery::member_name;
use crate::history::{AttemptEnd, AttemptRecord, History, MS, Micros, RequestEnd, RequestRecord, SECOND};
use crate::member::{CAPACITY, capacity_share};
use crate::scenario::{
    CLASSES, ClassKind, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SLOW_START_DURATION, SOCKET_SLACK,
    STALENESS_BOUND, Scenario,
};
use std::collections::{BTreeMap, HashMap};

/// Time after a client closed its connection within which an attempt for its request may still begin.
const LEFT_LIMIT: Micros = 100 * MS;
/// Allowance by which the wait announced to a member may exceed the time left to the client.
const TOLD_WAIT_SLACK: Micros = 150 * MS;
/// Allowance for the delay with which an emulator sees bytes on a busy machine.
pub(crate) const EMULATOR_SLACK: Micros = 40 * MS;
/// Ratio of the longest stall that any emulator thread may have met to the stall that the watching thread
/// measured. A finding whose excess is within this multiple of the measured stall is unclear.
const STALL_FACTOR: Micros = 2;
/// From this many allowed requests on, the slow start rule allows for chance 2 square roots of the allowed
/// number and 2 requests; below it, 3 square roots and 3 requests.
const MANY_REQUESTS: f64 = 30.0;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The name of the rule.
    pub rule: &'static str,
    /// Time in the run at which the violation was seen.
    pub at: Micros,
    /// The id of the affected request; `None` if the rule is not about a single request.
    pub request: Option<u64>,
    /// What was expected and what was seen instead.
    pub text: String,
    /// For a rule with a time limit: the time by which the limit was exceeded.
    pub excess: Option<Micros>,
    /// Whether a stall of the machine was long enough to explain the excess as the emulator's own delay.
    pub unclear: bool,
}

impl Finding {
    pub(crate) fn new(rule: &'static str, at: Micros, text: String) -> Finding {
        Finding { rule, at, request: None, text, excess: None, unclear: false }
    }

    fn of_request(rule: &'static str, at: Micros, request: u64, text: String) -> Finding {
        Finding { request: Some(request), ..Finding::new(rule, at, text) }
    }

    /// Sets the time by which the limit of the rule was exceeded.
    fn exceeding_by(self, excess: Micros) -> Finding {
        Finding { excess: Some(excess), ..self }
    }
}

/// The requests of a run, and its attempts by request id.
struct IndexedRecords {
    requests: Vec<RequestRecord>,
    attempts: BTreeMap<u64, Vec<AttemptRecord>>,
}

/// Checks all rules. Findings that are certain come first, then the unclear ones, each in order of time.
pub fn check(scenario: &Scenario, history: &History) -> Vec<Finding> {
    let mut records =
        IndexedRecords { requests: history.requests.lock().unwrap().clone(), attempts: BTreeMap::new() };
    for attempt in history.attempts.lock().unwrap().iter() {
        records.attempts.entry(attempt.id).or_default().push(attempt.clone());
    }
    let mut findings = Vec::new();
    for request in &records.requests {
        let attempts = records.attempts.get(&request.id).map_or(&[][..], Vec::as_slice);
        check_request(request, attempts, scenario, &mut findings);
    }
    check_batches(scenario, history, &mut findings);
    check_drains(scenario, history, &mut findings);
    check_slow_start(history, &mut findings);
    for incident in history.incidents.lock().unwrap().iter() {
        let text = format!("n{}: {}", incident.proxy, incident.text);
        findings.push(Finding::new("process", incident.at, text));
    }
    for finding in &mut findings {
        let stall = history.stall_around(finding.at);
        finding.unclear = finding.excess.is_some_and(|excess| excess <= STALL_FACTOR * stall);
    }
    findings.sort_by_key(|finding| (finding.unclear, finding.at));
    findings
}

/// Checks the rules on one request: it is answered, a rejected write did not run, no write runs twice, a
/// value comes from one of its attempts, the data is not too old, and the times of its attempts are within
/// their limits.
fn check_request(
    request: &RequestRecord,
    attempts: &[AttemptRecord],
    scenario: &Scenario,
    findings: &mut Vec<Finding>,
) {
    let ended_at = request.ended_at;
    let mut report =
        |rule, text: String| findings.push(Finding::of_request(rule, ended_at, request.id, text));
    let kind = CLASSES[request.class].kind;
    let executions = attempts.iter().filter(|attempt| attempt.executed).count();
    match &request.end {
        RequestEnd::Closed => {
            report("lost", "expected an answer, but the proxy closed the connection".into())
        }
        RequestEnd::Silent => report(
            "lost",
            format!("expected an answer, got none until {} ms after the client's deadline", LATE_LIMIT / MS),
        ),
        RequestEnd::Served(value) => {
            let source = attempts.iter().find(|attempt| attempt.value == *value);
            match source {
                None => report(
                    "value",
                    format!("expected the value of one of the request's attempts, got {value}"),
                ),
                Some(attempt) => check_age(kind, scenario, attempt, &mut report),
            }
        }
        RequestEnd::Error(code) if is_rejection(code) && kind.is_write() && executions > 0 => {
            report(
                "refused",
                format!("rejected with {code}, which promises that nothing ran, but a member ran it"),
            );
        }
        RequestEnd::Error(_) | RequestEnd::Left | RequestEnd::Excused => {}
    }
    if kind.is_write() && executions > 1 {
        report("duplicate", format!("expected a write to run at most once, but it ran {executions} times"));
    }
    for attempt in attempts {
        findings.extend(check_attempt_times(request, attempt));
    }
}

/// Checks that an attempt does not begin long after its client left, and that the wait announced to the
/// member does not exceed the time left to the client.
fn check_attempt_times(request: &RequestRecord, attempt: &AttemptRecord) -> Option<Finding> {
    let since_left = attempt.at.saturating_sub(request.ended_at);
    let limit = LEFT_LIMIT + EMULATOR_SLACK;
    if request.end == RequestEnd::Left && since_left > limit {
        let text = format!(
            "expected no new attempt for a client that left, but one began {} ms later",
            since_left / MS
        );
        return Some(
            Finding::of_request("left", attempt.at, request.id, text).exceeding_by(since_left - limit),
        );
    }
    let time_left = (request.sent_at + request.wait).saturating_sub(attempt.at);
    let limit = time_left + TOLD_WAIT_SLACK + EMULATOR_SLACK;
    if attempt.told_wait > limit {
        let text = format!(
            "the member was told a wait of {} ms, expected no more than the {} ms left to the client",
            attempt.told_wait / MS,
            time_left / MS
        );
        let excess = attempt.told_wait - limit;
        return Some(Finding::of_request("told wait", attempt.at, request.id, text).exceeding_by(excess));
    }
    None
}

/// Returns whether an SQLSTATE promises that no attempt of the request has run.
fn is_rejection(code: &str) -> bool {
    code == "53300" || code == "57P03"
}

/// Checks the age of the data in a reply at the time the attempt arrived at the member. The rule applies to
/// reads with a staleness bound that a replica served, in runs whose members serve stale reads instead of
/// rejecting them.
fn check_age(
    kind: ClassKind,
    scenario: &Scenario,
    attempt: &AttemptRecord,
    report: &mut impl FnMut(&'static str, String),
) {
    let age = attempt.at.saturating_sub(attempt.position);
    let is_stale = age > STALENESS_BOUND + SOCKET_SLACK + EMULATOR_SLACK;
    if kind == ClassKind::Recent && !scenario.rejects_stale && !attempt.primary && is_stale {
        report(
            "stale",
            format!("expected data within the staleness bound, got data that was {} ms old", age / MS),
        );
    }
}

/// Checks that a proxy sends no new attempt to a member that drains or is removed. The rule holds from one
/// drain grace after the proxy counts as notified until the member serves again.
fn check_drains(scenario: &Scenario, history: &History, findings: &mut Vec<Finding>) {
    let changes = history.changes.lock().unwrap();
    let notices = history.notices.lock().unwrap();
    // By member and proxy: time spans in which this proxy must not send new attempts to this member.
    let mut forbidden: HashMap<(usize, usize), Vec<(Micros, Micros)>> = HashMap::new();
    for (position, change) in changes.iter().enumerate().filter(|(_, change)| !change.serving) {
        let later = &changes[position + 1..];
        let back = later.iter().find(|other| other.member == change.member && other.serving);
        let until = back.map_or(Micros::MAX, |back| back.at);
        for proxy in 0..scenario.proxies {
            let notified_at = notices
                .iter()
                .filter(|notice| notice.proxy == proxy && notice.revision >= change.revision)
                .map(|notice| notice.at)
                .min();
            if let Some(notified_at) = notified_at {
                let from = notified_at + scenario.drain_grace + SOCKET_SLACK;
                forbidden.entry((change.member, proxy)).or_default().push((from, until));
            }
        }
    }
    for attempt in history.attempts.lock().unwrap().iter() {
        let Some(spans) = forbidden.get(&(attempt.member, attempt.proxy)) else { continue };
        let at = attempt.at.saturating_sub(EMULATOR_SLACK);
        if let Some((from, _)) = spans.iter().find(|(from, until)| at > *from && attempt.at < *until) {
            let notified_at = from - scenario.drain_grace - SOCKET_SLACK;
            let text = format!(
                "expected no attempt to draining or removed members: {} got one {} ms after n{} was notified",
                member_name(attempt.member),
                (attempt.at - notified_at) / MS,
                attempt.proxy
            );
            findings.push(Finding::of_request("drain", attempt.at, attempt.id, text).exceeding_by(at - from));
        }
    }
}

/// Checks that all proxies together send a warming-up member no more attempts in any overload window than the
/// settings allow, with an allowance for chance.
fn check_slow_start(history: &History, findings: &mut Vec<Finding>) {
    let attempts = history.attempts.lock().unwrap();
    for &(started, member) in history.member_starts.lock().unwrap().iter() {
        let is_warming = |attempt: &&AttemptRecord| {
            attempt.member == member && attempt.at >= started && attempt.at < started + SLOW_START_DURATION
        };
        let mut times: Vec<Micros> = attempts.iter().filter(is_warming).map(|attempt| attempt.at).collect();
        times.sort_unstable();
        for (last, at) in times.iter().enumerate() {
            let first = times.partition_point(|time| time + OVERLOAD_WINDOW <= *at);
            let allowed =
                OVERLOAD_MULTIPLE * CAPACITY * capacity_share(at - started) * OVERLOAD_WINDOW as f64
                    / SECOND as f64;
            let slack =
                if allowed < MANY_REQUESTS { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
            let count = last + 1 - first;
            if count as f64 > allowed + slack {
                let text = format!(
                    "expected {} to get at most about {allowed:.0} requests while it warms up, got {count}",
                    member_name(member)
                );
                findings.push(Finding::new("slow start", *at, text));
                break;
            }
        }
    }
}

/// Returns the summary of a run: the number of requests by how they ended, and of attempts.
pub fn summary(history: &History) -> String {
    let requests = history.requests.lock().unwrap();
    let count = |is_counted: fn(&RequestEnd) -> bool| {
        requests.iter().filter(|request| is_counted(&request.end)).count()
    };
    let attempts = history.attempts.lock().unwrap();
    let rejected = attempts.iter().filter(|attempt| attempt.end == AttemptEnd::Rejected);
    let batches = history.batches.lock().unwrap();
    let served = batches.iter().filter(|batch| matches!(batch.end, BatchEnd::Served(_))).count();
    format!(
        "{} requests: {} served, {} errors, {} left, {} excused; {served} of {} batches served; {} attempts, \
         {} turned away",
        requests.len(),
        count(|end| matches!(end, RequestEnd::Served(_))),
        count(|end| matches!(end, RequestEnd::Error(_))),
        count(|end| *end == RequestEnd::Left),
        count(|end| *end == RequestEnd::Excused),
        batches.len(),
        attempts.len(),
        rejected.count()
    )
}
