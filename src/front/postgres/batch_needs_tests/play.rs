//! One play: clients with batches, a front, a router, and members that fall behind, fail and change roles.

use super::super::test_front::{TestFront, bind, config, execute, message, parse, served};
use super::draws::draw_settings;
use super::model::{Executed, Member};
use crate::client::{BatchEnd, ClientId};
use crate::core::{FinalAnswer, NewRequest};
use crate::exchange::{MemberRequest, MemberResponse};
use crate::pg::message_tags::backend;
use crate::random::RandomSource;
use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod batches;

const MS: Micros = 1000;
const START: Micros = 1_000_000 * MS;
const CLIENTS: u64 = 3;
const SESSIONS: u64 = 4;
const REPLICAS: usize = 3;
const MAX_STATEMENTS: u64 = 5;
/// Room for the commits of all sessions, or for fewer than there are sessions.
const COMMIT_BYTES: [usize; 2] = [1 << 16, 200];
const UNKNOWN_SESSION: &str = "?";
/// The longest wait that the router may allow a read with a need of freshness for its connection to the
/// primary.
const PRIMARY_START_LIMIT: Micros = 100 * MS;

/// A fault that is planted between the front and the router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plant {
    Nothing,
    /// The needs of one kind are dropped.
    Drop(Need),
    /// Of two bounds, the shorter is dropped.
    DropShorterBound,
    /// Of two sessions that a batch reads, the one with the later commit is dropped.
    DropLaterCommit,
}

/// A kind of need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    Bound,
    OwnWrites,
    Present,
    Executions,
}

/// A batch without a final answer.
#[derive(Default)]
struct Batch {
    client: ClientId,
    executed: Vec<Executed>,
    /// The sessions that the batch writes for.
    written: Vec<String>,
    parsed: Vec<String>,
    deadline: Micros,
    attempts: u32,
    first_run_at: Option<Micros>,
}

struct Attempt {
    request: RequestId,
    number: u32,
    member: usize,
    sent_at: Micros,
    ends_at: Micros,
    outcome: Outcome,
}

#[derive(Default)]
struct Client {
    is_busy: bool,
    prepared: BTreeSet<String>,
    /// The portals that were bound before a Flush.
    flushed: Vec<Portal>,
}

struct Portal {
    name: String,
    class: usize,
    /// The session that its parameter names; empty for none.
    session: String,
}

pub struct Play {
    plant: Plant,
    now: Micros,
    random: RandomSource,
    settings: Settings,
    /// No member fails or changes its role, so that every batch has to be served.
    is_calm: bool,
    keeps_few_commits: bool,
    front: TestFront,
    router: Router,
    clients: BTreeMap<ClientId, Client>,
    members: Vec<Member>,
    lags: Vec<Micros>,
    timers: BTreeMap<u32, Micros>,
    probes: Vec<(Micros, usize)>,
    attempts: Vec<Attempt>,
    batches: BTreeMap<RequestId, Batch>,
    /// The batch that a client has just sent.
    sent: Option<Batch>,
    commits: BTreeMap<String, Micros>,
    pub served: usize,
    pub violations: Vec<String>,
}

impl Play {
    pub fn new(seed: u64, plant: Plant) -> Play {
        let mut random = RandomSource::new(seed);
        let settings = draw_settings(&mut random);
        let few = random.below(3) == 0;
        let commit_bytes = COMMIT_BYTES[usize::from(few)];
        let front = TestFront::new(config("c0", "c0"), settings.clone(), commit_bytes, 1 << 20, START);
        let replica = || Member {
            role: Role::Replica,
            position: 0,
            reported: 0,
            passes_for_primary: false,
            has_told_primary: false,
        };
        let mut members: Vec<_> = (0..=REPLICAS).map(|_| replica()).collect();
        (members[0].role, members[0].passes_for_primary) = (Role::Primary, true);
        let mut play = Play {
            plant,
            now: START,
            router: Router::new(settings.clone(), seed, START),
            is_calm: random.below(2) == 0,
            keeps_few_commits: few,
            front,
            clients: (1..=CLIENTS).map(|id| (id, Client::default())).collect(),
            lags: (0..=REPLICAS).map(|_| 5 * MS + random.below(3000) * MS).collect(),
            members,
            random,
            settings,
            timers: BTreeMap::new(),
            probes: Vec::new(),
            attempts: Vec::new(),
            batches: BTreeMap::new(),
            sent: None,
            commits: BTreeMap::new(),
            served: 0,
            violations: Vec::new(),
        };
        play.begin();
        play
    }

    fn begin(&mut self) {
        let endpoint = |index: usize| EndpointEntry {
            endpoint: endpoint_id(index),
            group: 0,
            zone: 0,
            state: EndpointState::Ready,
            primary_hint: false,
            started_at: 0,
        };
        let endpoints = (0..=REPLICAS).map(endpoint).collect();
        self.notify(Event::EndpointUpdate { complete: true, endpoints });
        self.apply_log();
        (0..=REPLICAS).for_each(|member| self.report(member));
        (1..=CLIENTS).for_each(|client| self.front.connect(client));
    }

    pub fn step(&mut self) {
        self.now += 1 + self.random.below(20 * MS);
        self.apply_log();
        self.change_members();
        let due = |at: &Micros| *at <= self.now;
        let timers: Vec<_> = self.timers.iter().filter(|(_, at)| due(at)).map(|(token, _)| *token).collect();
        for token in timers {
            self.timers.remove(&token);
            self.notify(Event::TimerFired(token));
        }
        while let Some(index) = self.probes.iter().position(|(at, _)| *at <= self.now) {
            let (_, member) = self.probes.swap_remove(index);
            self.report(member);
        }
        while let Some(index) = self.attempts.iter().position(|attempt| attempt.ends_at <= self.now) {
            let attempt = self.attempts.swap_remove(index);
            self.end_attempt(attempt);
        }
        let client = 1 + self.random.below(CLIENTS);
        if !self.clients[&client].is_busy {
            self.send_batch(client);
        }
    }

    /// Replicas apply the log up to their lag; positions never decrease.
    fn apply_log(&mut self) {
        for (member, lag) in self.members.iter_mut().zip(&self.lags) {
            let lag = if member.role == Role::Primary { 0 } else { *lag };
            member.position = member.position.max(self.now - lag);
        }
    }

    fn change_members(&mut self) {
        let member = self.random.below(self.members.len() as u64) as usize;
        match self.random.below(40) {
            0 | 1 => self.lags[member] = 5 * MS + self.random.below(5000) * MS,
            2 => self.lags.fill(5 * MS),
            3 if !self.is_calm && self.random.below(4) == 0 => {
                let now = self.now;
                self.members.iter_mut().for_each(|member| member.role = Role::Replica);
                let primary = &mut self.members[member];
                (primary.role, primary.position, primary.passes_for_primary) = (Role::Primary, now, true);
            }
            _ => {}
        }
    }

    /// A member answers a probe.
    fn report(&mut self, index: usize) {
        let report = self.told(index);
        let report = LoadReport { role: report.role, position: report.position };
        self.notify(Event::ProbeEnded { endpoint: endpoint_id(index), answered: true, report });
    }

    /// What a member reports, of which the router knows from now on.
    fn told(&mut self, index: usize) -> ResponseMetadata {
        let member = &mut self.members[index];
        member.reported = member.position;
        let is_primary = member.role == Role::Primary;
        let metadata = ResponseMetadata { role: Some(member.role), position: Some(member.position) };
        if is_primary {
            self.members.iter_mut().for_each(|member| {
                (member.passes_for_primary, member.has_told_primary) = (false, false);
            });
        }
        let member = &mut self.members[index];
        (member.passes_for_primary, member.has_told_primary) = (is_primary, is_primary);
        metadata
    }

    fn notify(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.router.handle(self.now, event, &mut actions);
            actions.into_iter().for_each(|action| events.extend(self.perform(action)));
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { request, endpoint, timeout, start_within } => {
                let member = endpoint.0 as usize - 1;
                self.judge_send(request, member, start_within);
                self.start_attempt(request, member, timeout);
            }
            Action::Reject { request, .. } => self.refuse(request, true),
            Action::Fail { request, .. } => self.refuse(request, false),
            Action::Probe(endpoint) => {
                let at = self.now + self.random.below(30 * MS);
                self.probes.push((at, endpoint.0 as usize - 1));
            }
            Action::SetTimer { token, after } => drop(self.timers.insert(token, self.now + after)),
            Action::Cancel { request, attempt } => {
                let is_it = |other: &Attempt| other.request == request && other.number == attempt;
                let index = self.attempts.iter().position(is_it)?;
                let cancelled = self.attempts.swap_remove(index);
                return Some(ended(&cancelled, Outcome::Cancelled, ResponseMetadata::default(), self.now));
            }
            _ => {}
        }
        None
    }

    fn start_attempt(&mut self, request: RequestId, member: usize, timeout: Micros) {
        use Outcome::{ConnectFailed, LocalError, NeverSent, Ok, RejectedByMember, Reset, TimedOut};
        let Some(batch) = self.batches.get_mut(&request) else { return };
        let number = batch.attempts;
        batch.attempts += 1;
        let faults = [ConnectFailed, LocalError, NeverSent, RejectedByMember, Reset, TimedOut];
        let fails = !self.is_calm && self.random.below(4) == 0;
        let outcome = if fails { faults[self.random.below(6) as usize] } else { Ok };
        let takes = if self.is_calm { 2 * MS } else { self.random.below(40 * MS) };
        let takes = if outcome == TimedOut { timeout } else { takes.min(timeout) };
        let (sent_at, ends_at) = (self.now, self.now + takes);
        self.attempts.push(Attempt { request, number, member, sent_at, ends_at, outcome });
    }

    fn violation(&mut self, request: RequestId, text: &str) {
        let now = self.now - START;
        self.violations.push(format!("at {now}: request {request}: {text}"));
    }

    fn judge_send(&mut self, request: RequestId, member: usize, start_within: Micros) {
        let Some(batch) = self.batches.get(&request) else {
            return self.violation(request, "sent after its answer");
        };
        let (now, to) = (self.now, &self.members[member]);
        let executed = &batch.executed;
        let writes = executed.iter().any(|executed| executed.class.requirement == Requirement::Write);
        let is_search = writes && !to.passes_for_primary;
        let starts_by = now.saturating_add(start_within.min(batch.deadline.saturating_sub(now)));
        let is_excluded = |executed: &Executed| !executed.may_be_answered_by(to, starts_by, &self.settings);
        let needs_freshness = |executed: &Executed| {
            !matches!(executed.class.requirement, Requirement::Any | Requirement::Write)
        };
        let is_late_start = self.settings.endpoints_serve_stale()
            && to.has_told_primary
            && !writes
            && start_within > PRIMARY_START_LIMIT
            && executed.iter().any(|executed| {
                needs_freshness(executed) && executed.class.requirement != Requirement::ReadYourWrites
            });
        let first_run = batch.first_run_at;
        let is_repeat = first_run
            .is_some_and(|first| executed.iter().any(|executed| !executed.may_run_again(first, now)));
        let is_first = batch.attempts == 0;
        let is_needless =
            self.is_calm && is_first && to.passes_for_primary && self.has_qualified_replica(batch);
        // Members reject writes that they can't take, and with the write all that came with it.
        if !is_search && executed.iter().any(is_excluded) {
            let text = format!("sent to member {member}, which may lack what a statement must see");
            self.violation(request, &text);
        } else if now >= self.batches[&request].deadline {
            self.violation(request, "sent after the deadline of a statement");
        } else if is_repeat {
            self.violation(request, "a statement is executed again that must not be");
        } else if is_late_start {
            self.violation(request, "may start at the primary when that may have stepped down");
        } else if is_needless {
            self.violation(request, "sent to the primary though a replica is known to be fresh enough");
        } else if self.is_calm && is_search {
            self.violation(request, "sent to a replica though a statement needs the primary, which is known");
        }
    }

    fn has_qualified_replica(&self, batch: &Batch) -> bool {
        let qualifies = |member: &&Member| {
            member.role == Role::Replica
                && batch.executed.iter().all(|executed| executed.can_be_answered_by(member, self.now))
        };
        self.members.iter().any(|member| qualifies(&member))
    }

    fn refuse(&mut self, request: RequestId, as_rejected: bool) {
        let Some(batch) = self.batches.get(&request) else { return };
        let is_repeatable = |executed: &Executed| executed.class.idempotency.is_repeatable_anywhere();
        if as_rejected && batch.first_run_at.is_some() && !batch.executed.iter().all(is_repeatable) {
            self.violation(request, "rejected though a statement may have run that must not run again");
        }
        if self.is_calm {
            self.violation(request, "refused though all members are up");
        }
        let answer = match as_rejected {
            true => FinalAnswer::Rejected { retry_after: 0 },
            false => FinalAnswer::Failed { maybe_executed: true },
        };
        self.answer(request, answer);
    }

    fn end_attempt(&mut self, attempt: Attempt) {
        let Attempt { request, member, sent_at, mut outcome, .. } = attempt;
        let Some(batch) = self.batches.get(&request) else {
            let event = ended(&attempt, outcome, ResponseMetadata::default(), self.now);
            return self.notify(event);
        };
        let (writes, is_primary) = (!batch.written.is_empty(), self.members[member].role == Role::Primary);
        let lacks = |executed: &Executed| {
            let checks = !self.settings.endpoints_serve_stale();
            checks && !is_primary && !executed.holds_at(self.members[member].position, sent_at)
        };
        let writes = writes || batch.executed.iter().any(|one| one.class.requirement == Requirement::Write);
        if outcome == Outcome::Ok && ((writes && !is_primary) || batch.executed.iter().any(lacks)) {
            outcome = Outcome::NotServable;
        }
        if outcome.may_have_run() {
            let batch = self.batches.get_mut(&request).unwrap();
            batch.first_run_at = Some(batch.first_run_at.map_or(sent_at, |first| first.min(sent_at)));
        }
        let answers = matches!(outcome, Outcome::Ok | Outcome::NotServable);
        let metadata = if answers { self.told(member) } else { ResponseMetadata::default() };
        self.notify(ended(&attempt, outcome, metadata, self.now));
        if outcome == Outcome::Ok {
            self.serve(request, metadata.position);
        }
    }

    fn serve(&mut self, request: RequestId, position: Option<Micros>) {
        let Some(batch) = self.batches.get(&request) else { return };
        for session in &batch.written {
            let commit = self.commits.entry(session.clone()).or_default();
            *commit = (*commit).max(position.unwrap_or(0));
        }
        self.served += 1;
        self.answer(request, served(message(backend::DATA_ROW, b""), position));
    }

    fn answer(&mut self, request: RequestId, answer: FinalAnswer<MemberResponse>) {
        let Some(batch) = self.batches.remove(&request) else { return };
        let client = self.clients.get_mut(&batch.client).unwrap();
        client.is_busy = false;
        if !matches!(answer, FinalAnswer::Served(_)) {
            client.prepared.retain(|name| !batch.parsed.contains(name));
            client.flushed.clear();
        }
        self.now += 1;
        let started = self.front.answer(self.now, request, answer);
        self.start(started);
    }

    /// Passes the request that the front has made of a batch to the router.
    fn start(&mut self, started: Vec<NewRequest<MemberRequest>>) {
        for NewRequest { mut request, .. } in started {
            self.plant_fault(&mut request);
            let batch = self.sent.take().expect("one request for each batch");
            let id = request.id;
            let is_served_by_replica = self.has_qualified_replica(&batch);
            self.batches.insert(id, batch);
            self.notify(Event::Request(request));
            let waits = self.batches.get(&id).is_some_and(|batch| batch.attempts == 0);
            if self.is_calm && waits && is_served_by_replica {
                self.violation(id, "waits though a replica is known to be fresh enough");
            }
        }
    }

    /// Drops the statements whose needs the planted fault loses.
    fn plant_fault(&self, request: &mut Request) {
        let classes = &self.settings.classes;
        let bound_of = |statement: &ExecutedStatement| match classes[statement.class].requirement {
            Requirement::BoundedStaleness(bound) => Some(bound),
            _ => None,
        };
        let statements = &mut request.statements;
        match self.plant {
            Plant::Nothing => {}
            Plant::Drop(need) => statements.retain(|statement| {
                let Class { requirement, idempotency, .. } = classes[statement.class];
                !match need {
                    Need::Bound => bound_of(statement).is_some(),
                    Need::OwnWrites => requirement == Requirement::ReadYourWrites,
                    Need::Present => requirement == Requirement::Latest,
                    Need::Executions => idempotency != Idempotency::Idempotent,
                }
            }),
            Plant::DropShorterBound => {
                let longest = statements.iter().filter_map(bound_of).max();
                statements.retain(|statement| bound_of(statement).is_none_or(|bound| Some(bound) == longest));
            }
            Plant::DropLaterCommit => {
                let first = statements.iter().map(|statement| statement.min_position).min().flatten();
                statements.iter_mut().for_each(|statement| statement.min_position = first);
            }
        }
    }
}

fn endpoint_id(index: usize) -> EndpointId {
    EndpointId(index as u64 + 1)
}

fn ended(attempt: &Attempt, outcome: Outcome, metadata: ResponseMetadata, now: Micros) -> Event {
    Event::AttemptEnded(AttemptResult {
        request: attempt.request,
        attempt: attempt.number,
        endpoint: endpoint_id(attempt.member),
        outcome,
        elapsed: now - attempt.sent_at,
        metadata,
        finished: outcome == Outcome::Ok,
        report: LoadReport::default(),
    })
}
