//! Checks the rules on batches: each answer by what its member had applied of the log.

use crate::batch_client::{BatchAnswer, BatchEnd, BatchRecord, BatchStatement};
use crate::checker::{EMULATOR_SLACK, Finding};
use crate::client::LATE_LIMIT;
use crate::discovery::member_name;
use crate::history::{History, MS};
use crate::member::MemberRole;
use crate::scenario::{CLASSES, ClassKind, SOCKET_SLACK, STALENESS_BOUND, Scenario};

/// Checks all batches of a run.
pub(crate) fn check_batches(scenario: &Scenario, history: &History, findings: &mut Vec<Finding>) {
    for batch in history.batches.lock().unwrap().iter() {
        match &batch.end {
            BatchEnd::Silent => {
                let limit = LATE_LIMIT / MS;
                let text =
                    format!("expected an answer to a batch, got none until {limit} ms after its deadline");
                findings.push(Finding::new("lost", batch.ended_at, text));
            }
            BatchEnd::Served(answers) => check_answers(scenario, batch, answers, findings),
            BatchEnd::Error(_) | BatchEnd::Closed => {}
        }
    }
}

/// Checks that each statement has its own answer, of data as new as the statement needs.
fn check_answers(
    scenario: &Scenario,
    batch: &BatchRecord,
    answers: &[BatchAnswer],
    findings: &mut Vec<Finding>,
) {
    let tags = |tags: Vec<&String>| format!("{tags:?}");
    let expected = tags(batch.statements.iter().map(|statement| &statement.tag).collect());
    let got = tags(answers.iter().map(|answer| &answer.tag).collect());
    if expected != got {
        let text = format!("expected answers to the statements {expected} of a batch, got {got}");
        return findings.push(Finding::new("value", batch.ended_at, text));
    }
    for (statement, answer) in batch.statements.iter().zip(answers) {
        let Some(need) = unmet_need(scenario, statement, answer) else { continue };
        let name = |statement: &BatchStatement| CLASSES[statement.class].name;
        let classes: Vec<_> = batch.statements.iter().map(name).collect();
        let text = format!(
            "expected {need} for `{}` in a batch of {classes:?} to n{}, sent at {} ms, got data that was {} ms old \
             at {}",
            name(statement),
            batch.proxy,
            batch.sent_at / MS,
            answer.at.saturating_sub(answer.position) / MS,
            member_name(answer.member)
        );
        findings.push(Finding::new("stale", answer.at, text));
    }
}

/// Returns the need of a statement that its answer does not meet. Where members check positions, the statement's
/// text does not tell them the session's commit, so that only the proxy's choice of a member is at stake.
fn unmet_need(scenario: &Scenario, statement: &BatchStatement, answer: &BatchAnswer) -> Option<&'static str> {
    if scenario.rejects_stale || answer.role != MemberRole::Replica {
        return None;
    }
    let slack = SOCKET_SLACK + EMULATOR_SLACK;
    let age = answer.at.saturating_sub(answer.position);
    match CLASSES[statement.class].kind {
        ClassKind::Recent if age > STALENESS_BOUND + slack => Some("data within the staleness bound"),
        ClassKind::Own if answer.position + EMULATOR_SLACK < statement.commit => {
            Some("the session's last commit")
        }
        _ => None,
    }
}
