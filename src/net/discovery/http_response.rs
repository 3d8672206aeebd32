//! Reads the body of an HTTP/1.1 response as it arrives: in chunks, of a given length, or to the end of the
//! stream.

use super::error::DiscoveryError;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers that are read.
const MAX_HEADERS: usize = 32;
/// The most bytes in one read from the socket.
const READ_BYTES: usize = 16 * 1024;
/// The shortest time limit of a read.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);
const STATUS_OK: u16 = 200;

/// How the end of a body is found.
enum Framing {
    /// In chunks; this many bytes are left of the current one.
    Chunked { remaining: usize },
    /// Of a given length; this many bytes are left.
    Sized { remaining: usize },
    /// By the end of the stream.
    UntilClose,
}

impl Framing {
    fn of(headers: &[httparse::Header<'_>]) -> Result<Framing, DiscoveryError> {
        let is_chunked = |header: &httparse::Header<'_>| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.to_ascii_lowercase().ends_with(b"chunked")
        };
        if headers.iter().any(is_chunked) {
            return Ok(Framing::Chunked { remaining: 0 });
        }
        let length = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
        let Some(length) = length else { return Ok(Framing::UntilClose) };
        let length = std::str::from_utf8(length.value).ok();
        let length = length.and_then(|text| text.trim().parse().ok());
        Ok(Framing::Sized { remaining: length.ok_or(DiscoveryError::ContentLength)? })
    }
}

/// The body of a response, read from a stream.
pub struct ResponseBody<'a> {
    stream: &'a TcpStream,
    /// Bytes that were read but not returned yet.
    buffer: Vec<u8>,
    framing: Framing,
}

impl<'a> ResponseBody<'a> {
    /// Reads the head of the response, until the deadline at the latest.
    pub fn open(stream: &'a TcpStream, deadline: Instant) -> Result<Self, DiscoveryError> {
        let mut body = ResponseBody { stream, buffer: Vec::new(), framing: Framing::UntilClose };
        loop {
            if !body.fill(deadline)? {
                return Err(DiscoveryError::UnexpectedEnd);
            }
            if body.parse_head()? {
                return Ok(body);
            }
            if body.buffer.len() > MAX_HEAD_BYTES {
                return Err(DiscoveryError::HeadTooLong);
            }
        }
    }

    /// The next bytes of the body, until the deadline at the latest; `None` at its end.
    pub fn next(&mut self, deadline: Instant) -> Result<Option<Vec<u8>>, DiscoveryError> {
        loop {
            let Some(available) = self.available()? else { return Ok(None) };
            if available > 0 {
                if let Framing::Chunked { remaining } | Framing::Sized { remaining } = &mut self.framing {
                    *remaining -= available;
                }
                return Ok(Some(self.buffer.drain(..available).collect()));
            }
            if !self.fill(deadline)? {
                return Ok(None);
            }
        }
    }

    /// Removes the head from the buffer; `false` if it has not arrived completely.
    fn parse_head(&mut self) -> Result<bool, DiscoveryError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = response.parse(&self.buffer)? else { return Ok(false) };
        if response.code != Some(STATUS_OK) {
            return Err(DiscoveryError::Status(response.code));
        }
        self.framing = Framing::of(response.headers)?;
        self.buffer.drain(..length);
        Ok(true)
    }

    /// How many bytes at the front of the buffer belong to the body; `None` at the end of the body.
    fn available(&mut self) -> Result<Option<usize>, DiscoveryError> {
        match self.framing {
            Framing::UntilClose => Ok(Some(self.buffer.len())),
            Framing::Sized { remaining: 0 } => Ok(None),
            Framing::Chunked { remaining: 0 } => self.next_chunk(),
            Framing::Sized { remaining } | Framing::Chunked { remaining } => {
                Ok(Some(remaining.min(self.buffer.len())))
            }
        }
    }

    /// Reads the size of the next chunk, if it has arrived, and returns what [`Self::available`] does.
    fn next_chunk(&mut self) -> Result<Option<usize>, DiscoveryError> {
        // The line break that ends the previous chunk precedes the next size.
        while self.buffer.first().is_some_and(|byte| b"\r\n".contains(byte)) {
            self.buffer.remove(0);
        }
        let parsed = httparse::parse_chunk_size(&self.buffer).map_err(|_| DiscoveryError::ChunkSize)?;
        let httparse::Status::Complete((length, size)) = parsed else { return Ok(Some(0)) };
        self.buffer.drain(..length);
        if size == 0 {
            return Ok(None);
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        self.framing = Framing::Chunked { remaining: size };
        Ok(Some(size.min(self.buffer.len())))
    }

    /// Reads once, until the deadline at the latest; `false` at the end of the stream.
    fn fill(&mut self, deadline: Instant) -> Result<bool, DiscoveryError> {
        let mut stream = self.stream;
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_BYTES, 0);
        let read = loop {
            // Bytes that have arrived are read even if the deadline passed only because the process was
            // stopped.
            let left = deadline.saturating_duration_since(Instant::now()).max(MIN_READ_TIMEOUT);
            stream.set_read_timeout(Some(left))?;
            match stream.read(&mut self.buffer[filled..]) {
                // Guards against treating a pause of the process (SIGSTOP, SIGCONT) as the end of the
                // watch: the system does not resume a read with a time limit.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.buffer.truncate(filled + read.as_ref().copied().unwrap_or(0));
        Ok(read? > 0)
    }
}
