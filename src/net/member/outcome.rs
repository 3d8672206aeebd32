//! The classification of errors from a member by their SQLSTATE.

use crate::{Outcome, pg};

/// The SQLSTATE read_only_sql_transaction: the reply of a replica that received a write.
const READ_ONLY_SQL_TRANSACTION: &[u8] = b"25006";
/// The SQLSTATE snapshot_too_old: the reply of a replica that is too far behind for a read.
const SNAPSHOT_TOO_OLD: &[u8] = b"72000";
/// The SQLSTATE invalid_sql_statement_name: the reply of a member that does not have a prepared statement.
pub(super) const INVALID_SQL_STATEMENT_NAME: &[u8] = b"26000";

/// The SQLSTATE classes of errors that are caused by the statement.
const STATEMENT_ERROR_CLASSES: [&[u8]; 10] = [
    b"0A", // feature not supported
    b"21", // cardinality violation
    b"22", // data exception
    b"23", // integrity constraint violation
    b"24", // invalid cursor state
    b"28", // invalid authorization specification
    b"34", // invalid cursor name
    b"42", // syntax error or access rule violation
    b"44", // WITH CHECK OPTION violation
    b"P0", // PL/pgSQL error
];

/// The outcome of an attempt whose reply is complete. `error` is the SQLSTATE of the reply's error, if there
/// is one. An error that is caused by the statement counts neither for nor against the member.
pub(super) fn outcome_of_reply(error: Option<&[u8]>) -> Outcome {
    match error {
        None => Outcome::Ok,
        Some(code) if is_due_to_statement(code) => Outcome::NeverSent,
        Some(code) => outcome_of_error(code),
    }
}

/// The outcome of an attempt that failed with this SQLSTATE, whether or not the statement caused the error.
pub(super) fn outcome_of_error(code: &[u8]) -> Outcome {
    if code == READ_ONLY_SQL_TRANSACTION || code == SNAPSHOT_TOO_OLD {
        Outcome::NotServable
    } else if code == pg::sqlstate::TOO_MANY_CONNECTIONS.as_bytes() {
        Outcome::RejectedByMember
    } else {
        Outcome::Error
    }
}

/// Whether an error is caused by the statement and not by the member: an error in protocol, syntax, names,
/// data, constraints or permissions. Every member would reply with the same error, so it is the response to
/// the client.
fn is_due_to_statement(code: &[u8]) -> bool {
    let class = code.get(..2).unwrap_or_default();
    code == pg::sqlstate::PROTOCOL_VIOLATION.as_bytes() || STATEMENT_ERROR_CLASSES.contains(&class)
}
