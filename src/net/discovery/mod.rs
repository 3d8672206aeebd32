//! The discovery watch: keeps calls to discovery open, and passes each update of the endpoint list on.
//!
//! Whatever discovery holds counts as known to the proxy, so the watch must not stop listening: a call that
//! does not respond stays open, and is still read, while another one is opened beside it. When one of the
//! open calls delivers something, the others are closed.

mod backoff;
mod call;
mod call_policy;
mod cancellation;
mod error;
mod http_response;
mod object_stream;
mod watcher;

use crate::endpoint_list::EndpointList;
use crate::threads::spawn;
pub use call_policy::DiscoveryKind;
use cancellation::Cancellation;
use std::net::SocketAddr;
use std::time::Duration;
use watcher::Watcher;

/// A watch call that has received neither an update nor a heartbeat for this long counts as silent, and
/// another call is opened beside it. Discovery sends an empty line as a heartbeat every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2400);

/// The number of a watch; a newer watch has a higher one.
pub type WatchId = u64;

/// A report of a watch to its owner.
pub struct WatchEvent {
    /// The watch that reports: events of a watch that has been replaced may still arrive.
    pub watch: WatchId,
    /// The content of the report.
    pub report: WatchReport,
}

/// The content of a watch's report.
pub enum WatchReport {
    /// The complete list, or the entries that have changed.
    Update(EndpointList),
    /// A call ended.
    CallEnded(CallEnd),
    /// Discovery does not answer: no open call has delivered anything in time, or a call failed or ended.
    /// Reported once, and not again until [`WatchReport::Answered`] has followed.
    Unanswered,
    /// Discovery answers again, this long after [`WatchReport::Unanswered`].
    Answered(Duration),
}

/// A call that ended, for the log.
pub struct CallEnd {
    /// The call's number within its watch; the first call is number 1.
    pub call: u64,
    /// The path of the call's HTTP request.
    pub path: String,
    /// The reason as it appears in logs and metrics.
    pub reason: &'static str,
    /// The error's text; empty if the call ended regularly.
    pub detail: String,
    /// The time from opening the call to its end.
    pub lasted: Duration,
    /// The number of updates that the call delivered.
    pub updates: u64,
    /// The revision of the latest list when the call ended; `None` if there is none.
    pub revision: Option<u64>,
}

/// The receiver of watch events has been dropped.
pub struct ReceiverClosed;

/// The sink of a watch's events. It may block until there is capacity.
pub type EventSink = Box<dyn Fn(WatchEvent) -> Result<(), ReceiverClosed> + Send>;

/// A running watch. Dropping it ends the watch and its thread, whatever the thread waits for.
pub struct Watch {
    /// The number that identifies this watch in its events.
    pub id: WatchId,
    /// The address of discovery that this watch calls.
    pub address: SocketAddr,
    cancellation: Cancellation,
}

impl Watch {
    /// Starts the thread of a watch.
    ///
    /// `known_revision` is the revision of the list that the proxy already has from this discovery address,
    /// if any: the revisions of different addresses are unrelated. `seed` determines the jitter.
    pub fn start(
        id: WatchId,
        address: SocketAddr,
        kind: DiscoveryKind,
        known_revision: Option<u64>,
        seed: u64,
        events: EventSink,
    ) -> std::io::Result<Watch> {
        let (cancellation, receiver) = Cancellation::new()?;
        let watcher = Watcher::new(id, address, kind, known_revision, seed, events, receiver)?;
        spawn("discovery", move || watcher.run())?;
        Ok(Watch { id, address, cancellation })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.cancellation.cancel();
    }
}

#[cfg(test)]
mod tests;
