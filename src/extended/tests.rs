use super::*;
use crate::memory_budget::{HeldBytes, MemoryBudget};
use crate::pg;
use crate::pg::statement::parse_fields;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn statement(sql: &[u8]) -> Arc<PreparedStatement> {
    let timeout_digits = parse_fields(sql).timeout.map(|timeout| timeout.digits);
    Arc::new(PreparedStatement { sql: sql.to_vec(), parameter_types: vec![0, 0], timeout_digits })
}

fn statement_cache() -> PreparedStatementCache {
    PreparedStatementCache::new(HeldBytes::new(MemoryBudget::new(1 << 20, 0, 1)))
}

fn bind(statement: &Arc<PreparedStatement>) -> ExtendedMessage {
    ExtendedMessage::Bind {
        portal: Vec::new(),
        statement: statement.clone(),
        arguments: vec![0; 6].into(),
        reply_forwarded: true,
    }
}

fn execute() -> ExtendedMessage {
    ExtendedMessage::Execute { portal: Vec::new(), row_limit: vec![0; 4] }
}

/// A message without a body.
fn reply(tag: u8) -> Vec<u8> {
    let mut message = Vec::new();
    pg::put_message(&mut message, tag, &[]);
    message
}

/// The type bytes of these messages.
fn tags(mut messages: &[u8]) -> String {
    let mut tags = String::new();
    while messages.len() >= 5 {
        tags.push(messages[0] as char);
        let length = u32::from_be_bytes([messages[1], messages[2], messages[3], messages[4]]) as usize;
        messages = &messages[length + 1..];
    }
    tags
}

#[test]
fn a_missing_statement_is_prepared_and_its_parse_complete_is_not_forwarded() {
    let mut statements = statement_cache();
    let select = statement(b"SELECT 1");
    let batch = ExtendedBatch { messages: vec![bind(&select), execute()], confirm_before_execute: true };
    let mut first = BatchExecution::new(&batch, &mut statements, SECOND);
    assert_eq!(tags(&first.pre_execute), "PB");
    for tag in *b"12" {
        assert!(!first.pre_execute_answered());
        assert_eq!(first.on_reply(&mut statements, tag, &reply(tag)), Progress::AwaitingReplies);
    }
    assert!(first.pre_execute_answered());
    first.add_from_execute(&batch, &mut statements, SECOND);
    assert_eq!(tags(&first.from_execute), "E");
    first.on_reply(&mut statements, b'C', &reply(b'C'));
    assert_eq!(first.on_reply(&mut statements, b'Z', &reply(b'Z')), Progress::Complete);
    assert_eq!(tags(&first.response), "2C");
    let second = BatchExecution::new(&batch, &mut statements, SECOND);
    assert_eq!(tags(&second.pre_execute), "B", "the statement is already prepared");
}

#[test]
fn parse_of_a_statement_already_prepared_by_another_client_is_answered_by_the_proxy_in_order() {
    let mut statements = statement_cache();
    let select = statement(b"SELECT 1");
    let batch = || ExtendedBatch {
        messages: vec![ExtendedMessage::Parse(select.clone()), bind(&select), execute()],
        confirm_before_execute: false,
    };
    BatchExecution::new(&batch(), &mut statements, SECOND);
    let mut second = BatchExecution::new(&batch(), &mut statements, SECOND);
    assert_eq!(tags(&second.pre_execute), "B");
    second.add_from_execute(&batch(), &mut statements, SECOND);
    for tag in *b"2C" {
        second.on_reply(&mut statements, tag, &reply(tag));
    }
    assert_eq!(tags(&second.response), "12C");
}

#[test]
fn statements_skipped_after_an_error_do_not_count_as_prepared() {
    let mut statements = statement_cache();
    let misspelt = statement(b"SELEC 1");
    let batch = ExtendedBatch { messages: vec![bind(&misspelt), execute()], confirm_before_execute: false };
    let mut execution = BatchExecution::new(&batch, &mut statements, SECOND);
    execution.add_from_execute(&batch, &mut statements, SECOND);
    let mut error = Vec::new();
    pg::put_error_response(&mut error, "ERROR", "42601", "syntax", None);
    execution.on_reply(&mut statements, b'E', &error);
    assert_eq!(execution.on_reply(&mut statements, b'Z', &reply(b'Z')), Progress::Complete);
    assert_eq!(tags(&BatchExecution::new(&batch, &mut statements, SECOND).pre_execute), "PB");
}

#[test]
fn the_statement_cache_is_bounded_and_never_reuses_names() {
    let mut statements = statement_cache();
    let mut names = HashSet::new();
    for n in 0..500 {
        let select = statement(format!("SELECT {n}").as_bytes());
        let mut execution = BatchExecution::default();
        assert!(names.insert(execution.add_statement(&select, &mut statements, true)));
        assert_eq!(tags(&execution.pre_execute), if n < 128 { "P" } else { "CP" });
    }
    assert_eq!(statements.len(), 128);
}

#[test]
fn replies_out_of_order_are_a_protocol_violation() {
    let mut statements = statement_cache();
    let select = statement(b"SELECT 1");
    let batch = ExtendedBatch { messages: vec![bind(&select), execute()], confirm_before_execute: true };
    let mut execution = BatchExecution::new(&batch, &mut statements, SECOND);
    execution.add_from_execute(&batch, &mut statements, SECOND);
    assert_eq!(execution.on_reply(&mut statements, b'D', &reply(b'D')), Progress::ProtocolViolation);
    assert_eq!(execution.on_reply(&mut statements, b'Z', &reply(b'Z')), Progress::ProtocolViolation);
}

#[test]
fn statement_is_prepared_with_the_time_left_and_bound_again_if_less_time_is_left_at_the_execute() {
    let mut statements = statement_cache();
    let insert = statement(b"INSERT /* d=900 */");
    let batch = ExtendedBatch { messages: vec![bind(&insert), execute()], confirm_before_execute: true };
    let millis = Duration::from_millis;
    let mut on_time = BatchExecution::new(&batch, &mut statements, millis(895));
    assert!(on_time.pre_execute.windows(16).any(|bytes| bytes == b"INSERT /* d=864 "));
    on_time.add_from_execute(&batch, &mut statements, millis(864));
    assert_eq!(tags(&on_time.from_execute), "E");

    let mut late = BatchExecution::new(&batch, &mut statements, millis(870));
    assert_eq!(tags(&late.pre_execute), "B", "the rounded timeout is the same: already prepared");
    late.add_from_execute(&batch, &mut statements, millis(863));
    assert_eq!(tags(&late.from_execute), "CPBE");
    assert!(late.from_execute.windows(16).any(|bytes| bytes == b"INSERT /* d=832 "));
    for tag in *b"2312C" {
        assert_eq!(late.on_reply(&mut statements, tag, &reply(tag)), Progress::AwaitingReplies);
    }
    assert_eq!(late.on_reply(&mut statements, b'Z', &reply(b'Z')), Progress::Complete);
    assert_eq!(tags(&late.response), "2C", "the BindComplete of the second Bind is not forwarded");
}

#[test]
fn timeouts_of_statements_are_rounded_down_by_a_sixteenth_at_most() {
    for millis in (1..5000).chain([u64::from(u32::MAX), u64::MAX / 1000]) {
        let rounded = batch::timeout_ms(Duration::from_millis(millis));
        assert!(rounded <= millis && rounded >= millis - millis / 16, "{rounded} of {millis}");
    }
    let distinct: HashSet<_> =
        (1..5000).map(|millis| batch::timeout_ms(Duration::from_millis(millis))).collect();
    assert!(distinct.len() < 160, "{}", distinct.len());
}
