//! The machine's wall clock is stepped, before the program starts or while it runs; its monotonic clock runs on.

use crate::support::*;
use std::time::{Duration, Instant};

/// How far the wall clock is stepped, in seconds.
const STEPS: [i64; 2] = [3600, -3600];
/// How far a replica may lag for a bounded read, and how far one lags that must not serve it.
const STALENESS_BOUND_MS: u64 = 1000;
const LAG_MS: u64 = 5000;
/// How long reads may take to reach the replica that is fresh.
const PATIENCE: Duration = Duration::from_secs(10);

/// Members that serve stale data, bounded reads in the class `any`, reads of own commits in the class `own`.
fn shell() -> String {
    shell_without_probes(&format!(
        "s/\"hold\"/\"silent\"/;s/\"loose\"/\"recent\"/;s/\"probes\":false/\"probes\":true/;\
         s/\"counted_from_us\"/\"class_bound_us\":[0,{},0],&/",
        STALENESS_BOUND_MS * 1000
    ))
}

fn step(seconds: i64) -> String {
    format!("clock_gettime offset_s={seconds}")
}

/// A primary, a replica that is fresh and one that lags, behind a proxy whose wall clock may be stepped.
struct Group {
    primary: MockMember,
    fresh: MockMember,
    lagging: MockMember,
    proxy: Proxy,
    faults: Faults,
    last_request: u32,
}

impl Group {
    fn start(faults: Faults) -> Group {
        let (primary, fresh, lagging) =
            (MockMember::start(true), MockMember::start(false), MockMember::start(false));
        lagging.set_replication_lag_ms(LAG_MS);
        let proxy = Proxy::start_with_faults(&[&primary, &fresh, &lagging], &shell(), &faults);
        Group { primary, fresh, lagging, proxy, faults, last_request: 0 }
    }

    fn next_request(&mut self) -> u32 {
        self.last_request += 1;
        self.last_request
    }

    /// Reads that have to see the commit of a write just before, and bounded reads, until the fresh replica has
    /// served so many of each; none may reach the replica that lags.
    fn assert_fresh_replica_serves(&mut self, reads: usize) {
        self.fresh.reset_record();
        let mut client = self.proxy.connect();
        let start = Instant::now();
        let served = |member: &MockMember, class: &str| {
            member.executed().iter().filter(|statement| statement.contains(class)).count()
        };
        while served(&self.fresh, "c=any") < reads || served(&self.fresh, "c=own") < reads {
            assert!(start.elapsed() < PATIENCE, "the fresh replica served {:?}", self.fresh.executed());
            let write = write_query(self.next_request(), 900);
            assert_eq!(client.query(&write), SERVED);
            let commit = self.primary.position_ms() - STALENESS_BOUND_MS;
            let own = format!("c=own,after={commit}");
            let own_read = read_query(self.next_request()).replace("c=any", &own);
            assert_eq!(client.query(&own_read), SERVED);
            assert_eq!(client.query(&read_query(self.next_request())), SERVED);
        }
        assert_eq!(self.lagging.executed(), [""; 0]);
    }
}

/// Guards against positions that were compared with the proxy's clock: ahead of it they were dropped, behind it
/// all replicas were too stale.
#[test]
fn fresh_replica_serves_reads_though_the_wall_clock_was_stepped_before_the_start() {
    for seconds in STEPS {
        let mut group = Group::start(Faults::scripted(&step(seconds)));
        group.assert_fresh_replica_serves(3);
    }
}

#[test]
fn step_of_the_wall_clock_while_the_proxy_runs_changes_nothing() {
    for seconds in STEPS {
        let mut group = Group::start(Faults::none());
        group.assert_fresh_replica_serves(3);
        group.faults.set(&step(seconds));
        group.assert_fresh_replica_serves(3);
    }
}

/// How many of many reads each of two replicas serves, of which the second started just now.
fn reads_with_a_cold_replica(seconds: i64) -> (usize, usize) {
    let faults = Faults::scripted(&step(seconds));
    let (primary, warm, cold) = (MockMember::start(true), MockMember::start(false), MockMember::start(false));
    let shell = shell_without_probes("s/\"cold_us\":1000000/\"cold_us\":60000000/");
    let proxy = Proxy::start_with_faults(&[&primary, &warm], &shell, &faults);
    let mut client = proxy.connect();
    // The proxy has served for a while, so that it knows what a member that is warm serves.
    for id in 1..100 {
        let query = if id % 10 == 0 { write_query(id, 900) } else { read_query(id) };
        assert_eq!(client.query(&query), SERVED);
    }
    let start = Instant::now();
    let entry = endpoint_entry(7, &cold, "SERVING");
    let entry = entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{}", primary.position_ms()));
    proxy.discovery.push(&endpoint_update(2, &entry));
    warm.reset_record();
    let mut id = 100;
    while start.elapsed() < Duration::from_secs(2) {
        id += 1;
        assert_eq!(client.query(&read_query(id)), SERVED);
    }
    (cold.executed_count(), warm.executed_count())
}

/// Guards against a member that started just now and looked warm, as the proxy's clock was an hour ahead.
#[test]
fn cold_member_is_not_taken_for_a_warm_one_though_the_wall_clock_was_stepped() {
    for seconds in STEPS {
        let (cold, warm) = reads_with_a_cold_replica(seconds);
        assert!(
            cold < warm / 3,
            "stepped by {seconds} s: {cold} reads at the cold member, {warm} at the warm one"
        );
    }
}
