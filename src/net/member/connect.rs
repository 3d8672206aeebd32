//! Opens a connection to a member, up to the member's first ReadyForQuery.

use crate::Outcome;
use crate::pg::message_tags::backend;
use crate::pg::{self, FrameReader};
use crate::sockets::{is_local_connect_error, is_transient_error};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The user in the startup message.
const USER: &str = "web";
/// The database in the startup message.
const DATABASE: &str = "orders";

/// A connection that the member has accepted, with the bytes read from it.
pub(super) struct OpenConnection {
    /// The socket, shared with the event loop's handle, which may abort the connection.
    pub(super) stream: Arc<TcpStream>,
    /// Received bytes that are not parsed yet.
    pub(super) frames: FrameReader,
}

impl OpenConnection {
    /// Reads from the socket once; returns `false` at the end of the stream.
    pub(super) fn fill(&mut self) -> std::io::Result<bool> {
        self.frames.fill(&*self.stream)
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The socket could not be opened or connected.
    #[error(transparent)]
    Socket(std::io::Error),
    /// The connection broke, or ReadyForQuery did not arrive before the deadline.
    #[error(transparent)]
    Handshake(std::io::Error),
    /// The member violated the protocol before ReadyForQuery.
    #[error("protocol violation")]
    Protocol,
    /// The member rejected the connection with this SQLSTATE; `None` if the error has no well-formed one.
    #[error("rejected by the member")]
    Rejected(Option<Vec<u8>>),
}

impl ConnectError {
    /// The outcome of an attempt that fails with this error.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            ConnectError::Socket(error) if is_local_connect_error(error) => Outcome::LocalError,
            ConnectError::Handshake(error) if is_transient_error(error) => Outcome::LocalError,
            ConnectError::Rejected(Some(code)) if code == pg::sqlstate::TOO_MANY_CONNECTIONS.as_bytes() => {
                Outcome::RejectedByMember
            }
            _ => Outcome::ConnectFailed,
        }
    }
}

/// Connects to a member and waits until the member is ready for queries. Both together take `timeout` at
/// most.
pub(super) fn connect(address: SocketAddr, timeout: Duration) -> Result<OpenConnection, ConnectError> {
    let deadline = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout).map_err(ConnectError::Socket)?;
    let _ = stream.set_nodelay(true);
    (&stream).write_all(&pg::startup_message(USER, DATABASE)).map_err(ConnectError::Handshake)?;
    let mut frames = FrameReader::default();
    await_ready(&stream, &mut frames, deadline)?;
    stream.set_read_timeout(None).map_err(ConnectError::Handshake)?;
    Ok(OpenConnection { stream: Arc::new(stream), frames })
}

/// Reads the replies to the startup message, up to ReadyForQuery.
fn await_ready(stream: &TcpStream, frames: &mut FrameReader, deadline: Instant) -> Result<(), ConnectError> {
    loop {
        match frames.next_reply().map_err(|_| ConnectError::Protocol)? {
            Some((backend::READY_FOR_QUERY, _)) => break,
            Some((backend::ERROR_RESPONSE, message)) => {
                let code = pg::error_sqlstate(pg::message_body(message)).map(<[u8]>::to_vec);
                return Err(ConnectError::Rejected(code));
            }
            Some(_) => {}
            None => fill_before(deadline, stream, frames).map_err(ConnectError::Handshake)?,
        }
    }
    // No request is outstanding, so bytes after ReadyForQuery violate the protocol.
    if frames.buffered().is_empty() { Ok(()) } else { Err(ConnectError::Protocol) }
}

/// Reads from the socket once. Fails if nothing arrives before the deadline, or the connection ends. The read
/// timeout remains set.
pub(super) fn fill_before(
    deadline: Instant,
    stream: &TcpStream,
    frames: &mut FrameReader,
) -> std::io::Result<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    if frames.fill(stream)? { Ok(()) } else { Err(ErrorKind::UnexpectedEof.into()) }
}
