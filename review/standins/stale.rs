//! Reads of own writes over the extended listener, while replicas fall behind. A client is an app server with
//! prepared statements: it writes, has the answer, and a while later reads what the session has written.

use crate::common::*;
use crate::config::{CLASSES, KEELUNG_CLASSES, config};
use crate::discovery::{Discovery, Target};
use crate::member::{Follows, GroupLog, Member};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// When replicas begin to fall behind, and until when they may be, from the start of the clients.
const BEHIND_MS: [u64; 2] = [5000, 37000];
const DURATION_MS: u64 = 40000;
const CLIENTS: u64 = 16;

const WRITE: &str = "INSERT INTO entries (ref, payload) VALUES ($1, $2) RETURNING payload";
const READ: &str = "SELECT payload FROM entries WHERE ref = $1";

/// A read that any member may serve, of the session too.
const BROWSE: &str = "SELECT payload FROM tariffs WHERE ref = $1 /* c=BROWSE,cluster=0 */";

/// What a case plays.
pub struct Plan {
    /// The sessions whose writes are in one batch. The read is of the last one's.
    sessions: u64,
    /// Whether the session makes a read that any member may serve between its write and its read of what it wrote, and
    /// the app server reads on another connection of its pool than it writes.
    browses: bool,
    groups: u32,
    classes: &'static str,
    /// The settings' word for what members do with a read that they are too far behind for.
    when_behind: &'static str,
    /// The classes that take the place of those in `deploy/postgres.toml`.
    read_class: &'static str,
    write_class: &'static str,
    /// A class of reads that any member may serve.
    browse_class: &'static str,
    work_ms: u64,
    /// The replicas that fall behind.
    behind: usize,
    /// How long such a replica is slow, and then as fast as ever, in turn.
    period_ms: u64,
    /// The seconds of the log that it applies in a second while it is slow, and in the others.
    slow: f64,
    fast: f64,
}

/// Keelung: one of eight members is slow, for 8 s at a time. Its thread for the log is busy 43% of the time (30 to
/// 56), and runs at a sixth of its speed while the member is slow.
pub const KEELUNG_BATCH: Plan = Plan {
    sessions: 2,
    browses: false,
    groups: 2,
    classes: KEELUNG_CLASSES,
    when_behind: "silent",
    read_class: "own-draft",
    write_class: "file-entry",
    browse_class: "tariff-lookup",
    work_ms: 84,
    behind: 1,
    period_ms: 8000,
    slow: 1.0 / 0.43 / 6.0,
    fast: 1.0 / 0.43,
};

/// The same with one session in a batch, which browses between its write and its read.
pub const KEELUNG_BROWSE: Plan = Plan { sessions: 1, browses: true, ..KEELUNG_BATCH };

/// Port Louis: on two of four db boxes (up to 50%) another program takes 70% of the machine (31 to 73), 4 s on and
/// 4 s off (1.4 to 4.8), for 32 s (15 to 40). The thread for the log is busy half of the time (34 to 57%).
pub const PORT_LOUIS: Plan = Plan {
    sessions: 1,
    browses: false,
    groups: 1,
    classes: CLASSES,
    when_behind: "hold",
    read_class: "own-profile-read",
    write_class: "member-write",
    browse_class: "browse-read",
    work_ms: 58,
    behind: 2,
    period_ms: 4000,
    slow: 0.3 / 0.5,
    fast: 1.0 / 0.5,
};

#[derive(Default)]
struct Counts {
    writes: AtomicU64,
    reads: AtomicU64,
    unserved: AtomicU64,
    stale: Mutex<Vec<String>>,
}

pub fn run(arguments: &Arguments, plan: &Plan) -> i32 {
    let record = Record::create(&arguments.folder.join("record.txt"));
    let log = Arc::new(GroupLog::default());
    let mut members = Vec::new();
    let mut targets = Vec::new();
    for index in 0..4 * plan.groups {
        let primary = index % 4 == 0;
        let member = Member::new(&format!("m{index}"), primary, Follows::Lag(5), plan.work_ms, &log, &record);
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
    std::fs::write(&file, config(listen, &discovery, plan.classes, plan.when_behind)).unwrap();
    // deploy/postgres.toml, with a free port and the site's classes.
    let postgres = std::fs::read_to_string(arguments.root.join("deploy/postgres.toml"))
        .unwrap_or_else(|error| cannot_run(&format!("deploy/postgres.toml: {error}")));
    let postgres = postgres
        .replace("127.0.0.1:6544", &extended.to_string())
        .replace("own-profile-read", plan.read_class)
        .replace("member-write", plan.write_class);
    let postgres_file = arguments.temporary.join("postgres.toml");
    std::fs::write(&postgres_file, postgres).unwrap();
    let more = format!("--postgres {}", postgres_file.display());
    let mut proxy = Process::start(arguments, &record, "proxy", &file, &more);
    wait_until_ready(listen);
    record.line("the proxy is ready");

    let counts = Arc::new(Counts::default());
    let over = Arc::new(AtomicBool::new(false));
    let (sessions, browses, browse_class) = (plan.sessions, plan.browses, plan.browse_class);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (counts, over, record) = (counts.clone(), over.clone(), record.clone());
            std::thread::spawn(move || {
                client(number, sessions, browses, browse_class, extended, &counts, &over, &record)
            })
        })
        .collect();
    sleep_ms(BEHIND_MS[0]);
    let from_ms = unix_ms();
    for member in &members[1..=plan.behind] {
        if arguments.trouble {
            record.line(&format!("{} is slow for {} ms, then not, in turn", member.name, plan.period_ms));
            *member.follows.lock().unwrap() =
                Follows::Slow { from_ms, period_ms: plan.period_ms, slow: plan.slow, fast: plan.fast };
        }
    }
    sleep_ms(BEHIND_MS[1] - BEHIND_MS[0]);
    members.iter().for_each(|member| *member.follows.lock().unwrap() = Follows::Lag(5));
    sleep_ms(DURATION_MS - BEHIND_MS[1]);
    over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if let Some(status) = proxy.end() {
        record.say(&format!("the proxy ended by itself: {status}"));
        return 1;
    }
    let stale = counts.stale.lock().unwrap();
    record.say(&format!(
        "{} writes answered, {} reads of own writes answered, {} requests not served, {} reads did not see their \
         session's last answered write",
        counts.writes.load(Ordering::SeqCst),
        counts.reads.load(Ordering::SeqCst),
        counts.unserved.load(Ordering::SeqCst),
        stale.len()
    ));
    stale.iter().take(3).for_each(|text| record.say(text));
    if counts.reads.load(Ordering::SeqCst) == 0 {
        cannot_run("no read was answered");
    }
    i32::from(!stale.is_empty())
}

/// An app server: writes, waits for the answer, and reads a while later what its session has written.
fn client(
    number: u64,
    sessions: u64,
    browses: bool,
    browse_class: &str,
    address: SocketAddr,
    counts: &Counts,
    over: &AtomicBool,
    record: &Record,
) {
    let mut draws = Draws(0x9e37_79b9 + number * 7919);
    let names: Vec<String> =
        (0..sessions).map(|session| format!("{:08x}{number:08x}", 0x7f3a_9c21 + session)).collect();
    let mut connections: Option<(Wire, Option<Wire>)> = None;
    let mut written = 0;
    sleep_ms(draws.below(400));
    while !over.load(Ordering::SeqCst) {
        if connections.is_none() {
            connections = connect(address, browse_class).and_then(|writer| {
                let reader = if browses { Some(connect(address, browse_class)?) } else { None };
                Some((writer, reader))
            });
            if connections.is_none() {
                sleep_ms(100);
                continue;
            }
        }
        let Some((writer, reader)) = connections.as_mut() else { continue };
        written += 1;
        // One write for each session, in one batch.
        let mut batch = Vec::new();
        for session in &names {
            batch.extend([bind("w", &[session, &format!("{session}-{written}")]), execute()].concat());
        }
        record.line(&format!("client {number} sends write {written} for {names:?}"));
        let wrote = ask(writer, &[batch, sync()].concat());
        record.line(&format!("client {number} wrote {written} for {names:?}: {wrote:?}"));
        match wrote {
            Some(Answer::Served(_)) => counts.writes.fetch_add(1, Ordering::SeqCst),
            Some(Answer::Error(_)) => counts.unserved.fetch_add(1, Ordering::SeqCst),
            None => {
                connections = None;
                continue;
            }
        };
        let is_acknowledged = matches!(wrote, Some(Answer::Served(_)));
        // The site files: a session's reads come 140 to 620 ms (Keelung: 120 to 790) after its write in the mean.
        sleep_ms(draws.between(80, 480));
        let session = &names[names.len() - 1];
        let reader = reader.as_mut().unwrap_or(writer);
        if browses {
            record.line(&format!("client {number} sends a browse read for {session}"));
            let browsed = ask(reader, &[bind("b", &[session]), execute(), sync()].concat());
            record.line(&format!("client {number} browsed as {session}: {browsed:?}"));
            if browsed.is_none() {
                connections = None;
                continue;
            }
            sleep_ms(draws.between(20, 120));
        }
        record.line(&format!("client {number} sends an own read for {session}"));
        let read = ask(reader, &[bind("r", &[session]), execute(), sync()].concat());
        record.line(&format!("client {number} read {session}: {read:?}"));
        match read {
            Some(Answer::Served(seen)) => {
                counts.reads.fetch_add(1, Ordering::SeqCst);
                let last = seen.rsplit('-').next().and_then(|digits| digits.parse::<u64>().ok()).unwrap_or(0);
                if is_acknowledged && last < written {
                    let text = format!(
                        "STALE: client {number} had the answer to write {written} of session {session}, then read {seen}"
                    );
                    record.line(&text);
                    counts.stale.lock().unwrap().push(text);
                }
            }
            Some(Answer::Error(_)) => {
                counts.unserved.fetch_add(1, Ordering::SeqCst);
            }
            None => connections = None,
        }
        sleep_ms(draws.between(100, 500));
    }
}

/// A connection with the statements prepared.
fn connect(address: SocketAddr, browse_class: &str) -> Option<Wire> {
    let mut wire = Wire::connect(address, 8000).ok()?;
    wire.send(
        &[parse("w", WRITE), parse("r", READ), parse("b", &BROWSE.replace("BROWSE", browse_class)), sync()]
            .concat(),
    )
    .ok()?;
    let reply = wire.read_reply().ok()?;
    (answer_of(&reply).is_none()).then_some(wire)
}

fn ask(wire: &mut Wire, bytes: &[u8]) -> Option<Answer> {
    wire.send(bytes).ok()?;
    answer_of(&wire.read_reply().ok()?)
}
