//! Offers a primary with finite workers and a finite waiting room 50, 100, 150 and 200 % of what it can serve,
//! through one proxy and through four, and prints the useful answers and the attempts for each request.
//! `make overload` runs this bench.
//!
//! The proxies are the real program, between a stand-in primary of this file and the mock discovery of the
//! tests. Requests arrive at random times, whether or not earlier ones are answered.

#![allow(missing_docs)]

#[allow(dead_code, unused_imports)]
#[path = "../tests/proxy/support/mod.rs"]
mod support;

#[path = "overload/queueing_primary.rs"]
mod queueing_primary;

use queueing_primary::QueueingPrimary;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{Client, MockDiscovery, Proxy, SERVED, full_list, write_query};

const WORKERS: usize = 4;
const WORK: Duration = Duration::from_millis(12);
/// The time within which an answer is useful: the latency objective of the settings.
const OBJECTIVE: Duration = Duration::from_millis(600);
const TIMEOUT_MS: u32 = 4900;
/// The load before the measurement, as a share of what the primary can serve, and its duration.
const WARM_UP_LOAD: f64 = 0.1;
const WARM_UP: Duration = Duration::from_secs(3);
const MEASUREMENT: Duration = Duration::from_secs(8);
/// The requests that may wait for an answer at the same time.
const CLIENTS: usize = 160;

/// What became of a request.
struct Answer {
    is_served: bool,
    latency: Duration,
}

/// The requests of one measurement.
struct Requests {
    arrivals: Sender<(u32, Instant)>,
    answers: Receiver<Answer>,
}

impl Requests {
    /// Starts clients of these proxies that wait for arrivals.
    fn start(proxies: &[Proxy]) -> Requests {
        let (arrivals, queue) = channel::<(u32, Instant)>();
        let (results, answers) = channel();
        let queue = Arc::new(Mutex::new(queue));
        for number in 0..CLIENTS {
            let address = proxies[number % proxies.len()].address;
            let (queue, results) = (queue.clone(), results.clone());
            std::thread::spawn(move || {
                loop {
                    let next = queue.lock().unwrap().recv();
                    let Ok((id, arrived_at)) = next else { return };
                    let is_served = Client::connect(address).query(&write_query(id, TIMEOUT_MS)) == SERVED;
                    let _ = results.send(Answer { is_served, latency: arrived_at.elapsed() });
                }
            });
        }
        Requests { arrivals, answers }
    }

    /// Lets requests arrive at random times at this rate per second.
    fn offer(&self, ids: &mut u32, rate: f64, duration: Duration, random: &mut u64) -> u32 {
        let start = Instant::now();
        let mut next = start;
        let first = *ids;
        while start.elapsed() < duration {
            next += Duration::from_secs_f64(exponential(random) / rate);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            let _ = self.arrivals.send((*ids, next));
            *ids += 1;
        }
        *ids - first
    }
}

/// A random number that is distributed exponentially, with mean 1.
fn exponential(state: &mut u64) -> f64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    -(((*state >> 11) as f64 + 1.0) / (1u64 << 53) as f64).ln()
}

fn start_proxy(primary: &QueueingPrimary, proxies: usize) -> Proxy {
    let address = primary.address;
    let entry = format!(
        r#"{{"uid":"s-0","endpoint":"{address}","az":"a","model":"m","pod_group":2,"state":"SERVING","capacity_hint":1.0,"boot_ms":0,"recovery":"off"}}"#
    );
    let shell = format!(
        "sed -i 's/\"settings\":{{/\"settings\":{{\"instances\":{proxies},/' \"$GW_CONFIG\"; \
         exec \"$0\" serve --postgres \"$1\""
    );
    let discovery = MockDiscovery::start(full_list(1, &[entry]));
    Proxy::start_with_discovery(std::process::Stdio::null(), discovery, &shell, "", "\"sockets\":1024")
}

fn measure(proxy_count: usize, waiting_room: usize, load: f64) {
    let primary = QueueingPrimary::start(WORKERS, waiting_room, WORK);
    let proxies: Vec<_> = (0..proxy_count).map(|_| start_proxy(&primary, proxy_count)).collect();
    let requests = Requests::start(&proxies);
    let capacity = WORKERS as f64 / WORK.as_secs_f64();
    let (mut ids, mut random) = (1, 0x9e37_79b9_7f4a_7c15);
    let warm_up = requests.offer(&mut ids, WARM_UP_LOAD * capacity, WARM_UP, &mut random);
    requests.answers.iter().take(warm_up as usize).for_each(drop);
    let attempts_before = primary.attempts();
    let offered = requests.offer(&mut ids, load * capacity, MEASUREMENT, &mut random);
    let answers: Vec<_> = requests.answers.iter().take(offered as usize).collect();
    let useful = answers.iter().filter(|answer| answer.is_served && answer.latency <= OBJECTIVE).count();
    let served = answers.iter().filter(|answer| answer.is_served).count();
    let attempts = primary.attempts() - attempts_before;
    println!(
        "{proxy_count} {waiting_room:>3} {:>4.0} % {offered:>6} {:>7.4} {:>7.4} {:>7.3}",
        load * 100.0,
        served as f64 / f64::from(offered),
        useful as f64 / f64::from(offered),
        attempts as f64 / f64::from(offered),
    );
}

fn main() {
    println!("proxies, waiting room, load, requests, served, useful, attempts for each request");
    for (proxies, waiting_room) in [(1, 16), (1, 4), (4, 16), (4, 4)] {
        for load in [0.5, 1.0, 1.5, 2.0] {
            measure(proxies, waiting_room, load);
        }
    }
}
