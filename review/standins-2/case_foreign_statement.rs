//! Clients of the extended listener that prepare the unnamed statement in one unit and bind it in the next, sent
//! behind each other. The primary's queue is full now and then, so that it turns units away.

use super::Verdict;
use super::client::{Answer, Client};
use super::discovery::{Discovery, entry};
use super::member::{Fault, Group, Member};
use super::process::{Process, free_address, temporary_folder, wait_until_ready};
use super::record::Record;
use super::{settings, wire};
use std::time::{Duration, Instant};

const LIKE: &str = "INSERT INTO likes (member, liked) VALUES ($1, $2) RETURNING liked";
const MESSAGE: &str = "INSERT INTO messages (member, text) VALUES ($1, $2) RETURNING text";
const LENGTH: Duration = Duration::from_secs(30);
/// Of what arrives at the primary, about one unit in this many finds its queue full.
const TURNED_AWAY: u64 = 4;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let group = Group::new(record, 12, false);
    let names = ["db-1", "db-2", "db-3", "db-4"];
    let members: Vec<_> = names.iter().map(|name| Member::start(name, &group, *name == "db-1")).collect();
    if trouble {
        members[0].choose(super::member::one_in(TURNED_AWAY, Fault::TurnAway));
    }
    let role = |name: &str| if name == "db-1" { "off" } else { "on" };
    let entries: Vec<_> =
        members.iter().map(|member| entry(member, 0, "SERVING", role(&member.name))).collect();
    let discovery = Discovery::start(record, 41, entries);
    let (listen, extended) = (free_address(), free_address());
    let file = folder.join("postgres.toml");
    std::fs::write(&file, settings::extended(extended, "own-profile-read", "member-write", 3000)).unwrap();
    let config =
        settings::config("n1", listen, discovery.address, &discovery.complete_list(), settings::PORT_LOUIS);
    let options = format!("--postgres {}", file.display());
    let _proxy = Process::proxy("n1", &options, &folder, &config, record);
    if !wait_until_ready(listen) {
        return Verdict::CouldNotRun("the proxy was not ready within 10 s".into());
    }
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || client(number, extended, &record))
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    if served < 40 {
        return Verdict::CouldNotRun(format!("only {served} units were served"));
    }
    // The value tells which statement its client sent it with.
    let runs = group.runs();
    let is_foreign = |run: &&super::member::Run| {
        let is_message = run.values.get(1).is_some_and(|value| value.starts_with("message"));
        is_message != run.sql.contains("messages")
    };
    let foreign: Vec<_> = runs.iter().filter(is_foreign).collect();
    record.say(format!("{} statements ran, {served} units were served", runs.len()));
    for run in &foreign {
        record.say(format!("{} ran what no client sent: {} {:?}", run.member, run.sql, run.values));
    }
    if foreign.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn client(number: usize, address: std::net::SocketAddr, record: &Record) -> usize {
    let Ok(mut client) = Client::connect(address) else { return 0 };
    let (start, mut served, mut round) = (Instant::now(), 0, 0);
    let member = format!("{number:016x}");
    while start.elapsed() < LENGTH {
        round += 1;
        // A like: prepared, bound and executed in one unit.
        let like = format!("like-{number}-{round}");
        let mut out = Vec::new();
        wire::parse(&mut out, "", LIKE);
        wire::bind(&mut out, "", &[&member, &like]);
        wire::execute(&mut out);
        wire::sync(&mut out);
        record.line(format!("client {number} sends [Parse '' {LIKE}; Bind '' {like}; Execute; Sync]"));
        // A message: prepared in one unit, bound and executed in the next.
        let message = format!("message-{number}-{round}");
        let mut later = Vec::new();
        wire::parse(&mut later, "", MESSAGE);
        wire::sync(&mut later);
        wire::bind(&mut later, "", &[&member, &message]);
        wire::execute(&mut later);
        wire::sync(&mut later);
        let answers = match client.send(&out) {
            Ok(()) => vec![client.answer()],
            Err(error) => vec![Answer::None(error.to_string())],
        };
        record.line(format!("client {number} is answered {answers:?}"));
        record.line(format!(
            "client {number} sends [Parse '' {MESSAGE}; Sync] [Bind '' {message}; Execute; Sync]"
        ));
        if client.send(&later).is_err() {
            return served;
        }
        let later = [client.answer(), client.answer()];
        record.line(format!("client {number} is answered {later:?}"));
        served += answers.iter().chain(&later).filter(|answer| answer.is_served()).count();
        std::thread::sleep(Duration::from_millis(150));
    }
    served
}
