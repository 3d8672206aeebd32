//! A stand-in for discovery: the agent of one proxy, which pushes the list and its changes at once.

use crate::common::sleep_ms;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub group: u32,
    pub state: &'static str,
    pub boot_ms: u64,
    pub primary: bool,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m1","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{},"recovery":"{}"}}"#,
            self.uid,
            self.endpoint,
            self.group,
            self.state,
            self.boot_ms,
            if self.primary { "off" } else { "on" }
        )
    }
}

struct List {
    revision: u64,
    targets: Vec<Target>,
    /// Each change with its revision.
    changes: Vec<(u64, Target)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = Arc::new(Mutex::new(List { revision: 41, targets, changes: Vec::new() }));
        let discovery = Discovery { address, list };
        let server = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    /// The complete list as JSON.
    pub fn full(&self) -> String {
        let list = self.list.lock().unwrap();
        let entries: Vec<String> = list.targets.iter().map(Target::json).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, list.revision, entries.join(","))
    }

    /// Adds or replaces an entry; all watches get the change at once.
    pub fn change(&self, target: Target) {
        let mut list = self.list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        list.targets.retain(|known| known.uid != target.uid);
        if target.state != "DELETED" {
            list.targets.push(target.clone());
        }
        list.changes.push((revision, target));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if !matches!(stream.read(&mut byte), Ok(1)) {
                return;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        if !head.contains("stream=1") {
            let body = self.full();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return;
        }
        let _ = stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        let mut known = self.list.lock().unwrap().revision;
        if send_chunk(&mut stream, &(self.full() + "\n")).is_err() {
            return;
        }
        let mut quiet = 0;
        loop {
            sleep_ms(5);
            quiet += 5;
            let changes: Vec<(u64, Target)> = {
                let list = self.list.lock().unwrap();
                list.changes.iter().filter(|(revision, _)| *revision > known).cloned().collect()
            };
            let mut text = String::new();
            for (revision, target) in changes {
                known = revision;
                text += &format!("{{\"rev\":{revision},\"all\":false,\"targets\":[{}]}}\n", target.json());
            }
            if quiet >= 2000 && text.is_empty() {
                text = "\n".into();
            }
            if !text.is_empty() {
                quiet = 0;
                if send_chunk(&mut stream, &text).is_err() {
                    return;
                }
            }
        }
    }
}

fn send_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
