//! Tests of the endpoint list: its source, drains, the freshness of members, and the size of the list.

use crate::support::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// SIGHUP must not end the program, whatever the configuration file contains. After a reload with another
/// discovery address, updates from the former address must have no effect.
#[test]
fn sighup_moves_the_watch_to_the_configured_discovery_address() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    let mut client = proxy.connect();
    proxy.reload("{ no configuration");
    proxy.reload("");
    assert_eq!(client.query(&write_query(1, 900)), SERVED, "the old configuration stays in effect");
    let other = MockDiscovery::start(full_list(1, &[endpoint_entry(7, &new, "SERVING")]));
    proxy.reload(&configuration(&other));
    other.wait_for_watch();
    proxy.discovery.wait_for_closed_watch();
    // The proxy requests the complete list before it opens the watch, so the old member is no longer listed.
    assert_eq!(client.query(&write_query(2, 900)), SERVED);
    assert_eq!((old.executed_count(), new.executed_count()), (1, 1));
    let former_update = endpoint_entry(7, &new, "DRAINING");
    proxy.discovery.push(&endpoint_update(9, &former_update));
    other.push(&endpoint_update(2, &endpoint_entry(8, &old, "DRAINING")));
    assert_eq!(client.query(&write_query(3, 900)), SERVED, "the update from the former address is ignored");
    let mut proxy = proxy;
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
}

/// While discovery fails, a proxy must wait between two calls. Otherwise all proxies of a fleet would call a
/// shared discovery five times a second, at the same times, and a proxy would call its agent in a busy loop.
/// Calls to an agent must still be frequent enough to notice its return within the grace.
#[test]
fn endpoint_list_requests_back_off_while_discovery_does_not_answer() {
    for (kind, five_calls) in [("on_request", 1800), ("pushed", 350)] {
        let edit = format!(r#"s/"request_classes"/"discovery":"{kind}",&/"#);
        let shell = format!("sed -i '{edit}' \"$GW_CONFIG\"; exec \"$0\" serve");
        let proxy = Proxy::start_with_shell(&[&MockMember::start(true)], &shell, "");
        let failing = TcpListener::bind("127.0.0.1:0").unwrap();
        let (from, to) = (proxy.discovery.address.to_string(), failing.local_addr().unwrap().to_string());
        proxy.reload(&configuration(&proxy.discovery).replace(&from, &to));
        drop(failing.accept().unwrap());
        let first = Instant::now();
        (0..5).for_each(|_| drop(failing.accept().unwrap()));
        let elapsed = first.elapsed();
        assert!(elapsed > Duration::from_millis(five_calls), "{kind}: {elapsed:?} for five calls");
        assert_eq!(proxy.connect().query(&read_query(1)), SERVED, "the proxy serves from the known list");
    }
}

/// If a process pause ended the watch, the proxy would work from an old list until the next watch is open.
#[test]
fn stopped_and_continued_process_keeps_its_watch() {
    let (old, new) = (MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&old]);
    proxy.signal("-STOP");
    proxy.signal("-CONT");
    // This list is sent only on the watch that was open before the pause.
    proxy.discovery.push(&full_list(2, &[endpoint_entry(7, &new, "SERVING")]));
    let mut client = proxy.connect();
    let start = Instant::now();
    while new.executed_count() == 0 && start.elapsed() < Duration::from_secs(5) {
        client.query(&read_query(1));
    }
    assert_eq!(client.query(&write_query(2, 900)), SERVED);
    assert_eq!(old.received().iter().filter(|t| t.starts_with("INSERT")).count(), 0);
}

#[test]
fn draining_member_gets_no_new_requests() {
    let (primary, one, two) = (MockMember::start(true), MockMember::start(false), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &one, &two]);
    proxy.discovery.close_watches();
    proxy.discovery.wait_for_watch();
    let entry = endpoint_entry(1, &one, "DRAINING");
    proxy.discovery.push(&endpoint_update(2, &entry));
    let pushed = Instant::now();
    let mut client = proxy.connect();
    while pushed.elapsed() < Duration::from_millis(500) {
        client.query(&read_query(1));
    }
    let before = one.executed_count();
    for id in 2..12 {
        assert_eq!(client.query(&read_query(id)), SERVED);
    }
    assert_eq!(one.executed_count(), before);
}

/// Where members serve stale data, the proxy sends a read only to a replica that it knows to be fresh. Each
/// of many proxies sends too few requests to know that, so without probes all reads would go to the primary.
/// Covers both listeners.
#[test]
fn replica_is_probed_for_freshness_where_members_do_not_check_it() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let silent = "sed -i 's/\"hold\"/\"silent\"/;s/\"loose\"/\"recent\"/;s/\"counted_from_us\"/\
        \"class_bound_us\":[0,20000,0],&/' \"$GW_CONFIG\"";
    let shell = &format!("{silent}; exec \"$0\" serve --postgres \"$1\"");
    let proxy = Proxy::start_with_shell(&[&primary, &replica], shell, "");
    let (mut platform, mut extended) = (proxy.connect(), proxy.connect_extended());
    assert_eq!(platform.query(&write_query(0, 900)), SERVED, "the proxy knows the primary");
    for id in 1..=24 {
        // After this, the last known position of the replica is older than the staleness bound.
        std::thread::sleep(Duration::from_millis(30));
        if id % 2 == 0 {
            assert_eq!(platform.query(&read_query(id)), SERVED);
        } else {
            let batch =
                "P - SELECT payload FROM entries WHERE ref = $1 /* c=any,d=900 */ | B - - r | E - | S";
            extended.send(&extended_messages(batch));
            assert_eq!(extended.read_reply(), "1 2 D(value) C Z");
        }
    }
    // On a slow machine, some reads may go to the primary. If the proxy sent only its scheduled probes, just
    // one or two of the 24 reads would follow one closely enough to go to the replica.
    assert!(replica.executed_count() >= 12, "{} of 24 reads went to the replica", replica.executed_count());
}

/// With a list of 1024 members, and settings for 1024 proxies, the proxy must stay within small limits of
/// memory and descriptors.
#[test]
fn requests_are_served_with_a_list_of_1024_members() {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let limits = "\"sockets\":256,\"memory_mb\":32";
    let many_proxies = "sed -i 's/\"request_classes\"/\"instances\":1024,&/' \"$GW_CONFIG\"";
    let shell = &format!("{many_proxies}; export GW_OPS=127.0.0.1:0; exec \"$0\" serve");
    let proxy = Proxy::start_with_limits(&[&primary, &replica], shell, "", limits);
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unreachable_member = |n: usize| {
        let target = endpoint_entry(n, &replica, "SERVING")
            .replace(&replica.address.to_string(), &unreachable.to_string());
        target.replace("\"pod_group\":2", &format!("\"pod_group\":{}", 3 + n / 6))
    };
    let mut targets = vec![endpoint_entry(0, &primary, "SERVING"), endpoint_entry(1, &replica, "SERVING")];
    targets.extend((2..1024).map(unreachable_member));
    proxy.discovery.push(&full_list(2, &targets));
    proxy.discovery.push(&full_list(3, &targets));
    let mut client = proxy.connect();
    for id in 1..=50 {
        assert_eq!(client.query(&read_query(id)), SERVED);
        assert_eq!(client.query(&write_query(1000 + id, 3000)), SERVED);
    }
    let counters = || proxy.admin_request("GET", "counters").1;
    let start = Instant::now();
    while !counters().contains("members=1024\n") {
        assert!(start.elapsed().as_secs() < 20, "{}", counters());
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak < 32 * 1024, "{peak} kB of 32 MB");
}

/// The cost of a proxy must depend on the number of members that it sends to, not on the number of members in
/// the list.
#[test]
fn proxy_in_a_fleet_of_sixteen_times_the_members_costs_little_more() {
    let measure = |members, proxies| {
        Fleet { members, proxies, requests: 100, duration: Duration::from_secs(1) }.measure_cost()
    };
    let (usual, large) = (measure(200, 56), measure(3200, 900));
    for limit in COST_LIMITS.iter().filter(|limit| limit.is_machine_independent) {
        assert!(limit.holds(&usual, &large, 3200), "{}: {usual:?} and {large:?}", limit.name);
    }
}

fn descriptor_count(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap().count()
}

/// Several reloads follow each other, some with an invalid configuration. They must leave no watch open but
/// the one at the last valid address.
#[test]
fn reloads_in_quick_succession_end_up_with_the_last_valid_configuration() {
    let (primary, stale, latest) =
        (MockMember::start(true), MockMember::start(true), MockMember::start(true));
    let proxy = Proxy::start(&[&primary]);
    let list = |member| serving_list(5, &[(7, member)]);
    let former = [list(&stale), String::new()].map(MockDiscovery::start);
    let last = MockDiscovery::start(list(&latest));
    let before = descriptor_count(&proxy);
    for round in 0..12 {
        match round % 3 {
            0 => proxy.reload("{\"name\":"),
            n => proxy.reload(&configuration_at(former[n - 1].address)),
        }
    }
    proxy.reload(&configuration_at(last.address));
    // Waits until the configuration has been read: a file that is replaced before that has no effect.
    last.wait_for_watch();
    proxy.reload("{}");
    let mut client = proxy.connect();
    let start = Instant::now();
    while latest.executed_count() == 0 {
        client.query(&write_query(1, 900));
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the list of the last discovery is not in effect within 10 s"
        );
    }
    // Updates from the former addresses have no effect, and the watches there are closed.
    former[0].push(&endpoint_update(9, &endpoint_entry(7, &latest, "DRAINING")));
    while descriptor_count(&proxy) > before + 2 {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "{} descriptors, {before} before the reloads",
            descriptor_count(&proxy)
        );
    }
    assert_eq!(client.query(&write_query(2, 900)), SERVED);
    assert_eq!(statement_count(&latest, "id=2,"), 1);
}

/// Returns how many executed statements of a member contain this text.
fn statement_count(member: &MockMember, text: &str) -> usize {
    member.executed().iter().filter(|statement| statement.contains(text)).count()
}
