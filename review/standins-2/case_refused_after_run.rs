//! Clients of the extended listener that ask for the result of a write with a Flush, and prepare their next statement
//! before the Sync. The primary's queue is full now and then, so that it turns units away.

use super::Verdict;
use super::client::{Answer, Client};
use super::discovery::{Discovery, entry};
use super::member::{Fault, Group, Member};
use super::process::{Process, free_address, temporary_folder, wait_until_ready};
use super::record::Record;
use super::{settings, wire};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PAYMENT: &str = "INSERT INTO payments (member, amount) VALUES ($1, $2) RETURNING amount";
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
    let units: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let served = units.iter().filter(|(_, answer)| answer.is_served()).count();
    if served < 40 {
        return Verdict::CouldNotRun(format!("only {served} units were served"));
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in group.runs().into_iter().filter(|run| run.sql == PAYMENT) {
        *runs.entry(run.values[1].clone()).or_default() += 1;
    }
    let count = |amount: &String| runs.get(amount).copied().unwrap_or(0);
    record.say(format!("{} payments ran, {served} of {} units were served", runs.len(), units.len()));
    let mut broken = false;
    for (amount, answer) in &units {
        let refused_though_run = answer.is_refused() && count(amount) > 0;
        if refused_though_run {
            record
                .say(format!("the unit with the payment {amount} was refused ({answer:?}), and it has run"));
        }
        broken |= refused_though_run;
    }
    for (amount, count) in runs.iter().filter(|(_, count)| **count > 1) {
        record.say(format!("the payment {amount} ran {count} times: it was sent again after the refusal"));
        broken = true;
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// Sends units of a payment, a Flush, the preparation of another statement, and the Sync. A unit that was refused is
/// sent once more. Returns the answer to each.
fn client(number: usize, address: SocketAddr, record: &Record) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    let Ok(mut client) = Client::connect(address) else { return answers };
    let member = format!("{number:016x}");
    let (start, mut round) = (Instant::now(), 0);
    while start.elapsed() < LENGTH {
        round += 1;
        let amount = format!("amount-{number}-{round}");
        for attempt in 0..2 {
            let mut unit = Vec::new();
            wire::parse(&mut unit, "", PAYMENT);
            wire::bind(&mut unit, "", &[&member, &amount]);
            wire::execute(&mut unit);
            wire::put(&mut unit, b'H', &[]);
            let mut rest = Vec::new();
            wire::parse(&mut rest, &format!("s{round}-{attempt}"), MESSAGE);
            wire::sync(&mut rest);
            record.line(format!(
                "client {number} sends [Parse '' {PAYMENT}; Bind '' {amount}; Execute; Flush; Parse s{round}-{attempt} {MESSAGE}; Sync]"
            ));
            if client.send(&[unit, rest].concat()).is_err() {
                return answers;
            }
            let answer = client.answer();
            record.line(format!("client {number} is answered {answer:?}"));
            let is_refused = answer.is_refused();
            answers.push((amount.clone(), answer));
            let mut close = Vec::new();
            wire::put(&mut close, b'C', format!("Ss{round}-{attempt}\0").as_bytes());
            wire::sync(&mut close);
            if client.send(&close).is_err() || !client.answer().is_served() {
                return answers;
            }
            if !is_refused {
                break;
            }
            std::thread::sleep(Duration::from_millis(40));
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    answers
}
