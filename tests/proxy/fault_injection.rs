//! Tests of the fault injection library, preloaded into programs whose system calls are known, and into the
//! proxy.

use crate::support::*;
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Output, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

/// Runs a program with this fault script. Returns its output, and the faults that were injected.
fn run(script: &str, program: &str, arguments: &[&str]) -> (Output, Vec<String>) {
    let faults = Faults::scripted(script);
    let mut command = Command::new(program);
    faults.preload(command.args(arguments));
    (command.output().unwrap(), faults.injected())
}

fn wall_clock_s() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64
}

#[test]
fn wall_clock_is_moved_by_the_offset() {
    for offset in [0, 7200, -7200] {
        let (output, _) = run(&format!("clock_gettime offset_s={offset}"), "date", &["+%s"]);
        let printed: i64 = String::from_utf8(output.stdout).unwrap().trim().parse().unwrap();
        assert!((printed - wall_clock_s() - offset).abs() < 60, "{offset}");
    }
}

#[test]
fn calls_fail_on_the_paths_that_the_script_names() {
    let path = env!("CARGO_MANIFEST_PATH");
    let text = std::fs::read(path).unwrap();
    for call in ["open", "read"] {
        let (output, injected) = run(&format!("{call} path={path} error=EIO"), "cat", &[path]);
        assert!(!output.status.success() && output.stdout.is_empty(), "{call}");
        assert_eq!(injected, [format!("{call} error=EIO")]);
        let (output, injected) = run(&format!("{call} path=/nowhere error=EIO"), "cat", &[path]);
        assert!(output.stdout == text && injected.is_empty(), "{call}");
    }
}

#[test]
fn only_the_calls_that_are_due_are_affected() {
    let path = env!("CARGO_MANIFEST_PATH");
    let text = std::fs::read(path).unwrap();
    // Reads of 3 bytes at most, so that `cat` makes more reads than the first rule affects.
    let script = format!("read path={path} skip=1 every=2 count=2 short=1; read path={path} short=3");
    let (output, injected) = run(&script, "cat", &[path]);
    assert_eq!(output.stdout, text);
    assert_eq!(
        injected[..5],
        ["read short=3", "read short=1", "read short=3", "read short=1", "read short=3"]
    );
    assert_eq!(injected.iter().filter(|line| *line == "read short=1").count(), 2);
}

#[test]
fn faults_of_a_running_program_are_replaced() {
    let faults = Faults::none();
    let mut command = Command::new("cat");
    faults.preload(command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()));
    let mut child = command.spawn().unwrap();
    let mut input = child.stdin.take().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    input.write_all(b"first\n").unwrap();
    assert_eq!(lines.next().unwrap().unwrap(), "first");
    faults.set("write fd=1 short=2");
    input.write_all(b"second\n").unwrap();
    assert_eq!(lines.next().unwrap().unwrap(), "second");
    faults.clear();
    assert_eq!(faults.injected(), ["write short=2"; 4]);
    input.write_all(b"third\n").unwrap();
    assert_eq!(lines.next().unwrap().unwrap(), "third");
    faults.set("write fd=1 error=ENOSPC");
    input.write_all(b"fourth\n").unwrap();
    assert!(lines.next().is_none() && !child.wait().unwrap().success());
    assert_eq!(faults.injected(), ["write error=ENOSPC"]);
}

#[test]
fn script_that_cannot_be_used_ends_the_program() {
    for script in [
        "reed error=EIO",
        "read error=EWHAT",
        "read on=paper short=1",
        "read every=0 short=1",
        "read short=0",
        "read",
        "read short=1 error=EIO",
        "fsync short=1",
        "read offset_s=1",
        "clock_gettime error=EIO",
    ] {
        let (output, _) = run(script, "date", &[]);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && errors.starts_with("fault_injection: "), "{script}: {errors}");
    }
}

/// The calls of the proxy and of its libraries must go through the preloaded functions, and rules must tell
/// kinds and addresses of sockets apart: otherwise tests of the proxy would run without their faults.
#[test]
fn calls_of_the_proxy_are_interposed() {
    let primary = MockMember::start(true);
    let member = primary.address;
    let calls_to_member = [
        "epoll_wait".to_string(),
        "pthread_create".to_string(),
        "socket".to_string(),
        format!("connect peer={member}"),
        format!("poll peer={member}"),
        format!("write peer={member} on=connected"),
        format!("read peer={member} on=connected"),
    ];
    let faults = Faults::scripted(&once_each(&calls_to_member));
    let proxy = Proxy::start_with_faults(&[&primary], &shell_without_probes(""), &faults);
    assert_eq!(proxy.connect().query(&write_query(1, 9000)), SERVED);
    faults.wait_for_injected(calls_to_member.len());

    let (client, admin) = (proxy.address, proxy.admin_address.unwrap());
    let calls_to_clients = [
        format!("accept4 local={client} on=listener"),
        format!("epoll_ctl local={client} on=accepted"),
        format!("setsockopt local={client} on=accepted"),
        format!("read local={client} on=accepted"),
        format!("write local={client} on=accepted"),
        format!("accept4 local={admin} on=listener"),
        format!("write local={admin} on=accepted"),
    ];
    faults.set(&once_each(&calls_to_clients));
    assert_eq!(proxy.connect().query(&write_query(2, 9000)), SERVED);
    wait_for_counter(&proxy, "pending=0\n");
    faults.wait_for_injected(calls_to_clients.len());

    faults
        .set("read peer=127.0.0.1:1 error=EIO; connect local=127.0.0.1:1 error=EIO; write on=file error=EIO");
    assert_eq!(proxy.connect().query(&write_query(3, 9000)), SERVED);
    assert!(faults.injected().is_empty());
}

/// A script that delays each of these calls once by 0 ms: the only effect is a line in the report.
fn once_each(calls: &[String]) -> String {
    calls.iter().map(|call| format!("{call} count=1 delay_ms=0\n")).collect()
}
