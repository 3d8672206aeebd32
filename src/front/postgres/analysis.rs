//! The routing properties of a statement, read from its text.

use super::config::{ExtendedListenerConfig, UnknownClassError};
use super::error::BatchError;
use crate::client::ParsedRequest;
use crate::clock::from_unix_ms;
use crate::exchange::MemberRequest;
use crate::extended::PreparedStatement;
use crate::pg::statement::{self, StatementFields};
use crate::{Idempotency, Micros, Requirement, Settings};
use std::sync::Arc;

/// The longest timeout of a request, which keeps sums of times from overflowing.
const MAX_TIMEOUT: Micros = 1 << 40;

/// A statement and its routing properties, read from its text.
#[derive(Clone)]
pub struct StatementDescription {
    /// The statement.
    pub prepared: Arc<PreparedStatement>,
    /// The index of the request class.
    pub class: usize,
    /// The group that stores its data.
    pub group: u32,
    /// How long the client waits.
    pub timeout: Micros,
    /// The position that a read must see.
    pub required_position: Option<Micros>,
    /// Whether this is a retry by the client.
    pub is_retry: bool,
    /// The session that its key names, 0 for none.
    pub session_key: u64,
}

/// The statements of a batch, to be combined into one request.
pub struct BatchStatements<'a> {
    /// The statements that the batch prepares, binds or describes.
    pub statements: &'a [StatementDescription],
    /// The session, 0 for none.
    pub session_key: u64,
    /// The session's last commit.
    pub last_commit: Option<Micros>,
}

/// Analyzes statements, with the listener's defaults for properties that their text lacks.
pub struct StatementAnalyzer {
    /// The listener's configuration.
    pub config: ExtendedListenerConfig,
    settings: Arc<Settings>,
}

impl StatementAnalyzer {
    /// An analyzer with these defaults, whose classes must exist.
    pub fn new(config: ExtendedListenerConfig, settings: Arc<Settings>) -> Result<Self, UnknownClassError> {
        config.check(&settings)?;
        Ok(StatementAnalyzer { config, settings })
    }

    /// Analyzes a statement. A statement whose effect outlives a unit, or more than one statement, is
    /// rejected: the next request may go to another member.
    pub fn describe_statement(
        &self,
        sql: &[u8],
        parameter_types: &[u8],
    ) -> Result<StatementDescription, BatchError> {
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
        // Guards against a change that is declared as a read, and would then be retried.
        if writes && keyword != "with" && !self.is_write_class(class) {
            return Err(BatchError::WriteInReadClass { keyword });
        }
        let timeout_ms = fields.timeout.as_ref().map_or(self.config.wait_ms, |timeout| timeout.millis);
        Ok(StatementDescription {
            prepared: Arc::new(PreparedStatement {
                sql: sql.to_vec(),
                parameter_types: parameter_types.to_vec(),
                timeout_digits: fields.timeout.map(|timeout| timeout.digits),
            }),
            class,
            group: fields.group.unwrap_or(self.config.group),
            timeout: from_unix_ms(timeout_ms).min(MAX_TIMEOUT),
            required_position: fields.min_position_ms.map(from_unix_ms),
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

    /// Whether requests of the class may take effect any number of times.
    pub fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Combines the statements of a batch into one request, of the strictest class among them.
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
        Ok(ParsedRequest {
            class: strictest.unwrap_or(first).class,
            writes: statements.iter().any(|statement| self.is_write_class(statement.class)),
            group: first.group,
            session: batch.session_key,
            required_position: required_position.max(batch.last_commit),
            is_retry: statements.iter().any(|statement| statement.is_retry),
            // A statement is prepared once, and its id is repeated with every execution.
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

/// How strict a class is: first by how often a request may take effect, then by what it requires of a member.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Strictness {
    idempotency: u8,
    requirement: u8,
}
