//! Reads the routing properties of statements from their text.

use super::config::{ExtendedListenerConfig, UnknownClassError};
use super::error::BatchError;
use crate::client::ParsedRequest;
use crate::clock::from_unix_ms;
use crate::exchange::MemberRequest;
use crate::extended::PreparedStatement;
use crate::pg::statement::{self, StatementFields};
use crate::state::SessionCommits;
use crate::{Idempotency, Micros, Requirement, SessionInGroup, Settings};
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
}

/// The statements of a batch, which [`StatementAnalyzer::combine`] combines into one request.
pub struct BatchStatements<'a> {
    /// The statements that the batch prepares, binds or describes.
    pub statements: &'a [AnalyzedStatement],
    /// The client's session, 0 if unknown.
    pub session_key: u64,
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

    /// Whether requests of the class may be executed any number of times.
    pub fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Combines the statements of a batch into one request, which gets the strictest class and the shortest
    /// timeout among them, and must see the latest of their required positions and the session's last commit.
    /// The statements must be for the same group.
    pub fn combine(
        &self,
        batch: &BatchStatements<'_>,
        member_request: MemberRequest,
    ) -> Result<ParsedRequest, BatchError> {
        let statements = batch.statements;
        let first = statements.first().ok_or(BatchError::MalformedMessage)?;
        if statements.iter().any(|statement| statement.group != first.group) {
            return Err(BatchError::SeveralGroups);
        }
        let strictest = statements.iter().max_by_key(|statement| self.strictness(statement.class));
        let required_position = statements.iter().filter_map(|statement| statement.required_position).max();
        let timeout = statements.iter().map(|statement| statement.timeout).min();
        let session = SessionInGroup { session: batch.session_key, group: first.group };
        let commit = batch.commits.last(session);
        let has_unknown_commits =
            session.session != 0 && commit.is_none() && self.settings.endpoints_serve_stale();
        Ok(ParsedRequest {
            class: strictest.unwrap_or(first).class,
            writes: statements.iter().any(|statement| self.is_write_class(statement.class)),
            group: first.group,
            session: batch.session_key,
            required_position: required_position.max(commit),
            at_most_once: false,
            commits_known_since: has_unknown_commits.then_some(batch.commits_known_since),
            is_retry: statements.iter().any(|statement| statement.is_retry),
            // The `id` in the comment of a prepared statement is the same for every execution, so it does not
            // identify a request.
            external_id: Vec::new(),
            timeout: timeout.unwrap_or(first.timeout),
            member_request,
        })
    }

    fn strictness(&self, class: usize) -> Strictness {
        let class = &self.settings.classes[class];
        Strictness {
            idempotency: match class.idempotency {
                Idempotency::Idempotent => 0,
                Idempotency::Keyed { .. } => 1,
                Idempotency::AtMostOnce => 2,
            },
            requirement: match class.requirement {
                Requirement::Any => 0,
                Requirement::BoundedStaleness(_) => 1,
                Requirement::ReadYourWrites => 2,
                Requirement::Latest => 3,
                Requirement::Write => 4,
            },
        }
    }
}

/// The order of classes by strictness: first by how often a request may be executed, then by what it
/// requires of a member. Greater values are stricter.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Strictness {
    idempotency: u8,
    requirement: u8,
}
