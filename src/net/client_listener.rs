//! The listening socket for clients.

use crate::config::{Config, LISTEN_FD_VARIABLE};
use crate::sockets::bind;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::{SocketAddr, TcpListener};

/// The error of opening the listening socket for clients.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address can't be bound.
    #[error("can't listen at {address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The configured descriptor can't be duplicated.
    #[error("{LISTEN_FD_VARIABLE} {descriptor}: can't duplicate the descriptor: {source}")]
    Duplicate {
        /// The configured descriptor.
        descriptor: i32,
        /// The error of the system call.
        source: rustix::io::Errno,
    },
    /// The configured descriptor is not a listening socket.
    #[error("{LISTEN_FD_VARIABLE} {descriptor}: expected a listening socket")]
    NotListening {
        /// The configured descriptor.
        descriptor: i32,
    },
}

/// Returns the listening socket for clients: a duplicate of the inherited descriptor if one is configured,
/// otherwise a socket that is bound to the configured address.
pub fn client_listener(config: &Config) -> Result<TcpListener, ListenError> {
    match config.listen_fd {
        Some(descriptor) => inherit(descriptor),
        None => bind(config.listen).map_err(|source| ListenError::Bind { address: config.listen, source }),
    }
}

/// Duplicates an inherited descriptor, and leaves the original open.
fn inherit(descriptor: i32) -> Result<TcpListener, ListenError> {
    let socket = pidfd_open(getpid(), PidfdFlags::empty())
        .and_then(|process| pidfd_getfd(&process, descriptor, PidfdGetfdFlags::empty()))
        .map_err(|source| ListenError::Duplicate { descriptor, source })?;
    if !rustix::net::sockopt::socket_acceptconn(&socket).unwrap_or(false) {
        return Err(ListenError::NotListening { descriptor });
    }
    Ok(TcpListener::from(socket))
}
