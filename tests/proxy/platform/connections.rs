//! The life of client connections: disconnects, cancel requests, shutdown, and limits of descriptors.

use crate::support::*;
use insta::assert_snapshot;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn client_disconnect_cancels_its_attempt() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut client = proxy.connect();
    client.send(&simple_query(&write_query(1, 15_000)));
    primary.wait_for(MemberEvent::Hanging);
    drop(client);
    primary.wait_for(MemberEvent::ConnectionClosed);
}

#[test]
fn cancel_request_ends_the_request_with_one_reply() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut client = proxy.connect();
    client.send(&simple_query(&write_query(1, 15_000)));
    primary.wait_for(MemberEvent::Hanging);
    let _cancel = client.send_cancel_to(proxy.address);
    assert_snapshot!(client.read_reply(), @"E(08007) Z");
    assert_snapshot!(client.query(&read_query(2)), @"T D(value) C Z");
}

#[test]
fn sigterm_keeps_serving_for_a_grace_period_then_exits_cleanly() {
    let primary = MockMember::start(true);
    let mut proxy = Proxy::start(&[&primary]);
    let mut active = proxy.connect();
    let mut hung = proxy.connect();
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    hung.send(&simple_query(&write_query(3, 9_000)));
    primary.wait_for(MemberEvent::Hanging);
    let start = Instant::now();
    proxy.signal("-TERM");
    // Guards against an outage longer than a restart takes: SIGKILL comes 3.7 s after SIGTERM.
    while start.elapsed() < Duration::from_millis(2500) {
        assert_eq!(active.query(&read_query(1)), SERVED);
    }
    let mut late = proxy.connect();
    assert_eq!(late.query(&read_query(2)), SERVED, "a late connection is still served");
    assert_eq!(late.read_reply(), "end");
    assert_eq!(active.read_reply(), "end", "closed between requests");
    // Guards against a connection that comes late, sends nothing, and would keep the program from exiting.
    let _silent = Client::connect_without_startup(proxy.address);
    assert_eq!(hung.read_reply(), "E(08007) Z", "pending requests are answered before SIGKILL");
    assert!(proxy.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_millis(3700));
}

/// Guards against clients that connect, or begin a message, and send no more.
#[test]
fn silent_clients_and_partial_messages_time_out_with_an_error() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&[&primary]);
    let start = Instant::now();
    let mut active = proxy.connect();
    assert_eq!(active.query(&read_query(1)), SERVED);
    let sent: [&[u8]; 4] = [
        b"",
        &startup_message()[..9],
        &startup_message(),
        &[startup_message(), b"Q\0\0\0\x40SELECT".to_vec()].concat(),
    ];
    let mut bad: Vec<_> = sent.iter().map(|_| Client::connect_without_startup(proxy.address)).collect();
    bad.iter_mut().zip(sent).for_each(|(client, bytes)| client.send(bytes));
    let mut idle = proxy.connect_extended();
    for client in &mut bad {
        let reply = client.read_reply_until(|_| false);
        assert!(reply.ends_with("E(08P01) end"), "{reply}");
    }
    assert_eq!(idle.read_reply_until(|_| false), "E(08P01) end");
    assert!(start.elapsed() < Duration::from_secs(3));
    assert_eq!(active.query(&read_query(2)), SERVED, "a client that has sent a request may stay");
}

/// Guards against idle and silent connections that take all the capacity there is for clients.
#[test]
fn silent_connections_are_closed_to_admit_clients_with_requests() {
    let primary = MockMember::start(true);
    let proxy =
        Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":64,\"memory_mb\":32");
    let mut clients: Vec<_> = (0..10).map(|_| proxy.connect()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.query(&read_query(1)), SERVED));
    let mut served = 0;
    for sends_startup in [false, true, false, true] {
        let mut silent: Vec<_> = (0..30).map(|_| Client::connect_without_startup(proxy.address)).collect();
        // A connection that is rejected meanwhile may fail to take it.
        silent
            .iter_mut()
            .filter(|_| sends_startup)
            .for_each(|c| drop(c.stream.write_all(&startup_message())));
        let start = Instant::now();
        // A client may be rejected while all the silent ones are too new to be distinguished from active
        // ones.
        while start.elapsed() < Duration::from_secs(1) {
            let mut client = Client::connect_without_startup(proxy.address);
            let sent = client.stream.write_all(&[startup_message(), simple_query(&read_query(2))].concat());
            if sent.is_ok() && client.read_reply().ends_with('Z') && client.read_reply() == SERVED {
                served += 1;
                break;
            }
        }
        silent.iter_mut().for_each(|c| drop(c.read_reply_until(|_| false)));
    }
    assert_eq!(served, 4);
    assert_eq!(proxy.connect().query(&read_query(3)), SERVED);
}

/// Guards against a thread for each idle member connection: the proxies of a machine ran out of thread ids.
#[test]
fn idle_member_connections_hold_no_threads() {
    let replicas: Vec<_> = (0..30).map(|_| MockMember::start(false)).collect();
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&replicas.iter().chain([&primary]).collect::<Vec<_>>());
    // Each replica in a group of its own: one connection each.
    let group = |n: usize| format!("\"pod_group\":{}", n + 10);
    let entry = |(n, replica): (usize, &MockMember)| {
        endpoint_entry(n, replica, "SERVING").replace("\"pod_group\":2", &group(n))
    };
    proxy.discovery.push(&full_list(2, &replicas.iter().enumerate().map(entry).collect::<Vec<_>>()));
    let mut client = proxy.connect();
    for (n, replica) in replicas.iter().enumerate() {
        let query = |id| read_query(id).replace("cluster=2", &format!("cluster={}", n + 10));
        let unserved = (0..3000).take_while(|id| client.query(&query(*id)) != SERVED).count();
        assert!(unserved < 3000 && replica.executed_count() > 0, "each replica has a connection");
    }
    let threads = std::fs::read_dir(format!("/proc/{}/task", proxy.child.id())).unwrap().count();
    assert!(threads < 30, "{threads} threads");
}

#[test]
fn proxy_survives_a_low_descriptor_limit() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], "ulimit -n 24; exec \"$0\" serve", "");
    let crowd: Vec<_> = (0..40).map(|_| Client::connect_without_startup(proxy.address)).collect();
    drop(crowd);
    let mut client = proxy.connect();
    assert_snapshot!(client.query(&read_query(1)), @"T D(value) C Z");
}

/// Guards against clients that send one request and keep their connection for good: together they may hold
/// a third of the descriptors, and nobody else would be admitted.
#[test]
fn long_idle_connections_are_closed_before_they_keep_others_out() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":128");
    let mut clients: Vec<_> = (1..=32).map(|id| (id, proxy.connect())).collect();
    for (id, client) in &mut clients {
        assert_eq!(client.query(&read_query(*id)), SERVED);
    }
    let start = Instant::now();
    assert_eq!(clients[0].1.read_reply(), "end");
    assert!(start.elapsed().as_millis() > 1500, "it may be closed after 2 s");
    assert_eq!(clients[31].1.query(&read_query(99)), SERVED, "with fewer, the others stay");
}
