//! A bad client on the extended listener: hundreds of commands, each with named portals, and no Sync. Beside it,
//! ordinary clients on the platform's listener, and the platform, which kills a proxy that is over its memory.

use crate::common::*;
use crate::config::{CLASSES, config};
use crate::discovery::{Discovery, Target};
use crate::member::{Follows, GroupLog, Member};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const MEMORY_MB: u64 = 192;
const CLIENTS: u64 = 8;
const WORK_MS: u64 = 58;
/// The commands of the bad client. LATER 1: "hundreds of commands at once".
const COMMANDS: u64 = 990;
/// The portals that one command binds, and the bytes of each one's value: at most 64 KiB a value.
const PORTALS: u64 = 4;
const VALUE_BYTES: usize = 62_000;

pub fn run(arguments: &Arguments) -> i32 {
    let record = Record::create(&arguments.folder.join("record.txt"));
    let log = Arc::new(GroupLog::default());
    let targets = (0..4).map(|index| {
        let member = Member::new(&format!("m{index}"), index == 0, Follows::Lag(5), WORK_MS, &log, &record);
        Target {
            uid: format!("s-{index}"),
            endpoint: member.listen(),
            group: 0,
            state: "SERVING",
            boot_ms: 0,
            primary: index == 0,
        }
    });
    let discovery = Discovery::start(targets.collect());
    let (listen, extended) = (free_address(), free_address());
    let file = arguments.temporary.join("config.json");
    std::fs::write(&file, config(listen, &discovery, CLASSES, "hold")).unwrap();
    let postgres = std::fs::read_to_string(arguments.root.join("deploy/postgres.toml"))
        .unwrap_or_else(|error| cannot_run(&format!("deploy/postgres.toml: {error}")));
    let postgres_file = arguments.temporary.join("postgres.toml");
    std::fs::write(&postgres_file, postgres.replace("127.0.0.1:6544", &extended.to_string())).unwrap();
    let more = format!("--postgres {}", postgres_file.display());
    let mut proxy = Process::start(arguments, &record, "proxy", &file, &more);
    wait_until_ready(listen);

    let over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(Mutex::new(Vec::new()));
    for number in 0..CLIENTS {
        let (over, answered, lost, record) = (over.clone(), answered.clone(), lost.clone(), record.clone());
        std::thread::spawn(move || ordinary_client(number, listen, &over, &answered, &lost, &record));
    }
    sleep_ms(2000);
    if arguments.trouble {
        let (over, record) = (over.clone(), record.clone());
        std::thread::spawn(move || bad_client(extended, &over, &record));
    }
    let mut highest = 0;
    let mut is_killed = false;
    for _ in 0..750 {
        sleep_ms(20);
        let Some(memory_kib) = proxy.memory_kib() else { break };
        highest = highest.max(memory_kib);
        if memory_kib > MEMORY_MB * 1024 {
            record.say(&format!(
                "the proxy uses {} MiB, its limit is {MEMORY_MB}: the platform kills it",
                memory_kib / 1024
            ));
            proxy.signal("KILL");
            is_killed = true;
            break;
        }
    }
    sleep_ms(300);
    over.store(true, Ordering::SeqCst);
    sleep_ms(200);
    let ended = proxy.end();
    let lost = lost.lock().unwrap();
    record.say(&format!(
        "{} requests of ordinary clients answered, {} taken and never answered, at most {} MiB used",
        answered.load(Ordering::SeqCst),
        lost.len(),
        highest / 1024
    ));
    lost.iter().take(3).for_each(|text: &String| record.say(text));
    if let (Some(status), false) = (ended, is_killed) {
        record.say(&format!("the proxy ended by itself: {status}"));
    }
    i32::from(is_killed || ended.is_some() || !lost.is_empty())
}

/// Binds portals without end and sends no Sync, at full speed, and reads what it is sent.
fn bad_client(address: SocketAddr, over: &AtomicBool, record: &Record) {
    let Ok(mut wire) = Wire::connect(address, 8000) else { return };
    let sql = "SELECT payload FROM entries WHERE ref = $1 AND note = $2 /* c=browse-read,d=1000,cluster=0 */";
    let prepared = wire.send(&[parse("r", sql), sync()].concat()).and_then(|()| wire.read_reply());
    if prepared.is_err() {
        return;
    }
    let value = "v".repeat(VALUE_BYTES);
    for command in 0..COMMANDS {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let mut bytes = Vec::new();
        for portal in 0..PORTALS {
            bytes.extend(bind_named(&format!("p{command}-{portal}"), "r", &["7f3a9c21e0b4d655", &value]));
        }
        bytes.extend(message(b'H', &[]));
        if wire.send(&bytes).is_err() {
            return record.line(&format!("bad client: closed after {command} commands"));
        }
        for _ in 0..PORTALS {
            match read_message(&mut wire.stream) {
                Ok((b'2', _)) => {}
                answer => {
                    let tag = answer.map(|(tag, body)| (tag as char, answer_of(&[(tag, body)])));
                    record.line(&format!("bad client: {tag:?} after {command} commands"));
                    if tag.is_err() {
                        return;
                    }
                    // Turned away: it ends the transaction, and goes on.
                    let _ = wire.send(&sync()).and_then(|()| wire.read_reply());
                    break;
                }
            }
        }
        if command % 50 == 0 {
            record.line(&format!("bad client: {command} commands sent and answered"));
        }
    }
    record.line(&format!("bad client: all {COMMANDS} commands sent and answered"));
    while !over.load(Ordering::SeqCst) {
        sleep_ms(20);
    }
}

/// A client that reads and writes, one request at a time, on a connection that it keeps.
fn ordinary_client(
    number: u64,
    address: SocketAddr,
    over: &AtomicBool,
    answered: &AtomicU64,
    lost: &Mutex<Vec<String>>,
    record: &Record,
) {
    let Ok(mut wire) = Wire::connect(address, 8000) else { return };
    let mut draws = Draws(77 + number);
    let mut count = 0;
    while !over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{number:04x}{count:08x}");
        let text = match draws.below(3) {
            0 => format!(
                "INSERT INTO entries (ref, payload) VALUES ('{number:016x}', '{id}') RETURNING payload /* id={id},c=member-write,d=5000,cluster=0 */"
            ),
            _ => format!(
                "SELECT payload FROM entries WHERE ref = '{number:016x}' /* id={id},c=browse-read,d=1000,cluster=0 */"
            ),
        };
        record.line(&format!("client {number} sends {id}"));
        if wire.send(&query(&text)).is_err() {
            return;
        }
        match wire.read_reply() {
            Ok(reply) => {
                answered.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("client {number} {id}: {:?}", answer_of(&reply)));
            }
            Err(error) => {
                let text = format!("client {number}: request {id} was taken and never answered ({error})");
                record.line(&text);
                lost.lock().unwrap().push(text);
                return;
            }
        }
        sleep_ms(draws.between(10, 60));
    }
}
