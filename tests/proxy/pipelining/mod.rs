//! Tests of commands of one connection that are in progress at the same time, on both listeners. Mock members
//! hold replies back until the test releases them, which determines the order of events.

mod failures;
mod limits;
mod ordering;

use crate::support::*;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// A listener of the proxy, with the messages that clients send and receive on it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Listener {
    Platform,
    Extended,
}

const LISTENERS: [Listener; 2] = [Listener::Platform, Listener::Extended];
/// The key of most commands, which identifies their session, and the key of another session.
const KEY: &str = "7f3a";
const OTHER_KEY: &str = "9c21";

impl Listener {
    fn connect(self, proxy: &Proxy) -> Client {
        match self {
            Listener::Platform => proxy.connect(),
            Listener::Extended => proxy.connect_extended(),
        }
    }

    fn address(self, proxy: &Proxy) -> SocketAddr {
        match self {
            Listener::Platform => proxy.address,
            Listener::Extended => proxy.extended_address.unwrap(),
        }
    }

    /// The behavior of a member that hangs after it has received the message that executes the statement.
    fn hang(self) -> MemberBehavior {
        match self {
            Listener::Platform => MemberBehavior::HangOn(b'Q'),
            Listener::Extended => MemberBehavior::HangOn(b'E'),
        }
    }

    /// A read with a timeout that is longer than any test holds a reply back.
    fn read_query(self, id: u32, class: &str, key: &str) -> Vec<u8> {
        self.read_query_with_timeout(id, class, key, 5000)
    }

    fn read_query_with_timeout(self, id: u32, class: &str, key: &str, timeout_ms: u32) -> Vec<u8> {
        let comment = format!("/* id={id:x},c={class},d={timeout_ms},cluster=2 */");
        self.statement("SELECT payload FROM entries WHERE ref = $1", &comment, key)
    }

    fn write_query(self, id: u32, timeout_ms: u32, key: &str) -> Vec<u8> {
        let comment = format!("/* id={id:x},c=write,d={timeout_ms},cluster=2 */");
        self.statement("INSERT INTO entries VALUES ($1, 'x')", &comment, key)
    }

    fn statement(self, sql: &str, comment: &str, key: &str) -> Vec<u8> {
        match self {
            Listener::Platform => {
                simple_query(&format!("{} {comment}", sql.replace("$1", &format!("'{key}'"))))
            }
            Listener::Extended => extended_messages(&format!("P - {sql} {comment} | B - - {key} | E - | S")),
        }
    }

    /// The description of a successful reply with this value.
    fn served(self, value: &str) -> String {
        match self {
            Listener::Platform => format!("T D({value}) C Z"),
            Listener::Extended => format!("1 2 D({value}) C Z"),
        }
    }
}

/// Starts a primary, `replicas` replicas, and a proxy that sends requests but no probes to them.
fn start_group(replicas: usize) -> (MockMember, Vec<MockMember>, Proxy) {
    start_group_with_lag(replicas, 0)
}

/// The same as [`start_group`], with replicas whose data is `lag_ms` milliseconds behind.
fn start_group_with_lag(replicas: usize, lag_ms: u64) -> (MockMember, Vec<MockMember>, Proxy) {
    let primary = MockMember::start(true);
    let replicas: Vec<_> = (0..replicas).map(|_| MockMember::start(false)).collect();
    replicas.iter().for_each(|replica| replica.set_replication_lag_ms(lag_ms));
    let all: Vec<_> = std::iter::once(&primary).chain(&replicas).collect();
    let proxy = Proxy::start_with_shell(&all, &shell_without_probes(""), "");
    // Each member serves a request, from whose reply the proxy learns the member's role and position.
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(0x900, 900)), SERVED);
    let mut id = 0x901;
    while replicas.iter().any(|replica| replica.executed_count() == 0) {
        assert!(id < 0xa00, "a replica gets no request");
        client.query(&read_query(id));
        id += 1;
    }
    all.iter().for_each(|member| member.reset_record());
    (primary, replicas, proxy)
}

/// Waits until the proxy has read all commands that were sent before this call: until it has served a
/// command that another client sends after them.
fn wait_until_commands_are_read(proxy: &Proxy, listener: Listener, id: u32) {
    let mut other = listener.connect(proxy);
    other.send(&listener.read_query(id, "any", OTHER_KEY));
    assert_eq!(other.read_reply(), listener.served("value"));
}

/// Asserts that the client has no received bytes that it has not read.
fn assert_nothing_received(client: &Client) {
    client.stream.set_nonblocking(true).unwrap();
    let peeked = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).unwrap();
    assert!(matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock));
}

/// The ids of the requests that these members have executed, member by member and in order.
fn executed_ids(members: &[&MockMember]) -> Vec<u32> {
    let id = |text: &String| u32::from_str_radix(text.split("id=").nth(1)?.split(',').next()?, 16).ok();
    let ids = |member: &&MockMember| member.executed().iter().filter_map(id).collect::<Vec<_>>();
    members.iter().flat_map(ids).collect()
}
