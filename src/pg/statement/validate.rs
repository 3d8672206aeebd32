//! Checks that members can parse a statement of the platform's protocol.

use super::{COMMENT_END, COMMENT_START, LINE_COMMENT, field_names, parse_number};
use std::fmt;
use std::ops::Range;

/// The reason for which a statement is rejected. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementError {
    /// The statement contains control characters other than whitespace.
    ControlCharacters,
    /// A literal has no closing quote.
    UnterminatedLiteral,
    /// A comment has no end.
    UnterminatedComment,
    /// The statement contains more than one comment.
    SeveralComments,
    /// The statement contains a semicolon.
    Semicolon,
    /// Anything but whitespace follows the comment.
    TextAfterComment,
    /// The statement contains a `--` comment, which extends to the end of the line.
    LineComment,
    /// The statement contains no comment.
    NoComment,
    /// A part of the comment is not a pair of a name and a value, joined by `=`.
    NameWithoutValue,
    /// The comment contains the name of a known field twice.
    DuplicateName,
    /// The value of a numeric field in the comment is not a number.
    NotANumber,
}

impl StatementError {
    /// The text that is sent to the client.
    pub fn message(self) -> &'static str {
        match self {
            StatementError::ControlCharacters => "control characters in the statement",
            StatementError::UnterminatedLiteral => "a literal without an end",
            StatementError::UnterminatedComment => "a comment without an end",
            StatementError::SeveralComments => "more than one comment",
            StatementError::Semicolon => "one statement a query, without a semicolon",
            StatementError::TextAfterComment => "something behind the comment",
            StatementError::LineComment => "a comment of another kind",
            StatementError::NoComment => "a statement without a comment",
            StatementError::NameWithoutValue => "a name without a value in the comment",
            StatementError::DuplicateName => "a name twice in the comment",
            StatementError::NotANumber => "a value that is no number in the comment",
        }
    }
}

impl fmt::Display for StatementError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.message())
    }
}

impl std::error::Error for StatementError {}

/// Checks that a text is a single statement with a single comment, which is at its end and can be parsed.
/// Other texts are rejected, because a member that receives one closes the connection, and other requests on
/// the connection fail with it.
pub fn validate(text: &[u8]) -> Result<(), StatementError> {
    if text.iter().any(|byte| byte.is_ascii_control() && !byte.is_ascii_whitespace()) {
        return Err(StatementError::ControlCharacters);
    }
    let comment = find_comment(text)?;
    validate_comment(&text[comment])
}

/// The byte range between the delimiters of the statement's only comment.
fn find_comment(text: &[u8]) -> Result<Range<usize>, StatementError> {
    let mut comment = None;
    let mut at = 0;
    while at < text.len() {
        match text[at] {
            quote @ (b'\'' | b'"') => {
                let length = text[at + 1..].iter().position(|byte| *byte == quote);
                at += length.ok_or(StatementError::UnterminatedLiteral)? + 1;
            }
            b'/' if text[at..].starts_with(COMMENT_START) => {
                let start = at + COMMENT_START.len();
                let length = text[start..].windows(COMMENT_END.len()).position(|end| end == COMMENT_END);
                let end = start + length.ok_or(StatementError::UnterminatedComment)?;
                if comment.replace(start..end).is_some() {
                    return Err(StatementError::SeveralComments);
                }
                // The increment below skips the last byte of the comment's end.
                at = end + COMMENT_END.len() - 1;
            }
            b';' => return Err(StatementError::Semicolon),
            byte if comment.is_some() && !byte.is_ascii_whitespace() => {
                return Err(StatementError::TextAfterComment);
            }
            b'-' if text[at..].starts_with(LINE_COMMENT) => return Err(StatementError::LineComment),
            _ => {}
        }
        at += 1;
    }
    comment.ok_or(StatementError::NoComment)
}

fn validate_comment(comment: &[u8]) -> Result<(), StatementError> {
    use field_names::{CLASS, GROUP, ID, MIN_POSITION, RETRY, TIMEOUT};
    let mut names = Vec::new();
    for pair in comment.split(|byte| *byte == b',') {
        let equals = pair.iter().position(|byte| *byte == b'=');
        let equals = equals.ok_or(StatementError::NameWithoutValue)?;
        let name = pair[..equals].trim_ascii();
        let value = pair[equals + 1..].trim_ascii();
        let is_known = matches!(name, ID | CLASS | TIMEOUT | GROUP | MIN_POSITION | RETRY);
        if is_known && names.contains(&name) {
            return Err(StatementError::DuplicateName);
        }
        let is_numeric = matches!(name, TIMEOUT | GROUP | MIN_POSITION | RETRY);
        if is_numeric && parse_number(value).is_none() {
            return Err(StatementError::NotANumber);
        }
        names.push(name);
    }
    Ok(())
}
