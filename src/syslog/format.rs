//! Formats messages according to RFC 5424.

use std::sync::atomic::{AtomicU64, Ordering};
use tracing::Level;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};

/// The longest message, in bytes. RFC 5424 says that every receiver should accept messages of this length.
pub const MAX_MESSAGE_BYTES: usize = 2048;
/// The longest structured data, in bytes. The rest of a message is left for the header and the text.
pub const MAX_DATA_BYTES: usize = 1024;
/// The length, in bytes, from which on a value of structured data is truncated.
const MAX_VALUE_BYTES: usize = 256;
/// The longest host name, in characters.
const MAX_HOST_CHARS: usize = 255;
/// The longest message id and parameter name, in characters.
const MAX_NAME_CHARS: usize = 32;
/// The highest sequence id. The next one after it is 1.
const MAX_SEQUENCE_ID: u64 = 2_147_483_647;
/// The identifier of this program's own structured data. It contains the enterprise number 32473, which is
/// reserved for examples, because the project has none of its own.
const DATA_ID: &str = "liftrelay@32473";
const APPLICATION: &str = "liftrelay";
/// The value of a header field that has none.
const NIL: &str = "-";
/// The number of severities. A priority is the facility times this, plus the severity.
const SEVERITIES: u8 = 8;
const BYTE_ORDER_MARK: char = '\u{feff}';

/// The severity of a message.
#[derive(Clone, Copy)]
enum Severity {
    Error = 3,
    Warning = 4,
    Informational = 6,
    Debug = 7,
}

impl From<Level> for Severity {
    fn from(level: Level) -> Self {
        match level {
            Level::ERROR => Severity::Error,
            Level::WARN => Severity::Warning,
            Level::INFO => Severity::Informational,
            _ => Severity::Debug,
        }
    }
}

/// A parameter of structured data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The name.
    pub name: String,
    /// The value, not escaped.
    pub value: String,
}

impl Parameter {
    /// Creates a parameter.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Parameter { name: name.into(), value: value.into() }
    }
}

/// Formats and numbers the messages of this process.
pub struct Formatter {
    host: String,
    facility: u8,
    sequence: AtomicU64,
}

impl Formatter {
    /// Creates a formatter for messages of this host and facility.
    pub fn new(host: &str, facility: u8) -> Self {
        let host = sanitize_name(host.trim(), MAX_HOST_CHARS);
        Formatter { host, facility, sequence: AtomicU64::new(0) }
    }

    /// Returns a complete message. Structured data and text are truncated to their maximum lengths.
    pub fn format(&self, level: Level, message_id: &str, parameters: &[Parameter], text: &str) -> String {
        let priority = self.facility * SEVERITIES + Severity::from(level) as u8;
        let timestamp = timestamp();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) % MAX_SEQUENCE_ID + 1;
        let mut message = format!(
            "<{priority}>1 {timestamp} {} {APPLICATION} {} {} [meta sequenceId=\"{sequence}\"]",
            self.host,
            std::process::id(),
            sanitize_name(message_id, MAX_NAME_CHARS),
        );
        message.push_str(&structured_data(parameters));
        message.push(' ');
        if !text.is_ascii() {
            message.push(BYTE_ORDER_MARK);
        }
        message.extend(text.chars().map(blank_control));
        truncate(&mut message, MAX_MESSAGE_BYTES);
        message
    }

    /// Returns a notice with the number of messages that were dropped before it.
    pub fn dropped_notice(&self, dropped: u64) -> String {
        let parameters = [Parameter::new("dropped", dropped.to_string())];
        self.format(Level::WARN, "syslog", &parameters, "messages were dropped")
    }
}

fn timestamp() -> String {
    let mut text = String::new();
    match SystemTime.format_time(&mut Writer::new(&mut text)) {
        Ok(()) => text,
        Err(_) => NIL.into(),
    }
}

/// Replaces a control character by a blank.
fn blank_control(character: char) -> char {
    if character.is_control() { ' ' } else { character }
}

/// Truncates a text to at most `max_bytes`, between two characters.
fn truncate(text: &mut String, max_bytes: usize) {
    if text.len() > max_bytes {
        let end = (0..=max_bytes).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
        text.truncate(end);
    }
}

/// Returns a valid name for a header field or a parameter: printable ASCII without `=`, `]`, quotes and
/// blanks, or `-` if no character is left.
pub fn sanitize_name(text: &str, max_chars: usize) -> String {
    let allowed = |c: &char| c.is_ascii_graphic() && !matches!(c, '=' | ']' | '"');
    let name: String = text.chars().filter(allowed).take(max_chars).collect();
    if name.is_empty() { NIL.into() } else { name }
}

/// Returns the parameters as one element; empty if there are none. Truncates a value that is too long, and
/// leaves out a parameter that does not fit any more.
pub fn structured_data(parameters: &[Parameter]) -> String {
    // The limit includes the 2 brackets.
    let max_bytes = MAX_DATA_BYTES - DATA_ID.len() - 2;
    let mut formatted = String::new();
    for Parameter { name, value } in parameters {
        let name = sanitize_name(name, MAX_NAME_CHARS);
        let parameter = format!(" {name}=\"{}\"", escape_value(value));
        if formatted.len() + parameter.len() <= max_bytes {
            formatted.push_str(&parameter);
        }
    }
    if formatted.is_empty() { formatted } else { format!("[{DATA_ID}{formatted}]") }
}

fn escape_value(value: &str) -> String {
    let mut escaped = String::new();
    for character in value.chars() {
        if matches!(character, '"' | '\\' | ']') {
            escaped.push('\\');
        }
        escaped.push(blank_control(character));
        if escaped.len() >= MAX_VALUE_BYTES {
            break;
        }
    }
    escaped
}
