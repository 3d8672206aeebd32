//! Races between updates of the endpoint list, watches that fail and reloads.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Closes the connection with a reset.
fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Guards against missing a change that discovery had for six seconds: a silent watch and a request that
/// hangs, one after the other, leave time for a connection that never opens and the backoff behind it (0.9
/// s).
#[test]
fn silent_watch_and_hung_request_are_replaced_well_within_six_seconds() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let _silent = new_discovery.answer_until_watch(&serving_list(2, &[(0, &old)]));
    let start = Instant::now();
    let (_hung, _) = new_discovery.accept_request();
    let _watch = new_discovery.answer_until_watch(&serving_list(3, &[(7, &new)]));
    assert!(start.elapsed() < Duration::from_millis(5100), "{:?}", start.elapsed());
    let mut client = proxy.connect();
    while new.executed_count() == 0 {
        assert!(start.elapsed() < Duration::from_millis(5100), "the update was sent, and not applied");
        client.query(&write_query(1, 900));
    }
}

/// Guards against calls that are given up while a crowded discovery works through those ahead of them: each
/// still takes its turn, the next one joins the end of the queue, and drains are never heard of.
#[test]
fn call_that_waits_for_its_turn_at_a_shared_discovery_is_not_given_up_early() {
    let member = MockMember::start(true);
    let edit = r#"s/"request_classes"/"discovery":"on_request",&/"#;
    let shell = format!("sed -i '{edit}' \"$GW_CONFIG\"; exec \"$0\" serve");
    let proxy = Proxy::start_with_shell(&[&member], &shell, "");
    let shared_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(shared_discovery.address));
    let (waiting, _) = shared_discovery.accept_request();
    let start = Instant::now();
    let (_repeated, _) = shared_discovery.accept_request();
    let waited = start.elapsed();
    assert!(waited > Duration::from_millis(2500), "given up after {waited:?}");
    assert!(waited < Duration::from_millis(3500), "repeated after {waited:?} only");
    waiting.set_nonblocking(true).unwrap();
    let is_open = waiting.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(is_open, "the first call keeps its turn");
    // A call beside one that hangs is given longer.
    let start = Instant::now();
    let (_again, _) = shared_discovery.accept_request();
    let waited = start.elapsed();
    assert!(waited > Duration::from_millis(3250), "given up after {waited:?}");
    assert!(waited < Duration::from_millis(4500), "repeated after {waited:?} only");
}

/// Guards against missing a drain that the old address sends while the new one is silent, and against a new
/// address that is given up too late: what it has counts 4 s after SIGHUP.
#[test]
fn drain_update_is_applied_while_sighup_replaces_the_watch() {
    let (primary, replica, next) =
        (MockMember::start(true), MockMember::start(false), MockMember::start(true));
    let proxy = Proxy::start(&[&primary, &replica]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let start = Instant::now();
    let (_hung, _) = new_discovery.accept_request();
    let entry = endpoint_entry(1, &replica, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    let pushed = Instant::now();
    let mut client = proxy.connect();
    while pushed.elapsed() < Duration::from_millis(400) {
        client.query(&read_query(1));
    }
    let before = replica.executed_count();
    for id in 2..10 {
        assert_eq!(client.query(&read_query(id)), SERVED);
    }
    assert_eq!(replica.executed_count(), before, "the replica drains");
    let _watch = new_discovery.answer_until_watch(&serving_list(3, &[(7, &next)]));
    assert!(start.elapsed() < Duration::from_millis(3100), "{:?}", start.elapsed());
    proxy.discovery.wait_for_closed_watch();
}

/// Guards against missing a drain while one configuration follows another: the address that last sent a list
/// counts until another has sent its own, however many were named in between and are silent.
#[test]
fn drain_update_is_applied_while_several_reloads_follow_each_other() {
    let (primary, replica, next) =
        (MockMember::start(true), MockMember::start(false), MockMember::start(true));
    let proxy = Proxy::start(&[&primary, &replica]);
    let silent: Vec<_> = (0..3).map(|_| ScriptedDiscovery::start()).collect();
    let mut hung = Vec::new();
    for discovery in &silent {
        proxy.reload(&configuration_at(discovery.address));
        hung.push(discovery.accept_request());
    }
    proxy.discovery.push(&endpoint_update(2, &endpoint_entry(1, &replica, "DRAINING")));
    let pushed = Instant::now();
    let mut client = proxy.connect();
    while pushed.elapsed() < Duration::from_millis(400) {
        client.query(&read_query(1));
    }
    let before = replica.executed_count();
    for id in 2..10 {
        assert_eq!(client.query(&read_query(id)), SERVED);
    }
    assert_eq!(replica.executed_count(), before, "the replica drains");
    let last = silent.last().unwrap();
    let _watch = last.answer_until_watch(&serving_list(3, &[(7, &next)]));
    proxy.discovery.wait_for_closed_watch();
    assert_eq!(client.query(&write_query(20, 900)), SERVED);
    assert_eq!(next.executed_count(), 1, "the last address counts");
}

/// Guards against losing a watch over an entry that is broken into lines, and against taking the end of a
/// connection for the end of the list that it sent.
#[test]
fn indented_list_is_parsed_and_truncated_list_is_requested_again() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let list = serving_list(2, &[(0, &old)]);
    // Truncated, without a length, then a reset or an end of the stream: requested again.
    for ends in [reset as fn(TcpStream), drop] {
        let (mut stream, _) = new_discovery.accept_request();
        write!(stream, "HTTP/1.1 200 OK\r\n\r\n{}", &list[..list.len() - 9]).unwrap();
        ends(stream);
    }
    let mut watch = new_discovery.answer_until_watch(&list);
    let change = full_list(3, &[endpoint_entry(7, &new, "SERVING")]);
    let indented = change.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
    // A brace within a string does not count.
    watch.write_all(chunk(&indented.replace("\"az\":\"a\"", r#""az":"}\"{""#)).as_bytes()).unwrap();
    let mut client = proxy.connect();
    let start = Instant::now();
    while new.executed_count() == 0 {
        assert!(start.elapsed() < Duration::from_secs(5), "the update was sent, and not applied");
        client.query(&write_query(1, 900));
    }
}

/// Guards against idle clients that use up all descriptors while discovery is away: the watch must open
/// again, and so must a connection to a new member. The limit is the system's, lower than the configured
/// one.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_members() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start_with_shell(&[&old], "ulimit -n 96; exec \"$0\" serve", "");
    let new_discovery = ScriptedDiscovery::start();
    let mut idle = Vec::new();
    while idle.len() < 200 {
        let mut client = Client::connect_without_startup(proxy.address);
        client
            .stream
            .write_all(&[startup_message(), simple_query(&read_query(idle.len() as u32))].concat())
            .unwrap();
        idle.push(client);
    }
    // All its descriptors are in use; now discovery comes back at another address, with a new member.
    assert_eq!(idle[0].stream.read(&mut [0; 1]).unwrap(), 1);
    proxy.reload(&configuration_at(new_discovery.address));
    let _watch = new_discovery.answer_until_watch(&serving_list(2, &[(7, &new)]));
    let start = Instant::now();
    while new.executed_count() == 0 {
        assert!(start.elapsed() < Duration::from_secs(10), "the new member is reached");
        let mut client = Client::connect_without_startup(proxy.address);
        let _ = client.stream.write_all(&[startup_message(), simple_query(&write_query(1000, 900))].concat());
        let _ = client.read_reply_until(|tag| tag == b'E' || tag == b'C');
    }
}

/// Guards against a reload that comes while the system has no thread for its watch: it was given up, and once
/// the old address had closed its calls no list ever arrived again.
#[test]
fn reload_that_finds_no_thread_is_carried_out_later() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let faults = Faults::none();
    let proxy = Proxy::start_with_faults(&[&old], "exec \"$0\" serve", &faults);
    let new_discovery = ScriptedDiscovery::start();
    faults.set("pthread_create for_ms=400 error=EAGAIN");
    proxy.reload(&configuration_at(new_discovery.address));
    let _watch = new_discovery.answer_until_watch(&serving_list(2, &[(7, &new)]));
    proxy.discovery.wait_for_closed_watch();
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED);
    assert_eq!(new.executed_count(), 1, "the new address counts");
}
