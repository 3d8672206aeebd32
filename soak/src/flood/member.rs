//! A member that serves simple and extended queries after a short time, and never those of a hanging name.

use super::messages::HANGING_NAME;
use crate::wire::{message, read_body, read_message};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a member takes for a statement.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// The description of a row with one text column.
const COLUMN: &[u8] = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
/// A row with one value.
const ROW: &[u8] = b"\0\x01\0\0\0\x05value";

/// Starts a member, which runs until the process ends. Returns its address.
pub fn start(primary: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream, primary));
        }
    });
    Ok(address)
}

/// Serves one connection until it breaks.
fn serve(mut stream: TcpStream, primary: bool) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    read_body(&mut stream)?;
    let mut out = [message(b'R', &[0; 4]), message(b'Z', b"I")].concat();
    loop {
        stream.write_all(&out)?;
        out.clear();
        loop {
            let (tag, body) = read_message(&mut stream)?;
            if !append_reply(&mut out, tag, &body) {
                // The answer never comes: the connection stays open until the proxy closes it.
                read_message(&mut stream)?;
            }
            if matches!(tag, b'Q' | b'S') {
                append_ready(&mut out, primary);
            }
            if matches!(tag, b'Q' | b'S' | b'H') {
                break;
            }
        }
    }
}

/// Appends the reply to a message; `false` if the message is never answered.
fn append_reply(out: &mut Vec<u8>, tag: u8, body: &[u8]) -> bool {
    match tag {
        b'Q' if body == b"\0" => out.extend(message(b'I', b"")),
        b'Q' if body.windows(HANGING_NAME.len()).any(|part| part == HANGING_NAME.as_bytes()) => return false,
        b'Q' | b'E' => {
            std::thread::sleep(SERVICE_TIME);
            if tag == b'Q' {
                out.extend(message(b'T', COLUMN));
            }
            out.extend([message(b'D', ROW), message(b'C', b"DONE\0")].concat());
        }
        b'P' => out.extend(message(b'1', b"")),
        b'B' => out.extend(message(b'2', b"")),
        b'D' => {
            if body.first() == Some(&b'S') {
                out.extend(message(b't', &[0, 0]));
            }
            out.extend(message(b'n', b""));
        }
        b'C' => out.extend(message(b'3', b"")),
        _ => {}
    }
    true
}

fn append_ready(out: &mut Vec<u8>, primary: bool) {
    let position = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let recovery = if primary { "off" } else { "on" };
    out.extend(message(b'S', format!("recovery\0{recovery}\0").as_bytes()));
    out.extend(message(b'S', format!("lsn_ms\0{position}\0").as_bytes()));
    out.extend(message(b'Z', b"I"));
}
