//! Determines from when a proxy counts as notified of a revision of the list, according to the protocol
//! documentation.

use crate::discovery::Agent;
use crate::history::{Micros, SECOND};
use crate::scenario::Scenario;
use std::collections::HashMap;

/// Time after a reload from which the revision at the new discovery address counts as notified.
const RELOAD_NOTICE_DELAY: Micros = 4 * SECOND;
/// Time after which a revision counts as notified if discovery is polled, or if a watch fell silent.
const MAX_NOTICE_DELAY: Micros = 6 * SECOND;

/// The revisions that count as notified now or later, for all proxies.
pub struct NoticeSchedule {
    /// Whether proxies poll discovery; otherwise agents push the list.
    on_request: bool,
    /// By proxy: the last reload since the last start of its process.
    reloaded_at: HashMap<usize, Micros>,
    /// By proxy: when its agent came up; absent while the agent is not up.
    up_since: HashMap<usize, Micros>,
    /// By proxy: the revision of its agent at the last update or start.
    notified_revisions: HashMap<usize, u64>,
    /// Scheduled notices: the time, the proxy and the revision.
    pending: Vec<(Micros, usize, u64)>,
}

impl NoticeSchedule {
    /// Creates an empty schedule for the kind of discovery of this scenario.
    pub fn new(scenario: &Scenario) -> NoticeSchedule {
        NoticeSchedule {
            on_request: scenario.on_request,
            reloaded_at: HashMap::new(),
            up_since: HashMap::new(),
            notified_revisions: HashMap::new(),
            pending: Vec::new(),
        }
    }

    /// Notes that a reload has moved the proxy's discovery to another address.
    pub fn reloaded(&mut self, now: Micros, proxy: usize) {
        self.reloaded_at.insert(proxy, now);
    }

    /// Notes that a process starts. With pushed lists, the current revision of an agent that is up counts as
    /// notified at the start.
    pub fn process_started(&mut self, now: Micros, agent: &Agent) {
        self.reloaded_at.remove(&agent.proxy);
        if agent.mode().is_up() && !self.on_request {
            agent.sync();
            self.pending.push((now, agent.proxy, agent.synced_revision()));
        }
        self.notified_revisions.insert(agent.proxy, agent.synced_revision());
    }

    /// Updates an agent to the current revision, schedules the notice of a new revision, and records the
    /// notices that are due. When an agent comes up, its revision gets a notice even if it has not changed.
    pub fn update(&mut self, now: Micros, agent: &Agent) {
        let proxy = agent.proxy;
        if !agent.mode().is_up() {
            self.up_since.remove(&proxy);
        } else {
            let up_since = *self.up_since.entry(proxy).or_insert(now);
            agent.sync();
            let synced = agent.synced_revision();
            if self.notified_revisions.insert(proxy, synced) != Some(synced) || up_since == now {
                self.pending.push((self.notified_at(now, agent), proxy, synced));
            }
        }
        let is_due = |(at, of, _): &mut (Micros, usize, u64)| *of == proxy && *at <= now;
        for (_, _, revision) in self.pending.extract_if(.., is_due).collect::<Vec<_>>() {
            agent.record_notice(revision);
        }
    }

    /// Returns the time from which the agent's current revision counts as notified. That is later than `now`
    /// if discovery is polled, and after a reload or a silenced watch.
    fn notified_at(&self, now: Micros, agent: &Agent) -> Micros {
        let mut at = if self.on_request { now + MAX_NOTICE_DELAY } else { now };
        if let Some(reloaded) = self.reloaded_at.get(&agent.proxy) {
            at = at.max(reloaded + RELOAD_NOTICE_DELAY);
        }
        let silenced = agent.silenced_at();
        if silenced > 0 && now < silenced + MAX_NOTICE_DELAY {
            at = at.max(silenced + MAX_NOTICE_DELAY);
        }
        at
    }
}
