//! Tests of writes in a class whose repeats an idempotency key makes safe. Each is interrupted after it may have run.

use crate::support::*;

/// Writes are keyed; the first parameter is the key if `PARAMETER` says so.
const START: &str = "sed -i 's/\"effect\":\"unsafe\"/\"effect\":\"keyed\",\"key_scope\":\"group\",\"window_us\":5000000/' \
    \"$GW_CONFIG\"; sed -i 's/^statements/key_parameter = PARAMETER\\n&/' \"$1\"; exec \"$0\" serve --postgres \"$1\"";
const INTERRUPTED: &str = "E(08007) Z";

fn start(key_parameter: usize) -> (MockMember, Proxy) {
    let primary = MockMember::start(true);
    let shell = START.replace("PARAMETER", &key_parameter.to_string());
    let proxy = Proxy::start_with_shell(&[&primary], &shell, "");
    (primary, proxy)
}

/// Guards against a second execution of a write that names no key: no member recognizes its repeat, whatever its
/// class says.
#[test]
fn interrupted_write_is_sent_again_only_if_it_names_a_key() {
    for (key, expected) in [("", INTERRUPTED), (",k=5c0f", SERVED), (",k=", INTERRUPTED)] {
        let (primary, proxy) = start(0);
        primary.plan(&[MemberBehavior::ResetOn(b'Q')]);
        let text = write_query(1, 2000).replace(",c=write", &format!("{key},c=write"));
        assert_eq!(proxy.connect().query(&text), expected, "{key}");
    }
    let write = |key: &str| {
        format!("P - INSERT INTO entries VALUES ($1) /* c=write,d=2000{key} */ | B - - | E - | S")
    };
    let served = "1 2 D(value) C Z";
    for (key, parameter, expected) in
        [("", 0, INTERRUPTED), (",k=5c0f", 0, served), ("", 1, served), ("", 2, INTERRUPTED)]
    {
        let (primary, proxy) = start(parameter);
        primary.plan(&[MemberBehavior::ResetOn(b'S')]);
        let mut client = proxy.connect_extended();
        client.send(&extended_messages(&write(key)));
        assert_eq!(client.read_reply(), expected, "{key}, parameter {parameter}");
    }
}
