//! Mock discovery servers, and the endpoint lists that they send.

use super::{MockMember, TEST_TIMEOUT};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Returns a text and a line feed as one chunk of a chunked HTTP body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// Returns the entry of the endpoint list for a member of group 2.
pub fn endpoint_entry(uid: usize, member: &MockMember, state: &str) -> String {
    endpoint_entry_in_group(uid, 2, member, state)
}

/// Returns the entry of the endpoint list for a member of this group.
pub fn endpoint_entry_in_group(uid: usize, group: usize, member: &MockMember, state: &str) -> String {
    let address = member.address;
    let recovery = if member.primary { "off" } else { "on" };
    format!(
        r#"{{"uid":"s-{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"recovery":"{recovery}"}}"#
    )
}

/// Returns a complete endpoint list.
pub fn full_list(revision: u64, entries: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, entries.join(","))
}

/// Returns a complete endpoint list of serving members.
pub fn serving_list(revision: u64, members: &[(usize, &MockMember)]) -> String {
    let entry = |(uid, member): &(usize, &MockMember)| endpoint_entry(*uid, member, "SERVING");
    full_list(revision, &members.iter().map(entry).collect::<Vec<_>>())
}

/// Returns an update that replaces one entry of the endpoint list.
pub fn endpoint_update(revision: u64, entry: &str) -> String {
    format!(r#"{{"rev":{revision},"all":false,"targets":[{entry}]}}"#)
}

/// Reads the head of an HTTP request and returns the request line.
pub(super) fn read_request_line(stream: &TcpStream) -> std::io::Result<String> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut request_line = String::new();
    reader.read_line(&mut request_line)?;
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 2) {
        line.clear();
    }
    Ok(request_line)
}

/// A discovery server that sends the complete list on every watch, followed by the updates that the test
/// pushes.
pub struct MockDiscovery {
    pub address: SocketAddr,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    opened_watches: Receiver<()>,
    list_bytes: Arc<AtomicUsize>,
}

impl MockDiscovery {
    /// Starts a server of this list. With an empty list it behaves as if discovery were down: it accepts a
    /// watch, and sends neither a list nor heartbeats on it.
    pub fn start(list: String) -> MockDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let watches: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (notify_watch, opened_watches) = channel();
        if !list.is_empty() {
            let watches = Arc::downgrade(&watches);
            std::thread::spawn(move || send_heartbeats(&watches));
        }
        let streams = watches.clone();
        let list_bytes = Arc::new(AtomicUsize::new(0));
        let sent_bytes = list_bytes.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let request_line = read_request_line(&stream).unwrap_or_default();
                sent_bytes.fetch_add(list.len(), Ordering::SeqCst);
                if !request_line.contains("stream=1") {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    let _ = stream.write_all(format!("{head}{list}").as_bytes());
                    continue;
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let list = if list.is_empty() { String::new() } else { chunk(&list) };
                let _ = stream.write_all(format!("{head}{list}").as_bytes());
                streams.lock().unwrap().push(stream);
                let _ = notify_watch.send(());
            }
        });
        MockDiscovery { address, watches, opened_watches, list_bytes }
    }

    /// The number of bytes of all lists and updates sent.
    pub fn list_bytes(&self) -> usize {
        self.list_bytes.load(Ordering::SeqCst)
    }

    /// Sends a list or an update on all watches.
    pub fn push(&self, text: &str) {
        for stream in self.watches.lock().unwrap().iter_mut() {
            self.list_bytes.fetch_add(text.len(), Ordering::SeqCst);
            let _ = stream.write_all(chunk(text).as_bytes());
        }
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        self.watches.lock().unwrap().clear();
    }

    /// Waits until the proxy has closed the first watch.
    pub fn wait_for_closed_watch(&self) {
        let stream = self.watches.lock().unwrap()[0].try_clone().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        assert_eq!((&stream).read(&mut [0]).unwrap(), 0);
    }

    /// Waits for a new watch.
    pub fn wait_for_watch(&self) {
        self.opened_watches.recv_timeout(TEST_TIMEOUT).expect("the proxy opens a watch");
    }
}

/// Sends an empty line, the heartbeat of the protocol, on each watch once per second, until discovery is
/// dropped.
fn send_heartbeats(watches: &Weak<Mutex<Vec<TcpStream>>>) {
    while let Some(streams) = watches.upgrade() {
        streams.lock().unwrap().iter_mut().for_each(|stream| drop(stream.write_all(b"1\r\n\n\r\n")));
        drop(streams);
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// A discovery server that accepts connections; the test sends each response itself.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    connections: Receiver<TcpStream>,
}

impl ScriptedDiscovery {
    /// Starts to accept connections.
    pub fn start() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, connections) = channel();
        std::thread::spawn(move || listener.incoming().flatten().try_for_each(|stream| sender.send(stream)));
        ScriptedDiscovery { address, connections }
    }

    /// Waits for the next connection.
    fn accept_connection(&self) -> TcpStream {
        self.connections.recv_timeout(Duration::from_secs(15)).expect("the proxy sends a request")
    }

    /// Waits for the next request. Returns its connection, and whether it requests a watch.
    pub fn accept_request(&self) -> (TcpStream, bool) {
        let stream = self.accept_connection();
        let request_line = read_request_line(&stream).unwrap();
        (stream, request_line.contains("stream=1"))
    }

    /// Answers the next requests with this list, up to and including the first watch. Returns the connection
    /// of the watch, which stays open.
    ///
    /// Skips calls that the proxy has reset: while calls are unanswered, the proxy opens others beside them,
    /// and resets one when as many as allowed are open. It also resets all others once one is answered.
    pub fn answer_until_watch(&self, list: &str) -> TcpStream {
        let start = Instant::now();
        loop {
            let mut stream = self.accept_connection();
            match answer_request(&mut stream, list) {
                Ok(true) => return stream,
                Ok(false) => {}
                Err(error) if matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                    assert!(start.elapsed() < TEST_TIMEOUT, "the proxy resets every call before its answer");
                }
                Err(error) => panic!("no answer to a call of the proxy: {error}"),
            }
        }
    }
}

/// Reads a request and answers it with this list. Returns whether it requests a watch.
fn answer_request(stream: &mut TcpStream, list: &str) -> std::io::Result<bool> {
    let is_watch = read_request_line(stream)?.contains("stream=1");
    if is_watch {
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(list))?;
    } else {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
    }
    Ok(is_watch)
}
