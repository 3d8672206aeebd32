//! System calls of the proxy that fail for a moment, as Linux documents them.

use crate::support::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A primary and two replicas.
fn start_members() -> Vec<MockMember> {
    vec![MockMember::start(true), MockMember::start(false), MockMember::start(false)]
}

/// The program in front of these members, with no probes and no faults yet.
fn start_proxy(members: &[MockMember], faults: &Faults) -> Proxy {
    Proxy::start_with_faults(&members.iter().collect::<Vec<_>>(), &shell_without_probes(""), faults)
}

/// A script with this rule for each member.
fn for_each_member(members: &[MockMember], call: &str, effect: &str) -> String {
    members.iter().map(|member| format!("{call} peer={} {effect}\n", member.address)).collect()
}

/// Reads and writes that arrive while each attempt fails by this script; returns their replies once the faults
/// have ended.
fn replies_to_requests_during_faults(proxy: &Proxy, faults: &Faults, script: &str) -> Vec<String> {
    const READS: u32 = 5;
    /// More than each request is sent at first: all of them wait, and are tried again.
    const FAULTS: usize = 24;
    let mut clients: Vec<_> = (0..=READS).map(|_| proxy.connect()).collect();
    faults.set(script);
    let start = Instant::now();
    for (id, client) in clients.iter_mut().enumerate() {
        let query = if id == 0 { write_query(1, 4000) } else { read_query(id as u32 + 1) };
        client.send(&simple_query(&query));
    }
    faults.wait_for_injected(FAULTS);
    faults.clear();
    // No busy loop.
    let attempts_per_ms = faults.injected().len() as f64 / start.elapsed().as_millis().max(10) as f64;
    assert!(attempts_per_ms < 3.0, "{attempts_per_ms} attempts a millisecond");
    clients.iter_mut().map(Client::read_reply).collect()
}

/// Guards against errors of this machine that count as the members': requests were rejected at once, or held
/// until members that were never at fault were tried again, seconds later.
#[test]
fn error_of_this_machine_while_connecting_costs_no_request_and_ejects_nobody() {
    let errors = [
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "ENETDOWN",
        "ENOBUFS",
        "ENOMEM",
        "EAGAIN",
        "EMFILE",
        "ENFILE",
        "EINTR",
    ];
    std::thread::scope(|scope| {
        for error in errors {
            scope.spawn(move || {
                let (members, faults) = (start_members(), Faults::none());
                let proxy = start_proxy(&members, &faults);
                let script = for_each_member(&members, "connect", &format!("error={error}"));
                assert_served_during_faults(&proxy, &faults, &script);
            });
        }
    });
}

#[test]
fn lack_of_sockets_or_threads_costs_no_request_and_ejects_nobody() {
    for script in ["socket error=ENOBUFS", "socket error=ENFILE", "pthread_create error=EAGAIN"] {
        let (members, faults) = (start_members(), Faults::none());
        let proxy = start_proxy(&members, &faults);
        assert_served_during_faults(&proxy, &faults, script);
    }
}

fn assert_served_during_faults(proxy: &Proxy, faults: &Faults, script: &str) {
    let replies = replies_to_requests_during_faults(proxy, faults, script);
    assert!(replies.iter().all(|reply| reply == SERVED), "{script}: {replies:?}");
    wait_for_counter(proxy, "members_unavailable=0\n");
}

/// An error of this machine that lasts ends each request at its deadline, as one that was not executed.
#[test]
fn lasting_error_of_this_machine_is_a_rejection_by_the_deadline() {
    let (members, faults) = (start_members(), Faults::none());
    let proxy = start_proxy(&members, &faults);
    faults.set(&for_each_member(&members, "connect", "error=EADDRNOTAVAIL"));
    for query in [read_query(1), write_query(2, 900)] {
        let start = Instant::now();
        assert_eq!(proxy.connect().query(&query), "E(53300) Z");
        assert!(start.elapsed() < Duration::from_millis(1300), "{:?}", start.elapsed());
    }
    assert_eq!(members.iter().map(MockMember::executed_count).sum::<usize>(), 0);
    faults.clear();
    assert_eq!(proxy.connect().query(&read_query(3)), SERVED, "nobody is ejected");
}

/// Guards against an outage that lasts seconds longer than its cause, though nobody else tells whether a member is
/// back: no probes are allowed.
#[test]
fn members_that_refused_connections_are_soon_used_again() {
    let (members, faults) = (start_members(), Faults::none());
    let proxy = start_proxy(&members, &faults);
    faults.set(&for_each_member(&members, "connect", "error=ECONNREFUSED"));
    let mut clients: Vec<_> = (0..6).map(|_| proxy.connect()).collect();
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(id, client)| client.send(&simple_query(&read_query(id as u32))));
    assert!(clients.iter_mut().all(|client| client.read_reply() == "E(53300) Z"));
    faults.clear();
    let start = Instant::now();
    std::thread::scope(|scope| {
        for (number, mut client) in clients.into_iter().enumerate() {
            scope.spawn(move || {
                let mut ids = (number as u32 + 1) * 1000..;
                while client.query(&read_query(ids.next().unwrap())) != SERVED {
                    assert!(start.elapsed() < TEST_TIMEOUT);
                }
            });
        }
    });
    assert!(start.elapsed() < Duration::from_millis(3500), "{:?}", start.elapsed());
}

/// Guards against a connection that is dropped unread, or is never read or written to again, as a call on it failed
/// for a moment: its first request may be in it.
#[test]
fn client_whose_connection_meets_errors_of_this_machine_gets_its_answers() {
    let (members, faults) = (start_members(), Faults::none());
    let proxy = start_proxy(&members, &faults);
    let (platform, extended) = (proxy.address, proxy.extended_address.unwrap());
    for rule in [
        "ioctl on=accepted count=2 error=ENOMEM",
        "setsockopt on=accepted count=2 error=ENOBUFS",
        "epoll_ctl on=accepted count=3 error=ENOMEM",
        "epoll_ctl on=accepted skip=1 every=2 error=ENOSPC",
        "epoll_wait every=2 error=EINTR",
        "read on=accepted every=2 error=EINTR",
        "read on=accepted every=2 error=ENOMEM",
        "read on=accepted short=1",
        "write on=accepted every=2 error=EINTR",
        "write on=accepted every=2 error=ENOBUFS",
        "write on=accepted short=1",
        "write fd=2 error=EIO",
    ] {
        faults.set(rule);
        std::thread::scope(|scope| {
            for client in 0..4 {
                scope.spawn(move || assert_served_at_both_listeners(platform, extended, client, rule));
            }
        });
    }
}

fn assert_served_at_both_listeners(platform: SocketAddr, extended: SocketAddr, client: u32, rule: &str) {
    let batch = "P - SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */ | B - - r | E - | S";
    let mut platform = Client::connect(platform);
    platform.send(&[simple_query(&read_query(10 * client + 1)), simple_query("")].concat());
    assert_eq!([platform.read_reply(), platform.read_reply()], [SERVED, "I Z"], "{rule}");
    let mut extended = Client::connect(extended);
    extended.send(&extended_messages(batch));
    assert!(extended.read_reply().contains("D(value)"), "{rule}");
}

/// Guards against an error that ends or stalls accepting.
#[test]
fn errors_of_accept_neither_end_nor_stall_accepting() {
    let (members, faults) = (start_members(), Faults::none());
    let proxy = start_proxy(&members, &faults);
    for error in ["ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EPERM", "EPROTO", "EINTR", "ENETDOWN"] {
        faults.set(&format!(
            "accept4 on=listener count=5 error={error}; epoll_ctl on=listener every=2 error=ENOMEM"
        ));
        let start = Instant::now();
        assert_eq!(proxy.connect().query(&read_query(1)), SERVED, "{error}");
        assert!(start.elapsed() < Duration::from_millis(900), "{error}: {:?}", start.elapsed());
        faults.set(&format!("accept4 on=listener count=5 error={error}"));
        assert_eq!(proxy.admin_request("GET", "ready").0, 200, "{error}");
    }
}

/// Short transfers and errors that leave a connection as it was cost nothing, at members and at discovery.
#[test]
fn member_connection_survives_short_transfers_and_momentary_errors() {
    let primary = MockMember::start(true);
    let faults = Faults::none();
    let proxy = start_proxy(std::slice::from_ref(&primary), &faults);
    let member = primary.address;
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED);
    let mut executed = 1;
    for effect in ["short=1", "every=2 error=EINTR", "every=2 error=ENOMEM", "every=2 error=ENOBUFS"] {
        for call in ["read", "write"] {
            // The first read is the check of the idle connection.
            faults.set(&format!("{call} peer={member} skip=1 {effect}"));
            assert_eq!(proxy.connect().query(&write_query(2, 900)), SERVED, "{call} {effect}");
            executed += 1;
        }
        faults.set(&format!("read peer={} {effect}", proxy.discovery.address));
        proxy.discovery.push(&serving_list(executed as u64, &[(0, &primary)]));
        faults.wait_for_injected(1);
    }
    assert_eq!(primary.executed_count(), executed);
}

/// A connection that breaks shows as a timeout or as a host that can't be reached, too: before the last byte is
/// written nothing was executed, and afterwards a write may have been.
#[test]
fn broken_member_connection_is_told_by_when_it_broke_and_not_by_its_error() {
    for error in ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE", "EIO"] {
        let primary = MockMember::start(true);
        let faults = Faults::none();
        let proxy = start_proxy(std::slice::from_ref(&primary), &faults);
        let mut client = proxy.connect();
        assert_eq!(client.query(&write_query(1, 900)), SERVED);
        faults.set(&format!("write peer={} count=1 error={error}", primary.address));
        assert_eq!(client.query(&write_query(2, 900)), SERVED, "{error}");
        // The first read is the check of the idle connection.
        faults.set(&format!("read peer={} skip=1 count=1 error={error}", primary.address));
        assert_eq!(client.query(&write_query(3, 900)), "E(08007) Z", "{error}");
        assert_eq!(client.query(&write_query(4, 900)), SERVED, "{error}");
        assert_eq!(primary.executed_count(), 4, "{error}: each executed once");
    }
}

/// Operators are answered though there is no thread for them, or a call on their connection fails for a moment.
#[test]
fn operators_are_answered_during_errors_of_this_machine() {
    let (members, faults) = (start_members(), Faults::none());
    let proxy = start_proxy(&members, &faults);
    let local = proxy.admin_address.unwrap();
    for rule in [
        // First: after an answer its connection sets a time limit once more, which would count as the one to
        // skip.
        format!("setsockopt local={local} on=accepted skip=1 error=ENOBUFS"),
        "pthread_create error=EAGAIN".to_string(),
        format!("read local={local} on=accepted every=2 error=ENOMEM"),
        format!("read local={local} on=accepted short=1"),
        format!("write local={local} on=accepted short=1"),
        format!("write local={local} on=accepted every=2 error=EINTR"),
    ] {
        faults.set(&rule);
        assert_eq!(proxy.admin_request("GET", "ready").0, 200, "{rule}");
    }
}

/// Guards against a signal thread that ends with the first error of its wait: SIGTERM would have no effect.
#[test]
fn signals_are_heeded_after_errors_of_this_machine() {
    let (members, faults) = (start_members(), Faults::none());
    let mut proxy = start_proxy(&members, &faults);
    faults.set("read error=ENOMEM");
    proxy.signal("-HUP");
    // The configuration, and the wait for the next signal.
    faults.wait_for_injected(3);
    faults.clear();
    assert_eq!(proxy.connect().query(&read_query(1)), SERVED);
    proxy.signal("-TERM");
    let start = Instant::now();
    while proxy.child.try_wait().unwrap().is_none() {
        assert!(start.elapsed() < TEST_TIMEOUT, "SIGTERM has no effect");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(proxy.child.wait().unwrap().success());
}
