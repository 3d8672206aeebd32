//! Tests of batches whose statements need different things of their member, where members answer reads from
//! whatever data they have.

use crate::support::*;
use std::time::{Duration, Instant};

/// Members check nothing, probes are allowed, and reads of class `any` have a bound of 700 ms.
const START_WITH_BOUND: &str = "sed -i 's/\"hold\"/\"silent\"/;s/\"loose\"/\"recent\"/;\
    s/\"counted_from_us\"/\"class_bound_us\":[0,700000,0],&/;s/\"probes\":false/\"probes\":true/' \"$GW_CONFIG\"; \
    exec \"$0\" serve --postgres \"$1\"";
const PREPARE: &str = "P o SELECT payload FROM drafts WHERE ref = $1 /* d=9000 */ \
    | P b SELECT payload FROM tariffs WHERE ref = $1 /* c=any,d=9000 */ | S";
/// The two reads in both orders, and bound before a Flush.
const BATCHES: [&str; 3] = [
    "B po o | E po | B pb b | E pb | S",
    "B pb b | E pb | B po o | E po | S",
    "B po o | B pb b | H | E po | E pb | S",
];
/// More than the bound.
const OLD: Duration = Duration::from_millis(1100);

/// Guards against the loss of a read's bound to a read of own writes in the same batch: a replica that has the
/// session's writes, but no data as young as the bound, must not answer. One that is fresh again must.
#[test]
fn batch_of_an_own_and_a_bounded_read_is_answered_by_members_that_meet_both_needs() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start_with_shell(&[&primary, &replica], START_WITH_BOUND, "");
    assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED, "the proxy knows the primary");
    replica.fix_position_ms(Some(primary.position_ms()));
    let mut client = proxy.connect_extended();
    client.send(&extended_messages(PREPARE));
    assert_eq!(client.read_reply(), "1 1 Z");
    std::thread::sleep(OLD);
    let mut run = |batch: &str| {
        client.send(&extended_messages(batch));
        client.read_reply()
    };
    let before = primary.executed_count();
    for batch in BATCHES {
        let reply = run(batch);
        assert!(reply.matches("D(value) C").count() == 2 && reply.ends_with('Z'), "{batch}: {reply}");
    }
    let statements = 2 * BATCHES.len();
    assert_eq!((primary.executed_count() - before, replica.executed_count()), (statements, 0));
    replica.fix_position_ms(None);
    for batch in BATCHES {
        let (start, before) = (Instant::now(), replica.executed_count());
        while replica.executed_count() == before {
            assert!(start.elapsed() < Duration::from_secs(10), "{batch}: never served by the fresh replica");
            run(batch);
        }
    }
}

/// Guards against the loss of a commit to that of another session: a batch that writes for two sessions commits for
/// both, and one that reads for two must see the commits of both.
#[test]
fn batch_of_two_sessions_commits_and_reads_for_each_of_them() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start_with_shell(&[&primary, &replica], START_WITH_BOUND, "");
    assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED, "the proxy knows the primary");
    let before = primary.position_ms();
    replica.fix_position_ms(Some(before));
    std::thread::sleep(Duration::from_millis(20));
    let run = |batch: &str| {
        let mut client = proxy.connect_extended();
        client.send(&extended_messages(batch));
        client.read_reply()
    };
    let write = "P w INSERT INTO entries VALUES ($1, 'x') /* d=9000 */ | B a w 7f | B b w 8f | E a | E b | S";
    assert_eq!(run(write), "1 2 2 D(value) C D(value) C Z");
    let read = "P o SELECT payload FROM drafts WHERE ref = $1 /* d=9000 */";
    let executed = primary.executed_count();
    assert_eq!(run(&format!("{read} | B a o 8f | E a | S")), "1 2 D(value) C Z");
    assert_eq!(
        run(&format!("{read} | B a o 9f | B b o 8f | E a | E b | S")),
        "1 2 2 D(value) C D(value) C Z"
    );
    assert_eq!((primary.executed_count() - executed, replica.executed_count()), (3, 0));
}
