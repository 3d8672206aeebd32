//! Discovery that is away and comes back with drains: what it has counts from its return on, so it must be
//! noticed well within the grace, whatever the outage was like and whenever it ends.

use crate::support::*;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// A drain must bind this long after discovery is back: the grace of 500 ms less a process pause of 150 ms.
const MAX_NOTICE: Duration = Duration::from_millis(350);
/// Calls that fail before discovery returns: by then the pause between two is at its longest.
const FAILED_CALLS: usize = 3;

/// How discovery fails until it returns, and when that is.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// It accepts calls and sends nothing; it returns this long after the last of [`FAILED_CALLS`], and
    /// answers the calls that are open.
    Silent(Duration),
    /// The same, but calls made during the outage are never answered, only new ones.
    SilentForGood(Duration),
    /// Nothing listens for this long.
    Refused(Duration),
    /// It resets each call; it returns right after the last one.
    Reset,
    /// It answers each call with 503; it returns right after the last one.
    Busy,
}

impl Outage {
    /// Discovery at a new address, in this outage.
    fn begin(self) -> DiscoveryAgent {
        match self {
            Outage::Refused(_) => DiscoveryAgent::reserve(listener_of_its_own()),
            Outage::Silent(_) => DiscoveryAgent::start(AgentMode::Silent),
            Outage::SilentForGood(_) => DiscoveryAgent::start(AgentMode::NeverAnswering),
            Outage::Reset => DiscoveryAgent::start(AgentMode::Reset),
            Outage::Busy => DiscoveryAgent::start(AgentMode::Busy),
        }
    }

    /// Waits until the outage ends.
    fn wait(self, agent: &DiscoveryAgent) {
        if let Outage::Refused(duration) = self {
            return std::thread::sleep(duration);
        }
        (0..FAILED_CALLS).for_each(|_| agent.wait_for_call());
        if let Outage::Silent(after_call) | Outage::SilentForGood(after_call) = self {
            std::thread::sleep(after_call);
        }
    }
}

/// A listener at an address of its own: while nothing listens there, nobody else takes its port.
fn listener_of_its_own() -> TcpListener {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let host = Ipv4Addr::new(127, 0, 77, COUNT.fetch_add(1, Ordering::SeqCst));
    TcpListener::bind((host, 0)).unwrap()
}

/// Guards against a pause between two calls in which nobody hears of discovery's return, and against calls
/// that are given up and stay open: discovery writes the drain to them, and nobody reads it.
#[test]
fn drain_that_discovery_has_as_it_returns_binds_within_the_grace() {
    let outages = [
        Outage::Silent(Duration::from_millis(2150)),
        Outage::Silent(Duration::from_millis(500)),
        Outage::SilentForGood(Duration::from_millis(100)),
        Outage::Refused(Duration::from_millis(2400)),
        Outage::Refused(Duration::from_millis(3100)),
        Outage::Reset,
        Outage::Busy,
    ];
    let late: Vec<_> = std::thread::scope(|scope| {
        let rows = outages.map(|outage| (outage, scope.spawn(move || reads_after_the_grace(outage))));
        rows.into_iter().map(|(outage, row)| (outage, row.join().unwrap())).collect()
    });
    let late: Vec<_> = late.into_iter().filter(|(_, reads)| *reads > 0).collect();
    assert!(late.is_empty(), "reads at a draining member by outage: {late:?}");
}

/// The reads that a replica gets later than the grace after the return of discovery, which lists it as
/// draining.
fn reads_after_the_grace(outage: Outage) -> usize {
    let (primary, replica) = (MockMember::start(true), MockMember::start(false));
    let proxy = Proxy::start(&[&primary, &replica]);
    let mut agent = outage.begin();
    proxy.reload(&configuration_at(agent.address));
    outage.wait(&agent);
    let entries = [endpoint_entry(0, &primary, "SERVING"), endpoint_entry(1, &replica, "DRAINING")];
    agent.answer_with(&full_list(2, &entries));
    let returned = Instant::now();
    let mut client = proxy.connect();
    let mut id = 0;
    while returned.elapsed() < MAX_NOTICE {
        id += 1;
        client.query(&read_query(id));
    }
    let before = replica.executed_count();
    for id in id..id + 8 {
        assert_eq!(client.query(&read_query(id)), SERVED, "{outage:?}");
    }
    replica.executed_count() - before
}
