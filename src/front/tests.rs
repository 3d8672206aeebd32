use super::platform::Platform;
use super::*;
use crate::client::{ParsedQuery, SimpleQuery};

const GROUP: u32 = 2;
const CLIENT: ClientId = 16;

fn query(id: u8) -> ClientEvent<SimpleQuery> {
    let ask = ParsedRequest {
        class: 0,
        writes: false,
        group: GROUP,
        session: 7,
        required_position: None,
        is_retry: false,
        external_id: vec![id],
        timeout: 1_000_000,
        member_request: MemberRequest::SimpleQuery { text: Vec::new(), wait_digits: None },
    };
    ClientEvent::Command(SimpleQuery {
        at: 0,
        text: Vec::new(),
        fields: Ok(ParsedQuery::Request(Box::new(ask), 0..0)),
    })
}

fn taken(out: Vec<FrontEffect>) -> Vec<RequestId> {
    let id = |out: FrontEffect| {
        if let FrontEffect::StartRequest(arrival) = out { Some(arrival.request.id) } else { None }
    };
    out.into_iter().filter_map(id).collect()
}

fn written(out: Vec<FrontEffect>) -> Vec<Vec<u8>> {
    let bytes = |out: FrontEffect| if let FrontEffect::Write(_, bytes) = out { Some(bytes) } else { None };
    out.into_iter().filter_map(bytes).collect()
}

fn served(length: usize) -> FinalAnswer<MemberResponse> {
    FinalAnswer::Served(MemberResponse { bytes: vec![b'.'; length], commit_position: None })
}

#[test]
fn a_reply_that_the_reorder_buffers_have_no_room_for_becomes_an_error() {
    let (mut lobby, mut desk) = (ConnectionManager::new(Platform, 1000), RequestRegistry::default());
    lobby.said(&mut desk, 0, CLIENT, ClientEvent::Connected { secret: 1 });
    let requests: Vec<_> =
        (1..=3).flat_map(|id| taken(lobby.said(&mut desk, 0, CLIENT, query(id)))).collect();
    assert_eq!(requests.len(), 3, "they run side by side");
    assert!(written(lobby.answer(&mut desk, 1, CLIENT, requests[2], served(900))).is_empty());
    assert!(written(lobby.answer(&mut desk, 2, CLIENT, requests[1], served(900))).is_empty());
    let replies = written(lobby.answer(&mut desk, 3, CLIENT, requests[0], served(5000)));
    assert_eq!(replies.len(), 3);
    assert!(replies[0].len() > 5000, "the first one waits for nothing and needs no room");
    assert!(replies[1].windows(5).any(|code| code == b"08007"));
    assert!(replies[2].len() > 900);
    assert_eq!(lobby.reordered, 0);
}

#[test]
fn what_a_client_that_left_had_waiting_takes_no_room_any_more() {
    let (mut lobby, mut desk) = (ConnectionManager::new(Platform, 1000), RequestRegistry::default());
    lobby.said(&mut desk, 0, CLIENT, ClientEvent::Connected { secret: 1 });
    let requests: Vec<_> =
        (1..=2).flat_map(|id| taken(lobby.said(&mut desk, 0, CLIENT, query(id)))).collect();
    lobby.answer(&mut desk, 1, CLIENT, requests[1], served(900));
    assert!(lobby.reordered >= 900);
    lobby.said(&mut desk, 2, CLIENT, ClientEvent::Disconnected);
    assert_eq!(lobby.reordered, 0);
}
