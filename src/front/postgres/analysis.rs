//! Reads the routing properties of statements from their text.

use super::config::{ExtendedListenerConfig, UnknownClassError};
use super::error::BatchError;
use super::execution::{Execution, Executions};
use crate::client::ParsedRequest;
use crate::clock::from_unix_ms;
use crate::exchange::MemberRequest;
use crate::extended::PreparedStatement;
use crate::pg::statement::{self, StatementFields};
use crate::state::SessionCommits;
use crate::{ExecutedStatement, Idempotency, Micros, Requirement, SessionInGroup, Settings};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The maximum timeout of a request. Without this limit, sums of times could overflow.
const MAX_TIMEOUT: Micros = 1 << 40;

/// A statement and the routing properties that were read from its text.
#[derive(Clone)]
pub struct AnalyzedStatement {
    /// The statement.
    pub prepared: Arc<PreparedStatement>,
    /// The index of the request class.
    pub class: usize,
    /// The group that stores its data.
    pub group: u32,
    /// How long the client waits for the reply.
    pub timeout: Micros,
    /// The commit position that a read must see, as time on the core's clock.
    pub required_position: Option<Micros>,
    /// Whether an execution may write. The proxy cannot tell whether a WITH does, so it counts as one that
    /// may.
    pub may_write: bool,
    /// Whether the client marked the statement as a retry.
    pub is_retry: bool,
    /// The session that the statement's key identifies, 0 for none.
    pub session_key: u64,
    /// Whether the text has an idempotency key, which is the same for every execution.
    pub has_idempotency_key: bool,
}

/// The statements of a batch, which [`StatementAnalyzer::combine`] combines into one request.
pub struct BatchStatements<'a> {
    /// The statements that the batch prepares, binds or describes.
    pub statements: &'a [AnalyzedStatement],
    /// What the batch executes.
    pub executions: &'a Executions,
    /// The last commits of all sessions.
    pub commits: &'a SessionCommits,
    /// Since when commits are recorded, on the core's clock.
    pub commits_known_since: Micros,
}

/// Analyzes statements. The listener's configuration provides the properties that their text lacks.
pub struct StatementAnalyzer {
    /// The listener's configuration.
    pub config: ExtendedListenerConfig,
    settings: Arc<Settings>,
}

impl StatementAnalyzer {
    /// Creates an analyzer with the defaults of `config`. Fails if a default class does not exist.
    pub fn new(config: ExtendedListenerConfig, settings: Arc<Settings>) -> Result<Self, UnknownClassError> {
        config.check(&settings)?;
        Ok(StatementAnalyzer { config, settings })
    }

    /// Reads the routing properties of a statement.
    ///
    /// Rejects a statement whose effect could outlive its implicit transaction, such as SET, because the
    /// client's next request may be sent to another member. Also rejects a text of several statements.
    pub fn analyze(&self, sql: &[u8], parameter_types: &[u8]) -> Result<AnalyzedStatement, BatchError> {
        let keyword = statement::first_keyword(sql);
        let writes = match keyword.as_str() {
            "select" | "values" | "show" => false,
            "insert" | "update" | "delete" | "merge" | "with" => true,
            _ => return Err(BatchError::UnsupportedStatement { keyword }),
        };
        if statement::has_several_statements(sql) {
            return Err(BatchError::SeveralStatements);
        }
        let fields = statement::parse_fields(sql);
        let class = self.class_of(&fields, writes).ok_or(BatchError::UnknownClass)?;
        // A write in a class of reads would be retried like a read, and might be executed more than once. The
        // proxy cannot tell whether a WITH writes, so it accepts either class for it.
        if writes && keyword != "with" && !self.is_write_class(class) {
            return Err(BatchError::WriteInReadClass { keyword });
        }
        let timeout_ms = fields.timeout.as_ref().map_or(self.config.wait_ms, |timeout| timeout.millis);
        Ok(AnalyzedStatement {
            prepared: Arc::new(PreparedStatement {
                sql: sql.to_vec(),
                parameter_types: parameter_types.to_vec(),
                timeout_digits: fields.timeout.map(|timeout| timeout.digits),
            }),
            class,
            group: fields.group.unwrap_or(self.config.group),
            timeout: from_unix_ms(timeout_ms).min(MAX_TIMEOUT),
            required_position: fields.min_position_ms.map(from_unix_ms),
            may_write: writes || self.is_write_class(class),
            is_retry: fields.is_retry,
            session_key: fields.key.map_or(0, statement::session_id),
            has_idempotency_key: fields.has_idempotency_key,
        })
    }

    fn class_of(&self, fields: &StatementFields<'_>, writes: bool) -> Option<usize> {
        let name = match fields.class {
            Some(name) => name,
            None if writes => self.config.write_class.as_bytes(),
            None => self.config.read_class.as_bytes(),
        };
        self.settings.class(name)
    }

    fn is_write_class(&self, class: usize) -> bool {
        self.settings.classes[class].requirement == Requirement::Write
    }

    /// Combines the statements of a batch into one request. What the batch executes decides what the request
    /// needs; each execution keeps its own needs. The statements must be for the same group.
    ///
    /// The request is accounted under the strictest class, and has the shortest timeout. A batch that
    /// executes nothing needs nothing of its member, and has these from the statements that it prepares
    /// or describes.
    pub fn combine(
        &self,
        batch: &BatchStatements<'_>,
        member_request: MemberRequest,
    ) -> Result<ParsedRequest, BatchError> {
        let BatchStatements { statements, executions, .. } = batch;
        let first = statements.first().ok_or(BatchError::MalformedMessage)?;
        if statements.iter().any(|statement| statement.group != first.group) {
            return Err(BatchError::SeveralGroups);
        }
        let executed: Vec<_> = executions.iter().map(|one| (one.class, one.timeout)).collect();
        let named = || statements.iter().map(|statement| (statement.class, statement.timeout)).collect();
        let accounted = if executed.is_empty() { named() } else { executed };
        let class = accounted.iter().map(|(class, _)| *class).max_by_key(|class| self.strictness(*class));
        let timeout = accounted.iter().map(|(_, timeout)| *timeout).min();
        Ok(ParsedRequest {
            class: class.unwrap_or(first.class),
            statements: self.executed_statements(batch, first.group),
            sessions: executions.sessions_of(|_| true),
            read_sessions: executions.sessions_of(|execution| self.reads_own_writes(execution.class)),
            writes: executions.iter().any(|execution| self.is_write_class(execution.class)),
            written_sessions: executions.sessions_of(|execution| self.is_write_class(execution.class)),
            group: first.group,
            at_most_once: false,
            is_retry: executions.iter().any(|execution| execution.is_retry),
            // The `id` in the comment of a prepared statement is the same for every execution, so it does not
            // identify a request.
            external_id: Vec::new(),
            timeout: timeout.unwrap_or(first.timeout),
            member_request,
        })
    }

    /// The executed statements, one for each class: a batch may execute thousands of portals. Where the
    /// router remembers commits, it needs the sessions of reads of own writes and of writes.
    fn executed_statements(&self, batch: &BatchStatements<'_>, group: u32) -> Vec<ExecutedStatement> {
        let executions = batch.executions;
        let classes: BTreeSet<usize> = executions.iter().map(|execution| execution.class).collect();
        let mut executed = Vec::new();
        for class in classes {
            let of_class = |execution: &&Execution| execution.class == class;
            let min_position =
                executions.iter().filter(of_class).filter_map(|execution| execution.required_position).max();
            // A client that names the last commit of its session knows of it, whatever this process knows.
            let are_named = executions.iter().filter(of_class).all(|one| one.required_position.is_some());
            let has_key = executions.iter().filter(of_class).all(|execution| execution.has_key);
            let mut statement =
                ExecutedStatement { min_position, has_key, ..ExecutedStatement::new(class, 0) };
            let has_sessions = self.reads_own_writes(class) || self.is_write_class(class);
            if !has_sessions {
                executed.push(statement);
                continue;
            }
            let sessions = executions.sessions_of(|execution| execution.class == class);
            if self.settings.remember_commits {
                executed.extend(sessions.iter().map(|&session| ExecutedStatement { session, ..statement }));
                continue;
            }
            for session in sessions.into_iter().filter(|_| !are_named) {
                self.add_commit(&mut statement, SessionInGroup { session, group }, batch);
            }
            executed.push(statement);
        }
        executed
    }

    /// Adds what the front knows of a session's commits to a statement that reads or writes for the session.
    fn add_commit(
        &self,
        statement: &mut ExecutedStatement,
        session: SessionInGroup,
        batch: &BatchStatements<'_>,
    ) {
        if session.session == 0 {
            return;
        }
        let commit = batch.commits.last(session);
        statement.min_position = statement.min_position.max(commit);
        if commit.is_none() && self.settings.endpoints_serve_stale() {
            statement.commits_known_since = Some(batch.commits_known_since);
        }
    }

    fn reads_own_writes(&self, class: usize) -> bool {
        self.settings.classes[class].requirement == Requirement::ReadYourWrites
    }

    /// Whether a batch must not be executed twice.
    pub fn must_not_be_repeated(&self, request: &ParsedRequest) -> bool {
        let is_idempotent =
            |class: usize| self.settings.classes[class].idempotency == Idempotency::Idempotent;
        !request.statements.iter().all(|statement| is_idempotent(statement.class))
    }

    fn strictness(&self, class: usize) -> Strictness {
        let class = &self.settings.classes[class];
        Strictness {
            requirement: match class.requirement {
                Requirement::Any => 0,
                Requirement::BoundedStaleness(_) => 1,
                Requirement::ReadYourWrites => 2,
                Requirement::Latest => 3,
                Requirement::Write => 4,
            },
            idempotency: match class.idempotency {
                Idempotency::Idempotent => 0,
                Idempotency::Keyed { .. } => 1,
                Idempotency::AtMostOnce => 2,
            },
        }
    }
}

/// The order of classes under which a batch is accounted, by what they require of a member, then by how often
/// they may be executed. It decides the price and the priority of a batch, not what the batch needs.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Strictness {
    requirement: u8,
    idempotency: u8,
}
