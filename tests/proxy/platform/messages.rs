//! Tests of client messages: framing, validation, and the statements that are forwarded.

use crate::support::*;
use insta::assert_snapshot;

#[test]
fn statement_is_forwarded_unchanged_except_for_its_timeout() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    let mut client = proxy.connect();
    assert_snapshot!(client.query(&read_query(7)), @"T D(value) C Z");
    let seen = replica.received().pop().unwrap();
    let (head, tail) = (seen.split_once("d=").unwrap().0, seen.split_once(",cluster").unwrap().1);
    let sent = read_query(7);
    assert_eq!((head, tail), (sent.split_once("d=").unwrap().0, sent.split_once(",cluster").unwrap().1));
    assert_snapshot!(client.query(&write_query(8, 900)), @"T D(value) C Z");
    assert_eq!((primary.executed_count(), replica.executed_count()), (1, 1));
}

#[test]
fn split_and_pipelined_messages_are_answered_in_order() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    let mut client = Client::connect_without_startup(proxy.address);
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut no = [0];
    std::io::Read::read_exact(&mut client.stream, &mut no).unwrap();
    assert_eq!(&no, b"N");
    let all = [
        startup_message(),
        simple_query(&read_query(1)),
        simple_query(""),
        simple_query(&write_query(2, 900)),
    ]
    .concat();
    for part in all.chunks(3) {
        client.send(part);
    }
    client.read_greeting();
    let answers = [client.read_reply(), client.read_reply(), client.read_reply()];
    assert_snapshot!(answers.join(" | "), @"T D(value) C Z | I Z | T D(value) C Z");
}

#[test]
fn invalid_statements_get_08p01_and_malformed_messages_close_the_connection() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    assert_snapshot!(client.query(&read_query(1).replace("c=any", "c=none")), @"E(08P01) Z");
    assert_snapshot!(client.query(&read_query(1).replace("d=900", "d=x")), @"E(08P01) Z");
    assert_snapshot!(client.query("SELECT 1"), @"E(08P01) Z");
    assert_snapshot!(client.query(&read_query(2)), @"T D(value) C Z");
    client.send(b"Q\0\0\0\x02");
    assert_snapshot!(client.read_reply(), @"E(08P01) end");
    let mut other = proxy.connect();
    other.send(&extended_messages("S"));
    assert_snapshot!(other.read_reply(), @"E(0A000) end");
}

/// Clients may send statements that no member could parse. The proxy must answer each with an error and not
/// forward it.
#[test]
fn unparsable_statements_get_an_error_and_never_reach_a_member() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    let good = read_query(1);
    for (from, to) in [
        (" */", ""),
        ("/* id", "id"),
        ("id=1", "id="),
        ("id=1,", ""),
        ("d=900", "d=-900"),
        ("d=900", "d=0"),
        ("d=900", "d=99999999999"),
        ("d=900", "d=900,after=99999999999999999999999"),
        ("d=900", "d=900,d=800"),
        ("cluster=2", "cluster=4294967296"),
        ("SELECT", "SELECT 1; SELECT"),
        ("SELECT", "DELETE"),
        ("c=any", "c=write"),
        ("'", ""),
        ("d655'", "d655"),
    ] {
        assert_eq!(client.query(&good.replace(from, to)), "E(08P01) Z", "{from} -> {to}");
    }
    assert_eq!(
        client.query(&good.replace("cluster=2", "cluster=77")),
        "E(53300) Z",
        "no member has that group"
    );
    assert_eq!(primary.received().len(), 0);
    assert_eq!(client.query(&good), SERVED);
}

/// If two pending requests had the same id, the reply to one of them could be sent to the client of the
/// other.
#[test]
fn id_of_a_pending_request_is_rejected() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut client = proxy.connect();
    client.send(&simple_query(&write_query(7, 600)));
    primary.wait_for(MemberEvent::Hanging);
    let mut other = proxy.connect();
    assert_eq!(other.query(&write_query(7, 900)), "E(08P01) Z");
    assert_eq!(client.read_reply(), "E(08007) Z");
    assert_eq!(other.query(&write_query(7, 900)), "E(08007) Z", "the write may have run");
    assert_eq!(primary.executed_count(), 1);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    client.send(&simple_query(&read_query(8)));
    primary.wait_for(MemberEvent::Hanging);
    assert_eq!(other.query(&read_query(8)), "E(08P01) Z");
    assert_eq!(client.read_reply(), "E(08007) Z");
    assert_eq!(other.query(&read_query(8)), SERVED, "the id of a read may be used again");
    assert_eq!(primary.executed_count(), 3);
}
