//! How calls to discovery follow each other: when another one is opened beside one that is quiet, how long
//! a failed one is followed by a pause, and how many may be open.

use super::SILENCE_TIMEOUT;
use std::time::Duration;

/// Who answers calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent on the proxy's machine. It answers at once, or is silent while discovery is down. What it
    /// has counts as delivered whether or not a call is open: after an outage the proxy must hear of it
    /// within this grace for draining endpoints.
    LocalAgent {
        /// The time within which sends to a draining endpoint have to stop.
        drain_grace: Duration,
    },
    /// One service for all proxies. It works through their calls in turn, and ends a call that waited too
    /// long.
    SharedService,
}

impl DiscoveryKind {
    /// Whether the first call asks only for what has changed since the known list. An agent gives the
    /// complete list at no cost, and only that shows at once that the known one is not outdated.
    pub(super) fn trusts_known_list(self) -> bool {
        self == DiscoveryKind::SharedService
    }
}

/// An agent that does not answer is called again after two fifths of the grace, and after half of that
/// where the call failed: with the jitter and a process pause, an update is still applied within
/// the grace.
const AGENT_GRACE_FIFTHS: u32 = 2;
const AGENT_MAX_ANSWER_LIMIT: Duration = Duration::from_millis(200);
const AGENT_MIN_ANSWER_LIMIT: Duration = Duration::from_millis(40);
/// Calls to the agent that may be open.
const AGENT_OPEN_CALLS: usize = 3;

/// Guards against calls that are repeated while they wait for their turn: all proxies make another call
/// each, and the service falls further and further behind.
const SERVICE_ANSWER_LIMIT: Duration = Duration::from_millis(2500);
/// The same after a call that hung.
const SERVICE_LATER_ANSWER_LIMIT: Duration = Duration::from_millis(3300);
/// The pause after a call that failed, and the longest one.
const SERVICE_RETRY_DELAY: Duration = Duration::from_millis(200);
const SERVICE_MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Calls to the service that may be open.
const SERVICE_OPEN_CALLS: usize = 2;

/// An answer limit and a retry delay are stretched by up to this part of themselves. Guards against
/// hundreds of proxies that call in step.
pub(super) const JITTER_DIVISOR: u32 = 4;

/// A quiet call is kept this long beside newer ones: discovery may answer it though it answers no newer
/// one.
pub(super) const PATIENCE: Duration = Duration::from_millis(5000);

/// An update counts as delivered 6 s after discovery had it and was reachable, and 6 s after a watch fell
/// silent; this leaves time for the call that succeeds.
const UPDATE_BUDGET_MS: u128 = 5700;
const _: () = {
    const fn stretched(duration: Duration) -> u128 {
        duration.as_millis() + duration.as_millis() / JITTER_DIVISOR as u128
    }
    // A silent watch, then a call that hangs: another one is open by then.
    assert!(SILENCE_TIMEOUT.as_millis() + stretched(SERVICE_ANSWER_LIMIT) < UPDATE_BUDGET_MS);
    // The service is reachable again just after a call that hangs was made, or in the longest pause.
    let after_pause = stretched(SERVICE_MAX_RETRY_DELAY) + stretched(SERVICE_LATER_ANSWER_LIMIT);
    assert!(after_pause < UPDATE_BUDGET_MS);
};

/// The policy for one kind of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallPolicy {
    /// Another call is opened beside one that has not been answered within this.
    pub(super) answer_limit: Duration,
    /// The same if a call before it was not answered either.
    pub(super) later_answer_limit: Duration,
    /// The pause after a call that failed.
    pub(super) retry_delay: Duration,
    /// The longest pause: it doubles while calls fail.
    pub(super) max_retry_delay: Duration,
    /// Calls that may be open.
    pub(super) max_open: usize,
}

impl CallPolicy {
    /// The policy for this kind.
    pub(super) fn new(kind: DiscoveryKind) -> CallPolicy {
        match kind {
            DiscoveryKind::LocalAgent { drain_grace } => {
                let limit = drain_grace * AGENT_GRACE_FIFTHS / 5;
                let answer_limit = limit.clamp(AGENT_MIN_ANSWER_LIMIT, AGENT_MAX_ANSWER_LIMIT);
                CallPolicy {
                    answer_limit,
                    later_answer_limit: answer_limit,
                    retry_delay: answer_limit / 2,
                    max_retry_delay: answer_limit / 2,
                    max_open: AGENT_OPEN_CALLS,
                }
            }
            DiscoveryKind::SharedService => CallPolicy {
                answer_limit: SERVICE_ANSWER_LIMIT,
                later_answer_limit: SERVICE_LATER_ANSWER_LIMIT,
                retry_delay: SERVICE_RETRY_DELAY,
                max_retry_delay: SERVICE_MAX_RETRY_DELAY,
                max_open: SERVICE_OPEN_CALLS,
            },
        }
    }
}
