//! A mock database member. The test plans how the member handles its next requests.

use super::TEST_TIMEOUT;
use super::member_connection::MemberConnection;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// How a member handles a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberBehavior {
    /// Answers the request.
    Serve,
    /// Reads the message of this type, and sends nothing from then on.
    HangOn(u8),
    /// Reads the message of this type, and waits for [`MockMember::release_replies`] before it continues.
    HoldOn(u8),
    /// Reads the message of this type, and closes the connection without a reply.
    ResetOn(u8),
    /// Sends the beginning of a reply, and nothing from then on.
    HangMidReply,
    /// Answers, or hangs before ReadyForQuery if the reply is longer than this number of bytes.
    HangAfterReplyOf(usize),
    /// Answers with an error of this SQLSTATE.
    ServeError(&'static str),
    /// Sends these bytes instead of a reply, and nothing from then on.
    SendRaw(&'static [u8]),
    /// Answers, and sends these bytes directly after the reply.
    ServeThenSend(&'static [u8]),
    /// Answers, and closes the connection when the next message arrives.
    ServeThenDrop,
    /// Answers, and closes the connection directly after the reply.
    ServeThenClose,
    /// Answers with this value.
    ServeValue(&'static str),
    /// Reads the request, and answers with this value after [`MockMember::release_replies`].
    HoldReply(&'static str),
}

/// An event that a connection of a member reports to the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberEvent {
    /// The connection was closed, by the member or by the proxy.
    ConnectionClosed,
    /// The member has read a message that it will not answer, or not completely.
    Hanging,
    /// The proxy has sent its startup message; the member holds its greeting back.
    GreetingHeld,
    /// The member holds a reply back.
    ReplyHeld,
}

/// A statement that a member executed.
#[derive(Clone, Debug)]
pub struct Execution {
    pub statement: String,
    pub at: Instant,
}

/// The messages that a member has received and executed, and the plan for its next requests.
#[derive(Default)]
struct MemberRecord {
    /// The received messages, in order: the text of a statement, or the type of another message.
    received: Vec<String>,
    executed: Vec<Execution>,
    plan: VecDeque<MemberBehavior>,
}

/// A mock member that listens on the loopback interface. Clones are handles to the same member.
#[derive(Clone)]
pub struct MockMember {
    pub address: SocketAddr,
    pub primary: bool,
    record: Arc<Mutex<MemberRecord>>,
    events: Arc<Mutex<Receiver<MemberEvent>>>,
    greetings_held: Arc<(Mutex<bool>, Condvar)>,
    /// The number of held replies that may be sent.
    released_replies: Arc<(Mutex<usize>, Condvar)>,
    replication_lag_ms: Arc<AtomicU64>,
    /// The position that the member reports whatever the time is; 0 for none.
    fixed_position_ms: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    /// The value of replies for which the plan has none.
    value: Arc<Mutex<String>>,
}

impl MockMember {
    /// Starts a primary or a replica on a free port.
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
            fixed_position_ms: Arc::default(),
            connections: Arc::default(),
            value: Arc::new(Mutex::new("value".into())),
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

    /// Makes the member accept connections without a greeting until [`MockMember::release_greetings`].
    pub fn hold_greetings(&self) {
        *self.greetings_held.0.lock().unwrap() = true;
    }

    /// Sends the greeting on all waiting connections, and on later ones as soon as they open.
    pub fn release_greetings(&self) {
        *self.greetings_held.0.lock().unwrap() = false;
        self.greetings_held.1.notify_all();
    }

    /// Releases this many of the held replies; a release that no reply waits for applies to a later one.
    pub fn release_replies(&self, count: usize) {
        *self.released_replies.0.lock().unwrap() += count;
        self.released_replies.1.notify_all();
    }

    /// Sets how far the member's data is behind, in milliseconds.
    pub fn set_replication_lag_ms(&self, millis: u64) {
        self.replication_lag_ms.store(millis, Ordering::SeqCst);
    }

    /// Sets the position that the member reports from now on, in milliseconds since the Unix epoch; `None` for
    /// the time less the lag.
    pub fn fix_position_ms(&self, position: Option<u64>) {
        self.fixed_position_ms.store(position.unwrap_or(0), Ordering::SeqCst);
    }

    /// Sets the value of replies for which the plan has none.
    pub fn set_value(&self, value: &str) {
        *self.value.lock().unwrap() = value.into();
    }

    /// Returns the value of replies for which the plan has none.
    pub fn value(&self) -> String {
        self.value.lock().unwrap().clone()
    }

    /// Appends the behavior for further requests, one per request, to the plan.
    pub fn plan(&self, behaviors: &[MemberBehavior]) {
        self.record.lock().unwrap().plan.extend(behaviors);
    }

    /// Replaces the plan with the behavior for the next requests, one per request.
    pub fn replace_plan(&self, behaviors: &[MemberBehavior]) {
        self.record.lock().unwrap().plan = behaviors.iter().copied().collect();
    }

    /// Clears the received and executed messages, the plan, and the pending events. Without this, a test
    /// could take a connection that ended while the program started for the one whose end it waits for.
    pub fn reset_record(&self) {
        *self.record.lock().unwrap() = MemberRecord::default();
        self.events.lock().unwrap().try_iter().for_each(drop);
    }

    /// Returns the number of connections opened to the member.
    pub fn connection_count(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of executed statements.
    pub fn executed_count(&self) -> usize {
        self.record.lock().unwrap().executed.len()
    }

    /// Returns the executed statements, in order.
    pub fn executed(&self) -> Vec<String> {
        self.executions().into_iter().map(|execution| execution.statement).collect()
    }

    /// Returns the executed statements with their times, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.record.lock().unwrap().executed.clone()
    }

    /// Returns the received messages, in order: the text of a statement, or the type of another message.
    pub fn received(&self) -> Vec<String> {
        self.record.lock().unwrap().received.clone()
    }

    /// Waits until a connection reports this event. Events reported before it are discarded.
    pub fn wait_for(&self, event: MemberEvent) {
        let events = self.events.lock().unwrap();
        while events.recv_timeout(TEST_TIMEOUT).expect("the member reports the event") != event {}
    }

    /// Removes and returns the next behavior of the plan; [`MemberBehavior::Serve`] if the plan is empty.
    pub fn next_behavior(&self) -> MemberBehavior {
        self.record.lock().unwrap().plan.pop_front().unwrap_or(MemberBehavior::Serve)
    }

    /// Records a message, and the statement that it executed, if any.
    pub fn record_message(&self, description: String, executed: Option<String>) {
        let mut record = self.record.lock().unwrap();
        record.received.push(description);
        record.executed.extend(executed.map(|statement| Execution { statement, at: Instant::now() }));
    }

    /// Waits until greetings are no longer held. If they are held, reports [`MemberEvent::GreetingHeld`]
    /// first.
    pub fn wait_until_greetings_are_released(&self, events: &Sender<MemberEvent>) {
        let mut held = self.greetings_held.0.lock().unwrap();
        if *held {
            let _ = events.send(MemberEvent::GreetingHeld);
        }
        while *held {
            held = self.greetings_held.1.wait(held).unwrap();
        }
    }

    /// Returns the replication position of the member: the time up to which it has the data, in milliseconds
    /// since the Unix epoch.
    pub fn position_ms(&self) -> u64 {
        let fixed = self.fixed_position_ms.load(Ordering::SeqCst);
        if fixed > 0 {
            return fixed;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        now - self.replication_lag_ms.load(Ordering::SeqCst)
    }

    /// Waits for a release of a held reply, and consumes it.
    pub fn wait_for_release(&self) {
        let mut released = self.released_replies.0.lock().unwrap();
        while *released == 0 {
            released = self.released_replies.1.wait(released).unwrap();
        }
        *released -= 1;
    }
}
