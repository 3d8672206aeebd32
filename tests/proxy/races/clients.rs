//! Tests of races between commands, disconnects and cancel requests of clients, and the eviction of idle
//! connections.

use crate::support::*;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// A client sends more commands than the proxy reads ahead and disconnects, so that its close follows unread
/// bytes. If the proxy noticed the close only when it had read them, the attempt in progress would not be
/// cancelled.
#[test]
fn disconnect_behind_unread_commands_cancels_the_attempt_in_progress() {
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
    assert_eq!(primary.executed_count(), 2, "none of the other commands is executed");
}

/// Closing a socket with unread bytes resets the connection, and the client loses the reply that it has not
/// received yet. So the proxy closes its sending side, and reads on until the client closes the connection.
#[test]
fn protocol_error_arrives_without_a_reset_though_bytes_of_the_client_are_unread() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    for address in [proxy.address, proxy.extended_address.unwrap()] {
        let mut client = Client::connect(address);
        let more = vec![b'x'; 100_000];
        client.send(&[b"Q\0\0\0\x02".to_vec(), more.clone()].concat());
        assert_eq!(client.read_reply_until(|tag| tag == b'E'), "E(08P01)");
        // The proxy has closed its sending side. The client can still send, without a reset.
        assert_eq!(client.stream.read(&mut [0; 16]).unwrap(), 0);
        client.send(&more);
        client.send(&more[..1000]);
        assert_eq!(client.stream.read(&mut [0; 16]).unwrap(), 0);
    }
}

/// When clients use the whole capacity, the proxy closes the connection that has been idle longest to admit a
/// new client. If the next command of that connection has begun to arrive, the proxy must keep it and close
/// another idle connection; otherwise it would reject the new client.
#[test]
fn connection_with_a_partial_command_stays_open_and_another_idle_one_is_closed() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64");
    let mut clients: Vec<_> = Vec::new();
    // Clients connect until the capacity is used up. The next one is rejected, because no connection has been
    // idle long enough to be closed.
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
    // The first client sends the beginning of a command. The proxy has read it once it has answered the last
    // client twice.
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

/// A cancel request may arrive after the reply to the request that it is meant for. It must not cancel the
/// next request of the connection, and each request must get one reply.
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

/// A cancel request arrives on a connection of its own. When clients use the whole capacity, the proxy
/// rejects that connection, but must still read the cancel request.
#[test]
fn cancel_request_is_honored_when_clients_hold_all_connections() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64");
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut hung = proxy.connect();
    hung.send(&simple_query(&write_query(1, 15_000)));
    primary.wait_for(MemberEvent::Hanging);
    // Clients connect until the capacity is used up. Each was served a moment ago, so that none can be closed
    // for another one.
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

/// A client may close the connection of its cancel request without waiting for the proxy to close it. The
/// proxy must then still read the cancel request.
#[test]
fn cancel_request_is_honored_though_the_client_closes_its_connection_immediately() {
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

/// An attempt, the first one or a retry, waits for a member connection to open. Meanwhile its client closes
/// the connection, closes its sending side, or cancels the request. If the proxy did not check for that, it
/// would send the attempt as soon as the member connection is open. Covers both listeners.
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

/// How a client ends its request before the reply.
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
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED, "the proxy knows the primary");
    primary.wait_for(MemberEvent::ConnectionClosed);
    // The first attempt goes to the replica, and a retry to the primary.
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
    // The connection that was opened for the attempt serves another request.
    let text = if retry { write_query(3, 9000) } else { read_query(3).replace("d=900", "d=9000") };
    assert_eq!(proxy.connect().query(&text), SERVED, "{case}");
    let received = waits_for.received();
    assert!(received.iter().all(|message| !message.contains("id=2,")), "{case}: {received:?}");
    assert_eq!(replica.executed_count(), 1, "{case}: only the first attempt or the other request");
}

/// Guards against a write that runs a second time because its id comes again: after its client has left, after its
/// time, after a cancel request, and where the client has left with the answer unread.
#[test]
fn id_of_a_write_that_may_have_run_does_not_run_again() {
    for ending in ["left", "failed", "cancelled", "unread"] {
        let primary = MockMember::start(true);
        let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
        assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED);
        primary.plan(&[MemberBehavior::HoldReply("late")]);
        let mut client = proxy.connect();
        client.send(&simple_query(&write_query(2, if ending == "failed" { 300 } else { 9000 })));
        primary.wait_for(MemberEvent::ReplyHeld);
        match ending {
            "left" => drop(client),
            "failed" => assert_eq!(client.read_reply(), "E(08007) Z"),
            "cancelled" => {
                let _cancel = client.send_cancel_to(proxy.address);
                assert_eq!(client.read_reply(), "E(08007) Z");
            }
            _ => {
                primary.release_replies(1);
                wait_for_counter(&proxy, "pending=0");
                while client.stream.peek(&mut [0]).unwrap() == 0 {}
                drop(client);
            }
        }
        wait_for_counter(&proxy, "pending=0");
        let mut again = proxy.connect();
        for _ in 0..2 {
            assert_eq!(again.query(&write_query(2, 900)), "E(08007) Z", "{ending}");
        }
        assert_eq!(again.query(&write_query(3, 900)), SERVED, "{ending}: another id");
        let runs = primary.executed().iter().filter(|text| text.contains("id=2,")).count();
        assert_eq!(runs, 1, "{ending}");
    }
}

/// Guards against a write that never runs because its id was used before, though nothing has run under it.
#[test]
fn id_of_a_write_that_has_not_run_may_come_again() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED);
    primary.plan(&[MemberBehavior::ServeError("53300"); 8]);
    assert_eq!(proxy.connect().query(&write_query(2, 300)), "E(53300) Z");
    primary.reset_record();
    assert_eq!(proxy.connect().query(&write_query(2, 900)), SERVED, "rejected before");
    // The write that waits behind another one of its connection has not been sent when the client leaves.
    primary.plan(&[MemberBehavior::HoldReply("late")]);
    let mut client = proxy.connect();
    client.send(&[simple_query(&write_query(3, 9000)), simple_query(&write_query(4, 9000))].concat());
    primary.wait_for(MemberEvent::ReplyHeld);
    drop(client);
    wait_for_counter(&proxy, "pending=0");
    assert_eq!(proxy.connect().query(&write_query(4, 900)), SERVED, "never sent before");
}
