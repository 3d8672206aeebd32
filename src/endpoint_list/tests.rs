use super::*;

fn list(json: &str) -> EndpointList {
    serde_json::from_str(json).unwrap()
}

#[test]
fn lists_keep_their_stored_form() {
    let text = concat!(
        r#"{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:5432","pod_group":2,"#,
        r#""state":"SERVING","boot_ms":12.0,"recovery":"off"}]}"#
    );
    assert_eq!(serde_json::to_string(&list(text)).unwrap(), text);
}

#[test]
fn changes_replace_or_remove_their_entries_and_a_complete_list_replaces_all() {
    let uids = |list: &EndpointList| list.endpoints.iter().map(|e| e.uid.clone()).collect::<Vec<_>>();
    let mut known = list(
        r#"{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"},
            {"uid":"b","endpoint":"127.0.0.1:2","state":"SERVING"}]}"#,
    );
    known.merge(list(
        r#"{"rev":2,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"DRAINING"},
            {"uid":"b","endpoint":"127.0.0.1:2","state":"DELETED"}]}"#,
    ));
    assert_eq!((known.revision, uids(&known)), (2, vec!["a".to_string()]));
    assert_eq!(known.members()[0].entry.state, EndpointState::Draining);
    known.merge(list(r#"{"rev":3,"all":true,"targets":[]}"#));
    assert!(known.complete && known.endpoints.is_empty());
}

#[test]
fn changes_apply_to_the_right_entry_after_other_entries_have_been_removed() {
    let states = |list: &EndpointList| {
        let described = list.endpoints.iter().map(|e| format!("{} {}", e.uid, e.state));
        described.collect::<std::collections::BTreeSet<_>>().into_iter().collect::<Vec<_>>()
    };
    let entry =
        |uid: &str, state: &str| format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:1","state":"{state}"}}"#);
    let change = |entries: &[String]| list(&format!(r#"{{"rev":2,"targets":[{}]}}"#, entries.join(",")));
    let complete = ["a", "b", "c", "b"].map(|uid| entry(uid, "SERVING")).join(",");
    let mut known = list(&format!(r#"{{"rev":1,"all":true,"targets":[{complete}]}}"#));
    known.merge(change(&[entry("a", "DELETED"), entry("x", "DELETED"), entry("d", "SERVING")]));
    known.merge(change(&[entry("c", "DRAINING"), entry("b", "DRAINING"), entry("d", "DELETED")]));
    assert_eq!(states(&known), ["b DRAINING", "c DRAINING"]);
    known.merge(change(&[entry("b", "DELETED"), entry("c", "SERVING"), entry("a", "SERVING")]));
    assert_eq!(states(&known), ["a SERVING", "c SERVING"]);
}

#[test]
fn only_removed_endpoints_may_have_an_unreadable_address() {
    let listed = list(
        r#"{"targets":[{"uid":"a","endpoint":"?","state":"SERVING"},
            {"uid":"b","endpoint":"?","state":"DELETED"}]}"#,
    );
    let members = listed.members();
    assert_eq!(members.len(), 1);
    assert_eq!(
        (members[0].entry.endpoint, members[0].entry.state),
        (endpoint_id("b"), EndpointState::Removed)
    );
}
