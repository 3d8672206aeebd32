//! Two proxies, each with a store of its own on disk, where discovery is asked. One of them is restarted as
//! planned, after a member has begun to drain.

use super::Verdict;
use super::client::{Answer, Client};
use super::discovery::{Discovery, entry};
use super::member::{Group, Member};
use super::process::{Process, free_address, store_status, temporary_folder, wait_until_ready};
use super::record::Record;
use super::settings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The rule's span: a proxy may not reject all that it gets for so long, with no attempt in between.
const SPAN: Duration = Duration::from_secs(4);
/// SIGKILL comes so long after SIGTERM: the longest deadline and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// The rule's number: it counts where the proxy got at least so many requests.
const REQUESTS: usize = 15;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let folder = temporary_folder();
    let group = Group::new(record, 12, true);
    let names = ["db-1", "db-2", "db-3", "db-4", "db-5"];
    let members: Vec<_> = names.iter().map(|name| Member::start(name, &group, *name == "db-1")).collect();
    let entries: Vec<_> = members.iter().map(|member| entry(member, 0, "SERVING", "")).collect();
    let discovery = Discovery::start(record, 41, entries);
    // The configurations hold the list as the proxies had it when the files were written.
    let settings = settings::ATHENS.replace("\"instances\":1", "\"instances\":2");
    let known = discovery.complete_list();
    let start = |name: &str, listen: SocketAddr| {
        let file = store_file(&folder, name);
        let config = settings::config(name, listen, discovery.address, &known, &settings);
        Process::proxy(name, &format!("--store {}", file.display()), &folder, &config, record)
    };
    let (listen, other_listen) = (free_address(), free_address());
    let mut proxy = start("n1", listen);
    let _other = start("n2", other_listen);
    if !wait_until_ready(listen) || !wait_until_ready(other_listen) {
        return Verdict::CouldNotRun("the proxies were not ready within 10 s".into());
    }
    let other = {
        let record = record.clone();
        std::thread::spawn(move || requests(other_listen, Duration::from_secs(20), "n2", &record))
    };
    let kept = |phase: &str| {
        let status = store_status(&folder.join("n1-store.toml")).concat();
        let count = names.iter().filter(|name| status.contains(&format!("\"uid\":\"{name}\""))).count();
        record.line(format!("{phase}: {status}"));
        record.say(format!("{phase}: the store of n1 keeps {count} of {} members", names.len()));
    };
    let before = requests(listen, Duration::from_secs(3), "before", record);
    discovery.change(entry(&members[4], 0, "DRAINING", ""));
    let drained = requests(listen, Duration::from_secs(3), "after the drain", record);
    if served(&before) < REQUESTS || served(&drained) < REQUESTS {
        return Verdict::CouldNotRun("the proxy did not serve before its restart".into());
    }
    kept("before the restart");
    if trouble {
        proxy.terminate(KILLED_AFTER);
        proxy = start("n1", listen);
        if !wait_until_ready(listen) {
            return Verdict::CouldNotRun("the proxy was not ready within 10 s after its restart".into());
        }
    }
    let after = requests(listen, Duration::from_secs(12), "at the end", record);
    drop(proxy);
    let other = other.join().unwrap();
    for (name, answers) in [("n1 at the end", &after), ("n2 all the time", &other)] {
        let refused = answers.iter().filter(|(_, answer)| answer.is_refused()).count();
        record.say(format!(
            "{name}: {} requests, {} served, {refused} refused",
            answers.len(),
            served(answers)
        ));
    }
    if rejects_all(&after) { Verdict::Broken } else { Verdict::Held }
}

/// The file of a store of one replica on disk.
fn store_file(folder: &Path, name: &str) -> PathBuf {
    let file = folder.join(format!("{name}-store.toml"));
    let data = folder.join(format!("{name}-data"));
    let address = free_address();
    let replica = format!("[[replica]]\nid = 1\naddress = \"{address}\"\n");
    std::fs::write(&file, format!("id = 1\ndata = \"{}\"\n{replica}", data.display())).unwrap();
    file
}

fn served(answers: &[(Instant, Answer)]) -> usize {
    answers.iter().filter(|(_, answer)| answer.is_served()).count()
}

/// Whether the proxy rejected all that it got, at least [`REQUESTS`], for [`SPAN`] on end. A request that had an
/// attempt counts as one that was not rejected if it was served or failed; no member turns anything away here.
fn rejects_all(answers: &[(Instant, Answer)]) -> bool {
    answers.split(|(_, answer)| !answer.is_refused()).any(|span| {
        let (Some(first), Some(last)) = (span.first(), span.last()) else { return false };
        span.len() >= REQUESTS && last.0.duration_since(first.0) >= SPAN
    })
}

/// Sends reads and keyed writes, some 30 a second, for this long.
fn requests(address: SocketAddr, length: Duration, phase: &str, record: &Record) -> Vec<(Instant, Answer)> {
    let mut answers = Vec::new();
    let Ok(mut client) = Client::connect(address) else { return answers };
    let start = Instant::now();
    while start.elapsed() < length {
        let id = format!("{:016x}", super::record::unix_ms() << 16 | answers.len() as u64);
        let key = format!("{:016x}", answers.len() % 5);
        let sql = match answers.len() % 5 {
            0 => format!(
                "INSERT INTO entries (ref, payload) VALUES ('{key}', '{id}') RETURNING payload /* id={id},c=save-change,d=2000,k={id},cluster=0 */"
            ),
            1 => format!(
                "SELECT payload FROM entries WHERE ref = '{key}' /* id={id},c=order-check,d=1500,cluster=0 */"
            ),
            _ => format!(
                "SELECT payload FROM entries WHERE ref = '{key}' /* id={id},c=archive-browse,d=1200,cluster=0 */"
            ),
        };
        let answer = client.query(&sql);
        record.line(format!("{phase}: {sql} -> {answer:?}"));
        let is_gone = matches!(answer, Answer::None(_));
        answers.push((Instant::now(), answer));
        if is_gone {
            let Ok(again) = Client::connect(address) else { return answers };
            client = again;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    answers
}
