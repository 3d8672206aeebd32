//! Admin requests, taking the proxy out of service, and upgrades without rejected clients.

use crate::support::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::Stdio;

const SERVE_WITH_ADMIN_LISTENER: &str = "export GW_OPS=127.0.0.1:0; exec \"$0\" serve";

/// The value of a counter in the response to `GET /control/counters`.
fn counter_value(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

#[test]
fn counters_match_what_clients_and_members_observed() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], SERVE_WITH_ADMIN_LISTENER, "");
    assert_eq!(proxy.admin_request("GET", "ready").0, 200);
    let mut client = proxy.connect();
    let served = (1..=3).filter(|id| client.query(&read_query(*id)).starts_with("T D"));
    assert_eq!(served.count(), 3);
    primary.plan(&[MemberBehavior::ServeError("XX000")]);
    assert_eq!(client.query(&write_query(4, 900)), "E(08007) Z");
    primary.plan(&[MemberBehavior::HangOn(b'Q'), MemberBehavior::Serve]);
    let mut disconnecting = proxy.connect();
    disconnecting.send(&simple_query(&write_query(5, 3000)));
    primary.wait_for(MemberEvent::Hanging);
    assert_eq!(client.query(&write_query(6, 3000)), SERVED);
    let counters = proxy.admin_request("GET", "counters").1;
    assert_eq!(counter_value(&counters, "pending"), 1);
    assert_eq!(counter_value(&counters, "upstream_requests"), primary.received().len() as u64);
    drop(disconnecting);
    // The proxy aborts the member's connection once it has detected that the client disconnected.
    primary.wait_for(MemberEvent::ConnectionClosed);
    // The event loop shuts the socket down, and counts the closure only when the connection's worker thread
    // has reported it, so the member may see the end of the connection before the counter exists.
    wait_for_counter(&proxy, "member_connections_closed.job_cancelled=");
    let counters = proxy.admin_request("GET", "counters").1;
    let (of_queue, others): (Vec<_>, Vec<_>) =
        counters.lines().partition(|line| line.starts_with("event_queue.") || line.starts_with("held_back."));
    insta::assert_snapshot!(others.join("\n"), @r"
    downstream_requests.own.completed=0
    downstream_requests.own.rejected=0
    downstream_requests.own.failed=0
    downstream_requests.any.completed=3
    downstream_requests.any.rejected=0
    downstream_requests.any.failed=0
    downstream_requests.write.completed=1
    downstream_requests.write.rejected=0
    downstream_requests.write.failed=1
    upstream_requests=6
    pending=0
    members=1
    members_unavailable=0
    endpoint_list.revision=1
    needs.role.requests=3
    needs.role.ruled_out=0
    needs.position.requests=0
    needs.position.ruled_out=0
    needs.bound.requests=0
    needs.bound.ruled_out=0
    reads.at_primary=2
    reads.at_replica=1
    attempts_failed.error=1
    not_served.may_have_run=1
    member_connections_closed.job_cancelled=1
    client_connections_closed.closed_by_client=2
    ");
    // The times are of this run; the names and the number of lines are not.
    let names: Vec<_> = of_queue.iter().map(|line| line.split_once('=').unwrap().0).collect();
    let expected = ["control", "members", "discovery", "clients"].iter().flat_map(|source| {
        ["queued", "most_queued", "taken", "waited_us", "longest_wait_us"]
            .map(|name| format!("event_queue.{source}.{name}"))
    });
    let held = ["queue", "commands", "answers"]
        .iter()
        .flat_map(|reason| ["times", "held_us"].map(|name| format!("held_back.{reason}.{name}")));
    assert_eq!(names, held.chain(expected).collect::<Vec<_>>());
    assert_eq!(counter_value(&counters, "event_queue.clients.queued"), 0);
    assert!(counter_value(&counters, "event_queue.members.taken") > 0);
}

#[test]
fn invalid_admin_requests_get_an_error_and_slow_ones_block_nobody() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], SERVE_WITH_ADMIN_LISTENER, "");
    let slow: Vec<_> = (0..8).map(|_| TcpStream::connect(proxy.admin_address.unwrap()).unwrap()).collect();
    (&slow[0]).write_all(b"GET /control/re").unwrap();
    assert_eq!(proxy.admin_request("GET", "ready"), (200, "yes\n".into()));
    assert_eq!(proxy.admin_request("GET", "nothing").0, 404);
    assert_eq!(proxy.admin_request("PUT", "ready").0, 405);
    assert_eq!(proxy.admin_request("GET", "out-of-service").0, 405);
    assert!(proxy.send_to_admin(b"\0\x01 what\r\n\r\n").starts_with("HTTP/1.1 400 "));
    assert!(proxy.send_to_admin(&[b'a'; 20_000]).starts_with("HTTP/1.1 4"));
    for mut stream in slow {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    }
}

#[test]
fn out_of_service_rejects_clients_until_the_proxy_is_in_service_again() {
    let primary = MockMember::start(true);
    let proxy = Proxy::start_with_shell(&[&primary], SERVE_WITH_ADMIN_LISTENER, "");
    let mut client = proxy.connect();
    assert_eq!(proxy.admin_request("PUT", "out-of-service").0, 200);
    assert_eq!(proxy.connect().query(""), "E(57P03) Z");
    assert_eq!(client.query(&write_query(1, 900)), SERVED, "open connections are served");
    primary.plan(&[MemberBehavior::HangOn(b'Q')]);
    let mut busy = proxy.connect();
    busy.send(&simple_query(&write_query(2, 2500)));
    primary.wait_for(MemberEvent::Hanging);
    assert_eq!(client.read_reply(), "end", "closed between requests");
    assert_eq!(busy.read_reply(), "E(08007) Z", "a request in flight gets its answer first");
    assert_eq!(busy.read_reply(), "end");
    assert_eq!(proxy.admin_request("PUT", "in-service").0, 200);
    let mut client = proxy.connect();
    assert_eq!(client.query(""), "I Z");
    assert_eq!(client.query(&read_query(3)), SERVED);
}

#[test]
fn an_upgrade_rejects_no_client() {
    let primary = MockMember::start(true);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let shell = "export GW_LISTEN_FD=0; exec \"$0\" serve";
    let start = || {
        let socket: OwnedFd = socket.try_clone().unwrap().into();
        Proxy::start_with_stdin(Stdio::from(socket), &[&primary], shell, "", "\"sockets\":256")
    };
    let mut old = start();
    let mut client = old.connect();
    assert_eq!(client.query(&read_query(1)), SERVED);
    let new = start();
    assert_eq!(old.address, new.address);
    old.signal("-TERM");
    // Connects repeatedly until the old process has exited. Either process may accept each connection.
    let mut id = 10;
    while old.child.try_wait().unwrap().is_none() {
        assert_eq!(new.connect().query(&read_query(id)), SERVED);
        id += 1;
    }
    assert!(old.child.wait().unwrap().success());
    assert_eq!(client.read_reply(), "end", "the old connection was closed between requests");
    assert_eq!(new.connect().query(&read_query(2)), SERVED);
}

#[test]
fn an_inherited_descriptor_that_is_no_listener_is_a_bad_configuration() {
    let file = std::env::temp_dir().join(format!("liftrelay-fd-{}", std::process::id()));
    let discovery = MockDiscovery::start(String::new());
    std::fs::write(&file, configuration(&discovery)).unwrap();
    for number in ["0", "77", "three"] {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_liftrelay"))
            .arg("serve")
            .env("GW_CONFIG", &file)
            .env("GW_LISTEN_FD", number)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
    std::fs::remove_file(file).unwrap();
}
