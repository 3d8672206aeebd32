//! The proxy's log at syslog collectors, and its store.

use crate::support::*;
use serde_json::Value;
use std::io::Read;
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Instant;

/// Removes the time, the host, the process id and the sequence number from a syslog message, and the port of
/// a listener.
fn normalize_message(message: &str) -> String {
    let words: Vec<_> = message.split(' ').collect();
    assert!(words[1].ends_with('Z') && words[4].parse::<u32>().is_ok(), "{message}");
    let rest = message.split_once("\"]").unwrap().1;
    let rest =
        rest.split_once(" listen=\"127.0.0.1:").map_or(rest.to_string(), |(before, port_and_after)| {
            format!("{before} listen=...{}", port_and_after.trim_start_matches(|c: char| c.is_ascii_digit()))
        });
    format!("{} {} {}{rest}", words[0], words[3], words[5])
}

#[test]
fn tcp_collector_gets_octet_counted_messages() {
    let (primary, collector) = (MockMember::start(true), TcpListener::bind("127.0.0.1:0").unwrap());
    let file = format!("collector = \"{}\"\nprotocol = \"tcp\"\n", collector.local_addr().unwrap());
    let mut proxy = Proxy::start_with_shell(&[&primary], "exec \"$0\" serve --syslog \"$2\"", &file);
    let (mut stream, _) = collector.accept().unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    proxy.signal("-TERM");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    assert!(proxy.child.wait().unwrap().success());
    let (mut rest, mut messages) = (&bytes[..], Vec::new());
    while let Some(space) = rest.iter().position(|byte| *byte == b' ') {
        let length: usize = std::str::from_utf8(&rest[..space]).unwrap().parse().unwrap();
        let message = &rest[space + 1..space + 1 + length];
        messages.push(normalize_message(std::str::from_utf8(message).unwrap()));
        rest = &rest[space + 1 + length..];
    }
    assert!(rest.is_empty());
    messages.retain(|normalized| !normalized.contains("store"));
    insta::assert_snapshot!(messages.join("\n"), @r#"
    <30>1 liftrelay net[liftrelay@32473 list_revision="0" complete="true" source="configuration" entries="0" changes="0" known="0"] endpoint list applied
    <30>1 liftrelay net[liftrelay@32473 name="n0" listen=..."] serving
    <30>1 liftrelay net[liftrelay@32473 list_revision="1" complete="true" source="discovery" watch="0" entries="1" changes="1" known="1"] endpoint list applied
    <30>1 liftrelay net[liftrelay@32473 member="s-0" to="ready" list_revision="1"] endpoint state changed
    <30>1 liftrelay net[liftrelay@32473 list_revision="1" complete="true" source="discovery" watch="0" entries="1" changes="0" known="1"] endpoint list applied
    <30>1 liftrelay net shutdown requested
    <30>1 liftrelay net shutdown complete
    "#);
}

#[test]
fn udp_collector_gets_one_message_per_datagram_and_an_absent_collector_does_no_harm() {
    let (primary, collector) = (MockMember::start(true), UdpSocket::bind("127.0.0.1:0").unwrap());
    collector.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let address = collector.local_addr().unwrap();
    let file = format!("collector = \"{address}\"\nprotocol = \"udp\"\nfacility = 16\n");
    let proxy = Proxy::start_with_shell(&[&primary], "exec \"$0\" serve --syslog \"$2\"", &file);
    let mut datagram = [0; 4096];
    let length = collector.recv(&mut datagram).unwrap();
    assert!(
        normalize_message(std::str::from_utf8(&datagram[..length]).unwrap()).starts_with("<134>1 liftrelay ")
    );
    drop((proxy, collector));
    let absent = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let absent = format!("collector = \"{absent}\"\nprotocol = \"tcp\"\n");
    let proxy = Proxy::start_with_shell(&[&primary], "exec \"$0\" serve --syslog \"$2\"", &absent);
    assert_eq!(proxy.connect().query(&read_query(1)), "T D(value) C Z");
}

/// The configuration file and the data directory of a store with one replica on disk.
struct StoreFile {
    data: PathBuf,
    /// The text of the configuration file.
    text: String,
}

impl StoreFile {
    fn new(network: u8) -> StoreFile {
        // The host address contains the process id. No other process uses it, so the port stays free until
        // the replica binds it.
        let pid = std::process::id();
        let host = format!("127.{network}.{}.{}:0", pid >> 8 & 255, pid & 255);
        let free = TcpListener::bind(host).unwrap().local_addr().unwrap();
        let data = std::env::temp_dir().join(format!("liftrelay-data-{network}-{pid}"));
        let text = format!("id = 7\ndata = {data:?}\n[[replica]]\nid = 7\naddress = \"{free}\"\n");
        StoreFile { data, text }
    }
}

impl Drop for StoreFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

/// Runs `liftrelay store` with the configuration file of a proxy's store.
fn run_store(proxy: &Proxy, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_liftrelay"));
    command.args(["store", "--file"]).arg(proxy.file()).args(arguments).output().unwrap()
}

/// Waits until the status of a proxy's replica meets a condition.
fn wait_for_store_status(proxy: &Proxy, condition: impl Fn(&Value) -> bool) {
    let start = Instant::now();
    loop {
        let output = run_store(proxy, &["status"]).stdout;
        let status: Value = serde_json::from_slice(&output).unwrap_or_default();
        if condition(&status) {
            return;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{status}");
    }
}

#[test]
fn store_keeps_settings_endpoint_list_and_prepared_statements() {
    let (primary, store) = (MockMember::start(true), StoreFile::new(90));
    let shell = "exec \"$0\" serve --postgres \"$1\" --store \"$2\"";
    let proxy = Proxy::start_with_shell(&[&primary], shell, &store.text);
    let mut client = proxy.connect_extended();
    client.send(&extended_messages("P r SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */ | S"));
    assert_eq!(client.read_reply(), "1 Z");
    wait_for_store_status(&proxy, |status| {
        let state = &status["state"];
        let listed = state["members"]["targets"][0]["uid"] == "s-0";
        let configured = state["settings"]["proxy"]["request_classes"][0]["name"] == "own";
        let prepared =
            state["statements"][0]["sql"].as_str().is_some_and(|s| s.starts_with("SELECT payload"));
        listed && configured && prepared
    });
    // Kills the proxy, and restarts it while discovery is down: it must get the members from the store.
    drop(proxy);
    let proxy = Proxy::start_with_shell(&[], shell, &store.text);
    assert_eq!(proxy.connect().query(&read_query(1)), "T D(value) C Z");
}

#[test]
fn clients_are_served_while_the_disk_of_the_store_fails_and_after_a_restart_on_it() {
    let (primary, store, faults) = (MockMember::start(true), StoreFile::new(89), Faults::none());
    let shell = faults.preload_in_shell("exec \"$0\" serve --store \"$2\"");
    let proxy = Proxy::start_with_shell(&[&primary], &shell, &store.text);
    wait_for_store_status(&proxy, |status| status["state"]["members"]["targets"][0]["uid"] == "s-0");
    assert!(run_store(&proxy, &["put", "before", "1"]).status.success());
    let data = store.data.display();
    faults.set(&format!("write path={data} short=7 count=1\nwrite path={data} error=ENOSPC"));
    let start = Instant::now();
    assert!(!run_store(&proxy, &["put", "during", "2"]).status.success());
    assert!(start.elapsed() < TEST_TIMEOUT);
    wait_for_store_status(&proxy, |status| status["log_error"].is_string());
    assert_eq!(proxy.connect().query(&read_query(1)), "T D(value) C Z");
    // Kills the proxy, and restarts it on the same disk while discovery is down: it must get the members from
    // the store.
    drop(proxy);
    let proxy = Proxy::start_with_shell(&[], &shell, &store.text);
    assert_eq!(proxy.connect().query(&read_query(1)), "T D(value) C Z");
    wait_for_store_status(&proxy, |status| {
        status["log_error"].is_string() && status["state"]["settings"]["before"] == 1
    });
    faults.clear();
    wait_for_store_status(&proxy, |status| status["log_error"].is_null() && status["leader"] == 7);
    assert!(run_store(&proxy, &["put", "after", "3"]).status.success());
}
