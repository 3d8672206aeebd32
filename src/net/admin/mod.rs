//! The admin listener: HTTP/1.1, one request per connection.
//!
//! Each connection has a thread, up to [`MAX_CONNECTIONS`]. The thread passes the request to the event loop
//! and sends the event loop's answer.

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
/// The time limit for reading the head of a request, and for a write of a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for the event loop's answer. Clients wait 1 s for a response: with this limit, they receive
/// the response `no answer in time` before their own timeout.
const LOOP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection remains open after the response has been written, for the client to read it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The most bytes in one read from a socket.
const READ_BYTES: usize = 1024;

/// A request of an operator to the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Asks whether this process can serve.
    Ready,
    /// Asks for the counters.
    Counters,
    /// Puts the proxy in service (`true`) or out of service.
    SetInService(bool),
}

/// The event loop's answer to an [`AdminRequest`].
pub enum AdminResponse {
    /// The answer `yes` (`true`) or `no`.
    Answer(bool),
    /// The counters when the event loop handled the request: those of the reducer, and those of the server.
    Counters(Counters, Vec<ServerCounter>),
}

/// A counter or a gauge of the server.
pub struct ServerCounter {
    /// The name in metrics.
    pub name: String,
    /// The value.
    pub value: u64,
}

/// A request that is passed to the event loop.
pub struct AdminCall {
    /// The operator's request.
    pub request: AdminRequest,
    /// The channel on which the event loop sends its answer.
    pub respond_to: Sender<AdminResponse>,
}

/// The event loop has not accepted a call in time, or has ended.
pub struct LoopUnavailable;

/// Passes a call to the event loop, and waits for capacity up to the given time.
pub type CallSink = Arc<dyn Fn(AdminCall, Duration) -> Result<(), LoopUnavailable> + Send + Sync>;

/// Starts the listener's thread; returns the bound address.
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
            // Without the delay, this loop would spin while no descriptor is free.
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
        let (thread_settings, thread_calls) = (settings.clone(), calls.clone());
        let thread_connection = connection.clone();
        let spawned = spawn("caller", move || {
            serve_connection(&thread_connection.0, &thread_settings, &thread_calls);
        });
        // If no thread can be started, this thread serves the connection, and other connections wait.
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

/// Serves the one request of a connection.
fn serve_connection(mut stream: &TcpStream, settings: &Settings, calls: &CallSink) {
    let response = match read_request(stream) {
        Ok(request) => call_event_loop(request, settings, calls),
        Err(error) => HttpResponse::from(error),
    };
    let _ = write_response(stream, &response);
    // The rest of the request is read and discarded: closing a socket with unread bytes sends a reset, which
    // could arrive before the client has read the response.
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(LINGER_TIMEOUT));
    let deadline = Instant::now() + LINGER_TIMEOUT;
    let mut discarded = [0; READ_BYTES];
    while Instant::now() < deadline && matches!(stream.read(&mut discarded), Ok(length) if length > 0) {}
}

/// Reads and parses the head of a request.
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

/// Passes a request to the event loop and waits for the answer, [`LOOP_TIMEOUT`] at most for both.
fn call_event_loop(request: AdminRequest, settings: &Settings, calls: &CallSink) -> HttpResponse {
    let (sender, receiver) = bounded(1);
    let deadline = Instant::now() + LOOP_TIMEOUT;
    let call = AdminCall { request, respond_to: sender };
    let sent = calls(call, LOOP_TIMEOUT).is_ok();
    let left = deadline.saturating_duration_since(Instant::now());
    match sent.then(|| receiver.recv_timeout(left)) {
        Some(Ok(AdminResponse::Answer(true))) => HttpResponse::new(Status::Ok, "yes\n"),
        Some(Ok(AdminResponse::Answer(false))) => HttpResponse::new(Status::ServiceUnavailable, "no\n"),
        Some(Ok(AdminResponse::Counters(counters, of_server))) => {
            HttpResponse::new(Status::Ok, counters_text(&counters, &of_server, settings))
        }
        _ => HttpResponse::new(Status::ServiceUnavailable, "no answer in time\n"),
    }
}

/// The counters as text, one per line in the form `name=value`.
fn counters_text(counters: &Counters, of_server: &[ServerCounter], settings: &Settings) -> String {
    let mut text = String::new();
    for (class, answers) in settings.class_names.iter().zip(&counters.answers) {
        let counts =
            [("completed", answers.served), ("rejected", answers.rejected), ("failed", answers.failed)];
        for (name, count) in counts {
            let _ = writeln!(text, "downstream_requests.{class}.{name}={count}");
        }
    }
    let members = counters.members.listed;
    let unavailable = counters.members.unavailable;
    let _ = writeln!(text, "upstream_requests={}", counters.attempts_written);
    let _ = writeln!(text, "pending={}", counters.pending);
    let _ = writeln!(text, "members={members}");
    let _ = writeln!(text, "members_unavailable={unavailable}");
    let _ = writeln!(text, "endpoint_list.revision={}", counters.list_revision);
    let routing = &counters.routing;
    for ((need, requests), (_, ruled_out)) in routing.requests.named().iter().zip(routing.ruled_out.named()) {
        let _ = writeln!(text, "needs.{need}.requests={requests}");
        let _ = writeln!(text, "needs.{need}.ruled_out={ruled_out}");
    }
    let _ = writeln!(text, "reads.at_primary={}", routing.reads_at_primary);
    let _ = writeln!(text, "reads.at_replica={}", routing.reads_at_replica);
    for ServerCounter { name, value } in of_server {
        let _ = writeln!(text, "{name}={value}");
    }
    for ((kind, reason), count) in &counters.records {
        let _ = writeln!(text, "{}.{reason}={count}", kind.name());
    }
    text
}

fn write_response(mut stream: &TcpStream, response: &HttpResponse) -> std::io::Result<()> {
    // An error is ignored: without the limit, the write does not block either, as the response fits the
    // socket's send buffer.
    let _ = stream.set_write_timeout(Some(REQUEST_TIMEOUT));
    stream.write_all(&response.to_bytes())
}

#[cfg(test)]
mod tests;
