//! The timing of calls to discovery: when another call is opened beside one that does not respond, how long
//! the watch waits after a failed call, and how many calls may be open.

use super::SILENCE_TIMEOUT;
use std::time::Duration;

/// The kind of server that answers calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent on the proxy's machine. It answers immediately, or not at all while discovery is down. An
    /// update counts as delivered when the agent has it, whether or not a call is open: after an outage the
    /// proxy must receive the update within `drain_grace`.
    LocalAgent {
        /// The time within which the proxy must stop sending to a draining endpoint.
        drain_grace: Duration,
    },
    /// One service for all proxies. It processes their calls in turn, and ends a call that has waited too
    /// long.
    SharedService,
}

impl DiscoveryKind {
    /// Whether the first call requests only the changes since the known list. An agent sends the complete
    /// list at no cost, and only the complete list shows immediately whether the known one is outdated.
    pub(super) fn trusts_known_list(self) -> bool {
        self == DiscoveryKind::SharedService
    }
}

/// The answer limit for calls to an agent, in fifths of the drain grace. An agent that does not answer is
/// called again after two fifths of the grace, and after half of that if the call failed. With jitter and a
/// process pause, an update is then still applied within the grace.
const AGENT_GRACE_FIFTHS: u32 = 2;
/// The upper and lower bound of the answer limit for calls to an agent.
const AGENT_MAX_ANSWER_LIMIT: Duration = Duration::from_millis(200);
const AGENT_MIN_ANSWER_LIMIT: Duration = Duration::from_millis(40);
/// The most calls to an agent that are open at a time.
const AGENT_MAX_OPEN_CALLS: usize = 3;

/// The answer limit of a call to the service. A call may wait until the service has processed those of other
/// proxies. With a shorter limit, every proxy would open another call while its first one waits, and the
/// service would fall further and further behind.
const SERVICE_ANSWER_LIMIT: Duration = Duration::from_millis(2500);
/// The answer limit of a call that is opened beside one that does not respond.
const SERVICE_LATER_ANSWER_LIMIT: Duration = Duration::from_millis(3300);
/// The shortest delay after a failed call to the service, before jitter.
const SERVICE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest delay after a failed call to the service, before jitter.
const SERVICE_MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The most calls to the service that are open at a time.
const SERVICE_MAX_OPEN_CALLS: usize = 2;

/// Jitter is at most the duration divided by this: it lengthens an answer limit, and lengthens or shortens a
/// retry delay. Without jitter, hundreds of proxies would repeat their calls at the same time.
pub(super) const JITTER_DIVISOR: u32 = 4;

/// When the limit of open calls is reached, the oldest call is closed only if no bytes have arrived on it for
/// this long: discovery may answer the oldest call though it answers no newer one.
pub(super) const UNRESPONSIVE_CALL_TIMEOUT: Duration = Duration::from_millis(5000);

/// The most time until a call that can deliver an update is open. An update must be delivered within 6 s of
/// when discovery has it and is reachable, and within 6 s of when a watch call falls silent; the rest of
/// the 6 s is left for the call that succeeds.
const UPDATE_BUDGET_MS: u128 = 5700;
const _: () = {
    const fn with_max_jitter(duration: Duration) -> u128 {
        duration.as_millis() + duration.as_millis() / JITTER_DIVISOR as u128
    }
    // A watch call falls silent, and a call with the first answer limit hangs: the next call is open in time.
    assert!(SILENCE_TIMEOUT.as_millis() + with_max_jitter(SERVICE_ANSWER_LIMIT) < UPDATE_BUDGET_MS);
    // The service becomes reachable during the longest retry delay, and the call that follows hangs: the
    // next call is open in time. This covers a service that becomes reachable just after a call that hangs
    // was opened.
    let after_pause = with_max_jitter(SERVICE_MAX_RETRY_DELAY) + with_max_jitter(SERVICE_LATER_ANSWER_LIMIT);
    assert!(after_pause < UPDATE_BUDGET_MS);
};

/// The policy for one kind of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallPolicy {
    /// Another call is opened beside one that has not been answered within this time.
    pub(super) answer_limit: Duration,
    /// The answer limit of a call that was itself opened beside one that does not respond.
    pub(super) later_answer_limit: Duration,
    /// The shortest delay after a failed call, before jitter.
    pub(super) retry_delay: Duration,
    /// The longest delay, before jitter: the delay doubles while calls receive nothing.
    pub(super) max_retry_delay: Duration,
    /// The most calls that are open at a time.
    pub(super) max_open: usize,
}

impl CallPolicy {
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
                    max_open: AGENT_MAX_OPEN_CALLS,
                }
            }
            DiscoveryKind::SharedService => CallPolicy {
                answer_limit: SERVICE_ANSWER_LIMIT,
                later_answer_limit: SERVICE_LATER_ANSWER_LIMIT,
                retry_delay: SERVICE_RETRY_DELAY,
                max_retry_delay: SERVICE_MAX_RETRY_DELAY,
                max_open: SERVICE_MAX_OPEN_CALLS,
            },
        }
    }
}
