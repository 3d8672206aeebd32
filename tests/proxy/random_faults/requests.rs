//! Clients, their requests, and what holds for each answer.

use super::script::Draws;
use crate::support::*;
use std::time::{Duration, Instant};

/// An answer may come so long after its deadline: a busy machine holds up threads for a second.
const ANSWER_TOLERANCE: Duration = Duration::from_secs(2);
/// A member may execute a request so long after its client disconnected.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(500);

/// A request in one of the classes of the test configuration.
#[derive(Clone, Debug)]
pub struct Request {
    id: u32,
    /// It must not be executed twice.
    writes: bool,
    statement: String,
    timeout: Duration,
}

impl Request {
    /// A request with this id, whose client waits for so long.
    pub fn draw(draws: &mut Draws, id: u32, timeout_ms: u32) -> Request {
        let read = read_query(id).replace("d=900", &format!("d={timeout_ms}"));
        let statement = match draws.below(3) {
            0 => write_query(id, timeout_ms),
            1 => read,
            _ => read.replace("c=any", "c=own"),
        };
        Request {
            id,
            writes: statement.starts_with("INSERT"),
            statement,
            timeout: Duration::from_millis(timeout_ms.into()),
        }
    }

    /// The messages of an extended query, with the first literal as a parameter.
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
    /// The client may repeat it: it has not been executed, or is safe to execute again, as reads are.
    Rejected,
    /// It may have been executed.
    Failed,
    /// The client disconnected, and got no answer.
    Abandoned,
}

impl Ending {
    /// The one final answer in a reply, as [`Client::read_reply`] describes it.
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
    /// Checks how the request ended against all that members have executed.
    pub fn check(&self, executions: &[Execution]) {
        let id = format!("id={:x},", self.request.id);
        let executions: Vec<_> =
            executions.iter().filter(|execution| execution.statement.contains(&id)).collect();
        let deadline = self.sent_at + self.request.timeout;
        let latest = self.ended_at + DISCONNECT_TOLERANCE;
        let holds = match self.ending {
            Ending::Served => !executions.is_empty(),
            Ending::Rejected => !self.request.writes || executions.is_empty(),
            Ending::Failed => true,
            Ending::Abandoned => executions.iter().all(|execution| execution.at < latest),
        };
        assert!(holds, "{self:?} was executed: {executions:?}");
        assert!(!self.request.writes || executions.len() <= 1, "{self:?} twice: {executions:?}");
        assert!(self.ended_at < deadline + ANSWER_TOLERANCE, "late: {self:?}");
    }
}

/// A client of either listener.
pub struct Session {
    client: Client,
    extended: bool,
}

impl Session {
    /// Odd sessions are those of the extended listener.
    pub fn connect(proxy: &Proxy, number: u32) -> Session {
        let extended = number % 2 == 1;
        let client = if extended { proxy.connect_extended() } else { proxy.connect() };
        Session { client, extended }
    }

    fn send(&mut self, request: &Request) -> Instant {
        let sent_at = Instant::now();
        self.client.send(&if self.extended { request.extended() } else { simple_query(&request.statement) });
        sent_at
    }

    /// Sends a request, and waits for its answer.
    pub fn exchange(&mut self, request: Request) -> Exchange {
        let sent_at = self.send(&request);
        let ending = Ending::of_reply(&self.client.read_reply());
        Exchange { request, ending, sent_at, ended_at: Instant::now() }
    }

    /// Sends a request, and disconnects at once.
    pub fn abandon(mut self, request: Request) -> Exchange {
        let sent_at = self.send(&request);
        drop(self.client);
        Exchange { request, ending: Ending::Abandoned, sent_at, ended_at: Instant::now() }
    }

    /// Asserts that the stream ends, with no message more.
    pub fn assert_end(mut self) {
        assert_eq!(self.client.read_reply(), "end", "a message behind the last answer");
    }
}
