//! Measures what a proxy needs in a fleet of the usual size and in one with sixteen times the members, under
//! the same traffic, and compares the costs with their limits. The proxy is the real program, between the
//! mock members and the mock discovery of the tests. `make fleet-cost` runs this bench.

#![allow(missing_docs)]

#[allow(dead_code, unused_imports)]
#[path = "../tests/proxy/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::Duration;
use support::{COST_LIMITS, Fleet};

const USUAL_MEMBERS: usize = 200;
const LARGE_MEMBERS: usize = 3200;
const LARGE_PROXIES: usize = 900;
/// Both fleets have the same ratio of members to proxies.
const USUAL_PROXIES: usize = LARGE_PROXIES * USUAL_MEMBERS / LARGE_MEMBERS;
const REQUESTS: u32 = 600;
const DURATION: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    let measure =
        |members, proxies| Fleet { members, proxies, requests: REQUESTS, duration: DURATION }.measure_cost();
    let usual = measure(USUAL_MEMBERS, USUAL_PROXIES);
    let large = measure(LARGE_MEMBERS, LARGE_PROXIES);
    println!("{REQUESTS} requests in {} s; one in twelve members is replaced", DURATION.as_secs());
    println!("{:34} {USUAL_MEMBERS:>9} {LARGE_MEMBERS:>9} {:>9}", "members", "limit");
    let mut all_hold = true;
    for limit in &COST_LIMITS {
        let holds = limit.holds(&usual, &large, LARGE_MEMBERS);
        let values = [(limit.value)(&usual), (limit.value)(&large), limit.bound(&usual, LARGE_MEMBERS)];
        let [usual, large, bound] = values;
        println!(
            "{:34} {usual:9.2} {large:9.2} {bound:9.2} {}",
            limit.name,
            if holds { "" } else { "missed" }
        );
        all_hold &= holds;
    }
    if all_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
