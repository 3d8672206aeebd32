//! Functions for TCP sockets that several modules share.

use rustix::io::Errno;
use std::io::{self, Error, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long the previous process may keep an address bound.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay between two attempts to bind it.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Errors of `socket` and `connect` that are this machine's: no descriptor, memory, port or route, a rule of
/// its own firewall, or a signal.
const LOCAL_CONNECT_ERRORS: [Errno; 12] = [
    Errno::ACCESS,
    Errno::ADDRINUSE,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::INTR,
    Errno::MFILE,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::PERM,
];
/// Errors of a call on an open socket that leave it as it was: a signal, or no memory for a moment.
const TRANSIENT_ERRORS: [Errno; 3] = [Errno::INTR, Errno::NOBUFS, Errno::NOMEM];

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

/// Whether opening a connection failed for a reason that says nothing about the peer.
pub fn is_local_connect_error(error: &Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| LOCAL_CONNECT_ERRORS.contains(&errno))
}

/// Whether a call on an open socket failed in a way that leaves the connection as it was.
pub fn is_transient_error(error: &Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
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

/// How often a call on a blocking socket is made again after a lack of memory, and the pause before it.
const MAX_TRANSIENT_ERRORS: u32 = 100;
const TRANSIENT_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Counts the transient errors of one blocking transfer and decides whether the failed call is retried.
#[derive(Default)]
pub struct TransientErrorRetries {
    count: u32,
}

impl TransientErrorRetries {
    /// Whether the call is to be made again after this error; pauses first where memory was lacking.
    pub fn should_retry_after(&mut self, error: &Error) -> bool {
        if error.kind() == ErrorKind::Interrupted {
            return true;
        }
        if !is_transient_error(error) || self.count == MAX_TRANSIENT_ERRORS {
            return false;
        }
        self.count += 1;
        std::thread::sleep(TRANSIENT_ERROR_PAUSE);
        true
    }
}
