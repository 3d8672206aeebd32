//! How long a call to discovery may take until its first complete list has arrived.

use super::backoff;
use super::{CONNECT_TIMEOUT, SILENCE_TIMEOUT};
use std::time::Duration;

/// Who answers calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryKind {
    /// An agent on the proxy's machine. It answers at once, or is silent while discovery is down.
    LocalAgent,
    /// One service for all proxies. It works through their calls in turn, and ends a call that waited too
    /// long.
    SharedService,
}

/// The time limits of calls to one kind of discovery.
struct Limits {
    /// The time limit of a call unless the one before it hung.
    initial: Duration,
    /// The longest time limit: a call after one that hung may take longer. Guards against giving up on an
    /// overloaded discovery each time just before it answers.
    max: Duration,
}

const LOCAL_AGENT: Limits = Limits { initial: Duration::from_millis(1000), max: Duration::from_millis(2000) };
/// Guards against calls that are given up while they wait for their turn: they still take their turn, all
/// proxies make another call each, and the service falls further and further behind.
const SHARED_SERVICE: Limits =
    Limits { initial: Duration::from_millis(2500), max: Duration::from_millis(3500) };

/// An update counts as delivered in time 6 s after discovery had it and was reachable, and 6 s after a watch
/// fell silent; this leaves time for the call that succeeds.
const UPDATE_BUDGET_MS: u128 = 5700;
const _: () = {
    let first_delay = backoff::INITIAL_DELAY.as_millis() * 5 / 4;
    let second_delay = backoff::INITIAL_DELAY.as_millis() * 2 * 5 / 4;
    let longest_delay = backoff::MAX_DELAY.as_millis() * 5 / 4;
    let silence = SILENCE_TIMEOUT.as_millis();
    // The worst case for the agent: a silent watch, a connection that is never established, a call that
    // hangs.
    let hung_connection = CONNECT_TIMEOUT.as_millis() + second_delay;
    let hung_call = LOCAL_AGENT.initial.as_millis() + longest_delay;
    assert!(silence + first_delay + hung_connection + hung_call < UPDATE_BUDGET_MS);
    // For the service: a silent watch and a call that hangs, or, when it becomes reachable again, the rest of
    // a call that hangs.
    let hung_call = SHARED_SERVICE.initial.as_millis() + second_delay;
    assert!(silence + first_delay + hung_call < UPDATE_BUDGET_MS);
    assert!(SHARED_SERVICE.max.as_millis() + longest_delay < UPDATE_BUDGET_MS);
};

/// How a call ended, as far as the time limit of the next one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Discovery sent something.
    Received,
    /// The call hung.
    Hung,
    /// The call failed or was refused. That tells nothing of how long an answer takes.
    Failed,
}

/// The time limit of the next call.
#[derive(Clone, Copy)]
pub struct CallTimeout {
    limits: &'static Limits,
    current: Duration,
}

impl CallTimeout {
    /// The time limit of the first call.
    pub fn new(kind: DiscoveryKind) -> CallTimeout {
        let limits = match kind {
            DiscoveryKind::LocalAgent => &LOCAL_AGENT,
            DiscoveryKind::SharedService => &SHARED_SERVICE,
        };
        CallTimeout { limits, current: limits.initial }
    }

    /// The time limit now.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Adapts the time limit to the end of a call.
    pub fn record(&mut self, end: CallResult) {
        self.current = match end {
            CallResult::Received => self.limits.initial,
            CallResult::Hung => (self.current * 2).min(self.limits.max),
            CallResult::Failed => self.current,
        };
    }
}
