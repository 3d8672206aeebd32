//! Endpoint updates, and the change to another discovery address when the configuration is reloaded.

use super::{LOG_TARGET, Message, Messages, Server};
use crate::Micros;
use crate::config::{Config, ConfigError};
use crate::core::Input;
use crate::endpoint_list::EndpointList;
use crate::net::discovery::{EventSink, ReceiverClosed, Watch, WatchEvent, WatchId};
use crate::store::Change;
use std::net::SocketAddr;

/// The watches on the endpoint list.
pub(super) struct EndpointWatches {
    current: Watch,
    /// The one before, until the current one has sent its first event.
    previous_watch: Option<Watch>,
    /// The revision of the list that the proxy goes by; the highest once discovery has sent one.
    known_revision: u64,
}

impl EndpointWatches {
    /// Starts the first watch, behind this revision.
    pub(super) fn start(
        address: SocketAddr,
        known_revision: u64,
        seed: u64,
        messages: Messages,
    ) -> std::io::Result<Self> {
        let events = event_sink(messages);
        let current = Watch::start(0, address, Some(known_revision), seed, events)?;
        Ok(EndpointWatches { current, previous_watch: None, known_revision })
    }

    /// Whether an event of this watch counts. Guards against events that an ended watch had under way.
    fn accept_event(&mut self, watch: WatchId) -> bool {
        if watch == self.current.id {
            self.previous_watch = None;
        } else if self.previous_watch.as_ref().is_none_or(|previous| previous.id != watch) {
            return false;
        }
        self.known_revision = u64::MAX;
        true
    }

    /// Whether a list from the store counts: what discovery sends goes before it, and so does a newer list.
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
        let watch = Watch::start(self.current.id + 1, address, None, seed, events)?;
        tracing::info!(target: LOG_TARGET, discovery = %address, "discovery address changed");
        let replaced = std::mem::replace(&mut self.current, watch);
        // Guards against missing what the old address sends until the new one has sent something. A watch
        // that has not received anything itself has nothing that counts.
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
        if !self.endpoint_watches.accept_event(event.watch) {
            return;
        }
        let list = event.endpoints;
        self.step_reducer(now, Input::EndpointUpdate { full: list.complete, members: list.members() });
        self.store.propose(Change::Members(list));
        self.become_ready(now);
    }

    /// Handles the endpoint list as the store had it when this proxy last ran.
    pub(super) fn handle_stored_list(&mut self, now: Micros, list: &EndpointList) {
        if self.endpoint_watches.accept_stored(list) {
            self.step_reducer(now, Input::EndpointUpdate { full: true, members: list.members() });
        }
    }

    /// Follows `discovery` to where the file has it now; all else in it counts from the next start.
    pub(super) fn reload(&mut self, config: Result<Config, ConfigError>) {
        let address = match config {
            Ok(config) => config.discovery,
            Err(error) => {
                tracing::error!(
                    target: LOG_TARGET, %error, "reload failed: the old configuration stays in effect"
                );
                return;
            }
        };
        if address == self.endpoint_watches.current.address {
            tracing::info!(
                target: LOG_TARGET, "configuration reloaded: discovery address unchanged"
            );
            return;
        }
        if let Err(error) = self.endpoint_watches.replace(address, self.seed, self.messages.clone()) {
            let message = "reload failed: no thread for the new discovery watch";
            tracing::error!(target: LOG_TARGET, %error, "{message}");
        }
    }
}
