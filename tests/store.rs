//! The store as three processes: a leader that is killed, a minority, a replica that catches up.

#![allow(missing_docs)]

use serde_json::Value;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_liftrelay");
/// Longer than any election takes; reached only by a test that fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Cluster {
    directory: PathBuf,
    replicas: Vec<Option<Child>>,
}

impl Cluster {
    fn start(name: &str) -> Cluster {
        let directory = std::env::temp_dir().join(format!("liftrelay-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).unwrap();
        // Nobody else uses this address, so the ports stay free until the replicas take them.
        let pid = std::process::id();
        let host = format!("127.{}.{}.{}:0", 100 + name.len(), pid >> 8 & 255, pid & 255);
        let listeners: Vec<_> = (0..3).map(|_| TcpListener::bind(&host).unwrap()).collect();
        let replica = |(position, listener): (usize, &TcpListener)| {
            let address = listener.local_addr().unwrap();
            format!("[[replica]]\nid = {}\naddress = \"{address}\"\n", position + 1)
        };
        let list: String = listeners.iter().enumerate().map(replica).collect();
        for id in 1..=3 {
            let data = directory.join(format!("data-{id}"));
            let text = format!("id = {id}\ndata = {data:?}\n{list}");
            std::fs::write(directory.join(format!("{id}.toml")), text).unwrap();
        }
        drop(listeners);
        let mut cluster = Cluster { directory, replicas: vec![None, None, None] };
        (1..=3).for_each(|id| cluster.start_replica(id));
        cluster
    }

    fn command(&self, id: usize, arguments: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        command.args(["store", "--file"]).arg(self.directory.join(format!("{id}.toml"))).args(arguments);
        command.stderr(Stdio::null());
        command
    }

    fn start_replica(&mut self, id: usize) {
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

    /// Asks the running replicas for their status until a condition holds, and returns what they answered.
    fn wait_until(&self, what: &str, condition: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let start = Instant::now();
        loop {
            let output = self.command(1, &["status"]).output().unwrap();
            let lines = String::from_utf8(output.stdout).unwrap();
            let statuses: Vec<_> = lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
            if condition(&statuses) {
                return statuses;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "{what} does not come: {statuses:?}");
        }
    }

    /// Waits until all running replicas agree on a leader that runs, and returns it.
    fn wait_for_leader(&self) -> usize {
        let running = self.replicas.iter().flatten().count();
        let same_view = |first: &Value, other: &Value| {
            first["leader"] == other["leader"] && first["term"] == other["term"]
        };
        let statuses = self.wait_until("a leader", |statuses| {
            let leader = statuses.first().and_then(|status| status["leader"].as_u64()).unwrap_or(0) as usize;
            statuses.len() == running
                && statuses.iter().all(|status| same_view(&statuses[0], status))
                && leader.checked_sub(1).is_some_and(|position| self.replicas[position].is_some())
        });
        statuses[0]["leader"].as_u64().unwrap() as usize
    }

    fn wait_until_all_have(&self, name: &str, value: u32) {
        let running = self.replicas.iter().flatten().count();
        self.wait_until(name, |statuses| {
            let has_value = |status: &Value| status["state"]["settings"][name] == value;
            statuses.len() == running && statuses.iter().all(has_value)
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.replicas.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn committed_values_survive_a_killed_leader_and_it_catches_up() {
    let mut cluster = Cluster::start("leader");
    let old_leader = cluster.wait_for_leader();
    assert!(cluster.put("a", 1).status.success());
    cluster.kill(old_leader);
    let new_leader = cluster.wait_for_leader();
    assert_ne!(old_leader, new_leader);
    cluster.wait_until_all_have("a", 1);
    assert!(cluster.put("b", 2).status.success());
    // A machine that stopped while writing leaves half a record.
    let log = cluster.directory.join(format!("data-{old_leader}/log"));
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([0, 0, 0, 200, 1, 2, 3, 4, b'{']);
    std::fs::write(&log, bytes).unwrap();
    cluster.start_replica(old_leader);
    cluster.wait_until_all_have("a", 1);
    cluster.wait_until_all_have("b", 2);
}

#[test]
fn a_minority_commits_nothing_and_a_quorum_goes_on() {
    let mut cluster = Cluster::start("minority");
    let leader = cluster.wait_for_leader();
    assert!(cluster.put("a", 1).status.success());
    let followers: Vec<_> = (1..=3).filter(|id| *id != leader).collect();
    cluster.kill(followers[0]);
    cluster.kill(followers[1]);
    assert!(!cluster.put("b", 2).status.success(), "no quorum, no commit");
    let alone = cluster.wait_until("the minority", |statuses| statuses.len() == 1);
    assert_eq!(alone[0]["state"]["settings"]["b"], Value::Null);
    assert_eq!(alone[0]["state"]["settings"]["a"], 1, "what was committed is kept");
    cluster.start_replica(followers[0]);
    cluster.wait_for_leader();
    assert!(cluster.put("c", 3).status.success());
    cluster.wait_until_all_have("c", 3);
}

#[test]
fn all_replicas_restarted_have_what_was_committed() {
    let mut cluster = Cluster::start("restart");
    cluster.wait_for_leader();
    for n in 0..20 {
        assert!(cluster.put(&format!("n{n}"), n).status.success());
    }
    (1..=3).for_each(|id| cluster.kill(id));
    (1..=3).for_each(|id| cluster.start_replica(id));
    cluster.wait_for_leader();
    for n in [0, 19] {
        cluster.wait_until_all_have(&format!("n{n}"), n);
    }
}
