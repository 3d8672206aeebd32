use super::bind::parse_parameters;
use super::*;
use crate::pg::message_tags::{describe_targets, frontend};
use crate::pg::sqlstate;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::put_message(&mut bytes, tag, &[body]);
    bytes
}

fn batch(messages: Vec<Vec<u8>>) -> ClientBatch {
    ClientBatch { received_at: 0, messages, end: BatchEnd::Sync, refusal: None }
}

#[test]
fn bind_parameters_are_values_or_nulls() {
    let arguments = b"\0\x01\0\x01\0\x02\0\0\0\x02ab\xff\xff\xff\xff\0\0";
    assert_eq!(parse_parameters(arguments), Some(vec![Some(b"ab".as_slice()), None]));
}

#[test]
fn bind_arguments_that_are_incomplete_too_long_or_of_negative_length_are_malformed() {
    let arguments = b"\0\0\0\x01\0\0\0\x02ab\0\x01\0\0";
    for end in 0..arguments.len() {
        assert_eq!(parse_parameters(&arguments[..end]), None, "arguments cut off after {end} bytes");
    }
    assert!(parse_parameters(arguments).is_some());
    assert_eq!(parse_parameters(&[arguments.as_slice(), b"\0"].concat()), None);
    assert_eq!(parse_parameters(b"\0\0\0\x01\xff\xff\xff\xfe\0\0"), None);
}

#[test]
fn reply_summary_counts_completed_messages_and_sees_an_error() {
    let prepared = message(backend::PARSE_COMPLETE, b"");
    let row = message(backend::DATA_ROW, b"1E1E1E");
    let completed = message(backend::COMMAND_COMPLETE, b"\0");
    let reply = [prepared.clone(), row, completed].concat();
    assert_eq!(ReplySummary::of(&reply), ReplySummary { completed: 2, has_error: false });
    let failed = [reply, message(backend::ERROR_RESPONSE, b"\0"), prepared].concat();
    assert_eq!(ReplySummary::of(&failed), ReplySummary { completed: 2, has_error: true });
}

#[test]
fn batch_depends_on_named_statements_and_on_an_unnamed_one_that_it_does_not_prepare() {
    let parse_unnamed = message(frontend::PARSE, b"\0select 1\0\0\0");
    let bind_unnamed = message(frontend::BIND, b"portal\0\0\0\0\0\0\0\0");
    let close_named =
        message(frontend::CLOSE, &[&[describe_targets::STATEMENT], b"name\0".as_slice()].concat());
    let close_portal =
        message(frontend::CLOSE, &[&[describe_targets::PORTAL], b"portal\0".as_slice()].concat());
    let uses_unnamed = batch(vec![bind_unnamed.clone(), close_portal]);
    assert_eq!(statement_names(&uses_unnamed), [b""]);
    let prepares_unnamed = batch(vec![parse_unnamed, bind_unnamed, close_named]);
    assert_eq!(statement_names(&prepares_unnamed), [b"name"]);
}

/// Guards against a statement that a Parse has ended and that comes back when the Parse fails.
#[test]
fn failed_parse_ends_the_unnamed_statement_and_a_skipped_one_does_not() {
    let analyzer = analyzer();
    let analyze_text = |sql: &str| analyzer.analyze(sql.as_bytes(), &[]).ok().unwrap();
    let text = |session: &Session| session.statement(b"").map(|statement| statement.prepared.sql.clone());
    let mut session = Session::new(HeldBytes::new(MemoryBudget::new(4096, 0, 1)));
    let prepare =
        |session: &mut Session, sql, message| [session.prepare(b"", analyze_text(sql), message).unwrap()];
    let first = prepare(&mut session, "select 1", 0);
    session.end_changes(&first, usize::MAX);
    let skipped = prepare(&mut session, "select 2", 1);
    session.end_changes(&skipped, 0);
    assert_eq!(text(&session).as_deref(), Some(b"select 1".as_slice()), "PostgreSQL skips the Parse");
    let failed = prepare(&mut session, "select 3", 0);
    let behind = prepare(&mut session, "select 4", 0);
    session.end_changes(&failed, 0);
    assert_eq!(text(&session).as_deref(), Some(b"select 4".as_slice()), "it has been prepared anew");
    session.end_changes(&behind, 0);
    assert_eq!(text(&session), None);
}

/// Guards against operators who take writes without a key for writes that are sent again.
#[test]
fn a_keyed_write_class_without_a_key_parameter_is_noted() {
    let (config, settings) = listener();
    assert_eq!(config.note_on_keys(&settings), None);
    let mut settings = Settings::clone(&settings);
    settings.classes[0].idempotency = crate::Idempotency::Keyed { across_groups: true, window: 1 };
    assert!(config.note_on_keys(&settings).unwrap().starts_with("class read: "));
    assert_eq!(ExtendedListenerConfig { key_parameter: 2, ..config }.note_on_keys(&settings), None);
}

/// Guards against "nothing has run" from the proxy itself, for want of memory or of time, behind a part
/// that has run.
#[test]
fn refusal_behind_an_executed_part_of_the_transaction_is_a_failure() {
    for (executed, sqlstate) in [(false, sqlstate::TOO_MANY_CONNECTIONS), (true, "08007")] {
        for refusal in [Refusal::OverBudget, Refusal::ShuttingDown, Refusal::ConnectionClosed] {
            let limits = PostgresLimits { session_memory: MemoryBudget::new(4096, 0, 1), commit_bytes: 96 };
            let (config, settings) = listener();
            let mut postgres = Postgres::new(config, settings, limits, 0).unwrap();
            let mut session = postgres.new_session();
            session.executed_before_flush = executed;
            let refused = ClientBatch { refusal: Some(refusal), ..batch(Vec::new()) };
            let step = postgres.start(&mut session, refused, ServiceState::InService);
            let CommandStep::Reply(reply) = step else { panic!("{refusal:?} is answered by the proxy") };
            let text = String::from_utf8_lossy(&reply);
            assert!(text.contains(&format!("C{sqlstate}")), "{refusal:?}: {text}");
            assert_eq!(text.contains("nothing has run"), !executed, "{refusal:?}: {text}");
        }
    }
}

fn analyzer() -> StatementAnalyzer {
    let (config, settings) = listener();
    StatementAnalyzer::new(config, settings).unwrap()
}

/// A listener whose settings have one class.
fn listener() -> (ExtendedListenerConfig, Arc<Settings>) {
    let class = crate::Class {
        requirement: crate::Requirement::Any,
        idempotency: crate::Idempotency::Idempotent,
        latency_objective: 200_000,
        deadline: 800_000,
        priority_weight: 1.0,
        late_value: 0.0,
    };
    let settings =
        Settings { classes: vec![class], class_names: vec!["read".to_string()], ..Settings::default() };
    let config = ExtendedListenerConfig {
        listen: ([127, 0, 0, 1], 0).into(),
        read_class: "read".to_string(),
        write_class: "read".to_string(),
        group: 1,
        wait_ms: 100,
        session_parameter: 0,
        key_parameter: 0,
        statements: 8,
    };
    (config, Arc::new(settings))
}
