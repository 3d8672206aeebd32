//! Checks of a TCP stream that several modules share.

use std::io::ErrorKind;
use std::net::TcpStream;

/// Whether an idle connection can't be used any more: the peer has closed it, or has sent unexpected
/// bytes.
pub fn closed_by_peer(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let quiet = matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_err() || !quiet
}
