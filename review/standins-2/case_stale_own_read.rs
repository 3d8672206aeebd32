//! Sessions on the extended listener that write, and read what they wrote a little later. Replicas are replaced
//! meanwhile: a new one starts from a copy some seconds old, and catches up.

use super::Verdict;
use super::client::{Answer, Client};
use super::discovery::{Discovery, entry};
use super::member::{Group, Member};
use super::process::{Process, free_address, temporary_folder, wait_until_ready};
use super::record::Record;
use super::{settings, wire};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WRITE: &str = "INSERT INTO profiles (member, text) VALUES ($1, $2) RETURNING text";
const READ: &str = "SELECT text FROM profiles WHERE member = $1";
const LENGTH: Duration = Duration::from_secs(40);
/// How old the copy is that a new replica starts from; the page has 2 to 5.4 s.
const COPY_AGE_MS: u64 = 5200;
/// How long after its start a new replica is listed; the site file has 0.73 to 2.5 s.
const LISTED_AFTER: Duration = Duration::from_millis(800);
const SESSIONS: usize = 24;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let group = Group::new(record, 12, false);
    let names = ["db-1", "db-2", "db-3", "db-4", "db-5"];
    let members: Vec<_> = names.iter().map(|name| Member::start(name, &group, *name == "db-1", 0)).collect();
    let role = |name: &str| if name == "db-1" { "off" } else { "on" };
    let entries: Vec<_> =
        members.iter().map(|member| entry(member, 0, "SERVING", role(&member.name))).collect();
    let discovery = Discovery::start(record, 41, entries);
    let (listen, extended) = (free_address(), free_address());
    let file = folder.join("postgres.toml");
    std::fs::write(&file, settings::extended(extended, "own-profile-read", "member-write", 1200)).unwrap();
    let config =
        settings::config("n1", listen, discovery.address, &discovery.complete_list(), settings::PORT_LOUIS);
    let options = format!("--postgres {}", file.display());
    let _proxy = Process::proxy("n1", &options, &folder, &config, record);
    if !wait_until_ready(listen) {
        return Verdict::CouldNotRun("the proxy was not ready within 10 s".into());
    }
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || session(number, extended, &record))
        })
        .collect();
    if trouble {
        // Three of the five members are replaced, one every 7 s: the new one joins, 2 s later the old one drains.
        for step in 0..3 {
            std::thread::sleep(Duration::from_millis(4200));
            let joined = Member::start(&format!("db-{}", 6 + step), &group, false, COPY_AGE_MS);
            std::thread::sleep(LISTED_AFTER);
            discovery.change(entry(&joined, 0, "SERVING", "on"));
            std::thread::sleep(Duration::from_secs(2));
            discovery.change(entry(&members[1 + step], 0, "DRAINING", "on"));
        }
    }
    let results: Vec<_> = sessions.into_iter().map(|session| session.join().unwrap()).collect();
    let served: usize = results.iter().map(|(served, _)| served).sum();
    let stale: Vec<_> = results.into_iter().flat_map(|(_, stale)| stale).collect();
    record.say(format!("{served} reads and writes were served"));
    if served < 1000 {
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
    let Ok(mut client) = Client::connect(address) else { return (0, stale) };
    let mut out = Vec::new();
    wire::parse(&mut out, "w", WRITE);
    wire::parse(&mut out, "r", READ);
    wire::sync(&mut out);
    if client.send(&out).is_err() || !client.answer().is_served() {
        return (0, stale);
    }
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < LENGTH {
        round += 1;
        let text = format!("text-{number}-{round}");
        let written = unit(&mut client, "w", &[&key, &text]);
        record.line(format!("session {key} writes {text}: {written:?}"));
        for read in 1..=2 {
            std::thread::sleep(Duration::from_millis(140 + 37 * ((number + round) as u64 % 7)));
            let answer = unit(&mut client, "r", &[&key]);
            record.line(format!("session {key} reads: {answer:?}"));
            served += usize::from(answer.is_served());
            if let (true, Answer::Served(rows)) = (written.is_served(), &answer)
                && rows.first() != Some(&text)
            {
                stale.push(format!("session {key}, read {read} after the write of {text}: served {rows:?}"));
            }
        }
        served += usize::from(written.is_served());
    }
    (served, stale)
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
