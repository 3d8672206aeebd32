//! The time that members are told, and requests whose time runs out before they are sent.

use crate::support::*;
use std::time::{Duration, Instant};

/// How long a member takes to greet a connection, or to confirm the messages before an Execute.
const MEMBER_DELAY: Duration = Duration::from_millis(400);
/// A member may be told this much more than the client has left.
const SLACK_MS: u64 = 150;

/// A request on either listener, whose client waits for so many milliseconds.
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

/// The `d` of the statement that a member executed last.
fn told_ms(member: &MockMember) -> u64 {
    let executed = member.executed();
    let digits = executed.last().unwrap().split(",d=").nth(1).unwrap();
    digits.split(',').next().unwrap().parse().unwrap()
}

/// Asserts that a member was told at most what a client had left that has waited for so long.
fn assert_told_at_most(member: &MockMember, timeout_ms: u64, waited: Duration, case: &str) {
    let left = timeout_ms - waited.as_millis() as u64;
    let told = told_ms(member);
    assert!(told <= left + SLACK_MS, "{case}: told {told} ms of {left} ms");
    assert!(told * 10 > left * 8, "{case}: told {told} ms of {left} ms");
}

/// Guards against a time that was read before the connection came up: the member would work for a client
/// that has gone.
#[test]
fn member_is_told_what_the_client_has_left_once_its_connection_is_open() {
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

/// Guards against a retry that tells its member the time of the first attempt.
#[test]
fn retry_tells_its_member_what_the_client_has_left() {
    for extended in [false, true] {
        let (primary, replica) = (MockMember::start(true), MockMember::start(false));
        let proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
        let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
        primary.plan(&[MemberBehavior::ServeThenClose]);
        assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED, "the primary is known");
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
        assert_eq!(replica.executed_count(), 1, "the first attempt");
        assert_told_at_most(&primary, 900, waited, &format!("extended {extended}"));
    }
}

/// Guards against an Execute of a statement that was prepared with the time that was left before the member
/// confirmed it.
#[test]
fn execute_that_waited_for_its_confirmation_tells_the_member_what_the_client_has_left() {
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

/// Guards against preparing a statement anew for each of its executions.
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

/// Guards against a process that is paused between reading its clock and writing: here before each write to
/// the member, that of the startup message among them.
#[test]
fn member_is_told_what_the_client_has_left_though_each_write_is_held_up() {
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
        let (left, told) = (900 - delayed_writes * SLACK_MS, told_ms(&primary));
        assert!(told <= left + SLACK_MS, "extended {extended}, writes {writes}: told {told} ms of {left} ms");
    }
}
