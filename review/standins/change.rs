//! A release: members are replaced, and discovery tells the proxy. Meanwhile the leader of the store is killed and
//! comes back. The store's replicas are the proxy's own and two by themselves.

use crate::common::*;
use crate::config::{CLASSES, config};
use crate::discovery::{Discovery, Target};
use crate::member::{Follows, GroupLog, Member};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;

/// The members, and how many of them are replaced. STANDING: six in ten within 7 s; the brief: 12 to 20 on the
/// busiest days.
const MEMBERS: usize = 20;
const REPLACED: usize = 12;
const RELEASE_MS: u64 = 7000;
/// When the leader is killed, from the start of the release, and how long it is away. The brief: 1.3 to 7.5 s.
const KILL_MS: u64 = 3000;
const AWAY_MS: u64 = 2000;
/// Within this time of the recovery the changes have to be applied. GROWTH: ten seconds.
const APPLIED_MS: u64 = 10000;

/// The members by name, each with its state.
type List = BTreeMap<String, String>;

pub fn run(arguments: &Arguments) -> i32 {
    let record = Record::create(&arguments.folder.join("record.txt"));
    let log = Arc::new(GroupLog::default());
    let member = |name: String, primary: bool, boot_ms: u64| {
        let endpoint = Member::new(&name, primary, Follows::Lag(5), 58, &log, &record).listen();
        Target { uid: name, endpoint, group: 0, state: "SERVING", boot_ms, primary }
    };
    let targets: Vec<Target> =
        (0..MEMBERS).map(|index| member(format!("s-old{index}"), index == 0, 0)).collect();
    let discovery = Discovery::start(targets.clone());
    let listen = free_address();
    let file = arguments.temporary.join("config.json");
    std::fs::write(&file, config(listen, &discovery, CLASSES, "hold")).unwrap();
    let files = store_files(arguments);
    let start_replica =
        |id: usize| Process::start_replica(arguments, &record, &format!("replica{id}"), &files[id - 1]);
    let mut processes = BTreeMap::from([(2, start_replica(2)), (3, start_replica(3))]);
    // The proxy comes to a store that has a leader.
    let leader = (0..100).find_map(|_| {
        sleep_ms(50);
        leader(&status(arguments, &files[0]))
    });
    let Some(leader) = leader else { cannot_run("the store has no leader") };
    let more = format!("--store {}", files[0].display());
    let mut proxy = Process::start(arguments, &record, "proxy", &file, &more);
    wait_until_ready(listen);
    sleep_ms(2000);
    let before = status(arguments, &files[0]);
    if lists(&before).len() != 3 || lists(&before).values().any(|list| *list != told(&discovery)) {
        cannot_run("the store does not hold the first list");
    }
    record.line(&format!("all three replicas hold the first list, replica {leader} leads"));

    // The changes, at equal distances: for each replaced member its successor, its drain and its end.
    let mut changes = Vec::new();
    for (index, old) in targets[1..=REPLACED].iter().enumerate() {
        changes.push(("SERVING", format!("s-new{index}"), None));
        changes.push(("DRAINING", old.uid.clone(), Some(old.clone())));
        changes.push(("DELETED", old.uid.clone(), Some(old.clone())));
    }
    let step_ms = RELEASE_MS / changes.len() as u64;
    let (mut is_killed, mut is_back) = (!arguments.trouble, !arguments.trouble);
    for (number, (state, uid, old)) in changes.into_iter().enumerate() {
        let at = number as u64 * step_ms;
        if !is_killed && at >= KILL_MS {
            record.say(&format!("replica {leader}, which leads, is killed"));
            processes.remove(&leader);
            is_killed = true;
        }
        if !is_back && at >= KILL_MS + AWAY_MS {
            processes.insert(leader, start_replica(leader));
            record.say(&format!("replica {leader} is back"));
            is_back = true;
        }
        let target = old.unwrap_or_else(|| member(uid.clone(), false, unix_ms()));
        discovery.change(Target { state, ..target });
        record.line(&format!("discovery tells the proxy: {uid} {state}"));
        sleep_ms(step_ms);
    }
    let mut differences = Vec::new();
    for _ in 0..APPLIED_MS / 500 {
        sleep_ms(500);
        differences = difference(&lists(&status(arguments, &files[0])), &told(&discovery));
    }
    record.line(&status(arguments, &files[0]));
    if let Some(status) = proxy.end() {
        record.say(&format!("the proxy ended by itself: {status}"));
        return 1;
    }
    record.say(&format!(
        "{} s after the last change, {} entries of the store are not what the proxy was told",
        APPLIED_MS / 1000,
        differences.len()
    ));
    differences.iter().take(12).for_each(|text| record.say(text));
    i32::from(!differences.is_empty())
}

/// The three files of the store, as deploy/store.toml is, with free ports.
fn store_files(arguments: &Arguments) -> Vec<PathBuf> {
    let addresses: Vec<_> = (0..3).map(|_| free_address()).collect();
    (1..=3)
        .map(|id| {
            let data = arguments.temporary.join(format!("store-{id}"));
            let mut text = format!("id = {id}\ndata = \"{}\"\n", data.display());
            for (index, address) in addresses.iter().enumerate() {
                text += &format!("\n[[replica]]\nid = {}\naddress = \"{address}\"\n", index + 1);
            }
            let path = arguments.temporary.join(format!("store-{id}.toml"));
            std::fs::write(&path, text).unwrap();
            path
        })
        .collect()
}

/// What `liftrelay store --file FILE status` prints.
fn status(arguments: &Arguments, file: &PathBuf) -> String {
    let command =
        run_command(arguments).replace(" serve", &format!(" store --file {} status", file.display()));
    let output = Command::new("/bin/sh").arg("-c").arg(command).current_dir(&arguments.root).output();
    output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default()
}

/// The text behind `name` up to the next quote, comma or brace.
fn value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let rest = text.split(name).nth(1)?.trim_start_matches([':', '"', ' ']);
    rest.split(['"', ',', '}']).next()
}

/// The replica that says itself that it leads.
fn leader(status: &str) -> Option<usize> {
    status.lines().find_map(|line| {
        let id = value(line, "\"id\"")?;
        (value(line, "\"leader\"")? == id).then(|| id.parse().ok())?
    })
}

/// The list of members in each replica that answers.
fn lists(status: &str) -> BTreeMap<String, List> {
    let line_of = |line: &str| {
        let targets = line.split("\"targets\":[").nth(1)?.split(']').next()?;
        let entries = targets.split('{').skip(1).filter_map(|entry| {
            Some((value(entry, "\"uid\"")?.to_string(), value(entry, "\"state\"")?.to_string()))
        });
        Some((value(line, "\"id\"")?.to_string(), entries.collect()))
    };
    status.lines().filter_map(line_of).collect()
}

/// The list that discovery has told the proxy.
fn told(discovery: &Discovery) -> List {
    lists(&format!("{{\"id\":0,{}", &discovery.full()[1..])).remove("0").unwrap_or_default()
}

fn difference(lists: &BTreeMap<String, List>, told: &List) -> Vec<String> {
    let mut texts = Vec::new();
    if lists.len() < 3 {
        texts.push(format!("{} of 3 replicas answer", lists.len()));
    }
    for (id, list) in lists {
        let names: std::collections::BTreeSet<_> = list.keys().chain(told.keys()).collect();
        for name in names {
            let (kept, heard) = (list.get(name), told.get(name));
            if kept != heard {
                let word =
                    |state: Option<&String>| state.map_or("not listed", |state| state.as_str()).to_string();
                texts.push(format!("replica {id}: {name} is {}, told {}", word(kept), word(heard)));
            }
        }
    }
    texts
}
