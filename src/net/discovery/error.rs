//! The errors that can end a call to discovery.

use std::io::ErrorKind;

/// The reason, in logs and metrics, of responses that can't be parsed.
const UNREADABLE: &str = "unreadable";

/// Why a call to discovery, or a watch, ended.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Connecting, writing the request or reading the response failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The call did not respond, and was closed so that another one could be opened.
    #[error("neither an update nor a heartbeat arrived in time")]
    Replaced,
    /// Another call delivered an update or a heartbeat first.
    #[error("another call delivered an update or a heartbeat first")]
    Superseded,
    /// The socket of a new connection accepted only a part of the request.
    #[error("the request was written only in part")]
    RequestNotWritten,
    /// The response ended before it was complete.
    #[error("the response ended before it was complete")]
    UnexpectedEnd,
    /// The head of the response is not HTTP.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The head of the response is longer than the limit.
    #[error("the head of the response exceeds the size limit")]
    HeadTooLong,
    /// The response has a status other than 200.
    #[error("discovery answered {0:?}")]
    Status(Option<u16>),
    /// The `Content-Length` of the response is not a number.
    #[error("bad length")]
    ContentLength,
    /// The size of a chunk can't be parsed.
    #[error("bad chunk")]
    ChunkSize,
    /// The body contains something other than JSON objects and white space.
    #[error("expected the start of a JSON object, got another character")]
    NotAnObject,
    /// An object is longer than the longest accepted endpoint list.
    #[error("the endpoint list exceeds the size limit")]
    ListTooLong,
    /// An object is not an endpoint list.
    #[error(transparent)]
    List(#[from] serde_json::Error),
}

impl DiscoveryError {
    /// Whether the response can't be parsed.
    pub fn is_unreadable(&self) -> bool {
        self.reason() == UNREADABLE
    }

    /// The reason in logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            DiscoveryError::Io(error) if error.kind() == ErrorKind::ConnectionRefused => "refused",
            DiscoveryError::Io(_) | DiscoveryError::RequestNotWritten => "connection_lost",
            DiscoveryError::Replaced => "silent",
            DiscoveryError::Superseded => "superseded",
            DiscoveryError::UnexpectedEnd => "cut",
            DiscoveryError::Status(_) => "status",
            DiscoveryError::Head(_)
            | DiscoveryError::HeadTooLong
            | DiscoveryError::ContentLength
            | DiscoveryError::ChunkSize
            | DiscoveryError::NotAnObject
            | DiscoveryError::ListTooLong
            | DiscoveryError::List(_) => UNREADABLE,
        }
    }
}
