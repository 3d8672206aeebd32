use super::backoff::Backoff;
use super::call_policy::{CallPolicy, DiscoveryKind, JITTER_DIVISOR};
use super::error::DiscoveryError;
use super::http_response::{ResponseDecoder, ResponsePart};
use super::object_stream::{ObjectStream, StreamItem};
use std::time::Duration;

fn items(text: &str) -> Result<Vec<StreamItem>, DiscoveryError> {
    let mut stream = ObjectStream::default();
    let mut items = Vec::new();
    for byte in text.bytes() {
        items.extend(stream.push(byte)?);
    }
    Ok(items)
}

#[test]
fn objects_end_at_their_closing_brace_whatever_their_strings_contain() {
    let objects = [r#"{"a":"}\"{"}"#, "{\"b\":{\n}}"];
    let expected = [
        StreamItem::Object(objects[0].into()),
        StreamItem::Object(objects[1].into()),
        StreamItem::Heartbeat,
        StreamItem::Heartbeat,
    ];
    assert_eq!(items(&format!("{}{}\n \r\n", objects[0], objects[1])).unwrap(), expected);
    assert!(matches!(items("x"), Err(DiscoveryError::NotAnObject)));
}

/// Decodes a response that arrives in pieces of `piece` bytes, and returns its body. Without the end of the
/// body, "..." follows the bytes received.
fn body_of(response: &str, piece: usize) -> Result<String, DiscoveryError> {
    let mut decoder = ResponseDecoder::new();
    let mut body = Vec::new();
    for bytes in response.as_bytes().chunks(piece) {
        decoder.push(bytes);
        while let Some(part) = decoder.next()? {
            match part {
                ResponsePart::Head => {}
                ResponsePart::Body(bytes) => body.extend(bytes),
                ResponsePart::End => return Ok(String::from_utf8(body).unwrap()),
            }
        }
    }
    Ok(String::from_utf8(body).unwrap() + "...")
}

#[test]
fn a_body_ends_with_its_last_chunk_its_content_length_or_the_stream() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nx";
    for piece in [1, 2, 7, 1000] {
        assert_eq!(body_of(chunked, piece).unwrap(), "abcde");
        let sized = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcde";
        assert_eq!(body_of(sized, piece).unwrap(), "abc");
        assert_eq!(body_of("HTTP/1.1 200 OK\r\n\r\nabcde", piece).unwrap(), "abcde...");
    }
}

#[test]
fn an_unusable_response_is_reported_with_its_error_and_reason() {
    let cases = [
        ("HTTP/1.1 503 Busy\r\n\r\n", "discovery answered Some(503)", "status"),
        ("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "bad length", "unreadable"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "bad chunk", "unreadable"),
    ];
    for (response, text, reason) in cases {
        let error = body_of(response, 1000).unwrap_err();
        assert_eq!((error.to_string().as_str(), error.reason()), (text, reason));
    }
    let endless = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000));
    assert!(matches!(body_of(&endless, 1000).unwrap_err(), DiscoveryError::HeadTooLong));
    let chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;";
    let endless = format!("{chunk}{}", "x".repeat(40_000));
    assert!(matches!(body_of(&endless, 1000).unwrap_err(), DiscoveryError::ChunkSize));
}

/// Fails if the delays to the next call are chosen for the load on discovery and not for the drain grace. An
/// update must arrive within the grace plus 50 ms, an allowance for the sockets, even if the process is
/// paused for 150 ms of that time.
#[test]
fn an_agent_is_called_again_within_any_drain_grace() {
    for grace in [200, 250, 500, 1000, 2000] {
        let grace = Duration::from_millis(grace);
        let policy = CallPolicy::new(DiscoveryKind::LocalAgent { drain_grace: grace });
        let longest_delay = policy.answer_limit.max(policy.later_answer_limit).max(policy.max_retry_delay);
        let with_jitter = longest_delay + longest_delay / JITTER_DIVISOR;
        let allowed = grace + Duration::from_millis(50) - Duration::from_millis(150);
        assert!(with_jitter <= allowed, "{with_jitter:?} of {grace:?}");
    }
}

#[test]
fn the_delay_doubles_while_nothing_is_received_with_jitter_of_up_to_a_quarter() {
    let grace = |ms| DiscoveryKind::LocalAgent { drain_grace: Duration::from_millis(ms) };
    let cases = [
        (DiscoveryKind::SharedService, [200, 400, 800, 800, 200]),
        (grace(500), [100; 5]),
        (grace(250), [50; 5]),
        (grace(20), [20; 5]),
    ];
    for (kind, bases) in cases {
        let mut backoff = Backoff::new(&CallPolicy::new(kind), 7);
        for (attempt, base) in bases.into_iter().enumerate() {
            let delay = backoff.next_delay(attempt == 0 || attempt == 4).as_millis();
            assert!((base * 3 / 4..=base * 5 / 4).contains(&delay), "{kind:?} {attempt}: {delay} ms");
        }
    }
}
