//! Parses what the proxy needs of a statement's text: the fields of its comment, its key and its first
//! keyword. The rest of the text is forwarded unchanged.

mod validate;

use crate::stable_hash::stable_hash;
use std::ops::Range;
pub use validate::{StatementError, validate};

/// The names of the comment's fields.
mod field_names {
    pub const ID: &[u8] = b"id";
    pub const CLASS: &[u8] = b"c";
    pub const TIMEOUT: &[u8] = b"d";
    pub const GROUP: &[u8] = b"cluster";
    pub const MIN_POSITION: &[u8] = b"after";
    pub const RETRY: &[u8] = b"r";
    pub const IDEMPOTENCY_KEY: &[u8] = b"k";
}

/// The maximum length of the result of [`first_keyword`].
const MAX_KEYWORD_BYTES: usize = 32;
/// The maximum number of digits of a key that is read as a hexadecimal number of 64 bits.
const MAX_HEXADECIMAL_DIGITS: usize = 16;
const LINE_COMMENT: &[u8] = b"--";
const COMMENT_START: &[u8] = b"/*";
const COMMENT_END: &[u8] = b"*/";

/// How long the client waits for the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeout {
    /// The timeout in milliseconds.
    pub millis: u64,
    /// The byte range of the timeout's digits in the statement.
    pub digits: Range<usize>,
}

/// The fields of a statement, as written in its text. Fields that are missing or malformed are unset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementFields<'a> {
    /// `c`: the name of the request class.
    pub class: Option<&'a [u8]>,
    /// `d`: how long the client waits for the response.
    pub timeout: Option<Timeout>,
    /// `cluster`: the number of the group that stores the data.
    pub group: Option<u32>,
    /// `after`: the commit position that a read must see, as Unix time in milliseconds.
    pub min_position_ms: Option<u64>,
    /// `r`: whether the client marked the statement as a retry, by `r=1`.
    pub is_retry: bool,
    /// `id`: the id that the client gave the request.
    pub id: Option<&'a [u8]>,
    /// `k`: whether the statement has an idempotency key, by which members recognize a repeat.
    pub has_idempotency_key: bool,
    /// The text of the first literal in single quotes, which identifies the session.
    pub key: Option<&'a [u8]>,
}

/// Parses a decimal number without a sign. Returns `None` if the text is empty, contains anything but
/// digits, or exceeds 64 bits.
pub fn parse_number(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Parses the fields of a statement. Literals are recognized too, so that text within a literal does not
/// count as a comment.
pub fn parse_fields(text: &[u8]) -> StatementFields<'_> {
    let mut fields = StatementFields::default();
    let mut at = 0;
    while at < text.len() {
        match text[at] {
            quote @ (b'\'' | b'"') => {
                let start = at + 1;
                let end = (start..text.len()).find(|end| text[*end] == quote).unwrap_or(text.len());
                if quote == b'\'' && fields.key.is_none() {
                    fields.key = text.get(start..end);
                }
                at = end + 1;
            }
            b'/' if text[at..].starts_with(COMMENT_START) => {
                let start = at + COMMENT_START.len();
                let end = (start..text.len()).find(|end| text[*end..].starts_with(COMMENT_END));
                let end = end.unwrap_or(text.len());
                fields.parse_comment(text, start..end);
                at = end + COMMENT_END.len();
            }
            _ => at += 1,
        }
    }
    fields
}

impl<'a> StatementFields<'a> {
    fn parse_comment(&mut self, text: &'a [u8], comment: Range<usize>) {
        let mut next_pair_start = comment.start;
        for pair in text[comment].split(|byte| *byte == b',') {
            let pair_start = next_pair_start;
            next_pair_start += pair.len() + 1;
            let Some(equals) = pair.iter().position(|byte| *byte == b'=') else { continue };
            let name = pair[..equals].trim_ascii();
            let untrimmed = &pair[equals + 1..];
            let value = untrimmed.trim_ascii();
            let blanks = untrimmed.len() - untrimmed.trim_ascii_start().len();
            let value_start = pair_start + equals + 1 + blanks;
            self.set_field(name, value, value_start..value_start + value.len());
        }
    }

    fn set_field(&mut self, name: &[u8], value: &'a [u8], value_range: Range<usize>) {
        match name {
            field_names::ID => self.id = Some(value),
            field_names::CLASS => self.class = Some(value),
            field_names::TIMEOUT => {
                self.timeout = parse_number(value).map(|millis| Timeout { millis, digits: value_range });
            }
            field_names::GROUP => {
                self.group = parse_number(value).and_then(|group| u32::try_from(group).ok());
            }
            field_names::MIN_POSITION => self.min_position_ms = parse_number(value),
            field_names::RETRY => self.is_retry = value == b"1",
            field_names::IDEMPOTENCY_KEY => self.has_idempotency_key = !value.is_empty(),
            _ => {}
        }
    }
}

/// The index after the comment that starts at `at`; `None` if none starts there. A comment without an end
/// extends to the end of the text.
fn comment_end(text: &[u8], at: usize) -> Option<usize> {
    let rest = &text[at..];
    if rest.starts_with(LINE_COMMENT) {
        let line_break = rest.iter().position(|byte| *byte == b'\n');
        return Some(line_break.map_or(text.len(), |length| at + length + 1));
    }
    if !rest.starts_with(COMMENT_START) {
        return None;
    }
    let body = &rest[COMMENT_START.len()..];
    let length = body.windows(COMMENT_END.len()).position(|window| window == COMMENT_END);
    Some(length.map_or(text.len(), |length| at + COMMENT_START.len() + length + COMMENT_END.len()))
}

/// The first word of a statement in lower case. Comments, whitespace and opening parentheses before it are
/// skipped. Empty if the statement does not begin with a letter or a digit.
pub fn first_keyword(text: &[u8]) -> String {
    let mut at = 0;
    while at < text.len() {
        match comment_end(text, at) {
            Some(end) => at = end,
            None if text[at].is_ascii_whitespace() || text[at] == b'(' => at += 1,
            None => break,
        }
    }
    let word = text[at..].iter().take_while(|byte| byte.is_ascii_alphanumeric()).take(MAX_KEYWORD_BYTES);
    word.map(|byte| char::from(byte.to_ascii_lowercase())).collect()
}

/// Whether anything but whitespace and comments follows a semicolon outside of literals.
pub fn has_several_statements(text: &[u8]) -> bool {
    let mut at = 0;
    let mut ended = false;
    while at < text.len() {
        if let Some(end) = comment_end(text, at) {
            at = end;
            continue;
        }
        match text[at] {
            b';' => ended = true,
            byte if byte.is_ascii_whitespace() => {}
            _ if ended => return true,
            quote @ (b'\'' | b'"') => {
                let end = text[at + 1..].iter().position(|byte| *byte == quote);
                at += end.map_or(text.len(), |length| length + 1);
            }
            _ => {}
        }
        at += 1;
    }
    false
}

/// The id of the session that a key identifies: the key's value as a hexadecimal number, or a hash of the
/// key if it is not a number of at most 64 bits. Never 0, which stands for no session.
pub fn session_id(key: &[u8]) -> u64 {
    let text = std::str::from_utf8(key).ok().filter(|text| text.len() <= MAX_HEXADECIMAL_DIGITS);
    let number = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    number.unwrap_or_else(|| stable_hash(key)).max(1)
}

#[cfg(test)]
mod tests;
