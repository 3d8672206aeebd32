//! Sessions on the extended listener that write, and read what they wrote a little later, while many other sessions
//! write once each. Replicas fall behind. Members answer reads from whatever data they have.

use super::Verdict;
use super::client::{Answer, Client};
use super::discovery::{Discovery, entry};
use super::member::{Group, Member};
use super::process::{Process, free_address, temporary_folder, wait_until_ready};
use super::record::Record;
use super::{settings, wire};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WRITE: &str = "INSERT INTO drafts (owner, text) VALUES ($1, $2) RETURNING text";
const READ: &str = "SELECT text FROM drafts WHERE owner = $1";
const LENGTH: Duration = Duration::from_secs(80);
/// How far two of the three replicas fall behind.
const BEHIND_MS: u64 = 3000;
/// The sessions that write and read all the time.
const SESSIONS: usize = 24;
/// The clients whose reads any member may serve.
const BROWSERS: usize = 3;
/// The connections on which other sessions write, and the time between two writes of one of them.
const WRITERS: usize = 16;
const WRITE_INTERVAL: Duration = Duration::from_millis(32);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let group = Group::new(record, 3, false);
    let names = ["db-1", "db-2", "db-3", "db-4"];
    let members: Vec<_> = names.iter().map(|name| Member::start(name, &group, *name == "db-1")).collect();
    let role = |name: &str| if name == "db-1" { "off" } else { "on" };
    let entries: Vec<_> =
        members.iter().map(|member| entry(member, 0, "SERVING", role(&member.name))).collect();
    let discovery = Discovery::start(record, 41, entries);
    let (listen, extended) = (free_address(), free_address());
    let file = folder.join("postgres.toml");
    std::fs::write(&file, settings::extended(extended, "own-draft", "file-entry", 1500)).unwrap();
    let config =
        settings::config("n1", listen, discovery.address, &discovery.complete_list(), settings::KEELUNG);
    let options = format!("--postgres {}", file.display());
    let _proxy = Process::proxy("n1", &options, &folder, &config, record);
    if !wait_until_ready(listen) {
        return Verdict::CouldNotRun("the proxy was not ready within 10 s".into());
    }
    if trouble {
        for replica in &members[2..] {
            replica.fall_behind(BEHIND_MS);
            record.line(format!("{} falls behind, by {BEHIND_MS} ms at most", replica.name));
        }
    }
    let start = |session: fn(usize, SocketAddr, &Record) -> (usize, Vec<String>), number: usize| {
        let record = record.clone();
        std::thread::spawn(move || session(number, extended, &record))
    };
    let sessions: Vec<_> = (0..SESSIONS).map(|number| start(session, number)).collect();
    let browsers: Vec<_> = (0..BROWSERS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || browser(number, listen, &record))
        })
        .collect();
    let writers: Vec<_> = (0..WRITERS).map(|number| start(writer, number)).collect();
    let results: Vec<_> = sessions.into_iter().map(|session| session.join().unwrap()).collect();
    let written: usize = writers.into_iter().map(|writer| writer.join().unwrap().0).sum();
    browsers.into_iter().for_each(|browser| browser.join().unwrap());
    let served: usize = results.iter().map(|(served, _)| served).sum();
    let stale: Vec<_> = results.into_iter().flat_map(|(_, stale)| stale).collect();
    record.say(format!(
        "{served} reads and writes of {SESSIONS} sessions were served, and a write of {written} others"
    ));
    if served < 1000 || written < 20_000 {
        return Verdict::CouldNotRun("too few requests were served".into());
    }
    stale.iter().for_each(|text| record.say(text));
    if stale.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// Writes and reads own data; returns the number of served requests, and the reads that did not see the session's
/// last acknowledged write.
fn session(number: usize, address: SocketAddr, record: &Record) -> (usize, Vec<String>) {
    let key = format!("{:016x}", 0xa000 + number);
    let (mut served, mut stale) = (0, Vec::new());
    // Two connections of a pool: one happens to get the writes, the other one the reads.
    let Some((mut client, mut other)) = connect(address).zip(connect(address)) else { return (0, stale) };
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < LENGTH {
        round += 1;
        let text = format!("text-{number}-{round}");
        let written = unit(&mut client, "w", &[&key, &text]);
        record.line(format!("session {key} writes {text}: {written:?}"));
        std::thread::sleep(Duration::from_millis(120 + 37 * ((number + round) as u64 % 10)));
        let answer = unit(&mut other, "r", &[&key]);
        record.line(format!("session {key} reads: {answer:?}"));
        served += usize::from(answer.is_served()) + usize::from(written.is_served());
        if let (true, Answer::Served(rows)) = (written.is_served(), &answer)
            && rows.first() != Some(&text)
        {
            stale.push(format!("session {key}: its read after the write of {text} was served {rows:?}"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    (served, stale)
}

/// Writes once for each of many sessions; returns the number of served writes.
fn writer(number: usize, address: SocketAddr, record: &Record) -> (usize, Vec<String>) {
    let Some(mut client) = connect(address) else { return (0, Vec::new()) };
    let (start, mut served, mut round) = (Instant::now(), 0, 0_usize);
    while start.elapsed() < LENGTH {
        let key = format!("{:016x}", 0x10_0000 + round * WRITERS + number);
        let answer = unit(&mut client, "w", &[&key, "one"]);
        record.line(format!("session {key} writes one: {answer:?}"));
        served += usize::from(answer.is_served());
        round += 1;
        std::thread::sleep((WRITE_INTERVAL * round as u32).saturating_sub(start.elapsed()));
    }
    (served, Vec::new())
}

/// Reads of a class that any member may serve, on the platform's listener.
fn browser(number: usize, address: SocketAddr, record: &Record) {
    let Ok(mut client) = Client::connect(address) else { return };
    let (start, mut round) = (Instant::now(), 0);
    while start.elapsed() < LENGTH {
        round += 1;
        let id = format!("{number:04x}{round:012x}");
        let sql = format!(
            "SELECT text FROM tariffs WHERE ref = '{id}' /* id={id},c=tariff-lookup,d=2500,cluster=0 */"
        );
        let answer = client.query(&sql);
        record.line(format!("browser {number}: {answer:?}"));
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Connects, and prepares the write and the read; tries again where the proxy refuses that.
fn connect(address: SocketAddr) -> Option<Client> {
    for _ in 0..50 {
        let mut client = Client::connect(address).ok()?;
        let mut out = Vec::new();
        wire::parse(&mut out, "w", WRITE);
        wire::parse(&mut out, "r", READ);
        wire::sync(&mut out);
        client.send(&out).ok()?;
        if client.answer().is_served() {
            return Some(client);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    None
}

fn unit(client: &mut Client, statement: &str, values: &[&str]) -> Answer {
    let mut out = Vec::new();
    wire::bind(&mut out, statement, values);
    wire::execute(&mut out);
    wire::sync(&mut out);
    match client.send(&out) {
        Ok(()) => client.answer(),
        Err(error) => Answer::None(error.to_string()),
    }
}
