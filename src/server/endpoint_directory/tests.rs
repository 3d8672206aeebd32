use super::*;

fn list(text: &str) -> EndpointList {
    serde_json::from_str(text).unwrap()
}

#[test]
fn apply_returns_new_changed_and_removed_endpoints_and_keeps_names_while_endpoints_are_listed() {
    let entry = |uid: &str, state: &str| {
        format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:1","state":"{state}","boot_ms":0}}"#)
    };
    let both = format!("{},{}", entry("a", "SERVING"), entry("b", "SERVING"));
    let change = |uid: &str, from, to| EndpointChange { uid: uid.into(), from, to };
    use EndpointState::{Draining, Ready, Removed};
    let cases = [
        (true, both.clone(), vec![change("a", None, Ready), change("b", None, Ready)]),
        (true, both, vec![]),
        (false, entry("b", "DRAINING"), vec![change("b", Some(Ready), Draining)]),
        (false, entry("b", "DELETED"), vec![change("b", Some(Draining), Removed)]),
        (true, entry("c", "SERVING"), vec![change("c", None, Ready), change("a", Some(Ready), Removed)]),
    ];
    let mut directory = EndpointDirectory::default();
    for (complete, entries, expected) in cases {
        let list = list(&format!(r#"{{"rev":1,"all":{complete},"targets":[{entries}]}}"#));
        assert_eq!(directory.apply(&list), expected);
    }
    let id = list(&format!(r#"{{"targets":[{}]}}"#, entry("c", "SERVING"))).endpoints[0].id();
    assert_eq!((directory.name(id), directory.len()), ("c".into(), 1));
    directory.apply(&list(r#"{"all":true}"#));
    assert_eq!(directory.name(id), format!("#{:012x}", id.0));
}
