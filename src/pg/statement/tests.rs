use super::*;

const READ: &[u8] = b"SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' \
    /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */";

#[test]
fn fields_of_a_complete_read_are_parsed() {
    let fields = parse_fields(READ);
    assert_eq!(fields.class, Some(&b"basket"[..]));
    let timeout = fields.timeout.unwrap();
    assert_eq!((timeout.millis, &READ[timeout.digits]), (480, &b"480"[..]));
    assert_eq!(
        (fields.group, fields.min_position_ms, fields.is_retry),
        (Some(2), Some(1_767_225_600_123), false)
    );
    assert_eq!((fields.id, validate(READ)), (Some(&b"9b1f03aa5c7e2d41"[..]), Ok(())));
    assert_eq!(session_id(fields.key.unwrap()), 0x7f3a_9c21_e0b4_d655);
}

#[test]
fn text_within_a_literal_is_not_parsed_as_a_comment() {
    let fields = parse_fields(b"INSERT INTO entries VALUES ('k', '/* c=x,d=9 */') /* c=order,d=1 */");
    assert_eq!(fields.class, Some(&b"order"[..]));
    assert_eq!(fields.key, Some(&b"k"[..]));
}

#[test]
fn first_keyword_and_further_statements_are_found_after_comments_and_literals() {
    assert_eq!(first_keyword(b" -- x\n/* y */ BEGIN;"), "begin");
    assert_eq!(first_keyword(b"/*"), "");
    assert!(has_several_statements(b"SELECT 1; SELECT 2") && has_several_statements(b"SELECT ';' ; x"));
    assert!(
        !has_several_statements(b"SELECT ';x' /* ; y */ ; -- z")
            && !has_several_statements(b"';")
            && !has_several_statements(b"")
    );
}

#[test]
fn statements_that_members_cannot_parse_are_rejected() {
    let complete = b"SELECT 1 /* id=1,d=2 */";
    assert_eq!(validate(complete), Ok(()));
    for length in 0..complete.len() {
        assert!(validate(&complete[..length]).is_err(), "truncated to {length} bytes");
    }
    for text in [
        "SELECT 1; SELECT 2 /* id=1 */",
        "SELECT 1 /* id=1 */ /* id=2 */",
        "SELECT 1 /* id=1 */ SELECT 2",
        "SELECT 1 -- x\n /* id=1 */",
        "SELECT 'x /* id=1 */",
        "SELECT 1 /* id=1,id=2 */",
        "SELECT 1 /* id=1,d=-5 */",
        "SELECT 1 /* id=1,after=1e9 */",
        "SELECT 1 /* id=1,cluster=+2 */",
        "SELECT 1 /* id=1,d=99999999999999999999 */",
        "SELECT 1 /* id */",
        "SELECT \x07 /* id=1 */",
    ] {
        assert!(validate(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn fields_that_are_missing_or_malformed_stay_unset() {
    for text in [&b""[..], b"/*", b"'", b"/* c", b"/* d=x,cluster=-1 */", b"/* d=99999999999999999999 */"] {
        let fields = parse_fields(text);
        assert_eq!((fields.class, fields.timeout, fields.group), (None, None, None), "{text:?}");
    }
}
