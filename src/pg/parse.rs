//! Parses the bodies of messages.

use super::HEADER_BYTES;
use super::message_tags::{backend, error_fields, transaction_status};

/// The length of a column's description in a RowDescription after the column's name.
const COLUMN_DESCRIPTION_BYTES: usize = 18;
/// The length of a parameter's type number in a ParameterDescription.
const TYPE_BYTES: usize = 4;
/// The value of the length field of a NULL in a DataRow.
const NULL_LENGTH: i32 = -1;
const SQLSTATE_BYTES: usize = 5;

/// Returns the body of a message that [`FrameReader`](super::FrameReader) returned.
pub fn message_body(message: &[u8]) -> &[u8] {
    message.get(HEADER_BYTES..).unwrap_or_default()
}

/// Splits off a zero-terminated string. Returns the string and the bytes after its terminator; `None` if
/// there is no terminator.
pub fn split_c_string(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// Returns the first field of this type in the body of an ErrorResponse; `None` if there is none, or if it
/// or a field before it has no terminator.
pub fn error_field(mut body: &[u8], field: u8) -> Option<&[u8]> {
    while let Some((&kind, rest)) = body.split_first()
        && kind != 0
    {
        let (value, rest) = split_c_string(rest)?;
        if kind == field {
            return Some(value);
        }
        body = rest;
    }
    None
}

/// Returns the SQLSTATE in the body of an ErrorResponse or a NoticeResponse; `None` if the body is malformed
/// or contains no valid SQLSTATE.
pub fn error_sqlstate(body: &[u8]) -> Option<&[u8]> {
    let (terminator, mut fields) = body.split_last()?;
    while let Some((_, rest)) = fields.split_first().filter(|(kind, _)| **kind != 0) {
        let (_, next_field) = split_c_string(rest)?;
        fields = next_field;
    }
    if *terminator != 0 || !fields.is_empty() {
        return None;
    }
    let code = error_field(body, error_fields::SQLSTATE)?;
    (code.len() == SQLSTATE_BYTES && code.iter().all(u8::is_ascii_alphanumeric)).then_some(code)
}

/// Returns the value of a DataRow of one column; `None` if the row has another number of columns, or the
/// value is NULL or has a wrong length.
pub fn single_column(body: &[u8]) -> Option<&[u8]> {
    let (head, value) = body.split_at_checked(6)?;
    let length = u32::from_be_bytes([head[2], head[3], head[4], head[5]]) as usize;
    (head[..2] == [0, 1] && value.len() == length).then_some(value)
}

/// Whether the body of a server's message has exactly the form that its type requires.
pub fn is_well_formed(tag: u8, body: &[u8]) -> bool {
    match tag {
        backend::READY_FOR_QUERY => is_transaction_status(body),
        backend::PARSE_COMPLETE
        | backend::BIND_COMPLETE
        | backend::CLOSE_COMPLETE
        | backend::NO_DATA
        | backend::PORTAL_SUSPENDED
        | backend::EMPTY_QUERY_RESPONSE => body.is_empty(),
        backend::COMMAND_COMPLETE => is_command_tag(body),
        backend::ERROR_RESPONSE | backend::NOTICE_RESPONSE => error_sqlstate(body).is_some(),
        backend::PARAMETER_STATUS => is_pair_of_c_strings(body),
        backend::PARAMETER_DESCRIPTION => is_parameter_description(body),
        backend::ROW_DESCRIPTION => is_column_list(body, skip_column_description),
        backend::DATA_ROW => is_column_list(body, skip_value),
        _ => false,
    }
}

fn is_transaction_status(body: &[u8]) -> bool {
    use transaction_status::{FAILED, IDLE, IN_TRANSACTION};
    matches!(body, [IDLE | IN_TRANSACTION | FAILED])
}

fn is_command_tag(body: &[u8]) -> bool {
    let Some((command, rest)) = split_c_string(body) else { return false };
    !command.is_empty() && is_printable(command) && rest.is_empty()
}

fn is_pair_of_c_strings(body: &[u8]) -> bool {
    let second = split_c_string(body).and_then(|(_, rest)| split_c_string(rest));
    second.is_some_and(|(_, rest)| rest.is_empty())
}

fn is_parameter_description(body: &[u8]) -> bool {
    body.split_at_checked(2).is_some_and(|(count, types)| types.len() == TYPE_BYTES * u16_value(count))
}

/// Returns the bytes after the first column of a RowDescription; `None` if the column is malformed.
fn skip_column_description(bytes: &[u8]) -> Option<&[u8]> {
    let (name, rest) = split_c_string(bytes)?;
    is_printable(name).then_some(())?;
    rest.get(COLUMN_DESCRIPTION_BYTES..)
}

/// Returns the bytes after the first value of a DataRow; `None` if the value is malformed.
fn skip_value(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_at_checked(4)?;
    match i32::from_be_bytes([length[0], length[1], length[2], length[3]]) {
        NULL_LENGTH => Some(rest),
        length => rest.get(usize::try_from(length).ok()?..),
    }
}

/// Whether a body consists of a count of 16 bits and that number of columns. `skip_column` returns the bytes
/// after the first column, or `None` if the column is malformed.
fn is_column_list(body: &[u8], skip_column: impl Fn(&[u8]) -> Option<&[u8]>) -> bool {
    let Some((count, mut columns)) = body.split_at_checked(2) else { return false };
    for _ in 0..u16_value(count) {
        let Some(next_column) = skip_column(columns) else { return false };
        columns = next_column;
    }
    columns.is_empty()
}

fn is_printable(text: &[u8]) -> bool {
    text.iter().all(|byte| (b' '..=b'~').contains(byte))
}

fn u16_value(bytes: &[u8]) -> usize {
    usize::from(u16::from_be_bytes([bytes[0], bytes[1]]))
}
