//! Tests of clients that do not read their replies for a while.

use crate::support::*;
use std::io::Write;

/// The number of commands. Their replies exceed the buffers of the sockets and of the proxy together.
const COMMANDS: u32 = 300;

/// A client sends many commands before it reads the first reply. The proxy must not disconnect it: it must
/// read the commands only as fast as the client reads the replies, and answer each.
#[test]
fn client_that_reads_late_gets_all_replies() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], &shell_without_probes(""), "");
    assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED);
    let value: &'static str = Box::leak("x".repeat(60_000).into_boxed_str());
    primary.replace_plan(&[MemberBehavior::ServeValue(value); COMMANDS as usize + 1]);
    let mut client = proxy.connect();
    let long = format!("x{}", "9f".repeat(10_000));
    let query = |id| simple_query(&write_query(id, 100_000).replace("x9f", &long));
    let commands: Vec<u8> = (1..=COMMANDS).flat_map(query).collect();
    let mut sending = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || sending.write_all(&commands));
    // Waits until no further command is executed: the remaining ones wait for the client to read.
    let (mut executed, mut unchanged) = (0, 0);
    while executed < 20 || unchanged < 200 {
        wait_for_counter(&proxy, "pending=");
        unchanged = if primary.executed_count() == executed { unchanged + 1 } else { 0 };
        executed = primary.executed_count();
    }
    assert!(executed < COMMANDS as usize, "the replies must exceed the buffers");
    let mut other = proxy.connect();
    assert!(other.query(&write_query(0xfff, 900)).contains("D("), "other clients are served");
    for id in 1..=COMMANDS {
        let reply = client.read_reply();
        assert!(reply.ends_with(" C Z"), "{id}: {}", reply.get(..20).unwrap_or(&reply));
    }
    sending.join().unwrap().unwrap();
}
