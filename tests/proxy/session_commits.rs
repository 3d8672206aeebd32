//! Tests of reads of a session's own writes on the extended listener, where members answer reads from whatever
//! data they have. The client writes and reads on different connections of its pool.

use crate::support::*;
use std::time::Duration;

const WRITE: &str = "P w INSERT INTO entries VALUES ($1, 'x') /* d=9000 */ | B - w | E - | S";
const OWN_READ: &str = "P o SELECT payload FROM drafts WHERE ref = $1 /* d=9000 */ | B - o | E - | S";
const ANY_READ: &str = "P a SELECT payload FROM tariffs WHERE ref = $1 /* c=any,d=9000 */ | B - a | E - | S";
const START_WITH_STALE_READS: &str =
    "sed -i 's/\"hold\"/\"silent\"/' \"$GW_CONFIG\"; exec \"$0\" serve --postgres \"$1\"";
const SERVED_BATCH: &str = "1 2 D(value) C Z";
/// How far a replica is behind that must not serve reads of own writes.
const LAG_MS: u64 = 60_000;

/// A primary, a replica, and a proxy that knows that they answer reads from whatever data they have.
fn start_group() -> (MockMember, MockMember, Proxy) {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    replica.set_replication_lag_ms(LAG_MS);
    let proxy = Proxy::start_with_shell(&[&primary, &replica], START_WITH_STALE_READS, "");
    assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED);
    primary.reset_record();
    (primary, replica, proxy)
}

fn run(proxy: &Proxy, batch: &str) -> String {
    let mut client = proxy.connect_extended();
    client.send(&extended_messages(batch));
    client.read_reply()
}

/// Returns the statements on drafts, which are reads of own writes, that a member has executed.
fn own_reads(member: &MockMember) -> usize {
    member.executed().iter().filter(|statement| statement.contains("drafts")).count()
}

/// Guards against the loss of a session's commit to the position of a replica: the answer to a read holds the
/// position that its member has reached, which is no commit of the session.
#[test]
fn read_served_by_a_lagging_replica_does_not_hide_the_commit_of_its_session() {
    let (primary, replica, proxy) = start_group();
    for round in 1..=3 {
        assert_eq!(run(&proxy, WRITE), SERVED_BATCH);
        assert_eq!(run(&proxy, ANY_READ), SERVED_BATCH);
        assert_eq!(replica.executed_count(), round, "the replica serves the read that any member may serve");
        assert_eq!(run(&proxy, OWN_READ), SERVED_BATCH);
        assert_eq!((own_reads(&primary), own_reads(&replica)), (round, 0), "only the primary has the commit");
    }
}

/// Guards against the loss of all commits to a restart: a session without a commit in this process may have written
/// through the process before.
#[test]
fn reads_after_a_restart_see_what_their_session_committed_before_it() {
    let (primary, replica, proxy) = start_group();
    let position = primary.position_ms();
    assert_eq!(run(&proxy, WRITE), SERVED_BATCH);
    drop(proxy);
    let proxy = Proxy::start_with_shell(&[&primary, &replica], START_WITH_STALE_READS, "");
    assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED);
    replica.fix_position_ms(Some(position));
    assert_eq!(run(&proxy, &ANY_READ.replace("B - a", "B - a 8f")), SERVED_BATCH);
    assert_eq!(run(&proxy, OWN_READ), SERVED_BATCH);
    assert_eq!((own_reads(&primary), own_reads(&replica)), (1, 0), "the replica lacks the commit");
    replica.fix_position_ms(None);
    replica.set_replication_lag_ms(0);
    std::thread::sleep(Duration::from_millis(50));
    for _ in 0..4 {
        assert_eq!(run(&proxy, &ANY_READ.replace("B - a", "B - a 8f")), SERVED_BATCH);
    }
    let of_another_session = OWN_READ.replace("B - o", "B - o 8f");
    assert_eq!(run(&proxy, &of_another_session), SERVED_BATCH);
    assert_eq!(
        (own_reads(&primary), own_reads(&replica)),
        (1, 1),
        "the replica has applied all since the start"
    );
}

/// Guards against the loss of a session's commit to an earlier one: the answers to writes on two connections
/// may arrive in another order than that of the commits.
#[test]
fn commit_that_is_answered_late_does_not_hide_a_later_commit_of_its_session() {
    let (primary, replica, proxy) = start_group();
    primary.plan(&[MemberBehavior::HoldReply("early"), MemberBehavior::Serve]);
    let mut early = proxy.connect_extended();
    early.send(&extended_messages(WRITE));
    primary.wait_for(MemberEvent::ReplyHeld);
    std::thread::sleep(Duration::from_millis(2));
    let early_commit = primary.position_ms();
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(run(&proxy, WRITE), SERVED_BATCH);
    primary.fix_position_ms(Some(early_commit));
    primary.release_replies(1);
    assert_eq!(early.read_reply(), "1 2 D(early) C Z");
    primary.fix_position_ms(None);
    replica.fix_position_ms(Some(early_commit + 5));
    let of_another_session = ANY_READ.replace("B - a", "B - a 8f");
    assert_eq!(run(&proxy, &of_another_session), SERVED_BATCH);
    assert_eq!(replica.executed_count(), 1, "the proxy knows the position of the replica");
    assert_eq!(run(&proxy, OWN_READ), SERVED_BATCH);
    assert_eq!((own_reads(&primary), own_reads(&replica)), (1, 0), "the replica lacks the later commit");
}
