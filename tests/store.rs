//! Tests of the store with three replica processes: a killed leader, a minority, a replica that catches up, a
//! failing disk and an address in use.

#![allow(missing_docs)]

#[allow(dead_code, reason = "the tests of the proxy use the rest")]
#[path = "proxy/support/faults.rs"]
mod faults;

use faults::Faults;
use serde_json::Value;
use std::fs::File;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_liftrelay");
/// Longer than any election takes; reached only by a test that fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Cluster {
    directory: PathBuf,
    /// The process of each replica; `None` while it is killed.
    replicas: Vec<Option<Child>>,
    /// The faults that are injected into all replicas' system calls.
    faults: Option<Faults>,
}

impl Cluster {
    fn start(name: &str) -> Cluster {
        Cluster::start_with_faults(name, None)
    }

    fn start_with_faults(name: &str, faults: Option<Faults>) -> Cluster {
        let directory = std::env::temp_dir().join(format!("liftrelay-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).unwrap();
        // No other process uses this loopback address, so the ports stay free until the replicas bind them.
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
        let mut cluster = Cluster { directory, replicas: vec![None, None, None], faults };
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
        let mut command = self.command(id, &["run"]);
        if let Some(faults) = &self.faults {
            faults.preload(&mut command);
        }
        command.stderr(File::options().create(true).append(true).open(self.log_path(id)).unwrap());
        self.replicas[id - 1] = Some(command.spawn().unwrap());
    }

    /// Returns the path of the file with a replica's standard error.
    fn log_path(&self, id: usize) -> PathBuf {
        self.directory.join(format!("{id}.log"))
    }

    /// Returns everything that the replicas have logged.
    fn logs(&self) -> String {
        let log = |id| std::fs::read_to_string(self.log_path(id)).unwrap_or_default();
        (1..=3).map(|id| format!("replica {id}:\n{}", log(id))).collect()
    }

    /// Returns the lines in a replica's log that contain `text`.
    fn logged(&self, id: usize, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.log_path(id)).unwrap();
        log.lines().filter(|line| line.contains(text)).map(String::from).collect()
    }

    /// Waits until a condition holds for the status of a running replica.
    fn wait_for_status(&self, id: usize, what: &str, condition: impl Fn(&Value) -> bool) {
        self.wait_until(what, |statuses| {
            statuses.iter().any(|status| status["id"] == id && condition(status))
        });
    }

    /// Makes all writes to a replica's disk fail. Replaces all earlier faults.
    fn fail_disk(&self, id: usize) {
        let path = self.directory.join(format!("data-{id}"));
        let script = format!("write path={0} error=ENOSPC\nfdatasync path={0} error=EIO", path.display());
        self.faults.as_ref().unwrap().set(&script);
    }

    fn kill(&mut self, id: usize) {
        let mut child = self.replicas[id - 1].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn put(&self, name: &str, value: u32) -> Output {
        self.command(1, &["put", name, &value.to_string()]).output().unwrap()
    }

    /// Queries the status of the running replicas until a condition holds, and returns their answers.
    fn wait_until(&self, what: &str, condition: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let start = Instant::now();
        loop {
            let output = self.command(1, &["status"]).output().unwrap();
            let lines = String::from_utf8(output.stdout).unwrap();
            let statuses: Vec<_> = lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
            if condition(&statuses) {
                return statuses;
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "timed out waiting for {what}: {statuses:?}\n{}",
                self.logs()
            );
        }
    }

    /// Waits until all running replicas agree on a running leader, and returns its id.
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
fn committed_values_survive_a_killed_leader_which_catches_up_after_a_restart() {
    let mut cluster = Cluster::start("leader");
    let old_leader = cluster.wait_for_leader();
    assert!(cluster.put("a", 1).status.success());
    cluster.kill(old_leader);
    let new_leader = cluster.wait_for_leader();
    assert_ne!(old_leader, new_leader);
    cluster.wait_until_all_have("a", 1);
    assert!(cluster.put("b", 2).status.success());
    // The start of a record, as left by a machine that stopped during a write.
    let log = cluster.directory.join(format!("data-{old_leader}/log"));
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([0, 0, 0, 200, 1, 2, 3, 4, b'{']);
    std::fs::write(&log, bytes).unwrap();
    cluster.start_replica(old_leader);
    cluster.wait_until_all_have("a", 1);
    cluster.wait_until_all_have("b", 2);
}

#[test]
fn a_minority_commits_nothing_until_it_is_a_quorum_again() {
    let mut cluster = Cluster::start("minority");
    let leader = cluster.wait_for_leader();
    assert!(cluster.put("a", 1).status.success());
    let followers: Vec<_> = (1..=3).filter(|id| *id != leader).collect();
    cluster.kill(followers[0]);
    cluster.kill(followers[1]);
    assert!(!cluster.put("b", 2).status.success(), "committed without a quorum");
    let remaining = cluster.wait_until("the status of the leader alone", |statuses| statuses.len() == 1);
    assert_eq!(remaining[0]["state"]["settings"]["b"], Value::Null);
    assert_eq!(remaining[0]["state"]["settings"]["a"], 1, "a committed value is lost");
    cluster.start_replica(followers[0]);
    cluster.wait_for_leader();
    assert!(cluster.put("c", 3).status.success());
    cluster.wait_until_all_have("c", 3);
}

#[test]
fn all_replicas_have_the_committed_values_after_a_restart_of_all() {
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

#[test]
fn a_leader_whose_disk_fails_is_replaced_and_votes_again_after_the_disk_has_recovered() {
    let mut cluster = Cluster::start_with_faults("disk", Some(Faults::none()));
    let failing = cluster.wait_for_leader();
    assert!(cluster.put("a", 1).status.success());
    cluster.fail_disk(failing);
    assert!(!cluster.put("b", 2).status.success(), "committed though the leader can't persist");
    let has_new_leader =
        |status: &Value| status["leader"].as_u64().is_some_and(|leader| leader != failing as u64);
    cluster
        .wait_until("another leader", |statuses| statuses.len() == 3 && statuses.iter().all(has_new_leader));
    assert!(cluster.put("c", 3).status.success(), "not committed by the quorum of the two other replicas");
    cluster.wait_until_all_have("c", 3);
    cluster.wait_for_status(failing, "the error of its log", |status| status["log_error"].is_string());
    assert_eq!(cluster.logged(failing, "raft log can't be written").len(), 1);
    // A replica that is restarted while its disk fails answers status queries, but does not count towards a
    // quorum.
    cluster.kill(failing);
    cluster.start_replica(failing);
    cluster.wait_for_status(failing, "the error of its log", |status| status["log_error"].is_string());
    assert!(cluster.put("d", 4).status.success());
    let other = (1..=3).find(|id| *id != failing).unwrap();
    cluster.kill(other);
    assert!(!cluster.put("e", 5).status.success(), "committed with one healthy disk of three");
    cluster.faults.as_ref().unwrap().clear();
    cluster.wait_for_status(failing, "the recovery of its log", |status| status["log_error"].is_null());
    cluster.wait_for_leader();
    assert!(cluster.put("f", 6).status.success());
    assert_eq!(cluster.logged(failing, "raft log is written again").len(), 1);
    // The value that only this replica and one other have confirmed survives a kill of all replicas.
    cluster.start_replica(other);
    (1..=3).for_each(|id| cluster.kill(id));
    (1..=3).for_each(|id| cluster.start_replica(id));
    cluster.wait_for_leader();
    for (name, value) in [("a", 1), ("c", 3), ("d", 4), ("f", 6)] {
        cluster.wait_until_all_have(name, value);
    }
}

#[test]
fn an_unusable_data_directory_is_a_configuration_error() {
    let directory = std::env::temp_dir().join(format!("liftrelay-store-unusable-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    std::fs::write(directory.join("file"), "").unwrap();
    let data = directory.join("file/data");
    std::fs::write(directory.join("store.toml"), format!("id = 1\ndata = {data:?}\n")).unwrap();
    let mut command = Command::new(PROGRAM);
    let output =
        command.args(["store", "--file"]).arg(directory.join("store.toml")).arg("run").output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.lines().count() == 1 && text.contains("Not a directory"), "{text}");
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_replica_waits_for_its_address_and_only_then_reads_its_log() {
    let mut cluster = Cluster::start("address");
    cluster.wait_for_leader();
    assert!(cluster.put("a", 1).status.success());
    cluster.wait_until_all_have("a", 1);
    (1..=3).for_each(|id| cluster.kill(id));
    let config = std::fs::read_to_string(cluster.directory.join("1.toml")).unwrap();
    let config: toml::Table = config.parse().unwrap();
    let holder = TcpListener::bind(config["replica"][0]["address"].as_str().unwrap()).unwrap();
    // The log appears only after the start of the replica, as if the previous process wrote it at its end.
    let [log, later_log] = ["data-1/log", "later"].map(|name| cluster.directory.join(name));
    std::fs::rename(&log, &later_log).unwrap();
    cluster.start_replica(1);
    std::thread::sleep(Duration::from_millis(300));
    std::fs::rename(&later_log, &log).unwrap();
    drop(holder);
    // Replica 2 has lost its disk, so the value is in the log of replica 1 alone.
    std::fs::remove_dir_all(cluster.directory.join("data-2")).unwrap();
    cluster.start_replica(2);
    cluster.wait_until_all_have("a", 1);
}
