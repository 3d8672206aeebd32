//! The commands of one client connection that have been read but not answered yet.
//!
//! Commands run concurrently where PostgreSQL's order allows it, and their replies are sent in the order of
//! the commands. `docs/design-pipelining.md` describes which pairs of commands may overlap, and why.

use super::Protocol;
use crate::client::{ParsedRequest, Refusal};
use crate::core::FinalAnswer;
use crate::exchange::MemberResponse;
use crate::{Micros, RequestId};
use std::collections::VecDeque;

/// The properties of a command that decide which other commands it may overlap.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Access {
    /// Whether the command changes data.
    writes: bool,
    /// The group that stores the data.
    group: u32,
    /// The sessions whose data the command reads or changes, sorted; 0 stands for an unknown one.
    sessions: Vec<u64>,
    /// The sessions whose data the command changes, sorted; 0 stands for an unknown one.
    written_sessions: Vec<u64>,
}

impl Access {
    /// Takes the sessions out of a request, which has no other use for them.
    fn take_from(request: &mut ParsedRequest) -> Self {
        Access {
            writes: request.writes,
            group: request.group,
            sessions: std::mem::take(&mut request.sessions),
            written_sessions: std::mem::take(&mut request.written_sessions),
        }
    }

    /// Whether a session is unknown, so that it may be any.
    fn has_unknown_session(&self) -> bool {
        self.sessions.first().is_none_or(|session| *session == 0)
    }

    /// Whether this command may start only after `earlier`, a command of the same connection, has finished.
    ///
    /// Within a group, a read must see earlier writes, writes must keep their order, and a read must not see
    /// a later write of its own session. An unknown session counts as equal to every other session.
    fn must_follow(&self, earlier: &Access) -> bool {
        let same_session = self.has_unknown_session()
            || earlier.has_unknown_session()
            || share_session(&self.sessions, &earlier.sessions);
        self.group == earlier.group && (earlier.writes || (self.writes && same_session))
    }
}

/// Whether a session is among both, which are sorted.
fn share_session(sessions: &[u64], others: &[u64]) -> bool {
    let (fewer, more) = if sessions.len() < others.len() { (sessions, others) } else { (others, sessions) };
    fewer.iter().any(|session| more.binary_search(session).is_ok())
}

enum Stage<P: Protocol> {
    /// Read from the client, but not processed by the protocol yet.
    Queued(P::Command),
    /// A request that waits for earlier commands to finish.
    Deferred(Box<ParsedRequest>, P::Context),
    /// A request that was forwarded to the core.
    Running(RequestId, P::Context),
    /// Answered; the reply waits for the replies to earlier commands.
    Finished(Vec<u8>),
}

/// A command and its progress.
struct Entry<P: Protocol> {
    read_at: Micros,
    /// Set once the command is known to be a request for the core.
    access: Option<Access>,
    /// The commit position of a served write.
    commit_position: Option<Micros>,
    stage: Stage<P>,
}

/// The writes of one session to one group whose replies have been written to the client.
struct RepliedWrites {
    access: Access,
    /// The position of the last commit.
    commit_position: Micros,
    /// When the last of the replies was written.
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

/// The number of sessions, in one group each, whose replied writes a connection remembers. No more writes can
/// be in a pipeline together with a read that must see them.
const MAX_REPLIED_SESSIONS: usize = 8;

/// A request that no longer waits for earlier commands.
pub struct ReadyRequest {
    /// The time at which the command's last byte was read.
    pub read_at: Micros,
    /// The request for the core.
    pub request: ParsedRequest,
}

/// A command that the protocol has not processed yet, taken out of its entry.
pub struct Queued<'a, P: Protocol> {
    /// The index of the command's entry.
    pub index: usize,
    /// The command.
    pub command: P::Command,
    /// The contexts of unfinished requests that precede the command.
    pub unfinished: Vec<&'a P::Context>,
}

/// The commands of a connection, in the order in which they were read.
pub struct Pipeline<P: Protocol> {
    entries: VecDeque<Entry<P>>,
    /// The session that was replied to last comes first.
    replied_writes: VecDeque<RepliedWrites>,
}

impl<P: Protocol> Default for Pipeline<P> {
    fn default() -> Self {
        Pipeline { entries: VecDeque::new(), replied_writes: VecDeque::new() }
    }
}

impl<P: Protocol> Pipeline<P> {
    /// Whether every command has been answered.
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

    /// Takes the first unprocessed command out of its entry. The caller must record the next stage of that
    /// entry with [`Pipeline::requeue`], [`Pipeline::reply`] or [`Pipeline::defer`].
    pub fn take_queued(&mut self) -> Option<Queued<'_, P>> {
        let index = self.entries.iter().position(|entry| matches!(entry.stage, Stage::Queued(_)))?;
        let stage = std::mem::replace(&mut self.entries[index].stage, Stage::Finished(Vec::new()));
        let Stage::Queued(command) = stage else { return None };
        let earlier = self.entries.range(..index).filter_map(|entry| match &entry.stage {
            Stage::Deferred(_, context) | Stage::Running(_, context) => Some(context),
            Stage::Queued(_) | Stage::Finished(_) => None,
        });
        Some(Queued { index, command, unfinished: earlier.collect() })
    }

    /// Returns a taken command, which cannot be processed yet, to its entry.
    pub fn requeue(&mut self, index: usize, command: P::Command) {
        self.entries[index].stage = Stage::Queued(command);
    }

    /// Records the reply to a command that is answered without the core.
    pub fn reply(&mut self, index: usize, reply: Vec<u8>) {
        self.entries[index].stage = Stage::Finished(reply);
    }

    /// Records that a command is a request, which may start after the earlier commands that it must follow.
    pub fn defer(&mut self, index: usize, mut request: ParsedRequest, context: P::Context) {
        self.entries[index].access = Some(Access::take_from(&mut request));
        self.entries[index].stage = Stage::Deferred(Box::new(request), context);
    }

    /// The index of the first request at or after `from` that may start. With `only_first`, a request may
    /// start only if all earlier commands have finished.
    pub fn next_ready_index(&self, from: usize, only_first: bool) -> Option<usize> {
        (from..self.entries.len()).find(|index| {
            let entry = &self.entries[*index];
            let is_deferred = matches!(entry.stage, Stage::Deferred(..));
            let Some(access) = entry.access.as_ref().filter(|_| is_deferred) else { return false };
            let mut unfinished = self.entries.range(..*index).filter(|earlier| !earlier.is_finished());
            !unfinished.any(|earlier| {
                only_first || earlier.access.as_ref().is_some_and(|earlier| access.must_follow(earlier))
            })
        })
    }

    /// Takes the request out of an entry and sets the position that its reads must see. The entry keeps its
    /// place; the caller must then call [`Pipeline::mark_running`] or [`Pipeline::reply`].
    pub fn take_ready(&mut self, index: usize) -> Option<ReadyRequest> {
        let position = self.required_commit_position(index);
        let entry = &mut self.entries[index];
        match std::mem::replace(&mut entry.stage, Stage::Finished(Vec::new())) {
            Stage::Deferred(mut request, context) => {
                let read_at = entry.read_at;
                entry.stage = Stage::Running(0, context);
                for statement in &mut request.statements {
                    statement.min_position = statement.min_position.max(position);
                }
                Some(ReadyRequest { read_at, request: *request })
            }
            stage => {
                entry.stage = stage;
                None
            }
        }
    }

    /// The position that the reads of a deferred request must see: the latest commit among earlier writes of
    /// this connection to the request's group that belong to one of the reads' sessions, or whose reply had
    /// not been written when the request arrived. `None` if there is no such commit.
    ///
    /// A client that has received the reply to a write can name the commit's position in a read. For a write
    /// that was unanswered when the client sent the read, it cannot.
    fn required_commit_position(&self, index: usize) -> Option<Micros> {
        let entry = &self.entries[index];
        let Stage::Deferred(request, _) = &entry.stage else { return None };
        let replied = self.replied_writes.iter().filter(|writes| {
            let same_session = share_session(&writes.access.written_sessions, &request.read_sessions);
            writes.access.group == request.group && (same_session || entry.read_at <= writes.replied_at)
        });
        let unreplied = self.entries.range(..index);
        let of_group = |access: &Access| access.group == request.group;
        let unreplied = unreplied.filter(|earlier| earlier.access.as_ref().is_some_and(of_group));
        let replied_commits = replied.map(|writes| writes.commit_position);
        let unreplied_commits = unreplied.filter_map(|earlier| earlier.commit_position);
        replied_commits.chain(unreplied_commits).max()
    }

    /// Records the id under which a taken request is forwarded to the core.
    pub fn mark_running(&mut self, index: usize, request: RequestId) {
        if let Stage::Running(running_id, _) = &mut self.entries[index].stage {
            *running_id = request;
        }
    }

    /// The index of the entry whose request is running under this id.
    pub fn index_of(&self, request: RequestId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.request() == Some(request))
    }

    /// Records the commit that a member's response to a running request confirms.
    pub fn record_commit(&mut self, index: usize, protocol: &mut P, response: &MemberResponse) {
        let entry = &mut self.entries[index];
        if entry.access.as_ref().is_some_and(|access| access.writes) {
            entry.commit_position = response.position;
        }
        if let Stage::Running(_, context) = &entry.stage {
            protocol.record_commit(context, response);
        }
    }

    /// Records the final answer to a running request. `reply` builds the reply to the client.
    pub fn finish(&mut self, index: usize, reply: impl FnOnce(P::Context) -> Vec<u8>) {
        let entry = &mut self.entries[index];
        if let Stage::Running(_, context) = std::mem::replace(&mut entry.stage, Stage::Finished(Vec::new())) {
            entry.stage = Stage::Finished(reply(context));
        }
    }

    /// Refuses the commands that the protocol has not processed, and answers all requests: those that are
    /// running may have been executed.
    pub fn end_all(
        &mut self,
        refusal: Refusal,
        mut reply: impl FnMut(P::Context, FinalAnswer<MemberResponse>) -> Vec<u8>,
    ) {
        for entry in &mut self.entries {
            let stage = std::mem::replace(&mut entry.stage, Stage::Finished(Vec::new()));
            entry.stage = match stage {
                Stage::Queued(mut command) => {
                    P::refuse(&mut command, refusal);
                    Stage::Queued(command)
                }
                Stage::Deferred(_, context) => {
                    Stage::Finished(reply(context, FinalAnswer::Rejected { retry_after: 0 }))
                }
                Stage::Running(_, context) => {
                    Stage::Finished(reply(context, FinalAnswer::Failed { maybe_executed: true }))
                }
                Stage::Finished(reply) => Stage::Finished(reply),
            };
        }
    }

    /// Removes the first command if it has been answered, and returns its reply.
    pub fn pop_reply(&mut self, now: Micros) -> Option<Vec<u8>> {
        let entry = self.entries.pop_front_if(|entry| entry.is_finished())?;
        if let Some((access, commit_position)) = entry.access.zip(entry.commit_position) {
            self.remember_replied_write(access, commit_position, now);
        }
        match entry.stage {
            Stage::Finished(reply) => Some(reply),
            _ => None,
        }
    }

    /// Remembers a replied write, together with earlier ones of the same session in the same group.
    fn remember_replied_write(&mut self, access: Access, commit_position: Micros, replied_at: Micros) {
        let same = self.replied_writes.iter().position(|writes| writes.access == access);
        let earlier = same.and_then(|index| self.replied_writes.remove(index));
        let commit_position =
            earlier.map_or(commit_position, |writes| writes.commit_position.max(commit_position));
        self.replied_writes.truncate(MAX_REPLIED_SESSIONS - 1);
        self.replied_writes.push_front(RepliedWrites { access, commit_position, replied_at });
    }

    /// The bytes of replies that wait for earlier replies.
    pub fn buffered_bytes(&self) -> usize {
        self.entries.iter().map(Entry::buffered_bytes).sum()
    }

    /// The requests that are running in the core, in the order of their commands.
    pub fn running(&self) -> impl Iterator<Item = RequestId> {
        self.entries.iter().filter_map(Entry::request)
    }

    /// The first request that is running in the core.
    pub fn first_running(&self) -> Option<RequestId> {
        self.running().next()
    }
}
