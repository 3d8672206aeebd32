//! Tests of client connections: disconnects, cancel requests, shutdown, and the limits on connections and
//! descriptors.

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
    // SIGKILL comes 3.7 s after SIGTERM. If the proxy stopped serving much earlier, the outage would be
    // longer than a restart takes.
    while start.elapsed() < Duration::from_millis(2500) {
        assert_eq!(active.query(&read_query(1)), SERVED);
    }
    let mut late = proxy.connect();
    assert_eq!(late.query(&read_query(2)), SERVED, "a connection opened late is still served");
    assert_eq!(late.read_reply(), "end");
    assert_eq!(active.read_reply(), "end", "closed between requests");
    // This connection is opened late and sends nothing. It must not keep the program from exiting.
    let _silent = Client::connect_without_startup(proxy.address);
    assert_eq!(hung.read_reply(), "E(08007) Z", "pending requests are answered before SIGKILL");
    assert!(proxy.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_millis(3700));
}

/// Without a time limit, clients that connect, or begin a message, and then send nothing more would keep their
/// connections open indefinitely.
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
    assert_eq!(
        active.query(&read_query(2)),
        SERVED,
        "the connection of a client that has sent a request stays open"
    );
}

/// Idle connections, and connections on which clients send nothing, may use the whole capacity for clients.
/// The proxy must close some of them, or it would reject clients that send requests.
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
        // The write fails if the proxy has rejected the connection meanwhile.
        silent
            .iter_mut()
            .filter(|_| sends_startup)
            .for_each(|c| drop(c.stream.write_all(&startup_message())));
        let start = Instant::now();
        // A client may be rejected as long as all silent connections are too new to be distinguished from
        // active ones.
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

/// When each idle member connection had a thread, the proxies of a machine ran out of thread ids.
#[test]
fn idle_member_connections_hold_no_threads() {
    let replicas: Vec<_> = (0..30).map(|_| MockMember::start(false)).collect();
    let primary = MockMember::start(true);
    let proxy = Proxy::start(&replicas.iter().chain([&primary]).collect::<Vec<_>>());
    // Each replica is in a group of its own, so that the proxy opens one connection to each.
    let group = |n: usize| format!("\"pod_group\":{}", n + 10);
    let entry = |(n, replica): (usize, &MockMember)| {
        endpoint_entry(n, replica, "SERVING").replace("\"pod_group\":2", &group(n))
    };
    proxy.discovery.push(&full_list(2, &replicas.iter().enumerate().map(entry).collect::<Vec<_>>()));
    let mut client = proxy.connect();
    for (n, replica) in replicas.iter().enumerate() {
        let query = |id| read_query(id).replace("cluster=2", &format!("cluster={}", n + 10));
        let unserved = (0..3000).take_while(|id| client.query(&query(*id)) != SERVED).count();
        assert!(
            unserved < 3000 && replica.executed_count() > 0,
            "replica {n} has served a request and so has a connection"
        );
    }
    let threads = std::fs::read_dir(format!("/proc/{}/task", proxy.child.id())).unwrap().count();
    assert!(threads < 30, "{threads} threads");
}

#[test]
fn proxy_survives_a_low_descriptor_limit() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], "ulimit -n 24; exec \"$0\" serve", "");
    let connections: Vec<_> = (0..40).map(|_| Client::connect_without_startup(proxy.address)).collect();
    drop(connections);
    let mut client = proxy.connect();
    assert_snapshot!(client.query(&read_query(1)), @"T D(value) C Z");
}

/// Clients may send one request and then keep their connection open. All clients together may use a third of
/// the descriptors: without the eviction of idle connections, no other client would be admitted.
#[test]
fn long_idle_connections_are_closed_before_they_use_up_the_capacity() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_limits(&[&primary], "exec \"$0\" serve", "", "\"sockets\":128");
    let mut clients: Vec<_> = (1..=32).map(|id| (id, proxy.connect())).collect();
    for (id, client) in &mut clients {
        assert_eq!(client.query(&read_query(*id)), SERVED);
    }
    let start = Instant::now();
    assert_eq!(clients[0].1.read_reply(), "end");
    assert!(start.elapsed().as_millis() > 1500, "a connection may be closed after it has been idle for 2 s");
    assert_eq!(
        clients[31].1.query(&read_query(99)),
        SERVED,
        "the other connections stay open once there are fewer"
    );
}
