//! One call to discovery: a connection that is never waited for, and what has arrived on it.

use super::error::DiscoveryError;
use super::http_response::{ResponseDecoder, ResponsePart};
use super::object_stream::{ObjectStream, StreamItem};
use rustix::net::sockopt::{set_socket_linger, socket_error};
use rustix::net::{AddressFamily, SocketFlags, SocketType, socket_with};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// The complete list, once.
    List,
    /// All updates after this revision, for as long as the connection lasts.
    Watch { revision: u64 },
}

impl CallKind {
    /// The path of the request.
    pub(super) fn path(self) -> String {
        match self {
            CallKind::List => "/api/targets".into(),
            CallKind::Watch { revision } => format!("/api/targets?stream=1&index={revision}"),
        }
    }
}

/// How far a call has come after its socket was ready.
pub(super) struct CallProgress {
    /// The items that have arrived.
    pub(super) items: Vec<StreamItem>,
    /// How the call has ended, if it has.
    pub(super) end: Option<Result<(), DiscoveryError>>,
}

/// A call that is open.
pub(super) struct OpenCall {
    /// Its number among the calls of its watch.
    pub(super) number: u64,
    /// What it asks for.
    pub(super) kind: CallKind,
    /// Its connection, closed when this is dropped.
    pub(super) stream: TcpStream,
    /// The request has been written.
    pub(super) is_sent: bool,
    /// When it was begun.
    pub(super) opened_at: Instant,
    /// Another call is opened beside it when it has not been answered within this.
    pub(super) answer_limit: Duration,
    /// When the head, or an item on a watch, last arrived.
    pub(super) heard_at: Option<Instant>,
    /// When bytes last arrived.
    pub(super) bytes_at: Option<Instant>,
    /// It has delivered an item.
    pub(super) has_delivered: bool,
    /// The updates that it has delivered.
    pub(super) updates: u64,
    /// The updates of its watch before it was opened.
    pub(super) updates_before: u64,
    decoder: ResponseDecoder,
    objects: ObjectStream,
}

impl OpenCall {
    /// Begins to connect.
    pub(super) fn begin(
        number: u64,
        kind: CallKind,
        address: SocketAddr,
        answer_limit: Duration,
    ) -> std::io::Result<OpenCall> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        let stream = TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        match rustix::net::connect(&stream, &address) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let _ = stream.set_nodelay(true);
        Ok(OpenCall {
            number,
            kind,
            stream,
            is_sent: false,
            opened_at: Instant::now(),
            answer_limit,
            heard_at: None,
            bytes_at: None,
            has_delivered: false,
            updates: 0,
            updates_before: 0,
            decoder: ResponseDecoder::new(),
            objects: ObjectStream::default(),
        })
    }

    /// Goes on as far as the socket is ready, and never waits. Reads once, into this buffer.
    pub(super) fn advance(&mut self, host: SocketAddr, buffer: &mut [u8]) -> CallProgress {
        let mut items = Vec::new();
        let end = match self.try_advance(host, buffer, &mut items) {
            Ok(false) => None,
            Ok(true) => Some(Ok(())),
            Err(error) => Some(Err(error)),
        };
        CallProgress { items, end }
    }

    /// Whether the call is complete.
    fn try_advance(
        &mut self,
        host: SocketAddr,
        buffer: &mut [u8],
        items: &mut Vec<StreamItem>,
    ) -> Result<bool, DiscoveryError> {
        if !self.is_sent {
            socket_error(&self.stream).map_err(std::io::Error::from)?.map_err(std::io::Error::from)?;
            let request = format!("GET {} HTTP/1.1\r\nHost: {host}\r\n\r\n", self.kind.path());
            match (&self.stream).write(request.as_bytes()) {
                Ok(written) if written == request.len() => self.is_sent = true,
                // A new connection takes a few bytes at once, or none while it is being established.
                Ok(_) => return Err(DiscoveryError::RequestNotWritten),
                Err(error) if is_not_ready(&error) => return Ok(false),
                Err(error) => return Err(error.into()),
            }
        }
        match (&self.stream).read(buffer) {
            Ok(0) => self.finish(),
            Ok(length) => {
                self.bytes_at = Some(Instant::now());
                self.decoder.push(&buffer[..length]);
                self.decode(items)
            }
            Err(error) if is_not_ready(&error) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Decodes what has arrived; whether the call is complete.
    fn decode(&mut self, items: &mut Vec<StreamItem>) -> Result<bool, DiscoveryError> {
        while let Some(part) = self.decoder.next()? {
            match part {
                ResponsePart::Head => self.heard_at = Some(Instant::now()),
                ResponsePart::End => return self.finish(),
                ResponsePart::Body(bytes) => {
                    if self.split_items(&bytes, items)? {
                        return Ok(true);
                    }
                }
            }
        }
        Ok(false)
    }

    /// Splits bytes of the body into items; whether the call is complete.
    fn split_items(&mut self, bytes: &[u8], items: &mut Vec<StreamItem>) -> Result<bool, DiscoveryError> {
        for byte in bytes {
            let Some(item) = self.objects.push(*byte)? else { continue };
            // An empty line around the complete list means nothing.
            if item == StreamItem::KeepAlive && self.kind == CallKind::List {
                continue;
            }
            self.heard_at = Some(Instant::now());
            self.has_delivered = true;
            items.push(item);
            if self.kind == CallKind::List {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// The stream or the body has ended: that is regular only for a watch, between two objects.
    fn finish(&self) -> Result<bool, DiscoveryError> {
        let is_watch = self.kind != CallKind::List;
        if is_watch && self.heard_at.is_some() && !self.objects.is_within_object() {
            Ok(true)
        } else {
            Err(DiscoveryError::UnexpectedEnd)
        }
    }

    /// When the call was last seen to be alive.
    pub(super) fn quiet_since(&self) -> Instant {
        self.heard_at.unwrap_or(self.opened_at)
    }

    /// When anything last arrived.
    pub(super) fn last_sign_at(&self) -> Instant {
        self.bytes_at.unwrap_or(self.opened_at)
    }

    /// Closes the connection without waiting for the other side.
    pub(super) fn reset(self) {
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }
}

fn is_not_ready(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected)
}
