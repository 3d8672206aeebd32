//! The discovery watch: keeps calls to discovery open, and passes each update of the endpoint list on.
//!
//! What discovery has counts as known to the proxy, so there is no moment in which nobody listens: a call
//! that is quiet stays open, and is read, while another one is opened beside it, until one of them delivers
//! something.

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

/// Discovery sends an empty line every 2 s as a heartbeat: a watch without a line for longer is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2400);

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
    /// Discovery does not answer any more: no call that is open has delivered anything in time.
    Unanswered,
    /// Discovery answers again, after this time.
    Answered(Duration),
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
    cancellation: Cancellation,
}

impl Watch {
    /// Starts a watch where the list of this revision is known, or none: revisions of another discovery
    /// address are unrelated.
    pub fn start(
        id: WatchId,
        address: SocketAddr,
        kind: DiscoveryKind,
        known_revision: Option<u64>,
        seed: u64,
        events: EventSink,
    ) -> std::io::Result<Watch> {
        let (cancellation, canceled) = Cancellation::new()?;
        let watcher = Watcher::new(id, address, kind, known_revision, seed, events, canceled)?;
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
