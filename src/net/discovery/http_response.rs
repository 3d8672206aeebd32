//! Decodes an HTTP/1.1 response incrementally: the head, and a body that is chunked, has a given length, or
//! extends to the end of the stream.

use super::error::DiscoveryError;

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers of a response; one with more can't be parsed.
const MAX_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;

/// How the end of a body is determined.
enum Framing {
    /// The body is chunked; `remaining` bytes of the current chunk are still to come.
    Chunked { remaining: usize },
    /// The body has a given length; `remaining` bytes of it are still to come.
    Sized { remaining: usize },
    /// The body ends with the stream.
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

/// A decoded part of a response.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ResponsePart {
    /// The head of the response is complete.
    Head,
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The body is complete.
    End,
}

/// Decodes one response.
pub(super) struct ResponseDecoder {
    /// Received bytes that are not decoded yet.
    buffer: Vec<u8>,
    /// The framing of the body; `None` until the head is complete.
    framing: Option<Framing>,
}

impl ResponseDecoder {
    pub(super) fn new() -> Self {
        ResponseDecoder { buffer: Vec::new(), framing: None }
    }

    /// Adds received bytes to the buffer.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next part; `None` if more bytes are needed for it.
    pub(super) fn next(&mut self) -> Result<Option<ResponsePart>, DiscoveryError> {
        if self.framing.is_none() {
            return Ok(self.parse_head()?.then_some(ResponsePart::Head));
        }
        let Some(available) = self.available()? else { return Ok(Some(ResponsePart::End)) };
        if available == 0 {
            return Ok(None);
        }
        if let Some(Framing::Chunked { remaining } | Framing::Sized { remaining }) = &mut self.framing {
            *remaining -= available;
        }
        Ok(Some(ResponsePart::Body(self.buffer.drain(..available).collect())))
    }

    /// Parses the head and removes it from the buffer; returns `false` if the head is incomplete.
    fn parse_head(&mut self) -> Result<bool, DiscoveryError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = response.parse(&self.buffer)? else {
            let too_long = self.buffer.len() > MAX_HEAD_BYTES;
            return if too_long { Err(DiscoveryError::HeadTooLong) } else { Ok(false) };
        };
        if response.code != Some(STATUS_OK) {
            return Err(DiscoveryError::Status(response.code));
        }
        self.framing = Some(Framing::of(response.headers)?);
        self.buffer.drain(..length);
        Ok(true)
    }

    /// Returns how many bytes at the front of the buffer belong to the body; `None` at the end of the body.
    fn available(&mut self) -> Result<Option<usize>, DiscoveryError> {
        match self.framing {
            None | Some(Framing::UntilClose) => Ok(Some(self.buffer.len())),
            Some(Framing::Sized { remaining: 0 }) => Ok(None),
            Some(Framing::Chunked { remaining: 0 }) => self.next_chunk(),
            Some(Framing::Sized { remaining } | Framing::Chunked { remaining }) => {
                Ok(Some(remaining.min(self.buffer.len())))
            }
        }
    }

    /// Parses the size of the next chunk if it has arrived completely. Returns the same as
    /// [`Self::available`].
    fn next_chunk(&mut self) -> Result<Option<usize>, DiscoveryError> {
        // The size is preceded by the line break that ends the previous chunk.
        while self.buffer.first().is_some_and(|byte| b"\r\n".contains(byte)) {
            self.buffer.remove(0);
        }
        let parsed = httparse::parse_chunk_size(&self.buffer).map_err(|_| DiscoveryError::ChunkSize)?;
        let httparse::Status::Complete((length, size)) = parsed else {
            // Without the limit, a size line that never ends would fill the memory.
            let too_long = self.buffer.len() > MAX_HEAD_BYTES;
            return if too_long { Err(DiscoveryError::ChunkSize) } else { Ok(Some(0)) };
        };
        self.buffer.drain(..length);
        if size == 0 {
            return Ok(None);
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        self.framing = Some(Framing::Chunked { remaining: size });
        Ok(Some(size.min(self.buffer.len())))
    }
}
