//! Formats the findings of a run: the run's settings, the affected requests, and the events before a finding.

use crate::checker::Finding;
use crate::discovery::member_name;
use crate::history::{History, Micros, RequestEnd, SECOND};
use crate::process::Proxy;
use crate::scenario::{CLASSES, Scenario};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

/// Number of findings that are shown for each run.
const SHOWN_FINDINGS: usize = 3;
/// Number of the last notices, and of the last log lines of each kind, that are shown for each finding.
const SHOWN_LINES: usize = 8;
/// Time before the first finding from which events are shown.
const SHOWN_BEFORE: Micros = 8 * SECOND;

/// Formats a time of the run in seconds, with milliseconds.
fn seconds(at: Micros) -> String {
    format!("{:.3}", at as f64 / SECOND as f64)
}

/// Returns the report of a run with findings.
pub fn report(
    scenario: &Scenario,
    history: &History,
    proxies: &[Arc<Proxy>],
    findings: &[Finding],
) -> String {
    let mut text = String::new();
    let Scenario { seed, proxies: count, on_request, drain_grace, .. } = scenario;
    let kind = if *on_request { "asked for" } else { "pushed" };
    let _ = writeln!(
        text,
        "seed {seed}: {} broken; {count} proxies, {} members, lists {kind}, grace {} ms",
        findings.len(),
        scenario.members(),
        drain_grace / 1000
    );
    for finding in findings.iter().take(SHOWN_FINDINGS) {
        let unclear = if finding.unclear { " (unclear: the machine stalled)" } else { "" };
        let (at, rule) = (seconds(finding.at), finding.rule);
        let _ = writeln!(text, "  {at} {rule}{unclear}: {}", finding.text);
        if let Some(id) = finding.request {
            show_request(&mut text, history, proxies, id);
        }
    }
    if let Some(finding) = findings.first() {
        show_events(&mut text, history, finding.at);
    }
    text
}

/// Appends what is recorded of one request: its end for the client, its attempts, the last notices to its
/// proxy, and the log lines of its proxy that name the request or have the MSGID `discovery`.
fn show_request(text: &mut String, history: &History, proxies: &[Arc<Proxy>], id: u64) {
    let mut proxy = None;
    for request in history.requests.lock().unwrap().iter().filter(|request| request.id == id) {
        proxy = Some(request.proxy);
        let _ = writeln!(
            text,
            "    client: id {id:016x} class {} to n{}, sent at {} s, deadline {} ms, ended at {} s: {:?}",
            CLASSES[request.class].name,
            request.proxy,
            seconds(request.sent_at),
            request.wait / 1000,
            seconds(request.ended_at),
            request.end
        );
    }
    for attempt in history.attempts.lock().unwrap().iter().filter(|attempt| attempt.id == id) {
        proxy = proxy.or(Some(attempt.proxy));
        let _ = writeln!(
            text,
            "    member {} from n{}: at {} s, {:?}, told a wait of {} ms",
            member_name(attempt.member),
            attempt.proxy,
            seconds(attempt.at),
            attempt.end,
            attempt.told_wait / 1000
        );
    }
    let Some(proxy) = proxy else { return };
    let notices = history.notices.lock().unwrap();
    let shown: Vec<String> = notices
        .iter()
        .filter(|notice| notice.proxy == proxy)
        .map(|notice| format!("{}:v{}", seconds(notice.at), notice.revision))
        .collect();
    let _ = writeln!(
        text,
        "    discovery notified n{proxy}: {}",
        shown[shown.len().saturating_sub(SHOWN_LINES)..].join(" ")
    );
    for line in proxies[proxy].log_lines(&format!("{id:016x}"), SHOWN_LINES) {
        let _ = writeln!(text, "    log: {line}");
    }
    for line in proxies[proxy].log_lines(" discovery [", SHOWN_LINES) {
        let _ = writeln!(text, "    log: {line}");
    }
}

/// Appends the events of the last seconds before a time.
fn show_events(text: &mut String, history: &History, at: Micros) {
    for (when, event) in history.events.lock().unwrap().iter() {
        if *when <= at && *when + SHOWN_BEFORE >= at {
            let _ = writeln!(text, "    event: {} {event}", seconds(*when));
        }
    }
}

/// Returns the events of the run, and the number of errors in each second by proxy and SQLSTATE, in order of
/// time.
pub fn timeline(history: &History) -> String {
    let mut lines: Vec<(Micros, String)> = history.events.lock().unwrap().clone();
    let mut errors: BTreeMap<(Micros, usize, String), usize> = BTreeMap::new();
    for request in history.requests.lock().unwrap().iter() {
        if let RequestEnd::Error(code) = &request.end {
            let second = request.ended_at / SECOND * SECOND;
            *errors.entry((second, request.proxy, code.clone())).or_default() += 1;
        }
    }
    let error_lines = errors.into_iter().map(|((second, proxy, code), count)| {
        (second, format!("n{proxy} answered {count} requests with {code} in this second"))
    });
    lines.extend(error_lines);
    lines.sort();
    lines.into_iter().map(|(at, line)| format!("  {} {line}\n", seconds(at))).collect()
}
