//! Tests of races with the shutdown of the process and with the start of the next one.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// A command arrives while the proxy closes its connection during the shutdown. The proxy must not serve it,
/// and must not reset the connection: the clean end of the stream tells the client that the command was not
/// read.
#[test]
fn command_that_arrives_as_sigterm_closes_its_connection_is_not_forwarded() {
    let primary = MockMember::start(true);
    let mut proxy = Proxy::start(&[&primary]);
    let mut idle = proxy.connect();
    assert_eq!(idle.query(&read_query(1)), SERVED);
    // The request in flight of this client keeps the process from exiting.
    let mut hung = proxy.connect();
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    hung.send(&simple_query(&write_query(2, 9_000)));
    primary.wait_for(MemberEvent::Hanging);
    proxy.signal("-TERM");
    assert_eq!(idle.read_reply(), "end", "the idle connection is closed");
    idle.send(&simple_query(&read_query(3)));
    idle.send(&simple_query(&read_query(4)));
    let read = idle.stream.read(&mut [0; 16]);
    assert!(matches!(read, Ok(0)), "expected the end of the stream, got {read:?}");
    drop(idle);
    assert_eq!(hung.read_reply(), "E(08007) Z");
    assert!(proxy.child.wait().unwrap().success());
    assert_eq!(primary.executed_count(), 2);
}

/// The shutdown closes idle client connections while a request waits for its member, which then drains. The
/// proxy must still retry the request on another member and reply to its client.
#[test]
fn request_retried_during_shutdown_is_answered() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    replica.hold_greetings();
    let mut proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
    let (mut client, mut idle) = (proxy.connect(), proxy.connect());
    assert_eq!(idle.query(&write_query(1, 900)), SERVED, "the proxy knows the primary");
    client.send(&simple_query(&read_query(2).replace("d=900", "d=9000")));
    replica.wait_for(MemberEvent::GreetingHeld);
    proxy.signal("-TERM");
    assert_eq!(idle.read_reply(), "end", "the shutdown has closed the idle connections");
    let entry = endpoint_entry(1, &replica, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    assert_eq!(client.read_reply(), SERVED, "the primary serves the read");
    assert!(proxy.child.wait().unwrap().success());
    assert_eq!((primary.executed_count(), replica.received().len()), (2, 0));
}

/// A partial command, or a command that arrives shortly before the exit, must not delay the exit past
/// SIGKILL. No command that was read may stay without a reply.
#[test]
fn shutdown_ends_in_time_and_answers_every_command_that_was_read() {
    let primary = MockMember::start(true);
    let mut proxy = Proxy::start(&[&primary]);
    let (mut partial, mut busy) = (proxy.connect(), proxy.connect());
    let start = Instant::now();
    proxy.signal("-TERM");
    // This client sends commands until its connection is closed. Each gets a complete reply, or the stream
    // ends before the first byte of the reply.
    let mut partial_command_sent = false;
    for id in 10.. {
        if start.elapsed() > Duration::from_millis(1800) && !partial_command_sent {
            partial.send(&simple_query(&read_query(1))[..30]);
            partial_command_sent = true;
        }
        if busy.stream.write_all(&simple_query(&read_query(id))).is_err() {
            break;
        }
        match busy.read_reply().as_str() {
            SERVED => {}
            "end" => break,
            other => panic!("{other}"),
        }
    }
    assert!(!partial.read_reply_until(|_| false).contains("D("), "a partial command is not executed");
    assert!(proxy.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_millis(3700), "{:?}", start.elapsed());
}

/// The proxy must be ready within 10 s of its start, even if the previous process still uses the listen
/// address for a while, and discovery sends no list.
#[test]
fn restarted_process_is_ready_in_time_though_its_address_is_still_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let shell = format!(
        "sed -i 's/\"listen\":\"127.0.0.1:0\"/\"listen\":\"{address}\"/' \"$GW_CONFIG\"; exec \"$0\" serve"
    );
    let start = Instant::now();
    // The previous process takes this long to exit.
    let releasing = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        drop(taken);
    });
    // Discovery accepts the watch and sends nothing.
    let proxy = Proxy::start_with_shell(&[], &shell, "");
    assert!(start.elapsed() < Duration::from_secs(10));
    releasing.join().unwrap();
    assert_eq!(proxy.address, address);
}
