//! Tests of races between updates of the endpoint list, failing watches and reloads of the configuration.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Resets the connection.
fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// A change must be applied within six seconds of when discovery has it. A silent watch followed by a request
/// that hangs must leave enough of this time for a connection that never opens and the backoff after it
/// (0.9 s).
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
        assert!(start.elapsed() < Duration::from_millis(5100), "the update was sent but not applied");
        client.query(&write_query(1, 900));
    }
}

/// A shared discovery processes calls in turn. If a proxy closed a call that waits and opened another one,
/// discovery would still process the closed call, the new one would wait at the end of the queue, and no
/// drain would ever reach the proxy.
#[test]
fn call_that_waits_for_its_turn_at_a_shared_discovery_stays_open() {
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
    assert!(waited > Duration::from_millis(2500), "called again after only {waited:?}");
    assert!(waited < Duration::from_millis(3500), "not called again for {waited:?}");
    waiting.set_nonblocking(true).unwrap();
    let is_open = waiting.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(is_open, "the first call stays open");
    // The time limit is longer for a call that was opened beside one that hangs.
    let start = Instant::now();
    let (_again, _) = shared_discovery.accept_request();
    let waited = start.elapsed();
    assert!(waited > Duration::from_millis(3250), "called again after only {waited:?}");
    assert!(waited < Duration::from_millis(4500), "not called again for {waited:?}");
}

/// SIGHUP replaces the discovery address. While the new address is silent, the proxy must still apply a drain
/// that the old one sends. If a call to the new address hangs, the proxy must open another one early enough
/// that the list of the new address is in effect 4 s after SIGHUP.
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
    assert_eq!(replica.executed_count(), before, "the draining replica gets no new requests");
    let _watch = new_discovery.answer_until_watch(&serving_list(3, &[(7, &next)]));
    assert!(start.elapsed() < Duration::from_millis(3100), "{:?}", start.elapsed());
    proxy.discovery.wait_for_closed_watch();
}

/// Several reloads replace the discovery address in a row. Until one of the new addresses has sent a list,
/// the proxy must apply updates, such as a drain, of the address that sent the last list, however many silent
/// addresses were configured after it.
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
    assert_eq!(replica.executed_count(), before, "the draining replica gets no new requests");
    let last = silent.last().unwrap();
    let _watch = last.answer_until_watch(&serving_list(3, &[(7, &next)]));
    proxy.discovery.wait_for_closed_watch();
    assert_eq!(client.query(&write_query(20, 900)), SERVED);
    assert_eq!(next.executed_count(), 1, "the list of the last address is in effect");
}

/// The proxy must not fail a watch because an entry of the list spans several lines. If a connection ends
/// before the list is complete, it must request the list again.
#[test]
fn indented_list_is_parsed_and_truncated_list_is_requested_again() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let list = serving_list(2, &[(0, &old)]);
    // The list is truncated and has no Content-Length. The connection ends with a reset or regularly.
    for ends in [reset as fn(TcpStream), drop] {
        let (mut stream, _) = new_discovery.accept_request();
        write!(stream, "HTTP/1.1 200 OK\r\n\r\n{}", &list[..list.len() - 9]).unwrap();
        ends(stream);
    }
    let mut watch = new_discovery.answer_until_watch(&list);
    let change = full_list(3, &[endpoint_entry(7, &new, "SERVING")]);
    let indented = change.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
    // Braces within a string are not part of the structure.
    watch.write_all(chunk(&indented.replace("\"az\":\"a\"", r#""az":"}\"{""#)).as_bytes()).unwrap();
    let mut client = proxy.connect();
    let start = Instant::now();
    while new.executed_count() == 0 {
        assert!(start.elapsed() < Duration::from_secs(5), "the update was sent but not applied");
        client.query(&write_query(1, 900));
    }
}

/// Idle clients must not use up the descriptors while discovery is unreachable: the proxy needs some to open
/// a new watch and a connection to a new member. The system's limit applies here; it is lower than the
/// configured one.
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
    // The clients use all descriptors that they may. Now discovery is reachable at another address, and lists
    // a new member.
    assert_eq!(idle[0].stream.read(&mut [0; 1]).unwrap(), 1);
    proxy.reload(&configuration_at(new_discovery.address));
    let _watch = new_discovery.answer_until_watch(&serving_list(2, &[(7, &new)]));
    let start = Instant::now();
    while new.executed_count() == 0 {
        assert!(start.elapsed() < Duration::from_secs(10), "the new member serves no request");
        let mut client = Client::connect_without_startup(proxy.address);
        let _ = client.stream.write_all(&[startup_message(), simple_query(&write_query(1000, 900))].concat());
        let _ = client.read_reply_until(|tag| tag == b'E' || tag == b'C');
    }
}

/// A reload may come while the system can't start a thread for the new watch. If the proxy gave up the
/// reload, no list would ever arrive again once the old address has closed its calls.
#[test]
fn reload_that_gets_no_thread_for_its_watch_is_retried() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let faults = Faults::none();
    let proxy = Proxy::start_with_faults(&[&old], "exec \"$0\" serve", &faults);
    let new_discovery = ScriptedDiscovery::start();
    faults.set("pthread_create for_ms=400 error=EAGAIN");
    proxy.reload(&configuration_at(new_discovery.address));
    let _watch = new_discovery.answer_until_watch(&serving_list(2, &[(7, &new)]));
    proxy.discovery.wait_for_closed_watch();
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED);
    assert_eq!(new.executed_count(), 1, "the list of the new address is in effect");
}
