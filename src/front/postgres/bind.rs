//! Parses the arguments of a Bind message.

/// The length field that encodes a NULL.
const NULL_LENGTH: i32 = -1;
/// The length of a format code.
const FORMAT_BYTES: usize = 2;

/// Parses the part of a Bind message after the names, and returns the parameter values, each `None` for a
/// NULL. Returns `None` for malformed input.
pub fn parse_parameters(arguments: &[u8]) -> Option<Vec<Option<&[u8]>>> {
    let (parameter_formats, rest) = split_u16(arguments)?;
    let rest = rest.get(FORMAT_BYTES * parameter_formats..)?;
    let (count, mut rest) = split_u16(rest)?;
    let mut values = Vec::new();
    for _ in 0..count {
        let (value, next) = split_value(rest)?;
        values.push(value);
        rest = next;
    }
    let (result_formats, rest) = split_u16(rest)?;
    (rest.len() == FORMAT_BYTES * result_formats).then_some(values)
}

fn split_u16(bytes: &[u8]) -> Option<(usize, &[u8])> {
    let (head, rest) = bytes.split_first_chunk()?;
    Some((usize::from(u16::from_be_bytes(*head)), rest))
}

/// Splits off a length and a value; returns the value, `None` for a NULL, and the bytes after it.
fn split_value(bytes: &[u8]) -> Option<(Option<&[u8]>, &[u8])> {
    let (head, rest) = bytes.split_first_chunk()?;
    let length = i32::from_be_bytes(*head);
    if length == NULL_LENGTH {
        return Some((None, rest));
    }
    let (value, rest) = rest.split_at_checked(usize::try_from(length).ok()?)?;
    Some((Some(value), rest))
}
