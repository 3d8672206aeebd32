//! The prepared statements of a connection, against a model of PostgreSQL's rules: batches in a pipeline
//! that are refused, fail at any message, or are served.

use super::test_front::{TestFront, bind, config, message, parse, served};
use crate::client::{BatchEnd, ClientId};
use crate::core::{FinalAnswer, NewRequest};
use crate::exchange::MemberRequest;
use crate::extended::ExtendedMessage;
use crate::pg::message_tags::{backend, frontend};
use crate::random::RandomSource;
use crate::{Class, Idempotency, Micros, RequestId, Requirement, Settings};
use std::collections::{BTreeMap, VecDeque};

const CLIENT: ClientId = 1;
const STEPS: usize = 300;
/// The unnamed statement and two named ones.
const NAMES: [&str; 3] = ["", "a", "b"];

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Parse(&'static str, String),
    Close(&'static str),
    /// A Bind of this statement, and an Execute.
    Run(&'static str),
}

/// A batch, or a simple query if it has no messages.
struct Batch {
    messages: Vec<Message>,
    request: Option<RequestId>,
    /// The number of messages that were carried out; the next one failed if there is one.
    completed: Option<usize>,
}

struct Play {
    front: TestFront,
    random: RandomSource,
    /// All batches of the connection, in order.
    batches: Vec<Batch>,
    /// Those that have neither been started nor answered.
    queued: VecDeque<usize>,
    now: Micros,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut front = TestFront::new(config("any", "any"), settings(), 4096, 1 << 20, 0);
        front.connect(CLIENT);
        let (batches, queued) = (Vec::new(), VecDeque::new());
        Play { front, random: RandomSource::new(seed), batches, queued, now: 0 }
    }

    /// What a name stands for before batch `index`: PostgreSQL's rules, applied to the batches before.
    fn model(&self, name: &str, index: usize) -> Option<String> {
        let mut statements: BTreeMap<&str, String> = BTreeMap::new();
        for batch in &self.batches[..index] {
            if batch.messages.is_empty() {
                statements.remove("");
            }
            // An unfinished batch may only have changed other names: the one in question waits for it.
            let completed = batch.completed.unwrap_or(usize::MAX);
            for (nth, message) in batch.messages.iter().enumerate().take_while(|(nth, _)| *nth <= completed) {
                match message {
                    Message::Parse(changed, text) if nth < completed => {
                        drop(statements.insert(changed, text.clone()));
                    }
                    Message::Parse("", _) => drop(statements.remove("")),
                    Message::Close(changed) if nth < completed => drop(statements.remove(changed)),
                    _ => {}
                }
            }
        }
        statements.get(name).cloned()
    }

    fn send(&mut self) {
        let nth = self.batches.len();
        let mut messages = Vec::new();
        for position in 0..self.random.below(4) {
            let name = NAMES[self.random.below(3) as usize];
            messages.push(match self.random.below(4) {
                0 => Message::Parse(name, format!("select {nth} + {position} /* c=any,d=900 */")),
                1 => Message::Close(name),
                _ => Message::Run(name),
            });
        }
        let (commands, end) = match messages.as_slice() {
            [] => (vec![message(frontend::QUERY, b"select 0 /* c=any,d=900 */\0")], BatchEnd::Query),
            messages => (messages.iter().map(encode).collect(), BatchEnd::Sync),
        };
        self.batches.push(Batch { messages, request: None, completed: None });
        self.queued.push_back(nth);
        let started = self.front.send(self.now, CLIENT, commands, end);
        self.match_batches(started);
    }

    /// Matches requests and local answers with the batches, in order, and judges what they run.
    fn match_batches(&mut self, started: Vec<NewRequest<MemberRequest>>) {
        for started in started {
            let ran: Vec<_> = match &*started.work {
                MemberRequest::Extended(batch) => batch.messages.iter().filter_map(bound_text).collect(),
                MemberRequest::SimpleQuery { .. } => Vec::new(),
            };
            // A batch that is missing here was answered by the front.
            while let Some(index) = self.queued.pop_front() {
                let expected = self.expected_runs(index);
                let needs_member = self.batches[index].messages.is_empty()
                    || self.batches[index].messages.iter().any(|one| !matches!(one, Message::Close(_)));
                if expected.is_some() && needs_member {
                    assert_eq!(
                        Some(&ran),
                        expected.as_ref(),
                        "batch {index}: {:?}",
                        self.batches[index].messages
                    );
                    self.batches[index].request = Some(started.request.id);
                    break;
                }
                self.batches[index].completed = Some(if needs_member { 0 } else { usize::MAX });
            }
        }
    }

    /// The texts that a batch runs; `None` if a message of it is answered with an error by the front.
    fn expected_runs(&self, index: usize) -> Option<Vec<String>> {
        let mut own: BTreeMap<&str, Option<String>> = BTreeMap::new();
        let mut runs = Vec::new();
        for message in &self.batches[index].messages {
            let current =
                |name: &&'static str| own.get(*name).cloned().unwrap_or_else(|| self.model(name, index));
            match message {
                Message::Parse(name, _) if !name.is_empty() && current(name).is_some() => return None,
                Message::Parse(name, text) => drop(own.insert(name, Some(text.clone()))),
                Message::Close(name) => drop(own.insert(name, None)),
                Message::Run(name) => runs.push(current(name)?),
            }
        }
        Some(runs)
    }

    /// Answers a running batch: serves it, refuses it, or lets one of its messages fail.
    fn answer(&mut self) {
        let running: Vec<_> = (0..self.batches.len()).filter(|index| self.is_running(*index)).collect();
        if running.is_empty() {
            return;
        }
        let index = running[self.random.below(running.len() as u64) as usize];
        let batch = &mut self.batches[index];
        let count = batch.messages.len();
        let fails_at = self.random.below(2 * count as u64 + 2) as usize;
        batch.completed = Some(if fails_at < count { fails_at } else { usize::MAX });
        let request = batch.request.unwrap();
        let is_refused = fails_at == 0 && self.random.below(2) == 0;
        let mut bytes: Vec<u8> = batch.messages.iter().take(fails_at).flat_map(completions).collect();
        if fails_at < count {
            bytes.extend(message(backend::ERROR_RESPONSE, b"\0"));
        }
        let answer = match is_refused {
            true => FinalAnswer::Rejected { retry_after: 0 },
            false => served(bytes, None),
        };
        if is_refused {
            batch.completed = Some(0);
        }
        let started = self.front.answer(self.now, request, answer);
        self.match_batches(started);
    }

    fn is_running(&self, index: usize) -> bool {
        self.batches[index].request.is_some() && self.batches[index].completed.is_none()
    }
}

fn settings() -> Settings {
    let class = Class {
        requirement: Requirement::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: 200_000,
        deadline: 800_000,
        priority_weight: 1.0,
        late_value: 0.0,
    };
    Settings { classes: vec![class], class_names: vec!["any".to_string()], ..Settings::default() }
}

fn encode(one: &Message) -> Vec<u8> {
    match one {
        Message::Parse(name, text) => parse(name, text),
        Message::Close(name) => message(frontend::CLOSE, format!("S{name}\0").as_bytes()),
        Message::Run(name) => bind("", name, None),
    }
}

/// The member's reply to a message that it has carried out.
fn completions(one: &Message) -> Vec<u8> {
    let tag = match one {
        Message::Parse(..) => backend::PARSE_COMPLETE,
        Message::Close(_) => backend::CLOSE_COMPLETE,
        Message::Run(_) => backend::BIND_COMPLETE,
    };
    message(tag, b"")
}

fn bound_text(message: &ExtendedMessage) -> Option<String> {
    match message {
        ExtendedMessage::Bind { statement, .. } => Some(String::from_utf8(statement.sql.clone()).unwrap()),
        _ => None,
    }
}

/// Guards against a statement that runs although a Parse, a Close or a query has ended it, and against
/// one that is lost although the message that would have ended it was skipped.
#[test]
fn a_bind_uses_the_statement_that_postgresql_would_use() {
    for seed in 1..=200 {
        let mut play = Play::new(seed);
        for _ in 0..STEPS {
            play.now += 1;
            if play.random.below(2) == 0 { play.send() } else { play.answer() }
        }
    }
}
