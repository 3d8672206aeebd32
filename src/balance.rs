//! Every decision of liftrelay. The types, events and actions that it speaks in are in `src/model/mod.rs`.
//!
//! The ordinary path is C-JDBC's least pending requests first: each router counts its own attempts that are
//! out at each member and sends a read to the group's replica with the fewest, ties in turn; writes and reads
//! of the latest data go to the member last heard as primary. What departs from it is marked "Departure".

use crate::estimators::{
    DecayingRate, GroupQueueingDelay, LatencyBaselines, QueueingDelay, ReplicationEstimate,
};
use crate::{model::*, random::RandomSource};
use std::collections::BTreeMap;

const TICK_BATCHES: u64 = 4; // Batches between two runs of the periodic work (held requests, probes).
const TICK_MIN: Micros = 10_000; // Shortest span between two runs of the periodic work.
const LIMIT_START: f64 = 6.0; // Attempts allowed at a member at first, and the least and most.
const LIMIT_LEAST: f64 = 1.0;
const LIMIT_GAIN: f64 = 0.5;
const LIMIT_MOST: f64 = 64.0;
const PRESSED: f64 = 0.2; // The limit falls when attempts wait for more of their aim, by this part each.
const LIMIT_CUT: f64 = 0.15;
const SHED_FROM: f64 = 0.15; // Work is shed from this share of their aims that attempts wait, all this above.
const SHED_SPAN: f64 = 0.6;
const SHED_LESS: f64 = 2.0; // Shedding yields to the limits by this for each attempt out at a member.
const FAULT_GAIN: f64 = 0.2; // Weight of one outcome in a member's failure share, and of a trial's.
const TRIAL_GAIN: f64 = 0.5;
const FAULT_GAIN_ALL: f64 = 0.05; // Weight of one outcome in the failure share of all members.
const FAULT_LIMIT: f64 = 0.35; // A member this far above the failure share of all is set aside.
const KEYED_TIME: f64 = 4.0; // Least multiple of its usual time that a keyed request gets in its window.
const TRIAL_WAIT: Micros = 800_000; // Least wait between two trials of a member; twice that at most.
const TRIAL_SHARE: f64 = 0.1; // Part of the requests that may be trials.
const TRIAL_TIME: f64 = 3.0; // Trials and searches for the primary time out at this multiple of the usual.
const RETRY_SHARE: f64 = 0.2; // Further attempts for each request; those of a second are saved up.
const ROUND_WAIT: Micros = 100_000; // Wait between two rounds of asking members in turn for the primary.
const PROBE_SHARE: f64 = 0.5; // Probes for each request, and the least span between two of a member.
const PROBE_MIN: Micros = 250_000;
const PROBE_HURRY: Micros = 4; // Probes are this much closer at a member that is down and in a group not led.
const WINDOW_USED: f64 = 0.95; // Part of a keyed request's window to send in, and for one attempt.
const WINDOW_TRY: f64 = 0.5;
const COLD_SHARE: f64 = 0.4; // A cold member gets this share of what would knock it over, were all full.
const COLD_LEAD: f64 = 0.8; // ... and a cold primary this, for what only it can do: others take the reads.
const COLD_SAVED: f64 = 0.5; // Part of the window in which it falls that reads are saved for; writes half.
const ROOM_CHEAP: f64 = 0.5; // Share of the limit that the cheapest work may use, and the dearest.
const ROOM_DEAR: f64 = 1.4;
const REPEAT_WORTH: f64 = 0.3; // Chance that a client's repeat still meets the aim, run from its first try.
const LONG: f64 = 5.0; // A read is long at this multiple of the lightest class.
const UNTOLD: Micros = 4_000_000; // The list tells of a restart within this; until then back is just started.
const IN_USE: usize = 2; // Of equals, so many replicas of a group are used while their connections last.
const USED: Micros = 80; // A connection is taken to last for so many hundredths of what a member allows.
const NOTICE: Micros = 100_000; // What an answer tells counts as known this long after it was written.
const STALL: Micros = 100_000; // A tick later than this means that the router itself stood still.
const COMMITS_KEPT: usize = 20_000; // Remembered commits before the settled ones are dropped.
const TURN_START: u64 = 1 << 16; // Turns are drawn below this for members not sent to yet.
const ASK_AGAIN: Micros = 1_000_000; // Wait before the list is asked for again after a failure.
const FORGET: Micros = 10_000_000; // A member that is gone and silent for so long is forgotten.
const DEAD_AFTER: Micros = 50_000; // A member that refused connections over this span is down.
const ERRORS: &str = "errors";
const LOST: &str = "lost requests";
const TICK: u32 = 0;
const ASK: u32 = 1;

#[derive(Clone, Copy)]
struct Out {
    request: RequestId,
    attempt: u32,
    sent: Micros,
    class: usize,
}

#[derive(Default)]
struct Server {
    id: EndpointId,
    group: GroupId,
    zone: u32,
    listed: EndpointState,
    drained: bool, // It has been listed as draining since it was last in service.
    vouched: bool, // It stood in the first list, or has answered.
    hint: bool,
    started: Micros, // Its start, where it is recent enough to be cold.
    out: Vec<Out>,
    quick: Micros, // The latest send answered without a wait: what was out for long before it is lost.
    used: Micros,  // When it was last sent to.
    turn: u64,     // The number of its last send: of equals, the longest without is next. Starts at random.
    replication: ReplicationEstimate,
    replica_at: Micros, // When it was heard as a replica, 0 if it was heard as the primary since.
    limit: f64,         // Own attempts that it may have, and the share of their aims that they wait.
    press: QueueingDelay,
    fault: f64,
    aside: bool,
    trial_at: Micros,
    last_answer: Micros,
    broken_at: Micros, // When a connection to it first broke since its last answer, 0 for none.
    down: bool, // It refused connections for a while after that; when it last answered after such a time.
    back_at: Micros,
    cold_work: [(f64, Micros); 2], // Saved for it while cold: for reads, and for what only it can.
    probe_at: Micros,
    probing: bool,
    silent: bool, // It did not answer the last probe.
}

#[derive(Default)]
struct Group {
    members: Vec<usize>,
    primary: Option<usize>,
    primary_at: Micros,
    round_at: Micros,
    wait: [GroupQueueingDelay; 2], // Of attempts, at replicas and at the primary.
}

#[derive(Default)]
struct Pending {
    req: Request,
    deadline: Micros,
    aim_at: Micros,
    need: Micros, // The position that a member must have, 0 for none.
    attempts: u32,
    flying: Option<u32>,
    ran: Option<Micros>, // When the first attempt that may have run was sent.
    tried: Vec<usize>,
    missed: u32,
    held: Option<Micros>, // Held, until this at least.
    again_at: Micros,     // Its primary is not asked for again before.
    asked: Option<usize>, // The replica that was asked how fresh it is, for this request.
    worth: f64,
    luck: f64, // Drawn once: the unluckiest are shed first.
}

enum Choice {
    To(usize, bool),
    Hold,
    Full,
}

/// Decides where each request goes. One for each process; routers share nothing.
#[derive(Default)]
pub struct Router {
    cfg: Settings,
    random: RandomSource,
    now: Micros,
    tick_due: Micros,
    stalled: Micros, // When this router last came back from standing still.
    servers: Vec<Server>,
    index: BTreeMap<EndpointId, usize>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Pending>,
    commits: BTreeMap<u64, (GroupId, Micros)>,
    base: LatencyBaselines,
    retries: f64,
    trials: f64,
    rate: DecayingRate,
    sends: u64,
    served: Vec<DecayingRate>, // Requests a second of each class that members served for this router, ...
    sharing: f64,              // ... and how many share them.
    offered: Vec<DecayingRate>, // The requests that came, the same way, ...
    members: f64,              // ... and how many may be used at all.
    born: Micros,
    unchecked: bool, // Members answer also from data that is too old: only this router keeps it out.
    wait: [QueueingDelay; 2], // Of attempts in all groups, at replicas and at primaries.
    fault_all: f64,  // The share of attempts at all members that failed lately.
    tenant_rate: Vec<DecayingRate>,
}

impl Router {
    /// A router that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let base = LatencyBaselines::new(&settings.classes);
        let rates = vec![DecayingRate::new(now); settings.classes.len()];
        Router {
            unchecked: settings.stale_read_behavior == StaleReadBehavior::Serve,
            tenant_rate: vec![DecayingRate::new(now); settings.quotas.len()],
            cfg: settings,
            random: RandomSource::new(seed),
            now,
            born: now,
            base,
            served: rates.clone(),
            offered: rates,
            retries: 1.0,
            trials: 1.0,
            sends: TURN_START,
            ..Router::default()
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.tick_due == 0 {
            let after = 1 + self.random.below(self.tick_span());
            self.tick_due = self.now + after;
            out.push(Action::SetTimer { token: TICK, after });
            out.extend(self.cfg.list_on_request.then_some(Action::Subscribe));
        } else if self.now > self.tick_due + STALL {
            (self.stalled, self.tick_due) = (self.now, self.now);
        }
        match event {
            Event::EndpointUpdate { full, endpoints: members } => self.on_list(full, members, out),
            Event::EndpointListFailed => out.push(Action::SetTimer { token: ASK, after: ASK_AGAIN }),
            Event::TimerFired(ASK) => out.push(Action::Subscribe),
            Event::Request(req) => self.on_request(req, out),
            Event::AttemptEnded(ended) => self.on_outcome(ended, out),
            Event::Probed { endpoint: server, answered, report } => {
                if let Some(&s) = self.index.get(&server) {
                    (self.servers[s].probing, self.servers[s].silent) = (false, !answered);
                    let group = self.servers[s].group;
                    let asked = self.requests.values_mut().filter(|p| p.asked == Some(s));
                    asked.for_each(|p| p.held = p.held.map(|_| 0));
                    let before = self.groups.get(&group).and_then(|g| g.primary);
                    if answered {
                        self.heard(s);
                        self.on_report(s, report);
                    }
                    let after = self.groups.get(&group).and_then(|g| g.primary);
                    self.wake(Some(group), after.is_some() && after != before, out);
                }
            }
            Event::ClientDisconnected(id) => self.finish(id, out),
            Event::TimerFired(TICK) => self.on_tick(out),
            Event::TimerFired(_) => {}
        }
    }

    /// How many members the list names, and how many of them are avoided now.
    pub fn members(&self) -> (usize, usize) {
        let listed = self.servers.iter().filter(|v| v.listed != EndpointState::Removed);
        let avoided = listed.clone().filter(|v| v.aside || v.down || v.listed == EndpointState::Draining);
        (listed.count(), avoided.count())
    }

    fn tick_span(&self) -> Micros {
        (self.cfg.resolution * TICK_BATCHES).max(TICK_MIN)
    }

    fn on_list(&mut self, full: bool, members: Vec<EndpointEntry>, out: &mut Vec<Action>) {
        for s in self.servers.iter_mut().filter(|s| full && !members.iter().any(|m| m.endpoint == s.id)) {
            s.listed = EndpointState::Removed;
        }
        let (first, now, mut named) = (self.servers.is_empty(), self.now, Vec::new());
        for m in members {
            let s = match self.index.get(&m.endpoint) {
                Some(&s) => s,
                None => {
                    // The place of one that is forgotten is used again: members may come and go for ever.
                    let gone =
                        |v: &Server| v.listed == EndpointState::Removed && now > v.last_answer + FORGET;
                    let s = self.servers.iter().position(|v| gone(v) && v.out.is_empty());
                    let s = s.unwrap_or(self.servers.len());
                    self.servers.resize_with(self.servers.len().max(s + 1), Server::default);
                    self.index.remove(&self.servers[s].id);
                    for g in self.groups.values_mut() {
                        g.members.retain(|m| *m != s);
                        g.primary = g.primary.filter(|p| *p != s);
                    }
                    let probe_at = now + self.random.below(PROBE_MIN * Micros::from(self.cfg.instances));
                    let turn = self.random.below(TURN_START);
                    // A trial comes first where it costs no time: where trials reach all members in a second.
                    let trials = self.rate.at(now) * TRIAL_SHARE;
                    let doubted = !first && (m.started_at == 0 || trials > self.servers.len() as f64);
                    self.index.insert(m.endpoint, s);
                    self.servers[s] = Server {
                        id: m.endpoint,
                        group: m.group,
                        started: m.started_at,
                        limit: LIMIT_START,
                        vouched: first,
                        // Only a told start lets a new one be tried at once: being cold bounds what it gets.
                        aside: doubted,
                        fault: if doubted { FAULT_LIMIT } else { 0.0 },
                        probe_at,
                        turn,
                        ..Server::default()
                    };
                    s
                }
            };
            let group = self.groups.entry(m.group).or_default();
            if !group.members.contains(&s) {
                group.members.push(s);
            }
            let v = &mut self.servers[s];
            if m.started_at != v.started {
                (v.started, v.cold_work, v.fault) = (m.started_at, [(0.0, now); 2], 0.0);
                (v.aside, v.down) = (false, false);
                group.primary = group.primary.filter(|p| *p != s);
            }
            if m.primary_hint && !v.hint {
                group.round_at = now;
                named.push(m.group);
            }
            (v.listed, v.hint, v.zone) = (m.state, m.primary_hint, m.zone);
            v.drained = m.state == EndpointState::Draining || (v.drained && m.state != EndpointState::Ready);
        }
        let usable: Vec<_> = (0..self.servers.len()).filter(|s| self.usable(*s)).collect();
        self.members = usable.len() as f64;
        self.sharing = usable.iter().filter(|s| !self.cold(&self.servers[**s])).count() as f64;
        named.into_iter().for_each(|group| self.wake(Some(group), true, out));
        self.wake(None, false, out);
    }

    /// A report is as old as it says; a primary's position is the time of its report.
    fn on_report(&mut self, s: usize, report: LoadReport) {
        if let Some(position) = report.position {
            self.on_position(s, position);
            if let Some(role) = report.role {
                self.on_role(s, role, position.min(self.now));
            }
        }
    }

    fn on_position(&mut self, s: usize, position: Micros) {
        self.servers[s].replication.record(position, self.now);
    }

    /// It runs: what answers after refused connections may have just started.
    fn heard(&mut self, s: usize) {
        let v = &mut self.servers[s];
        (v.vouched, v.silent, v.broken_at) = (true, false, 0);
        if v.down {
            (v.down, v.back_at, v.cold_work) = (false, self.now, [(0.0, self.now); 2]);
        }
    }

    /// The newest evidence wins.
    fn on_role(&mut self, s: usize, role: Role, at: Micros) {
        let (usable, v) = (self.usable(s), &mut self.servers[s]);
        let Some(group) = self.groups.get_mut(&v.group) else { return };
        let newest = at >= group.primary_at.max(v.replica_at);
        if role == Role::Replica {
            v.replica_at = v.replica_at.max(at);
            if newest && group.primary == Some(s) {
                (group.primary, group.primary_at) = (None, at);
            }
        } else if newest && usable {
            (group.primary, group.primary_at, v.replica_at) = (Some(s), at, 0);
        }
    }

    /// The position that a member is expected to have by now, or is known to have where only that is safe.
    fn expected(&self, s: usize) -> Micros {
        match self.cfg.stale_read_behavior {
            StaleReadBehavior::Serve => self.servers[s].replication.known_position(),
            StaleReadBehavior::Reject => self.guess(s),
            StaleReadBehavior::WaitThenReject(wait) => self.guess(s) + wait / 2,
        }
    }

    fn guess(&self, s: usize) -> Micros {
        self.servers[s].replication.estimated_position(self.now)
    }

    /// Departure: where only draining binds, a member that the list calls gone is used while it answers.
    /// Guards against lists that are wrong or old, even empty; costs an attempt where the list is right.
    fn usable(&self, s: usize) -> bool {
        let v = &self.servers[s];
        let doubted = self.cfg.removed_endpoints_usable && !v.drained && v.vouched && !v.down;
        v.listed == EndpointState::Ready || (v.listed == EndpointState::Removed && doubted)
    }

    /// Departure: a member whose failures stand out is set aside and taken back by single trials. Guards
    /// against black holes, dead machines and fast failers, which all look idle to a pending count.
    fn fault(&mut self, s: usize, bad: f64, gain: f64, why: &str, out: &mut Vec<Action>) {
        let (now, needed) = (self.now, matches!(why, ERRORS | LOST) && self.part(s) == 1);
        let v = &mut self.servers[s];
        v.fault += (bad - v.fault) * gain;
        self.fault_all += (bad - self.fault_all) * FAULT_GAIN_ALL;
        // A primary that errs now and then still does what no other can.
        let sick = v.fault > FAULT_LIMIT + self.fault_all && !needed;
        if sick && bad > 0.0 {
            let log = || Action::Log(format!("member {:012x} set aside: {why}", v.id.0));
            out.extend((!v.aside).then(log));
            v.aside = true;
            self.servers[s].trial_at = now + TRIAL_WAIT + self.random.below(TRIAL_WAIT);
        } else if v.aside && v.fault <= FAULT_LIMIT / 2.0 + self.fault_all {
            v.aside = false;
        } else if bad == 0.0 {
            v.trial_at = now;
        }
    }

    fn on_request(&mut self, req: Request, out: &mut Vec<Action>) {
        let now = self.now;
        let luck = self.random.fraction();
        self.rate.record(now);
        self.retries = (self.retries + RETRY_SHARE).min((self.rate.at(now) * RETRY_SHARE).max(1.0));
        self.trials = (self.trials + TRIAL_SHARE).min(1.0);
        let Some(class) = self.cfg.classes.get(req.class) else { return out.push(Action::Fail(req.id)) };
        self.offered[req.class].record(now);
        let repeat = class.late_value + (1.0 - class.late_value) * REPEAT_WORTH;
        let mut worth = class.priority_weight * if req.is_retry { repeat } else { 1.0 };
        if let Some(rate) = self.tenant_rate.get_mut(req.tenant) {
            rate.record(now);
            if rate.at(now) * f64::from(self.cfg.instances) > self.cfg.quotas[req.tenant] {
                worth *= self.cfg.over_quota_weight;
            }
        }
        let need = match class.requirement {
            Requirement::Latest => now,
            Requirement::ReadYourWrites if self.cfg.remember_commits => {
                self.commits.get(&req.session).map_or(0, |c| c.1)
            }
            Requirement::ReadYourWrites => req.time_since_write.map_or(0, |ago| now.saturating_sub(ago)),
            _ => 0,
        };
        let (id, deadline, aim_at) =
            (req.id, now + req.remaining, now + class.latency_objective.min(req.remaining));
        let pending = Pending { deadline, aim_at, need, worth, luck, req, ..Pending::default() };
        self.requests.insert(id, pending);
        self.advance(id, out);
    }

    /// Takes the next step for a request of which nothing is out.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get(&id) else { return };
        let class = self.cfg.classes[p.req.class].clone();
        let window = match class.idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::Keyed { window, .. } => window as f64 * WINDOW_USED,
            Idempotency::AtMostOnce => 0.0,
        };
        let may_send = p.ran.is_none_or(|ran| ((self.now - ran) as f64) < window);
        let end = if class.late_value > 0.0 { p.deadline } else { p.aim_at };
        let base = self.base.unloaded(p.req.class);
        let open = self.groups.get(&p.req.group).is_some_and(|g| g.members.iter().any(|s| self.usable(*s)));
        if !open || !may_send || self.now >= end || p.attempts >= self.cfg.max_attempts {
            return self.give_up(id, out);
        }
        let choice = match class.requirement {
            Requirement::Write | Requirement::Latest => self.choose_primary(id),
            _ => self.choose_replica(id, out),
        };
        match choice {
            Choice::To(s, search) => self.send(id, s, search, out),
            choice => {
                // A held request is looked at again before its time runs out, whatever it waits for.
                let last = end.saturating_sub((base as Micros / 2).max(2 * self.tick_span()));
                let again = self.now + ROUND_WAIT / 2;
                if matches!(choice, Choice::Full) || self.now >= last {
                    return self.give_up(id, out);
                }
                self.requests.get_mut(&id).expect("present above").held = Some(again.min(last));
            }
        }
    }

    /// Writes and reads of the latest data: the primary, or members in turn, one round, until one is found.
    fn choose_primary(&mut self, id: RequestId) -> Choice {
        let p = &self.requests[&id];
        let (group, class) = (&self.groups[&p.req.group], p.req.class);
        if self.now < p.again_at {
            return Choice::Hold;
        }
        let leads = self.leads(group).filter(|s| group.primary == Some(*s) || !p.tried.contains(s));
        if let Some(s) = leads
            && self.usable(s)
            && (!self.servers[s].aside || self.trial_due(s) || group.members.len() == 1)
        {
            if p.tried.contains(&s) {
                return self.rest(id);
            } else if !self.has_room(p, s) {
                return Choice::Full;
            }
            let comes = p.attempts == 0 && p.held.is_none();
            let won = self.cold_stake(s, class, comes);
            return if won { Choice::To(s, self.servers[s].aside) } else { Choice::Hold };
        }
        // Departure: half of the attempts go into the first round, the last is for a primary that is known.
        // Guards against a write that asks all of a group amid a handover and has none left afterwards.
        let most = self.cfg.max_attempts;
        if p.attempts + 1 >= most || (p.missed > 0 && p.attempts >= most / 2) {
            return self.rest(id);
        }
        // Where members do not check, reads leave the search to writes and probes.
        let blind = self.unchecked && self.cfg.classes[class].requirement == Requirement::Latest;
        if blind || (p.missed == 0 && self.now < group.round_at) {
            return Choice::Hold;
        }
        let mut next = group.members.clone();
        next.retain(|s| self.usable(*s) && !p.tried.contains(s) && group.primary != Some(*s));
        next.sort_by_key(|s| {
            let v = &self.servers[*s];
            (v.aside, !v.hint || v.replica_at > 0, v.turn)
        });
        let next = next.into_iter().find(|s| self.cold_stake(*s, class, false));
        let p = &self.requests[&id];
        // A round of misses shows that there is no other primary: one set aside is tried again.
        let known = self.groups[&p.req.group].primary;
        let known = known.filter(|s| self.usable(*s) && !p.tried.contains(s) && self.has_room(p, *s));
        let Some(s) = next.or(known) else { return self.rest(id) };
        let group = self.groups.get_mut(&p.req.group).expect("checked by the caller");
        group.round_at = self.now + ROUND_WAIT;
        self.requests.get_mut(&id).expect("checked by the caller").missed += 1;
        Choice::To(s, true)
    }

    /// Holds a request, ever longer. Guards against a primary that refuses connections using all attempts up.
    fn rest(&mut self, id: RequestId) -> Choice {
        let p = self.requests.get_mut(&id).expect("checked by the caller");
        let late = self.cfg.classes[p.req.class].late_value > 0.0;
        let left = if late { p.deadline } else { p.aim_at }.saturating_sub(self.now);
        let wait = (left >> self.cfg.max_attempts.saturating_sub(p.attempts).min(63)).max(ROUND_WAIT);
        p.again_at = self.now + if p.attempts == 0 { 0 } else { wait };
        Choice::Hold
    }

    /// The primary, or who the list says it is. Guards against asking others in vain while it has no budget.
    fn leads(&self, group: &Group) -> Option<usize> {
        let told = |m: &usize| self.servers[*m].hint && self.servers[*m].replica_at == 0;
        group.primary.or(group.members.iter().copied().find(told))
    }

    fn trial_due(&self, s: usize) -> bool {
        self.servers[s].aside && self.now >= self.servers[s].trial_at
    }

    /// Reads: the replica with the fewest pending among those that are well and expected to be fresh enough.
    fn choose_replica(&mut self, id: RequestId, out: &mut Vec<Action>) -> Choice {
        let (p, index) = (&self.requests[&id], self.requests[&id].req.class);
        let mut open = self.groups[&p.req.group].members.clone();
        open.retain(|s| self.usable(*s) && !p.tried.contains(s));
        let any_well = self.groups[&p.req.group].members.iter().any(|s| self.well(*s));
        if p.attempts == 0
            && self.cfg.classes[index].idempotency == Idempotency::Idempotent
            && any_well
            && self.trials >= 1.0
            && let Some(s) = open.iter().copied().find(|s| self.trial_due(*s) && self.may_answer(p, *s))
            && self.cold_stake(s, index, false)
        {
            self.trials -= 1.0;
            return Choice::To(s, true);
        }
        if self.ask_first(id, &open, out) {
            return Choice::Hold;
        }
        loop {
            match self.pick_replica(&self.requests[&id], &open) {
                Choice::To(s, _) if !self.cold_stake(s, index, false) => open.retain(|o| *o != s),
                choice => return choice,
            }
        }
    }

    /// Departure: where members do not check, a read first asks a replica if none is known fresh enough.
    /// Guards against sending all to primaries: each of many routers knows no replica's position lately.
    fn ask_first(&mut self, id: RequestId, open: &[usize], out: &mut Vec<Action>) -> bool {
        let (p, need) = (&self.requests[&id], self.need(&self.requests[&id]));
        if !self.cfg.probes || !self.unchecked || need == 0 || p.asked.is_some() {
            return false;
        }
        let open = open.iter().map(|s| (*s, &self.servers[*s]));
        let well = open.filter(|(s, v)| self.part(*s) == 0 && !v.aside && !v.silent && self.has_room(p, *s));
        let well: Vec<_> = well.filter(|(s, _)| self.guess(*s) >= need).collect();
        let key = |(s, v): &(usize, &Server)| (self.cold(v), self.pending(*s), self.away(v), v.turn);
        let asked = well.iter().copied().min_by_key(key).map(|(s, _)| s);
        let asked = asked.filter(|_| well.iter().all(|(s, _)| self.expected(*s) < need));
        self.requests.get_mut(&id).expect("checked by the caller").asked = asked;
        asked.inspect(|s| self.ask(*s, out)).is_some()
    }

    /// The position that a read needs, 0 for none.
    fn need(&self, p: &Pending) -> Micros {
        match self.cfg.classes[p.req.class].requirement {
            Requirement::BoundedStaleness(bound) => self.now.saturating_sub(bound),
            _ => p.need,
        }
    }

    /// Its answer is not too old, or it gives none then. A trial keeps to this like any other send.
    fn may_answer(&self, p: &Pending, s: usize) -> bool {
        !self.unchecked || self.part(s) == 1 || self.expected(s) >= self.need(p)
    }

    fn well(&self, s: usize) -> bool {
        self.usable(s) && !self.servers[s].aside
    }

    fn pick_replica(&self, p: &Pending, open: &[usize]) -> Choice {
        let (index, group, need) = (p.req.class, &self.groups[&p.req.group], self.need(p));
        let any_well = group.members.iter().any(|s| self.well(*s));
        let (long, mut full) = (self.long(index), false);
        let led = group.primary.is_some_and(|s| self.well(s));
        // Departure: long reads that need no freshness gather at one replica, the same for all routers, and
        // of equal counts the others come first for the rest, since long reads may keep it from applying.
        let well = |s: &usize| self.well(*s) && group.primary != Some(*s);
        let gathers = group.members.iter().copied().filter(well).min_by_key(|s| self.servers[*s].id);
        let gathers = gathers.filter(|_| (0..self.cfg.classes.len()).any(|c| self.long(c)));
        let linked = |s: &&usize| self.now < self.servers[**s].used + self.cfg.idle_timeout * USED / 100;
        let linked: Vec<_> = open.iter().filter(|s| group.primary != Some(**s) && linked(s)).collect();
        let mut best = None;
        for &s in open {
            let v = &self.servers[s];
            let primary = group.primary == Some(s);
            let fresh = primary || self.expected(s) >= need;
            if !self.may_answer(p, s) || (v.aside && any_well) {
                continue;
            }
            let tier = if primary { 1 } else { 2 * usize::from(!fresh) };
            // Departure: a member known to be behind is not tried while the primary can be waited for. Guards
            // against refusing replicas, which drain fastest and look idlest, when all of a group are behind.
            if !self.has_room(p, s) || (!fresh && led) {
                full = true;
                continue;
            }
            let yields = gathers.is_some() && (gathers == Some(s)) != long;
            // Departure: ties go in turn among cold members, whose budget is small enough, and members with a
            // connection, where there are enough.
            let anew = linked.len() >= IN_USE && !linked.contains(&&s) && !self.cold(v);
            let key = (tier, long && yields, self.pending(s), yields, self.away(v), anew, v.turn);
            best = best.min(Some((key, s))).or(Some((key, s)));
        }
        best.map_or(if full { Choice::Full } else { Choice::Hold }, |(_, s)| Choice::To(s, false))
    }

    /// Departure: a member takes no more of this router's attempts than it answers in their aims, and a share
    /// is shed by how long attempts wait in the group, the cheapest first. Guards against any overload.
    fn has_room(&self, p: &Pending, s: usize) -> bool {
        let class = &self.cfg.classes[p.req.class];
        let top = self
            .cfg
            .classes
            .iter()
            .zip(self.base.all())
            .map(|(c, b)| c.priority_weight / b)
            .fold(0.0, f64::max);
        // Writes rank by what is left of their own worth, as they can go nowhere but to the primary.
        let best = if class.requirement == Requirement::Write {
            class.priority_weight / self.base.unloaded(p.req.class)
        } else {
            top
        };
        let rank = (p.worth / self.base.unloaded(p.req.class) / best.max(1e-12)).clamp(0.0, 1.0).sqrt();
        // A primary is kept for what only it can do: all else ranks lower there.
        let rank = if self.part(s) > self.bound(p.req.class) { rank * ROOM_CHEAP } else { rank };
        let limit = self.servers[s].limit * (ROOM_CHEAP + (ROOM_DEAR - ROOM_CHEAP) * rank);
        let busy = self.work(&self.served, |_| 1.0) / self.sharing.max(1.0) / 1e6;
        let shed = ((self.waited(s) - SHED_FROM) / SHED_SPAN).clamp(0.0, 1.0) / (1.0 + SHED_LESS * busy);
        p.luck >= shed * (ROOM_DEAR - rank) && (self.pending(s) as f64) < limit
    }

    /// To send to it costs a crossing between zones.
    fn away(&self, v: &Server) -> bool {
        v.zone != self.cfg.zone && self.cfg.cross_zone_cost > 0.0
    }

    /// Own attempts out at a member, less those that are lost.
    fn pending(&self, s: usize) -> usize {
        let v = &self.servers[s];
        v.out
            .iter()
            .filter(|o| o.sent + self.cfg.classes[o.class].latency_objective * 3 / 2 >= v.quick)
            .count()
    }

    /// The part that a member plays in its group: 0 for a replica, 1 for the primary.
    fn part(&self, s: usize) -> usize {
        usize::from(self.groups.get(&self.servers[s].group).is_some_and(|g| g.primary == Some(s)))
    }

    fn waited(&self, s: usize) -> f64 {
        let part = self.part(s);
        self.groups[&self.servers[s].group].wait[part].estimate(self.wait[part], self.now)
    }

    /// Departure: a cold member gets a share of what a warm one serves for this router. Work too small for a
    /// request is staked on a draw, only for the member picked: all routers together stay under what knocks
    /// it over. What comes to its primary stakes, on credit, the budget's share of all that its group is
    /// asked. Guards against starving a class that each of many routers sees once in a while.
    fn cold_stake(&mut self, s: usize, class: usize, credit: bool) -> bool {
        if !self.cold(&self.servers[s]) {
            return true;
        }
        let (work, bound, base) = (self.cold_saved(s, class), self.bound(class), self.base.unloaded(class));
        let asked = self.work(&self.offered, |c| self.bound(c) as f64);
        // What little has been asked so far is taken for as much as a member serves. Guards against a surge.
        let asked = (asked / self.groups.len() as f64).max(self.each()).max(1e-12);
        let credit = if credit { self.cold_rate(s, bound) / asked * base + work.min(0.0) } else { 0.0 };
        let stake = work.max(credit).clamp(0.0, base);
        let won = stake >= base * self.random.fraction();
        let left = (work - stake).max(-base) + if won { base } else { 0.0 };
        self.servers[s].cold_work[bound] = (left, self.now);
        won
    }

    fn long(&self, class: usize) -> bool {
        let lightest = self.base.all().fold(f64::INFINITY, f64::min);
        self.cfg.classes[class].requirement == Requirement::Any && self.base.unloaded(class) > LONG * lightest
    }

    /// Cold by the list, without connections, or back from that so lately that the list may not say so yet.
    fn cold(&self, v: &Server) -> bool {
        v.down
            || (v.started > 0 && self.now < v.started + self.cfg.slow_start_duration)
            || (v.back_at > v.started && self.now < v.back_at + UNTOLD)
    }

    /// 1 for a class that only the primary can serve.
    fn bound(&self, class: usize) -> usize {
        usize::from(matches!(self.cfg.classes[class].requirement, Requirement::Write | Requirement::Latest))
    }

    fn cold_rate(&self, s: usize, bound: usize) -> f64 {
        let v = &self.servers[s];
        let since = if v.down { self.now } else { v.started.max(v.back_at) };
        let age = self.now.saturating_sub(since) as f64 / self.cfg.slow_start_duration.max(1) as f64;
        let part = self.cfg.slow_start_capacity + (1.0 - self.cfg.slow_start_capacity) * age;
        self.each() * part * [COLD_SHARE, COLD_LEAD][bound] * self.cfg.overload_multiple
    }

    fn cold_saved(&self, s: usize, class: usize) -> f64 {
        let (v, bound) = (&self.servers[s], self.bound(class));
        let ((saved, at), rate) = (v.cold_work[bound], self.cold_rate(s, bound));
        let most = rate * self.cfg.overload_window as f64 * COLD_SAVED / (1 + bound) as f64 / 1e6;
        // Of what only a primary can do a whole request may be saved, as it comes seldom at one router.
        let most = most.max(self.base.unloaded(class) * bound as f64);
        (saved + rate * (self.now - at.max(v.started)) as f64 / 1e6).min(most)
    }

    /// What a warm member serves for this router, at most its share of all that is asked. Guards against
    /// giving cold members nothing just after this router's start, when it has seen nothing served.
    fn each(&self) -> f64 {
        let served = self.work(&self.served, |_| 1.0) / self.sharing.max(1.0);
        let asked = self.work(&self.offered, |_| 1.0) / self.members.max(1.0);
        let learnt =
            self.now > self.born + DecayingRate::SPAN as Micros && self.sharing * 2.0 >= self.members;
        if learnt { asked.min(served) } else { asked }
    }

    /// The work of requests that come or are served at these rates, in their unloaded time a second.
    fn work(&self, rates: &[DecayingRate], weight: impl Fn(usize) -> f64) -> f64 {
        (0..rates.len()).map(|c| weight(c) * rates[c].at(self.now) * self.base.unloaded(c)).sum()
    }

    fn send(&mut self, id: RequestId, s: usize, search: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(class) = self.requests.get(&id).map(|p| p.req.class) else { return };
        let (saved, bound) = (self.cold_saved(s, class), self.bound(class));
        let within = if self.unchecked { self.begins(&self.requests[&id], s) } else { Micros::MAX };
        let p = self.requests.get_mut(&id).expect("just found");
        let (class, base) = (&self.cfg.classes[class], self.base.unloaded(class));
        let end = if class.late_value > 0.0 || now >= p.aim_at { p.deadline } else { p.aim_at };
        let most = match class.idempotency {
            _ if search && class.idempotency != Idempotency::AtMostOnce => base * TRIAL_TIME,
            Idempotency::Keyed { window, .. } => (window as f64 * WINDOW_TRY).max(KEYED_TIME * base),
            Idempotency::Idempotent | Idempotency::AtMostOnce => f64::INFINITY,
        };
        let (timeout, attempt) = ((end - now).min(most as Micros), p.attempts);
        (p.attempts, p.held, p.flying) = (attempt + 1, None, Some(attempt));
        self.sends += 1;
        let v = &mut self.servers[s];
        (v.turn, v.used) = (self.sends, now);
        v.out.push(Out { request: id, attempt, sent: now, class: p.req.class });
        v.cold_work[bound] = ((saved - base).max(-base), now);
        v.cold_work[1].0 -= base * (1 - bound) as f64; // What is read there is not left for writes.
        v.trial_at = v.trial_at.max(now + TRIAL_WAIT);
        out.push(Action::Send { request: id, endpoint: v.id, timeout: timeout.max(1), start_within: within });
    }

    /// Departure: how long an attempt may wait for its connection where members do not check. Guards against
    /// data that was fresh enough when a member was picked, and a primary that is none any more.
    fn begins(&self, p: &Pending, s: usize) -> Micros {
        match (self.cfg.classes[p.req.class].requirement, self.part(s)) {
            (Requirement::Any | Requirement::Write, _)
            | (Requirement::ReadYourWrites | Requirement::Latest, 0) => Micros::MAX,
            (Requirement::BoundedStaleness(bound), 0) => {
                (self.servers[s].replication.known_position() + bound).saturating_sub(self.now)
            }
            _ => NOTICE / 2,
        }
    }

    /// The final answer of a request that is given up, at once.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get(&id) else { return };
        let Class { idempotency, latency_objective: aim, .. } = self.cfg.classes[p.req.class];
        let anywhere =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Keyed { across_groups: true, .. });
        if anywhere || (p.ran.is_none() && p.flying.is_none()) {
            let wait = aim / 2 + self.random.below(aim / 2);
            let retry_after = if self.cfg.retry_after { wait.min(self.cfg.max_retry_after) } else { 0 };
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.finish(id, out);
    }

    /// Drops a request that has had its answer and calls off what is still out for it.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(p) = self.requests.remove(&id)
            && self.cfg.cancel
        {
            out.extend(p.flying.map(|attempt| Action::Cancel { request: id, attempt }));
        }
    }

    fn on_outcome(&mut self, ended: AttemptResult, out: &mut Vec<Action>) {
        let AttemptResult {
            request: id,
            attempt,
            endpoint: server,
            outcome,
            elapsed,
            metadata,
            finished,
            report,
        } = ended;
        let Some(&s) = self.index.get(&server) else { return };
        let now = self.now;
        let mine = |o: &Out| o.request == id && o.attempt == attempt;
        let Some(at) = self.servers[s].out.iter().position(mine) else { return };
        let o = self.servers[s].out.swap_remove(at);
        let group_id = self.servers[s].group;
        let before = self.groups.get(&group_id).and_then(|g| g.primary);
        let need = self.cfg.classes[o.class].requirement;
        let silent = self.servers[s].last_answer < o.sent && o.sent >= self.stalled;
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::NotServable) {
            self.servers[s].last_answer = now;
            if outcome != Outcome::Error {
                self.heard(s);
            }
        }
        if let Some(role) = metadata.role {
            self.on_role(s, role, now);
        }
        if let Some(position) = metadata.position {
            self.on_position(s, position);
        }
        self.on_report(s, report);
        let gain = if self.servers[s].aside { TRIAL_GAIN } else { FAULT_GAIN };
        let (lost, base) = (self.cfg.classes[o.class].latency_objective / 2, self.base.unloaded(o.class));
        match outcome {
            Outcome::Ok => {
                self.served[o.class].record(now);
                self.took(s, o, elapsed, true);
                self.fault(s, 0.0, gain, "", out);
            }
            Outcome::Error => self.fault(s, 1.0, gain, ERRORS, out),
            Outcome::Reset | Outcome::ConnectFailed => {
                // Guards against taking a few broken connections for the end of the process.
                let v = &mut self.servers[s];
                v.broken_at = if v.broken_at == 0 { now } else { v.broken_at };
                let dead = v.listed != EndpointState::Ready || now > v.broken_at + DEAD_AFTER;
                v.down |= dead && outcome == Outcome::ConnectFailed;
                let gain = if v.down { TRIAL_GAIN } else { gain };
                self.fault(s, 1.0, gain, "no connection", out);
            }
            // Departure: a lost attempt tells of no wait. Guards against losses that pass for load.
            Outcome::TimedOut if o.sent + lost < self.servers[s].quick => self.fault(s, 1.0, gain, LOST, out),
            Outcome::TimedOut | Outcome::Full => {
                self.took(s, o, elapsed, false);
                if silent {
                    self.servers[s].down |= self.servers[s].listed == EndpointState::Removed;
                    self.fault(s, 1.0, gain, "no answer", out);
                }
            }
            Outcome::NotServable if need != Requirement::Write => {
                let wanted = match need {
                    Requirement::BoundedStaleness(bound) => o.sent.saturating_sub(bound),
                    _ => self.requests.get(&id).map_or(0, |p| p.need),
                };
                // Of a request that is over, nobody knows any more what it wanted.
                if wanted > 0 {
                    self.servers[s].replication.record_missing(wanted, now);
                }
            }
            Outcome::NotServable => {
                self.servers[s].replica_at = now;
                if let Some(g) = self.groups.get_mut(&group_id)
                    && g.primary == Some(s)
                {
                    (g.primary, g.primary_at) = (None, now);
                }
            }
            _ => {}
        }
        if let Some(p) = self.requests.get_mut(&id) {
            p.flying = None;
            let commit = outcome == Outcome::Ok && need == Requirement::Write && self.cfg.remember_commits;
            if commit && p.req.session != 0 {
                self.commits.insert(p.req.session, (group_id, metadata.position.unwrap_or(now)));
            }
            use Outcome::{ConnectFailed, Full, NeverSent, NotServable};
            if !matches!(outcome, Full | ConnectFailed | NeverSent | NotServable) {
                p.ran = Some(p.ran.unwrap_or(o.sent).min(o.sent));
            }
            if outcome != Outcome::Error || !matches!(need, Requirement::Write | Requirement::Latest) {
                p.tried.push(s);
            }
            // Guards against lost writes, which are not sent again, using up the retries of reads.
            let over = p.ran.is_some() && self.cfg.classes[o.class].idempotency == Idempotency::AtMostOnce;
            let usual = if outcome == Outcome::Full { 1.0 } else { (elapsed as f64 / base).min(1.0) };
            let cost = if over || matches!(outcome, NotServable | NeverSent) { 0.0 } else { usual };
            if finished {
                self.finish(id, out);
            } else if self.retries < cost {
                self.give_up(id, out);
            } else {
                self.retries -= cost;
                self.advance(id, out);
            }
        }
        let after = self.groups.get(&group_id).and_then(|g| g.primary);
        self.wake(Some(group_id), after.is_some() && after != before, out);
    }

    /// Learns from the time that an attempt took: limits, waits, and the class's unloaded time.
    fn took(&mut self, s: usize, Out { sent, class, .. }: Out, elapsed: Micros, answered: bool) {
        // Departure: what was out while this router stood still tells of the router, not of the member.
        if sent < self.stalled {
            return;
        }
        if answered {
            self.base.record(class, elapsed);
        }
        // No answer is a whole wait, however little time the client had left.
        let (base, aim) = (self.base.unloaded(class), self.cfg.classes[class].latency_objective as f64);
        let wait = if answered { ((elapsed as f64 - base) / aim).clamp(0.0, 1.0) } else { 1.0 };
        let part = self.part(s);
        if let Some(g) = self.groups.get_mut(&self.servers[s].group) {
            g.wait[part].record(wait, self.wait[part], self.now);
        }
        self.wait[part].record(wait);
        let v = &mut self.servers[s];
        v.quick = if wait == 0.0 { v.quick.max(sent) } else { v.quick };
        v.press.record(wait);
        if v.press.share() > PRESSED && wait > 0.0 {
            v.limit = (v.limit * (1.0 - LIMIT_CUT)).max(LIMIT_LEAST);
        } else if v.press.share() < PRESSED && v.out.len() as f64 + 1.0 >= v.limit * ROOM_CHEAP {
            v.limit = (v.limit + LIMIT_GAIN * v.limit.min(1.0 / v.limit)).min(LIMIT_MOST);
        }
    }

    /// Tries held requests again, at once where the primary has just been found.
    fn wake(&mut self, group: Option<GroupId>, found: bool, out: &mut Vec<Action>) {
        let due = |p: &Pending| p.held.is_some_and(|at| found || at <= self.now);
        let held = self.requests.iter().filter(|(_, p)| due(p) && group.is_none_or(|g| p.req.group == g));
        for id in held.map(|(id, _)| *id).collect::<Vec<_>>() {
            let p = self.requests.get_mut(&id).expect("just listed");
            (p.tried, p.missed) = (Vec::new(), 0);
            p.again_at = if found { 0 } else { p.again_at };
            self.advance(id, out);
        }
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { token: TICK, after: self.tick_span() });
        self.tick_due = self.now + self.tick_span();
        self.wake(None, false, out);
        self.probe(out);
        if self.commits.len() > COMMITS_KEPT {
            let (groups, servers) = (&self.groups, &self.servers);
            self.commits.retain(|_, (g, at)| {
                groups[g].members.iter().any(|s| servers[*s].replication.known_position() < *at)
            });
        }
    }

    fn probe(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let rate = self.rate.at(now);
        let usual = (self.servers.len() as f64 / (PROBE_SHARE * rate).max(0.001) * 1e6) as Micros;
        let all = if self.cfg.probes { self.servers.len() } else { 0 };
        for s in 0..all {
            let v = &self.servers[s];
            let bound = v.drained || !v.vouched || !self.cfg.removed_endpoints_usable;
            if v.probing || now < v.probe_at || (v.listed != EndpointState::Ready && bound) {
                continue;
            }
            let group = &self.groups[&v.group];
            // So does one that the list names. Guards against all that have just started probing in a hurry.
            let led = self.leads(group).is_some_and(|p| self.well(p));
            let hurry = if led && !v.down { 1 } else { PROBE_HURRY };
            let span = (usual / hurry).max(PROBE_MIN / hurry);
            if hurry == 1 && now < v.replication.observed_at() + span {
                continue; // Answers have told the same lately.
            }
            self.servers[s].probe_at = now + span - span / 8 + self.random.below(span / 4);
            self.ask(s, out);
        }
    }

    fn ask(&mut self, s: usize, out: &mut Vec<Action>) {
        let v = &mut self.servers[s];
        out.extend((!v.probing).then_some(Action::Probe(v.id)));
        v.probing = true;
    }
}
