//! Tests of the store's formats, which later versions must keep: the log files under
//! `tests/fixtures/store-v1`, which the first version wrote, and the lines that replicas exchange.

#![allow(missing_docs)]

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_liftrelay");
/// Longer than any start or election takes; reached only by a test that fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The snapshot in the fixture, in the form that it has on the disk and in messages between replicas.
const SNAPSHOT_TEXT: &str = concat!(
    r#"{"index":513,"term":3,"state":{"settings":{"counter":502,"greeting":"hello there","proxy":{""#,
    r#"kill_after_ms":1500,"zone":"west"},"ratio":0.25},"members":{"rev":42,"all":true,"targets":[{"#,
    r#""uid":"pg-a","endpoint":"10.0.0.1:5432","pod_group":3,"state":"SERVING","boot_ms":1700000000"#,
    r#"123.0,"recovery":"off"},{"uid":"pg-c","endpoint":"10.0.0.3:5433","pod_group":4,"state":"SERV"#,
    r#"ING","boot_ms":1700000000999.5,"recovery":"on"}]},"statements":[{"sql":"SELECT note FROM ite"#,
    r#"m WHERE id = $1 /* café \"x\" */","types":[0,0,0,23]},{"sql":"SELECT 1","types":[]}]}}"#,
);

/// A replica that runs on a copy of a fixture's log.
struct Replica {
    directory: PathBuf,
    process: Child,
}

impl Replica {
    /// Starts replica 1 at `address`. `peers` are the addresses of replicas 2 and up.
    fn start(fixture: &str, address: SocketAddr, peers: &[SocketAddr]) -> Replica {
        let directory = std::env::temp_dir().join(format!("liftrelay-store-format-{address}"));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(directory.join("data")).unwrap();
        std::fs::copy(fixture_log(fixture), directory.join("data/log")).unwrap();
        let mut text = format!("id = 1\ndata = {:?}\n", directory.join("data"));
        for (position, address) in std::iter::once(&address).chain(peers).enumerate() {
            text += &format!("[[replica]]\nid = {}\naddress = \"{address}\"\n", position + 1);
        }
        std::fs::write(directory.join("store.toml"), text).unwrap();
        let process = command(&directory, &["run"]).spawn().unwrap();
        Replica { directory, process }
    }

    /// Runs the store's command line against the replica.
    fn run(&self, arguments: &[&str]) -> Output {
        command(&self.directory, arguments).output().unwrap()
    }

    /// Waits until the replica has committed the entry at `index`, and returns its status.
    fn status_once_committed(&self, index: u64) -> Value {
        let start = Instant::now();
        loop {
            let output = self.run(&["status"]).stdout;
            let status: Value = serde_json::from_slice(&output).unwrap_or_default();
            if status["committed"].as_u64() >= Some(index) {
                return status;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "entry {index} is not committed: {status}");
        }
    }

    /// Returns the bytes that the replica has appended to the fixture's log.
    fn appended(&self, fixture: &str) -> Vec<u8> {
        let before = std::fs::read(fixture_log(fixture)).unwrap();
        let after = std::fs::read(self.directory.join("data/log")).unwrap();
        assert_eq!(&after[..before.len()], &before[..], "the records of the first version were changed");
        after[before.len()..].to_vec()
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn fixture_log(fixture: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store-v1").join(fixture).join("log")
}

fn command(directory: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(["store", "--file"]).arg(directory.join("store.toml")).args(arguments);
    command.stderr(Stdio::null());
    command
}

/// Binds listeners to a loopback address that no other test uses.
fn listeners<const COUNT: usize>(network: u8) -> [TcpListener; COUNT] {
    let pid = std::process::id();
    let host = format!("127.{network}.{}.{}:0", pid >> 8 & 255, pid & 255);
    std::array::from_fn(|_| TcpListener::bind(&host).unwrap())
}

fn free_address(network: u8) -> SocketAddr {
    listeners::<1>(network)[0].local_addr().unwrap()
}

/// The state that both fixtures have in common. The snapshot fixture has two more settings.
fn expected_state() -> Value {
    json!({
        "settings": {
            "greeting": "hello there",
            "proxy": { "kill_after_ms": 1500, "zone": "west" },
            "ratio": 0.25,
        },
        "members": {
            "rev": 42,
            "all": true,
            "targets": [
                {
                    "uid": "pg-a", "endpoint": "10.0.0.1:5432", "pod_group": 3, "state": "SERVING",
                    "boot_ms": 1700000000123.0, "recovery": "off",
                },
                {
                    "uid": "pg-c", "endpoint": "10.0.0.3:5433", "pod_group": 4, "state": "SERVING",
                    "boot_ms": 1700000000999.5, "recovery": "on",
                },
            ],
        },
        "statements": [
            { "sql": "SELECT note FROM item WHERE id = $1 /* café \"x\" */", "types": [0, 0, 0, 23] },
            { "sql": "SELECT 1", "types": [] },
        ],
    })
}

#[test]
fn all_entries_of_the_first_version_are_read() {
    let replica = Replica::start("entries", free_address(91), &[]);
    let status = replica.status_once_committed(11);
    assert_eq!(status["term"], 4, "the fixture ends in term 3");
    assert_eq!(status["state"], expected_state());
}

#[test]
fn a_snapshot_of_the_first_version_and_all_entries_after_it_are_read() {
    let replica = Replica::start("snapshot", free_address(92), &[]);
    let status = replica.status_once_committed(533);
    assert_eq!(status["term"], 5, "the fixture ends in term 4");
    let mut expected = expected_state();
    expected["settings"]["counter"] = json!(519);
    expected["settings"]["after"] = json!([1, null, true]);
    assert_eq!(status["state"], expected);
}

#[test]
fn records_are_appended_in_the_format_of_the_first_version() {
    let replica = Replica::start("entries", free_address(93), &[]);
    replica.status_once_committed(11);
    assert!(replica.run(&["put", "greeting", "good bye"]).status.success());
    // Each record is the length and CRC-32 of the payload, both big-endian, and the payload.
    let records: [&[u8]; 3] = [
        b"\x00\x00\x00\x1c\xe1\x4f\x3b\x93{\"Hard\":{\"term\":4,\"vote\":1}}",
        b"\x00\x00\x00\x2e\x7f\x6e\xe5\x18{\"Entry\":{\"index\":11,\"term\":4,\"command\":null}}",
        b"\x00\x00\x00\x49\xcc\xf1\x6b\x9e{\"Entry\":{\"index\":12,\"term\":4,\"command\":\
          {\"Set\":[\"greeting\",\"good bye\"]}}}",
    ];
    let appended = replica.appended("entries");
    assert_eq!(appended.escape_ascii().to_string(), records.concat().escape_ascii().to_string());
}

#[test]
fn status_is_printed_in_the_format_of_the_first_version() {
    let replica = Replica::start("entries", free_address(94), &[]);
    replica.status_once_committed(11);
    let printed = String::from_utf8(replica.run(&["status"]).stdout).unwrap();
    let expected = concat!(
        r#"{"id":1,"term":4,"leader":1,"committed":11,"done":false,"state":{"settings":"#,
        r#"{"greeting":"hello there","proxy":{"kill_after_ms":1500,"zone":"west"},"ratio":0.25},"#,
        r#""members":{"rev":42,"all":true,"targets":[{"uid":"pg-a","endpoint":"10.0.0.1:5432","#,
        r#""pod_group":3,"state":"SERVING","boot_ms":1700000000123.0,"recovery":"off"},"#,
        r#"{"uid":"pg-c","endpoint":"10.0.0.3:5433","pod_group":4,"state":"SERVING","#,
        r#""boot_ms":1700000000999.5,"recovery":"on"}]},"statements":["#,
        r#"{"sql":"SELECT note FROM item WHERE id = $1 /* café \"x\" */","types":[0,0,0,23]},"#,
        r#"{"sql":"SELECT 1","types":[]}]}}"#,
        "\n"
    );
    assert_eq!(printed, expected);
}

/// Replica 2, as simulated by the test: it reads the lines of replica 1 and sends lines of its own.
struct MockPeer {
    incoming: BufReader<TcpStream>,
    outgoing: TcpStream,
}

impl MockPeer {
    /// Waits until the replica at `address` has connected to `listener`, and connects to that replica.
    fn connect(listener: &TcpListener, address: SocketAddr) -> MockPeer {
        let (incoming, _) = listener.accept().unwrap();
        incoming.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let outgoing = TcpStream::connect(address).unwrap();
        MockPeer { incoming: BufReader::new(incoming), outgoing }
    }

    fn receive(&mut self) -> String {
        let mut line = String::new();
        self.incoming.read_line(&mut line).unwrap();
        line
    }

    /// Reads lines up to one that equals `expected`.
    fn expect(&mut self, expected: &str) {
        let start = Instant::now();
        let mut received = Vec::new();
        while start.elapsed() < TEST_TIMEOUT {
            let line = self.receive();
            if line == format!("{expected}\n") {
                return;
            }
            received.push(line);
        }
        panic!("{expected} is not among {received:#?}");
    }

    fn send(&mut self, line: &str) {
        self.outgoing.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Votes for the replica until it is the leader, and returns its term.
    fn elect(&mut self) -> u64 {
        loop {
            let line = self.receive();
            let term = serde_json::from_str::<Value>(&line).unwrap()["Peer"]["term"].as_u64().unwrap();
            let request = format!(
                r#"{{"Peer":{{"from":1,"term":{term},"say":{{"Vote":{{"last_index":532,"last_term":4}}}}}}}}"#
            );
            if line != format!("{request}\n") {
                let entry = format!(r#"{{"index":533,"term":{term},"command":null}}"#);
                let append = append(term, 532, 4, &entry, 513);
                assert_eq!(line, format!("{append}\n"));
                return term;
            }
            self.send(&format!(
                r#"{{"Peer":{{"from":2,"term":{term},"say":{{"Voted":{{"granted":true}}}}}}}}"#
            ));
        }
    }
}

fn append(term: u64, prev_index: u64, prev_term: u64, entries: &str, commit: u64) -> String {
    let previous = format!(r#""prev_index":{prev_index},"prev_term":{prev_term}"#);
    let append = format!(r#"{{"Append":{{{previous},"entries":[{entries}],"commit":{commit}}}}}"#);
    format!(r#"{{"Peer":{{"from":1,"term":{term},"say":{append}}}}}"#)
}

#[test]
fn replicas_exchange_the_lines_of_the_first_version() {
    let [own, peer, unreachable] = listeners::<3>(95);
    let address = own.local_addr().unwrap();
    let peers = [peer.local_addr().unwrap(), unreachable.local_addr().unwrap()];
    drop((own, unreachable));
    let _replica = Replica::start("snapshot", address, &peers);
    let mut peer = MockPeer::connect(&peer, address);
    let term = peer.elect();

    // A follower that lacks the entries compacted from the leader's log gets the snapshot.
    peer.send(&format!(
        r#"{{"Peer":{{"from":2,"term":{term},"say":{{"Appended":{{"ok":false,"index":0}}}}}}}}"#
    ));
    let mut state = expected_state();
    state["settings"]["counter"] = json!(502);
    let snapshot = json!({ "index": 513, "term": 3, "state": state });
    peer.expect(&format!(
        r#"{{"Peer":{{"from":1,"term":{term},"say":{{"Install":{{"snapshot":{}}}}}}}}}"#,
        SNAPSHOT_TEXT
    ));
    assert_eq!(serde_json::from_str::<Value>(SNAPSHOT_TEXT).unwrap(), snapshot);

    peer.send(&format!(
        r#"{{"Peer":{{"from":2,"term":{term},"say":{{"Appended":{{"ok":true,"index":533}}}}}}}}"#
    ));
    peer.expect(&append(term, 533, term, "", 533));

    // A change that a follower forwards to the leader.
    peer.send(r#"{"Forward":{"Prepared":{"sql":"SELECT 2","types":[]}}}"#);
    let entry = r#"{"index":534,"term":TERM,"command":{"Prepared":{"sql":"SELECT 2","types":[]}}}"#;
    peer.expect(&append(term, 533, term, &entry.replace("TERM", &term.to_string()), 533));

    // An entry of a new leader that replaces the last one, and a vote in a later term.
    let next = term + 1;
    let entry = format!(r#"{{"index":534,"term":{next},"command":{{"Set":["greeting","good bye"]}}}}"#);
    peer.send(&append(next, 533, term, &entry, 533).replace(r#""from":1"#, r#""from":2"#));
    peer.expect(&format!(
        r#"{{"Peer":{{"from":1,"term":{next},"say":{{"Appended":{{"ok":true,"index":534}}}}}}}}"#
    ));
    let later = term + 100;
    peer.send(&format!(
        r#"{{"Peer":{{"from":2,"term":{later},"say":{{"Vote":{{"last_index":534,"last_term":{next}}}}}}}}}"#
    ));
    peer.expect(&format!(r#"{{"Peer":{{"from":1,"term":{later},"say":{{"Voted":{{"granted":true}}}}}}}}"#));

    peer.send(r#""Status""#);
    let mut answer = String::new();
    BufReader::new(&peer.outgoing).read_line(&mut answer).unwrap();
    let status: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(status["committed"], 533);
}
