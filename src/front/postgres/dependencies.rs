//! Finds the prepared statements that a batch depends on.

use crate::client::ClientBatch;
use crate::pg;
use crate::pg::message_tags::{describe_targets, frontend};

/// The names of the statements that a batch prepares, closes, binds or describes. Once the batch itself has
/// prepared the unnamed statement, uses of that are left out: they don't depend on an earlier batch.
pub fn statement_names(batch: &ClientBatch) -> Vec<&[u8]> {
    let mut names = Vec::new();
    let mut prepares_unnamed = false;
    for message in &batch.messages {
        let name = statement_name(message);
        prepares_unnamed |= message.first() == Some(&frontend::PARSE) && name == Some(b"");
        names.extend(name.filter(|name| !name.is_empty() || !prepares_unnamed));
    }
    names
}

/// The name of the statement that a message prepares, closes, binds or describes.
fn statement_name(message: &[u8]) -> Option<&[u8]> {
    let body = pg::message_body(message);
    let starts_with_name = match *message.first()? {
        frontend::PARSE => body,
        frontend::BIND => pg::split_c_string(body)?.1,
        frontend::DESCRIBE | frontend::CLOSE => body.strip_prefix(&[describe_targets::STATEMENT])?,
        _ => return None,
    };
    pg::split_c_string(starts_with_name).map(|(name, _)| name)
}
