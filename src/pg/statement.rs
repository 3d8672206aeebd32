//! What decisions need of a statement: the fields of its comment and its key, as slices of the text. All the
//! rest goes on as the bytes that came.

use crate::stable_hash::stable_hash;
use std::ops::Range;

/// The fields of a statement, as they stand in its text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    /// `c`: the class.
    pub class: Option<&'a [u8]>,
    /// `d`: the milliseconds that the client waits, and where they stand.
    pub wait: Option<(u64, Range<usize>)>,
    /// `cluster`: the group.
    pub group: Option<u32>,
    /// `after`: the position that a read must see, as Unix time in milliseconds.
    pub after: Option<u64>,
    /// `r=1`: a client's retry.
    pub repeat: bool,
    /// `id`.
    pub id: Option<&'a [u8]>,
    /// The first quoted literal.
    pub key: Option<&'a [u8]>,
    /// Where the comment's fields begin and end.
    pub comment: Range<usize>,
}

/// A number without sign that fits.
pub fn number(text: &[u8]) -> Option<u64> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()
}

/// Whether a text is one whole statement whose one comment, at its end, can be read: what members can't read
/// is not sent on, as they would close on it whatever else waits there.
pub fn sound(text: &[u8]) -> Result<(), &'static str> {
    if text.iter().any(|b| b.is_ascii_control() && !b.is_ascii_whitespace()) {
        return Err("control characters in the statement");
    }
    let (mut at, mut comment) = (0, None);
    while at < text.len() {
        match text[at] {
            quote @ (b'\'' | b'"') => {
                let end = text[at + 1..].iter().position(|b| *b == quote);
                at += end.ok_or("a literal without an end")? + 1;
            }
            b'/' if text.get(at + 1) == Some(&b'*') => {
                let end = text[at + 2..].windows(2).position(|w| w == b"*/");
                let end = at + 2 + end.ok_or("a comment without an end")?;
                if comment.replace(at + 2..end).is_some() {
                    return Err("more than one comment");
                }
                at = end + 1;
            }
            b';' => return Err("one statement a query, without a semicolon"),
            b if comment.is_some() && !b.is_ascii_whitespace() => return Err("something behind the comment"),
            b'-' if text.get(at + 1) == Some(&b'-') => return Err("a comment of another kind"),
            _ => {}
        }
        at += 1;
    }
    let comment = comment.ok_or("a statement without a comment")?;
    let mut names = Vec::new();
    for pair in text[comment].split(|b| *b == b',') {
        let mut parts = pair.splitn(2, |b| *b == b'=');
        let name = parts.next().unwrap_or_default().trim_ascii();
        let value = parts.next().ok_or("a name without a value in the comment")?.trim_ascii();
        let known = matches!(name, b"id" | b"c" | b"d" | b"cluster" | b"after" | b"r");
        if known && names.contains(&name) {
            return Err("a name twice in the comment");
        }
        if matches!(name, b"d" | b"cluster" | b"after" | b"r") && number(value).is_none() {
            return Err("a value that is no number in the comment");
        }
        names.push(name);
    }
    Ok(())
}

/// Reads the statement once, left to right: literals first, so that nothing within them passes for a comment.
pub fn fields(text: &[u8]) -> Fields<'_> {
    let mut found = Fields::default();
    let mut at = 0;
    while at < text.len() {
        match text[at] {
            b'\'' | b'"' => {
                let quote = text[at];
                let from = at + 1;
                at = from;
                while at < text.len() && text[at] != quote {
                    at += 1;
                }
                if quote == b'\'' && found.key.is_none() {
                    found.key = text.get(from..at);
                }
                at += 1;
            }
            b'/' if text.get(at + 1) == Some(&b'*') => {
                let from = at + 2;
                let end = (from..text.len()).find(|e| text[*e..].starts_with(b"*/")).unwrap_or(text.len());
                comment(text, from, end, &mut found);
                at = end + 2;
            }
            _ => at += 1,
        }
    }
    found
}

fn comment<'a>(text: &'a [u8], from: usize, end: usize, found: &mut Fields<'a>) {
    found.comment = from..end;
    let mut at = from;
    for pair in text[from..end].split(|b| *b == b',') {
        let start = at;
        at += pair.len() + 1;
        let Some(eq) = pair.iter().position(|b| *b == b'=') else { continue };
        let (name, value) = (pair[..eq].trim_ascii(), pair[eq + 1..].trim_ascii());
        let lead = pair[eq + 1..].len() - pair[eq + 1..].trim_ascii_start().len();
        let value_at = start + eq + 1 + lead;
        match name {
            b"id" => found.id = Some(value),
            b"c" => found.class = Some(value),
            b"d" => found.wait = number(value).map(|d| (d, value_at..value_at + value.len())),
            b"cluster" => found.group = number(value).and_then(|g| u32::try_from(g).ok()),
            b"after" => found.after = number(value),
            b"r" => found.repeat = value == b"1",
            _ => {}
        }
    }
}

/// Steps over what starts at `at` if it is a comment; `None` if it is none.
fn comment_end(text: &[u8], at: usize) -> Option<usize> {
    if text[at..].starts_with(b"--") {
        return Some(text[at..].iter().position(|b| *b == b'\n').map_or(text.len(), |n| at + n + 1));
    }
    text[at..].starts_with(b"/*").then(|| {
        let end = text[at + 2..].windows(2).position(|w| w == b"*/");
        end.map_or(text.len(), |n| at + n + 4)
    })
}

/// The first word in small letters, behind comments and blanks.
pub fn first_word(text: &[u8]) -> String {
    let mut at = 0;
    while at < text.len() {
        match comment_end(text, at) {
            Some(end) => at = end,
            None if text[at].is_ascii_whitespace() || text[at] == b'(' => at += 1,
            None => break,
        }
    }
    let word = text[at..].iter().take_while(|b| b.is_ascii_alphanumeric()).take(32);
    word.map(|b| char::from(b.to_ascii_lowercase())).collect()
}

/// More than one statement: something other than blanks and comments stands behind a semicolon.
pub fn several(text: &[u8]) -> bool {
    let (mut at, mut ended) = (0, false);
    while at < text.len() {
        if let Some(end) = comment_end(text, at) {
            at = end;
            continue;
        }
        match text[at] {
            b';' => ended = true,
            b if b.is_ascii_whitespace() => {}
            _ if ended => return true,
            quote @ (b'\'' | b'"') => {
                at += text[at + 1..].iter().position(|b| *b == quote).map_or(text.len(), |n| n + 1);
            }
            _ => {}
        }
        at += 1;
    }
    false
}

/// The session that a key names: its hexadecimal value, or a hash of it; never 0, which means none.
pub fn session(key: &[u8]) -> u64 {
    let hex = std::str::from_utf8(key).ok().filter(|k| k.len() <= 16);
    hex.and_then(|k| u64::from_str_radix(k, 16).ok()).unwrap_or_else(|| stable_hash(key)).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    const READ: &[u8] = b"SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' \
        /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */";

    #[test]
    fn the_protocols_example_is_read() {
        let f = fields(READ);
        assert_eq!(f.class, Some(&b"basket"[..]));
        let (wait, place) = f.wait.unwrap();
        assert_eq!((wait, &READ[place]), (480, &b"480"[..]));
        assert_eq!((f.group, f.after, f.repeat), (Some(2), Some(1_767_225_600_123), false));
        assert_eq!((f.id, sound(READ)), (Some(&b"9b1f03aa5c7e2d41"[..]), Ok(())));
        assert_eq!(session(f.key.unwrap()), 0x7f3a_9c21_e0b4_d655);
    }

    #[test]
    fn a_literal_cannot_pass_for_a_comment() {
        let f = fields(b"INSERT INTO entries VALUES ('k', '/* c=x,d=9 */') /* c=order,d=1 */");
        assert_eq!(f.class, Some(&b"order"[..]));
        assert_eq!(f.key, Some(&b"k"[..]));
    }

    #[test]
    fn the_first_word_and_further_statements_are_found_behind_comments_and_literals() {
        assert_eq!(first_word(b" -- x\n/* y */ BEGIN;"), "begin");
        assert_eq!(first_word(b"/*"), "");
        assert!(several(b"SELECT 1; SELECT 2") && several(b"SELECT ';' ; x"));
        assert!(!several(b"SELECT ';x' /* ; y */ ; -- z") && !several(b"';") && !several(b""));
    }

    #[test]
    fn what_members_could_not_read_is_not_sound() {
        let whole = b"SELECT 1 /* id=1,d=2 */";
        assert_eq!(sound(whole), Ok(()));
        for cut in 0..whole.len() {
            assert!(sound(&whole[..cut]).is_err(), "cut at {cut}");
        }
        for text in [
            "SELECT 1; SELECT 2 /* id=1 */",
            "SELECT 1 /* id=1 */ /* id=2 */",
            "SELECT 1 /* id=1 */ SELECT 2",
            "SELECT 1 -- x\n /* id=1 */",
            "SELECT 'x /* id=1 */",
            "SELECT 1 /* id=1,id=2 */",
            "SELECT 1 /* id=1,d=-5 */",
            "SELECT 1 /* id=1,after=1e9 */",
            "SELECT 1 /* id=1,cluster=+2 */",
            "SELECT 1 /* id=1,d=99999999999999999999 */",
            "SELECT 1 /* id */",
            "SELECT \x07 /* id=1 */",
        ] {
            assert!(sound(text.as_bytes()).is_err(), "{text}");
        }
    }

    #[test]
    fn what_is_missing_or_cut_stays_unset() {
        for text in [&b""[..], b"/*", b"'", b"/* c", b"/* d=x,cluster=-1 */", b"/* d=99999999999999999999 */"]
        {
            let f = fields(text);
            assert_eq!((f.class, f.wait, f.group), (None, None, None), "{text:?}");
        }
    }
}
