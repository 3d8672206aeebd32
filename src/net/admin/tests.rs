use super::AdminRequest;
use super::http::{HttpResponse, MAX_HEAD_BYTES, RequestError, Status, parse_request};

#[test]
fn requests_are_parsed_by_path_and_method() {
    let get = |path: &str| parse_request(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
    let status = |result: Result<_, RequestError>| result.unwrap_err().status();
    assert_eq!(get("/control/ready"), Ok(Some(AdminRequest::Ready)));
    assert_eq!(get("/control/counters?x=1"), Ok(Some(AdminRequest::Counters)));
    assert_eq!(status(get("/control")), Status::NotFound);
    assert_eq!(status(get("/control/in-service")), Status::MethodNotAllowed);
    assert_eq!(
        parse_request(b"PUT /control/out-of-service HTTP/1.1\r\n\r\n"),
        Ok(Some(AdminRequest::SetInService(false)))
    );
    assert_eq!(parse_request(b"GET /control/ready HTTP/1.1\r\nHost"), Ok(None));
    assert_eq!(status(parse_request(b"\x16\x03\x01nonsense\r\n\r\n")), Status::BadRequest);
    let long = [b"GET /control/ready HTTP/1.1\r\nA: ".to_vec(), vec![b'a'; MAX_HEAD_BYTES]].concat();
    assert_eq!(status(parse_request(&long)), Status::HeaderFieldsTooLarge);
}

#[test]
fn responses_have_status_length_and_body() {
    let expected = "HTTP/1.1 431 Request Header Fields Too Large\r\n\
        Content-Type: text/plain; charset=utf-8\r\nContent-Length: 21\r\nConnection: close\r\n\r\n\
        the call is too long\n";
    assert_eq!(HttpResponse::from(RequestError::TooLong).to_bytes(), expected.as_bytes());
    let codes = [
        (RequestError::Malformed, "400 Bad Request", "the call can't be read\n"),
        (RequestError::UnknownPath, "404 Not Found", "unknown path\n"),
        (RequestError::WrongMethod, "405 Method Not Allowed", "wrong method\n"),
        (RequestError::Incomplete, "408 Request Timeout", "no whole call in time\n"),
    ];
    for (error, status, body) in codes {
        let text = String::from_utf8(HttpResponse::from(error).to_bytes()).unwrap();
        assert!(text.starts_with(&format!("HTTP/1.1 {status}\r\n")) && text.ends_with(body), "{text}");
    }
}
