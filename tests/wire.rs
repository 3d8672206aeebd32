//! The simulator adapter's protocol: which records it accepts, which ones it skips, and which errors end it.

#![allow(missing_docs)]

use liftrelay::sim_adapter::RouterHost;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"request_classes": [{"aim_us": 200000, "deadline_us": 800000, "effect": "safe", "credit": 1.0}],
 "family_info": {"when_behind": "hold", "freshness": ["loose"], "counted_from_us": 1000, "what_is_this": [1]},
 "limits": {"max_attempts": 4, "probes": true}, "contract": {"cold_from": 0.2, "cold_us": 1000000,
 "fall_multiple": 2.0, "fall_us": 1000000}, "new_key": {"a": null}}"#;

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    let mut bytes = vec![code];
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(body);
    bytes
}

fn enlist_record(settings: &str) -> Vec<u8> {
    let size = (settings.len() as u32).to_be_bytes();
    record(16, &[&3u32.to_be_bytes(), &7u64.to_be_bytes(), &size, settings.as_bytes()])
}

fn list_records() -> Vec<u8> {
    let mut entry = vec![1, 0];
    entry.extend(1f32.to_be_bytes());
    entry.extend(11u16.to_be_bytes());
    entry.extend([10, 18, 74, 7, 27, 91]);
    entry.extend(1f32.to_be_bytes());
    entry.extend([0; 9]);
    let table = record(20, &[&[0], &1u32.to_be_bytes(), &entry]);
    [table, record(25, &[&3u32.to_be_bytes(), &[2], &41u64.to_be_bytes(), &[0]])].concat()
}

fn request_record() -> Vec<u8> {
    let id = 0x5d3a_91c4u32;
    record(
        23,
        &[
            &3u32.to_be_bytes(),
            &id.to_be_bytes(),
            &0f32.to_be_bytes(),
            &[0],
            &11f32.to_be_bytes(),
            &[0; 14],
            &240_000u32.to_be_bytes(),
            &[0, 0],
        ],
    )
}

fn batch(count: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(count.to_be_bytes());
    bytes.extend(8_412_250u64.to_be_bytes());
    bytes.extend(body);
    bytes
}

/// Runs the adapter with this input until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_liftrelay-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn a_request_becomes_a_send_with_its_id_unchanged() {
    let mut host = RouterHost::default();
    let body = [enlist_record(SETTINGS), list_records(), request_record()].concat();
    let reply = host.handle_batch(8_412_250, 4, &body).unwrap();
    // The code, the size of the fields, the instance, the id of the request and the id of the endpoint.
    let expected = [16, 0, 0, 0, 18, 0, 0, 0, 3, 0x5d, 0x3a, 0x91, 0xc4, 10, 18, 74, 7, 27, 91];
    assert!(reply.windows(expected.len()).any(|window| window == expected), "{reply:x?}");
    assert!(host.warnings.is_empty());
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run_adapter(&batch(0, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0]);
}

#[test]
fn records_of_unknown_codes_and_instances_are_skipped_with_a_warning() {
    let body = [record(99, &[&[1, 2, 3]]), record(17, &[&5u32.to_be_bytes(), &0u32.to_be_bytes()])].concat();
    let output = run_adapter(&batch(2, &body));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0]);
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(printed.contains("unknown code 99") && printed.contains("instance 5"), "{printed}");
}

#[test]
fn a_stopped_instance_gets_no_more_events() {
    let mut host = RouterHost::default();
    let stop = record(26, &[&3u32.to_be_bytes()]);
    let body = [enlist_record(SETTINGS), list_records(), stop, request_record()].concat();
    host.handle_batch(1, 5, &body).unwrap();
    assert_eq!(host.warnings.len(), 1);
}

#[test]
fn malformed_input_ends_the_adapter_with_one_error_line_and_no_partial_reply() {
    let good = [enlist_record(SETTINGS), list_records(), request_record()].concat();
    let mut short_record = request_record();
    short_record.truncate(20);
    short_record[1..5].copy_from_slice(&15u32.to_be_bytes());
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("half a header", batch(0, &[])[..9].to_vec()),
        ("half a body", batch(4, &good)[..60].to_vec()),
        (
            "a record that is too short",
            batch(4, &[enlist_record(SETTINGS), list_records(), short_record].concat()),
        ),
        ("a record longer than the frame", batch(1, &[17, 0, 0, 1, 0, 0])),
        ("fewer records than stated", batch(9, &good)),
        ("more bytes than records", batch(3, &good)),
        ("settings that are no JSON", batch(1, &enlist_record("{"))),
        ("settings without classes", batch(1, &enlist_record("{}"))),
        ("an effect that is unknown", batch(1, &enlist_record(&SETTINGS.replace("\"safe\"", "\"odd\"")))),
    ];
    for (case, input) in cases {
        let output = run_adapter(&input);
        assert!(!output.status.success(), "{case}");
        assert!(output.stdout.is_empty(), "{case}: {:?}", output.stdout);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{case}: {error}");
        assert!(!error.contains("panicked"), "{case}: {error}");
    }
}
