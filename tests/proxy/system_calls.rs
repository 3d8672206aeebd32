//! Tests of transient errors of the proxy's system calls, as Linux documents them for each call.

use crate::support::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A primary and two replicas.
fn start_members() -> Vec<MockMember> {
    vec![MockMember::start(true), MockMember::start(false), MockMember::start(false)]
}

/// Starts the proxy in front of these members, without probes.
fn start_proxy(members: &[MockMember], faults: &Faults) -> Proxy {
    Proxy::start_with_faults(&members.iter().collect::<Vec<_>>(), &shell_without_probes(""), faults)
}

/// A script with one rule for each member: this call to the member has this effect.
fn for_each_member(members: &[MockMember], call: &str, effect: &str) -> String {
    members.iter().map(|member| format!("{call} peer={} {effect}\n", member.address)).collect()
}

/// Sends several reads and a write while the script makes every attempt fail. Returns their replies, which
/// are read after the faults have ended.
fn replies_to_requests_during_faults(proxy: &Proxy, faults: &Faults, script: &str) -> Vec<String> {
    const READS: u32 = 5;
    /// More faults than the first attempts of all requests: the requests are waiting, and are being retried,
    /// when the faults end.
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
    // A busy loop of retries would make more attempts.
    let attempts_per_ms = faults.injected().len() as f64 / start.elapsed().as_millis().max(10) as f64;
    assert!(attempts_per_ms < 3.0, "{attempts_per_ms} attempts per millisecond");
    clients.iter_mut().map(Client::read_reply).collect()
}

/// A connect error that this machine causes must not count as a failure of the member. Otherwise members that
/// have no fault are ejected, and requests are rejected immediately, or held until an ejected member is tried
/// again seconds later.
#[test]
fn local_connect_errors_fail_no_request_and_eject_no_member() {
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
fn lack_of_sockets_or_threads_fails_no_request_and_ejects_no_member() {
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

/// While a connect error that this machine causes persists, each request is rejected by its deadline, because
/// no member has executed it.
#[test]
fn lasting_local_connect_error_rejects_requests_by_their_deadline() {
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
    assert_eq!(proxy.connect().query(&read_query(3)), SERVED, "no member is ejected");
}

/// If members that refused connections were not tried again soon, the outage would last seconds longer than
/// its cause. Probes are disabled, so only attempts show that a member accepts connections again.
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

/// A transient error of a call on a client connection must not close the connection, and must not end reading
/// from it or writing to it: the client may already have sent its first request.
#[test]
fn clients_get_their_answers_despite_transient_errors_on_their_connections() {
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

/// A transient error of `accept4` or `epoll_ctl` on a listener must not leave clients waiting in its backlog.
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

/// A short transfer, or an error that leaves the connection usable, must not end a connection to a member or
/// to discovery, and must not cause a second execution of a request.
#[test]
fn member_connection_survives_short_transfers_and_transient_errors() {
    let primary = MockMember::start(true);
    let faults = Faults::none();
    let proxy = start_proxy(std::slice::from_ref(&primary), &faults);
    let member = primary.address;
    assert_eq!(proxy.connect().query(&write_query(1, 900)), SERVED);
    let mut executed = 1;
    for effect in ["short=1", "every=2 error=EINTR", "every=2 error=ENOMEM", "every=2 error=ENOBUFS"] {
        for call in ["read", "write"] {
            // Skips the first read, which checks the idle connection.
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

/// A broken connection can also show as a timeout or as an unreachable host. Whatever the error: before the
/// last byte of a write is sent, the write has not been executed and is retried; afterwards it may have been
/// executed, and the client gets an error that says so.
#[test]
fn broken_member_connection_is_classified_by_the_time_of_the_error_and_not_by_its_code() {
    for error in ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE", "EIO"] {
        let primary = MockMember::start(true);
        let faults = Faults::none();
        let proxy = start_proxy(std::slice::from_ref(&primary), &faults);
        let mut client = proxy.connect();
        assert_eq!(client.query(&write_query(1, 900)), SERVED);
        faults.set(&format!("write peer={} count=1 error={error}", primary.address));
        assert_eq!(client.query(&write_query(2, 900)), SERVED, "{error}");
        // Skips the first read, which checks the idle connection.
        faults.set(&format!("read peer={} skip=1 count=1 error={error}", primary.address));
        assert_eq!(client.query(&write_query(3, 900)), "E(08007) Z", "{error}");
        assert_eq!(client.query(&write_query(4, 900)), SERVED, "{error}");
        // The member may read the write whose connection broke only after the proxy has answered.
        let start = Instant::now();
        while primary.executed_count() < 4 && start.elapsed() < TEST_TIMEOUT {
            std::thread::sleep(Duration::from_millis(1));
        }
        assert_eq!(primary.executed_count(), 4, "{error}: each executed once");
    }
}

/// The proxy must answer admin requests even if it can't create a thread for them, or a call on their
/// connection fails with a transient error.
#[test]
fn admin_requests_are_answered_during_local_errors() {
    let (members, faults) = (start_members(), Faults::none());
    let proxy = start_proxy(&members, &faults);
    let local = proxy.admin_address.unwrap();
    for rule in [
        // This rule comes first: after an answer, the connection of an earlier request sets a timeout once
        // more, which would count as the call to skip.
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

/// The signal thread must not end when its wait for a signal fails. Otherwise SIGTERM has no effect
/// afterwards.
#[test]
fn signals_are_handled_after_local_errors() {
    let (members, faults) = (start_members(), Faults::none());
    let mut proxy = start_proxy(&members, &faults);
    faults.set("read error=ENOMEM");
    proxy.signal("-HUP");
    // The faults affect the reads of the configuration file and the wait for the next signal.
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
