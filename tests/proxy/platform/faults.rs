//! Tests of faults of members and of the connections to them.

use crate::support::*;
use insta::assert_snapshot;
use std::time::{Duration, Instant};

#[test]
fn hung_write_fails_once_in_time_and_executes_once() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut client = proxy.connect();
    let sent = Instant::now();
    client.send(&[simple_query(&write_query(1, 400)), simple_query("")].concat());
    assert_snapshot!(client.read_reply(), @"E(08007) Z");
    // The requirement is 470 ms; the rest is a margin for a busy machine.
    assert!(sent.elapsed() < Duration::from_millis(600));
    assert_snapshot!(client.read_reply(), @"I Z");
    assert_eq!(primary.executed_count() + replica.executed_count(), 1);
}

#[test]
fn interrupted_write_is_not_retried_and_interrupted_read_is() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(1, 900)), SERVED);
    replica.plan(&[MemberBehavior::ResetOn(b'Q')]);
    assert_snapshot!(client.query(&read_query(3)), @"T D(value) C Z");
    primary.plan(&[MemberBehavior::ResetOn(b'Q')]);
    assert_snapshot!(client.query(&write_query(2, 900)), @"E(08007) Z");
    assert_eq!(primary.executed_count() + replica.executed_count(), 4);
}

#[test]
fn member_connection_closed_while_idle_costs_no_write() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::ServeThenClose]);
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(1, 900)), SERVED);
    primary.wait_for(MemberEvent::ConnectionClosed);
    assert_snapshot!(client.query(&write_query(2, 900)), @"T D(value) C Z");
    assert_eq!(primary.executed_count(), 2);
}

/// The network may drop idle connections without closing them. After the first request that is lost that way,
/// the proxy must check the other idle connections before it sends a request on them.
#[test]
fn silently_dropped_member_connections_cost_exactly_one_write() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::ServeThenDrop; 4]);
    let mut client = proxy.connect();
    let replies: Vec<_> = (0..5).map(|id| client.query(&write_query(id, 900))).collect();
    assert_eq!(replies.iter().filter(|reply| *reply == SERVED).count(), 4, "{replies:?}");
    assert_eq!(replies[1], "E(08007) Z");
    assert_eq!(primary.executed_count(), 4);
}

#[test]
fn error_that_proves_nothing_executed_is_a_rejection_and_others_are_failures() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    primary.plan(&[MemberBehavior::ServeError("XX000")]);
    assert_snapshot!(client.query(&write_query(1, 400)), @"E(08007) Z");
    primary.plan(&[MemberBehavior::ServeError("53300"); 8]);
    assert_snapshot!(client.query(&write_query(2, 400)), @"E(53300) Z");
    assert_eq!(primary.executed_count(), 0);
}

/// The messages of the reply to a simple query, each named by its tag: RowDescription, DataRow,
/// CommandComplete and ReadyForQuery.
const T: &[u8] = b"T\0\0\0\x1a\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
const D: &[u8] = b"D\0\0\0\x0f\0\x01\0\0\0\x05other";
const C: &[u8] = b"C\0\0\0\x09DONE\0";
const Z: &[u8] = b"Z\0\0\0\x05I";

/// The proxy must forward a reply only if it is a complete and valid sequence of messages. A request with a
/// malformed reply may have executed: a write must not be retried, and a read is retried on another member.
#[test]
fn malformed_reply_is_a_failed_attempt_that_may_have_executed() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    let malformed: [&[&[u8]]; 12] = [
        &[b"HTTP/1.1 200 OK\r\n\r\n"],
        &[C, Z],
        &[T, C, Z],
        &[D, C, Z],
        &[T, D, D, C, Z],
        &[T, D, Z],
        &[T, D, C, C, Z],
        &[T, b"D\0\0\0\x0f\0\x01\0\0\0\x09other", C, Z],
        &[T, b"D\0\0\0\x0f\0\x02\0\0\0\x05other", C, Z],
        &[T, b"D\xc0\0\0\x0a\0\x01\xc0\0\0\0 it keeps coming"],
        &[T, D, b"C\0\0\0\x09DO\x07E\0", Z],
        &[T, D, C, b"Z\0\0\0\x05?"],
    ];
    let mut client = proxy.connect();
    for (n, parts) in malformed.into_iter().enumerate() {
        let bytes: &'static [u8] = parts.concat().leak();
        primary.plan(&[MemberBehavior::SendRaw(bytes)]);
        let runs = primary.executed_count() + replica.executed_count();
        assert_eq!(client.query(&write_query(n as u32, 900)), "E(08007) Z", "{n}");
        assert_eq!(
            primary.executed_count() + replica.executed_count(),
            runs + 1,
            "{n}: the write is executed once"
        );
        replica.plan(&[MemberBehavior::SendRaw(bytes)]);
        assert_eq!(client.query(&read_query(n as u32)), SERVED, "{n}: another member serves it");
        assert_eq!(replica.executed_count() + primary.executed_count(), runs + 3, "{n}");
        // These successful replies keep the replica from being ejected.
        (0..4).for_each(|_| assert_eq!(client.query(&read_query(99)), SERVED));
    }
}

/// If a member sends further bytes after a reply and the proxy reused the connection, it would take them for
/// the reply to the next request.
#[test]
fn bytes_behind_a_reply_never_reach_the_next_request() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    for (n, more) in [&[T, D, C, Z].concat(), &b"noise"[..], Z].into_iter().enumerate() {
        primary.plan(&[MemberBehavior::ServeThenSend(more.to_vec().leak())]);
        assert_eq!(client.query(&write_query(2 * n as u32, 900)), SERVED, "{n}");
        primary.wait_for(MemberEvent::ConnectionClosed);
        assert_eq!(client.query(&write_query(2 * n as u32 + 1, 900)), SERVED, "{n}");
    }
    assert_eq!(primary.executed_count(), 6);
}

/// An error of the statement itself is no fault of the member. If the proxy treated it as one, it would retry
/// the statement on other members, and eject members that work.
#[test]
fn statement_error_is_returned_without_a_retry() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    replica.plan(&[MemberBehavior::ServeError("42601")]);
    let mut client = proxy.connect();
    assert_eq!(client.query(&read_query(1)), "E(42601) Z");
    assert_eq!(primary.received().len() + replica.received().len(), 1);
}
