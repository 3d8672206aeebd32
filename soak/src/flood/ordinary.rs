//! The ordinary clients beside a flood: one request at a time, judged by their deadlines.

use super::messages::read_text;
use crate::wire::{Reply, query, read_message, read_reply, startup_message};
use liftrelay::CLIENT_MESSAGE_TYPES;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The pause of a client between two requests.
const THINK_TIME: Duration = Duration::from_millis(8);
/// The interval of the health checks of the layer in front of the proxies.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long after its deadline a client still waits, to see how late the answer is.
const LATE_WAIT: Duration = Duration::from_secs(2);

/// A listener of the proxy, or what is measured besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The platform's listener.
    Platform,
    /// The extended listener.
    Extended,
    /// A new connection with an empty query on the platform's listener.
    HealthCheck,
    /// The admin listener.
    Admin,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// It was served.
    Served,
    /// It got another answer.
    Otherwise(String),
    /// Its connection was closed, or could not be opened.
    Closed,
    /// No answer came.
    Silent,
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Where it was sent.
    pub target: Target,
    /// How long its client waits.
    pub deadline: Duration,
    /// When it was sent.
    pub sent_at: Instant,
    /// The time from its sending to its answer.
    pub took: Duration,
    /// How it ended.
    pub end: Answered,
}

/// What the ordinary clients of a play share.
pub struct Ordinary<'a> {
    /// The answers so far.
    pub answers: Mutex<Vec<Answer>>,
    /// Whether the play is over.
    pub is_over: &'a AtomicBool,
    /// The number of requests, for their ids.
    pub serial: AtomicU64,
}

impl Ordinary<'_> {
    /// Sends requests until the play is over, on one connection that is replaced when it is closed.
    pub fn run(&self, target: Target, address: SocketAddr, deadline: Duration) {
        let mut connection = None;
        while !self.is_over.load(Ordering::SeqCst) {
            let keeps_connection = matches!(target, Target::Platform | Target::Extended);
            if !keeps_connection {
                connection = None;
            }
            let started_at = Instant::now();
            if connection.is_none() && keeps_connection {
                connection = connect(address, deadline);
            }
            let sent_at = if keeps_connection { Instant::now() } else { started_at };
            let end = match target {
                Target::Platform | Target::Extended => connection
                    .as_mut()
                    .map_or(Answered::Closed, |stream| self.request(target, stream, deadline)),
                Target::HealthCheck => check_health(address, deadline),
                Target::Admin => call_admin(address, deadline),
            };
            if end != Answered::Served {
                connection = None;
            }
            let answer = Answer { target, deadline, sent_at, took: sent_at.elapsed(), end };
            self.answers.lock().unwrap().push(answer);
            std::thread::sleep(if keeps_connection { THINK_TIME } else { CHECK_INTERVAL });
        }
    }

    fn request(&self, target: Target, stream: &mut TcpStream, deadline: Duration) -> Answered {
        let serial = self.serial.fetch_add(1, Ordering::SeqCst);
        let milliseconds = deadline.as_millis();
        if target == Target::Platform {
            let text = read_text(serial, "own").replace("d=900", &format!("d={milliseconds}"));
            return ended(stream.write_all(&query(&text)).and_then(|()| read_reply(stream)));
        }
        let text = format!("\0SELECT payload FROM entries /* c=any,d={milliseconds} */\0\0\0");
        let bind = b"\0\0\0\0\0\0\0\0";
        let parts: [(u8, &[u8]); 4] =
            [(b'P', text.as_bytes()), (b'B', bind), (b'E', b"\0\0\0\0\0"), (b'S', b"")];
        debug_assert!(parts.iter().all(|(tag, _)| CLIENT_MESSAGE_TYPES.contains(tag)));
        let batch: Vec<u8> = parts.iter().flat_map(|(tag, body)| crate::wire::message(*tag, body)).collect();
        ended(stream.write_all(&batch).and_then(|()| read_reply(stream)))
    }
}

fn ended(reply: std::io::Result<Reply>) -> Answered {
    match reply {
        Ok(Reply::Row(_)) => Answered::Served,
        Ok(Reply::Error(code)) => Answered::Otherwise(code),
        Ok(Reply::Empty) => Answered::Otherwise("empty".into()),
        Err(error)
            if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
        {
            Answered::Silent
        }
        Err(_) => Answered::Closed,
    }
}

/// Opens a connection and waits for its greeting.
fn connect(address: SocketAddr, deadline: Duration) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(deadline + LATE_WAIT)).ok()?;
    stream.write_all(&startup_message()).ok()?;
    while read_message(&mut stream).ok()?.0 != b'Z' {}
    Some(stream)
}

fn check_health(address: SocketAddr, deadline: Duration) -> Answered {
    let Some(mut stream) = connect(address, deadline) else { return Answered::Closed };
    match stream.write_all(&query("")).and_then(|()| read_reply(&mut stream)) {
        Ok(Reply::Empty) => Answered::Served,
        reply => ended(reply),
    }
}

fn call_admin(address: SocketAddr, deadline: Duration) -> Answered {
    let call = || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(deadline + LATE_WAIT))?;
        stream.write_all(b"GET /control/ready HTTP/1.1\r\nHost: proxy\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok::<_, std::io::Error>(text)
    };
    match call() {
        Ok(text) if text.starts_with("HTTP/1.1 200") => Answered::Served,
        Ok(text) => Answered::Otherwise(text.lines().next().unwrap_or_default().into()),
        Err(_) => Answered::Closed,
    }
}
