//! The store as three processes: a leader that is killed, a minority, a replica that catches up.

#![allow(missing_docs)]

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_liftrelay");
/// Longer than any election takes; reached only by a test that fails.
const LONG: Duration = Duration::from_secs(20);

struct Cluster {
    folder: PathBuf,
    replicas: Vec<Option<Child>>,
}

impl Cluster {
    fn start(name: &str) -> Cluster {
        let folder = std::env::temp_dir().join(format!("liftrelay-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        // Nobody else uses this address, so the ports stay free until the replicas take them.
        let pid = std::process::id();
        let host = format!("127.{}.{}.{}:0", 100 + name.len(), pid >> 8 & 255, pid & 255);
        let free: Vec<_> = (0..3).map(|_| TcpListener::bind(&host).unwrap()).collect();
        let replica = |(n, l): (usize, &TcpListener)| {
            format!("[[replica]]\nid = {}\naddress = \"{}\"\n", n + 1, l.local_addr().unwrap())
        };
        let list: String = free.iter().enumerate().map(replica).collect();
        for id in 1..=3 {
            let data = folder.join(format!("data-{id}"));
            let text = format!("id = {id}\ndata = {data:?}\n{list}");
            std::fs::write(folder.join(format!("{id}.toml")), text).unwrap();
        }
        drop(free);
        let mut cluster = Cluster { folder, replicas: vec![None, None, None] };
        (1..=3).for_each(|id| cluster.run(id));
        cluster
    }

    fn command(&self, id: usize, words: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command.args(["store", "--file"]).arg(self.folder.join(format!("{id}.toml"))).args(words);
        command.stderr(Stdio::null());
        command
    }

    fn run(&mut self, id: usize) {
        self.replicas[id - 1] = Some(self.command(id, &["run"]).spawn().unwrap());
    }

    fn kill(&mut self, id: usize) {
        let mut child = self.replicas[id - 1].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn put(&self, name: &str, value: u32) -> Output {
        self.command(1, &["put", name, &value.to_string()]).output().unwrap()
    }

    /// What the replicas that run say, until it is so.
    fn until(&self, what: &str, so: impl Fn(&[serde_json::Value]) -> bool) -> Vec<serde_json::Value> {
        let begun = Instant::now();
        loop {
            let out = self.command(1, &["status"]).output().unwrap();
            let lines = String::from_utf8(out.stdout).unwrap();
            let said: Vec<_> = lines.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
            if so(&said) {
                return said;
            }
            assert!(begun.elapsed() < LONG, "{what} does not come: {said:?}");
        }
    }

    /// Waits until all that run agree on a leader that runs, and returns it.
    fn leader(&self) -> usize {
        let running = self.replicas.iter().flatten().count();
        let said = self.until("a leader", |said| {
            let leader = said.first().and_then(|s| s["leader"].as_u64()).unwrap_or(0) as usize;
            said.len() == running
                && said.iter().all(|s| s["leader"] == said[0]["leader"] && s["term"] == said[0]["term"])
                && leader.checked_sub(1).is_some_and(|n| self.replicas[n].is_some())
        });
        said[0]["leader"].as_u64().unwrap() as usize
    }

    fn until_all_have(&self, name: &str, value: u32) {
        let running = self.replicas.iter().flatten().count();
        self.until(name, |said| {
            said.len() == running && said.iter().all(|s| s["state"]["settings"][name] == value)
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.replicas.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn committed_values_survive_a_killed_leader_and_it_catches_up() {
    let mut cluster = Cluster::start("leader");
    let old = cluster.leader();
    assert!(cluster.put("a", 1).status.success());
    cluster.kill(old);
    let new = cluster.leader();
    assert_ne!(old, new);
    cluster.until_all_have("a", 1);
    assert!(cluster.put("b", 2).status.success());
    // A machine that stopped while writing leaves half a record.
    let log = cluster.folder.join(format!("data-{old}/log"));
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([0, 0, 0, 200, 1, 2, 3, 4, b'{']);
    std::fs::write(&log, bytes).unwrap();
    cluster.run(old);
    cluster.until_all_have("a", 1);
    cluster.until_all_have("b", 2);
}

#[test]
fn a_minority_commits_nothing_and_a_quorum_goes_on() {
    let mut cluster = Cluster::start("minority");
    let leader = cluster.leader();
    assert!(cluster.put("a", 1).status.success());
    let followers: Vec<_> = (1..=3).filter(|id| *id != leader).collect();
    cluster.kill(followers[0]);
    cluster.kill(followers[1]);
    assert!(!cluster.put("b", 2).status.success(), "no quorum, no commit");
    let alone = cluster.until("the minority", |said| said.len() == 1);
    assert_eq!(alone[0]["state"]["settings"]["b"], serde_json::Value::Null);
    assert_eq!(alone[0]["state"]["settings"]["a"], 1, "what was committed is kept");
    cluster.run(followers[0]);
    cluster.leader();
    assert!(cluster.put("c", 3).status.success());
    cluster.until_all_have("c", 3);
}

#[test]
fn all_replicas_restarted_have_what_was_committed() {
    let mut cluster = Cluster::start("restart");
    cluster.leader();
    for n in 0..20 {
        assert!(cluster.put(&format!("n{n}"), n).status.success());
    }
    (1..=3).for_each(|id| cluster.kill(id));
    (1..=3).for_each(|id| cluster.run(id));
    cluster.leader();
    for n in [0, 19] {
        cluster.until_all_have(&format!("n{n}"), n);
    }
}
