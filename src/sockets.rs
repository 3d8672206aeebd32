//! Functions for TCP sockets that several modules share.

use rustix::io::Errno;
use std::io::{self, Error, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long [`bind`] waits for the previous process to release an address.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay between two attempts to bind an address that is in use.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The most connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Errors of `socket` and `connect` that are caused by this machine and not by the peer: no descriptor,
/// memory, port or route was available, the local firewall forbids the connection, or a signal interrupted
/// the call.
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
/// Errors of a call on an open socket that leave the socket as it was: a signal interrupted the call, or
/// memory was temporarily lacking.
const TRANSIENT_ERRORS: [Errno; 3] = [Errno::INTR, Errno::NOBUFS, Errno::NOMEM];

/// Binds a listener to an address. While the address is in use, retries for [`ADDRESS_IN_USE_TIMEOUT`], so
/// that the proxy can start while the previous process is still shutting down.
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

/// Extends the queue of connections that wait to be accepted to [`ACCEPT_BACKLOG`]. A connection beyond it
/// is dropped without a word, and its client tries again only after a second.
pub fn extend_backlog(listener: &TcpListener) -> io::Result<()> {
    Ok(rustix::net::listen(listener, ACCEPT_BACKLOG)?)
}

/// Whether opening a connection failed because of this machine, which says nothing about the peer.
pub fn is_local_connect_error(error: &Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| LOCAL_CONNECT_ERRORS.contains(&errno))
}

/// Whether a call on an open socket failed with an error after which it can be retried on the same
/// connection.
pub fn is_transient_error(error: &Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
}

/// Whether an idle connection can't be used any more, because the peer has closed it or has sent unexpected
/// bytes.
pub fn closed_by_peer(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let is_idle = matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_err() || !is_idle
}

/// How often one blocking transfer retries calls that failed for lack of memory.
const MAX_TRANSIENT_ERRORS: u32 = 100;
/// The pause before such a retry.
const TRANSIENT_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Counts the transient errors of one blocking transfer and decides whether the failed call is retried.
#[derive(Default)]
pub struct TransientErrorRetries {
    /// The errors for lack of memory; interrupted calls don't count.
    count: u32,
}

impl TransientErrorRetries {
    /// Whether the call should be retried after this error. For a lack of memory, pauses for
    /// [`TRANSIENT_ERROR_PAUSE`] before it returns, and counts the error: after [`MAX_TRANSIENT_ERRORS`] of
    /// them, the transfer has failed.
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
