//! A stand-in for a database member, whose next requests can be planned.

use super::TEST_TIMEOUT;
use super::wire::{put_message, read_message, split_c_string};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// What a member does with its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberBehavior {
    /// Answers.
    Serve,
    /// Reads the message of this type and sends nothing any more.
    HangOn(u8),
    /// Reads the message of this type and resets the connection.
    ResetOn(u8),
    /// Begins its answer and sends nothing any more.
    HangMidReply,
    /// Answers with an error of this code.
    ServeError(&'static str),
    /// Sends these bytes instead of an answer, and nothing any more.
    SendRaw(&'static [u8]),
    /// Answers, and sends these bytes right behind it.
    ServeThenSend(&'static [u8]),
    /// Answers, then drops the connection as soon as the next message comes.
    ServeThenDrop,
    /// Answers, then closes the idle connection.
    ServeThenClose,
    /// Answers with this value.
    ServeValue(&'static str),
    /// Reads the request, and answers with this value once it is released.
    HoldReply(&'static str),
}

/// What a connection of a member reports to the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberEvent {
    /// A connection has ended.
    ConnectionClosed,
    /// A message was read that will not be answered.
    Hanging,
    /// A connection waits for its greeting.
    GreetingHeld,
    /// A request was executed whose reply waits for its release.
    ReplyHeld,
}

/// What a member has received and executed, and what it does next.
#[derive(Default)]
struct MemberRecord {
    /// Types of messages and texts of statements, in order.
    received: Vec<String>,
    /// Statements that were executed.
    executed: Vec<String>,
    plan: VecDeque<MemberBehavior>,
}

/// A member that listens on loopback; clones are the same member.
#[derive(Clone)]
pub struct MockMember {
    pub address: SocketAddr,
    pub primary: bool,
    record: Arc<Mutex<MemberRecord>>,
    events: Arc<Mutex<Receiver<MemberEvent>>>,
    greetings_held: Arc<(Mutex<bool>, Condvar)>,
    /// How many of the held replies may be sent.
    released_replies: Arc<(Mutex<usize>, Condvar)>,
    replication_lag_ms: Arc<AtomicU64>,
}

impl MockMember {
    /// Listens on a free port.
    pub fn start(primary: bool) -> MockMember {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (event_sender, events) = channel();
        let member = MockMember {
            address: listener.local_addr().unwrap(),
            primary,
            record: Arc::default(),
            events: Arc::new(Mutex::new(events)),
            greetings_held: Arc::default(),
            released_replies: Arc::default(),
            replication_lag_ms: Arc::default(),
        };
        let listening = member.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = listening.clone();
                let events = event_sender.clone();
                std::thread::spawn(move || {
                    MemberConnection::new(&member, stream, &events).serve();
                    let _ = events.send(MemberEvent::ConnectionClosed);
                });
            }
        });
        member
    }

    /// Accepts connections from now on, and greets none until [`MockMember::release_greetings`].
    pub fn hold_greetings(&self) {
        *self.greetings_held.0.lock().unwrap() = true;
    }

    /// Greets all connections that wait, and those to come.
    pub fn release_greetings(&self) {
        *self.greetings_held.0.lock().unwrap() = false;
        self.greetings_held.1.notify_all();
    }

    /// Lets so many of the held replies go.
    pub fn release_replies(&self, count: usize) {
        *self.released_replies.0.lock().unwrap() += count;
        self.released_replies.1.notify_all();
    }

    /// Its data is behind by so many milliseconds from now on.
    pub fn set_replication_lag_ms(&self, millis: u64) {
        self.replication_lag_ms.store(millis, Ordering::SeqCst);
    }

    /// Adds what it does with its next requests to the plan.
    pub fn plan(&self, behaviors: &[MemberBehavior]) {
        self.record.lock().unwrap().plan.extend(behaviors);
    }

    /// Replaces the plan.
    pub fn replace_plan(&self, behaviors: &[MemberBehavior]) {
        self.record.lock().unwrap().plan = behaviors.iter().copied().collect();
    }

    /// Forgets what it has received and executed, and the plan.
    pub fn reset_record(&self) {
        *self.record.lock().unwrap() = MemberRecord::default();
    }

    /// The number of statements that were executed.
    pub fn executed_count(&self) -> usize {
        self.record.lock().unwrap().executed.len()
    }

    /// The statements that were executed.
    pub fn executed(&self) -> Vec<String> {
        self.record.lock().unwrap().executed.clone()
    }

    /// Types of messages and texts of statements, in the order received.
    pub fn received(&self) -> Vec<String> {
        self.record.lock().unwrap().received.clone()
    }

    /// Waits until a connection reports this event; other events that come before it are dropped.
    pub fn wait_for(&self, event: MemberEvent) {
        let events = self.events.lock().unwrap();
        while events.recv_timeout(TEST_TIMEOUT).expect("the event comes") != event {}
    }

    fn position_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        now - self.replication_lag_ms.load(Ordering::SeqCst)
    }

    /// Waits until a held reply is released, and uses that release up.
    fn wait_for_release(&self) {
        let mut released = self.released_replies.0.lock().unwrap();
        while *released == 0 {
            released = self.released_replies.1.wait(released).unwrap();
        }
        *released -= 1;
    }
}

/// A message that ends a request, or executes a statement of it, and so may produce a row.
fn is_execution(tag: u8) -> bool {
    matches!(tag, b'Q' | b'E')
}

/// A message that ends a request.
fn ends_request(tag: u8) -> bool {
    matches!(tag, b'Q' | b'S')
}

/// One connection to a member. Its methods return `None` when the connection is to end.
struct MemberConnection<'a> {
    member: &'a MockMember,
    stream: TcpStream,
    events: &'a Sender<MemberEvent>,
    /// The reply so far.
    out: Vec<u8>,
    /// What is done with the current request.
    behavior: Option<MemberBehavior>,
    /// The current request has failed: its other messages are skipped.
    failed: bool,
    drop_on_next_message: bool,
    prepared: HashMap<String, String>,
    bound: HashMap<String, String>,
}

impl<'a> MemberConnection<'a> {
    fn new(member: &'a MockMember, stream: TcpStream, events: &'a Sender<MemberEvent>) -> Self {
        MemberConnection {
            member,
            stream,
            events,
            out: Vec::new(),
            behavior: None,
            failed: false,
            drop_on_next_message: false,
            prepared: HashMap::new(),
            bound: HashMap::new(),
        }
    }

    fn serve(&mut self) -> Option<()> {
        self.read_startup()?;
        self.wait_until_greetings_are_released();
        put_message(&mut self.out, b'R', &[0; 4]);
        put_message(&mut self.out, b'Z', b"I");
        self.flush()?;
        loop {
            let (tag, body) = read_message(&mut self.stream)?;
            if self.drop_on_next_message {
                return None;
            }
            self.serve_message(tag, &body)?;
        }
    }

    fn read_startup(&mut self) -> Option<()> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        self.stream.read_exact(&mut body).ok()
    }

    fn wait_until_greetings_are_released(&self) {
        let mut held = self.member.greetings_held.0.lock().unwrap();
        if *held {
            let _ = self.events.send(MemberEvent::GreetingHeld);
        }
        while *held {
            held = self.member.greetings_held.1.wait(held).unwrap();
        }
    }

    fn serve_message(&mut self, tag: u8, body: &[u8]) -> Option<()> {
        if tag == b'Q' && body == b"\0" {
            put_message(&mut self.out, b'I', &[]);
            self.put_ready();
            return self.flush();
        }
        if tag == b'Q' && split_c_string(body).0 == "SHOW health" {
            return self.serve_health_check();
        }
        let behavior = self.current_behavior();
        let error = self.record_message(tag, body, behavior);
        self.misbehave(tag, behavior)?;
        self.put_reply(tag, body, behavior, error);
        self.end_message(tag, behavior)
    }

    fn serve_health_check(&mut self) -> Option<()> {
        let position = self.member.position_ms() as f64 / 1e3;
        let report = format!("x0={position:.3},x1={}", u8::from(self.member.primary));
        self.put_row(report.as_bytes());
        self.put_ready();
        self.flush()
    }

    fn current_behavior(&mut self) -> MemberBehavior {
        let mut record = self.member.record.lock().unwrap();
        *self.behavior.get_or_insert_with(|| record.plan.pop_front().unwrap_or(MemberBehavior::Serve))
    }

    /// Records the message, and the statement if it is executed; returns the code of the error that it gets.
    fn record_message(&self, tag: u8, body: &[u8], behavior: MemberBehavior) -> Option<&'static str> {
        let mut record = self.member.record.lock().unwrap();
        let (first, rest) = split_c_string(body);
        record.received.push(match tag {
            b'Q' => first.clone(),
            b'P' => format!("P {first}: {}", split_c_string(rest).0),
            b'B' => format!("B {}", split_c_string(rest).0),
            _ => char::from(tag).into(),
        });
        let statement = match tag {
            b'Q' => first,
            _ => self.bound.get(&first).cloned().unwrap_or_default(),
        };
        let error = match behavior {
            _ if statement.starts_with("INSERT") && !self.member.primary => Some("25006"),
            MemberBehavior::ServeError(code) => Some(code),
            _ => None,
        };
        if !self.failed && is_execution(tag) && error.is_none() {
            record.executed.push(statement);
        }
        error
    }

    /// Does what is planned in place of an answer, or before it.
    fn misbehave(&mut self, tag: u8, behavior: MemberBehavior) -> Option<()> {
        match behavior {
            MemberBehavior::HangOn(trigger) if trigger == tag => {
                let _ = self.events.send(MemberEvent::Hanging);
                self.read_until_closed()
            }
            MemberBehavior::ResetOn(trigger) if trigger == tag => None,
            MemberBehavior::SendRaw(bytes) if is_execution(tag) => {
                self.out.extend(bytes);
                self.stream.write_all(&self.out).ok()?;
                self.read_until_closed()
            }
            MemberBehavior::HangMidReply if is_execution(tag) => {
                self.out.extend(b"D\0\0\0\x20half");
                self.stream.write_all(&self.out).ok()?;
                let _ = self.events.send(MemberEvent::Hanging);
                self.read_until_closed()
            }
            MemberBehavior::HoldReply(_) if is_execution(tag) => {
                let _ = self.events.send(MemberEvent::ReplyHeld);
                self.member.wait_for_release();
                Some(())
            }
            _ => Some(()),
        }
    }

    /// Reads until the proxy closes the connection, and then ends it.
    fn read_until_closed(&mut self) -> Option<()> {
        while read_message(&mut self.stream).is_some() {}
        None
    }

    fn put_reply(&mut self, tag: u8, body: &[u8], behavior: MemberBehavior, error: Option<&str>) {
        if self.failed {
            return;
        }
        let value = match behavior {
            MemberBehavior::ServeValue(value) | MemberBehavior::HoldReply(value) => value,
            _ => "value",
        };
        let (first, rest) = split_c_string(body);
        match (tag, error) {
            (b'Q' | b'E', Some(code)) => {
                let fields = format!("SERROR\0C{code}\0Mplanned\0\0");
                put_message(&mut self.out, b'E', fields.as_bytes());
                self.failed = true;
            }
            (b'Q', _) => self.put_row(value.as_bytes()),
            (b'P', _) => {
                self.prepared.insert(first, split_c_string(rest).0);
                put_message(&mut self.out, b'1', &[]);
            }
            (b'B', _) => {
                let name = split_c_string(rest).0;
                let Some(sql) = self.prepared.get(&name) else { panic!("{name} is not prepared here") };
                self.bound.insert(first, sql.clone());
                put_message(&mut self.out, b'2', &[]);
            }
            (b'D', _) => {
                if body[0] == b'S' {
                    put_message(&mut self.out, b't', &[0, 0]);
                }
                put_message(&mut self.out, b'n', &[]);
            }
            (b'E', _) => self.put_data_and_completion(value.as_bytes()),
            (b'C', _) => put_message(&mut self.out, b'3', &[]),
            _ => {}
        }
    }

    /// Sends the reply if this message asks for it, and ends the request if this is its last message.
    fn end_message(&mut self, tag: u8, behavior: MemberBehavior) -> Option<()> {
        if ends_request(tag) {
            self.put_ready();
            self.behavior = None;
            self.failed = false;
            self.bound.clear();
            if let MemberBehavior::ServeThenSend(bytes) = behavior {
                self.out.extend(bytes);
            }
        }
        if ends_request(tag) || tag == b'H' {
            self.flush()?;
        }
        self.drop_on_next_message = behavior == MemberBehavior::ServeThenDrop && ends_request(tag);
        if behavior == MemberBehavior::ServeThenClose && ends_request(tag) {
            return None;
        }
        Some(())
    }

    fn flush(&mut self) -> Option<()> {
        self.stream.write_all(&std::mem::take(&mut self.out)).ok()
    }

    /// The reply to a simple query: one column, one row.
    fn put_row(&mut self, value: &[u8]) {
        put_message(&mut self.out, b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
        self.put_data_and_completion(value);
    }

    fn put_data_and_completion(&mut self, value: &[u8]) {
        let length = (value.len() as u32).to_be_bytes();
        put_message(&mut self.out, b'D', &[&[0, 1][..], &length, value].concat());
        put_message(&mut self.out, b'C', b"DONE\0");
    }

    fn put_ready(&mut self) {
        let recovery = if self.member.primary { "off" } else { "on" };
        put_message(&mut self.out, b'S', format!("recovery\0{recovery}\0").as_bytes());
        put_message(&mut self.out, b'S', format!("lsn_ms\0{}\0", self.member.position_ms()).as_bytes());
        put_message(&mut self.out, b'Z', b"I");
    }
}
