//! Opening a connection to a member, up to its first ReadyForQuery.

use crate::Outcome;
use crate::pg::message_tags::backend;
use crate::pg::{self, FrameReader};
use rustix::io::Errno;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The user and the database that the startup message names.
const USER: &str = "web";
const DATABASE: &str = "orders";

/// A connection that has reached the member, with the bytes read from it.
pub(super) struct OpenConnection {
    /// The socket, shared with the owner that may cut the connection.
    pub(super) stream: Arc<TcpStream>,
    /// Bytes that have arrived but are not parsed yet.
    pub(super) frames: FrameReader,
}

impl OpenConnection {
    /// Reads once; `false` at the end of the stream.
    pub(super) fn fill(&mut self) -> std::io::Result<bool> {
        self.frames.fill(&*self.stream)
    }
}

/// Why a connection could not be opened.
pub(super) enum ConnectError {
    /// The socket could not be opened or connected.
    Socket(std::io::Error),
    /// The connection broke, was silent for too long or violated the protocol before ReadyForQuery.
    Handshake,
    /// The member rejected the connection with this SQLSTATE, if it is a well formed one.
    Rejected(Option<Vec<u8>>),
}

impl ConnectError {
    /// The outcome of an attempt that fails with this error.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            ConnectError::Socket(error) if out_of_descriptors(error) => Outcome::NeverSent,
            ConnectError::Rejected(Some(code)) if code == pg::sqlstate::TOO_MANY_CONNECTIONS.as_bytes() => {
                Outcome::Full
            }
            _ => Outcome::ConnectFailed,
        }
    }
}

/// Guards against counting the proxy's own lack of descriptors as the member's fault.
fn out_of_descriptors(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno == Some(Errno::NFILE) || errno == Some(Errno::MFILE)
}

/// Connects to a member and waits until it is ready for queries, `timeout` at most for both together.
pub(super) fn connect(address: SocketAddr, timeout: Duration) -> Result<OpenConnection, ConnectError> {
    let deadline = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout).map_err(ConnectError::Socket)?;
    let _ = stream.set_nodelay(true);
    (&stream).write_all(&pg::startup_message(USER, DATABASE)).map_err(|_| ConnectError::Handshake)?;
    let mut frames = FrameReader::default();
    await_ready(&stream, &mut frames, deadline)?;
    stream.set_read_timeout(None).map_err(|_| ConnectError::Handshake)?;
    Ok(OpenConnection { stream: Arc::new(stream), frames })
}

/// Reads the replies to the startup message, up to ReadyForQuery.
fn await_ready(stream: &TcpStream, frames: &mut FrameReader, deadline: Instant) -> Result<(), ConnectError> {
    loop {
        match frames.next_reply().map_err(|_| ConnectError::Handshake)? {
            Some((backend::READY_FOR_QUERY, _)) => break,
            Some((backend::ERROR_RESPONSE, message)) => {
                let code = pg::error_sqlstate(pg::message_body(message)).map(<[u8]>::to_vec);
                return Err(ConnectError::Rejected(code));
            }
            Some(_) => {}
            None => {
                if !fill_before(deadline, stream, frames) {
                    return Err(ConnectError::Handshake);
                }
            }
        }
    }
    // Bytes after ReadyForQuery belong to no reply.
    if frames.buffered().is_empty() { Ok(()) } else { Err(ConnectError::Handshake) }
}

/// Reads once; `false` if nothing arrives before the deadline or the connection ends. Leaves the read timeout
/// set.
pub(super) fn fill_before(deadline: Instant, stream: &TcpStream, frames: &mut FrameReader) -> bool {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
        return false;
    }
    matches!(frames.fill(stream), Ok(true))
}
