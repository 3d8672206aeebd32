//! Clients, their requests, and the rules that hold for each answer.

use super::script::SeededRandom;
use crate::support::*;
use std::time::{Duration, Instant};

/// How long after its deadline an answer may arrive: a busy machine delays threads by a second.
const ANSWER_TOLERANCE: Duration = Duration::from_secs(2);
/// How long after its client disconnected a member may still execute a request.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(500);

/// A request in one of the classes of the test configuration.
#[derive(Clone, Debug)]
pub struct Request {
    id: u32,
    /// Whether the request writes, and so must not be executed twice.
    is_write: bool,
    statement: String,
    timeout: Duration,
}

impl Request {
    /// A random request with this id and deadline.
    pub fn generate(random: &mut SeededRandom, id: u32, timeout_ms: u32) -> Request {
        let read = read_query(id).replace("d=900", &format!("d={timeout_ms}"));
        let statement = match random.below(3) {
            0 => write_query(id, timeout_ms),
            1 => read,
            _ => read.replace("c=any", "c=own"),
        };
        Request {
            id,
            is_write: statement.starts_with("INSERT"),
            statement,
            timeout: Duration::from_millis(timeout_ms.into()),
        }
    }

    /// The request as messages of an extended query, with the first literal as a parameter.
    fn extended(&self) -> Vec<u8> {
        let literal = self.statement.split('\'').nth(1).unwrap();
        let statement = self.statement.replacen(&format!("'{literal}'"), "$1", 1);
        extended_messages(&format!("P - {statement} | B - - {literal} | E - | S"))
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Served,
    /// The request was not executed, or is idempotent, as reads are: the client may retry it.
    Rejected,
    /// The request may have been executed.
    Failed,
    /// The client disconnected without waiting for an answer.
    Abandoned,
}

impl Ending {
    /// The ending that the only final answer in a reply stands for; the reply is as [`Client::read_reply`]
    /// describes it.
    fn of_reply(reply: &str) -> Ending {
        let answers: Vec<_> =
            reply.split(' ').filter(|message| *message == "C" || message.starts_with("E(")).collect();
        match answers[..] {
            ["C"] if reply.ends_with("D(value) C Z") => Ending::Served,
            ["E(53300)" | "E(57P03)"] => Ending::Rejected,
            [error] if error != "C" => Ending::Failed,
            _ => panic!("not exactly one answer: {reply}"),
        }
    }
}

/// A request that has ended.
#[derive(Debug)]
pub struct Exchange {
    request: Request,
    pub ending: Ending,
    sent_at: Instant,
    ended_at: Instant,
}

impl Exchange {
    /// Checks the ending of the request against all statements that members have executed.
    pub fn check(&self, executions: &[Execution]) {
        let id = format!("id={:x},", self.request.id);
        let executions: Vec<_> =
            executions.iter().filter(|execution| execution.statement.contains(&id)).collect();
        let deadline = self.sent_at + self.request.timeout;
        let latest_execution = self.ended_at + DISCONNECT_TOLERANCE;
        let is_consistent = match self.ending {
            Ending::Served => !executions.is_empty(),
            Ending::Rejected => !self.request.is_write || executions.is_empty(),
            Ending::Failed => true,
            Ending::Abandoned => executions.iter().all(|execution| execution.at < latest_execution),
        };
        assert!(is_consistent, "{self:?} contradicts its executions: {executions:?}");
        assert!(!self.request.is_write || executions.len() <= 1, "{self:?} executed twice: {executions:?}");
        assert!(self.ended_at < deadline + ANSWER_TOLERANCE, "late: {self:?}");
    }
}

/// A client of either listener.
pub struct Session {
    client: Client,
    is_extended: bool,
}

impl Session {
    /// Connects to the extended listener if the number is odd, and to the platform's listener otherwise.
    pub fn connect(proxy: &Proxy, number: u32) -> Session {
        let is_extended = number % 2 == 1;
        let client = if is_extended { proxy.connect_extended() } else { proxy.connect() };
        Session { client, is_extended }
    }

    fn send(&mut self, request: &Request) -> Instant {
        let sent_at = Instant::now();
        self.client.send(&if self.is_extended {
            request.extended()
        } else {
            simple_query(&request.statement)
        });
        sent_at
    }

    /// Sends a request, and waits for its answer.
    pub fn exchange(&mut self, request: Request) -> Exchange {
        let sent_at = self.send(&request);
        let ending = Ending::of_reply(&self.client.read_reply());
        Exchange { request, ending, sent_at, ended_at: Instant::now() }
    }

    /// Sends a request, and disconnects without waiting for its answer.
    pub fn abandon(mut self, request: Request) -> Exchange {
        let sent_at = self.send(&request);
        drop(self.client);
        Exchange { request, ending: Ending::Abandoned, sent_at, ended_at: Instant::now() }
    }

    /// Asserts that the stream ends without a further message.
    pub fn assert_end(mut self) {
        assert_eq!(self.client.read_reply(), "end", "a message after the last answer");
    }
}
