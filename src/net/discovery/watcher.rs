//! The thread of a watch: opens calls, reads all that are open, and keeps the one that was answered last.

use super::backoff::Backoff;
use super::call::{CallKind, CallProgress, OpenCall};
use super::call_policy::{CallPolicy, DiscoveryKind, PATIENCE};
use super::cancellation::CancellationReceiver;
use super::error::DiscoveryError;
use super::object_stream::StreamItem;
use super::{CallEnd, EventSink, ReceiverClosed, SILENCE_TIMEOUT, WatchEvent, WatchId, WatchReport};
use crate::endpoint_list::EndpointList;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// The epoll token of the cancellation; that of a call is its number.
const CANCELLATION_TOKEN: u64 = 0;
/// Readiness events that are taken at a time.
const EVENT_CAPACITY: usize = 8;
/// The most bytes that are read from a call at a time: the others get their turn.
const READ_BYTES: usize = 16 * 1024;
/// A delay after a response that can't be read is this many times as long.
const UNREADABLE_FACTOR: u32 = 2;
/// A wait is rounded up by this. Guards against waking just before something is due.
const WAIT_MARGIN: Duration = Duration::from_micros(200);

/// The state of the thread.
pub(super) struct Watcher {
    id: WatchId,
    address: SocketAddr,
    policy: CallPolicy,
    backoff: Backoff,
    events: EventSink,
    canceled: CancellationReceiver,
    epoll: OwnedFd,
    /// The revision of the list that was known at the start.
    known_revision: Option<u64>,
    /// The revision of the last update; `None` before the first one.
    revision: Option<u64>,
    /// The calls that are open, oldest first.
    calls: Vec<OpenCall>,
    /// The number of the last call.
    last_call: u64,
    /// The updates that were passed on.
    updates: u64,
    /// The call that delivered the last one.
    last_update_by: u64,
    /// When the next call is opened after one that has ended.
    retry_at: Option<Instant>,
    /// Since when discovery has not answered.
    unanswered_since: Option<Instant>,
    buffer: Vec<u8>,
}

impl Watcher {
    /// A watcher without calls.
    pub(super) fn new(
        id: WatchId,
        address: SocketAddr,
        kind: DiscoveryKind,
        known_revision: Option<u64>,
        seed: u64,
        events: EventSink,
        canceled: CancellationReceiver,
    ) -> std::io::Result<Watcher> {
        let policy = CallPolicy::new(kind);
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &canceled, EventData::new_u64(CANCELLATION_TOKEN), EventFlags::IN)?;
        Ok(Watcher {
            id,
            address,
            policy,
            backoff: Backoff::new(&policy, seed),
            events,
            canceled,
            epoll,
            known_revision,
            revision: kind.trusts_known_list().then_some(known_revision).flatten(),
            calls: Vec::new(),
            last_call: CANCELLATION_TOKEN,
            updates: 0,
            last_update_by: CANCELLATION_TOKEN,
            retry_at: None,
            unanswered_since: None,
            buffer: vec![0; READ_BYTES],
        })
    }

    /// Runs until the watch is cancelled or nobody receives its events.
    pub(super) fn run(mut self) {
        while !self.canceled.is_canceled() {
            self.open_if_due();
            let ready = self.wait();
            if self.advance_calls(&ready).is_err() {
                return;
            }
        }
    }

    /// Waits until calls are ready or another one is to be opened; returns the numbers of those that are
    /// ready.
    fn wait(&self) -> Vec<u64> {
        let now = Instant::now();
        let wait = self.next_open_at(now).saturating_duration_since(now) + WAIT_MARGIN;
        let timeout = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: wait.subsec_nanos().into() };
        let mut ready = Vec::with_capacity(EVENT_CAPACITY);
        let space = rustix::buffer::spare_capacity(&mut ready);
        if epoll::wait(&self.epoll, space, Some(&timeout)).is_err() {
            return Vec::new();
        }
        ready.iter().map(|event: &Event| event.data.u64()).collect()
    }

    /// When another call is to be opened.
    fn next_open_at(&self, now: Instant) -> Instant {
        match (self.retry_at, self.calls.last()) {
            (Some(retry_at), _) => retry_at,
            (None, Some(newest)) if newest.heard_at.is_some() => newest.quiet_since() + SILENCE_TIMEOUT,
            (None, Some(newest)) => newest.opened_at + newest.answer_limit,
            (None, None) => now,
        }
    }

    fn open_if_due(&mut self) {
        let now = Instant::now();
        if self.next_open_at(now) > now {
            return;
        }
        let beside_quiet = self.calls.last().is_some();
        if beside_quiet {
            self.note_unanswered(now);
        }
        self.make_room(now);
        self.retry_at = None;
        if let Err(error) = self.open_call(beside_quiet) {
            self.note_unanswered(now);
            self.retry_at = Some(now + self.backoff.next_delay(false));
            tracing::warn!(target: "liftrelay::discovery", watch = self.id, %error, "no call to discovery");
        }
    }

    /// Until a list has arrived, every second call is a watch after the revision that was known at the
    /// start. Guards against a discovery that serves only one of the two.
    fn next_kind(&self) -> CallKind {
        let fallback = self.known_revision.filter(|_| !self.last_call.is_multiple_of(2));
        match self.revision.or(fallback) {
            Some(revision) => CallKind::Watch { revision },
            None => CallKind::List,
        }
    }

    fn open_call(&mut self, beside_quiet: bool) -> std::io::Result<()> {
        let kind = self.next_kind();
        let policy = &self.policy;
        let limit = if beside_quiet { policy.later_answer_limit } else { policy.answer_limit };
        let limit = self.backoff.stretched(limit);
        self.last_call += 1;
        let mut call = OpenCall::begin(self.last_call, kind, self.address, limit)?;
        call.updates_before = self.updates;
        let token = EventData::new_u64(call.number);
        epoll::add(&self.epoll, &call.stream, token, EventFlags::IN | EventFlags::OUT)?;
        self.calls.push(call);
        Ok(())
    }

    /// Ends a call if there are too many: the oldest one if nothing has arrived on it for long, else the
    /// one opened after it. Guards both against a call that nobody will answer any more and against giving
    /// up each call just before a slow answer.
    fn make_room(&mut self, now: Instant) {
        if self.calls.len() < self.policy.max_open {
            return;
        }
        let oldest_is_dead = now.saturating_duration_since(self.calls[0].last_sign_at()) >= PATIENCE;
        let index = if oldest_is_dead { 0 } else { 1.min(self.calls.len() - 1) };
        self.give_up(index, DiscoveryError::Replaced);
    }

    /// Goes on with the calls that are ready.
    fn advance_calls(&mut self, ready: &[u64]) -> Result<(), ReceiverClosed> {
        let mut answered = None;
        for number in ready {
            let Some(index) = self.calls.iter().position(|call| call.number == *number) else { continue };
            let call = &mut self.calls[index];
            let was_sent = call.is_sent;
            let progress = call.advance(self.address, &mut self.buffer);
            if call.is_sent && !was_sent {
                let token = EventData::new_u64(call.number);
                let _ = epoll::modify(&self.epoll, &call.stream, token, EventFlags::IN);
            }
            if !progress.items.is_empty() {
                answered = answered.max(Some(*number));
            }
            self.handle_progress(index, progress)?;
        }
        if let Some(number) = answered {
            self.keep_only(number);
        }
        Ok(())
    }

    /// Passes on what a call has delivered, and removes it if it has ended.
    fn handle_progress(&mut self, index: usize, progress: CallProgress) -> Result<(), ReceiverClosed> {
        let mut end = progress.end;
        for item in progress.items {
            if let StreamItem::Object(object) = item
                && let Err(error) = self.deliver(index, &object)?
            {
                end = Some(Err(error));
                break;
            }
        }
        if let Some(end) = end {
            self.end_call(index, end);
        }
        Ok(())
    }

    /// Passes an update on.
    fn deliver(&mut self, index: usize, object: &[u8]) -> Result<Result<(), DiscoveryError>, ReceiverClosed> {
        let endpoints: EndpointList = match serde_json::from_slice(object) {
            Ok(endpoints) => endpoints,
            Err(error) => return Ok(Err(error.into())),
        };
        let call = &mut self.calls[index];
        // Guards against an older list that arrives late on a call beside the one that brought a newer one.
        // An older list on a call that was opened since is one that discovery has gone back to.
        let others_delivered = self.last_update_by != call.number && self.updates != call.updates_before;
        if others_delivered && self.revision.is_some_and(|known| endpoints.revision < known) {
            return Ok(Ok(()));
        }
        call.updates += 1;
        self.last_update_by = call.number;
        self.updates += 1;
        self.revision = Some(endpoints.revision);
        self.report(WatchReport::Update(endpoints))?;
        Ok(Ok(()))
    }

    /// A call has delivered something: all others are closed.
    fn keep_only(&mut self, number: u64) {
        while let Some(index) = self.calls.iter().position(|call| call.number != number) {
            self.give_up(index, DiscoveryError::Superseded);
        }
        if let Some(since) = self.unanswered_since.take() {
            let _ = self.report(WatchReport::Answered(since.elapsed()));
        }
        // The watch follows the complete list at once.
        self.retry_at = if self.calls.is_empty() { Some(Instant::now()) } else { None };
    }

    /// Gives up a call that has not ended. Its connection is reset: what discovery still writes must fail,
    /// and not be taken for something that the proxy has received.
    fn give_up(&mut self, index: usize, reason: DiscoveryError) {
        let call = self.calls.remove(index);
        self.report_end(&call, &Err(reason));
        call.reset();
    }

    /// Removes a call that has ended; another one follows after a delay.
    fn end_call(&mut self, index: usize, end: Result<(), DiscoveryError>) {
        let call = self.calls.remove(index);
        let is_regular = end.is_ok() && call.kind == CallKind::List;
        if !is_regular {
            self.report_end(&call, &end);
            let now = Instant::now();
            self.note_unanswered(now);
            let delay = self.backoff.next_delay(call.has_delivered);
            // A list that can't be read is hardly better a moment later, and may be long.
            let is_unreadable = matches!(&end, Err(error) if error.is_unreadable());
            self.retry_at = Some(now + if is_unreadable { delay * UNREADABLE_FACTOR } else { delay });
        }
    }

    fn note_unanswered(&mut self, now: Instant) {
        if self.unanswered_since.is_none() {
            self.unanswered_since = Some(now);
            let _ = self.report(WatchReport::Unanswered);
        }
    }

    fn report_end(&self, call: &OpenCall, end: &Result<(), DiscoveryError>) {
        let (reason, detail) = match end {
            Ok(()) => ("complete", String::new()),
            Err(error) => (error.reason(), error.to_string()),
        };
        let end = CallEnd {
            call: call.number,
            path: call.kind.path(),
            reason,
            detail,
            lasted: call.opened_at.elapsed(),
            updates: call.updates,
            revision: self.revision,
        };
        let _ = self.report(WatchReport::CallEnded(end));
    }

    fn report(&self, report: WatchReport) -> Result<(), ReceiverClosed> {
        (self.events)(WatchEvent { watch: self.id, report })
    }
}
