//! Batches with a read whose data may be 800 ms old and a read of own writes, while a replica falls behind.

use crate::common::*;
use crate::config::{KEELUNG_CLASSES, config};
use crate::discovery::{Discovery, Target};
use crate::member::{Follows, GroupLog, Member};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

const CLIENTS: u64 = 12;
const WORK_MS: u64 = 51;
/// The bound of the class `status-check` (site file: 800 ms), 50 ms for sockets, and an allowance for a busy machine.
const BOUND_MS: u64 = 800;
const SLACK_MS: u64 = 50 + 100;
/// How often the status is written.
const TICK_MS: u64 = 100;
/// One of eight members is slow, 8 s at a time: its thread for the log, busy 43% of the time (30 to 56), runs at a
/// sixth of its speed.
const SLOW: Follows = Follows::Slow { from_ms: 0, period_ms: 8000, slow: 1.0 / 0.43 / 6.0, fast: 1.0 / 0.43 };
const BEHIND_MS: [u64; 2] = [5000, 37000];
const DURATION_MS: u64 = 40000;

const STATUS: &str = "SELECT payload FROM status /* c=status-check,d=1200,cluster=0 */";
const DRAFT: &str = "SELECT payload FROM drafts WHERE ref = $1 /* c=own-draft,d=1500,cluster=0 */";
/// The key of the status in the stand-ins' log: the read has no parameter.
const STATUS_KEY: &str = "";

#[derive(Default)]
struct Counts {
    batches: AtomicU64,
    alone: AtomicU64,
    unserved: AtomicU64,
    stale: Mutex<Vec<String>>,
    stale_alone: Mutex<Vec<String>>,
}

pub fn run(arguments: &Arguments) -> i32 {
    let record = Record::create(&arguments.folder.join("record.txt"));
    let log = Arc::new(GroupLog::default());
    let mut members = Vec::new();
    let mut targets = Vec::new();
    for index in 0..8 {
        let primary = index % 4 == 0;
        let member = Member::new(&format!("m{index}"), primary, Follows::Lag(5), WORK_MS, &log, &record);
        targets.push(Target {
            uid: format!("s-{index}"),
            endpoint: member.listen(),
            group: index / 4,
            state: "SERVING",
            boot_ms: 0,
            primary,
        });
        members.push(member);
    }
    let discovery = Discovery::start(targets);
    let (listen, extended) = (free_address(), free_address());
    let file = arguments.temporary.join("config.json");
    std::fs::write(&file, config(listen, &discovery, KEELUNG_CLASSES, "silent")).unwrap();
    // deploy/postgres.toml, with a free port and the site's classes.
    let postgres = std::fs::read_to_string(arguments.root.join("deploy/postgres.toml"))
        .unwrap_or_else(|error| cannot_run(&format!("deploy/postgres.toml: {error}")));
    let postgres = postgres
        .replace("127.0.0.1:6544", &extended.to_string())
        .replace("own-profile-read", "own-draft")
        .replace("member-write", "file-entry");
    let postgres_file = arguments.temporary.join("postgres.toml");
    std::fs::write(&postgres_file, postgres).unwrap();
    let more = format!("--postgres {}", postgres_file.display());
    let mut proxy = Process::start(arguments, &record, "proxy", &file, &more);
    wait_until_ready(listen);
    let counts = Arc::new(Counts::default());
    let over = Arc::new(AtomicBool::new(false));
    // The status is written at the primary all the time, by others.
    let (writer_log, writer_over) = (log.clone(), over.clone());
    std::thread::spawn(move || {
        while !writer_over.load(Ordering::SeqCst) {
            writer_log.commit(STATUS_KEY, &unix_ms().to_string());
            sleep_ms(TICK_MS);
        }
    });
    sleep_ms(2 * TICK_MS);
    // The proxy has heard of the primary before the clients come, as after any write.
    write_once(extended);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (counts, over, record) = (counts.clone(), over.clone(), record.clone());
            std::thread::spawn(move || client(number, extended, &counts, &over, &record))
        })
        .collect();
    sleep_ms(BEHIND_MS[0]);
    if arguments.trouble {
        let Follows::Slow { period_ms, slow, fast, .. } = SLOW else { unreachable!() };
        record.line(&format!("{} is slow for {period_ms} ms, then not, in turn", members[1].name));
        *members[1].follows.lock().unwrap() = Follows::Slow { from_ms: unix_ms(), period_ms, slow, fast };
    }
    sleep_ms(BEHIND_MS[1] - BEHIND_MS[0]);
    *members[1].follows.lock().unwrap() = Follows::Lag(5);
    sleep_ms(DURATION_MS - BEHIND_MS[1]);
    over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if let Some(status) = proxy.end() {
        record.say(&format!("the proxy ended by itself: {status}"));
        return 1;
    }
    let (stale, stale_alone) = (counts.stale.lock().unwrap(), counts.stale_alone.lock().unwrap());
    record.say(&format!(
        "{} batches answered, {} of them with a status older than its class allows; {} reads of the status alone answered, \
         {} of them too old; {} requests not served",
        counts.batches.load(Ordering::SeqCst),
        stale.len(),
        counts.alone.load(Ordering::SeqCst),
        stale_alone.len(),
        counts.unserved.load(Ordering::SeqCst)
    ));
    stale.iter().chain(stale_alone.iter()).take(3).for_each(|text| record.say(text));
    if counts.batches.load(Ordering::SeqCst) == 0 {
        cannot_run("no batch was answered");
    }
    i32::from(!stale.is_empty() || !stale_alone.is_empty())
}

/// One write, whose answer tells the proxy the primary.
fn write_once(address: SocketAddr) {
    let sql = "INSERT INTO entries (ref, payload) VALUES ($1, $2) RETURNING payload";
    let bytes = [parse("w", sql), bind("w", &["00000000000000aa", "first"]), execute(), sync()].concat();
    let wrote = Wire::connect(address, 5000).ok().and_then(|mut wire| ask(&mut wire, &bytes));
    if wrote.map(|values| values.len()) != Some(1) {
        cannot_run("the first write was not answered");
    }
}

/// An app server: for each page it reads the status and the member's draft in one batch; sometimes the status alone.
fn client(number: u64, address: SocketAddr, counts: &Counts, over: &AtomicBool, record: &Record) {
    let mut draws = Draws(0x51ed_270b + number * 7919);
    let mut connection: Option<Wire> = None;
    sleep_ms(draws.below(300));
    while !over.load(Ordering::SeqCst) {
        if connection.is_none() {
            connection = Wire::connect(address, 8000).ok().and_then(|mut wire| {
                wire.send(&[parse("s", STATUS), parse("d", DRAFT), sync()].concat()).ok()?;
                wire.read_reply().ok()?;
                Some(wire)
            });
            if connection.is_none() {
                sleep_ms(100);
                continue;
            }
        }
        let Some(wire) = connection.as_mut() else { continue };
        let alone = draws.below(3) == 0;
        // Each page is another member's: many sessions, each now and then.
        let session = format!("{:016x}", (0x7f3a_9c21 << 32) + draws.below(1 << 32));
        let mut bytes = Vec::new();
        if !alone {
            bytes.extend([bind("d", &[&session]), execute()].concat());
        }
        bytes.extend([bind("s", &[]), execute(), sync()].concat());
        let sent_ms = unix_ms();
        record.line(&format!(
            "client {number} at {sent_ms}: sends the status{}",
            if alone { "" } else { " and a draft" }
        ));
        let values = ask(wire, &bytes);
        record.line(&format!("client {number} at {sent_ms}: alone {alone}, answered {values:?}"));
        match values {
            None => connection = None,
            Some(values) if values.is_empty() => {
                counts.unserved.fetch_add(1, Ordering::SeqCst);
            }
            Some(values) => {
                let (count, stale) = match alone {
                    true => (&counts.alone, &counts.stale_alone),
                    false => (&counts.batches, &counts.stale),
                };
                count.fetch_add(1, Ordering::SeqCst);
                let written_ms: u64 = values[values.len() - 1].parse().unwrap_or(0);
                // A status that was written later than this had to be seen: it was committed before the bound, which
                // counts from the send to the member, and that comes after the client's.
                let least_ms = sent_ms - BOUND_MS - SLACK_MS - TICK_MS;
                if written_ms < least_ms {
                    let text = format!(
                        "STALE: client {number} asked at {sent_ms} and got the status of {written_ms}, {} ms old (alone: {alone})",
                        sent_ms - written_ms
                    );
                    record.line(&text);
                    stale.lock().unwrap().push(text);
                }
            }
        }
        sleep_ms(draws.between(100, 400));
    }
}

/// The values of the rows, none for an error; `None` if the connection ended.
fn ask(wire: &mut Wire, bytes: &[u8]) -> Option<Vec<String>> {
    wire.send(bytes).ok()?;
    let reply = wire.read_reply().ok()?;
    if reply.iter().any(|(tag, _)| *tag == b'E') {
        return Some(Vec::new());
    }
    let rows = reply.iter().filter(|(tag, _)| *tag == b'D');
    Some(
        rows.map(|(_, body)| String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned())
            .collect(),
    )
}
