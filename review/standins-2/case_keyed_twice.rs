//! Writes on the extended listener in a class that carries a key, by clients whose statement names no key.
//! Connections are reset under some of them.

use super::Verdict;
use super::client::Client;
use super::discovery::{Discovery, entry};
use super::member::{Fault, Group, Member};
use super::process::{Process, free_address, temporary_folder, wait_until_ready};
use super::record::Record;
use super::{settings, wire};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const WRITE: &str = "INSERT INTO picks (ref, mark) VALUES ($1, $2) RETURNING mark";
const READ: &str = "SELECT mark FROM picks WHERE ref = $1";
const LENGTH: Duration = Duration::from_secs(20);
/// One in this many writes on the extended listener loses its connection.
const RESET_EVERY: usize = 10;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let group = Group::new(record, 12, true);
    let names = ["db-1", "db-2", "db-3", "db-4"];
    let members: Vec<_> = names.iter().map(|name| Member::start(name, &group, *name == "db-1")).collect();
    if trouble {
        let mut writes = 0;
        members[0].choose(move |text| {
            writes += usize::from(text == WRITE);
            (text == WRITE && writes % RESET_EVERY == 0).then_some(Fault::ResetAfterRun)
        });
    }
    let entries: Vec<_> = members.iter().map(|member| entry(member, 0, "SERVING", "")).collect();
    let discovery = Discovery::start(record, 41, entries);
    let (listen, extended) = (free_address(), free_address());
    let file = folder.join("postgres.toml");
    std::fs::write(&file, settings::extended(extended, "own-picks", "save-change", 2000)).unwrap();
    let config =
        settings::config("n1", listen, discovery.address, &discovery.complete_list(), settings::ATHENS);
    let options = format!("--postgres {}", file.display());
    let _proxy = Process::proxy("n1", &options, &folder, &config, record);
    if !wait_until_ready(listen) {
        return Verdict::CouldNotRun("the proxy was not ready within 10 s".into());
    }
    let clients: Vec<_> = (0..3)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || extended_client(number, extended, &record))
        })
        .chain((0..3).map(|number| {
            let record = record.clone();
            std::thread::spawn(move || platform_client(number, listen, &record))
        }))
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    if served < 300 {
        return Verdict::CouldNotRun(format!("only {served} requests were served"));
    }
    let mut counts: HashMap<(String, String), usize> = HashMap::new();
    for run in group.runs().into_iter().filter(|run| run.sql.starts_with("INSERT")) {
        *counts.entry((run.values[0].clone(), run.values[1].clone())).or_default() += 1;
    }
    let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    record.say(format!("{} writes ran, {served} requests were served", counts.len()));
    for ((key, value), count) in &twice {
        record.say(format!("the write of {value} for {key} ran {count} times"));
    }
    if twice.is_empty() { Verdict::Held } else { Verdict::Broken }
}

/// A client of the extended listener: prepares once, then writes and reads what it wrote.
fn extended_client(number: usize, address: std::net::SocketAddr, record: &Record) -> usize {
    let Ok(mut client) = Client::connect(address) else { return 0 };
    let mut out = Vec::new();
    wire::parse(&mut out, "w", WRITE);
    wire::parse(&mut out, "r", READ);
    wire::sync(&mut out);
    if client.send(&out).is_err() || !client.answer().is_served() {
        return 0;
    }
    let (start, mut served, mut round) = (Instant::now(), 0, 0);
    while start.elapsed() < LENGTH {
        round += 1;
        let (key, value) = (format!("e{number}"), format!("mark-{number}-{round}"));
        for (statement, values) in [("w", vec![key.as_str(), value.as_str()]), ("r", vec![key.as_str()])] {
            let mut out = Vec::new();
            wire::bind(&mut out, statement, &values);
            wire::execute(&mut out);
            wire::sync(&mut out);
            record.line(format!("extended client {number} sends {statement} {values:?}"));
            if client.send(&out).is_err() {
                return served;
            }
            let answer = client.answer();
            record.line(format!("extended client {number} is answered {answer:?}"));
            served += usize::from(answer.is_served());
            std::thread::sleep(Duration::from_millis(40));
        }
    }
    served
}

/// A client of the platform's listener, whose writes carry a key each.
fn platform_client(number: usize, address: std::net::SocketAddr, record: &Record) -> usize {
    let Ok(mut client) = Client::connect(address) else { return 0 };
    let (start, mut served, mut round) = (Instant::now(), 0, 0);
    while start.elapsed() < LENGTH {
        round += 1;
        let (key, value) = (format!("{number:016x}"), format!("pick-{number}-{round}"));
        let id = format!("{number:02x}{round:014x}");
        let sql = match round % 4 {
            0 => format!(
                "INSERT INTO entries (ref, payload) VALUES ('{key}', '{value}') RETURNING payload /* id={id},c=save-change,d=2000,k={id},cluster=0 */"
            ),
            _ => format!(
                "SELECT payload FROM entries WHERE ref = '{key}' /* id={id},c=archive-browse,d=1200,cluster=0 */"
            ),
        };
        let answer = client.query(&sql);
        record.line(format!("platform client {number}: {sql} -> {answer:?}"));
        served += usize::from(answer.is_served());
        std::thread::sleep(Duration::from_millis(40));
    }
    served
}
