//! The platform's front: simple queries, one statement each, described by the comment that they carry.

use super::{CommandStep, Protocol, ServiceState, put_verdict};
use crate::Micros;
use crate::client::{ParsedQuery, ParsedRequest, SimpleQuery};
use crate::core::FinalAnswer;
use crate::exchange::{MemberRequest, MemberResponse};
use crate::pg;

/// The platform's way of talking.
#[derive(Default)]
pub struct Platform;

impl Protocol for Platform {
    type Command = SimpleQuery;
    type Session = ();
    type Context = ();

    fn read_at(query: &SimpleQuery) -> Micros {
        query.at
    }

    fn start(&mut self, (): &mut (), query: SimpleQuery, service: ServiceState) -> CommandStep<Self> {
        let mut bytes = Vec::new();
        match query.fields {
            Ok(ParsedQuery::Empty) if service == ServiceState::Starting => return CommandStep::Defer(query),
            // The front layer's question, whether it may send clients.
            Ok(ParsedQuery::Empty) if service == ServiceState::OutOfService => {
                pg::put_error_response(
                    &mut bytes,
                    "ERROR",
                    pg::sqlstate::CANNOT_CONNECT_NOW,
                    "out of service",
                    None,
                );
            }
            Ok(ParsedQuery::Empty) => pg::put_message(&mut bytes, b'I', &[]),
            Err(why) => pg::put_error_response(
                &mut bytes,
                "ERROR",
                pg::sqlstate::PROTOCOL_VIOLATION,
                &why.to_string(),
                None,
            ),
            Ok(ParsedQuery::Request(ask, place)) => {
                let member_request =
                    MemberRequest::SimpleQuery { text: query.text, wait_digits: Some(place) };
                return CommandStep::Forward(ParsedRequest { member_request, ..*ask }, ());
            }
        }
        pg::put_ready_for_query(&mut bytes);
        CommandStep::Reply(bytes)
    }

    fn finish(&mut self, (): &mut (), (): (), verdict: FinalAnswer<MemberResponse>) -> Vec<u8> {
        let mut bytes = Vec::new();
        put_verdict(&mut bytes, &verdict);
        pg::put_ready_for_query(&mut bytes);
        bytes
    }
}
