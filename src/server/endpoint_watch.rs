//! Handles endpoint updates, and switches to another discovery address when the configuration is reloaded.

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

/// The delay before the start of a watch is retried.
const RELOAD_RETRY_DELAY: Micros = 100_000;

/// The retry of a watch that could not be started.
#[derive(Clone, Copy)]
pub(super) struct ReloadRetry {
    /// When the start is retried.
    pub(super) at: Micros,
    address: SocketAddr,
}

/// The watches of the endpoint list: the current one and, after a switch, its predecessor.
pub(super) struct EndpointWatches {
    current: Watch,
    kind: DiscoveryKind,
    /// The previous watch, until the current watch has received its first update.
    previous_watch: Option<Watch>,
    /// The revision of the list in use; `u64::MAX` once discovery has sent a list, so that no list of the
    /// store replaces it.
    known_revision: u64,
}

impl EndpointWatches {
    /// Starts the first watch, for changes after `known_revision`.
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

    /// Whether an update of this watch is to be applied. Updates that a replaced watch sent before its end
    /// may arrive later and are ignored. The first update of the current watch ends the previous one.
    fn accept_event(&mut self, watch: WatchId) -> bool {
        if watch == self.current.id {
            self.previous_watch = None;
        } else if self.previous_watch.as_ref().is_none_or(|previous| previous.id != watch) {
            return false;
        }
        self.known_revision = u64::MAX;
        true
    }

    /// Whether a list from the store is to be applied: only if it is newer than the list in use and discovery
    /// has not sent one.
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
        // Without a known revision, the first update from the new address is a complete list. Until it
        // arrives, the members stay as they are.
        let watch = Watch::start(self.current.id + 1, address, self.kind, None, seed, events)?;
        tracing::info!(target: LOG_TARGET, discovery = %address, "discovery address changed");
        let replaced = std::mem::replace(&mut self.current, watch);
        // Updates from the old address are applied until the new address has sent one. A watch that has not
        // received any update does not become the previous watch.
        self.previous_watch.get_or_insert(replaced);
        Ok(())
    }
}

/// Passes watch events to the event loop.
fn event_sink(messages: Messages) -> EventSink {
    Box::new(move |event| messages.send(Message::Discovery(event)).map_err(|_| ReceiverClosed))
}

impl Server {
    /// Handles an event of a discovery watch: applies an update and sends it to the store, or logs the event.
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

    /// Applies a complete list or an update, and logs the changes.
    pub(super) fn apply_list(&mut self, now: Micros, source: ListSource, list: &EndpointList) {
        let (revision, complete, members) = (list.revision, list.complete, list.members());
        self.step_reducer(now, Input::EndpointUpdate { revision, complete, members });
        self.event_log.list_applied(now, source, list);
    }

    /// Switches to the configured `discovery` address. All other settings take effect at the next start of
    /// the process.
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

    /// Starts a watch at this address; if no descriptor or thread is available, retries until one is. Without
    /// the retry, a burst of connections that uses them up during a reload would stop all endpoint updates:
    /// the old address closes its calls, and no watch would run at the new one.
    fn watch_address(&mut self, now: Micros, address: SocketAddr) {
        if let Err(error) = self.endpoint_watches.replace(address, self.seed, self.messages.clone()) {
            tracing::error!(
                target: LOG_TARGET, %error, discovery = %address, "no discovery watch: to be retried"
            );
            self.reload_retry = Some(ReloadRetry { at: now + RELOAD_RETRY_DELAY, address });
        }
    }

    /// Retries the start of a watch that could not be started, if the retry is due.
    pub(super) fn retry_reload_if_due(&mut self, now: Micros) {
        if let Some(ReloadRetry { at, address }) = self.reload_retry
            && at <= now
        {
            self.reload_retry = None;
            self.watch_address(now, address);
        }
    }
}
