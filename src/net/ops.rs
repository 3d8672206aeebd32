//! The operators' listener: HTTP/1.1, one call a connection. Each call has a thread, few at a time; the loop
//! answers.

use super::{Message, Messages, spawn};
use crate::Settings;
use crate::core::Tally;
use crossbeam_channel::{Sender, bounded};
use std::fmt::Write as _;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Calls at a time; what is beyond is turned away.
pub const CALLERS: usize = 16;
/// A call's head must be whole within this, and no longer than that.
const WHOLE: Duration = Duration::from_secs(2);
const LONGEST: usize = 8 * 1024;
/// The loop has this long to answer: a caller waits for a second.
const ANSWER: Duration = Duration::from_millis(800);
/// How long a connection stays open for its caller to take the answer.
const TAKE: Duration = Duration::from_millis(200);
/// The wait after a failed accept.
const AGAIN: Duration = Duration::from_millis(50);

/// What operators ask of the loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Counters,
    /// Out of service, or back.
    Service(bool),
}

/// The loop's answer.
pub enum Told {
    /// Yes or no.
    Whether(bool),
    /// The figures.
    Counters(Tally),
}

/// A status, and the text below it.
type Answer = (u16, String);

/// Starts listening.
pub fn listen(at: SocketAddr, settings: Arc<Settings>, messages: Messages) -> Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let at = listener.local_addr()?;
    spawn("ops", move || {
        let callers = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((stream, _)) = listener.accept() else {
                // Guards against a full table of descriptors.
                std::thread::sleep(AGAIN);
                continue;
            };
            let guard = Seat(callers.clone());
            if callers.fetch_add(1, Ordering::SeqCst) >= CALLERS {
                let _ = say(&stream, &(503, "too many callers\n".into()));
                continue;
            }
            let (settings, messages) = (settings.clone(), messages.clone());
            // Without a thread, the connection and its seat are dropped.
            let _ = spawn("caller", move || {
                let _seat = guard;
                serve(&stream, &settings, &messages);
            });
        }
    })?;
    Ok(at)
}

struct Seat(Arc<AtomicUsize>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve(mut stream: &TcpStream, settings: &Settings, messages: &Messages) {
    let answer = match head(stream) {
        Ok(call) => ask(call, settings, messages),
        Err(answer) => answer,
    };
    let _ = say(stream, &answer);
    // Guards against a reset that overtakes the answer, where bytes of the call are still unread.
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(TAKE));
    let (until, mut rest) = (Instant::now() + TAKE, [0; 1024]);
    while Instant::now() < until && matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
}

/// Reads the head of a call, or says what is wrong with it.
fn head(mut stream: &TcpStream) -> std::result::Result<Call, Answer> {
    let end = Instant::now() + WHOLE;
    let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
    loop {
        match parse(&bytes) {
            Ok(None) => {}
            Ok(Some(call)) => return Ok(call),
            Err((code, why)) => return Err((code, format!("{why}\n"))),
        }
        let left = end.saturating_duration_since(Instant::now());
        let slow = Err((408, "no whole call in time\n".into()));
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return slow;
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            _ => return slow,
        }
    }
}

/// What a call asks, as far as it has come.
fn parse(bytes: &[u8]) -> std::result::Result<Option<Call>, (u16, &'static str)> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if bytes.len() <= LONGEST => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err((431, "the call is too long"));
        }
        Err(_) => return Err((400, "the call can't be read")),
    }
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let (method, call) = match path {
        "/control/ready" => ("GET", Call::Ready),
        "/control/counters" => ("GET", Call::Counters),
        "/control/out-of-service" => ("PUT", Call::Service(false)),
        "/control/in-service" => ("PUT", Call::Service(true)),
        _ => return Err((404, "unknown path")),
    };
    if request.method != Some(method) {
        return Err((405, "wrong method"));
    }
    Ok(Some(call))
}

/// Puts a call to the loop.
fn ask(call: Call, settings: &Settings, messages: &Messages) -> Answer {
    let (reply, told) = bounded(1);
    let end = Instant::now() + ANSWER;
    let handed = messages.send_timeout(Message::Operator(call, reply), ANSWER).is_ok();
    let left = end.saturating_duration_since(Instant::now());
    match handed.then(|| told.recv_timeout(left)) {
        Some(Ok(Told::Whether(true))) => (200, "yes\n".into()),
        Some(Ok(Told::Whether(false))) => (503, "no\n".into()),
        Some(Ok(Told::Counters(tally))) => (200, counters(&tally, settings)),
        _ => (503, "no answer in time\n".into()),
    }
}

/// The figures, one a line.
fn counters(tally: &Tally, settings: &Settings) -> String {
    let mut text = String::new();
    for (class, ended) in settings.class_names.iter().zip(&tally.ended) {
        for (name, count) in ["completed", "rejected", "failed"].iter().zip(ended) {
            let _ = writeln!(text, "downstream_requests.{class}.{name}={count}");
        }
    }
    let (members, unavailable) = tally.members;
    let _ = writeln!(text, "upstream_requests={}\npending={}", tally.attempts, tally.pending);
    let _ = writeln!(text, "members={members}\nmembers_unavailable={unavailable}");
    text
}

fn say(mut stream: &TcpStream, (code, text): &Answer) -> Result<()> {
    let reason = match code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    stream.set_write_timeout(Some(WHOLE))?;
    let kind = "Content-Type: text/plain; charset=utf-8";
    let length = text.len();
    let head =
        format!("HTTP/1.1 {code} {reason}\r\n{kind}\r\nContent-Length: {length}\r\nConnection: close\r\n");
    stream.write_all(format!("{head}\r\n{text}").as_bytes())
}

/// What the loop answers through.
pub type Reply = Sender<Told>;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_to_the_letter() {
        let get = |path: &str| parse(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
        assert_eq!(get("/control/ready"), Ok(Some(Call::Ready)));
        assert_eq!(get("/control/counters?x=1"), Ok(Some(Call::Counters)));
        assert_eq!(get("/control").unwrap_err().0, 404);
        assert_eq!(get("/control/in-service").unwrap_err().0, 405);
        assert_eq!(parse(b"PUT /control/out-of-service HTTP/1.1\r\n\r\n"), Ok(Some(Call::Service(false))));
        assert_eq!(parse(b"GET /control/ready HTTP/1.1\r\nHost"), Ok(None));
        assert_eq!(parse(b"\x16\x03\x01nonsense\r\n\r\n").unwrap_err().0, 400);
        let long = [b"GET /control/ready HTTP/1.1\r\nA: ".to_vec(), vec![b'a'; LONGEST]].concat();
        assert_eq!(parse(&long).unwrap_err().0, 431);
    }
}
