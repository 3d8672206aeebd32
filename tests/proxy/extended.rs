//! Tests of the extended listener. Most of them check that no write executes twice and that each request gets
//! exactly one final reply.

use crate::support::*;
use insta::assert_snapshot;

const WRITE: &str = "P w INSERT INTO entries VALUES ($1, 'x') /* d=400 */";
const READ: &str = "P r SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */";

/// Sends a batch and returns the reply. Then sends a Sync: its reply shows that the batch got exactly one
/// reply.
fn run_batch(client: &mut Client, script: &str) -> String {
    client.send(&extended_messages(script));
    let reply = client.read_reply();
    client.send(&extended_messages("S"));
    assert_eq!(client.read_reply(), "Z", "exactly one reply, after {reply}");
    reply
}

fn start_pair() -> (MockMember, MockMember, Proxy) {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    (primary, replica, proxy)
}

#[test]
fn batch_up_to_sync_is_one_request() {
    let (primary, replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    assert_snapshot!(run_batch(&mut client, &format!("{READ} | DS r | S")), @"1 t n Z");
    assert_snapshot!(run_batch(&mut client, "B p r | DP p | E p | CP p | S"), @"2 n D(value) C 3 Z");
    assert_snapshot!(run_batch(&mut client, &format!("{WRITE} | B - w | E - | B - w | E - | S")), @"1 2 D(value) C 2 D(value) C Z");
    assert_eq!((primary.executed_count(), replica.executed_count()), (2, 1));
    assert_snapshot!(client.query(&write_query(1, 900)), @"T D(value) C Z");
    assert_snapshot!(client.query(""), @"I Z");
}

#[test]
fn fault_after_execute_is_a_failure_and_the_write_never_executes_twice() {
    for behavior in [
        MemberBehavior::HangOn(b'E'),
        MemberBehavior::ResetOn(b'E'),
        MemberBehavior::HangMidReply,
        MemberBehavior::HangOn(b'S'),
        MemberBehavior::ServeError("XX000"),
    ] {
        let (primary, replica, proxy) = start_pair();
        let mut client = proxy.connect_extended();
        assert_eq!(run_batch(&mut client, &format!("{WRITE} | S")), "1 Z");
        primary.plan(&[behavior]);
        assert_eq!(run_batch(&mut client, "B - w | E - | S"), "E(08007) Z", "{behavior:?}");
        let executed = usize::from(behavior != MemberBehavior::ServeError("XX000"));
        assert_eq!(primary.executed_count() + replica.executed_count(), executed, "{behavior:?}");
    }
}

#[test]
fn fault_before_execute_is_retried_and_the_write_executes_once() {
    for behavior in [
        MemberBehavior::HangOn(b'P'),
        MemberBehavior::HangOn(b'B'),
        MemberBehavior::ResetOn(b'P'),
        MemberBehavior::ResetOn(b'B'),
    ] {
        let (primary, replica, proxy) = start_pair();
        let mut client = proxy.connect_extended();
        primary.plan(&[behavior]);
        let batch = format!("{} | B - w | E - | S", WRITE.replace("d=400", "d=4000"));
        let reply = run_batch(&mut client, &batch);
        assert_eq!(reply, "1 2 D(value) C Z", "{behavior:?}");
        assert_eq!((primary.executed_count(), replica.executed_count()), (1, 0), "{behavior:?}");
    }
}

/// The proxy must not reuse a member connection after a malformed reply or bytes that follow a reply: it
/// would take the remaining bytes for the reply to the next request. Nor may it retry a write whose reply it
/// could not parse, because the member may have executed the write. The platform's listener has the same
/// tests.
#[test]
fn malformed_replies_and_trailing_bytes_close_the_connection_and_nothing_executes_twice() {
    let (primary, replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    assert_eq!(run_batch(&mut client, &format!("{WRITE} | S")), "1 Z");
    for (n, malformed) in
        [&b"noise"[..], b"D\xc0\0\0\0", b"D\0\0\0\x0f\0\x01\0\0\0\x09value"].into_iter().enumerate()
    {
        primary.plan(&[MemberBehavior::SendRaw(malformed)]);
        assert_eq!(run_batch(&mut client, "B - w | E - | S"), "E(08007) Z", "{n}");
        assert_eq!(primary.executed_count() + replica.executed_count(), n + 1, "{n}");
    }
    primary.plan(&[MemberBehavior::ServeThenSend(b"C\0\0\0\x09DONE\0Z\0\0\0\x05I")]);
    assert_eq!(run_batch(&mut client, "B - w | E - | S"), "2 D(value) C Z");
    assert_eq!(run_batch(&mut client, "B - w | E - | S"), "2 D(value) C Z");
    assert_eq!(primary.executed_count() + replica.executed_count(), 5);
}

/// Guards against a unit that is called refused, so that its client sends it again, though the part up to a Flush
/// has run and stays.
#[test]
fn unit_whose_first_part_has_run_is_not_refused() {
    let faults = [MemberBehavior::ResetOn(b'P'), MemberBehavior::HangOn(b'P')];
    let rest = [
        "P x SELECT payload FROM drafts WHERE ref = $1 /* c=any,d=300 */ | S",
        "P x INSERT INTO drafts VALUES ($1) /* d=300 */ | B - x | DP - | S",
    ];
    for (fault, rest) in faults.into_iter().flat_map(|fault| rest.map(|rest| (fault, rest))) {
        let primary = MockMember::start(true);
        let proxy = Proxy::start(&[&primary]);
        let mut client = proxy.connect_extended();
        primary.plan(&[MemberBehavior::Serve]);
        primary.plan(&[fault; 100]);
        let reply = run_batch(&mut client, &format!("{WRITE} | B - w | E - | H | {rest}"));
        assert_eq!(reply, "1 2 D(value) C E(08007) Z", "{fault:?}, {rest}");
        assert_eq!(primary.executed_count(), 1, "{fault:?}, {rest}");
    }
}

/// Guards against the same where a member rejects a part of a batch behind an Execute that has run.
#[test]
fn batch_that_its_member_rejects_behind_an_executed_part_is_not_refused() {
    const REJECTION: &[u8] = b"C\0\0\0\x09DONE\0E\0\0\0\x0cC53300\0\0Z\0\0\0\x05I";
    let (primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    primary.plan(&[MemberBehavior::SendRaw(REJECTION); 4]);
    let reply = run_batch(&mut client, &format!("{WRITE} | B - w | E - | B - w | E - | S"));
    assert_eq!(reply, "E(08007) Z");
    assert_eq!(primary.received().iter().filter(|line| line.starts_with("P ")).count(), 1, "sent once");
}

#[test]
fn interrupted_read_is_retried() {
    let (primary, replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    replica.plan(&[MemberBehavior::ResetOn(b'E')]);
    assert_snapshot!(run_batch(&mut client, &format!("{READ} | B - r | E - | S")), @"1 2 D(value) C Z");
    assert_eq!((primary.executed_count(), replica.executed_count()), (1, 1));
}

#[test]
fn statement_is_prepared_transparently_on_each_member_that_lacks_it() {
    let (primary, one, two) = (MockMember::start(true), MockMember::start(false), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &one, &two]);
    let mut client = proxy.connect_extended();
    assert_eq!(run_batch(&mut client, &format!("{READ} | S")), "1 Z");
    for _ in 0..4 {
        assert_eq!(run_batch(&mut client, "B - r | E - | S"), "2 D(value) C Z");
    }
    // A member gets the Parse again if a probe occupies its first connection and the proxy opens another
    // one. The mock member panics on a Bind of a statement that its connection has not prepared.
    let parsed = |member: &MockMember| member.received().iter().any(|line| line.starts_with("P "));
    assert!(parsed(&one) && parsed(&two), "prepared on both replicas, though the client sent one Parse");
    assert_eq!(
        (one.executed_count(), two.executed_count()),
        (2, 2),
        "replicas with equal load are selected in turn"
    );
}

#[test]
fn member_that_lost_its_prepared_statements_gets_them_again() {
    let (primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    assert_eq!(run_batch(&mut client, &format!("{WRITE} | S")), "1 Z");
    primary.plan(&[MemberBehavior::ServeError("26000")]);
    assert_snapshot!(run_batch(&mut client, "B - w | E - | S"), @"2 D(value) C Z");
    assert_eq!(primary.executed_count(), 1);
    assert!(primary.received().iter().filter(|line| line.starts_with("P ")).count() >= 2);
}

#[test]
fn statement_names_of_different_clients_do_not_collide() {
    let (_primary, replica, proxy) = start_pair();
    let (mut first, mut second) = (proxy.connect_extended(), proxy.connect_extended());
    let read = READ.replace("d=900", "d=9000");
    let other = read.replace("payload", "other");
    assert_eq!(run_batch(&mut first, &format!("{read} | S")), "1 Z");
    assert_eq!(run_batch(&mut second, &format!("{other} | S")), "1 Z");
    assert_eq!(run_batch(&mut first, "B - r | E - | S"), "2 D(value) C Z");
    assert_eq!(run_batch(&mut second, "B - r | E - | S"), "2 D(value) C Z");
    let runs = replica.executed().join("\n");
    assert_snapshot!(runs, @r"
    SELECT payload FROM entries WHERE ref = $1 /* c=any,d=8704 */
    SELECT other FROM entries WHERE ref = $1 /* c=any,d=8704 */
    ");
}

#[test]
fn errors_skip_to_sync_and_leave_prepared_statements_unchanged() {
    let (primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    assert_snapshot!(run_batch(&mut client, "B - none | E - | S"), @"E(26000) Z");
    client.send(&extended_messages("B - none | H | B - none | E - | H"));
    client.send(&[simple_query(&write_query(1, 900)), extended_messages("S")].concat());
    assert_snapshot!(client.read_reply(), @"E(26000) Z");
    assert_snapshot!(run_batch(&mut client, "E none | S"), @"E(34000) Z");
    assert_snapshot!(run_batch(&mut client, "P b BEGIN | B - b | E - | S"), @"E(0A000) Z");
    assert_snapshot!(run_batch(&mut client, "P c COPY t FROM STDIN | S"), @"E(0A000) Z");
    assert_snapshot!(run_batch(&mut client, "P c SELECT 1; SELECT 2 | S"), @"E(0A000) Z");
    assert_snapshot!(run_batch(&mut client, "P c INSERT INTO t VALUES (1) /* c=any */ | S"), @"E(0A000) Z");
    primary.plan(&[MemberBehavior::ServeError("23505")]);
    assert_snapshot!(run_batch(&mut client, &format!("{WRITE} | B - w | E - | S")), @"1 2 E(23505) Z");
    assert_snapshot!(run_batch(&mut client, "B - w | E - | S"), @"2 D(value) C Z");
    primary.plan(&[MemberBehavior::ServeError("42601")]);
    client.send(&extended_messages("B - w | E - | S | B - w | E - | S"));
    assert_snapshot!(format!("{} | {}", client.read_reply(), client.read_reply()), @"2 E(42601) Z | 2 D(value) C Z");
}

#[test]
fn a_batch_rejected_for_its_groups_leaves_no_prepared_statement_behind() {
    let (_primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    let other_group = "P b select payload from u where ref = $1 /* cluster=3 */";
    for end in ["S", "H|S"] {
        assert_eq!(run_batch(&mut client, &format!("{READ}|{other_group}|{end}")), "E(0A000) Z");
    }
    let script = format!("{READ}|B - r|E -|S");
    assert_eq!(run_batch(&mut client, &script), "1 2 D(value) C Z");
    assert_eq!(
        run_batch(&mut client, "B - b|E -|S"),
        "E(26000) Z",
        "the statement for the other group is not prepared either"
    );
}

#[test]
fn flush_is_answered_with_the_replies_to_the_messages_before_it() {
    let (primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    client.send(&extended_messages(&format!("{WRITE} | DS w | H")));
    assert_snapshot!(client.read_reply_until(|tag| tag == b'n'), @"1 t n");
    client.send(&extended_messages("B p w | DP p | H"));
    assert_snapshot!(client.read_reply_until(|tag| tag == b'n'), @"2 n");
    client.send(&extended_messages("E p | H"));
    assert_snapshot!(client.read_reply_until(|tag| tag == b'C'), @"D(value) C");
    client.send(&extended_messages("B p w | E p | H | S"));
    assert_snapshot!(client.read_reply(), @"E(0A000) Z");
    assert_eq!(primary.executed_count(), 1);
}

#[test]
fn client_disconnect_during_a_pipeline_cancels_its_attempt() {
    let (primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    primary.plan(&[MemberBehavior::HangOn(b'E')]);
    let batch = WRITE.replace("d=400", "d=15000");
    client.send(&extended_messages(&format!("{batch} | B - w | E - | S | B - w | E - | S")));
    primary.wait_for(MemberEvent::Hanging);
    drop(client);
    primary.wait_for(MemberEvent::ConnectionClosed);
    assert_eq!(primary.executed_count(), 1);
}

#[test]
fn prepared_statements_of_a_client_are_bounded() {
    let (_primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    for n in 0..3 {
        assert_eq!(
            run_batch(&mut client, &format!("{} | S", READ.replace("P r", &format!("P s{n}")))),
            "1 Z"
        );
    }
    assert_snapshot!(run_batch(&mut client, &format!("{READ} | S")), @"E(54000) Z");
    assert_snapshot!(run_batch(&mut client, "CS s0 | S"), @"3 Z");
    assert_snapshot!(run_batch(&mut client, &format!("{READ} | S")), @"1 Z");
}

#[test]
fn portals_that_outlive_their_batch_are_bounded_and_end_with_an_error() {
    let (_primary, _replica, proxy) = start_pair();
    let (mut client, mut other) = (proxy.connect_extended(), proxy.connect_extended());
    let value = "7".repeat(62_000);
    assert_eq!(run_batch(&mut client, &format!("{READ} | S")), "1 Z");
    let portal = |name: &str| format!("B {name} r {value}");
    let four_portals = ["a", "b", "c", "d"].map(portal).join("|");
    assert_eq!(run_batch(&mut client, &format!("{four_portals} | S")), "2 2 2 2 Z", "a Sync ends them");
    for _ in 0..2 {
        client.send(&extended_messages(&format!("{four_portals} | H")));
        assert_eq!(client.read_reply_until(|tag| tag == b'2'), "2");
        client.send(&extended_messages(&format!("{} | H", portal("e"))));
        assert_eq!(client.read_reply_until(|tag| tag == b'E'), "2 2 2 E(53200)");
        client.send(&extended_messages("E a | H"));
        assert_eq!(run_batch(&mut other, &format!("{READ} | B - r | E - | S")), "1 2 D(value) C Z");
        other.send(&extended_messages("CS r | S"));
        assert_eq!(other.read_reply(), "3 Z");
        assert_eq!(run_batch(&mut client, "E a | S"), "Z", "messages up to the Sync are skipped");
        assert_eq!(run_batch(&mut client, "E a | S"), "E(34000) Z", "the portals have ended");
    }
}

#[test]
fn prepared_statements_are_bounded_with_their_names_and_parameter_types() {
    let (_primary, _replica, proxy) = start_pair();
    let mut client = proxy.connect_extended();
    let long_name = "n".repeat(131_000);
    assert_eq!(
        run_batch(&mut client, &format!("{} | S", READ.replace("P r", &format!("P {long_name}")))),
        "1 Z"
    );
    let another = READ.replace("P r", &format!("P m{long_name}"));
    assert_eq!(run_batch(&mut client, &format!("{another} | S")), "E(53200) Z");
    client.send(&parse_with_types("t", 9_000));
    client.send(&extended_messages("S"));
    assert_eq!(client.read_reply(), "E(54000) Z");
    assert_eq!(run_batch(&mut client, &format!("{READ} | B - r | E - | S")), "1 2 D(value) C Z");
}

/// Guards against the execution of a statement that no client sent: a Bind behind a Parse of the unnamed statement that
/// a member or the proxy has refused would take the statement before it.
#[test]
fn bind_behind_a_refused_parse_executes_no_earlier_statement() {
    for refused in ["P - SELECT 1 /* c=any,d=400 */", "P - SET x = 1", "P - SELECT 1 /* c=none,d=900 */"] {
        let (primary, replica, proxy) = start_pair();
        let mut client = proxy.connect_extended();
        let first = "P - SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */ | B - - | E - | S";
        assert_eq!(run_batch(&mut client, first), "1 2 D(value) C Z");
        [&primary, &replica]
            .iter()
            .for_each(|member| member.replace_plan(&[MemberBehavior::ResetOn(b'P'); 16]));
        let reply = run_batch(&mut client, &format!("{refused} | S"));
        assert!(reply.starts_with("E("), "{refused}: {reply}");
        [&primary, &replica].iter().for_each(|member| member.replace_plan(&[]));
        assert_eq!(run_batch(&mut client, "B - - | E - | S"), "E(26000) Z", "{refused}");
        assert_eq!(primary.executed_count() + replica.executed_count(), 1, "{refused}");
    }
}
