//! Tests with a stepped wall clock, before the program starts or while it runs. Steps do not affect the
//! monotonic clock.

use crate::support::*;
use std::time::{Duration, Instant};

/// The steps of the wall clock, in seconds.
const STEPS: [i64; 2] = [3600, -3600];
/// The staleness bound of reads in the class `any`.
const STALENESS_BOUND_MS: u64 = 1000;
/// The lag of a replica that must not serve these reads.
const LAG_MS: u64 = 5000;
/// The time within which the fresh replica must have served the expected reads.
const FRESH_READS_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a shell command for members that serve stale data. Reads in the class `any` have a staleness
/// bound, and reads in the class `own` must see the commits of their session.
fn shell() -> String {
    shell_without_probes(&format!(
        "s/\"hold\"/\"silent\"/;s/\"loose\"/\"recent\"/;s/\"probes\":false/\"probes\":true/;\
         s/\"counted_from_us\"/\"class_bound_us\":[0,{},0],&/",
        STALENESS_BOUND_MS * 1000
    ))
}

fn clock_step_script(seconds: i64) -> String {
    format!("clock_gettime offset_s={seconds}")
}

/// A primary, a fresh replica and a lagging one, and a proxy whose wall clock may be stepped.
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

    /// Sends writes, reads that must see the commits up to [`STALENESS_BOUND_MS`] before the write, and reads
    /// with a staleness bound, until the fresh replica has served `reads` reads of each kind. Asserts that
    /// none of them reaches the lagging replica.
    fn assert_fresh_replica_serves(&mut self, reads: usize) {
        self.fresh.reset_record();
        let mut client = self.proxy.connect();
        let start = Instant::now();
        let served = |member: &MockMember, class: &str| {
            member.executed().iter().filter(|statement| statement.contains(class)).count()
        };
        while served(&self.fresh, "c=any") < reads || served(&self.fresh, "c=own") < reads {
            assert!(
                start.elapsed() < FRESH_READS_TIMEOUT,
                "the fresh replica has served only {:?}",
                self.fresh.executed()
            );
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

/// If the proxy compared the positions of members with its own wall clock, it would drop positions ahead of
/// that clock, and with positions behind it all replicas would look too stale.
#[test]
fn fresh_replica_serves_reads_though_the_wall_clock_was_stepped_before_the_start() {
    for seconds in STEPS {
        let mut group = Group::start(Faults::scripted(&clock_step_script(seconds)));
        group.assert_fresh_replica_serves(3);
    }
}

#[test]
fn fresh_replica_serves_reads_though_the_wall_clock_is_stepped_while_the_proxy_runs() {
    for seconds in STEPS {
        let mut group = Group::start(Faults::none());
        group.assert_fresh_replica_serves(3);
        group.faults.set(&clock_step_script(seconds));
        group.assert_fresh_replica_serves(3);
    }
}

/// Adds a replica that has just started to a group with a warm one, and sends reads for 2 s. Returns how many
/// of them the new replica and the warm one serve.
fn reads_with_a_new_replica(seconds: i64) -> (usize, usize) {
    let faults = Faults::scripted(&clock_step_script(seconds));
    let (primary, warm, new) = (MockMember::start(true), MockMember::start(false), MockMember::start(false));
    let shell = shell_without_probes("s/\"cold_us\":1000000/\"cold_us\":60000000/");
    let proxy = Proxy::start_with_faults(&[&primary, &warm], &shell, &faults);
    let mut client = proxy.connect();
    // From these requests, the proxy learns how much work a warm member serves.
    for id in 1..100 {
        let query = if id % 10 == 0 { write_query(id, 900) } else { read_query(id) };
        assert_eq!(client.query(&query), SERVED);
    }
    let start = Instant::now();
    let entry = endpoint_entry(7, &new, "SERVING");
    let entry = entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{}", primary.position_ms()));
    proxy.discovery.push(&endpoint_update(2, &entry));
    warm.reset_record();
    let mut id = 100;
    while start.elapsed() < Duration::from_secs(2) {
        id += 1;
        assert_eq!(client.query(&read_query(id)), SERVED);
    }
    (new.executed_count(), warm.executed_count())
}

/// The endpoint list has the time at which a member started. If the proxy compared it with a wall clock that
/// is an hour ahead, a member that has just started would look warm and get as many reads as a warm one.
#[test]
fn new_replica_is_in_slow_start_though_the_wall_clock_was_stepped() {
    for seconds in STEPS {
        let (new, warm) = reads_with_a_new_replica(seconds);
        assert!(
            new < warm / 3,
            "stepped by {seconds} s: {new} reads at the new replica, {warm} at the warm one"
        );
    }
}
