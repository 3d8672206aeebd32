//! The reducer: `(state, now, input) -> effects`. It owns the [`Router`], the table of requests, the
//! timers and deadlines, and the books of the pool of links. It speaks of requests, attempts and outcomes
//! and knows no wire: what a request asks (`W`) and what an answer holds (`A`) pass through it unopened.

mod counters;
mod messages;
mod pool;
#[cfg(test)]
mod tests;
mod timers;

pub use counters::Counters;
pub use messages::{Effect, FinalAnswer, Input, JobId, JobResult, JobSpec, ListedMember, NewRequest};
pub use pool::ConnectionId;

use crate::{
    Action, AttemptResult, EndpointId, EndpointState, Event, Idempotency, LoadReport, Micros, Outcome,
    RequestId, ResponseMetadata, Router, Settings,
};
use counters::MemberCounts;
use pool::{CheckIn, Checkout, Pool};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use timers::{TimerEvent, Timers};

/// Answers leave this long before the client's deadline, so that they arrive before it.
const MARGIN: Micros = 5_000;
/// The guard behind the module's own deadlines comes this much later.
const GUARD: Micros = 3_000;
/// Positions may be this far ahead: commits are rounded up, and clocks are read at different moments.
const AHEAD: Micros = 250_000;
/// A probe that has told nothing by then has failed.
const PROBE_WAIT: Micros = 250_000;
/// A link that broke this soon after it was used again had been dropped on the way; then all that were idle
/// are in doubt for a while.
const AT_ONCE: Micros = 10_000;
const DOUBT: Micros = 10_000_000;
/// A link that was idle this long is checked before a write that must not run twice.
const OLD: Micros = 1_000_000;
/// Between two looks for idle links that are old.
const SWEEP: Micros = 1_000_000;
/// Idle links are retired at this percentage of the time after which a member closes them. Guards against
/// opening anew for each request where a proxy needs a member every ten seconds or so: an opening costs the
/// member's work and the request's time. What is left must hold a sweep and a slow proxy.
const IDLE_KEPT: Micros = 80;

enum Purpose {
    Attempt { request: RequestId, attempt: u32 },
    Probe,
}

struct Running {
    link: ConnectionId,
    /// The link was idle before.
    reused: bool,
    server: EndpointId,
    sent: Micros,
    purpose: Purpose,
    /// It is being abandoned, for this reason.
    dropping: Option<Outcome>,
}

impl Running {
    /// It is an attempt for this request.
    fn serves(&self, id: RequestId) -> bool {
        matches!(self.purpose, Purpose::Attempt { request, .. } if request == id)
    }
}

struct Held<W> {
    class: usize,
    work: Arc<W>,
    deadline: Micros,
    attempts: u32,
    safe: bool,
    /// It must run at most once.
    once: bool,
    /// Repeats are dropped for so long.
    window: Option<Micros>,
    /// When the first attempt that may have run was sent.
    ran: Option<Micros>,
}

/// All state of the proxy's decisions, and the only place where it changes.
pub struct Core<W, A> {
    settings: Settings,
    router: Router,
    requests: BTreeMap<RequestId, Held<W>>,
    jobs: BTreeMap<JobId, Running>,
    last_job: JobId,
    pool: Pool,
    timers: Timers,
    /// The proxy ends then.
    end: Micros,
    /// Until then, every idle link is checked before it is used.
    doubt: Micros,
    counters: Counters,
    effects: Vec<Effect<W, A>>,
}

impl<W, A> Core<W, A> {
    /// A core that knows no member yet; `links` is how many links it may hold.
    pub fn new(settings: Settings, seed: u64, now: Micros, links: usize) -> Self {
        let mut timers = Timers::default();
        timers.set(now + SWEEP, TimerEvent::EvictIdle);
        let counters = Counters::new(settings.classes.len());
        Core {
            counters,
            router: Router::new(settings.clone(), seed, now),
            settings,
            requests: BTreeMap::new(),
            jobs: BTreeMap::new(),
            last_job: 0,
            pool: Pool::new(links),
            timers,
            end: Micros::MAX,
            doubt: 0,
            effects: Vec::new(),
        }
    }

    /// When [`Input::TimerDue`] is wanted next.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.next_due_at()
    }

    /// Requests that are owed an answer.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// The counters. They always add up: every request received is pending, answered or abandoned.
    pub fn counters(&self) -> Counters {
        let (listed, unavailable) = self.router.members();
        Counters {
            pending: self.requests.len(),
            members: MemberCounts { listed, unavailable },
            ..self.counters.clone()
        }
    }

    /// Takes one input and returns what is to be done about it, in order.
    pub fn step(&mut self, now: Micros, input: Input<W, A>) -> Vec<Effect<W, A>> {
        match input {
            Input::RequestReceived(arrival) => self.arrived(now, arrival),
            Input::ClientDisconnected(request) => {
                if self.requests.remove(&request).is_some() {
                    self.counters.abandoned += 1;
                    self.tell(now, Event::ClientLeft(request));
                    self.recall(|_, r| r.serves(request));
                }
            }
            Input::EndpointUpdate { full, members } => {
                let to_close = self.pool.apply_endpoint_update(now, full, &members);
                self.effects.extend(to_close.into_iter().map(Effect::CloseConnection));
                let (mut out, mut stay) = (BTreeSet::new(), BTreeSet::new());
                for ListedMember { entry: m, .. } in &members {
                    let _ =
                        if m.listed == EndpointState::Ready { &mut stay } else { &mut out }.insert(m.server);
                }
                let members = members.into_iter().map(|member| member.entry).collect();
                self.tell(now, Event::EndpointUpdate { full, members });
                self.recall(|_, r| out.contains(&r.server) || (full && !stay.contains(&r.server)));
            }
            Input::JobFinished { connection: link, job, result: ending, reusable: open } => {
                self.free(now, link, open);
                self.settle(now, job, ending);
            }
            Input::AttemptWritten => self.counters.attempts_written += 1,
            Input::ConnectionIdle(link) => self.free(now, link, true),
            Input::StaleConnectionFound => self.doubt = now + DOUBT,
            Input::ConnectionClosed(link) => {
                self.pool.remove(link);
                // Guards against a link that ends without a word: nobody knows how far its job came.
                let orphans = self.jobs.iter().filter(|(_, r)| r.link == link);
                for job in orphans.map(|(job, _)| *job).collect::<Vec<_>>() {
                    self.settle(now, job, JobResult::from_outcome(Outcome::Reset));
                }
            }
            Input::ShutdownRequested { deadline: by } => {
                self.end = by;
                for held in self.requests.values_mut() {
                    held.deadline = held.deadline.min(by);
                }
                let late = self.requests.iter().filter(|(_, held)| held.deadline == by);
                late.for_each(|(id, _)| self.timers.set(by, TimerEvent::RequestDeadline(*id)));
            }
            Input::JobCancelled { job, maybe_sent: sent, reusable: open } => {
                self.abandoned(now, job, sent, open)
            }
            Input::TimerDue => self.due_now(now),
        }
        std::mem::take(&mut self.effects)
    }

    fn free(&mut self, now: Micros, link: ConnectionId, open: bool) {
        if open && self.pool.check_in(link, now) == CheckIn::Close {
            self.effects.push(Effect::CloseConnection(link));
        }
    }

    /// Withdraws the attempts among these that have not begun. Guards against one that waits for its link to
    /// come up, or to be checked, and begins when its client has gone or its member has been told to drain.
    fn recall(&mut self, which: impl Fn(JobId, &Running) -> bool) {
        let waits = |r: &Running| matches!(r.purpose, Purpose::Attempt { .. }) && r.dropping.is_none();
        let jobs = self.jobs.iter().filter(|(job, r)| waits(r) && which(**job, r));
        self.effects.extend(jobs.map(|(job, r)| Effect::CancelUnsentJob { connection: r.link, job: *job }));
    }

    fn due_now(&mut self, now: Micros) {
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Router(token) => self.tell(now, Event::Timer(token)),
                TimerEvent::JobTimeout(job) => self.abandon(job, Outcome::TimedOut),
                // It must have begun: what it rests on holds no more.
                TimerEvent::StartLimit(job) => self.recall(|id, _| id == job),
                TimerEvent::RequestDeadline(request) => self.overdue(now, request),
                TimerEvent::EvictIdle => {
                    self.timers.set(now + SWEEP, TimerEvent::EvictIdle);
                    let old = now.saturating_sub(self.settings.idle_timeout * IDLE_KEPT / 100);
                    let to_close = self.pool.evict_idle_since(old);
                    self.effects.extend(to_close.into_iter().map(Effect::CloseConnection));
                }
            }
        }
    }

    fn arrived(&mut self, now: Micros, NewRequest { mut request, work }: NewRequest<W>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class) else {
            self.effects
                .push(Effect::Answer { request: id, answer: FinalAnswer::Failed { maybe_executed: false } });
            return;
        };
        self.counters.received += 1;
        if self.requests.len() >= self.settings.max_pending {
            return self.answer(id, request.class, FinalAnswer::Rejected { retry_after: 0 });
        }
        let (safe, once) =
            (class.idempotency == Idempotency::Idempotent, class.idempotency == Idempotency::AtMostOnce);
        let window =
            if let Idempotency::Keyed { window, .. } = class.idempotency { Some(window) } else { None };
        request.remaining = request.remaining.saturating_sub(MARGIN).min(self.end.saturating_sub(now));
        // It waited for earlier commands of its connection until its time was over: nothing is begun for it.
        if request.remaining == 0 {
            return self.answer(id, request.class, FinalAnswer::Rejected { retry_after: 0 });
        }
        request.remaining = request.remaining.max(1_000);
        let deadline = now + request.remaining;
        let class = request.class;
        let held = Held { class, work, deadline, attempts: 0, safe, once, window, ran: None };
        self.requests.insert(id, held);
        self.timers.set(deadline + GUARD, TimerEvent::RequestDeadline(id));
        self.tell(now, Event::Request(request));
    }

    /// Guards against a request that the module still holds at its deadline: the client is owed its answer.
    fn overdue(&mut self, now: Micros, id: RequestId) {
        let Some(held) = self.requests.remove(&id) else { return };
        let out = self.jobs.values().any(|r| r.serves(id));
        let ran = held.ran.is_some() || out;
        let harmless = held.safe || !ran;
        let verdict = if harmless {
            FinalAnswer::Rejected { retry_after: 0 }
        } else {
            FinalAnswer::Failed { maybe_executed: ran }
        };
        self.effects.push(Effect::Log(format!("request {id} was held past its deadline")));
        self.answer(id, held.class, verdict);
        self.tell(now, Event::ClientLeft(id));
        self.recall(|_, r| r.serves(id));
    }

    /// The one place where a final answer is given and counted.
    fn answer(&mut self, request: RequestId, class: usize, verdict: FinalAnswer<A>) {
        self.counters.answers[class].count(&verdict);
        self.effects.push(Effect::Answer { request, answer: verdict });
    }

    /// Tells the module, and carries out what it asks for.
    fn tell(&mut self, now: Micros, event: Event) {
        let mut todo = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = todo.pop_front() {
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { request, server, timeout, within } => {
                        todo.extend(self.send(now, request, server, timeout, within));
                    }
                    Action::Reject { request, retry_after } => {
                        if let Some(held) = self.requests.remove(&request) {
                            self.answer(request, held.class, FinalAnswer::Rejected { retry_after });
                        }
                    }
                    Action::Fail(request) => {
                        if let Some(held) = self.requests.remove(&request) {
                            self.answer(
                                request,
                                held.class,
                                FinalAnswer::Failed { maybe_executed: held.ran.is_some() },
                            );
                        }
                    }
                    Action::Cancel { request, attempt } => {
                        let wanted = |p: &Purpose| match p {
                            Purpose::Attempt { request: r, attempt: a } => (*r, *a) == (request, attempt),
                            Purpose::Probe => false,
                        };
                        let job = self.jobs.iter().find(|(_, r)| wanted(&r.purpose)).map(|(job, _)| *job);
                        job.into_iter().for_each(|job| self.abandon(job, Outcome::Cancelled));
                    }
                    Action::Probe(server) => {
                        if !self.start(now, server, Purpose::Probe, PROBE_WAIT, |_| JobSpec::Probe) {
                            todo.push_back(Event::Probed {
                                server,
                                answered: false,
                                report: LoadReport::default(),
                            });
                        }
                    }
                    Action::Timer { token, after } => self.timers.set(now + after, TimerEvent::Router(token)),
                    Action::Subscribe => {}
                    Action::Log(text) => self.effects.push(Effect::Log(text)),
                }
            }
        }
    }

    /// Starts an attempt, or returns the event that says why it was not sent.
    fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        server: EndpointId,
        timeout: Micros,
        within: Micros,
    ) -> Option<Event> {
        let held = self.requests.get_mut(&request)?;
        let attempt = held.attempts;
        held.attempts += 1;
        let allowed = timeout.min(held.deadline.saturating_sub(now)).max(1_000);
        let work = held.work.clone();
        // Guards against a second effect, whatever the module asks for.
        let (barred, once, doubt) = (held.ran.is_some() && held.once, held.once, self.doubt);
        // Guards against a repeat that waits for its connection until its window is over.
        let window = held.ran.zip(held.window).map(|(ran, window)| (ran + window).saturating_sub(now));
        let within = within.min(window.unwrap_or(Micros::MAX));
        if !barred && attempt < self.settings.max_attempts {
            let purpose = Purpose::Attempt { request, attempt };
            if self.start(now, server, purpose, allowed, |idle| {
                // Guards against a connection that was dropped on the way while it was idle: what is written
                // to it first is lost, and a write would count as one that may have run.
                let old = if once { OLD } else { Micros::MAX };
                let check = idle.is_some_and(|since| now < doubt || now.saturating_sub(since) >= old);
                JobSpec::Attempt { work, timeout: allowed, start_within: within, verify_connection: check }
            }) {
                if within < allowed {
                    self.timers.set(now.saturating_add(within), TimerEvent::StartLimit(self.last_job));
                }
                return None;
            }
        }
        Some(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            server,
            outcome: Outcome::NeverSent,
            elapsed: 0,
            metadata: ResponseMetadata::default(),
            finished: false,
            report: LoadReport::default(),
        }))
    }

    /// Starts a job, made for a link that was idle since then, if it was.
    fn start(
        &mut self,
        now: Micros,
        server: EndpointId,
        purpose: Purpose,
        wait: Micros,
        what: impl FnOnce(Option<Micros>) -> JobSpec<W>,
    ) -> bool {
        let (link, idle_since) = match self.pool.check_out(server) {
            Checkout::Unavailable => return false,
            Checkout::Reused { connection, idle_since } => (connection, Some(idle_since)),
            Checkout::New { connection, address, evicted } => {
                self.effects.extend(evicted.map(Effect::CloseConnection));
                self.effects.push(Effect::OpenConnection { connection, address });
                (connection, None)
            }
        };
        let (what, reused) = (what(idle_since), idle_since.is_some());
        self.last_job += 1;
        let job = self.last_job;
        self.jobs.insert(job, Running { link, reused, server, sent: now, purpose, dropping: None });
        self.timers.set(now + wait, TimerEvent::JobTimeout(job));
        self.effects.push(Effect::StartJob { connection: link, job, spec: what });
        true
    }

    fn abandon(&mut self, job: JobId, why: Outcome) {
        if let Some(running) = self.jobs.get_mut(&job)
            && running.dropping.is_none()
        {
            running.dropping = Some(why);
            self.effects.push(Effect::CancelJob { connection: running.link, job });
        }
    }

    fn abandoned(&mut self, now: Micros, job: JobId, sent: bool, open: bool) {
        let Some(running) = self.jobs.get(&job) else { return };
        let why = running.dropping.unwrap_or(Outcome::Cancelled);
        if !open {
            self.pool.mark_broken(running.link);
        }
        // What was not handed to the kernel in its time was never sent; a member that let a connection hang
        // before that is one that could not be reached.
        let outcome = match why {
            Outcome::TimedOut if !sent && !open => Outcome::ConnectFailed,
            _ if !sent => Outcome::NeverSent,
            _ => why,
        };
        self.settle(now, job, JobResult::from_outcome(outcome));
    }

    fn settle(&mut self, now: Micros, job: JobId, ending: JobResult<A>) {
        let Some(Running { server, sent, purpose, reused, .. }) = self.jobs.remove(&job) else { return };
        let JobResult { outcome, mut metadata, mut report, answer } = ending;
        // Guards against a position that no member can have yet: it would pass for fresh for ever.
        let known = |position: &Micros| *position <= now + AHEAD;
        (metadata.position, report.position) =
            (metadata.position.filter(known), report.position.filter(known));
        let Purpose::Attempt { request, attempt } = purpose else {
            let answered = outcome == Outcome::Ok;
            return self.tell(now, Event::Probed { server, answered, report });
        };
        if let Some(held) = self.requests.get_mut(&request) {
            use Outcome::{ConnectFailed, Full, NeverSent, NotServable};
            if !matches!(outcome, ConnectFailed | Full | NotServable | NeverSent) {
                held.ran = Some(held.ran.unwrap_or(sent).min(sent));
            }
            // An answer that tells nothing of the member is the statement's own error.
            if matches!(outcome, Outcome::Ok | NeverSent)
                && let Some(answer) = answer
            {
                let class = held.class;
                self.requests.remove(&request);
                self.answer(request, class, FinalAnswer::Served(answer));
            }
        }
        let finished = !self.requests.contains_key(&request);
        let elapsed = now.saturating_sub(sent);
        if outcome == Outcome::Reset && reused && elapsed < AT_ONCE {
            self.doubt = now + DOUBT;
        }
        let ended = AttemptResult { request, attempt, server, outcome, elapsed, metadata, finished, report };
        self.tell(now, Event::AttemptEnded(ended));
    }
}
