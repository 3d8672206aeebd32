//! The state that the reactor thread and the event loop share for one client connection.

use super::hold::{Hold, HoldReason};
use super::queue_place::{MAX_QUEUED_EVENTS, RESUME_QUEUED_EVENTS};
use super::reactor_shared::ReactorShared;
use super::write_buffer::{MAX_WAITING_ANSWERS, WriteBuffer};
use crate::client::{ClientId, Refusal};
use crate::fair_share::SharedUsedTime;
use crate::memory_budget::{HeldBytes, OverBudget};
use rustix::event::epoll::{self, EventData, EventFlags};
use std::collections::VecDeque;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// A flag in `ConnectionShared::unfinished_commands`, set once the event loop has closed the connection. The
/// count of commands is in the lower bits.
pub(super) const CLOSED: usize = 1 << 32;
/// Reading from a client is paused while it has this many unanswered commands.
const MAX_PIPELINED_COMMANDS: usize = 8;
/// Reading from a client is paused while its unanswered commands have this many bytes.
const MAX_PIPELINED_BYTES: usize = 160 * 1024;

/// The state that the reactor thread and the event loop share for one client connection.
pub(super) struct ConnectionShared {
    pub(super) id: ClientId,
    pub(super) stream: TcpStream,
    pub(super) reactor: Arc<ReactorShared>,
    /// The number of unanswered commands, plus one while a command is being read, and the flag [`CLOSED`].
    /// The event loop may close an idle connection only if this is zero; the atomic update ensures that no
    /// request which arrives at the same time is lost.
    pub(super) unfinished_commands: AtomicUsize,
    /// Whether the client has reset the connection, as a close with unread answers does.
    pub(super) was_reset: AtomicBool,
    /// The time that the event loop has spent on the events of the connection.
    pub(super) used_time: Arc<SharedUsedTime>,
    state: Mutex<ConnectionState>,
}

/// The part of a connection's shared state that is protected by a lock.
pub(super) struct ConnectionState {
    pub(super) write_buffer: WriteBuffer,
    /// The events that wait for the event loop or are being handled.
    pub(super) queued_events: usize,
    /// The events that have been reported since the connection was opened.
    pub(super) reported_events: u64,
    hold: Hold,
    /// Whether reading is paused until fewer events wait.
    awaits_place: bool,
    /// The sizes in bytes of the unanswered commands, in the order of their arrival; 0 for a command whose
    /// bytes were dropped.
    unanswered_command_sizes: VecDeque<usize>,
    /// The sum of these sizes.
    unanswered_command_bytes: HeldBytes,
    /// Whether reading is paused until the client may send another command.
    pub(super) reading_paused: bool,
    /// Whether no further command is read, although earlier ones may be unanswered.
    pub(super) input_ended: bool,
    /// Why all commands that are still parsed are refused; `None` if they are not.
    refusal: Option<Refusal>,
    /// Whether the connection is registered with the reactor's `epoll` instance.
    registered: bool,
    /// Whether the last request for events has failed, so that the reactor retries it.
    interest_failed: bool,
    /// Whether a request that failed was to wake the reactor.
    wake_failed: bool,
    /// Whether the reactor has removed the connection.
    pub(super) removed: bool,
    /// Whether the connection is to be closed once all answers have been written.
    pub(super) closing: bool,
}

impl ConnectionState {
    fn new(unanswered_command_bytes: HeldBytes) -> ConnectionState {
        ConnectionState {
            write_buffer: WriteBuffer::default(),
            queued_events: 0,
            reported_events: 0,
            hold: Hold::default(),
            awaits_place: false,
            unanswered_command_sizes: VecDeque::new(),
            unanswered_command_bytes,
            reading_paused: false,
            input_ended: false,
            refusal: None,
            registered: false,
            interest_failed: false,
            wake_failed: false,
            removed: false,
            closing: false,
        }
    }
}

impl ConnectionShared {
    pub(super) fn new(id: ClientId, stream: TcpStream, reactor: Arc<ReactorShared>) -> ConnectionShared {
        let state = ConnectionState::new(HeldBytes::new(reactor.limits.command_memory.clone()));
        ConnectionShared {
            id,
            stream,
            reactor,
            unfinished_commands: AtomicUsize::new(0),
            was_reset: AtomicBool::new(false),
            used_time: Arc::default(),
            state: Mutex::new(state),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Requests the `epoll` events that this state needs. With `writable_now`, also requests the event that
    /// the socket is writable: this wakes the reactor, which then handles this connection again. A close by
    /// the client is always reported, even if unread bytes precede it.
    ///
    /// If the call fails because of an error of this machine, the reactor retries it later, unless another
    /// call has succeeded by then. Otherwise the connection would never be read again, or its answer never be
    /// written.
    pub(super) fn update_interest(&self, state: &mut ConnectionState, writable_now: bool) {
        let wakes = writable_now || state.wake_failed;
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, !state.reading_paused);
        flags.set(EventFlags::OUT, wakes || !state.write_buffer.is_empty());
        if state.removed {
            return;
        }
        let data = EventData::new_u64(self.id);
        let requested = if state.registered {
            epoll::modify(&self.reactor.epoll, &self.stream, data, flags)
        } else {
            epoll::add(&self.reactor.epoll, &self.stream, data, flags)
        };
        state.registered |= requested.is_ok();
        state.wake_failed = requested.is_err() && wakes;
        let had_failed = std::mem::replace(&mut state.interest_failed, requested.is_err());
        if state.interest_failed && !had_failed {
            self.reactor.push_interest_failed(self.id);
        }
    }

    /// Requests the events of the connection again if the last request has failed.
    pub(super) fn retry_interest(&self) {
        let mut state = self.state();
        if std::mem::take(&mut state.interest_failed) {
            self.update_interest(&mut state, false);
        }
    }

    /// Pauses or resumes reading.
    pub(super) fn set_reading_paused(&self, paused: bool) {
        let mut state = self.state();
        state.reading_paused = paused;
        self.update_interest(&mut state, false);
    }

    /// Writes as much as the socket accepts; `false` if the socket can't be written to any more.
    pub(super) fn flush(&self, state: &mut ConnectionState) -> bool {
        if !state.write_buffer.flush(&self.stream, &self.reactor.unwritten_bytes) {
            return false;
        }
        if state.closing && state.write_buffer.is_empty() {
            self.half_close();
        }
        true
    }

    /// Whether all commands that are parsed are refused.
    pub(super) fn refuses_commands(&self) -> bool {
        self.state().refusal.is_some()
    }

    /// Refuses all commands that are parsed from now on.
    pub(super) fn refuse_commands(&self, refusal: Refusal) {
        self.state().refusal = Some(refusal);
    }

    /// Ends the input of a connection whose commands are still to be answered. A close by the client is still
    /// reported.
    pub(super) fn end_input(&self) {
        let mut state = self.state();
        state.input_ended = true;
        state.reading_paused = true;
        self.update_interest(&mut state, false);
    }

    /// Whether bytes of the client have arrived that are not read yet.
    pub(super) fn has_unread_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(length) if length > 0)
    }

    /// Closes this side of the connection. A full close while bytes are unread would make TCP reset the
    /// connection, and the client would lose the part of its answer that it has not received yet.
    pub(super) fn half_close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether a complete command of the client has not been answered yet.
    pub(super) fn has_unanswered_commands(&self) -> bool {
        !self.state().unanswered_command_sizes.is_empty()
    }

    /// Whether another event may be reported. If not, pauses reading until events have been handled, a
    /// command has been answered or answers have been written.
    pub(super) fn has_capacity(&self) -> bool {
        let mut state = self.state();
        let Some(reason) = self.hold_reason(&state) else { return true };
        state.awaits_place |= reason == HoldReason::Queue;
        state.reading_paused = true;
        state.hold.begin(reason, &self.reactor.holds);
        self.update_interest(&mut state, false);
        false
    }

    /// Resumes reading. With `wakes`, the reactor also parses what it has read before.
    pub(super) fn resume_reading(&self, state: &mut ConnectionState, wakes: bool) {
        state.reading_paused = false;
        let events = state.reported_events;
        state.hold.end(self.id, events, &self.reactor.holds);
        self.update_interest(state, wakes);
    }

    /// Why no further event may be reported; `None` if one may. Before the process exits, the commands that
    /// have arrived are read whatever the limits on commands and answers, as they are answered without a
    /// member.
    fn hold_reason(&self, state: &ConnectionState) -> Option<HoldReason> {
        if state.queued_events >= MAX_QUEUED_EVENTS {
            return Some(HoldReason::Queue);
        }
        if self.reactor.is_reading_stopped() || state.refusal.is_some() {
            return None;
        }
        if !self.may_add_answer(state) {
            return Some(HoldReason::Answers);
        }
        let own_bytes = state.unanswered_command_bytes.bytes();
        let all_bytes = self.reactor.limits.command_memory.used();
        let admits_another = state.unanswered_command_sizes.is_empty()
            || (state.unanswered_command_sizes.len() < MAX_PIPELINED_COMMANDS
                && own_bytes < MAX_PIPELINED_BYTES
                && all_bytes < self.reactor.limits.max_unanswered_command_bytes);
        (!admits_another).then_some(HoldReason::Commands)
    }

    /// Counts an event as handled, and resumes reading if it is paused for a place and enough are free.
    pub(super) fn event_handled(&self) {
        let mut state = self.state();
        state.queued_events -= 1;
        if state.awaits_place && state.queued_events <= RESUME_QUEUED_EVENTS {
            state.awaits_place = false;
            if !state.input_ended {
                self.resume_reading(&mut state, true);
            }
        }
    }

    /// Whether the answer to another command may wait for the socket. Reading is paused while it may not.
    /// Otherwise a client that sends many commands before it reads their answers would exceed the limit on
    /// waiting answers and be disconnected.
    pub(super) fn may_add_answer(&self, state: &ConnectionState) -> bool {
        let unanswered = state.unanswered_command_sizes.len().max(state.queued_events);
        let answers = state.write_buffer.answer_count() + unanswered;
        let all_unwritten = self.reactor.unwritten_bytes.load(Ordering::SeqCst);
        let is_half_free = all_unwritten < self.reactor.limits.max_unwritten_bytes / 2;
        state.write_buffer.is_empty() || (answers < MAX_WAITING_ANSWERS && is_half_free)
    }

    /// Whether the waiting answer exceeds the client's part of the memory while those of all clients use
    /// twice their limit.
    pub(super) fn exceeds_unwritten_memory(&self, state: &ConnectionState) -> bool {
        let limits = &self.reactor.limits;
        let part = limits.max_unwritten_bytes / limits.max_connections;
        let max_total_bytes = 2 * limits.max_unwritten_bytes;
        state.write_buffer.exceeds(part, &self.reactor.unwritten_bytes, max_total_bytes)
    }

    /// Counts a command that is about to be reported. Fails if the command is refused; the caller must then
    /// drop the command's bytes.
    pub(super) fn command_received(&self, size: usize) -> Result<(), Refusal> {
        self.unfinished_commands.fetch_add(1, Ordering::SeqCst);
        let mut state = self.state();
        let accepted = self.accept_command(&mut state, size);
        state.unanswered_command_sizes.push_back(if accepted.is_ok() { size } else { 0 });
        accepted
    }

    /// Accepts a command unless the process is about to exit, or the client would exceed its part of the
    /// memory for commands.
    fn accept_command(&self, state: &mut ConnectionState, size: usize) -> Result<(), Refusal> {
        if self.reactor.is_reading_stopped() {
            return Err(Refusal::ShuttingDown);
        }
        if let Some(refusal) = state.refusal {
            return Err(refusal);
        }
        let bytes = state.unanswered_command_bytes.bytes() + size;
        state.unanswered_command_bytes.try_set(bytes).map_err(|OverBudget| Refusal::OverBudget)
    }

    /// Counts the oldest command as answered, and resumes reading if it is paused.
    pub(super) fn command_answered(&self) {
        self.unfinished_commands.fetch_sub(1, Ordering::SeqCst);
        let mut state = self.state();
        let size = state.unanswered_command_sizes.pop_front().unwrap_or(0);
        let bytes = state.unanswered_command_bytes.bytes() - size;
        state.unanswered_command_bytes.set(bytes);
        if state.reading_paused && !state.input_ended && !self.reactor.is_reading_stopped() {
            self.resume_reading(&mut state, true);
        }
    }
}

impl Drop for ConnectionShared {
    fn drop(&mut self) {
        let state = self.state.get_mut().unwrap_or_else(|poisoned| poisoned.into_inner());
        self.reactor.unwritten_bytes.fetch_sub(state.write_buffer.counted_bytes(), Ordering::SeqCst);
        self.reactor.open_connections.fetch_sub(1, Ordering::SeqCst);
        if self.reactor.at_connection_limit.swap(false, Ordering::SeqCst) {
            self.reactor.wake();
        }
    }
}
