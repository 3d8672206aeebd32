//! The thread of a watch: opens calls and reads all open ones. When calls deliver something, the newest of
//! them stays open and all others are closed.

use super::backoff::Backoff;
use super::call::{CallKind, CallProgress, OpenCall};
use super::call_policy::{CallPolicy, DiscoveryKind, UNRESPONSIVE_CALL_TIMEOUT};
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
/// The most readiness events that one wait returns.
const EVENT_CAPACITY: usize = 8;
/// The most bytes of one read from a call, so that a long response does not delay the other calls.
const READ_BYTES: usize = 16 * 1024;
/// The factor of the retry delay after a response that can't be parsed.
const UNREADABLE_DELAY_FACTOR: u32 = 2;
/// The margin added to each wait: without it, the thread could wake just before the next call is due, and
/// wait again.
const WAIT_MARGIN: Duration = Duration::from_micros(200);

/// The state of a watch's thread.
pub(super) struct Watcher {
    id: WatchId,
    address: SocketAddr,
    policy: CallPolicy,
    backoff: Backoff,
    events: EventSink,
    cancellation_receiver: CancellationReceiver,
    epoll: OwnedFd,
    /// The revision of the list that was known when the watch started.
    known_revision: Option<u64>,
    /// The revision of the last update. Before the first one, the known revision if the policy trusts it, or
    /// else `None`.
    revision: Option<u64>,
    /// The open calls, oldest first.
    calls: Vec<OpenCall>,
    /// The number of the newest call, open or ended; 0 before the first one.
    last_call: u64,
    /// The number of updates passed on.
    updates: u64,
    /// The number of the call that delivered the last update.
    last_update_call: u64,
    /// When the next call is opened, if a call has ended.
    retry_at: Option<Instant>,
    /// When [`WatchReport::Unanswered`] was reported; `None` while discovery answers.
    unanswered_since: Option<Instant>,
    /// The buffer for reads from sockets.
    buffer: Vec<u8>,
}

impl Watcher {
    /// Creates a watcher without calls.
    pub(super) fn new(
        id: WatchId,
        address: SocketAddr,
        kind: DiscoveryKind,
        known_revision: Option<u64>,
        seed: u64,
        events: EventSink,
        cancellation_receiver: CancellationReceiver,
    ) -> std::io::Result<Watcher> {
        let policy = CallPolicy::new(kind);
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &cancellation_receiver, EventData::new_u64(CANCELLATION_TOKEN), EventFlags::IN)?;
        Ok(Watcher {
            id,
            address,
            policy,
            backoff: Backoff::new(&policy, seed),
            events,
            cancellation_receiver,
            epoll,
            known_revision,
            revision: kind.trusts_known_list().then_some(known_revision).flatten(),
            calls: Vec::new(),
            last_call: CANCELLATION_TOKEN,
            updates: 0,
            last_update_call: CANCELLATION_TOKEN,
            retry_at: None,
            unanswered_since: None,
            buffer: vec![0; READ_BYTES],
        })
    }

    /// Runs until the watch is cancelled or the receiver of its events is dropped.
    pub(super) fn run(mut self) {
        while !self.cancellation_receiver.is_cancelled() {
            self.open_call_if_due();
            let ready = self.wait();
            if self.advance_calls(&ready).is_err() {
                return;
            }
        }
    }

    /// Waits until a call is ready, the next call is due, or the watch is cancelled. Returns the numbers of
    /// the ready calls; [`CANCELLATION_TOKEN`] may be among them.
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

    /// When the next call is due: after a call that ended, at the end of the retry delay; otherwise when the
    /// newest call has not responded in time.
    fn next_open_at(&self, now: Instant) -> Instant {
        match (self.retry_at, self.calls.last()) {
            (Some(retry_at), _) => retry_at,
            (None, Some(newest)) if newest.last_answer_at.is_some() => {
                newest.silent_since() + SILENCE_TIMEOUT
            }
            (None, Some(newest)) => newest.opened_at + newest.answer_limit,
            (None, None) => now,
        }
    }

    fn open_call_if_due(&mut self) {
        let now = Instant::now();
        if self.next_open_at(now) > now {
            return;
        }
        let beside_unresponsive = self.calls.last().is_some();
        if beside_unresponsive {
            self.note_unanswered(now);
        }
        self.enforce_open_limit(now);
        self.retry_at = None;
        if let Err(error) = self.open_call(beside_unresponsive) {
            self.note_unanswered(now);
            self.retry_at = Some(now + self.backoff.next_delay(false));
            tracing::warn!(target: "liftrelay::discovery", watch = self.id, %error, "no call to discovery");
        }
    }

    /// The kind of the next call: a watch if a revision is known, otherwise the complete list.
    ///
    /// Until a list has arrived, every second call is a watch after the revision that was known at the start:
    /// otherwise a discovery that serves only one of the two kinds would never deliver an update.
    fn next_kind(&self) -> CallKind {
        let fallback = self.known_revision.filter(|_| !self.last_call.is_multiple_of(2));
        match self.revision.or(fallback) {
            Some(revision) => CallKind::Watch { revision },
            None => CallKind::List,
        }
    }

    fn open_call(&mut self, beside_unresponsive: bool) -> std::io::Result<()> {
        let kind = self.next_kind();
        let policy = &self.policy;
        let limit = if beside_unresponsive { policy.later_answer_limit } else { policy.answer_limit };
        let limit = self.backoff.with_jitter(limit);
        self.last_call += 1;
        let mut call = OpenCall::begin(self.last_call, kind, self.address, limit)?;
        call.watch_updates_before = self.updates;
        let token = EventData::new_u64(call.number);
        epoll::add(&self.epoll, &call.stream, token, EventFlags::IN | EventFlags::OUT)?;
        self.calls.push(call);
        Ok(())
    }

    /// Closes a call if as many as allowed are open: the oldest one if no bytes have arrived on it for
    /// [`UNRESPONSIVE_CALL_TIMEOUT`], otherwise the one opened after it. If the oldest call were never
    /// closed, one that will not be answered would stay open; if it were always closed, each call would be
    /// closed just before a slow answer arrives.
    fn enforce_open_limit(&mut self, now: Instant) {
        if self.calls.len() < self.policy.max_open {
            return;
        }
        let oldest_timed_out =
            now.saturating_duration_since(self.calls[0].idle_since()) >= UNRESPONSIVE_CALL_TIMEOUT;
        let index = if oldest_timed_out { 0 } else { 1.min(self.calls.len() - 1) };
        self.abort_call(index, DiscoveryError::Replaced);
    }

    /// Writes and reads the calls that are ready, and handles what they deliver.
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

    /// Passes on the updates that a call has delivered, and removes the call if it has ended.
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

    /// Parses an endpoint list and reports it as an update. The inner error ends the call, the outer one the
    /// watch.
    fn deliver(&mut self, index: usize, object: &[u8]) -> Result<Result<(), DiscoveryError>, ReceiverClosed> {
        let endpoints: EndpointList = match serde_json::from_slice(object) {
            Ok(endpoints) => endpoints,
            Err(error) => return Ok(Err(error.into())),
        };
        let call = &mut self.calls[index];
        // An older list is dropped if another call has delivered the last update since this call was opened:
        // it has arrived late. On a call that was opened after that update, an older list is accepted:
        // discovery has returned to that revision.
        let others_delivered =
            self.last_update_call != call.number && self.updates != call.watch_updates_before;
        if others_delivered && self.revision.is_some_and(|known| endpoints.revision < known) {
            return Ok(Ok(()));
        }
        call.updates += 1;
        self.last_update_call = call.number;
        self.updates += 1;
        self.revision = Some(endpoints.revision);
        self.report(WatchReport::Update(endpoints))?;
        Ok(Ok(()))
    }

    /// Closes all calls but this one, which has delivered an update or a heartbeat.
    fn keep_only(&mut self, number: u64) {
        while let Some(index) = self.calls.iter().position(|call| call.number != number) {
            self.abort_call(index, DiscoveryError::Superseded);
        }
        if let Some(since) = self.unanswered_since.take() {
            let _ = self.report(WatchReport::Answered(since.elapsed()));
        }
        // A call for the complete list ends with it: the watch call that follows is due immediately.
        self.retry_at = if self.calls.is_empty() { Some(Instant::now()) } else { None };
    }

    /// Closes a call that has not ended. Its connection is reset, so that discovery's next write on it fails:
    /// otherwise discovery would count an update as received that the proxy never reads.
    fn abort_call(&mut self, index: usize, reason: DiscoveryError) {
        let call = self.calls.remove(index);
        self.report_end(&call, &Err(reason));
        call.reset();
    }

    /// Removes a call that has ended. Unless the call delivered the complete list, the next one is due after
    /// the retry delay.
    fn end_call(&mut self, index: usize, end: Result<(), DiscoveryError>) {
        let call = self.calls.remove(index);
        let is_regular = end.is_ok() && call.kind == CallKind::List;
        if !is_regular {
            self.report_end(&call, &end);
            let now = Instant::now();
            self.note_unanswered(now);
            let delay = self.backoff.next_delay(call.has_delivered);
            // A response that can't be parsed is unlikely to be correct a moment later, and may be long.
            let is_unreadable = matches!(&end, Err(error) if error.is_unreadable());
            self.retry_at = Some(now + if is_unreadable { delay * UNREADABLE_DELAY_FACTOR } else { delay });
        }
    }

    /// Reports that discovery does not answer, unless that has been reported already.
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
