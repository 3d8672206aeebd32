//! Commands of one connection that are in progress at the same time, on both fronts. Stand-in members hold answers
//! back until the test releases them, so that each order of events is forced.

use crate::crossings::{patient, told};
use crate::rig::*;
use std::io::{ErrorKind, Read};
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
            Front::Platform => proxy.client(),
            Front::Extended => proxy.extended(),
        }
    }

    fn read(self, id: u32, class: &str, key: &str) -> Vec<u8> {
        let marks = format!("/* id={id:x},c={class},d=900,cluster=2 */");
        self.statement("SELECT payload FROM entries WHERE ref = $1", &marks, key)
    }

    fn write(self, id: u32, wait: u32, key: &str) -> Vec<u8> {
        let marks = format!("/* id={id:x},c=write,d={wait},cluster=2 */");
        self.statement("INSERT INTO entries VALUES ($1, 'x')", &marks, key)
    }

    fn statement(self, sql: &str, marks: &str, key: &str) -> Vec<u8> {
        match self {
            Front::Platform => simple(&format!("{} {marks}", sql.replace("$1", &format!("'{key}'")))),
            Front::Extended => messages(&format!("P - {sql} {marks} | B - - {key} | E - | S")),
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
fn group(replicas: usize) -> (Server, Vec<Server>, Proxy) {
    group_behind(replicas, 0)
}

/// The same with replicas whose data is behind by so many milliseconds.
fn group_behind(replicas: usize, millis: u64) -> (Server, Vec<Server>, Proxy) {
    let primary = Server::start(true);
    let replicas: Vec<_> = (0..replicas).map(|_| Server::start(false)).collect();
    replicas.iter().for_each(|replica| replica.lag(millis));
    let all: Vec<_> = std::iter::once(&primary).chain(&replicas).collect();
    let proxy = Proxy::start_by(&all, &patient(""), "");
    // Every member has been asked once, so that its role and its position are known.
    let mut client = proxy.client();
    assert_eq!(client.query(&write(0x900, 900)), "T D(value) C Z");
    let mut id = 0x901;
    while replicas.iter().any(|replica| replica.runs() == 0) {
        assert!(id < 0xa00, "some replica is never asked");
        client.query(&read(id));
        id += 1;
    }
    all.iter().for_each(|server| *server.seen.lock().unwrap() = Seen::default());
    (primary, replicas, proxy)
}

/// The program has read all that `client` has sent: another client, whose command came later, has been served.
fn passed_by(proxy: &Proxy, front: Front, id: u32) {
    let mut other = front.connect(proxy);
    other.send(&front.read(id, "any", OTHER));
    assert_eq!(other.answer(), front.served("value"));
}

/// Nothing has been said to this client.
fn nothing_said(client: &Client) {
    client.stream.set_nonblocking(true).unwrap();
    let peeked = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).unwrap();
    assert!(matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock));
}

/// The ids of the requests that these members ran.
fn ran(servers: &[&Server]) -> Vec<u32> {
    let id = |text: &String| u32::from_str_radix(text.split("id=").nth(1)?.split(',').next()?, 16).ok();
    let runs = |server: &&Server| server.seen.lock().unwrap().runs.iter().filter_map(id).collect::<Vec<_>>();
    servers.iter().flat_map(runs).collect()
}

#[test]
fn replies_keep_the_order_of_commands_that_finish_in_reverse_order() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(2);
        replicas[0].plan(&[Does::Hold("held")]);
        replicas[1].plan(&[Does::Hold("held")]);
        let mut client = front.connect(&proxy);
        client.send(&[front.read(1, "any", KEY), front.read(2, "any", KEY)].concat());
        replicas[0].wait("hold");
        replicas[1].wait("hold");
        let first = usize::from(ran(&[&replicas[1]]) == [1]);
        replicas[1 - first].release(1);
        told(&proxy, "pending=1");
        nothing_said(&client);
        replicas[first].release(1);
        assert_eq!([client.answer(), client.answer()], [front.served("held"), front.served("held")]);
        assert_eq!((ran(&[&replicas[first]]), ran(&[&replicas[1 - first]])), (vec![1], vec![2]), "{front:?}");
    }
}

#[test]
fn each_reply_belongs_to_its_command_whatever_finishes_first() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(1);
        replicas[0].plan(&[Does::Hold("first"), Does::Value("second"), Does::Value("third")]);
        let mut client = front.connect(&proxy);
        client.send(&front.read(1, "any", KEY));
        replicas[0].wait("hold");
        client.send(&[front.read(2, "any", KEY), front.read(3, "any", KEY)].concat());
        told(&proxy, "pending=1");
        while replicas[0].runs() < 3 {
            told(&proxy, "pending=1");
        }
        nothing_said(&client);
        replicas[0].release(1);
        assert_eq!(client.answer(), front.served("first"), "{front:?}");
        let mut rest = [client.answer(), client.answer()];
        rest.sort();
        assert_eq!(rest, [front.served("second"), front.served("third")], "{front:?}");
    }
}

#[test]
fn a_hung_head_of_line_fails_at_its_own_deadline_and_frees_those_behind_it() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(1);
        replicas[0].plan(&[Does::Hang(b'Q'), Does::Serve, Does::Serve]);
        if front == Front::Extended {
            replicas[0].seen.lock().unwrap().plan[0] = Does::Hang(b'E');
        }
        let mut client = front.connect(&proxy);
        let begun = Instant::now();
        client.send(&front.read(1, "any", KEY));
        replicas[0].wait("hang");
        client.send(&[front.read(2, "any", KEY), front.read(3, "any", KEY)].concat());
        told(&proxy, "any.completed=3"); // One was served as the test began.
        assert!(
            begun.elapsed() < Duration::from_millis(800),
            "{front:?}: they waited for the one that hangs"
        );
        nothing_said(&client);
        assert!(client.answer().starts_with("E("), "{front:?}");
        assert!(begun.elapsed() < Duration::from_millis(1100), "{front:?}: {:?}", begun.elapsed());
        assert_eq!([client.answer(), client.answer()], [front.served("value"), front.served("value")]);
    }
}

#[test]
fn a_read_waits_for_an_earlier_write_and_sees_its_commit() {
    for front in FRONTS {
        // The replica may serve reads of this session, which has written nothing lately, though it is far behind.
        let (primary, replicas, proxy) = group_behind(1, 60_000);
        let mut client = front.connect(&proxy);
        client.send(&front.read(1, "own", KEY));
        assert_eq!(client.answer(), front.served("value"));
        assert_eq!(ran(&[&replicas[0]]), [1], "{front:?}");
        primary.plan(&[Does::Hold("written"), Does::Value("fresh")]);
        client.send(&[front.write(2, 4000, KEY), front.read(3, "own", KEY)].concat());
        primary.wait("hold");
        passed_by(&proxy, front, 4);
        assert_eq!(ran(&[&primary, &replicas[0]]), [2, 1, 4], "{front:?}: the read has not begun");
        primary.release(1);
        assert_eq!([client.answer(), client.answer()], [front.served("written"), front.served("fresh")]);
        assert_eq!(ran(&[&primary]), [2, 3], "{front:?}");
    }
}

#[test]
fn a_write_does_not_overtake_an_earlier_write() {
    for front in FRONTS {
        let (primary, _replicas, proxy) = group(1);
        primary.plan(&[Does::Hold("one"), Does::Value("two"), Does::Value("three")]);
        let mut client = front.connect(&proxy);
        let writes = [front.write(1, 4000, KEY), front.write(2, 4000, OTHER), front.write(3, 4000, KEY)];
        client.send(&writes.concat());
        primary.wait("hold");
        passed_by(&proxy, front, 4);
        assert_eq!(ran(&[&primary]), [1], "{front:?}");
        primary.release(1);
        let answers = [client.answer(), client.answer(), client.answer()];
        assert_eq!(answers, ["one", "two", "three"].map(|value| front.served(value)));
        assert_eq!(ran(&[&primary]), [1, 2, 3], "{front:?}");
    }
}

#[test]
fn a_write_waits_for_an_earlier_read_of_its_session_and_for_no_other() {
    for front in FRONTS {
        let (primary, replicas, proxy) = group(1);
        replicas[0].plan(&[Does::Hold("before")]);
        let mut client = front.connect(&proxy);
        client.send(&front.read(1, "any", KEY));
        replicas[0].wait("hold");
        client.send(&[front.write(2, 4000, OTHER), front.write(3, 4000, KEY)].concat());
        told(&proxy, "write.completed=2"); // One was served as the test began.
        passed_by(&proxy, front, 4);
        assert_eq!(ran(&[&primary]), [2], "{front:?}");
        replicas[0].release(1);
        let answers = [client.answer(), client.answer(), client.answer()];
        assert_eq!(answers, ["before", "value", "value"].map(|value| front.served(value)));
        assert_eq!(ran(&[&primary]), [2, 3], "{front:?}");
    }
}

#[test]
fn a_write_that_failed_lets_the_commands_behind_it_go_on() {
    for front in FRONTS {
        let (primary, _replicas, proxy) = group(1);
        primary.plan(&[if front == Front::Platform { Does::Hang(b'Q') } else { Does::Hang(b'E') }]);
        let mut client = front.connect(&proxy);
        let commands = [front.write(1, 500, KEY), front.read(2, "any", KEY), front.write(3, 4000, KEY)];
        client.send(&commands.concat());
        primary.wait("hang");
        assert!(client.answer().ends_with("E(08007) Z"), "{front:?}");
        assert_eq!([client.answer(), client.answer()], [front.served("value"), front.served("value")]);
        assert_eq!(ran(&[&primary]), [1, 3], "{front:?}");
    }
}

#[test]
fn a_request_whose_time_is_over_before_its_turn_comes_is_rejected_and_not_begun() {
    for front in FRONTS {
        let (primary, _replicas, proxy) = group(1);
        primary.plan(&[Does::Hold("slow")]);
        let mut client = front.connect(&proxy);
        client
            .send(&[front.write(1, 4000, KEY), front.write(2, 300, KEY), front.write(3, 4000, KEY)].concat());
        primary.wait("hold");
        let held = Instant::now();
        while held.elapsed() < Duration::from_millis(350) {
            passed_by(&proxy, front, 0x10 + held.elapsed().as_micros() as u32);
        }
        primary.release(1);
        assert_eq!(client.answer(), front.served("slow"));
        assert_eq!(client.answer(), "E(53300) Z", "{front:?}");
        assert_eq!(client.answer(), front.served("value"));
        assert_eq!(ran(&[&primary]), [1, 3], "{front:?}");
    }
}

#[test]
fn a_client_that_leaves_ends_all_its_attempts_and_nothing_of_it_begins() {
    for front in FRONTS {
        let (primary, replicas, proxy) = group(2);
        let hang = if front == Front::Platform { Does::Hang(b'Q') } else { Does::Hang(b'E') };
        replicas.iter().for_each(|replica| replica.plan(&[hang]));
        primary.plan(&[Does::Hold("never")]);
        let mut client = front.connect(&proxy);
        client.send(&[front.read(1, "any", KEY), front.read(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait("hang"));
        client.send(&[front.write(3, 4000, OTHER), front.write(4, 4000, OTHER)].concat());
        primary.wait("hold");
        drop(client);
        replicas.iter().for_each(|replica| replica.wait("end"));
        told(&proxy, "pending=0");
        primary.release(1);
        let mut other = front.connect(&proxy);
        other.send(&front.write(5, 900, KEY));
        assert_eq!(other.answer(), front.served("value"));
        assert_eq!(ran(&[&primary]), [3, 5], "{front:?}: what waited for the write has not begun");
    }
}

#[test]
fn a_cancel_ends_the_first_unanswered_command_and_no_other() {
    for front in FRONTS {
        let (_primary, replicas, proxy) = group(2);
        replicas.iter().for_each(|replica| replica.plan(&[Does::Hold("held")]));
        let mut client = front.connect(&proxy);
        client.send(&[front.read(1, "any", KEY), front.read(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait("hold"));
        let first = usize::from(ran(&[&replicas[1]]) == [1]);
        let mut cancel =
            Client::raw(if front == Front::Platform { proxy.address } else { proxy.extended.unwrap() });
        cancel.send(&[&[0, 0, 0, 16, 4, 210, 22, 46][..], &client.key].concat());
        assert_eq!(client.answer(), "E(08007) Z");
        replicas[first].release(1);
        nothing_said(&client);
        replicas[1 - first].release(1);
        assert_eq!(client.answer(), front.served("held"));
        // What the cancelled attempt leaves behind reaches nobody.
        for id in 3..7 {
            client.send(&front.read(id, "any", KEY));
            assert_eq!(client.answer(), front.served("value"), "{front:?}");
        }
    }
}

#[test]
fn sigterm_leaves_every_command_in_progress_with_one_answer() {
    for front in FRONTS {
        let (primary, replicas, mut proxy) = group(2);
        let hang = if front == Front::Platform { Does::Hang(b'Q') } else { Does::Hang(b'E') };
        replicas[0].plan(&[hang]);
        replicas[1].plan(&[hang]);
        primary.plan(&[hang]);
        let mut client = front.connect(&proxy);
        client.send(&[front.read(1, "any", KEY), front.read(2, "any", KEY)].concat());
        replicas.iter().for_each(|replica| replica.wait("hang"));
        client.send(
            &[front.write(3, 15_000, OTHER), front.write(4, 15_000, OTHER), front.read(5, "any", OTHER)]
                .concat(),
        );
        primary.wait("hang");
        proxy.signal("-TERM");
        let mut answers: Vec<_> = (0..5).map(|_| client.answer()).collect();
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
        replicas.iter().for_each(|replica| replica.plan(&[Does::Hold("held"); 8]));
        let mut client = front.connect(&proxy);
        let commands: Vec<_> = (1..=12).map(|id| front.read(id, "own", KEY)).collect();
        client.send(&commands.concat());
        told(&proxy, "pending=8");
        let mut other = front.connect(&proxy);
        other.send(&front.write(0x20, 900, OTHER));
        assert_eq!(other.answer(), front.served("value"));
        told(&proxy, "pending=8");
        let all: Vec<_> = replicas.iter().chain([&primary]).collect();
        assert!(ran(&all).iter().all(|id| *id <= 8 || *id == 0x20), "{front:?}: {:?}", ran(&all));
        replicas.iter().for_each(|replica| replica.release(8));
        for id in 1..=12 {
            assert!(client.answer().ends_with(" C Z"), "{front:?}: {id}");
        }
    }
}

#[test]
fn no_further_command_begins_while_too_many_bytes_wait_for_an_earlier_reply() {
    let large: &'static str = Box::leak("x".repeat(60_000).into_boxed_str());
    for front in FRONTS {
        let (primary, replicas, proxy) = group(1);
        let replica = &replicas[0];
        replica.plan(&[Does::Hold("held"), Does::Value(large), Does::Value(large), Does::Value(large)]);
        let mut client = front.connect(&proxy);
        client.send(&front.read(1, "own", KEY));
        replica.wait("hold");
        for id in 2..=4 {
            client.send(&front.read(id, "own", KEY));
            // One was served as the test began for each of the classes, and all but the held one since.
            told(&proxy, &format!("own.completed={}", id - 1));
        }
        client.send(&front.read(5, "own", KEY));
        passed_by(&proxy, front, 6);
        told(&proxy, "pending=1");
        assert_eq!(ran(&[&primary, replica]), [1, 2, 3, 4, 6], "{front:?}: 180 KB wait");
        replica.release(1);
        assert_eq!(client.answer(), front.served("held"));
        (2..=4).for_each(|_| assert_eq!(client.answer(), front.served(large)));
        assert_eq!(client.answer(), front.served("value"));
    }
}

#[test]
fn an_extended_unit_that_rests_on_an_unfinished_one_keeps_its_order() {
    let (_primary, replicas, proxy) = group(1);
    let read = "SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */";
    replicas[0].plan(&[Does::Hold("held")]);
    let mut client = proxy.extended();
    client.send(&messages(&format!(
        "P r {read} | B - r | E - | S | B - r | E - | S | P - {read} | B - - | E - | S"
    )));
    // The first holds back the second, which rests on it, and with it all that comes later.
    told(&proxy, "pending=1");
    passed_by(&proxy, Front::Extended, 9);
    assert_eq!(replicas[0].runs(), 2, "the first one and the other client's");
    replicas[0].release(1);
    let answers = [client.answer(), client.answer(), client.answer()];
    assert!(answers.iter().zip(["1 2 D", "2 D", "1 2 D"]).all(|(a, b)| a.starts_with(b)), "{answers:?}");
}

#[test]
fn a_unit_behind_one_that_failed_after_its_parse_finds_the_statement_and_behind_one_that_was_rejected_does_not()
 {
    let (_primary, replicas, proxy) = group(1);
    replicas[0].plan(&[Does::Error("42601")]);
    let mut client = proxy.extended();
    let read = "SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */";
    client.send(&messages(&format!("P r {read} | B - r | E - | S | B - r | E - | S")));
    assert_eq!([client.answer(), client.answer()], ["1 2 E(42601) Z", "2 D(value) C Z"]);
    replicas[0].plan(&[Does::Hang(b'P')]);
    let late = read.replace("d=900", "d=1").replace("payload", "other");
    client.send(&messages(&format!("P q {late} | B - q | E - | S | B - q | E - | S")));
    assert_eq!([client.answer(), client.answer()], ["E(53300) Z", "E(26000) Z"]);
}
