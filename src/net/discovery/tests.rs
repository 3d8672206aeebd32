use super::*;
use std::net::TcpListener;

fn items(text: &str) -> Result<Vec<StreamItem>, DiscoveryError> {
    let mut stream = ObjectStream::default();
    let mut items = Vec::new();
    for byte in text.bytes() {
        items.extend(stream.push(byte)?);
    }
    Ok(items)
}

#[test]
fn objects_are_split_at_their_closing_brace_whatever_their_strings_hold() {
    let objects = [r#"{"a":"}\"{"}"#, "{\"b\":{\n}}"];
    let expected = [
        StreamItem::Object(objects[0].into()),
        StreamItem::Object(objects[1].into()),
        StreamItem::KeepAlive,
        StreamItem::KeepAlive,
    ];
    assert_eq!(items(&format!("{}{}\n \r\n", objects[0], objects[1])).unwrap(), expected);
    assert!(matches!(items("x"), Err(DiscoveryError::NotAnObject)));
}

/// The complete body of this response.
fn body_of(response: &'static str) -> Result<String, DiscoveryError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut server, _) = listener.accept().unwrap();
    server.write_all(response.as_bytes()).unwrap();
    drop(server);
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut body = ResponseBody::open(&client, deadline)?;
    let mut whole = Vec::new();
    while let Some(bytes) = body.next(deadline)? {
        whole.extend(bytes);
    }
    Ok(String::from_utf8(whole).unwrap())
}

#[test]
fn bodies_end_with_their_last_chunk_their_stated_length_or_the_stream() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nx";
    assert_eq!(body_of(chunked).unwrap(), "abcde");
    assert_eq!(body_of("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcde").unwrap(), "abc");
    assert_eq!(body_of("HTTP/1.1 200 OK\r\n\r\nabcde").unwrap(), "abcde");
}

#[test]
fn responses_that_can_not_be_used_are_told_apart() {
    let status = body_of("HTTP/1.1 503 Busy\r\n\r\n").unwrap_err();
    assert_eq!(status.to_string(), "discovery answered Some(503)");
    let length = body_of("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n").unwrap_err();
    assert!(matches!(length, DiscoveryError::ContentLength));
    let chunk = body_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n").unwrap_err();
    assert!(matches!(chunk, DiscoveryError::ChunkSize));
    assert!(matches!(body_of("HTTP/1.1 200").unwrap_err(), DiscoveryError::UnexpectedEnd));
}

#[test]
fn the_delay_doubles_while_nothing_is_received_and_stays_within_a_quarter() {
    let mut backoff = Backoff::new(7);
    let bases = [200, 400, 800, 800, 200];
    for (attempt, base) in bases.into_iter().enumerate() {
        let delay = backoff.next_delay(attempt == 0 || attempt == 4).as_millis();
        assert!((base * 3 / 4..=base * 5 / 4).contains(&delay), "attempt {attempt}: {delay} ms");
    }
}

#[test]
fn the_time_limit_of_a_call_grows_after_one_that_hung_and_is_reset_only_by_something_received() {
    let ends = [CallResult::Hung, CallResult::Failed, CallResult::Hung, CallResult::Received];
    for (kind, expected) in [
        (DiscoveryKind::LocalAgent, [1000, 2000, 2000, 2000, 1000]),
        (DiscoveryKind::SharedService, [2500, 3500, 3500, 3500, 2500]),
    ] {
        let mut timeout = CallTimeout::new(kind);
        let mut limits = vec![timeout.current().as_millis()];
        for end in ends {
            timeout.record(end);
            limits.push(timeout.current().as_millis());
        }
        assert_eq!(limits, expected, "{kind:?}");
    }
}
