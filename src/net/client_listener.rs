//! The listening socket for clients.

use crate::config::{Config, LISTEN_FD_VARIABLE};
use crate::sockets::bind;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::{SocketAddr, TcpListener};

/// Why there is no listening socket.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address can't be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The configured descriptor can't be duplicated.
    #[error("{LISTEN_FD_VARIABLE} {descriptor}: {source}")]
    Duplicate {
        /// The descriptor.
        descriptor: i32,
        /// Why not.
        source: rustix::io::Errno,
    },
    /// The configured descriptor is not a listening socket.
    #[error("{LISTEN_FD_VARIABLE} {descriptor} is no listening socket")]
    NotListening {
        /// The descriptor.
        descriptor: i32,
    },
}

/// The listening socket for clients: inherited where the platform provides one, or else bound here.
pub fn client_listener(config: &Config) -> Result<TcpListener, ListenError> {
    match config.listen_fd {
        Some(descriptor) => inherit(descriptor),
        None => bind(config.listen).map_err(|source| ListenError::Bind { address: config.listen, source }),
    }
}

/// Duplicates a descriptor of this process, and leaves the inherited one unchanged.
fn inherit(descriptor: i32) -> Result<TcpListener, ListenError> {
    let socket = pidfd_open(getpid(), PidfdFlags::empty())
        .and_then(|process| pidfd_getfd(&process, descriptor, PidfdGetfdFlags::empty()))
        .map_err(|source| ListenError::Duplicate { descriptor, source })?;
    if !rustix::net::sockopt::socket_acceptconn(&socket).unwrap_or(false) {
        return Err(ListenError::NotListening { descriptor });
    }
    Ok(TcpListener::from(socket))
}
