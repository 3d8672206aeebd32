//! The platform's front: simple queries of one statement each, with a comment that describes the request.

use super::final_answer::append_final_answer;
use super::{CommandStep, Protocol, ServiceState};
use crate::Micros;
use crate::client::{ParsedQuery, ParsedRequest, Refusal, SimpleQuery};
use crate::core::FinalAnswer;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::pg;
use crate::pg::message_tags::backend;

/// The platform's protocol.
#[derive(Default)]
pub struct Platform;

impl Protocol for Platform {
    type Command = SimpleQuery;
    type Session = ();
    type Context = ();

    fn new_session(&self) {}

    fn read_at(query: &SimpleQuery) -> Micros {
        query.received_at
    }

    fn refuse(query: &mut SimpleQuery, refusal: Refusal) {
        query.fields = Err(refusal.into());
    }

    fn start(&mut self, (): &mut (), query: SimpleQuery, service: ServiceState) -> CommandStep<Self> {
        match query.fields {
            // The layer in front of the proxies sends empty queries as health checks, to decide whether this
            // proxy may get clients.
            Ok(ParsedQuery::Empty) => match service {
                ServiceState::Starting => CommandStep::AwaitServiceState(query),
                ServiceState::InService => CommandStep::Reply(empty_query_reply()),
                ServiceState::OutOfService => {
                    CommandStep::Reply(error_reply(pg::sqlstate::CANNOT_CONNECT_NOW, "out of service"))
                }
            },
            Ok(ParsedQuery::Request(request, timeout_digits)) => {
                let member_request =
                    MemberRequest::SimpleQuery { text: query.text, timeout_digits: Some(timeout_digits) };
                CommandStep::Forward(ParsedRequest { member_request, ..*request }, ())
            }
            Err(invalid) => CommandStep::Reply(error_reply(invalid.sqlstate(), &invalid.to_string())),
        }
    }

    fn finish(&mut self, (): &mut (), (): (), answer: FinalAnswer<MemberResponse>) -> Vec<u8> {
        let mut bytes = Vec::new();
        append_final_answer(&mut bytes, &answer);
        pg::put_ready_for_query(&mut bytes);
        bytes
    }
}

fn empty_query_reply() -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::put_message(&mut bytes, backend::EMPTY_QUERY_RESPONSE, &[]);
    pg::put_ready_for_query(&mut bytes);
    bytes
}

fn error_reply(sqlstate: &str, text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::put_error_response(&mut bytes, "ERROR", sqlstate, text, None);
    pg::put_ready_for_query(&mut bytes);
    bytes
}
