use super::*;
use crate::store::config::Replica;
use crate::store::faulty_files::FaultyFiles;
use crate::store::state::Statement;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longer than any step takes; reached only by a test that fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the longest election timeout: a replica that sends nothing for this long is silent.
const SILENCE: Duration = Duration::from_millis(700);
/// How long a test waits for an answer before it sends its message again.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(20);

fn empty_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("liftrelay-service-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

fn config(directory: &Path, replicas: u32) -> StoreConfig {
    let replica = |id| Replica { id, address: "127.0.0.1:1".parse().unwrap() };
    StoreConfig {
        id: 1,
        data_directory: Some(directory.to_path_buf()),
        replicas: (1..=replicas).map(replica).collect(),
    }
}

fn open_single(directory: &Path, files: Box<dyn FileOperations>) -> Service {
    Service::new(&config(directory, 1), files, 7, drop).unwrap()
}

/// Returns the settings that a replica recovers from a log with these contents.
fn settings_after_kill(log: &[u8], directory: &Path) -> Value {
    std::fs::write(directory.join("log"), log).unwrap();
    let service = open_single(directory, Box::new(SystemFiles));
    serde_json::to_value(&service.raft.state_machine().settings).unwrap()
}

/// The only replica of a group, on a disk that may fail, and the puts that it has confirmed.
struct SingleReplica {
    service: Service,
    data: PathBuf,
    copy: PathBuf,
    confirmed: Vec<(String, u64)>,
    /// The length of the log file when the last put was confirmed.
    confirmed_length: usize,
}

impl SingleReplica {
    fn start(directory: &Path, files: &FaultyFiles) -> SingleReplica {
        let [data, copy] = ["data", "copy"].map(|name| directory.join(name));
        std::fs::create_dir_all(&copy).unwrap();
        let service = open_single(&data, Box::new(files.clone()));
        let confirmed_length = std::fs::read(data.join("log")).map_or(0, |log| log.len());
        SingleReplica { service, data, copy, confirmed: Vec::new(), confirmed_length }
    }

    /// Puts a value, and returns whether it was confirmed.
    fn put(&mut self, name: &str, value: u64) -> bool {
        self.service.step(Input::Tick);
        let (reply, replies) = bounded(1);
        self.service.put(Change::Set(name.into(), value.into()), reply);
        let confirmed = replies.try_recv().expect("put not answered within its step").put_committed;
        if confirmed {
            self.confirmed.push((name.into(), value));
            self.confirmed_length = self.log().len();
        }
        confirmed
    }

    /// Tries to replace the log without waiting for the retry delay.
    fn retry(&mut self) {
        if self.service.log.replace(self.service.raft.persistent_state()).is_ok() {
            self.service.step(Input::StorageRecovered);
        }
        // The file is replaced atomically, or stays as it is.
        self.confirmed_length = self.log().len();
    }

    fn log(&self) -> Vec<u8> {
        std::fs::read(self.data.join("log")).unwrap_or_default()
    }

    /// Checks that the next process recovers all confirmed puts, however many of the bytes that follow the
    /// last confirmed put a kill leaves in the log.
    fn check_kills(&self, context: &str) {
        let log = self.log();
        for length in self.confirmed_length.min(log.len())..=log.len() {
            let settings = settings_after_kill(&log[..length], &self.copy);
            for (name, value) in &self.confirmed {
                assert_eq!(settings[name], *value, "{context}, cut at {length} of {}", log.len());
            }
        }
    }
}

/// Puts values on a disk with failing operations, and after each put simulates a kill at every byte.
fn check_failing_operations(directory: &Path, files: &FaultyFiles, context: &str) {
    let mut replica = SingleReplica::start(directory, files);
    for value in 0..4 {
        let mut attempts = 0;
        while !replica.put(&format!("name-{value}"), value) {
            replica.check_kills(context);
            replica.retry();
            replica.check_kills(context);
            attempts += 1;
            assert!(attempts < 10, "{context}: no put is confirmed after the disk has recovered");
        }
        replica.check_kills(context);
    }
    assert!(replica.service.log.failure().is_none(), "{context}");
}

#[test]
fn confirmed_puts_survive_a_kill_at_any_byte_whichever_operation_fails() {
    let files = FaultyFiles::default();
    let directory = empty_directory("operations");
    check_failing_operations(&directory, &files, "no fault");
    for first in 0..files.operations() {
        for count in [1, 3] {
            std::fs::remove_dir_all(&directory).unwrap();
            let files = FaultyFiles::with_failing(first..first + count);
            check_failing_operations(&directory, &files, &format!("{count} faults from operation {first}"));
        }
    }
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn confirmed_puts_survive_a_compaction_whichever_operation_of_it_fails() {
    let full = empty_directory("full");
    let mut replica = SingleReplica::start(&full, &FaultyFiles::default());
    // With the entry of the first term, the log has 511 entries. After a restart, the entry of the new term
    // reaches the limit, and the put after it compacts.
    for value in 0..510 {
        assert!(replica.put("name", value));
    }
    let log = replica.log();
    // Opening the log is five operations. The entry of the new term and the put are one append each, which is
    // a write and a sync.
    let compaction = 5 + 2 + 2;
    for first in compaction..compaction + 6 {
        let directory = empty_directory("compaction");
        std::fs::create_dir(directory.join("data")).unwrap();
        std::fs::write(directory.join("data/log"), &log).unwrap();
        let files = FaultyFiles::with_failing(first..first + 3);
        let mut replica = SingleReplica::start(&directory, &files);
        replica.confirmed.push(("name".into(), 509));
        replica.put("after", 1);
        replica.check_kills(&format!("operation {first}"));
        assert!(replica.service.log.failure().is_some(), "operation {first} is not part of the compaction");
        while replica.service.log.failure().is_some() {
            replica.retry();
            replica.check_kills(&format!("retry after operation {first}"));
        }
        assert!(replica.put("later", 2));
        replica.check_kills(&format!("recovery after operation {first}"));
        assert!(replica.log().len() < log.len(), "the log is not compacted");
        std::fs::remove_dir_all(&directory).unwrap();
    }
    std::fs::remove_dir_all(&full).unwrap();
}

#[test]
fn a_single_replica_recovers_its_state_even_if_its_disk_fails_from_the_start() {
    let directory = empty_directory("recovered");
    let mut replica = SingleReplica::start(&directory, &FaultyFiles::default());
    assert!(replica.put("name", 5));
    let (recovered, states) = bounded(1);
    let on_recovered = move |state: State| recovered.send(state.settings).unwrap();
    let files = FaultyFiles::with_failing(0..usize::MAX);
    let service = Service::new(&config(&replica.data, 1), Box::new(files), 7, on_recovered).unwrap();
    assert_eq!(states.try_recv().unwrap()["name"], 5);
    assert!(service.log.failure().is_some());
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Replica 1 of three on its service thread. The test acts as replica 2.
struct RunningReplica {
    requests: Sender<ServiceRequest>,
    frames: Receiver<Frame>,
    files: FaultyFiles,
    directory: PathBuf,
}

impl RunningReplica {
    fn start(name: &str) -> RunningReplica {
        let (files, directory) = (FaultyFiles::default(), empty_directory(name));
        let config = config(&directory, 3);
        let mut service = Service::new(&config, Box::new(files.clone()), 7, drop).unwrap();
        let (sender, frames) = bounded(QUEUE_CAPACITY);
        service.peers.insert(2, sender);
        let (requests, inbox) = bounded(QUEUE_CAPACITY);
        spawn("store", move || service.run(&inbox)).unwrap();
        RunningReplica { requests, frames, files, directory }
    }

    /// Sends a message from replica 2.
    fn send(&self, term: u64, body: &Value) {
        let message = serde_json::from_value(json!({ "from": 2, "term": term, "say": body })).unwrap();
        self.requests.send(ServiceRequest::PeerMessage(message)).unwrap();
    }

    /// Returns the next message to replica 2; `None` if there is none within `timeout`.
    fn receive(&self, timeout: Duration) -> Option<Value> {
        let frame = self.frames.recv_timeout(timeout).ok()?;
        Some(serde_json::to_value(&frame).unwrap()["Peer"].clone())
    }

    /// Returns the next message of this kind to replica 2, and drops those before it.
    fn receive_kind(&self, kind: &str) -> Value {
        loop {
            let message = self.receive(TEST_TIMEOUT).unwrap_or_else(|| panic!("no {kind}"));
            if message["say"].get(kind).is_some() {
                return message;
            }
        }
    }

    /// Sends a message repeatedly until replica 2 receives `answer`.
    fn send_until_answered(&self, term: u64, body: &Value, answer: &Value) {
        let start = std::time::Instant::now();
        while start.elapsed() < TEST_TIMEOUT {
            self.send(term, body);
            if self.receive(ATTEMPT_INTERVAL).is_some_and(|message| message["say"] == *answer) {
                return;
            }
        }
        panic!("no {answer}");
    }

    fn status(&self) -> Status {
        let (reply, replies) = bounded(1);
        self.requests.send(ServiceRequest::Status { reply }).unwrap();
        replies.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    fn put(&self, name: &str, value: u64) -> Receiver<Status> {
        let (reply, replies) = bounded(1);
        let change = Change::Set(name.into(), value.into());
        self.requests.send(ServiceRequest::Put { change, reply }).unwrap();
        replies
    }
}

impl Drop for RunningReplica {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn vote_request() -> Value {
    json!({ "Vote": { "last_index": 9, "last_term": 6 } })
}

fn append_request(commit: u64) -> Value {
    let entry = json!({ "index": 1, "term": 6, "command": { "Set": ["name", 5] } });
    json!({ "Append": { "prev_index": 0, "prev_term": 0, "entries": [entry], "commit": commit } })
}

#[test]
fn a_replica_with_a_failed_disk_sends_no_messages_until_the_disk_has_recovered() {
    let replica = RunningReplica::start("follower");
    replica.files.fail();
    replica.send(5, &vote_request());
    let status = replica.status();
    assert!(status.log_error.is_some_and(|error| error.contains("No space left")));
    while let Some(message) = replica.receive(SILENCE) {
        assert!(message["say"].get("Voted").is_none(), "sent a vote that is not on the disk: {message}");
    }
    replica.send(9, &vote_request());
    replica.send(6, &append_request(0));
    replica.send(6, &append_request(1));
    let status = replica.status();
    assert_eq!(
        (status.term, status.leader, status.commit_index),
        (6, Some(2), 1),
        "still applies the leader's entries"
    );
    assert_eq!(status.state.settings["name"], 5);
    assert_eq!(replica.receive(SILENCE), None, "sends neither an acknowledgement nor a vote request");
    assert_eq!(replica.status().leader, None, "forgets a leader without heartbeats");
    replica.files.repair();
    let acknowledged = json!({ "Appended": { "ok": true, "index": 1 } });
    replica.send_until_answered(6, &append_request(1), &acknowledged);
    replica.send_until_answered(7, &vote_request(), &json!({ "Voted": { "granted": true } }));
    assert!(replica.status().log_error.is_none());
    let log = std::fs::read(replica.directory.join("log")).unwrap();
    let text = String::from_utf8_lossy(&log);
    assert!(text.contains(r#""name",5"#) && text.ends_with(r#"{"Hard":{"term":7,"vote":2}}"#), "{text}");
}

#[test]
fn a_leader_whose_disk_fails_steps_down_and_answers_puts_as_not_committed() {
    let replica = RunningReplica::start("leader");
    let term = replica.receive_kind("Vote")["term"].as_u64().unwrap();
    replica.send(term, &json!({ "Voted": { "granted": true } }));
    replica.receive_kind("Append");
    replica.send(term, &json!({ "Appended": { "ok": true, "index": 1 } }));
    let replies = replica.put("first", 1);
    replica.send(term, &json!({ "Appended": { "ok": true, "index": 2 } }));
    assert!(replies.recv_timeout(TEST_TIMEOUT).unwrap().put_committed);
    replica.files.fail();
    for name in ["second", "third"] {
        let answer = replica.put(name, 2).recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(!answer.put_committed && answer.leader.is_none(), "{answer:?}");
    }
    while replica.frames.try_recv().is_ok() {}
    // Replica 2 acknowledges the entry after the leader has stepped down.
    replica.send(term, &json!({ "Appended": { "ok": true, "index": 3 } }));
    assert_eq!(replica.receive(SILENCE), None, "sends neither a heartbeat nor a vote request");
    assert_eq!(replica.status().commit_index, 2);
    replica.files.repair();
    assert!(replica.receive_kind("Vote")["term"].as_u64().unwrap() > term);
}

/// A change of one endpoint in the list, as discovery sends it.
fn endpoint_change(revision: u64, uid: &str, state: &str) -> Change {
    let target = json!({ "uid": uid, "endpoint": "127.0.0.1:1", "state": state });
    Change::Members(serde_json::from_value(json!({ "rev": revision, "targets": [target] })).unwrap())
}

#[test]
fn the_latest_proposals_made_while_the_disk_fails_are_applied_after_its_recovery() {
    let directory = empty_directory("proposals");
    let files = FaultyFiles::default();
    let mut replica = SingleReplica::start(&directory, &files);
    for revision in 1..=3 {
        let uid = format!("uid-{revision}");
        replica.service.handle(ServiceRequest::Propose(endpoint_change(revision, &uid, "SERVING")));
    }
    replica.service.step(Input::Tick);
    replica.service.propose_waiting_changes();
    files.fail();
    assert!(!replica.put("name", 1));
    let statement = |n| Change::Prepared(Statement { sql: format!("SELECT {n}"), types: Vec::new() });
    for n in 0..QUEUE_CAPACITY as u64 + 10 {
        replica.service.handle(ServiceRequest::Propose(statement(n)));
    }
    replica.service.handle(ServiceRequest::Propose(endpoint_change(4, "uid-2", "DELETED")));
    for revision in 5..500 {
        let state = if revision % 2 == 0 { "SERVING" } else { "DRAINING" };
        replica.service.handle(ServiceRequest::Propose(endpoint_change(revision, "uid-3", state)));
    }
    files.repair();
    replica.retry();
    replica.service.step(Input::Tick);
    replica.service.propose_waiting_changes();
    let state = serde_json::to_value(replica.service.raft.state_machine()).unwrap();
    let endpoints = state["members"]["targets"].as_array().unwrap();
    let states: Vec<_> = endpoints.iter().map(|endpoint| (&endpoint["uid"], &endpoint["state"])).collect();
    assert_eq!(states, [(&json!("uid-1"), &json!("SERVING")), (&json!("uid-3"), &json!("DRAINING"))]);
    assert_eq!(state["members"]["rev"], 499);
    let last = state["statements"].as_array().unwrap().last().unwrap();
    assert_eq!(last["sql"], format!("SELECT {}", QUEUE_CAPACITY + 9));
    std::fs::remove_dir_all(&directory).unwrap();
}
