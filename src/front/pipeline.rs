//! The commands of one client connection that have been read but not answered yet.
//!
//! Commands run concurrently where PostgreSQL's order allows it, and their replies are sent in the order of
//! the commands. `docs/design-pipelining.md` describes which pairs may overlap, and why.

use super::Protocol;
use crate::client::ParsedRequest;
use crate::{Micros, RequestId};
use std::collections::VecDeque;

/// The effect of a command on its group's data, as far as the order of commands depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Access {
    /// It changes data.
    writes: bool,
    /// The group that it concerns.
    group: u32,
    /// The session, 0 where it is not known.
    session: u64,
}

impl Access {
    fn of(request: &ParsedRequest) -> Self {
        Access { writes: request.writes, group: request.group, session: request.session }
    }

    /// Whether this command must wait for an earlier one of its connection to end. A read sees what an
    /// earlier write wrote, writes keep their order, and a read does not see a later write of its own
    /// session.
    fn must_follow(&self, earlier: &Access) -> bool {
        let same_session = self.session == earlier.session || self.session == 0 || earlier.session == 0;
        self.group == earlier.group && (earlier.writes || (self.writes && same_session))
    }
}

enum Stage<P: Protocol> {
    /// Read, but not started yet.
    Queued(P::Command),
    /// It waits for earlier commands.
    Deferred(Box<ParsedRequest>, P::Context),
    /// It was forwarded to the core.
    Running(RequestId, P::Context),
    /// Its reply waits for those of earlier commands.
    Finished(Vec<u8>),
}

struct Entry<P: Protocol> {
    read_at: Micros,
    access: Option<Access>,
    /// The position of the commit of a write that has been served.
    commit_position: Option<Micros>,
    stage: Stage<P>,
}

/// A write of this connection whose reply has been sent.
struct RepliedWrite {
    access: Access,
    commit_position: Micros,
    replied_at: Micros,
}

impl<P: Protocol> Entry<P> {
    fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Finished(_))
    }

    fn request(&self) -> Option<RequestId> {
        match self.stage {
            Stage::Running(request, _) => Some(request),
            _ => None,
        }
    }

    fn buffered_bytes(&self) -> usize {
        match &self.stage {
            Stage::Finished(reply) => reply.len(),
            _ => 0,
        }
    }
}

/// Replied writes that a connection remembers: as many writes as can be beside a read in one pipeline.
const MAX_REPLIED_WRITES: usize = 8;

/// A request that may start now.
pub struct Ready {
    /// When its last byte was read.
    pub read_at: Micros,
    /// The request for the core.
    pub request: ParsedRequest,
}

/// A command that is ready to be processed.
pub struct Queued<'a, P: Protocol> {
    /// The index of its entry.
    pub index: usize,
    /// The command.
    pub command: P::Command,
    /// The contexts of the unfinished requests before it.
    pub unfinished: Vec<&'a P::Context>,
}

/// The commands of a connection, in the order in which they were read.
pub struct Pipeline<P: Protocol> {
    entries: VecDeque<Entry<P>>,
    replied_writes: VecDeque<RepliedWrite>,
}

impl<P: Protocol> Default for Pipeline<P> {
    fn default() -> Self {
        Pipeline { entries: VecDeque::new(), replied_writes: VecDeque::new() }
    }
}

impl<P: Protocol> Pipeline<P> {
    /// Whether no command waits for its reply.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Appends a command.
    pub fn push(&mut self, command: P::Command) {
        let read_at = P::read_at(&command);
        self.entries.push_back(Entry {
            read_at,
            access: None,
            commit_position: None,
            stage: Stage::Queued(command),
        });
    }

    /// Takes the first unprocessed command, with the contexts of the unfinished ones before it.
    pub fn next_queued(&mut self) -> Option<Queued<'_, P>> {
        let index = self.entries.iter().position(|entry| matches!(entry.stage, Stage::Queued(_)))?;
        let stage = std::mem::replace(&mut self.entries[index].stage, Stage::Finished(Vec::new()));
        let Stage::Queued(command) = stage else { return None };
        let earlier = self.entries.range(..index).filter_map(|entry| match &entry.stage {
            Stage::Deferred(_, context) | Stage::Running(_, context) => Some(context),
            Stage::Queued(_) | Stage::Finished(_) => None,
        });
        Some(Queued { index, command, unfinished: earlier.collect() })
    }

    /// Puts back a command that can't be processed yet.
    pub fn put_back(&mut self, index: usize, command: P::Command) {
        self.entries[index].stage = Stage::Queued(command);
    }

    /// Records a command that is answered without the core.
    pub fn reply(&mut self, index: usize, reply: Vec<u8>) {
        self.entries[index].stage = Stage::Finished(reply);
    }

    /// Records a command that is a request; it starts once the order of commands allows it.
    pub fn defer(&mut self, index: usize, request: ParsedRequest, context: P::Context) {
        self.entries[index].access = Some(Access::of(&request));
        self.entries[index].stage = Stage::Deferred(Box::new(request), context);
    }

    /// The first command at or after `from` that may start. With `only_first`, none starts after an earlier
    /// unfinished one.
    pub fn next_ready(&self, from: usize, only_first: bool) -> Option<usize> {
        (from..self.entries.len()).find(|index| {
            let entry = &self.entries[*index];
            let Some(access) = entry.access.filter(|_| matches!(entry.stage, Stage::Deferred(..))) else {
                return false;
            };
            let mut unfinished = self.entries.range(..*index).filter(|earlier| !earlier.is_finished());
            !unfinished.any(|earlier| {
                only_first || earlier.access.as_ref().is_some_and(|earlier| access.must_follow(earlier))
            })
        })
    }

    /// Takes the request of a command; the command itself stays in place until [`Pipeline::mark_running`] or
    /// [`Pipeline::reply`].
    pub fn take_ready(&mut self, index: usize) -> Option<Ready> {
        let commit_position = self.required_commit_position(index);
        let entry = &mut self.entries[index];
        match std::mem::replace(&mut entry.stage, Stage::Finished(Vec::new())) {
            Stage::Deferred(mut request, context) => {
                let read_at = entry.read_at;
                entry.stage = Stage::Running(0, context);
                request.required_position = request.required_position.max(commit_position);
                Some(Ready { read_at, request: *request })
            }
            stage => {
                entry.stage = stage;
                None
            }
        }
    }

    /// The latest commit before a read that its client may not have been notified of when it sent it, or
    /// that is of the read's own session.
    fn required_commit_position(&self, index: usize) -> Option<Micros> {
        let entry = &self.entries[index];
        let read = entry.access.filter(|access| !access.writes)?;
        let replied = self.replied_writes.iter().filter(|write| {
            let same_session = write.access.session == read.session;
            write.access.group == read.group && (same_session || entry.read_at <= write.replied_at)
        });
        let unreplied = self.entries.range(..index);
        let unreplied =
            unreplied.filter(|earlier| earlier.access.is_some_and(|access| access.group == read.group));
        let replied_commits = replied.map(|write| write.commit_position);
        let unreplied_commits = unreplied.filter_map(|earlier| earlier.commit_position);
        replied_commits.chain(unreplied_commits).max()
    }

    /// Records that the command was forwarded to the core as this request.
    pub fn mark_running(&mut self, index: usize, request: RequestId) {
        if let Stage::Running(number, _) = &mut self.entries[index].stage {
            *number = request;
        }
    }

    /// The index of a request's entry.
    pub fn index_of(&self, request: RequestId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.request() == Some(request))
    }

    /// Records a request's final answer, from which `reply` builds the client's reply; `commit_position` is
    /// that of a served write.
    pub fn finish(
        &mut self,
        index: usize,
        commit_position: Option<Micros>,
        reply: impl FnOnce(P::Context) -> Vec<u8>,
    ) {
        let entry = &mut self.entries[index];
        entry.commit_position = commit_position.filter(|_| entry.access.is_some_and(|access| access.writes));
        if let Stage::Running(_, context) = std::mem::replace(&mut entry.stage, Stage::Finished(Vec::new())) {
            entry.stage = Stage::Finished(reply(context));
        }
    }

    /// Takes the first reply, if every command before it has been answered.
    pub fn next_reply(&mut self, now: Micros) -> Option<Vec<u8>> {
        let entry = self.entries.pop_front_if(|entry| entry.is_finished())?;
        if let Some((access, commit_position)) = entry.access.zip(entry.commit_position) {
            self.replied_writes.truncate(MAX_REPLIED_WRITES - 1);
            self.replied_writes.push_front(RepliedWrite { access, commit_position, replied_at: now });
        }
        match entry.stage {
            Stage::Finished(reply) => Some(reply),
            _ => None,
        }
    }

    /// Bytes of replies that wait for earlier replies.
    pub fn buffered_bytes(&self) -> usize {
        self.entries.iter().map(Entry::buffered_bytes).sum()
    }

    /// Requests that are running in the core, in the order of their commands.
    pub fn running(&self) -> impl Iterator<Item = RequestId> {
        self.entries.iter().filter_map(Entry::request)
    }

    /// The request of the first command that is running in the core and not answered.
    pub fn first_running(&self) -> Option<RequestId> {
        self.running().next()
    }
}
