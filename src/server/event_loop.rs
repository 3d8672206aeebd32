//! The event loop, which waits for the next message or timer and handles it.

use super::{Message, Server};
use crate::Micros;
use crate::core::Input;

impl Server {
    /// Runs until the shutdown is complete.
    pub(super) fn run(&mut self) {
        loop {
            let message = self.next_message();
            let now = self.clock.now();
            if let Some(message) = message {
                self.handle_message(now, message);
                self.inbox.handled();
            }
            self.handle_due_times(now);
            if self.advance_shutdown(now).is_break() {
                return;
            }
        }
    }

    /// Waits for the next message; `None` if a timer is due first.
    fn next_message(&self) -> Option<Message> {
        let due_at = self.next_due_at().map(|due_at| self.clock.instant(due_at));
        self.inbox.take_until(due_at)
    }

    /// The time at which the next timer is due; `None` if no timer is set.
    fn next_due_at(&self) -> Option<Micros> {
        let idle_close_at = self.next_idle_close().map(|(close_at, _)| close_at);
        let shutdown_check_at = self.shutdown.next_check_at(self.clock.now());
        let reload_at = self.reload_retry.map(|retry| retry.at);
        let service_times = [self.ready_at, self.drain_at, reload_at];
        let times = [self.reducer.next_timer_at(), idle_close_at, shutdown_check_at];
        times.into_iter().chain(service_times).flatten().min()
    }

    fn handle_due_times(&mut self, now: Micros) {
        while self.reducer.next_timer_at().is_some_and(|timer_at| timer_at <= now) {
            self.step_reducer(now, Input::TimerDue);
        }
        if self.ready_at.is_some_and(|ready_at| ready_at <= now) {
            self.become_ready(now);
        }
        self.retry_reload_if_due(now);
        self.close_retained_connections(now);
        self.drain_if_due(now);
    }

    fn handle_message(&mut self, now: Micros, message: Message) {
        match message {
            Message::Core(input) => {
                if let Input::ConnectionClosed(connection) = &input {
                    self.member_connections.remove(connection);
                }
                self.step_reducer(now, input);
            }
            Message::Discovery(event) => self.handle_watch_event(now, event),
            Message::Reload(config) => self.reload(now, *config),
            Message::StoredList(list) => self.handle_stored_list(now, &list),
            Message::Accepted(id, handle, _place) => self.accept_client(now, id, handle),
            Message::Client(id, event, _place) => {
                let effects = self.fronts.handle_platform_event(now, id, event);
                self.apply_front_effects(now, effects);
            }
            Message::Extended(id, event, _place) => {
                let effects = self.fronts.handle_extended_event(now, id, event);
                self.apply_front_effects(now, effects);
            }
            Message::ClientBarrier(barrier) => drop(barrier),
            Message::Admin(call) => self.handle_admin_call(now, call),
            Message::Terminate => self.request_shutdown(now),
            Message::ClientReadingStopped => self.shutdown.reading_stopped(),
        }
    }
}
