//! Builds the messages that the proxy sends.

use super::message_tags::{backend, error_fields, frontend, transaction_status};

/// Protocol version 3.0, as encoded in a startup message.
const PROTOCOL_VERSION: u32 = 196_608;
/// The body of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The server parameters that are reported to clients when they connect.
const SERVER_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0 (liftrelay)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Appends a message of type `tag` whose body is the concatenation of `parts`.
pub fn put_message(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.push(tag);
    out.extend((length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

/// Appends an ErrorResponse. The detail field is the retry delay in milliseconds, `retry_after_ms`, if there
/// is one. Zero bytes are removed from `text`, because a zero ends a field.
pub fn put_error_response(
    out: &mut Vec<u8>,
    severity: &str,
    sqlstate: &str,
    text: &str,
    retry_after_ms: Option<u64>,
) {
    let text = text.replace('\0', "");
    let mut fields = Vec::new();
    put_error_field(&mut fields, error_fields::SEVERITY, severity);
    put_error_field(&mut fields, error_fields::SEVERITY_UNTRANSLATED, severity);
    put_error_field(&mut fields, error_fields::SQLSTATE, sqlstate);
    put_error_field(&mut fields, error_fields::MESSAGE, &text);
    if let Some(milliseconds) = retry_after_ms {
        put_error_field(&mut fields, error_fields::DETAIL, &milliseconds.to_string());
    }
    put_message(out, backend::ERROR_RESPONSE, &[&fields, &[0]]);
}

fn put_error_field(fields: &mut Vec<u8>, kind: u8, value: &str) {
    fields.push(kind);
    fields.extend_from_slice(value.as_bytes());
    fields.push(0);
}

/// Appends a ReadyForQuery with the status of a connection outside of any transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, backend::READY_FOR_QUERY, &[&[transaction_status::IDLE]]);
}

/// Appends the replies to a startup message, from AuthenticationOk to ReadyForQuery. `process` and `secret`
/// are the key for cancel requests.
pub fn put_startup_response(out: &mut Vec<u8>, process: u32, secret: u32) {
    put_message(out, backend::AUTHENTICATION, &[&AUTHENTICATION_OK]);
    for (name, value) in SERVER_PARAMETERS {
        put_message(out, backend::PARAMETER_STATUS, &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
    }
    put_message(out, backend::BACKEND_KEY_DATA, &[&process.to_be_bytes(), &secret.to_be_bytes()]);
    put_ready_for_query(out);
}

/// Returns the startup message that opens a connection to a member.
pub fn startup_message(user: &str, database: &str) -> Vec<u8> {
    let parameters = format!("user\0{user}\0database\0{database}\0\0");
    let length = 8 + parameters.len();
    let mut message = (length as u32).to_be_bytes().to_vec();
    message.extend(PROTOCOL_VERSION.to_be_bytes());
    message.extend(parameters.as_bytes());
    message
}

/// Returns a Query message whose text is the concatenation of `parts`.
pub fn query_message(parts: &[&[u8]]) -> Vec<u8> {
    let mut body = parts.to_vec();
    body.push(&[0]);
    let mut message = Vec::new();
    put_message(&mut message, frontend::QUERY, &body);
    message
}
