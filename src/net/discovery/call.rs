//! One call to discovery: a non-blocking connection and the decoding of the response.

use super::error::DiscoveryError;
use super::http_response::{ResponseDecoder, ResponsePart};
use super::object_stream::{ObjectStream, StreamItem};
use rustix::net::sockopt::{set_socket_linger, socket_error};
use rustix::net::{AddressFamily, SocketFlags, SocketType, socket_with};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The request that a call makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// The complete list, once.
    List,
    /// All updates after this revision, for as long as the connection lasts.
    Watch { revision: u64 },
}

impl CallKind {
    /// The path and query of the HTTP request.
    pub(super) fn path(self) -> String {
        match self {
            CallKind::List => "/api/targets".into(),
            CallKind::Watch { revision } => format!("/api/targets?stream=1&index={revision}"),
        }
    }
}

/// The result of [`OpenCall::advance`].
pub(super) struct CallProgress {
    /// The items completed by the bytes that were read.
    pub(super) items: Vec<StreamItem>,
    /// How the call has ended; `None` while it is open.
    pub(super) end: Option<Result<(), DiscoveryError>>,
}

/// A call that is open.
pub(super) struct OpenCall {
    /// The call's number within its watch, which is also its epoll token.
    pub(super) number: u64,
    /// The request that the call makes.
    pub(super) kind: CallKind,
    /// The connection, closed when the call is dropped.
    pub(super) stream: TcpStream,
    /// Whether the request has been written.
    pub(super) is_sent: bool,
    /// When connecting started.
    pub(super) opened_at: Instant,
    /// Another call is opened beside this one if the response's head has not arrived within this time.
    pub(super) answer_limit: Duration,
    /// When the head of the response or an item last arrived; `None` before the head.
    pub(super) last_answer_at: Option<Instant>,
    /// When bytes last arrived; `None` before the first ones.
    pub(super) last_read_at: Option<Instant>,
    /// Whether the call has delivered an item: an object or a heartbeat.
    pub(super) has_delivered: bool,
    /// The number of updates that the call has delivered.
    pub(super) updates: u64,
    /// The number of updates that all calls of the watch had delivered when this call was opened.
    pub(super) watch_updates_before: u64,
    decoder: ResponseDecoder,
    objects: ObjectStream,
}

impl OpenCall {
    /// Starts to connect, without waiting until the connection is established.
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
            last_answer_at: None,
            last_read_at: None,
            has_delivered: false,
            updates: 0,
            watch_updates_before: 0,
            decoder: ResponseDecoder::new(),
            objects: ObjectStream::default(),
        })
    }

    /// Writes the request and reads from the socket once, into `buffer`, as far as the socket is ready. Never
    /// blocks.
    pub(super) fn advance(&mut self, host: SocketAddr, buffer: &mut [u8]) -> CallProgress {
        let mut items = Vec::new();
        let end = match self.try_advance(host, buffer, &mut items) {
            Ok(false) => None,
            Ok(true) => Some(Ok(())),
            Err(error) => Some(Err(error)),
        };
        CallProgress { items, end }
    }

    /// Does the work of [`Self::advance`]; returns whether the call is complete.
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
                // The send buffer of a new connection has capacity for the complete request; while the
                // connection is being established, the write fails as not ready.
                Ok(_) => return Err(DiscoveryError::RequestNotWritten),
                Err(error) if is_not_ready(&error) => return Ok(false),
                Err(error) => return Err(error.into()),
            }
        }
        match (&self.stream).read(buffer) {
            Ok(0) => self.finish(),
            Ok(length) => {
                self.last_read_at = Some(Instant::now());
                self.decoder.push(&buffer[..length]);
                self.decode(items)
            }
            Err(error) if is_not_ready(&error) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Decodes the bytes received; returns whether the call is complete.
    fn decode(&mut self, items: &mut Vec<StreamItem>) -> Result<bool, DiscoveryError> {
        while let Some(part) = self.decoder.next()? {
            match part {
                ResponsePart::Head => self.last_answer_at = Some(Instant::now()),
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

    /// Splits bytes of the body into items; returns whether the call is complete.
    fn split_items(&mut self, bytes: &[u8], items: &mut Vec<StreamItem>) -> Result<bool, DiscoveryError> {
        for byte in bytes {
            let Some(item) = self.objects.push(*byte)? else { continue };
            // Line breaks around a complete list are no heartbeats.
            if item == StreamItem::Heartbeat && self.kind == CallKind::List {
                continue;
            }
            self.last_answer_at = Some(Instant::now());
            self.has_delivered = true;
            items.push(item);
            if self.kind == CallKind::List {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Handles the end of the stream or of the body, which is regular only for an answered watch, and only
    /// between two objects.
    fn finish(&self) -> Result<bool, DiscoveryError> {
        let is_watch = self.kind != CallKind::List;
        if is_watch && self.last_answer_at.is_some() && !self.objects.is_within_object() {
            Ok(true)
        } else {
            Err(DiscoveryError::UnexpectedEnd)
        }
    }

    /// When the call last received the response's head or an item, or was opened.
    pub(super) fn silent_since(&self) -> Instant {
        self.last_answer_at.unwrap_or(self.opened_at)
    }

    /// When bytes last arrived on the call, or when it was opened.
    pub(super) fn idle_since(&self) -> Instant {
        self.last_read_at.unwrap_or(self.opened_at)
    }

    /// Closes the connection with a TCP reset.
    pub(super) fn reset(self) {
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }
}

fn is_not_ready(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected)
}
