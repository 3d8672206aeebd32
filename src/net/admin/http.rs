//! Parses the admin listener's requests and formats its responses as HTTP/1.1.

use super::AdminRequest;

/// The longest head of a request, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The most headers of a request; one with more is rejected as too long.
const MAX_HEADERS: usize = 64;

/// The status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// 200
    Ok,
    /// 400
    BadRequest,
    /// 404
    NotFound,
    /// 405
    MethodNotAllowed,
    /// 408
    RequestTimeout,
    /// 431
    HeaderFieldsTooLarge,
    /// 503
    ServiceUnavailable,
}

impl Status {
    fn code(self) -> u16 {
        match self {
            Status::Ok => 200,
            Status::BadRequest => 400,
            Status::NotFound => 404,
            Status::MethodNotAllowed => 405,
            Status::RequestTimeout => 408,
            Status::HeaderFieldsTooLarge => 431,
            Status::ServiceUnavailable => 503,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Status::Ok => "OK",
            Status::BadRequest => "Bad Request",
            Status::NotFound => "Not Found",
            Status::MethodNotAllowed => "Method Not Allowed",
            Status::RequestTimeout => "Request Timeout",
            Status::HeaderFieldsTooLarge => "Request Header Fields Too Large",
            Status::ServiceUnavailable => "ServiceState Unavailable",
        }
    }
}

/// The reason for which a request is rejected. The error's text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request is not HTTP.
    #[error("the call can't be read")]
    Malformed,
    /// The request's path names no resource.
    #[error("unknown path")]
    UnknownPath,
    /// The request's path requires another method.
    #[error("wrong method")]
    WrongMethod,
    /// The request's head did not arrive completely in time.
    #[error("no whole call in time")]
    Incomplete,
    /// The request's head has more than [`MAX_HEAD_BYTES`] or too many headers.
    #[error("the call is too long")]
    TooLong,
}

impl RequestError {
    /// The status of the response to such a request.
    pub fn status(self) -> Status {
        match self {
            RequestError::Malformed => Status::BadRequest,
            RequestError::UnknownPath => Status::NotFound,
            RequestError::WrongMethod => Status::MethodNotAllowed,
            RequestError::Incomplete => Status::RequestTimeout,
            RequestError::TooLong => Status::HeaderFieldsTooLarge,
        }
    }
}

/// A response with a body of plain text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    status: Status,
    body: String,
}

impl HttpResponse {
    /// Creates a response with this status and body.
    pub fn new(status: Status, body: impl Into<String>) -> Self {
        HttpResponse { status, body: body.into() }
    }

    /// Formats the complete response, head and body.
    pub fn to_bytes(&self) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {} {}\r\n\
             Content-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {}\r\n\
             Connection: close\r\n\
             \r\n",
            self.status.code(),
            self.status.reason(),
            self.body.len(),
        );
        [head.as_bytes(), self.body.as_bytes()].concat()
    }
}

impl From<RequestError> for HttpResponse {
    fn from(error: RequestError) -> Self {
        HttpResponse::new(error.status(), format!("{error}\n"))
    }
}

/// Parses the head of a request; returns `None` if the head is incomplete.
pub fn parse_request(received: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(received) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if received.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::TooLong);
        }
        Err(_) => return Err(RequestError::Malformed),
    }
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let (method, admin_request) = match path {
        "/control/ready" => ("GET", AdminRequest::Ready),
        "/control/counters" => ("GET", AdminRequest::Counters),
        "/control/out-of-service" => ("PUT", AdminRequest::SetInService(false)),
        "/control/in-service" => ("PUT", AdminRequest::SetInService(true)),
        _ => return Err(RequestError::UnknownPath),
    };
    if request.method != Some(method) {
        return Err(RequestError::WrongMethod);
    }
    Ok(Some(admin_request))
}
