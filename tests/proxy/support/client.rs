//! A PostgreSQL client that connects to a listener of the proxy.

use super::TEST_TIMEOUT;
use super::wire::{cancel_request, read_message, simple_query, startup_message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// A client connection to the proxy.
pub struct Client {
    pub stream: TcpStream,
    /// The body of the BackendKeyData message, which identifies this connection in cancel requests; empty
    /// before the greeting.
    backend_key: Vec<u8>,
}

impl Client {
    /// Connects, sends the startup message and reads the greeting.
    pub fn connect(address: SocketAddr) -> Client {
        let mut client = Client::connect_without_startup(address);
        client.stream.write_all(&startup_message()).unwrap();
        client.read_greeting();
        client
    }

    /// Connects and sends nothing.
    pub fn connect_without_startup(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { stream, backend_key: Vec::new() }
    }

    /// Opens another connection, sends a cancel request for this client's current request on it, and returns
    /// that connection.
    pub fn send_cancel_to(&self, address: SocketAddr) -> Client {
        let mut cancel = Client::connect_without_startup(address);
        cancel.send(&cancel_request(&self.backend_key));
        cancel
    }

    /// Reads up to the first ReadyForQuery, and stores the key for cancel requests.
    pub fn read_greeting(&mut self) {
        loop {
            let (tag, body) = read_message(&mut self.stream).expect("the proxy sends a greeting");
            match tag {
                b'K' => self.backend_key = body,
                b'Z' => return,
                _ => {}
            }
        }
    }

    /// Reads up to ReadyForQuery or the end of the stream. Returns the messages in a short notation: the tag
    /// of each one, followed by the value of a row or the SQLSTATE of an error in parentheses; `end` stands
    /// for the end of the stream.
    pub fn read_reply(&mut self) -> String {
        self.read_reply_until(|tag| tag == b'Z')
    }

    /// The same as [`Client::read_reply`], but reads up to the first message whose tag satisfies `is_last`.
    pub fn read_reply_until(&mut self, is_last: impl Fn(u8) -> bool) -> String {
        let mut descriptions = Vec::new();
        loop {
            let Some((tag, body)) = read_message(&mut self.stream) else {
                descriptions.push("end".to_string());
                break;
            };
            descriptions.push(describe(tag, &body));
            if is_last(tag) {
                break;
            }
        }
        descriptions.join(" ")
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a simple query and returns its reply in the notation of [`Client::read_reply`].
    pub fn query(&mut self, text: &str) -> String {
        self.send(&simple_query(text));
        self.read_reply()
    }
}

/// Returns a message of a reply in the notation of [`Client::read_reply`].
fn describe(tag: u8, body: &[u8]) -> String {
    match tag {
        b'D' => format!("D({})", String::from_utf8_lossy(&body[6..])),
        b'E' => {
            let fields = body.split(|byte| *byte == 0);
            let code = fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap();
            format!("E({})", String::from_utf8_lossy(code))
        }
        _ => char::from(tag).to_string(),
    }
}
