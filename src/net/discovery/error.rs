//! The errors that can end a call to discovery.

use std::io::ErrorKind;

/// The reason of responses that can't be used.
const UNREADABLE: &str = "unreadable";

/// Why a call to discovery, or a watch, ended.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The connection failed, or a read or write on it timed out.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Another call was opened beside this one, as it was quiet, and took its place.
    #[error("quiet for too long")]
    Replaced,
    /// Another call delivered an update or a heartbeat first.
    #[error("another call was answered first")]
    Superseded,
    /// A new connection did not take the request.
    #[error("the request could not be written")]
    RequestNotWritten,
    /// The stream ended within the response.
    #[error("unexpected end of file")]
    UnexpectedEnd,
    /// The head of the response is not HTTP.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The head of the response is too long.
    #[error("headers too long")]
    HeadTooLong,
    /// The response has a status other than 200.
    #[error("discovery answered {0:?}")]
    Status(Option<u16>),
    /// The length given by the response is not a number.
    #[error("bad length")]
    ContentLength,
    /// The size of a chunk can't be parsed.
    #[error("bad chunk")]
    ChunkSize,
    /// The response contains something other than a JSON object.
    #[error("no JSON object")]
    NotAnObject,
    /// An object is longer than the longest accepted list.
    #[error("list too long")]
    ListTooLong,
    /// An object is not an endpoint list.
    #[error(transparent)]
    List(#[from] serde_json::Error),
}

impl DiscoveryError {
    /// Whether the response arrived and can't be used.
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
