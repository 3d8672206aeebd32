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
fn only_endpoints_that_are_gone_may_lack_an_address() {
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
