//! Tests of the checker on hand-written records: for each rule, a record within its limit and one beyond it.

use liftrelay_soak::batch_client::{BatchAnswer, BatchEnd, BatchRecord, BatchStatement};
use liftrelay_soak::checker::check;
use liftrelay_soak::history::{
    AttemptEnd, AttemptRecord, History, ListChange, MS, Micros, Notice, RequestEnd, RequestRecord, SECOND,
};
use liftrelay_soak::member::MemberRole;
use liftrelay_soak::scenario::Scenario;

const WRITE: usize = 2;
const RECENT: usize = 3;

fn request(class: usize, end: RequestEnd) -> RequestRecord {
    RequestRecord { id: 7, proxy: 0, class, sent_at: SECOND, wait: SECOND, ended_at: SECOND + 10 * MS, end }
}

fn attempt(at: Micros, executed: bool) -> AttemptRecord {
    AttemptRecord {
        id: 7,
        proxy: 0,
        member: 0,
        at,
        told_wait: 900 * MS,
        executed,
        value: "v".into(),
        position: at,
        primary: false,
        end: AttemptEnd::Served,
    }
}

fn served() -> RequestEnd {
    RequestEnd::Served("v".into())
}

/// Returns the rules that these records violate in a run without other records.
fn violated_rules(requests: &[RequestRecord], attempts: &[AttemptRecord]) -> Vec<&'static str> {
    violated_rules_in(&History::default(), requests, attempts)
}

/// Returns the rules that a history violates after its requests and attempts are set.
fn violated_rules_in(
    history: &History,
    requests: &[RequestRecord],
    attempts: &[AttemptRecord],
) -> Vec<&'static str> {
    let scenario = Scenario { rejects_stale: false, drain_grace: 500 * MS, proxies: 1, ..Scenario::draw(1) };
    *history.requests.lock().unwrap() = requests.to_vec();
    *history.attempts.lock().unwrap() = attempts.to_vec();
    check(&scenario, history).iter().map(|finding| finding.rule).collect()
}

#[test]
fn each_rule_on_requests_is_violated_by_the_records_beyond_its_limit_only() {
    let at = SECOND + MS;
    let error = |code: &str| RequestEnd::Error(code.into());
    let told = |told_wait| AttemptRecord { told_wait, ..attempt(at, true) };
    let old = |age| AttemptRecord { position: at - age, ..attempt(at, true) };
    let cases: Vec<(&str, RequestRecord, Vec<AttemptRecord>, Vec<&str>)> = vec![
        ("served", request(WRITE, served()), vec![attempt(at, true)], vec![]),
        ("closed", request(WRITE, RequestEnd::Closed), vec![attempt(at, true)], vec!["lost"]),
        ("silent", request(RECENT, RequestEnd::Silent), vec![], vec!["lost"]),
        ("excused", request(WRITE, RequestEnd::Excused), vec![attempt(at, true)], vec![]),
        ("failed after it ran", request(WRITE, error("08007")), vec![attempt(at, true)], vec![]),
        ("rejected, not run", request(WRITE, error("53300")), vec![attempt(at, false)], vec![]),
        ("rejected after it ran", request(WRITE, error("53300")), vec![attempt(at, true)], vec!["refused"]),
        ("57P03 after it ran", request(WRITE, error("57P03")), vec![attempt(at, true)], vec!["refused"]),
        ("read rejected after it ran", request(RECENT, error("53300")), vec![attempt(at, true)], vec![]),
        (
            "a retry of an attempt that did not run",
            request(WRITE, served()),
            vec![attempt(at, false), attempt(at, true)],
            vec![],
        ),
        (
            "a write twice",
            request(WRITE, served()),
            vec![attempt(at, true), attempt(at, true)],
            vec!["duplicate"],
        ),
        ("a read twice", request(RECENT, served()), vec![attempt(at, true), attempt(at, true)], vec![]),
        (
            "another value",
            request(WRITE, RequestEnd::Served("w".into())),
            vec![attempt(at, true)],
            vec!["value"],
        ),
        ("told a wait within the time left", request(WRITE, served()), vec![told(1100 * MS)], vec![]),
        ("told a longer wait", request(WRITE, served()), vec![told(1200 * MS)], vec!["told wait"]),
        ("fresh enough", request(RECENT, served()), vec![old(440 * MS)], vec![]),
        ("stale", request(RECENT, served()), vec![old(500 * MS)], vec!["stale"]),
        (
            "an attempt just after the client left",
            request(RECENT, RequestEnd::Left),
            vec![attempt(SECOND + 140 * MS, true)],
            vec![],
        ),
        (
            "an attempt long after the client left",
            request(RECENT, RequestEnd::Left),
            vec![attempt(SECOND + 160 * MS, true)],
            vec!["left"],
        ),
    ];
    for (name, request, attempts, expected) in cases {
        assert_eq!(violated_rules(&[request], &attempts), expected, "{name}");
    }
}

#[test]
fn a_drain_forbids_attempts_from_the_grace_after_the_notice_until_the_member_returns() {
    let change = |at, revision, serving| ListChange { at, revision, member: 0, serving };
    let cases = [
        (SECOND + 580 * MS, vec![]),
        (SECOND + 600 * MS, vec!["drain"]),
        (4 * SECOND, vec!["drain"]),
        (5 * SECOND + MS, vec![]),
    ];
    for (at, expected) in cases {
        let history = History::default();
        history.changes.lock().unwrap().extend([change(SECOND / 2, 41, false), change(5 * SECOND, 42, true)]);
        history.notices.lock().unwrap().push(Notice { at: SECOND, proxy: 0, revision: 41 });
        assert_eq!(violated_rules_in(&history, &[], &[attempt(at, true)]), expected, "attempt at {at} us");
    }
}

#[test]
fn a_finding_whose_excess_a_stall_of_the_machine_explains_is_unclear() {
    for (stall, expected) in [(0, false), (20 * MS, false), (120 * MS, true)] {
        let history = History::default();
        history.stalls.lock().unwrap().push((SECOND, stall));
        let told = AttemptRecord { told_wait: 1200 * MS, ..attempt(SECOND + 150 * MS, true) };
        history.requests.lock().unwrap().push(request(WRITE, served()));
        history.attempts.lock().unwrap().push(told);
        let findings = check(&Scenario::draw(1), &history);
        let unclear: Vec<_> = findings.iter().map(|finding| (finding.rule, finding.unclear)).collect();
        assert_eq!(unclear, [("told wait", expected)], "stall of {stall} us");
    }
}

#[test]
fn each_answer_of_a_batch_must_be_as_new_as_its_statement_needs() {
    use MemberRole::{FormerPrimary, Primary, Replica};
    let (own, recent) = (0, RECENT);
    let commit = SECOND;
    let cases = [
        ("fresh enough", recent, 440 * MS, Replica, "t", vec![]),
        ("stale", recent, 500 * MS, Replica, "t", vec!["stale"]),
        ("a former primary", recent, 500 * MS, FormerPrimary, "t", vec![]),
        ("with the commit", own, 1000 * MS, Replica, "t", vec![]),
        ("without the commit", own, 1050 * MS, Replica, "t", vec!["stale"]),
        ("the primary", own, 1050 * MS, Primary, "t", vec![]),
        ("the answer to another statement", recent, 0, Replica, "u", vec!["value"]),
    ];
    for (name, class, age, role, tag, expected) in cases {
        let at = commit + 1000 * MS;
        let answer = BatchAnswer { tag: tag.into(), member: 0, at, position: at - age, role };
        let any = BatchAnswer { tag: "any".into(), role: Replica, position: 0, ..answer.clone() };
        let statements = vec![BatchStatement::new(class, "t", commit), BatchStatement::new(1, "any", commit)];
        let end = BatchEnd::Served(vec![answer, any]);
        let history = History::default();
        history.batches.lock().unwrap().push(BatchRecord {
            proxy: 0,
            statements,
            sent_at: at,
            ended_at: at,
            end,
        });
        assert_eq!(violated_rules_in(&history, &[], &[]), expected, "{name}");
    }
}

#[test]
fn slow_start_limits_the_attempts_in_a_window() {
    for (count, expected) in [(150, vec![]), (340, vec!["slow start"])] {
        let history = History::default();
        history.member_starts.lock().unwrap().push((SECOND, 0));
        let attempts: Vec<_> = (0..count).map(|n| attempt(SECOND + n * SECOND / count, true)).collect();
        assert_eq!(violated_rules_in(&history, &[], &attempts), expected, "{count} attempts in 1 s");
    }
}
