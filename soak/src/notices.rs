//! From when a proxy counts as told what discovery has, by the pages' clauses.

use crate::discovery::Agent;
use crate::history::{Micros, SECOND};
use crate::scenario::Scenario;
use std::collections::HashMap;

/// What discovery has counts as told this long after SIGHUP.
const RELOAD_TIME: Micros = 4 * SECOND;
/// What discovery has, and what a silent watch misses, counts as told by then.
const LATEST: Micros = 6 * SECOND;

/// The clauses, for all proxies.
pub struct NoticeSchedule {
    on_request: bool,
    reloaded_at: HashMap<usize, Micros>,
    /// Since when an agent is up, and the revision that counts as told.
    up_since: HashMap<usize, Micros>,
    notified_revisions: HashMap<usize, u64>,
    /// Revisions that count as told at a later time.
    pending: Vec<(Micros, usize, u64)>,
}

impl NoticeSchedule {
    /// For the kind of discovery of this scenario.
    pub fn new(scenario: &Scenario) -> NoticeSchedule {
        NoticeSchedule {
            on_request: scenario.on_request,
            reloaded_at: HashMap::new(),
            up_since: HashMap::new(),
            notified_revisions: HashMap::new(),
            pending: Vec::new(),
        }
    }

    /// A configuration has moved discovery.
    pub fn reloaded(&mut self, now: Micros, proxy: usize) {
        self.reloaded_at.insert(proxy, now);
    }

    /// A process has started: what a reachable agent has counts at once.
    pub fn process_started(&mut self, now: Micros, agent: &Agent) {
        self.reloaded_at.remove(&agent.proxy);
        if agent.mode().is_up() && !self.on_request {
            agent.sync();
            self.pending.push((now, agent.proxy, agent.synced_revision()));
        }
        self.notified_revisions.insert(agent.proxy, agent.synced_revision());
    }

    /// Lets an agent learn, and notes what counts as told now.
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

    /// When what the agent has learned now counts as told.
    fn notified_at(&self, now: Micros, agent: &Agent) -> Micros {
        let mut at = if self.on_request { now + LATEST } else { now };
        if let Some(reloaded) = self.reloaded_at.get(&agent.proxy) {
            at = at.max(reloaded + RELOAD_TIME);
        }
        let silenced = agent.silenced_at();
        if silenced > 0 && now < silenced + LATEST {
            at = at.max(silenced + LATEST);
        }
        at
    }
}
