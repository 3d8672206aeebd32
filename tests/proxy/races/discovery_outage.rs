//! Tests of outages of discovery that end with a drain. The grace of the drain counts from the return of
//! discovery, so the proxy must notice the return within the grace, however discovery failed and whenever it
//! returns.

use crate::support::*;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// A drain must take effect within this time after the return of discovery: the grace of 500 ms less a
/// process pause of 150 ms.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(350);
/// The number of calls that fail before discovery returns. After so many, the delay between two calls has
/// reached its maximum.
const FAILED_CALLS: usize = 3;

/// How discovery fails, and when it returns.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Accepts calls and sends nothing. Returns this long after the last of [`FAILED_CALLS`], and then
    /// answers the open calls.
    Silent(Duration),
    /// The same as [`Outage::Silent`], but never answers calls made during the outage, only later ones.
    Unanswered(Duration),
    /// Refuses connections for this long.
    Refused(Duration),
    /// Resets each call. Returns directly after the last of [`FAILED_CALLS`].
    Reset,
    /// Answers each call with status 503. Returns directly after the last of [`FAILED_CALLS`].
    Busy,
}

impl Outage {
    /// Starts an agent at a new address, with this outage.
    fn begin(self) -> DiscoveryAgent {
        match self {
            Outage::Refused(_) => DiscoveryAgent::reserve(bind_own_address()),
            Outage::Silent(_) => DiscoveryAgent::start(AgentMode::Silent),
            Outage::Unanswered(_) => DiscoveryAgent::start(AgentMode::NeverAnswering),
            Outage::Reset => DiscoveryAgent::start(AgentMode::Reset),
            Outage::Busy => DiscoveryAgent::start(AgentMode::Busy),
        }
    }

    /// Waits until the end of the outage.
    fn wait(self, agent: &DiscoveryAgent) {
        if let Outage::Refused(duration) = self {
            return std::thread::sleep(duration);
        }
        (0..FAILED_CALLS).for_each(|_| agent.wait_for_call());
        if let Outage::Silent(after_call) | Outage::Unanswered(after_call) = self {
            std::thread::sleep(after_call);
        }
    }
}

/// Binds a listener to a loopback address that no other test uses: the port must remain free while the agent
/// does not listen.
fn bind_own_address() -> TcpListener {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let host = Ipv4Addr::new(127, 0, 77, COUNT.fetch_add(1, Ordering::SeqCst));
    TcpListener::bind((host, 0)).unwrap()
}

/// Two faults would delay the drain: a long wait between two calls, during which the proxy does not notice
/// the return of discovery, and a call that the proxy no longer reads but leaves open, to which discovery
/// then writes the drain.
#[test]
fn drain_that_discovery_sends_on_its_return_takes_effect_within_the_grace() {
    let outages = [
        Outage::Silent(Duration::from_millis(2150)),
        Outage::Silent(Duration::from_millis(500)),
        Outage::Unanswered(Duration::from_millis(100)),
        Outage::Refused(Duration::from_millis(2400)),
        Outage::Refused(Duration::from_millis(3100)),
        Outage::Reset,
        Outage::Busy,
    ];
    let late: Vec<_> = std::thread::scope(|scope| {
        let handles = outages.map(|outage| (outage, scope.spawn(move || reads_after_the_grace(outage))));
        handles.into_iter().map(|(outage, handle)| (outage, handle.join().unwrap())).collect()
    });
    let late: Vec<_> = late.into_iter().filter(|(_, reads)| *reads > 0).collect();
    assert!(late.is_empty(), "reads at a draining member by outage: {late:?}");
}

/// Returns the number of reads that a replica gets later than [`MAX_DRAIN_DELAY`] after the return of
/// discovery, which lists the replica as draining.
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
    while returned.elapsed() < MAX_DRAIN_DELAY {
        id += 1;
        client.query(&read_query(id));
    }
    let before = replica.executed_count();
    for id in id..id + 8 {
        assert_eq!(client.query(&read_query(id)), SERVED, "{outage:?}");
    }
    replica.executed_count() - before
}
