//! Discovery: the complete list, and watches that tell what changed after a version.

use super::member::Member;
use super::record::Record;
use std::collections::BTreeMap;
use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

struct State {
    revision: u64,
    /// The revision of the list that the changes start from.
    first: u64,
    entries: BTreeMap<String, String>,
    /// Each change: its revision and the entry.
    changes: Vec<(u64, String)>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

/// An entry of the list.
pub fn entry(member: &Member, group: u32, state: &str, recovery: &str) -> (String, String) {
    let (uid, address) = (&member.name, member.address);
    let text = format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m1","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"recovery":"{recovery}"}}"#
    );
    (uid.clone(), text)
}

/// A list in discovery's form.
fn list(revision: u64, complete: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":{complete},"targets":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(record: &Record, revision: u64, entries: Vec<(String, String)>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entries = entries.into_iter().collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State { revision, first: revision, entries, changes: Vec::new() }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The complete list.
    pub fn complete_list(&self) -> String {
        let state = self.state.lock().unwrap();
        list(state.revision, true, &state.entries.values().cloned().collect::<Vec<_>>())
    }

    /// Changes one entry, which raises the version by one.
    pub fn change(&self, (uid, text): (String, String)) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        self.record.line(format!("discovery: version {revision}: {text}"));
        if text.contains("\"DELETED\"") {
            state.entries.remove(&uid);
        } else {
            state.entries.insert(uid, text.clone());
        }
        state.changes.push((revision, text));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        self.record.line(format!("discovery: call {path}"));
        match path.split_once("index=") {
            None => {
                let body = self.complete_list();
                let length = body.len();
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            Some((_, index)) => self.watch(&mut stream, index.parse().unwrap_or(0)),
        }
    }

    fn watch(&self, stream: &mut TcpStream, index: u64) -> Result<()> {
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut known = index;
        let (first, last) = {
            let state = self.state.lock().unwrap();
            (state.first, state.revision)
        };
        if index < first || index > last {
            let all = self.complete_list();
            known = last;
            chunk(stream, &format!("{all}\n"))?;
        }
        loop {
            let update = {
                let mut state = self.state.lock().unwrap();
                if state.revision <= known {
                    state = self.changed.wait_timeout(state, Duration::from_millis(2000)).unwrap().0;
                }
                let changed = state.changes.iter().filter(|(revision, _)| *revision > known);
                let changed: Vec<_> = changed.map(|(_, text)| text.clone()).collect();
                known = state.revision;
                (!changed.is_empty()).then(|| list(state.revision, false, &changed))
            };
            if let Some(update) = &update {
                self.record.line(format!("discovery: tells {update}"));
            }
            chunk(stream, &format!("{}\n", update.unwrap_or_default()))?;
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}
