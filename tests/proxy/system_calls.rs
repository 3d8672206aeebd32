//! System calls of the proxy that fail for a moment, as Linux documents them.

use crate::support::*;
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
