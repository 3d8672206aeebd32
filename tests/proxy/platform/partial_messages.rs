//! Tests of clients that stop in the middle of a request and stay connected. The proxy must close their
//! connections with an error: otherwise the connections would stay open for an unlimited time.

use crate::support::*;
use std::time::{Duration, Instant};

/// The time within which such a client must get the error and the end of the stream.
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Returns all proper prefixes of these bytes, without the empty one.
fn prefixes(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    (1..bytes.len()).map(|end| &bytes[..end])
}

/// Asserts that each client gets a protocol error and then the end of the stream in time.
fn assert_ended_in_time(clients: Vec<Client>, start: Instant) {
    for mut client in clients {
        let reply = client.read_reply_until(|_| false);
        assert!(reply.ends_with("E(08P01) end"), "{reply}");
        assert!(start.elapsed() < TIME_LIMIT, "{:?}", start.elapsed());
    }
}

#[test]
fn client_that_stops_at_any_byte_of_a_message_gets_its_error_in_time() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let extended = "P a SELECT 1|B - a|DS a|DP -|E -|CP -|CS a|H|S";
    let start = Instant::now();
    let mut clients = Vec::new();
    let mut add = |mut client: Client, bytes: &[u8]| {
        client.send(bytes);
        clients.push(client);
    };
    let platform = || Client::connect_without_startup(proxy.address);
    let postgres = || Client::connect_without_startup(proxy.extended_address.unwrap());
    for part in prefixes(&startup_message()) {
        add(platform(), part);
        add(postgres(), part);
    }
    for part in prefixes(&simple_query("SELECT 1")) {
        add(platform(), &[&startup_message(), part].concat());
    }
    // All prefixes that end before the Flush, which is answered, and two prefixes of the Sync.
    let batch = extended_messages(extended);
    let sync = batch.len() - 5;
    for part in prefixes(&batch[..sync - 5]).chain([&batch[sync..sync + 1], &batch[sync..sync + 4]]) {
        add(postgres(), &[&startup_message(), part].concat());
    }
    assert_ended_in_time(clients, start);
    assert_eq!(primary.executed_count(), 0, "no partial request is executed");
}

/// A client sends complete commands whose replies take long, and then a part of another command.
#[test]
fn client_that_stops_behind_commands_in_progress_gets_its_error_in_time() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::HangOn(b'Q'); 3]);
    primary.plan(&[MemberBehavior::HangOn(b'E'); 2]);
    let write = |id| write_query(id, 4_000);
    let partial_query = simple_query(&read_query(1))[..30].to_vec();
    let start = Instant::now();
    let mut clients = Vec::new();
    // A connection may have 8 commands in progress. The proxy still reads from it until the next one is
    // complete.
    for commands in [1, 7, 8] {
        let mut client = proxy.connect();
        client.send(&simple_query(&write(commands * 100)));
        primary.wait_for(MemberEvent::Hanging);
        let waiting = (1..commands).flat_map(|n| simple_query(&write(commands * 100 + n)));
        client.send(&waiting.chain(partial_query.iter().copied()).collect::<Vec<u8>>());
        clients.push(client);
    }
    for partial_batch in ["P a SELECT 1", "P a SELECT 1|B - a|E -"] {
        let mut client = proxy.connect_extended();
        let batch = |n| extended_messages(&format!("P - {}|B - -|E -|S", write(n)));
        client.send(&batch(900));
        primary.wait_for(MemberEvent::Hanging);
        client.send(&[(901..908).flat_map(batch).collect(), extended_messages(partial_batch)].concat());
        clients.push(client);
    }
    assert_ended_in_time(clients, start);
}
