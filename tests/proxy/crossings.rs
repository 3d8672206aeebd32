//! Pairs of events that meet at the wrong instant. Stand-ins hold back, release, hang or reset on command, so that
//! each crossing is forced and not hoped for; `docs/crossings.md` lists them.

use crate::support::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Closes it with a reset.
fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Guards against a change that discovery had for six seconds: a silent watch and a call that hangs, one after the
/// other, leave time for a connection that never comes up and the wait behind it (0.9 s).
#[test]
fn a_silent_watch_and_a_call_that_hangs_are_over_well_within_six_seconds() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let _silent = new_discovery.answer_until_watch(&serving_list(2, &[(0, &old)]));
    let since = Instant::now();
    let (_hung, _) = new_discovery.accept_request();
    let _watch = new_discovery.answer_until_watch(&serving_list(3, &[(7, &new)]));
    assert!(since.elapsed() < Duration::from_millis(5100), "{:?}", since.elapsed());
    let mut client = proxy.connect();
    while new.executed_count() == 0 {
        assert!(since.elapsed() < Duration::from_millis(5100), "told, and not heard");
        client.query(&write_query(1, 900));
    }
}

/// Guards against missing a drain that the old address tells while the new one is silent, and against a new address
/// that is given up too late: what it has counts 4 s after SIGHUP.
#[test]
fn a_drain_told_while_sighup_replaces_the_watch_binds() {
    let (primary, replica, next) =
        (MockMember::start(true), MockMember::start(false), MockMember::start(true));
    let proxy = Proxy::start(&[&primary, &replica]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let since = Instant::now();
    let (_hung, _) = new_discovery.accept_request();
    let entry = endpoint_entry(1, &replica, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    let pushed = Instant::now();
    let mut client = proxy.connect();
    while pushed.elapsed() < Duration::from_millis(400) {
        client.query(&read_query(1));
    }
    let before = replica.executed_count();
    for id in 2..10 {
        assert_eq!(client.query(&read_query(id)), SERVED);
    }
    assert_eq!(replica.executed_count(), before, "it drains");
    let _watch = new_discovery.answer_until_watch(&serving_list(3, &[(7, &next)]));
    assert!(since.elapsed() < Duration::from_millis(3100), "{:?}", since.elapsed());
    proxy.discovery.wait_for_closed_watch();
}

/// Guards against losing a watch over an entry that is broken into lines, and against taking the end of a
/// connection for the end of what it told.
#[test]
fn a_list_may_come_indented_and_half_a_list_is_none() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    let new_discovery = ScriptedDiscovery::start();
    proxy.reload(&configuration_at(new_discovery.address));
    let list = serving_list(2, &[(0, &old)]);
    // Without a length, half of it, and a reset or an end: asked again.
    for ends in [reset as fn(TcpStream), drop] {
        let (mut stream, _) = new_discovery.accept_request();
        write!(stream, "HTTP/1.1 200 OK\r\n\r\n{}", &list[..list.len() - 9]).unwrap();
        ends(stream);
    }
    let mut watch = new_discovery.answer_until_watch(&list);
    let change = full_list(3, &[endpoint_entry(7, &new, "SERVING")]);
    let indented = change.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
    // A brace within a name is none.
    watch.write_all(chunk(&indented.replace("\"az\":\"a\"", r#""az":"}\"{""#)).as_bytes()).unwrap();
    let mut client = proxy.connect();
    let begun = Instant::now();
    while new.executed_count() == 0 {
        assert!(begun.elapsed() < Duration::from_secs(5), "told, and not heard");
        client.query(&write_query(1, 900));
    }
}

/// Guards against an attempt that waits for its connection when its client leaves, and begins when that comes up;
/// also where attempts may not be cancelled. Both fronts.
#[test]
fn a_request_whose_client_left_while_its_link_came_up_is_not_sent() {
    for cancel in ["true", "false"] {
        for extended in [false, true] {
            let primary = MockMember::start(true);
            primary.hold_greetings();
            let shell = shell_without_probes(&format!("s/\"cancel\":true/\"cancel\":{cancel}/"));
            let proxy = Proxy::start_with_shell(&[&primary], &shell, "");
            let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
            let unit = "P - INSERT INTO entries VALUES ($1) /* c=write,d=9000 */ | B - - 7f | E - | S";
            client.send(&if extended {
                extended_messages(unit)
            } else {
                simple_query(&write_query(1, 9000))
            });
            primary.wait_for(MemberEvent::GreetingHeld);
            drop(client);
            wait_for_counter(&proxy, "pending=0\n");
            primary.release_greetings();
            assert_eq!(proxy.connect().query(&write_query(2, 9000)), SERVED);
            let log = primary.received();
            assert!(log.len() == 1 && log[0].contains("id=2,"), "{cancel} {extended}: {log:?}");
        }
    }
}

/// Guards against a client that sends much at once and goes: its close stands behind bytes that are not read yet.
#[test]
fn a_close_behind_unread_commands_is_seen_at_once() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut client = proxy.connect();
    let many: Vec<u8> = (2..100).flat_map(|id| simple_query(&read_query(id))).collect();
    client.send(&[simple_query(&write_query(1, 15_000)), many].concat());
    primary.wait_for(MemberEvent::Hanging);
    let left = Instant::now();
    drop(client);
    primary.wait_for(MemberEvent::ConnectionClosed);
    assert!(left.elapsed() < Duration::from_secs(2), "{:?}", left.elapsed());
    assert_eq!(proxy.connect().query(&write_query(200, 900)), SERVED);
    assert_eq!(primary.executed_count(), 2, "none of the others was sent");
}

/// Guards against an attempt that waits for its connection while its member is told to drain: it would begin after
/// the time in which that binds.
#[test]
fn an_attempt_that_has_not_begun_leaves_a_member_that_drains() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    replica.hold_greetings();
    let mut proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(1, 900)), SERVED, "the primary is known");
    client.send(&simple_query(&read_query(2)));
    replica.wait_for(MemberEvent::GreetingHeld);
    let entry = endpoint_entry(1, &replica, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    assert_eq!(client.read_reply(), SERVED, "by the primary");
    replica.release_greetings();
    drop(client);
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
    replica.wait_for(MemberEvent::ConnectionClosed);
    assert_eq!((primary.executed_count(), replica.received().len()), (2, 0));
}

/// Guards against data that was fresh enough when a replica was picked, and is not when the connection comes up at
/// last: where members do not check, only the proxy keeps it out. Both fronts.
#[test]
fn a_bounded_read_that_begins_late_goes_elsewhere() {
    for extended in [false, true] {
        let (primary, replica) = (MockMember::start(true), MockMember::start(false));
        let bound = "s/\"hold\"/\"silent\"/;s/\"loose\"/\"recent\"/;\
            s/\"counted_from_us\"/\"class_bound_us\":[0,700000,0],&/;s/\"probes\":false/\"probes\":true/";
        let proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(bound), "");
        let mut client = if extended { proxy.connect_extended() } else { proxy.connect() };
        let unit = "P - SELECT payload FROM entries WHERE ref = $1 /* c=any,d=9000 */ | B - - r | E - | S";
        let late = read_query(1).replace("d=900", "d=9000");
        let ask = if extended { extended_messages(unit) } else { simple_query(&late) };
        assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED, "the primary is known");
        // Served by the replica, which closes: its position is known, and the next read needs a connection.
        let begun = Instant::now();
        while replica.executed_count() == 0 {
            assert!(begun.elapsed() < Duration::from_secs(10));
            replica.replace_plan(&[MemberBehavior::ServeThenClose]);
            client.send(&ask);
            client.read_reply();
        }
        let runs = replica.executed_count();
        replica.hold_greetings();
        let asked = Instant::now();
        client.send(&ask);
        let answer = client.read_reply();
        let (took, at) = (asked.elapsed(), replica.executed_count());
        replica.release_greetings();
        assert!(answer.contains("D(value)") || answer.contains("53300"), "{answer}");
        assert!(took < Duration::from_millis(2500), "{took:?}");
        assert_eq!(at, runs, "{answer} after {took:?}");
        drop(client);
        let mut proxy = proxy;
        proxy.signal("-TERM");
        assert!(proxy.child.wait().unwrap().success());
        assert_eq!(replica.executed_count(), runs, "nor does it begin later");
    }
}

/// Guards against a reset that takes the last answer along: the connection is closed over bytes not read.
#[test]
fn what_is_said_before_a_close_over_unread_bytes_arrives_and_the_close_is_clean() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    for address in [proxy.address, proxy.extended_address.unwrap()] {
        let mut client = Client::connect(address);
        let more = vec![b'x'; 100_000];
        client.send(&[b"Q\0\0\0\x02".to_vec(), more.clone()].concat());
        assert_eq!(client.read_reply_until(|tag| tag == b'E'), "E(08P01)");
        // The proxy has closed its side, and ours still stands: nothing is reset.
        assert_eq!(client.stream.read(&mut [0; 16]).unwrap(), 0);
        client.send(&more);
        client.send(&more[..1000]);
        assert_eq!(client.stream.read(&mut [0; 16]).unwrap(), 0);
    }
}

/// Guards against a command that arrives as its connection is closed at the end of the process: it is not served,
/// and nothing is reset, so that the client can tell that it was not read.
#[test]
fn a_command_that_crosses_the_close_after_sigterm_is_not_sent_on() {
    let primary = MockMember::start(true);
    let mut proxy = Proxy::start(&[&primary]);
    let mut resting = proxy.connect();
    assert_eq!(resting.query(&read_query(1)), SERVED);
    // One that keeps the process from ending at once: its request is under way.
    let mut hung = proxy.connect();
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    hung.send(&simple_query(&write_query(2, 9_000)));
    primary.wait_for(MemberEvent::Hanging);
    proxy.signal("-TERM");
    assert_eq!(resting.read_reply(), "end", "closed between requests");
    resting.send(&simple_query(&read_query(3)));
    resting.send(&simple_query(&read_query(4)));
    let read = resting.stream.read(&mut [0; 16]);
    assert!(matches!(read, Ok(0)), "a clean end, not {read:?}");
    drop(resting);
    assert_eq!(hung.read_reply(), "E(08007) Z");
    assert!(proxy.child.wait().unwrap().success());
    assert_eq!(primary.executed_count(), 2);
}

/// Guards against losing a request that has to be tried elsewhere while connections are closed at the end.
#[test]
fn a_request_that_is_retried_as_the_end_comes_is_answered() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    replica.hold_greetings();
    let mut proxy = Proxy::start_with_shell(&[&primary, &replica], &shell_without_probes(""), "");
    let (mut client, mut resting) = (proxy.connect(), proxy.connect());
    assert_eq!(resting.query(&write_query(1, 900)), SERVED, "the primary is known");
    client.send(&simple_query(&read_query(2).replace("d=900", "d=9000")));
    replica.wait_for(MemberEvent::GreetingHeld);
    proxy.signal("-TERM");
    assert_eq!(resting.read_reply(), "end", "the end has come so far");
    let entry = endpoint_entry(1, &replica, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    assert_eq!(client.read_reply(), SERVED, "by the primary");
    assert!(proxy.child.wait().unwrap().success());
    assert_eq!((primary.executed_count(), replica.received().len()), (2, 0));
}

/// Guards against half a command, or one read in the last moment, that keeps the process from ending in time, and
/// against one that is read and never answered.
#[test]
fn the_end_comes_in_time_and_nothing_read_is_left_without_an_answer() {
    let primary = MockMember::start(true);
    let mut proxy = Proxy::start(&[&primary]);
    let (mut half, mut busy) = (proxy.connect(), proxy.connect());
    let begun = Instant::now();
    proxy.signal("-TERM");
    // A client that sends on for as long as the connection stays open: every command is answered, or the end comes
    // before the first byte of an answer.
    let mut last = String::new();
    for id in 10.. {
        if begun.elapsed() > Duration::from_millis(1800) && last.is_empty() {
            half.send(&simple_query(&read_query(1))[..30]);
            last = "half sent".into();
        }
        if busy.stream.write_all(&simple_query(&read_query(id))).is_err() {
            break;
        }
        match busy.read_reply().as_str() {
            SERVED => {}
            "end" => break,
            other => panic!("{other}"),
        }
    }
    assert!(!half.read_reply_until(|_| false).contains("D("), "half a command is none");
    assert!(proxy.child.wait().unwrap().success());
    assert!(begun.elapsed() < Duration::from_millis(3700), "{:?}", begun.elapsed());
}

/// Guards against idle clients that fill all descriptors while discovery is away: the watch must come up again, and
/// so must a link to a member that is new. The limit is the system's, lower than the configuration says.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_members() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start_with_shell(&[&old], "ulimit -n 96; exec \"$0\" serve", "");
    let new_discovery = ScriptedDiscovery::start();
    let mut idle = Vec::new();
    while idle.len() < 200 {
        let mut client = Client::connect_without_startup(proxy.address);
        client
            .stream
            .write_all(&[startup_message(), simple_query(&read_query(idle.len() as u32))].concat())
            .unwrap();
        idle.push(client);
    }
    // All that it holds is taken; now discovery comes back elsewhere, and a member is new there.
    assert_eq!(idle[0].stream.read(&mut [0; 1]).unwrap(), 1);
    proxy.reload(&configuration_at(new_discovery.address));
    let _watch = new_discovery.answer_until_watch(&serving_list(2, &[(7, &new)]));
    let begun = Instant::now();
    while new.executed_count() == 0 {
        assert!(begun.elapsed() < Duration::from_secs(10), "the new member is reached");
        let mut client = Client::connect_without_startup(proxy.address);
        let _ = client.stream.write_all(&[startup_message(), simple_query(&write_query(1000, 900))].concat());
        let _ = client.read_reply_until(|tag| tag == b'E' || tag == b'C');
    }
}

/// Guards against a failed start where the process before this one still holds the address, and against waiting for
/// a discovery that says nothing: ready within 10 s.
#[test]
fn a_restarted_process_is_ready_in_time() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap();
    let shell = format!(
        "sed -i 's/\"listen\":\"127.0.0.1:0\"/\"listen\":\"{at}\"/' \"$GW_CONFIG\"; exec \"$0\" serve"
    );
    let begun = Instant::now();
    // The process before takes this long to go.
    let free = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        drop(taken);
    });
    // Discovery takes the watch and says nothing.
    let proxy = Proxy::start_with_shell(&[], &shell, "");
    assert!(begun.elapsed() < Duration::from_secs(10));
    free.join().unwrap();
    assert_eq!(proxy.address, at);
}

/// Guards against turning a client away because the connection that was idle longest has just begun its next
/// command: another one that is idle makes room.
#[test]
fn a_command_that_has_begun_keeps_its_connection_and_another_makes_room() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64");
    let mut kept: Vec<_> = Vec::new();
    // As many as there is room for: the next one is turned away, as none has been idle for long.
    loop {
        let mut client = Client::connect_without_startup(proxy.address);
        client.send(&[startup_message(), simple_query(&read_query(kept.len() as u32))].concat());
        if client.read_reply_until(|tag| tag == b'E' || tag == b'C').contains("53300") {
            break;
        }
        client.read_reply();
        kept.push(client);
    }
    let last = kept.len() - 1;
    // The first begins a command. Once the last has been answered twice, that has been read.
    let (first, text) = (0, simple_query(&read_query(500)));
    kept[first].send(&text[..20]);
    let begun = Instant::now();
    let mut id = 1000;
    while begun.elapsed() < Duration::from_millis(2050) {
        assert_eq!(kept[last].query(&read_query(id)), SERVED);
        id += 1;
    }
    let mut newcomer = Client::connect(proxy.address);
    assert_eq!(newcomer.query(&read_query(600)), SERVED);
    kept[first].send(&text[20..]);
    assert_eq!(kept[first].read_reply(), SERVED, "the command that had begun is served");
}

/// Guards against taking bytes that a member says at rest for an answer, and against losing a request to a link that
/// its member closed.
#[test]
fn half_a_line_from_a_member_at_rest_costs_nothing() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    for id in 1..6 {
        primary.plan(&[MemberBehavior::ServeThenSend(b"T\0\0\0")]);
        assert_eq!(client.query(&write_query(2 * id, 900)), SERVED);
        assert_eq!(client.query(&write_query(2 * id + 1, 900)), SERVED);
    }
    assert_eq!(primary.executed_count(), 10);
}

/// Guards against a cancel that meets the answer of its request: the next request is not hit, and each has one
/// answer.
#[test]
fn a_cancel_that_comes_after_the_answer_hits_nothing() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let mut client = proxy.connect();
    assert_eq!(client.query(&write_query(1, 900)), SERVED);
    let mut cancel = client.send_cancel_to(proxy.address);
    let end = cancel.stream.read(&mut [0; 16]);
    assert!(matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    assert_eq!(client.query(&write_query(2, 900)), SERVED);
    assert_eq!(primary.executed_count(), 2);
}

/// Guards against a cancel that is not heard because clients hold all the room there is.
#[test]
fn a_cancel_is_heard_where_there_is_no_room_for_its_connection() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64");
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut hung = proxy.connect();
    hung.send(&simple_query(&write_query(1, 15_000)));
    primary.wait_for(MemberEvent::Hanging);
    // As many as there is room for, each just served: none makes room.
    let (mut kept, mut full) = (Vec::new(), false);
    while !full {
        let mut client = Client::connect_without_startup(proxy.address);
        client.send(&[startup_message(), simple_query(&write_query(100 + kept.len() as u32, 900))].concat());
        full = client.read_reply_until(|tag| tag == b'E' || tag == b'C').contains("53300");
        kept.push(client);
    }
    let _cancel = hung.send_cancel_to(proxy.address);
    let asked = Instant::now();
    assert_eq!(hung.read_reply(), "E(08007) Z");
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
}

/// Guards against a cancel whose connection is closed behind it at once, as a client that does not wait would.
#[test]
fn a_cancel_is_heard_though_its_connection_is_closed_at_once() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    for id in 0..20 {
        primary.plan(&[MemberBehavior::HangOn(b'Q')]);
        let mut hung = proxy.connect();
        hung.send(&simple_query(&write_query(id, 15_000)));
        primary.wait_for(MemberEvent::Hanging);
        let cancel = hung.send_cancel_to(proxy.address);
        drop(cancel);
        let asked = Instant::now();
        assert_eq!(hung.read_reply(), "E(08007) Z");
        assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    }
}

/// Guards against a write that is lost, or runs twice, as its primary changes: one that waits goes to the new one,
/// one that was in flight fails as one that may have run.
#[test]
fn a_change_of_primary_sends_no_write_twice() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start_with_shell(&[&old], &shell_without_probes(""), "");
    let mut flying = proxy.connect();
    old.plan(&[MemberBehavior::HangOn(b'Q')]);
    flying.send(&simple_query(&write_query(1, 4000)));
    old.wait_for(MemberEvent::Hanging);
    old.hold_greetings();
    let mut waiting = proxy.connect();
    waiting.send(&simple_query(&write_query(2, 4000)));
    old.wait_for(MemberEvent::GreetingHeld);
    proxy.discovery.push(&serving_list(2, &[(7, &new)]));
    assert_eq!(waiting.read_reply(), SERVED);
    old.release_greetings();
    assert_eq!(flying.read_reply(), "E(08007) Z");
    assert_eq!((old.executed_count(), new.executed_count()), (1, 1));
}
