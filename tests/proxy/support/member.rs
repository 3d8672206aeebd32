//! A stand-in for a database member, whose next requests can be planned.

use super::TEST_TIMEOUT;
use super::member_connection::MemberConnection;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What a member does with its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberBehavior {
    /// Answers.
    Serve,
    /// Reads the message of this type and sends nothing any more.
    HangOn(u8),
    /// Reads the message of this type, and goes on to serve once it is released.
    HoldOn(u8),
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
    /// A reply waits for its release.
    ReplyHeld,
}

/// A statement that a member executed.
#[derive(Clone, Debug)]
pub struct Execution {
    pub statement: String,
    pub at: Instant,
}

/// What a member has received and executed, and what it does next.
#[derive(Default)]
struct MemberRecord {
    /// Types of messages and texts of statements, in order.
    received: Vec<String>,
    executed: Vec<Execution>,
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
    connections: Arc<AtomicU64>,
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
            connections: Arc::default(),
        };
        let listening = member.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = listening.clone();
                member.connections.fetch_add(1, Ordering::SeqCst);
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

    /// Forgets what it has received and executed, the plan, and the events so far: a connection that ended while
    /// the program started must not pass for the one that a test waits for.
    pub fn reset_record(&self) {
        *self.record.lock().unwrap() = MemberRecord::default();
        self.events.lock().unwrap().try_iter().for_each(drop);
    }

    /// The number of connections that were made to it.
    pub fn connection_count(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// The number of statements that were executed.
    pub fn executed_count(&self) -> usize {
        self.record.lock().unwrap().executed.len()
    }

    /// The statements that were executed.
    pub fn executed(&self) -> Vec<String> {
        self.executions().into_iter().map(|execution| execution.statement).collect()
    }

    /// The statements that were executed, and when each was.
    pub fn executions(&self) -> Vec<Execution> {
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

    /// Takes the next behavior of the plan.
    pub fn next_behavior(&self) -> MemberBehavior {
        self.record.lock().unwrap().plan.pop_front().unwrap_or(MemberBehavior::Serve)
    }

    /// Records a message, and the statement that it executes, if any.
    pub fn record_message(&self, description: String, executed: Option<String>) {
        let mut record = self.record.lock().unwrap();
        record.received.push(description);
        record.executed.extend(executed.map(|statement| Execution { statement, at: Instant::now() }));
    }

    /// Waits until greetings are not held; reports if they are.
    pub fn wait_until_greetings_are_released(&self, events: &Sender<MemberEvent>) {
        let mut held = self.greetings_held.0.lock().unwrap();
        if *held {
            let _ = events.send(MemberEvent::GreetingHeld);
        }
        while *held {
            held = self.greetings_held.1.wait(held).unwrap();
        }
    }

    /// The position of its data, in milliseconds since the epoch.
    pub fn position_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        now - self.replication_lag_ms.load(Ordering::SeqCst)
    }

    /// Waits until a held reply is released, and uses that release up.
    pub fn wait_for_release(&self) {
        let mut released = self.released_replies.0.lock().unwrap();
        while *released == 0 {
            released = self.released_replies.1.wait(released).unwrap();
        }
        *released -= 1;
    }
}
