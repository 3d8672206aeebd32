use super::*;

fn reader(bytes: &[u8]) -> FrameReader {
    FrameReader::from(bytes)
}

#[test]
fn a_message_is_returned_only_when_complete() {
    let message = query_message(&[b"SELECT 1"]);
    for length in 0..message.len() {
        assert_eq!(reader(&message[..length]).next_message(), Ok(None), "truncated to {length} bytes");
    }
    let two = [message.clone(), message.clone()].concat();
    let mut both = reader(&two);
    assert_eq!(both.next_message(), Ok(Some((b'Q', &message[..]))));
    assert_eq!(both.next_message(), Ok(Some((b'Q', &message[..]))));
    assert_eq!(both.next_message(), Ok(None));
}

#[test]
fn invalid_lengths_are_protocol_errors_before_the_rest_has_arrived() {
    assert!(reader(b"Q\0\0\0\x03").next_message().is_err());
    assert!(reader(b"Q\xff\0\0\0").next_message().is_err());
    assert!(reader(&[0, 0, 0, 7]).next_startup_packet().is_err());
    assert!(reader(&[0x7f, 0, 0, 0]).next_startup_packet().is_err());
    assert!(reader(&[0, 0, 0, 8, 0, 0, 0, 1]).next_startup_packet().is_err());
}

#[test]
fn startup_packets_are_distinguished_by_code() {
    let startup = startup_message("web", "orders");
    assert_eq!(reader(&startup).next_startup_packet(), Ok(Some(StartupPacket::Startup)));
    let encryption = [0, 0, 0, 8, 4, 210, 22, 47];
    assert_eq!(reader(&encryption).next_startup_packet(), Ok(Some(StartupPacket::EncryptionRequest)));
    let cancel = [0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 5, 0, 0, 0, 9];
    let request = StartupPacket::CancelRequest { process: 5, secret: 9 };
    assert_eq!(reader(&cancel).next_startup_packet(), Ok(Some(request)));
}

#[test]
fn error_fields_and_columns_are_length_checked() {
    let mut out = Vec::new();
    put_error_response(&mut out, "ERROR", sqlstate::TOO_MANY_CONNECTIONS, "busy", Some(40));
    assert_eq!(error_field(message_body(&out), b'C'), Some(&b"53300"[..]));
    assert_eq!(error_field(message_body(&out), b'D'), Some(&b"40"[..]));
    assert_eq!(error_field(b"Cunterminated", b'C'), None);
    assert_eq!(single_column(&[0, 1, 0, 0, 0, 1, 7]), Some(&[7u8][..]));
    assert_eq!(single_column(&[0, 1, 0, 0, 0, 2, 7]), None);
    assert_eq!(single_column(&[0, 1]), None);
}

#[test]
fn messages_are_built_byte_for_byte() {
    let mut out = Vec::new();
    put_error_response(&mut out, "ERROR", sqlstate::TOO_MANY_CONNECTIONS, "bu\0sy", Some(40));
    assert_eq!(out, b"E\0\0\0\x24SERROR\0VERROR\0C53300\0Mbusy\0D40\0\0");
    out.clear();
    put_ready_for_query(&mut out);
    assert_eq!(out, b"Z\0\0\0\x05I");
    assert_eq!(query_message(&[b"a", b"b"]), b"Q\0\0\0\x07ab\0");
    assert_eq!(startup_message("u", "d"), b"\0\0\0\x1b\0\x03\0\0user\0u\0database\0d\0\0");
}

#[test]
fn replies_that_no_server_sends_are_rejected_on_their_header() {
    let next = |bytes: &[u8]| reader(bytes).next_reply().map(|reply| reply.map(|(tag, _)| tag));
    assert_eq!(next(b"Z\0\0\0\x05I"), Ok(Some(b'Z')));
    assert_eq!(next(b"?"), Err(ProtocolError::UnknownReplyType));
    assert_eq!(next(b"Z\0\0\0\x04"), Err(ProtocolError::MessageTooShort));
    assert_eq!(next(b"C\0\0\0\x81"), Err(ProtocolError::MessageTooLong));
    assert_eq!(next(b"D\0\0\0\x0b\0\x01\0\0\0\x02"), Err(ProtocolError::ValueTooLong));
    assert_eq!(next(b"D\0\0\0\x0b\0\x01\0\0\0\x01x"), Ok(Some(b'D')));
}
