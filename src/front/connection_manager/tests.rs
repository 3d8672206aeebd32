use super::*;
use crate::client::{ParsedQuery, ParsedRequest, SimpleQuery};
use crate::exchange::MemberRequest;
use crate::front::platform::Platform;
use crate::{ExecutedStatement, Request};

const GROUP: u32 = 2;
const CLIENT: ClientId = 16;
const MAX_REORDERED_BYTES: usize = 1000;

/// A connection manager with one connection.
struct Harness {
    manager: ConnectionManager<Platform>,
    registry: RequestRegistry,
}

impl Harness {
    fn connected() -> Self {
        let mut harness = Harness {
            manager: ConnectionManager::new(Platform, MAX_REORDERED_BYTES),
            registry: RequestRegistry::default(),
        };
        harness.handle(0, ClientEvent::Connected { secret: 1 });
        harness
    }

    fn handle(&mut self, now: Micros, event: ClientEvent<SimpleQuery>) -> Vec<FrontEffect> {
        self.manager.handle_event(&mut self.registry, now, CLIENT, event)
    }

    /// Sends one read per id, and returns the requests that were started.
    fn send_queries(&mut self, ids: impl Iterator<Item = u8>) -> Vec<RequestId> {
        ids.flat_map(|id| started_requests(self.handle(0, query(id)))).collect()
    }

    /// Answers a request with a response of `length` bytes, and returns the writes to the client.
    fn answer(&mut self, now: Micros, request: RequestId, length: usize) -> Vec<Vec<u8>> {
        written(self.manager.answer(&mut self.registry, now, CLIENT, request, served(length)))
    }
}

fn query(id: u8) -> ClientEvent<SimpleQuery> {
    command(id, false, &[7])
}

fn write_of_another_session(id: u8) -> ClientEvent<SimpleQuery> {
    command(id, true, &[8])
}

fn command(id: u8, writes: bool, sessions: &[u64]) -> ClientEvent<SimpleQuery> {
    let request = ParsedRequest {
        class: 0,
        statements: sessions.iter().map(|session| ExecutedStatement::new(0, *session)).collect(),
        sessions: sessions.to_vec(),
        read_sessions: sessions.to_vec(),
        writes,
        written_sessions: if writes { sessions.to_vec() } else { Vec::new() },
        group: GROUP,
        at_most_once: false,
        is_retry: false,
        external_id: vec![id],
        timeout: 1_000_000,
        member_request: MemberRequest::SimpleQuery { text: Vec::new(), timeout_digits: None },
    };
    ClientEvent::Command(SimpleQuery {
        received_at: 0,
        text: Vec::new(),
        fields: Ok(ParsedQuery::Request(Box::new(request), 0..0)),
    })
}

fn started_requests(effects: Vec<FrontEffect>) -> Vec<RequestId> {
    started(effects).into_iter().map(|request| request.id).collect()
}

fn started(effects: Vec<FrontEffect>) -> Vec<Request> {
    let request = |effect: FrontEffect| match effect {
        FrontEffect::StartRequest(started) => Some(started.request),
        _ => None,
    };
    effects.into_iter().filter_map(request).collect()
}

fn written(effects: Vec<FrontEffect>) -> Vec<Vec<u8>> {
    let bytes = |effect: FrontEffect| match effect {
        FrontEffect::Write(_, bytes) => Some(bytes),
        _ => None,
    };
    effects.into_iter().filter_map(bytes).collect()
}

fn served(length: usize) -> FinalAnswer<MemberResponse> {
    FinalAnswer::Served(MemberResponse { bytes: vec![b'.'; length], position: None, held: None })
}

#[test]
fn reply_that_exceeds_the_reorder_buffer_is_replaced_by_an_error() {
    let mut harness = Harness::connected();
    let requests = harness.send_queries(1..=3);
    assert_eq!(requests.len(), 3, "all reads run concurrently");
    assert!(harness.answer(1, requests[2], 900).is_empty());
    assert!(harness.answer(2, requests[1], 900).is_empty());
    let replies = harness.answer(3, requests[0], 5000);
    assert_eq!(replies.len(), 3);
    assert!(replies[0].len() > 5000, "the first reply is not buffered, so the limit does not apply");
    assert!(replies[1].windows(5).any(|code| code == b"08007"));
    assert!(replies[2].len() > 900);
    assert_eq!(harness.manager.reordered_bytes, 0);
}

/// Guards against the loss of a commit whose reply exceeds the reorder buffer: the write has been executed,
/// although its client gets an error.
#[test]
fn read_behind_a_write_whose_reply_is_replaced_by_an_error_must_see_its_commit() {
    let mut harness = Harness::connected();
    let first = started(harness.handle(0, query(1)))[0].id;
    let write = started(harness.handle(0, write_of_another_session(2)))[0].id;
    assert!(started(harness.handle(0, query(3))).is_empty(), "the read waits for the write");
    let confirmed =
        FinalAnswer::Served(MemberResponse { bytes: vec![b'.'; 5000], position: Some(77), held: None });
    let effects = harness.manager.answer(&mut harness.registry, 1, CLIENT, write, confirmed);
    assert_eq!(started(effects)[0].statements[0].min_position, Some(77));
    let replies = harness.answer(2, first, 10);
    assert!(replies[1].windows(5).any(|code| code == b"08007"), "the reply to the write is an error");
}

/// Guards against a read of several sessions that sees a later write of one of them, and against a read
/// that lacks the commit of a write for several sessions.
#[test]
fn command_of_several_sessions_keeps_its_order_with_writes_of_each_of_them() {
    let mut harness = Harness::connected();
    let read = started(harness.handle(0, command(1, false, &[7, 8])))[0].id;
    assert!(
        started(harness.handle(0, write_of_another_session(2))).is_empty(),
        "the write of session 8 waits"
    );
    let write = started(harness.manager.answer(&mut harness.registry, 1, CLIENT, read, served(1)));
    let confirmed = FinalAnswer::Served(MemberResponse { bytes: Vec::new(), position: Some(77), held: None });
    harness.manager.answer(&mut harness.registry, 2, CLIENT, write[0].id, confirmed);
    let later = |event| match event {
        ClientEvent::Command(query) => ClientEvent::Command(SimpleQuery { received_at: 3, ..query }),
        event => event,
    };
    let reads = started(harness.handle(3, later(command(3, false, &[7, 8]))));
    let position = reads[0].statements.iter().filter_map(|statement| statement.min_position).max();
    assert_eq!(position, Some(77), "session 8 has written");
}

#[test]
fn disconnect_releases_the_clients_reordered_replies() {
    let mut harness = Harness::connected();
    let requests = harness.send_queries(1..=2);
    harness.answer(1, requests[1], 900);
    assert!(harness.manager.reordered_bytes >= 900);
    harness.handle(2, ClientEvent::Disconnected);
    assert_eq!(harness.manager.reordered_bytes, 0);
}
