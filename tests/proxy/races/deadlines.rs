//! Tests of the timeout in the statement that a member receives: it must be the time that the client has left
//! when the statement is sent. With a longer timeout, the member would work for a client that has stopped
//! waiting.

use crate::support::*;
use std::time::{Duration, Instant};

/// How long a member delays its greeting, or its confirmation of the messages before an Execute.
const MEMBER_DELAY: Duration = Duration::from_millis(400);
/// The timeout sent to a member may exceed the time that the client has left by this much.
const SLACK_MS: u64 = 150;

/// Returns a request with this timeout for one of the listeners.
fn request(extended: bool, writes: bool, id: u32, timeout_ms: u32) -> Vec<u8> {
    let (sql, class) = match writes {
        true => ("INSERT INTO entries VALUES ($1, 'x')", "write"),
        false => ("SELECT payload FROM entries WHERE ref = $1", "any"),
    };
    let sql = format!("{sql} /* id={id:x},c={class},d={timeout_ms},cluster=2 */");
    match extended {
        true => extended_messages(&format!("P - {sql} | B - - 7f | E - | S")),
        false => simple_query(&sql.replace("$1", "'7f'")),
    }
}

/// Returns the timeout, the field `d`, of the statement that a member executed last.
fn sent_timeout_ms(member: &MockMember) -> u64 {
    let executed = member.executed();
    let digits = executed.last().unwrap().split(",d=").nth(1).unwrap();
    digits.split(',').next().unwrap().parse().unwrap()
}

/// Asserts that the timeout sent to a member is the time left to a client that has waited this long: at most
/// [`SLACK_MS`] longer, and more than 80% of it.
fn assert_told_at_most(member: &MockMember, timeout_ms: u64, waited: Duration, case: &str) {
    let left = timeout_ms - waited.as_millis() as u64;
    let sent = sent_timeout_ms(member);
    assert!(sent <= left + SLACK_MS, "{case}: sent {sent} ms, the client has {left} ms left");
    assert!(sent * 10 > left * 8, "{case}: sent {sent} ms, the client has {left} ms left");
}

/// If the proxy determined the timeout before it opens the member connection, the timeout would include the
/// time that opening takes, and the member would work for a client that has stopped waiting.
#[test]
fn timeout_sent_to_a_member_is_the_time_left_once_its_connection_is_open() {
    for extended in [false, true] {
        for writes in [false, true] {
            let primary = MockMember::start(true);
            primary.hold_greetings();
            let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
            let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
            let start = Instant::now();
            client.send(&request(extended, writes, 1, 900));
            primary.wait_for(MemberEvent::GreetingHeld);
            std::thread::sleep(MEMBER_DELAY);
            let waited = start.elapsed();
            primary.release_greetings();
            assert!(client.read_reply().contains("D(value)"));
            assert_told_at_most(&primary, 900, waited, &format!("extended {extended}, writes {writes}"));
        }
    }
}

/// A retry must not carry the timeout of the first attempt: the client has waited for that attempt meanwhile.
#[test]
fn timeout_sent_with_a_retry_is_the_time_left() {
    for extended in [false, true] {
        let (primary, replica) = (MockMember::start(true), MockMember::start(false));
        let proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
        let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
        primary.plan(&[MemberBehavior::ServeThenClose]);
        assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED, "the proxy knows the primary");
        primary.wait_for(MemberEvent::ConnectionClosed);
        primary.hold_greetings();
        let execution = if extended { b'E' } else { b'Q' };
        replica.plan(&[MemberBehavior::ResetOn(execution)]);
        let start = Instant::now();
        client.send(&request(extended, false, 2, 900));
        primary.wait_for(MemberEvent::GreetingHeld);
        std::thread::sleep(MEMBER_DELAY);
        let waited = start.elapsed();
        primary.release_greetings();
        assert!(client.read_reply().contains("D(value)"));
        assert_eq!(replica.executed_count(), 1, "the replica executed the first attempt");
        assert_told_at_most(&primary, 900, waited, &format!("extended {extended}"));
    }
}

/// The timeout is part of the prepared statement, and the proxy sends the Execute after the member has
/// confirmed the statement. If the confirmation is late, the timeout in the prepared statement is too long,
/// and the Execute must use a statement with the time left.
#[test]
fn timeout_sent_with_an_execute_is_the_time_left_after_a_late_confirmation() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect_extended();
    primary.plan(&[MemberBehavior::HoldOn(b'H')]);
    let start = Instant::now();
    client.send(&request(true, true, 1, 900));
    primary.wait_for(MemberEvent::ReplyHeld);
    std::thread::sleep(MEMBER_DELAY);
    let waited = start.elapsed();
    primary.release_replies(1);
    assert_eq!(client.read_reply(), "1 2 D(value) C Z");
    assert_told_at_most(&primary, 900, waited, "confirmed late");
    assert_eq!(primary.executed_count(), 1);
}

/// The timeout is part of the prepared statement. If it had to be exact, the proxy would prepare the
/// statement again for each execution.
#[test]
fn prepared_statement_is_reused_while_the_time_left_is_about_the_same() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect_extended();
    client.send(&extended_messages("P w INSERT INTO entries VALUES ($1) /* c=write,d=9000 */ | S"));
    assert_eq!(client.read_reply(), "1 Z");
    for _ in 0..20 {
        client.send(&extended_messages("B - w 7f | E - | S"));
        assert_eq!(client.read_reply(), "2 D(value) C Z");
    }
    let prepared = primary.received().iter().filter(|message| message.starts_with("P ")).count();
    assert!(prepared <= 3, "prepared {prepared} times");
}

/// The process may be paused between reading its clock and writing to a member. Here, an injected fault
/// delays each write to the member, including that of the startup message.
#[test]
fn timeout_sent_to_a_member_is_the_time_left_though_each_write_is_delayed() {
    for (extended, writes, delayed_writes) in
        [(false, false, 2), (false, true, 2), (true, false, 2), (true, true, 3)]
    {
        let primary = MockMember::start(true);
        let script = format!("write peer={} delay_ms={SLACK_MS}", primary.address);
        let faults = Faults::scripted(&script);
        let proxy = Proxy::start_with_faults(&[&primary], &shell_without_probes(""), &faults);
        let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
        client.send(&request(extended, writes, 1, 900));
        assert!(client.read_reply().contains("D(value)"));
        let (left, sent) = (900 - delayed_writes * SLACK_MS, sent_timeout_ms(&primary));
        assert!(
            sent <= left + SLACK_MS,
            "extended {extended}, writes {writes}: sent {sent} ms, the client has {left} ms left"
        );
    }
}
