//! The commits that reads must see, whatever answers arrive in whatever order on whichever connections.

use super::test_front::{TestFront, bind, config, execute, message, parse, served};
use crate::client::{BatchEnd, ClientBatch, ClientEvent, ClientId};
use crate::front::postgres::Postgres;
use crate::front::{ConnectionManager, FrontEffect, RequestRegistry};
use crate::pg::message_tags::backend;
use crate::random::RandomSource;
use crate::{Class, Idempotency, Micros, Request, RequestId, Requirement, Settings};
use std::collections::BTreeMap;

const CONNECTIONS: u64 = 4;
const SESSIONS: u64 = 3;
const GROUPS: u64 = 2;
const STEPS: u64 = 400;
/// The memory for the commits of sessions, and more sessions than fit into it.
const COMMIT_BYTES: usize = 192 * 1024;
const FEW_COMMIT_BYTES: usize = 300;
const MANY_SESSIONS: u64 = 20_000;
/// Positions of writes are below this, and those of reads above it, so that the two can be told apart.
const FIRST_POSITION_OF_READS: Micros = 1_000_000;
const OWN: &str = "own";
const ANY: &str = "any";
const WRITE: &str = "write";

/// A request that has been started and not answered.
struct Running {
    client: ClientId,
    request: Request,
}

/// The front, with the commits that each session has been told of, by session and group.
struct Harness {
    manager: ConnectionManager<Postgres>,
    registry: RequestRegistry,
    random: RandomSource,
    running: BTreeMap<RequestId, Running>,
    confirmed: BTreeMap<(u64, u32), Micros>,
    /// What the session of each command had been told of when the command was sent, by the command's timeout,
    /// which is different for each command.
    confirmed_before: BTreeMap<Micros, Option<Micros>>,
    own_reads: usize,
}

impl Harness {
    fn new(seed: u64, commit_bytes: usize) -> Harness {
        let TestFront { manager, registry } =
            TestFront::new(config(OWN, WRITE), settings(), commit_bytes, 4000, 0);
        let mut harness = Harness {
            manager,
            registry,
            random: RandomSource::new(seed),
            running: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            confirmed_before: BTreeMap::new(),
            own_reads: 0,
        };
        (1..=CONNECTIONS).for_each(|client| harness.connect(client));
        harness
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    fn connect(&mut self, client: ClientId) {
        self.handle(client, ClientEvent::Connected { secret: 1 });
    }

    fn handle(&mut self, client: ClientId, event: ClientEvent<ClientBatch>) {
        let effects = self.manager.handle_event(&mut self.registry, 0, client, event);
        self.apply(effects);
    }

    /// Records the requests that were started, and asserts that a read of own writes must see the commits
    /// that its session had been told of, and no position that is not a commit.
    fn apply(&mut self, effects: Vec<FrontEffect>) {
        for effect in effects {
            match effect {
                FrontEffect::StartRequest(started) => {
                    let request = started.request;
                    if request.class == class_index(OWN) {
                        self.own_reads += 1;
                        let confirmed = self.confirmed_before[&request.remaining];
                        assert!(min_position(&request) >= confirmed, "{request:?}, {confirmed:?}");
                    }
                    assert!(min_position(&request).unwrap_or(0) < FIRST_POSITION_OF_READS, "{request:?}");
                    let client = self.registry.client_of(request.id).unwrap();
                    self.running.insert(request.id, Running { client, request });
                }
                FrontEffect::AbandonRequest(id) => drop(self.running.remove(&id)),
                _ => {}
            }
        }
    }

    fn send(&mut self, client: ClientId) {
        let (session, group) = (1 + self.below(SESSIONS), self.below(GROUPS));
        let class = [OWN, ANY, WRITE][self.below(3) as usize];
        self.send_for(client, session, group, class);
    }

    fn send_for(&mut self, client: ClientId, session: u64, group: u64, class: &str) {
        let sql = match class {
            WRITE => "insert into t values ($1)",
            _ => "select 1 from t where ref = $1",
        };
        let timeout_ms = 1 + self.confirmed_before.len() as u64;
        let confirmed = self.confirmed.get(&(session, group as u32)).copied();
        self.confirmed_before.insert(timeout_ms * 1000, confirmed);
        let statement = format!("{sql} /* c={class},cluster={group},d={timeout_ms} */");
        let messages = vec![parse("", &statement), bind("", "", Some(&session.to_string())), execute("")];
        let batch = ClientBatch { received_at: 0, messages, end: BatchEnd::Sync, refusal: None };
        self.handle(client, ClientEvent::Command(batch));
    }

    /// Answers one of the running requests: with an error, with a reply that may exceed the reorder buffer,
    /// or with a position in no particular order.
    fn answer_any(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let nth = self.below(self.running.len() as u64) as usize;
        let id = *self.running.keys().nth(nth).unwrap();
        let Running { client, request } = self.running.remove(&id).unwrap();
        let writes = request.class == class_index(WRITE);
        let fails = self.below(8) == 0;
        let lowest = if writes { 1 } else { FIRST_POSITION_OF_READS };
        let position = lowest + self.below(1000);
        let bytes = match fails {
            true => message(backend::ERROR_RESPONSE, b"\0"),
            false => message(backend::DATA_ROW, &vec![0; self.below(3000) as usize]),
        };
        if writes && !fails {
            let last = self.confirmed.entry((request.statements[0].session, request.group)).or_default();
            *last = position.max(*last);
        }
        assert_eq!(self.registry.close(id), Some(client));
        let answer = served(bytes, Some(position));
        let effects = self.manager.answer(&mut self.registry, 0, client, id, answer);
        self.apply(effects);
    }

    /// Answers the first running request with this position.
    fn answer_first(&mut self, position: Micros) {
        let (id, Running { client, .. }) = self.running.pop_first().unwrap();
        assert_eq!(self.registry.close(id), Some(client));
        let bytes = message(backend::DATA_ROW, b"");
        let answer = served(bytes, Some(position));
        let effects = self.manager.answer(&mut self.registry, 0, client, id, answer);
        self.apply(effects);
    }

    fn step(&mut self) {
        let client = 1 + self.below(CONNECTIONS);
        match self.below(20) {
            0 => {
                self.handle(client, ClientEvent::Disconnected);
                self.connect(client);
            }
            1..10 => self.send(client),
            _ => self.answer_any(),
        }
    }
}

/// The position that the only statement of a request must see.
fn min_position(request: &Request) -> Option<Micros> {
    request.statements[0].min_position
}

fn class_index(name: &str) -> usize {
    settings().class(name.as_bytes()).unwrap()
}

fn settings() -> Settings {
    let class = |requirement| Class {
        requirement,
        idempotency: Idempotency::Idempotent,
        latency_objective: 200_000,
        deadline: 800_000,
        priority_weight: 1.0,
        late_value: 0.0,
    };
    let classes = [Requirement::ReadYourWrites, Requirement::Any, Requirement::Write].map(class);
    let class_names = [OWN, ANY, WRITE].map(String::from);
    Settings { classes: classes.into(), class_names: class_names.into(), ..Settings::default() }
}

/// Guards against a session that writes all the time and is forgotten because many others have written once.
#[test]
fn reads_of_a_session_see_its_last_commit_however_many_sessions_have_written_since() {
    let mut harness = Harness::new(1, COMMIT_BYTES);
    let commit_of = |harness: &mut Harness, session, position| {
        harness.send_for(1, session, 0, WRITE);
        harness.answer_first(position);
    };
    commit_of(&mut harness, 1, 1);
    (0..MANY_SESSIONS - 10).for_each(|other| commit_of(&mut harness, 100 + other, 2 + other));
    commit_of(&mut harness, 1, MANY_SESSIONS);
    (0..MANY_SESSIONS).for_each(|other| commit_of(&mut harness, 100_000 + other, MANY_SESSIONS + 1 + other));
    harness.send_for(2, 1, 0, OWN);
    let read = harness.running.values().next().map(|running| min_position(&running.request));
    assert!(read >= Some(Some(MANY_SESSIONS)), "{read:?}");
}

/// Guards against a session that forgets a commit: answers of reads, answers out of order, errors, replies
/// that are replaced by errors, other groups, and connections that end must not hide it.
#[test]
fn a_sessions_knowledge_of_its_commits_never_goes_backward() {
    for seed in 1..=50 {
        // Room for all commits, or for fewer than there are sessions and groups.
        let mut harness = Harness::new(seed, [COMMIT_BYTES, FEW_COMMIT_BYTES][(seed % 2) as usize]);
        (0..STEPS).for_each(|_| harness.step());
        assert!(harness.own_reads > 10, "seed {seed}: only {} reads of own writes", harness.own_reads);
    }
}
