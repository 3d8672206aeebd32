//! The admin listener: HTTP/1.1, one request per connection.
//!
//! Each connection has a thread, with a small limit on their number; the event loop answers.

mod http;

use crate::Settings;
use crate::core::Counters;
use crate::sockets::TransientErrorRetries;
use crate::threads::spawn;
use crossbeam_channel::{Sender, bounded};
use http::{HttpResponse, RequestError, Status};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The most concurrent connections; further ones are rejected.
pub const MAX_CONNECTIONS: usize = 16;
/// A request must have arrived within this time. A write may take as long.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit of the event loop's answer: a caller waits for a second.
const LOOP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection stays open for its caller to read the response.
const LINGER: Duration = Duration::from_millis(200);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The most bytes in one read from a socket.
const READ_BYTES: usize = 1024;

/// A request of an operator to the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process can serve.
    Ready,
    /// The counters.
    Counters,
    /// Puts the proxy in service, or out of service.
    SetInService(bool),
}

/// The event loop's answer to an [`AdminRequest`].
pub enum AdminResponse {
    /// Yes or no.
    Answer(bool),
    /// The counters.
    Counters(Counters),
}

/// A request on its way to the event loop.
pub struct AdminCall {
    /// The request.
    pub request: AdminRequest,
    /// The sender for the answer.
    pub respond_to: Sender<AdminResponse>,
}

/// The event loop has not accepted a call in time, or has ended.
pub struct LoopUnavailable;

/// Passes calls to the event loop; waits for capacity for this long at most.
pub type CallSink = Arc<dyn Fn(AdminCall, Duration) -> Result<(), LoopUnavailable> + Send + Sync>;

/// Starts listening; returns the address that is bound.
pub fn listen(address: SocketAddr, settings: Arc<Settings>, calls: CallSink) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    spawn("ops", move || accept_connections(&listener, &settings, &calls))?;
    Ok(bound)
}

fn accept_connections(listener: &TcpListener, settings: &Arc<Settings>, calls: &CallSink) -> ! {
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept() else {
            // Guards against a busy loop while the table of descriptors is full.
            std::thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let slot = ConnectionSlot(open_connections.clone());
        if open_connections.fetch_add(1, Ordering::SeqCst) >= MAX_CONNECTIONS {
            let rejected = HttpResponse::new(Status::ServiceUnavailable, "too many callers\n");
            let _ = write_response(&stream, &rejected);
            continue;
        }
        let connection = Arc::new((stream, slot));
        let (settings_of_caller, calls_of_caller) = (settings.clone(), calls.clone());
        let connection_of_caller = connection.clone();
        let spawned = spawn("caller", move || {
            serve_connection(&connection_of_caller.0, &settings_of_caller, &calls_of_caller);
        });
        // Without a thread for it the caller is served here, and others wait.
        if spawned.is_err() {
            serve_connection(&connection.0, settings, calls);
        }
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve_connection(mut stream: &TcpStream, settings: &Settings, calls: &CallSink) {
    let response = match read_request(stream) {
        Ok(request) => ask_event_loop(request, settings, calls),
        Err(error) => HttpResponse::from(error),
    };
    let _ = write_response(stream, &response);
    // Guards against a reset that overtakes the response while bytes of the request are still unread.
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(LINGER));
    let deadline = Instant::now() + LINGER;
    let mut unread = [0; READ_BYTES];
    while Instant::now() < deadline && matches!(stream.read(&mut unread), Ok(length) if length > 0) {}
}

/// Reads the head of a request.
fn read_request(mut stream: &TcpStream) -> Result<AdminRequest, RequestError> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let mut received = Vec::new();
    let mut retries = TransientErrorRetries::default();
    let mut chunk = [0; READ_BYTES];
    loop {
        if let Some(request) = http::parse_request(&received)? {
            return Ok(request);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return Err(RequestError::Incomplete);
        }
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => received.extend_from_slice(&chunk[..length]),
            Err(error) if retries.should_retry_after(&error) => {}
            _ => return Err(RequestError::Incomplete),
        }
    }
}

fn ask_event_loop(request: AdminRequest, settings: &Settings, calls: &CallSink) -> HttpResponse {
    let (sender, receiver) = bounded(1);
    let deadline = Instant::now() + LOOP_TIMEOUT;
    let call = AdminCall { request, respond_to: sender };
    let sent = calls(call, LOOP_TIMEOUT).is_ok();
    let left = deadline.saturating_duration_since(Instant::now());
    match sent.then(|| receiver.recv_timeout(left)) {
        Some(Ok(AdminResponse::Answer(true))) => HttpResponse::new(Status::Ok, "yes\n"),
        Some(Ok(AdminResponse::Answer(false))) => HttpResponse::new(Status::ServiceUnavailable, "no\n"),
        Some(Ok(AdminResponse::Counters(tally))) => {
            HttpResponse::new(Status::Ok, counters_text(&tally, settings))
        }
        _ => HttpResponse::new(Status::ServiceUnavailable, "no answer in time\n"),
    }
}

/// The counters, one per line.
fn counters_text(tally: &Counters, settings: &Settings) -> String {
    let mut text = String::new();
    for (class, answers) in settings.class_names.iter().zip(&tally.answers) {
        let counts =
            [("completed", answers.served), ("rejected", answers.rejected), ("failed", answers.failed)];
        for (name, count) in counts {
            let _ = writeln!(text, "downstream_requests.{class}.{name}={count}");
        }
    }
    let members = tally.members.listed;
    let unavailable = tally.members.unavailable;
    let _ = writeln!(text, "upstream_requests={}", tally.attempts_written);
    let _ = writeln!(text, "pending={}", tally.pending);
    let _ = writeln!(text, "members={members}");
    let _ = writeln!(text, "members_unavailable={unavailable}");
    let _ = writeln!(text, "endpoint_list.revision={}", tally.list_revision);
    for ((kind, reason), count) in &tally.records {
        let _ = writeln!(text, "{}.{reason}={count}", kind.name());
    }
    text
}

fn write_response(mut stream: &TcpStream, response: &HttpResponse) -> std::io::Result<()> {
    // Without the limit a response still fits the socket's buffer.
    let _ = stream.set_write_timeout(Some(REQUEST_TIMEOUT));
    stream.write_all(&response.to_bytes())
}

#[cfg(test)]
mod tests;
