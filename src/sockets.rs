//! Functions for TCP sockets that several modules share.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long the previous process may keep an address bound.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay between two attempts to bind it.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens at an address. Guards against a failed start where the previous process is still shutting down.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            result => return result,
        }
    }
}

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
