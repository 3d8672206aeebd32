//! Writes messages to standard error and to collectors.

use super::SyslogError;
use crate::sockets::closed_by_peer;
use std::io::Write;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

/// The timeout of a connection attempt to a collector, and of a write to it.
const TCP_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before the next message after one that could not be written to a collector.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The number of attempts to write a message.
const ATTEMPTS: usize = 2;

/// Writes a message to standard error, as one line.
pub fn write_to_stderr(message: &str) {
    let _ = std::io::stderr().write_all(format!("{message}\n").as_bytes());
}

/// Writes to a collector over TCP, with octet counting.
pub struct TcpTransport {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl TcpTransport {
    /// Creates a transport, which connects when the first message is sent.
    pub fn new(address: SocketAddr) -> Self {
        TcpTransport { address, stream: None }
    }

    /// Writes a message. If that fails, tries once more on a new connection, and then drops the message.
    pub fn send(&mut self, message: &str) {
        let frame = format!("{} {message}", message.len());
        for _ in 0..ATTEMPTS {
            if self.stream.as_ref().is_some_and(closed_by_peer) {
                self.stream = None;
            }
            if self.stream.is_none() {
                self.stream = connect(self.address);
            }
            match self.stream.as_mut().map(|stream| stream.write_all(frame.as_bytes())) {
                Some(Ok(())) => return,
                _ => self.stream = None,
            }
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, TCP_TIMEOUT).ok()?;
    let _ = stream.set_write_timeout(Some(TCP_TIMEOUT));
    Some(stream)
}

/// Sends to a collector over UDP, a datagram for each message.
pub struct UdpTransport {
    collector: SocketAddr,
    socket: UdpSocket,
}

impl UdpTransport {
    /// Binds a socket of the collector's address family to any port.
    pub fn bind(collector: SocketAddr) -> Result<Self, SyslogError> {
        let local = match collector {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(local).map_err(SyslogError::Socket)?;
        Ok(UdpTransport { collector, socket })
    }

    /// Sends a message, which is lost if the collector can't be reached.
    pub fn send(&self, message: &str) {
        let _ = self.socket.send_to(message.as_bytes(), self.collector);
    }
}
