//! Races between clients, their cancel requests and the proxy that closes idle connections.

use crate::support::*;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Guards against a client that sends many commands at once and disconnects: its close stands behind bytes
/// that are not read yet.
#[test]
fn disconnect_behind_unread_commands_is_detected_at_once() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut client = proxy.connect();
    let commands: Vec<u8> = (2..100).flat_map(|id| simple_query(&read_query(id))).collect();
    client.send(&[simple_query(&write_query(1, 15_000)), commands].concat());
    primary.wait_for(MemberEvent::Hanging);
    let disconnected = Instant::now();
    drop(client);
    primary.wait_for(MemberEvent::ConnectionClosed);
    assert!(disconnected.elapsed() < Duration::from_secs(2), "{:?}", disconnected.elapsed());
    assert_eq!(proxy.connect().query(&write_query(200, 900)), SERVED);
    assert_eq!(primary.executed_count(), 2, "no other command was sent");
}

/// Guards against a reset that discards the last reply: the connection is closed over bytes not read.
#[test]
fn error_before_a_close_over_unread_bytes_arrives_without_a_reset() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    for address in [proxy.address, proxy.extended_address.unwrap()] {
        let mut client = Client::connect(address);
        let more = vec![b'x'; 100_000];
        client.send(&[b"Q\0\0\0\x02".to_vec(), more.clone()].concat());
        assert_eq!(client.read_reply_until(|tag| tag == b'E'), "E(08P01)");
        // The proxy has closed its side, and ours still stands: nothing is reset.
        assert_eq!(client.stream.read(&mut [0; 16]).unwrap(), 0);
        client.send(&more);
        client.send(&more[..1000]);
        assert_eq!(client.stream.read(&mut [0; 16]).unwrap(), 0);
    }
}

/// Guards against rejecting a client because the connection that was idle longest has just begun its next
/// command: another idle one is closed instead.
#[test]
fn connection_with_a_partial_command_is_kept_and_another_idle_one_is_closed() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64");
    let mut clients: Vec<_> = Vec::new();
    // As many as there is capacity for: the next one is rejected, as none has been idle for long.
    loop {
        let mut client = Client::connect_without_startup(proxy.address);
        client.send(&[startup_message(), simple_query(&read_query(clients.len() as u32))].concat());
        if client.read_reply_until(|tag| tag == b'E' || tag == b'C').contains("53300") {
            break;
        }
        client.read_reply();
        clients.push(client);
    }
    let last = clients.len() - 1;
    // The first begins a command. Once the last has been answered twice, that has been read.
    let (first, text) = (0, simple_query(&read_query(500)));
    clients[first].send(&text[..20]);
    let start = Instant::now();
    let mut id = 1000;
    while start.elapsed() < Duration::from_millis(2050) {
        assert_eq!(clients[last].query(&read_query(id)), SERVED);
        id += 1;
    }
    let mut newcomer = Client::connect(proxy.address);
    assert_eq!(newcomer.query(&read_query(600)), SERVED);
    clients[first].send(&text[20..]);
    assert_eq!(clients[first].read_reply(), SERVED, "the partial command is completed and served");
}

/// Guards against a cancel request that races with the reply to its request: the next request is not
/// cancelled, and each has one reply.
#[test]
fn cancel_request_after_the_reply_has_no_effect() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(1, 900)), SERVED);
    let mut cancel = client.send_cancel_to(proxy.address);
    let end = cancel.stream.read(&mut [0; 16]);
    assert!(matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    assert_eq!(client.query(&write_query(2, 900)), SERVED);
    assert_eq!(primary.executed_count(), 2);
}

/// Guards against a cancel request that is not read because clients hold all the capacity there is.
#[test]
fn cancel_request_is_honored_when_clients_hold_all_connections() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64");
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut hung = proxy.connect();
    hung.send(&simple_query(&write_query(1, 15_000)));
    primary.wait_for(MemberEvent::Hanging);
    // As many as there is capacity for, each just served: none can be closed for another.
    let (mut clients, mut full) = (Vec::new(), false);
    while !full {
        let mut client = Client::connect_without_startup(proxy.address);
        client
            .send(&[startup_message(), simple_query(&write_query(100 + clients.len() as u32, 900))].concat());
        full = client.read_reply_until(|tag| tag == b'E' || tag == b'C').contains("53300");
        clients.push(client);
    }
    let _cancel = hung.send_cancel_to(proxy.address);
    let start = Instant::now();
    assert_eq!(hung.read_reply(), "E(08007) Z");
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Guards against losing a cancel request whose connection is closed behind it at once, as a client that
/// does not wait does.
#[test]
fn cancel_request_is_honored_though_its_connection_is_closed_at_once() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    for id in 0..20 {
        primary.plan(&[MemberBehavior::HangOn(b'Q')]);
        let mut hung = proxy.connect();
        hung.send(&simple_query(&write_query(id, 15_000)));
        primary.wait_for(MemberEvent::Hanging);
        let cancel = hung.send_cancel_to(proxy.address);
        drop(cancel);
        let start = Instant::now();
        assert_eq!(hung.read_reply(), "E(08007) Z");
        assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    }
}

/// Guards against an attempt, the first one or a retry, that waits for its connection to open when its client
/// closes, closes its sending side, or cancels, and is sent once the connection is open. Both listeners.
#[test]
fn waiting_attempt_or_retry_is_not_sent_after_its_client_has_closed_or_cancelled() {
    for ending in [Ending::Closed, Ending::SendingSideClosed, Ending::Cancelled] {
        for extended in [false, true] {
            for retry in [false, true] {
                check_waiting_attempt_is_not_sent(ending, extended, retry);
            }
        }
    }
}

/// How a client ends its request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Closed,
    SendingSideClosed,
    Cancelled,
}

fn check_waiting_attempt_is_not_sent(ending: Ending, extended: bool, retry: bool) {
    let case = format!("{ending:?}, extended {extended}, retry {retry}");
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
    primary.plan(&[MemberBehavior::ServeThenClose]);
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED, "the primary is known");
    primary.wait_for(MemberEvent::ConnectionClosed);
    // The first attempt goes to the replica, a retry to the primary.
    let execution = if extended { b'E' } else { b'Q' };
    let waits_for = if retry { &primary } else { &replica };
    replica.plan(&[MemberBehavior::ResetOn(execution)]);
    waits_for.hold_greetings();
    let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
    let read = "SELECT payload FROM entries WHERE ref = $1 /* id=2,c=any,d=9000,cluster=2 */";
    client.send(&match extended {
        true => extended_messages(&format!("P - {read} | B - - 7f | E - | S")),
        false => simple_query(&read.replace("$1", "'7f'")),
    });
    waits_for.wait_for(MemberEvent::GreetingHeld);
    match ending {
        Ending::Closed => drop(client),
        Ending::SendingSideClosed => client.stream.shutdown(Shutdown::Write).unwrap(),
        Ending::Cancelled => {
            let address = if extended { proxy.extended_address.unwrap() } else { proxy.address };
            let _cancel = client.send_cancel_to(address);
            assert_eq!(client.read_reply(), "E(08007) Z", "{case}");
        }
    }
    wait_for_counter(&proxy, "pending=0\n");
    replica.replace_plan(&[]);
    waits_for.release_greetings();
    // The connection that was opened for it serves another request.
    let text = if retry { write_query(3, 9000) } else { read_query(3).replace("d=900", "d=9000") };
    assert_eq!(proxy.connect().query(&text), SERVED, "{case}");
    let received = waits_for.received();
    assert!(received.iter().all(|message| !message.contains("id=2,")), "{case}: {received:?}");
    assert_eq!(replica.executed_count(), 1, "{case}: the first attempt, or the other request");
}
