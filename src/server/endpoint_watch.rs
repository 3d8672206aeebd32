//! Endpoint updates, and the switch to another discovery address when the configuration is reloaded.

use super::event_log::ListSource;
use super::{LOG_TARGET, Message, Messages, Server};
use crate::Micros;
use crate::config::{Config, ConfigError};
use crate::core::Input;
use crate::endpoint_list::EndpointList;
use crate::net::discovery::{
    CallEnd, DiscoveryKind, EventSink, ReceiverClosed, Watch, WatchEvent, WatchId, WatchReport,
};
use crate::store::Change;
use std::net::SocketAddr;

/// A watch that could not be started is started again after this.
const RELOAD_RETRY_DELAY: Micros = 100_000;

/// A watch that could not be started.
#[derive(Clone, Copy)]
pub(super) struct ReloadRetry {
    /// When it is to be started again.
    pub(super) at: Micros,
    address: SocketAddr,
}

/// The watches on the endpoint list.
pub(super) struct EndpointWatches {
    current: Watch,
    kind: DiscoveryKind,
    /// The previous watch, until the current one has received its first event.
    previous_watch: Option<Watch>,
    /// The revision of the list in use; the highest possible once discovery has sent one.
    known_revision: u64,
}

impl EndpointWatches {
    /// Starts the first watch, after this revision.
    pub(super) fn start(
        address: SocketAddr,
        kind: DiscoveryKind,
        known_revision: u64,
        seed: u64,
        messages: Messages,
    ) -> std::io::Result<Self> {
        let events = event_sink(messages);
        let current = Watch::start(0, address, kind, Some(known_revision), seed, events)?;
        Ok(EndpointWatches { current, kind, previous_watch: None, known_revision })
    }

    /// Whether an event of this watch counts. Guards against late events of a watch that has ended.
    fn accept_event(&mut self, watch: WatchId) -> bool {
        if watch == self.current.id {
            self.previous_watch = None;
        } else if self.previous_watch.as_ref().is_none_or(|previous| previous.id != watch) {
            return false;
        }
        self.known_revision = u64::MAX;
        true
    }

    /// Whether a list from the store counts: a list from discovery or a newer list takes precedence.
    fn accept_stored(&mut self, list: &EndpointList) -> bool {
        let accepted = list.revision > self.known_revision && !list.endpoints.is_empty();
        if accepted {
            self.known_revision = list.revision;
        }
        accepted
    }

    /// Starts a watch at another address.
    fn replace(&mut self, address: SocketAddr, seed: u64, messages: Messages) -> std::io::Result<()> {
        let events = event_sink(messages);
        // The members stay as they are until the new address has sent its complete list.
        let watch = Watch::start(self.current.id + 1, address, self.kind, None, seed, events)?;
        tracing::info!(target: LOG_TARGET, discovery = %address, "discovery address changed");
        let replaced = std::mem::replace(&mut self.current, watch);
        // Guards against missing updates from the old address before the new one has sent any. A watch
        // that has received no event yet does not replace the one before it.
        self.previous_watch.get_or_insert(replaced);
        Ok(())
    }
}

/// Passes watch events to the event loop.
fn event_sink(messages: Messages) -> EventSink {
    Box::new(move |event| messages.send(Message::Discovery(event)).map_err(|_| ReceiverClosed))
}

impl Server {
    /// Handles an endpoint update.
    pub(super) fn handle_watch_event(&mut self, now: Micros, event: WatchEvent) {
        let list = match event.report {
            WatchReport::Update(list) => list,
            WatchReport::CallEnded(end) => return self.log_call_end(now, event.watch, &end),
            WatchReport::Unanswered => return self.event_log.discovery_unanswered(now, event.watch),
            WatchReport::Answered(after) => {
                return self.event_log.discovery_answered(now, event.watch, after);
            }
        };
        if !self.endpoint_watches.accept_event(event.watch) {
            return;
        }
        self.apply_list(now, ListSource::Discovery { watch: event.watch }, &list);
        self.store.propose(Change::Members(list));
        self.become_ready(now);
    }

    fn log_call_end(&mut self, now: Micros, watch: WatchId, end: &CallEnd) {
        *self.discovery_calls.entry(end.reason).or_default() += 1;
        self.event_log.discovery_call_ended(now, watch, end);
    }

    /// Handles the endpoint list that the store recovered from this proxy's last run.
    pub(super) fn handle_stored_list(&mut self, now: Micros, list: &EndpointList) {
        if self.endpoint_watches.accept_stored(list) {
            let list = list.clone().into_complete();
            self.apply_list(now, ListSource::Store, &list);
        }
    }

    /// Applies a list or an update of it, and logs what it changed.
    pub(super) fn apply_list(&mut self, now: Micros, source: ListSource, list: &EndpointList) {
        let (revision, complete, members) = (list.revision, list.complete, list.members());
        self.step_reducer(now, Input::EndpointUpdate { revision, complete, members });
        self.event_log.list_applied(now, source, list);
    }

    /// Switches to the configured `discovery` address; all other settings apply from the next start.
    pub(super) fn reload(&mut self, now: Micros, config: Result<Config, ConfigError>) {
        let address = match config {
            Ok(config) => config.discovery,
            Err(error) => {
                tracing::error!(
                    target: LOG_TARGET, %error, "reload failed: the old configuration stays in effect"
                );
                return;
            }
        };
        self.reload_retry = None;
        if address == self.endpoint_watches.current.address {
            tracing::info!(
                target: LOG_TARGET, "configuration reloaded: discovery address unchanged"
            );
            return;
        }
        self.watch_address(now, address);
    }

    /// Starts a watch at this address, now or as soon as there are descriptors and a thread for it. Guards
    /// against a crowd that uses them up just then: the old address closes its calls, and no list would ever
    /// arrive again.
    fn watch_address(&mut self, now: Micros, address: SocketAddr) {
        if let Err(error) = self.endpoint_watches.replace(address, self.seed, self.messages.clone()) {
            tracing::error!(
                target: LOG_TARGET, %error, discovery = %address, "no discovery watch: to be retried"
            );
            self.reload_retry = Some(ReloadRetry { at: now + RELOAD_RETRY_DELAY, address });
        }
    }

    /// Starts the watch that could not be started before, if it is time.
    pub(super) fn retry_reload_if_due(&mut self, now: Micros) {
        if let Some(ReloadRetry { at, address }) = self.reload_retry
            && at <= now
        {
            self.reload_retry = None;
            self.watch_address(now, address);
        }
    }
}
