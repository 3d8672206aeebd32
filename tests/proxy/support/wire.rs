//! Builds and reads messages of the PostgreSQL protocol.

use std::io::Read;

/// Appends a message of this type.
pub fn put_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Reads one message and returns its type and body; `None` at the end of the stream or after an error.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Returns the zero-terminated string at the start of a body, and the bytes after it.
pub fn split_c_string(body: &[u8]) -> (String, &[u8]) {
    let end = body.iter().position(|byte| *byte == 0).unwrap_or(body.len());
    (String::from_utf8_lossy(&body[..end]).into(), body.get(end + 1..).unwrap_or_default())
}

/// Returns the startup message of a client.
pub fn startup_message() -> Vec<u8> {
    let text = b"user\0web\0database\0orders\0\0";
    [&(text.len() as u32 + 8).to_be_bytes()[..], &[0, 3, 0, 0], text].concat()
}

/// Returns a cancel request for the connection with this body of its BackendKeyData message.
pub fn cancel_request(backend_key: &[u8]) -> Vec<u8> {
    [&[0, 0, 0, 16, 4, 210, 22, 46][..], backend_key].concat()
}

/// Returns a Query message with this text.
pub fn simple_query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

/// Returns the text of a read in the class `any` with a timeout of 900 ms.
pub fn read_query(id: u32) -> String {
    format!(
        "SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' /* id={id:x},c=any,d=900,cluster=2 */"
    )
}

/// Returns the text of a write with this timeout.
pub fn write_query(id: u32, timeout_ms: u32) -> String {
    format!("INSERT INTO entries VALUES ('7f', '\\x9f') /* id={id:x},c=write,d={timeout_ms},cluster=2 */")
}

/// Returns the messages of an extended query from a short notation, in which `|` separates the messages:
/// `P name sql`, `B portal name parameter`, `E portal`, `DS name`, `DP portal`, `CS name`, `CP portal`, `H`
/// and `S`. The name `-` stands for the unnamed statement or portal.
pub fn extended_messages(script: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for part in script.split('|').map(str::trim) {
        let mut words = part.splitn(3, ' ');
        let kind = words.next().unwrap();
        let name = unnamed_if_dash(words.next().unwrap_or(""));
        let rest = words.next().unwrap_or("");
        match kind {
            "P" => put_message(&mut out, b'P', format!("{name}\0{rest}\0\0\0").as_bytes()),
            "B" => put_message(&mut out, b'B', &bind_body(name, rest)),
            "E" => put_message(&mut out, b'E', format!("{name}\0\0\0\0\0").as_bytes()),
            "DS" | "DP" | "CS" | "CP" => {
                put_message(&mut out, kind.as_bytes()[0], format!("{}{name}\0", &kind[1..]).as_bytes());
            }
            _ => put_message(&mut out, kind.as_bytes()[0], &[]),
        }
    }
    out
}

/// Returns a Parse message with this many parameter types.
pub fn parse_with_types(name: &str, count: u16) -> Vec<u8> {
    let mut body = format!("{name}\0SELECT payload FROM entries /* c=any,d=900 */\0").into_bytes();
    body.extend(count.to_be_bytes());
    body.resize(body.len() + 4 * usize::from(count), 0);
    let mut out = Vec::new();
    put_message(&mut out, b'P', &body);
    out
}

/// Returns the body of a Bind message with one text parameter, by default `7f`.
fn bind_body(portal: &str, statement_and_value: &str) -> Vec<u8> {
    let (statement, value) = statement_and_value.split_once(' ').unwrap_or((statement_and_value, "7f"));
    let statement = unnamed_if_dash(statement);
    let mut body = format!("{portal}\0{statement}\0\0\0\0\x01").into_bytes();
    body.extend((value.len() as u32).to_be_bytes());
    body.extend(value.as_bytes());
    body.extend([0, 0]);
    body
}

fn unnamed_if_dash(name: &str) -> &str {
    if name == "-" { "" } else { name }
}
