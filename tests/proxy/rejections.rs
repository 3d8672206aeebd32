//! Members that reject some requests, as if their queues were full, although they are idle.

use crate::support::*;
use std::collections::HashMap;

const CLIENTS: u32 = 4;
const REQUESTS_PER_CLIENT: u32 = 60;
/// A batch behind a Flush that prepares and executes a read, which goes to the primary or a replica.
const READ: &str = "P - SELECT payload FROM entries /* c=any,d=900 */ | B - - | E - | S";

/// Plans for a member's next requests: it rejects one in four of them, in an order without a pattern that
/// `seed`, which is not 0, determines.
fn reject_one_in_four(member: &MockMember, seed: u64) {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(seed);
    let behaviors = (0..2000).map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        match (state >> 32) % 4 {
            0 => MemberBehavior::ServeError("53300"),
            _ => MemberBehavior::Serve,
        }
    });
    member.replace_plan(&behaviors.collect::<Vec<_>>());
}

/// Starts a primary and two replicas that reject one request in four each, and a proxy that knows them.
fn start() -> (Vec<MockMember>, Proxy) {
    let members = vec![MockMember::start(true), MockMember::start(false), MockMember::start(false)];
    let proxy = Proxy::start(&members.iter().collect::<Vec<_>>());
    members.iter().zip(1..).for_each(|(member, seed)| reject_one_in_four(member, seed));
    (members, proxy)
}

/// Lets clients make requests in parallel, each with its number, and counts the replies.
fn count_replies(
    connect: impl Fn() -> Client,
    requests: impl Fn(u32, Client) -> Vec<String> + Sync,
) -> HashMap<String, usize> {
    let clients: Vec<_> = (0..CLIENTS).map(|number| (number, connect())).collect();
    let replies = std::thread::scope(|scope| {
        let requests = &requests;
        let run = |(number, client)| scope.spawn(move || requests(number, client));
        let running: Vec<_> = clients.into_iter().map(run).collect();
        running.into_iter().flat_map(|client| client.join().unwrap()).collect::<Vec<_>>()
    });
    let mut counts = HashMap::new();
    for reply in replies {
        *counts.entry(reply).or_default() += 1;
    }
    counts
}

/// The ids of a client's requests.
fn ids(number: u32) -> std::ops::Range<u32> {
    1 + number * REQUESTS_PER_CLIENT..1 + (number + 1) * REQUESTS_PER_CLIENT
}

fn all(reply: &str) -> HashMap<String, usize> {
    HashMap::from([(reply.into(), (CLIENTS * REQUESTS_PER_CLIENT) as usize)])
}

/// Guards against the refusal of writes that no member has run, with time and attempts left, because members
/// have rejected other requests.
#[test]
fn writes_are_served_once_though_an_idle_primary_rejects_one_in_four() {
    let (members, proxy) = start();
    let replies = count_replies(
        || proxy.connect(),
        |number, mut client| ids(number).map(|id| client.query(&write_query(id, 4900))).collect(),
    );
    assert_eq!(replies, all(SERVED));
    assert_eq!(members[0].executed_count(), (CLIENTS * REQUESTS_PER_CLIENT) as usize, "none runs twice");
}

/// Guards against the refusal of reads for the same reason.
#[test]
fn reads_are_served_though_idle_members_reject_one_in_four() {
    let (_members, proxy) = start();
    let replies = count_replies(
        || proxy.connect(),
        |number, mut client| ids(number).map(|id| client.query(&read_query(id))).collect(),
    );
    assert_eq!(replies, all(SERVED));
}

/// Guards against units of the extended listener that are refused, or that fail behind a Flush though their
/// write has run, for the same reason.
#[test]
fn units_with_a_flush_are_served_though_idle_members_reject_one_in_four() {
    let (members, proxy) = start();
    let replies = count_replies(
        || proxy.connect_extended(),
        |_, mut client| {
            let write = "P - INSERT INTO entries VALUES ($1, 'x') /* d=4900 */ | B - - | E - | H";
            let describe = "P s INSERT INTO entries VALUES ($1, 'y') /* d=4900 */ | DS s | CS s | S";
            let unit = |client: &mut Client| {
                client.send(&extended_messages(&format!("{write} | {describe}")));
                let reply = client.read_reply();
                client.send(&extended_messages(READ));
                format!("{reply}, {}", client.read_reply())
            };
            (0..REQUESTS_PER_CLIENT).map(|_| unit(&mut client)).collect()
        },
    );
    assert_eq!(replies, all("1 2 D(value) C 1 t n 3 Z, 1 2 D(value) C Z"));
    let writes = members[0].executed().into_iter().filter(|statement| statement.starts_with("INSERT"));
    assert_eq!(writes.count(), (CLIENTS * REQUESTS_PER_CLIENT) as usize, "none runs twice");
}
