//! The discovery watch: keeps a connection to discovery open, and passes each update of the endpoint list on.
//!
//! A watch starts after the known revision, and reconnects for as long as the proxy runs.

mod backoff;
mod call_timeout;
mod error;
mod http_response;
mod object_stream;

use crate::endpoint_list::EndpointList;
use crate::threads::spawn;
use backoff::Backoff;
pub use call_timeout::DiscoveryKind;
use call_timeout::{CallResult, CallTimeout};
use error::DiscoveryError;
use http_response::ResponseBody;
use object_stream::{ObjectStream, StreamItem};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Discovery sends an empty line every 2 s as a heartbeat: a watch without a line for longer is dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2400);
/// The agent runs on this machine: a connection that is not established by then never will be.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A request is a few bytes: a connection that does not accept them by then is dead.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The number of a watch; a newer watch has a higher one.
pub type WatchId = u64;

/// Something that a watch reports.
pub struct WatchEvent {
    /// The watch.
    pub watch: WatchId,
    /// What it reports.
    pub report: WatchReport,
}

/// The report of a watch.
pub enum WatchReport {
    /// The complete list, or the entries that have changed.
    Update(EndpointList),
    /// A call ended.
    CallEnded(CallEnd),
}

/// A call that ended, for the log.
pub struct CallEnd {
    /// Its number among the calls of its watch.
    pub call: u64,
    /// What it asked for.
    pub path: String,
    /// Why it ended, in one word.
    pub reason: &'static str,
    /// Why it ended, in words.
    pub detail: String,
    /// The time from its begin.
    pub lasted: Duration,
    /// Updates that it delivered.
    pub updates: u64,
    /// The revision of the list at its end, if any is known.
    pub revision: Option<u64>,
}

/// The receiver of watch events has been dropped.
pub struct ReceiverClosed;

/// The sink of a watch's events; may block until there is capacity.
pub type EventSink = Box<dyn Fn(WatchEvent) -> Result<(), ReceiverClosed> + Send>;

/// A running watch. Dropping it ends the watch, whatever its state.
pub struct Watch {
    /// Its number.
    pub id: WatchId,
    /// The address of discovery.
    pub address: SocketAddr,
    connection: Arc<WatchConnection>,
}

impl Watch {
    /// Starts a watch after this revision, or, without one, with the complete list: revisions of another
    /// discovery address are unrelated.
    pub fn start(
        id: WatchId,
        address: SocketAddr,
        kind: DiscoveryKind,
        revision: Option<u64>,
        seed: u64,
        events: EventSink,
    ) -> std::io::Result<Watch> {
        let connection = Arc::new(WatchConnection::default());
        let watcher = Watcher {
            id,
            address,
            revision,
            received: false,
            calls: 0,
            updates: 0,
            call_timeout: CallTimeout::new(kind),
            events,
            connection: connection.clone(),
        };
        spawn("discovery", move || watcher.run(Backoff::new(seed)))?;
        Ok(Watch { id, address, connection })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.connection.cancel();
    }
}

/// The current connection of a watch, shared by the watch's thread and its owner.
#[derive(Default)]
struct WatchConnection {
    stream: Mutex<Option<TcpStream>>,
    canceled: AtomicBool,
}

impl WatchConnection {
    fn attach(&self, stream: TcpStream) {
        *self.stream.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(stream);
    }

    fn cancel(&self) {
        self.canceled.store(true, Ordering::SeqCst);
        let slot = self.stream.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(stream) = slot.as_ref() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_canceled(&self) -> bool {
        self.canceled.load(Ordering::SeqCst)
    }
}

/// The kind of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The complete list, once.
    List,
    /// All updates after this revision, for as long as the connection lasts.
    Watch { revision: u64 },
}

impl Call {
    fn path(self) -> String {
        match self {
            Call::List => "/api/targets".into(),
            Call::Watch { revision } => format!("/api/targets?stream=1&index={revision}"),
        }
    }

    fn is_watch(self) -> bool {
        matches!(self, Call::Watch { .. })
    }
}

/// The state of the watch's thread.
struct Watcher {
    id: WatchId,
    address: SocketAddr,
    /// The revision of the last update; `None` before the first complete list.
    revision: Option<u64>,
    /// Discovery has sent something since the last delay.
    received: bool,
    /// Calls made so far.
    calls: u64,
    /// Updates that the current call has delivered.
    updates: u64,
    /// The time limit of a call until its first complete list has arrived.
    call_timeout: CallTimeout,
    events: EventSink,
    connection: Arc<WatchConnection>,
}

impl Watcher {
    fn run(mut self, mut backoff: Backoff) {
        while !self.connection.is_canceled() {
            let _ = self.list_and_watch();
            let received = std::mem::take(&mut self.received);
            std::thread::sleep(backoff.next_delay(received));
        }
    }

    fn list_and_watch(&mut self) -> Result<(), DiscoveryError> {
        if self.revision.is_none() {
            self.logged_call(Call::List)?;
        }
        let revision = self.revision.unwrap_or(0);
        self.logged_call(Call::Watch { revision })
    }

    /// Makes a call, and reports its end.
    fn logged_call(&mut self, call: Call) -> Result<(), DiscoveryError> {
        let begun = Instant::now();
        self.calls += 1;
        self.updates = 0;
        let result = self.call(call);
        let (reason, detail) = match &result {
            Ok(()) => ("complete", String::new()),
            Err(error) => (error.reason(), error.to_string()),
        };
        if call.is_watch() || result.is_err() {
            let end = CallEnd {
                call: self.calls,
                path: call.path(),
                reason,
                detail,
                lasted: begun.elapsed(),
                updates: self.updates,
                revision: self.revision,
            };
            let report = WatchReport::CallEnded(end);
            let _ = (self.events)(WatchEvent { watch: self.id, report });
        }
        result
    }

    /// Makes a call, and passes on the updates that it returns.
    fn call(&mut self, call: Call) -> Result<(), DiscoveryError> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        self.connection.attach(stream.try_clone()?);
        // Guards against a watch that is canceled while its connection is being established: this connection
        // would never be shut down.
        if self.connection.is_canceled() {
            return Ok(());
        }
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let deadline = Instant::now() + self.call_timeout.current();
        let request = format!("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", call.path(), self.address);
        (&stream).write_all(request.as_bytes())?;
        let result = self.read_response(&stream, deadline, call);
        self.call_timeout.record(self.end_of(&result));
        result
    }

    fn end_of(&self, result: &Result<(), DiscoveryError>) -> CallResult {
        match result {
            _ if self.received => CallResult::Received,
            Err(error) if error.is_timeout() => CallResult::Hung,
            _ => CallResult::Failed,
        }
    }

    fn read_response(
        &mut self,
        stream: &TcpStream,
        mut deadline: Instant,
        call: Call,
    ) -> Result<(), DiscoveryError> {
        let mut body = ResponseBody::open(stream, deadline)?;
        if call.is_watch() {
            // If nothing has changed, the first line may be the next empty one.
            deadline = Instant::now() + SILENCE_TIMEOUT;
        }
        let mut objects = ObjectStream::default();
        while let Some(bytes) = body.next(deadline)? {
            // Guards against a stream of bytes that never ends a line.
            let late = Instant::now() > deadline;
            let mut advanced = false;
            for byte in bytes {
                let Some(item) = objects.push(byte)? else { continue };
                if item == StreamItem::KeepAlive && !call.is_watch() {
                    continue;
                }
                self.received = true;
                advanced = true;
                deadline = Instant::now() + SILENCE_TIMEOUT;
                if self.deliver(item)?.is_break() || !call.is_watch() {
                    return Ok(());
                }
            }
            if late && !advanced {
                return Err(DiscoveryError::TimedOut);
            }
        }
        if call.is_watch() && !objects.is_within_object() {
            Ok(())
        } else {
            Err(DiscoveryError::UnexpectedEnd)
        }
    }

    /// Passes an update on; breaks if the receiver has been dropped.
    fn deliver(&mut self, item: StreamItem) -> Result<ControlFlow<()>, DiscoveryError> {
        if self.connection.is_canceled() {
            return Ok(ControlFlow::Break(()));
        }
        let StreamItem::Object(object) = item else { return Ok(ControlFlow::Continue(())) };
        let endpoints: EndpointList = serde_json::from_slice(&object)?;
        self.revision = Some(endpoints.revision);
        self.updates += 1;
        match (self.events)(WatchEvent { watch: self.id, report: WatchReport::Update(endpoints) }) {
            Ok(()) => Ok(ControlFlow::Continue(())),
            Err(ReceiverClosed) => Ok(ControlFlow::Break(())),
        }
    }
}

#[cfg(test)]
mod tests;
