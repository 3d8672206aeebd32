//! A drain by the operators' call, while some clients send several commands at once on the connections they keep.

use crate::common::*;
use crate::config::{CLASSES, config};
use crate::discovery::{Discovery, Target};
use crate::member::{Follows, GroupLog, Member};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WORK_MS: u64 = 58;
/// Clients that send commands without waiting for the answers, and how often.
const PIPELINING_CLIENTS: u64 = 2;
const INTERVAL_MS: u64 = 14;
/// Clients that send a command when the one before is answered.
const PLAIN_CLIENTS: u64 = 6;
/// When the call is made, from the start of the clients.
const CALL_MS: u64 = 3000;
/// How long after the call connections are judged: 4 s, 50 ms for sockets, and an allowance for a busy machine.
const JUDGED_MS: u64 = 4000 + 50 + 500;
/// A connection is held if it is open and idle, or if a request of the last 2 s was taken on it.
const RECENT: Duration = Duration::from_secs(2);

/// What a client's connection has seen.
struct Seen {
    client: u64,
    /// When the last request was sent that has been answered, and the requests answered.
    answered: Option<(Instant, u64)>,
    /// The requests that are not answered, and when they were sent.
    sent: VecDeque<(Instant, u64)>,
    open: bool,
}

pub fn run(arguments: &Arguments) -> i32 {
    let record = Record::create(&arguments.folder.join("record.txt"));
    let log = Arc::new(GroupLog::default());
    let members: Vec<_> = (0..4)
        .map(|index| Member::new(&format!("m{index}"), index == 0, Follows::Lag(5), WORK_MS, &log, &record))
        .collect();
    let targets = members.iter().enumerate().map(|(index, member)| Target {
        uid: format!("s-{index}"),
        endpoint: member.listen(),
        group: 0,
        state: "SERVING",
        boot_ms: 0,
        primary: index == 0,
    });
    let discovery = Discovery::start(targets.collect());
    let (listen, ops) = (free_address(), free_address());
    let file = arguments.temporary.join("config.json");
    let text = config(listen, &discovery, CLASSES, "hold");
    std::fs::write(&file, text.replacen('{', &format!("{{\"ops\":\"{ops}\","), 1)).unwrap();
    let mut proxy = Process::start(arguments, &record, "proxy", &file, "");
    wait_until_ready(listen);
    let over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let mut seen = Vec::new();
    for client in 0..PIPELINING_CLIENTS + PLAIN_CLIENTS {
        let interval = (client < PIPELINING_CLIENTS).then_some(INTERVAL_MS);
        let state = Arc::new(Mutex::new(Seen { client, answered: None, sent: VecDeque::new(), open: false }));
        seen.push(state.clone());
        let (over, next_id, record) = (over.clone(), next_id.clone(), record.clone());
        std::thread::spawn(move || keep_connection(listen, interval, &state, &over, &next_id, &record));
    }
    sleep_ms(CALL_MS);
    if arguments.trouble {
        match http(ops, "PUT", "/control/out-of-service") {
            Some(answer) if answer.starts_with("HTTP/1.1 2") => {
                record.say("PUT /control/out-of-service: yes")
            }
            answer => cannot_run(&format!("out-of-service: {answer:?}")),
        }
        let ready = Wire::connect(listen, 1000).and_then(|mut wire| {
            wire.send(&query(""))?;
            wire.read_reply()
        });
        record.line(&format!("empty query after the call: {:?}", ready.map(|reply| answer_of(&reply))));
    }
    sleep_ms(JUDGED_MS);
    let mut held = 0;
    let mut lost = 0;
    for state in &seen {
        let state = state.lock().unwrap();
        let Some((sent, count)) = state.answered else { cannot_run("a client was never answered") };
        let is_recent = sent.elapsed() < RECENT;
        let text = format!(
            "client {}: {count} answered, connection {}, its last answered request was sent {} ms ago, {} out",
            state.client,
            if state.open { "open" } else { "closed by the proxy" },
            sent.elapsed().as_millis(),
            state.sent.len()
        );
        record.say(&text);
        held += u64::from(state.open && (is_recent || state.sent.is_empty()));
        lost += u64::from(!state.open && !arguments.trouble);
    }
    over.store(true, Ordering::SeqCst);
    sleep_ms(200);
    if let Some(status) = proxy.end() {
        record.say(&format!("the proxy ended by itself: {status}"));
        return 1;
    }
    if !arguments.trouble {
        record.say(&format!("{lost} connections closed without a drain"));
        return i32::from(lost > 0);
    }
    record.say(&format!(
        "{} ms after the call, {held} of {} connections are held with a request of the last 2 s, or idle",
        JUDGED_MS,
        seen.len()
    ));
    i32::from(held > 0)
}

/// A client that keeps one connection until the proxy closes it. With an interval it sends a request each time that
/// has passed, whether or not those before are answered; without one, when the one before is answered.
fn keep_connection(
    address: SocketAddr,
    interval_ms: Option<u64>,
    state: &Arc<Mutex<Seen>>,
    over: &Arc<AtomicBool>,
    next_id: &Arc<AtomicU64>,
    record: &Record,
) {
    let Ok(wire) = Wire::connect(address, 5000) else { return };
    let client = state.lock().unwrap().client;
    state.lock().unwrap().open = true;
    let mut sender = wire.stream.try_clone().unwrap();
    let (ids, record_of_sender) = (next_id.clone(), record.clone());
    let send = move |state: &Mutex<Seen>| {
        let id = ids.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "SELECT payload FROM entries WHERE ref = '{client:016x}' /* id={id:016x},c=browse-read,d=1000,cluster=0 */"
        );
        let mut state = state.lock().unwrap();
        state.sent.push_back((Instant::now(), id));
        record_of_sender.line(&format!("client {client} sent {id:x}"));
        drop(state);
        sender.write_all(&query(&text)).is_ok()
    };
    let mut send_next: Option<Box<dyn FnMut(&Mutex<Seen>) -> bool>> = None;
    if let Some(interval_ms) = interval_ms {
        let (mut send, state, over) = (send, state.clone(), over.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::SeqCst) && state.lock().unwrap().open && send(&state) {
                sleep_ms(interval_ms);
            }
        });
    } else {
        send_next = Some(Box::new(send));
    }
    let mut wire = wire;
    let mut count = 0;
    while !over.load(Ordering::SeqCst) {
        if let Some(send) = &mut send_next
            && !send(state)
        {
            break;
        }
        let Ok(reply) = wire.read_reply() else { break };
        let mut state = state.lock().unwrap();
        let Some((at, id)) = state.sent.pop_front() else { break };
        count += 1;
        record.line(&format!("client {client} got the answer to {id:x}: {:?}", answer_of(&reply)));
        state.answered = Some((at, count));
    }
    if !over.load(Ordering::SeqCst) {
        let mut state = state.lock().unwrap();
        state.open = false;
        let unread = state.sent.len();
        record.line(&format!(
            "client {client}: the proxy closed the connection, {unread} sent and not answered"
        ));
    }
}

/// A call to the operators' address.
fn http(address: SocketAddr, method: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}
