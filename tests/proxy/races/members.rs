//! Tests of races between attempts and events at their members.

use crate::support::*;
use std::time::{Duration, Instant};

/// An attempt waits for its member connection to open when its client disconnects. The proxy must not send it
/// once the connection is open, even where the settings forbid the cancellation of attempts. Covers both
/// listeners.
#[test]
fn request_is_not_sent_if_its_client_disconnects_while_the_member_connection_opens() {
    for cancel in ["true", "false"] {
        for extended in [false, true] {
            let primary = MockMember::start(true);
            primary.hold_greetings();
            let shell = shell_without_probes(&format!("s/\"cancel\":true/\"cancel\":{cancel}/"));
            let proxy = Proxy::start_with_shell(&[&primary], &shell, "");
            let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
            let batch = "P - INSERT INTO entries VALUES ($1) /* c=write,d=9000 */ | B - - 7f | E - | S";
            client.send(&if extended {
                extended_messages(batch)
            } else {
                simple_query(&write_query(1, 9000))
            });
            primary.wait_for(MemberEvent::GreetingHeld);
            drop(client);
            wait_for_counter(&proxy, "pending=0\n");
            primary.release_greetings();
            assert_eq!(proxy.connect().query(&write_query(2, 9000)), SERVED);
            let received = primary.received();
            assert!(
                received.len() == 1 && received[0].contains("id=2,"),
                "cancel {cancel}, extended {extended}: {received:?}"
            );
        }
    }
}

/// An attempt waits for its member connection to open when the member begins to drain. If it were not moved
/// to another member, it could start after the time within which the drain must take effect.
#[test]
fn unsent_attempt_moves_to_another_member_when_its_member_drains() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    replica.hold_greetings();
    let mut proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(1, 900)), SERVED, "the proxy knows the primary");
    client.send(&simple_query(&read_query(2)));
    replica.wait_for(MemberEvent::GreetingHeld);
    let entry = endpoint_entry(1, &replica, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    assert_eq!(client.read_reply(), SERVED, "the primary serves the read");
    replica.release_greetings();
    drop(client);
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
    replica.wait_for(MemberEvent::ConnectionClosed);
    assert_eq!((primary.executed_count(), replica.received().len()), (2, 0));
}

/// The data of a replica is fresh enough when the replica is selected for a read, but too old when the member
/// connection has opened. Where members do not check the freshness of their data, only the proxy can prevent
/// the stale read. Covers both listeners.
#[test]
fn bounded_read_whose_start_is_delayed_is_not_sent_to_the_stale_replica() {
    for extended in [false, true] {
        let (primary, replica) = (MockMember::start(true), MockMember::start(false));
        let bound = "s/\"hold\"/\"silent\"/;s/\"loose\"/\"recent\"/;\
            s/\"counted_from_us\"/\"class_bound_us\":[0,700000,0],&/;s/\"probes\":false/\"probes\":true/";
        let proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(bound), "");
        let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
        let batch = "P - SELECT payload FROM entries WHERE ref = $1 /* c=any,d=9000 */ | B - - r | E - | S";
        let text = read_query(1).replace("d=900", "d=9000");
        let request = if extended { extended_messages(batch) } else { simple_query(&text) };
        assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED, "the proxy knows the primary");
        // The replica serves a read and closes the connection. The reply tells the proxy the replica's
        // position, and the next read needs a new connection.
        let start = Instant::now();
        while replica.executed_count() == 0 {
            assert!(start.elapsed() < Duration::from_secs(10));
            replica.replace_plan(&[MemberBehavior::ServeThenClose]);
            client.send(&request);
            client.read_reply();
        }
        let executed_before = replica.executed_count();
        replica.hold_greetings();
        let start = Instant::now();
        client.send(&request);
        let answer = client.read_reply();
        let elapsed = start.elapsed();
        let executed_while_held = replica.executed_count();
        replica.release_greetings();
        assert!(answer.contains("D(value)") || answer.contains("53300"), "{answer}");
        assert!(elapsed < Duration::from_millis(2500), "{elapsed:?}");
        assert_eq!(executed_while_held, executed_before, "{answer} after {elapsed:?}");
        drop(client);
        let mut proxy = proxy;
        proxy.signal("-TERM");
        assert!(proxy.child.wait().unwrap().success());
        assert_eq!(
            replica.executed_count(),
            executed_before,
            "the read does not start after the connection has opened either"
        );
    }
}

/// A member sends the beginning of a message on an idle connection. The proxy must not take these bytes for
/// the beginning of the next reply, and must not lose the next request on that connection.
#[test]
fn partial_message_on_an_idle_member_connection_costs_no_request() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    for id in 1..6 {
        primary.plan(&[MemberBehavior::ServeThenSend(b"T\0\0\0")]);
        assert_eq!(client.query(&write_query(2 * id, 900)), SERVED);
        assert_eq!(client.query(&write_query(2 * id + 1, 900)), SERVED);
    }
    assert_eq!(primary.executed_count(), 10);
}

/// When the primary of a group changes, no write may be lost or execute twice. A write that waits for a
/// connection to the old primary goes to the new one. A write in flight fails with the error for a write that
/// may have executed.
#[test]
fn change_of_primary_sends_no_write_twice() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start_with_shell(&[&old], &shell_without_probes(""), "");
    let mut in_flight = proxy.connect();
    old.plan(&[MemberBehavior::HangOn(b'Q')]);
    in_flight.send(&simple_query(&write_query(1, 4000)));
    old.wait_for(MemberEvent::Hanging);
    old.hold_greetings();
    let mut waiting = proxy.connect();
    waiting.send(&simple_query(&write_query(2, 4000)));
    old.wait_for(MemberEvent::GreetingHeld);
    proxy.discovery.push(&serving_list(2, &[(7, &new)]));
    assert_eq!(waiting.read_reply(), SERVED);
    old.release_greetings();
    assert_eq!(in_flight.read_reply(), "E(08007) Z");
    assert_eq!((old.executed_count(), new.executed_count()), (1, 1));
}
