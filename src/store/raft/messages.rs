//! The data that replicas exchange and persist: entries, snapshots, hard state and the Raft paper's messages.
//!
//! The serde names are stored on disk and sent between replicas; they must not change.

use serde::{Deserialize, Serialize};

/// The id of a replica.
pub type ReplicaId = u32;
/// The position of an entry in the log, from 1.
pub type Index = u64;
/// The number of a term, from 1; 0 before the first election.
pub type Term = u64;

/// An entry of the log. The first entry of a new leader's term has no command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Its position in the log.
    pub index: Index,
    /// The term of the leader that created it.
    pub term: Term,
    /// The command for the state machine.
    pub command: Option<C>,
}

/// The state machine after all entries up to and including `last_included_index`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// The index of the last entry whose command the state includes.
    #[serde(rename = "index")]
    pub last_included_index: Index,
    /// The term of that entry.
    #[serde(rename = "term")]
    pub last_included_term: Term,
    /// The state machine's state.
    pub state: S,
}

/// The hard state: the term and the vote, which must survive a restart, as must the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that this replica has seen.
    pub term: Term,
    /// The candidate that got this replica's vote in that term.
    #[serde(rename = "vote")]
    pub voted_for: Option<ReplicaId>,
}

/// The state that a replica recovers from its disk at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState<C, S> {
    /// Term and vote.
    pub hard_state: HardState,
    /// The state that the log starts from.
    pub snapshot: Snapshot<S>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry<C>>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message<C, S> {
    /// The sender.
    pub from: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// The request or reply.
    #[serde(rename = "say")]
    pub body: MessageBody<C, S>,
}

/// The requests and replies of the Raft protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody<C, S> {
    /// A candidate requests a vote.
    #[serde(rename = "Vote")]
    RequestVote(RequestVote),
    /// Answers [`RequestVote`].
    #[serde(rename = "Voted")]
    RequestVoteReply(RequestVoteReply),
    /// A leader sends entries, or a heartbeat.
    #[serde(rename = "Append")]
    AppendEntries(AppendEntries<C>),
    /// Answers [`AppendEntries`] and [`InstallSnapshot`].
    #[serde(rename = "Appended")]
    AppendEntriesReply(AppendEntriesReply),
    /// A leader sends its snapshot.
    #[serde(rename = "Install")]
    InstallSnapshot(InstallSnapshot<S>),
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestVote {
    /// The index of the last entry in the candidate's log.
    #[serde(rename = "last_index")]
    pub last_log_index: Index,
    /// The term of that entry.
    #[serde(rename = "last_term")]
    pub last_log_term: Term,
}

/// The answer to a [`RequestVote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestVoteReply {
    /// Whether the candidate got the vote.
    #[serde(rename = "granted")]
    pub vote_granted: bool,
}

/// A leader's entries after `prev_log_index`, up to which both logs should match. Without entries, a
/// heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendEntries<C> {
    /// The index of the entry before the new ones.
    #[serde(rename = "prev_index")]
    pub prev_log_index: Index,
    /// The term of that entry.
    #[serde(rename = "prev_term")]
    pub prev_log_term: Term,
    /// The new entries.
    pub entries: Vec<Entry<C>>,
    /// The leader's commit index.
    #[serde(rename = "commit")]
    pub leader_commit: Index,
}

/// The answer to [`AppendEntries`] and [`InstallSnapshot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntriesReply {
    /// Whether the follower accepted the entries or the snapshot.
    #[serde(rename = "ok")]
    pub success: bool,
    /// On success, the index up to which the logs match; otherwise the highest index up to which they may.
    #[serde(rename = "index")]
    pub last_agreed_index: Index,
}

/// A leader's snapshot, for a follower that lacks entries compacted from the leader's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstallSnapshot<S> {
    /// The snapshot.
    pub snapshot: Snapshot<S>,
}
