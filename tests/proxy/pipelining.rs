//! Commands of one connection that are in progress at the same time, on both fronts. Stand-in members hold answers
//! back until the test releases them, so that each order of events is forced.

use crate::support::*;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One of the two listeners, and how a client asks and is answered there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Front {
    Platform,
    Extended,
}

const FRONTS: [Front; 2] = [Front::Platform, Front::Extended];
/// The session of most commands here, and another one.
const KEY: &str = "7f3a";
const OTHER: &str = "9c21";

impl Front {
    fn connect(self, proxy: &Proxy) -> Client {
        match self {
            Front::Platform => proxy.connect(),
            Front::Extended => proxy.connect_extended(),
        }
    }

    fn address(self, proxy: &Proxy) -> SocketAddr {
        match self {
            Front::Platform => proxy.address,
            Front::Extended => proxy.extended_address.unwrap(),
        }
    }

    /// What a member does that hangs as soon as it has the message that executes the statement.
    fn hang(self) -> MemberBehavior {
        match self {
            Front::Platform => MemberBehavior::HangOn(b'Q'),
            Front::Extended => MemberBehavior::HangOn(b'E'),
        }
    }

    fn read_query(self, id: u32, class: &str, key: &str) -> Vec<u8> {
        let marks = format!("/* id={id:x},c={class},d=900,cluster=2 */");
        self.statement("SELECT payload FROM entries WHERE ref = $1", &marks, key)
    }

    fn write_query(self, id: u32, wait: u32, key: &str) -> Vec<u8> {
        let marks = format!("/* id={id:x},c=write,d={wait},cluster=2 */");
        self.statement("INSERT INTO entries VALUES ($1, 'x')", &marks, key)
    }

    fn statement(self, sql: &str, marks: &str, key: &str) -> Vec<u8> {
        match self {
            Front::Platform => simple_query(&format!("{} {marks}", sql.replace("$1", &format!("'{key}'")))),
            Front::Extended => extended_messages(&format!("P - {sql} {marks} | B - - {key} | E - | S")),
        }
    }

    fn served(self, value: &str) -> String {
        match self {
            Front::Platform => format!("T D({value}) C Z"),
            Front::Extended => format!("1 2 D({value}) C Z"),
        }
    }
}

/// A primary and so many replicas behind the program, which sends no probes.
fn group(replicas: usize) -> (MockMember, Vec<MockMember>, Proxy) {
    group_behind(replicas, 0)
}

/// The same with replicas whose data is behind by so many milliseconds.
fn group_behind(replicas: usize, millis: u64) -> (MockMember, Vec<MockMember>, Proxy) {
    let primary = MockMember::start(true);
    let replicas: Vec<_> = (0..replicas).map(|_| MockMember::start(false)).collect();
    replicas.iter().for_each(|replica| replica.set_replication_lag_ms(millis));
    let all: Vec<_> = std::iter::once(&primary).chain(&replicas).collect();
    let proxy = Proxy::start_with_shell(&all, &shell_without_probes(""), "");
    // Every member has been asked once, so that its role and its position are known.
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(0x900, 900)), SERVED);
    let mut id = 0x901;
    while replicas.iter().any(|replica| replica.executed_count() == 0) {
        assert!(id < 0xa00, "some replica is never asked");
        client.query(&read_query(id));
        id += 1;
    }
    all.iter().for_each(|server| server.reset_record());
    (primary, replicas, proxy)
}

/// The program has read all that `client` has sent: another client, whose command came later, has been served.
fn passed_by(proxy: &Proxy, front: Front, id: u32) {
    let mut other = front.connect(proxy);
    other.send(&front.read_query(id, "any", OTHER));
    assert_eq!(other.read_reply(), front.served("value"));
}

/// Nothing has been said to this client.
fn nothing_said(client: &Client) {
    client.stream.set_nonblocking(true).unwrap();
    let peeked = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).unwrap();
    assert!(matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock));
}

/// The ids of the requests that these members ran.
fn ran(servers: &[&MockMember]) -> Vec<u32> {
    let id = |text: &String| u32::from_str_radix(text.split("id=").nth(1)?.split(',').next()?, 16).ok();
    let runs = |server: &&MockMember| server.executed().iter().filter_map(id).collect::<Vec<_>>();
    servers.iter().flat_map(runs).collect()
}

#[test]
fn replies_keep_the_order_of_commands_that_finish_in_reverse_order() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(2);
        replicas[0].plan(&[MemberBehavior::HoldReply("held")]);
        replicas[1].plan(&[MemberBehavior::HoldReply("held")]);
        let mut client = front.connect(&proxy);
        client.send(&[front.read_query(1, "any", KEY), front.read_query(2, "any", KEY)].concat());
        replicas[0].wait_for(MemberEvent::ReplyHeld);
        replicas[1].wait_for(MemberEvent::ReplyHeld);
        let first = usize::from(ran(&[&replicas[1]]) == [1]);
        replicas[1 - first].release_replies(1);
        wait_for_counter(&proxy, "pending=1");
        nothing_said(&client);
        replicas[first].release_replies(1);
        assert_eq!([client.read_reply(), client.read_reply()], [front.served("held"), front.served("held")]);
        assert_eq!((ran(&[&replicas[first]]), ran(&[&replicas[1 - first]])), (vec![1], vec![2]), "{front:?}");
    }
}

#[test]
fn each_reply_belongs_to_its_command_whatever_finishes_first() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(1);
        replicas[0].plan(&[
            MemberBehavior::HoldReply("first"),
            MemberBehavior::ServeValue("second"),
            MemberBehavior::ServeValue("third"),
        ]);
        let mut client = front.connect(&proxy);
        client.send(&front.read_query(1, "any", KEY));
        replicas[0].wait_for(MemberEvent::ReplyHeld);
        client.send(&[front.read_query(2, "any", KEY), front.read_query(3, "any", KEY)].concat());
        wait_for_counter(&proxy, "pending=1");
        while replicas[0].executed_count() < 3 {
            wait_for_counter(&proxy, "pending=1");
        }
        nothing_said(&client);
        replicas[0].release_replies(1);
        assert_eq!(client.read_reply(), front.served("first"), "{front:?}");
        let mut rest = [client.read_reply(), client.read_reply()];
        rest.sort();
        assert_eq!(rest, [front.served("second"), front.served("third")], "{front:?}");
    }
}

#[test]
fn a_hung_head_of_line_fails_at_its_own_deadline_and_frees_those_behind_it() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(1);
        replicas[0].plan(&[front.hang(), MemberBehavior::Serve, MemberBehavior::Serve]);
        let mut client = front.connect(&proxy);
        let begun = Instant::now();
        client.send(&front.read_query(1, "any", KEY));
        replicas[0].wait_for(MemberEvent::Hanging);
        client.send(&[front.read_query(2, "any", KEY), front.read_query(3, "any", KEY)].concat());
        wait_for_counter(&proxy, "any.completed=3"); // One was served as the test began.
        assert!(
            begun.elapsed() < Duration::from_millis(800),
            "{front:?}: they waited for the one that hangs"
        );
        nothing_said(&client);
        assert!(client.read_reply().starts_with("E("), "{front:?}");
        assert!(begun.elapsed() < Duration::from_millis(1100), "{front:?}: {:?}", begun.elapsed());
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [front.served("value"), front.served("value")]
        );
    }
}

#[test]
fn a_read_waits_for_an_earlier_write_and_sees_its_commit() {
    for front in FRONTS {
        // The replica may serve reads of this session, which has written nothing lately, though it is far behind.
        let (primary, replicas, proxy) = group_behind(1, 60_000);
        let mut client = front.connect(&proxy);
        client.send(&front.read_query(1, "own", KEY));
        assert_eq!(client.read_reply(), front.served("value"));
        assert_eq!(ran(&[&replicas[0]]), [1], "{front:?}");
        primary.plan(&[MemberBehavior::HoldReply("written"), MemberBehavior::ServeValue("fresh")]);
        client.send(&[front.write_query(2, 4000, KEY), front.read_query(3, "own", KEY)].concat());
        primary.wait_for(MemberEvent::ReplyHeld);
        passed_by(&proxy, front, 4);
        assert_eq!(ran(&[&primary, &replicas[0]]), [2, 1, 4], "{front:?}: the read has not begun");
        primary.release_replies(1);
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [front.served("written"), front.served("fresh")]
        );
        assert_eq!(ran(&[&primary]), [2, 3], "{front:?}");
    }
}

#[test]
fn a_write_does_not_overtake_an_earlier_write() {
    for front in FRONTS {
        let (primary, _replicas, proxy) = group(1);
        primary.plan(&[
            MemberBehavior::HoldReply("one"),
            MemberBehavior::ServeValue("two"),
            MemberBehavior::ServeValue("three"),
        ]);
        let mut client = front.connect(&proxy);
        let writes = [
            front.write_query(1, 4000, KEY),
            front.write_query(2, 4000, OTHER),
            front.write_query(3, 4000, KEY),
        ];
        client.send(&writes.concat());
        primary.wait_for(MemberEvent::ReplyHeld);
        passed_by(&proxy, front, 4);
        assert_eq!(ran(&[&primary]), [1], "{front:?}");
        primary.release_replies(1);
        let answers = [client.read_reply(), client.read_reply(), client.read_reply()];
        assert_eq!(answers, ["one", "two", "three"].map(|value| front.served(value)));
        assert_eq!(ran(&[&primary]), [1, 2, 3], "{front:?}");
    }
}

#[test]
fn a_write_waits_for_an_earlier_read_of_its_session_and_for_no_other() {
    for front in FRONTS {
        let (primary, replicas, proxy) = group(1);
        replicas[0].plan(&[MemberBehavior::HoldReply("before")]);
        let mut client = front.connect(&proxy);
        client.send(&front.read_query(1, "any", KEY));
        replicas[0].wait_for(MemberEvent::ReplyHeld);
        client.send(&[front.write_query(2, 4000, OTHER), front.write_query(3, 4000, KEY)].concat());
        wait_for_counter(&proxy, "write.completed=2"); // One was served as the test began.
        passed_by(&proxy, front, 4);
        assert_eq!(ran(&[&primary]), [2], "{front:?}");
        replicas[0].release_replies(1);
        let answers = [client.read_reply(), client.read_reply(), client.read_reply()];
        assert_eq!(answers, ["before", "value", "value"].map(|value| front.served(value)));
        assert_eq!(ran(&[&primary]), [2, 3], "{front:?}");
    }
}

#[test]
fn a_write_that_failed_lets_the_commands_behind_it_go_on() {
    for front in FRONTS {
        let (primary, _replicas, proxy) = group(1);
        primary.plan(&[front.hang()]);
        let mut client = front.connect(&proxy);
        let commands = [
            front.write_query(1, 500, KEY),
            front.read_query(2, "any", KEY),
            front.write_query(3, 4000, KEY),
        ];
        client.send(&commands.concat());
        primary.wait_for(MemberEvent::Hanging);
        assert!(client.read_reply().ends_with("E(08007) Z"), "{front:?}");
        assert_eq!(
            [client.read_reply(), client.read_reply()],
            [front.served("value"), front.served("value")]
        );
        assert_eq!(ran(&[&primary]), [1, 3], "{front:?}");
    }
}

#[test]
fn a_request_whose_time_is_over_before_its_turn_comes_is_rejected_and_not_begun() {
    for front in FRONTS {
        let (primary, _replicas, proxy) = group(1);
        primary.plan(&[MemberBehavior::HoldReply("slow")]);
        let mut client = front.connect(&proxy);
        client.send(
            &[
                front.write_query(1, 4000, KEY),
                front.write_query(2, 300, KEY),
                front.write_query(3, 4000, KEY),
            ]
            .concat(),
        );
        primary.wait_for(MemberEvent::ReplyHeld);
        let held = Instant::now();
        while held.elapsed() < Duration::from_millis(350) {
            passed_by(&proxy, front, 0x10 + held.elapsed().as_micros() as u32);
        }
        primary.release_replies(1);
        assert_eq!(client.read_reply(), front.served("slow"));
        assert_eq!(client.read_reply(), "E(53300) Z", "{front:?}");
        assert_eq!(client.read_reply(), front.served("value"));
        assert_eq!(ran(&[&primary]), [1, 3], "{front:?}");
    }
}

#[test]
fn a_client_that_leaves_ends_all_its_attempts_and_nothing_of_it_begins() {
    for front in FRONTS {
        let (primary, replicas, proxy) = group(2);
        let hang = front.hang();
        replicas.iter().for_each(|replica| replica.plan(&[hang]));
        primary.plan(&[MemberBehavior::HoldReply("never")]);
        let mut client = front.connect(&proxy);
        client.send(&[front.read_query(1, "any", KEY), front.read_query(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::Hanging));
        client.send(&[front.write_query(3, 4000, OTHER), front.write_query(4, 4000, OTHER)].concat());
        primary.wait_for(MemberEvent::ReplyHeld);
        drop(client);
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::ConnectionClosed));
        wait_for_counter(&proxy, "pending=0");
        primary.release_replies(1);
        let mut other = front.connect(&proxy);
        other.send(&front.write_query(5, 900, KEY));
        assert_eq!(other.read_reply(), front.served("value"));
        assert_eq!(ran(&[&primary]), [3, 5], "{front:?}: what waited for the write has not begun");
    }
}

#[test]
fn a_cancel_ends_the_first_unanswered_command_and_no_other() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(2);
        replicas.iter().for_each(|replica| replica.plan(&[MemberBehavior::HoldReply("held")]));
        let mut client = front.connect(&proxy);
        client.send(&[front.read_query(1, "any", KEY), front.read_query(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::ReplyHeld));
        let first = usize::from(ran(&[&replicas[1]]) == [1]);
        let _cancel = client.send_cancel_to(front.address(&proxy));
        assert_eq!(client.read_reply(), "E(08007) Z");
        replicas[first].release_replies(1);
        nothing_said(&client);
        replicas[1 - first].release_replies(1);
        assert_eq!(client.read_reply(), front.served("held"));
        // What the cancelled attempt leaves behind reaches nobody.
        for id in 3..7 {
            client.send(&front.read_query(id, "any", KEY));
            assert_eq!(client.read_reply(), front.served("value"), "{front:?}");
        }
    }
}

#[test]
fn sigterm_leaves_every_command_in_progress_with_one_answer() {
    for front in FRONTS {
        let (primary, replicas, mut proxy) = group(2);
        let hang = front.hang();
        replicas[0].plan(&[hang]);
        replicas[1].plan(&[hang]);
        primary.plan(&[hang]);
        let mut client = front.connect(&proxy);
        client.send(&[front.read_query(1, "any", KEY), front.read_query(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait_for(MemberEvent::Hanging));
        client.send(
            &[
                front.write_query(3, 15_000, OTHER),
                front.write_query(4, 15_000, OTHER),
                front.read_query(5, "any", OTHER),
            ]
            .concat(),
        );
        primary.wait_for(MemberEvent::Hanging);
        proxy.signal("-TERM");
        let mut answers: Vec<_> = (0..5).map(|_| client.read_reply()).collect();
        assert!(answers.iter().all(|answer| answer.contains("E(") && answer.ends_with(" Z")), "{answers:?}");
        assert!(answers.remove(2).ends_with("E(08007) Z"), "{front:?}: the write may have run");
        assert_eq!(ran(&[&primary]), [3], "{front:?}: the second write was not begun");
        assert_eq!(client.stream.read(&mut [0]).unwrap(), 0, "the connection ends, with no further answer");
        assert!(proxy.child.wait().unwrap().success());
    }
}

#[test]
fn a_connection_with_as_many_commands_in_progress_as_it_may_have_is_not_read_from() {
    for front in FRONTS {
        let (primary, replicas, proxy) = group(2);
        replicas.iter().for_each(|replica| replica.plan(&[MemberBehavior::HoldReply("held"); 8]));
        let mut client = front.connect(&proxy);
        let commands: Vec<_> = (1..=12).map(|id| front.read_query(id, "own", KEY)).collect();
        client.send(&commands.concat());
        wait_for_counter(&proxy, "pending=8");
        let mut other = front.connect(&proxy);
        other.send(&front.write_query(0x20, 900, OTHER));
        assert_eq!(other.read_reply(), front.served("value"));
        wait_for_counter(&proxy, "pending=8");
        let all: Vec<_> = replicas.iter().chain([&primary]).collect();
        assert!(ran(&all).iter().all(|id| *id <= 8 || *id == 0x20), "{front:?}: {:?}", ran(&all));
        replicas.iter().for_each(|replica| replica.release_replies(8));
        for id in 1..=12 {
            assert!(client.read_reply().ends_with(" C Z"), "{front:?}: {id}");
        }
    }
}

#[test]
fn no_further_command_begins_while_too_many_bytes_wait_for_an_earlier_reply() {
    let large: &'static str = Box::leak("x".repeat(60_000).into_boxed_str());
    for front in FRONTS {
        let (primary, replicas, proxy) = group(1);
        let replica = &replicas[0];
        replica.plan(&[
            MemberBehavior::HoldReply("held"),
            MemberBehavior::ServeValue(large),
            MemberBehavior::ServeValue(large),
            MemberBehavior::ServeValue(large),
        ]);
        let mut client = front.connect(&proxy);
        client.send(&front.read_query(1, "own", KEY));
        replica.wait_for(MemberEvent::ReplyHeld);
        for id in 2..=4 {
            client.send(&front.read_query(id, "own", KEY));
            // One was served as the test began for each of the classes, and all but the held one since.
            wait_for_counter(&proxy, &format!("own.completed={}", id - 1));
        }
        client.send(&front.read_query(5, "own", KEY));
        passed_by(&proxy, front, 6);
        wait_for_counter(&proxy, "pending=1");
        assert_eq!(ran(&[&primary, replica]), [1, 2, 3, 4, 6], "{front:?}: 180 KB wait");
        replica.release_replies(1);
        assert_eq!(client.read_reply(), front.served("held"));
        (2..=4).for_each(|_| assert_eq!(client.read_reply(), front.served(large)));
        assert_eq!(client.read_reply(), front.served("value"));
    }
}

#[test]
fn an_extended_unit_that_rests_on_an_unfinished_one_keeps_its_order() {
    let (_primary, replicas, proxy) = group(1);
    let read = "SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */";
    replicas[0].plan(&[MemberBehavior::HoldReply("held")]);
    let mut client = proxy.connect_extended();
    client.send(&extended_messages(&format!(
        "P r {read} | B - r | E - | S | B - r | E - | S | P - {read} | B - - | E - | S"
    )));
    // The first holds back the second, which rests on it, and with it all that comes later.
    wait_for_counter(&proxy, "pending=1");
    passed_by(&proxy, Front::Extended, 9);
    assert_eq!(replicas[0].executed_count(), 2, "the first one and the other client's");
    replicas[0].release_replies(1);
    let answers = [client.read_reply(), client.read_reply(), client.read_reply()];
    assert!(answers.iter().zip(["1 2 D", "2 D", "1 2 D"]).all(|(a, b)| a.starts_with(b)), "{answers:?}");
}

#[test]
fn a_unit_behind_one_that_failed_after_its_parse_finds_the_statement_and_behind_one_that_was_rejected_does_not()
 {
    let (_primary, replicas, proxy) = group(1);
    replicas[0].plan(&[MemberBehavior::ServeError("42601")]);
    let mut client = proxy.connect_extended();
    let read = "SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */";
    client.send(&extended_messages(&format!("P r {read} | B - r | E - | S | B - r | E - | S")));
    assert_eq!([client.read_reply(), client.read_reply()], ["1 2 E(42601) Z", "2 D(value) C Z"]);
    replicas[0].plan(&[MemberBehavior::HangOn(b'P')]);
    let late = read.replace("d=900", "d=1").replace("payload", "other");
    client.send(&extended_messages(&format!("P q {late} | B - q | E - | S | B - q | E - | S")));
    assert_eq!([client.read_reply(), client.read_reply()], ["E(53300) Z", "E(26000) Z"]);
}
