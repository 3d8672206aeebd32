//! Discovery: the complete list, and watches. Nothing changes in the cases.

use super::member::Member;
use super::record::Record;
use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Discovery {
    pub address: SocketAddr,
    revision: u64,
    entries: Vec<String>,
    record: Record,
}

/// An entry of the list. `recovery` tells the role, where the list shows roles.
pub fn entry(member: &Member, group: u32, state: &str, recovery: &str) -> String {
    let (uid, address) = (&member.name, member.address);
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m1","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"recovery":"{recovery}"}}"#
    )
}

impl Discovery {
    pub fn start(record: &Record, revision: u64, entries: Vec<String>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Arc::new(Discovery { address, revision, entries, record: record.clone() });
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The complete list, in discovery's form.
    pub fn complete_list(&self) -> String {
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.revision, self.entries.join(","))
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
        if index != self.revision {
            chunk(stream, &format!("{}\n", self.complete_list()))?;
        }
        loop {
            std::thread::sleep(Duration::from_millis(2000));
            chunk(stream, "\n")?;
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}
