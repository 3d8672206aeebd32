//! Encodes the actions of a router as records of the simulator's protocol.

use super::codes::ActionCode;
use crate::{Action, EndpointId, Micros};

/// The size of the code and of the length field, which precede the fields of a record.
const PREFIX_BYTES: usize = 5;
/// The field of a `Listen` record that requests a subscription to the endpoint list.
const SUBSCRIBE: u8 = 1;

/// Appends the record of an action of this instance to a reply.
pub(super) fn encode_action(instance: u32, action: &Action, reply: &mut Vec<u8>) {
    let start = reply.len();
    reply.extend([0; PREFIX_BYTES]);
    reply.extend(instance.to_be_bytes());
    let code = encode_fields(action, reply);
    let size = (reply.len() - start - PREFIX_BYTES) as u32;
    reply[start] = code as u8;
    reply[start + 1..start + PREFIX_BYTES].copy_from_slice(&size.to_be_bytes());
}

fn encode_fields(action: &Action, reply: &mut Vec<u8>) -> ActionCode {
    match action {
        Action::Send { request, endpoint, timeout, .. } => {
            reply.extend(request.to_be_bytes());
            reply.extend(endpoint_bytes(*endpoint));
            reply.extend(duration_bytes(*timeout));
            ActionCode::Try
        }
        Action::Reject { request, retry_after, .. } => {
            reply.extend(request.to_be_bytes());
            reply.extend(duration_bytes(*retry_after));
            ActionCode::Reject
        }
        Action::Fail { request, .. } => {
            reply.extend(request.to_be_bytes());
            ActionCode::GiveUp
        }
        Action::Cancel { request, attempt } => {
            reply.extend(request.to_be_bytes());
            reply.push(*attempt as u8);
            ActionCode::Cancel
        }
        Action::SetTimer { token, after } => {
            reply.extend(token.to_be_bytes());
            reply.extend(duration_bytes(*after));
            ActionCode::Arm
        }
        Action::Probe(endpoint) => {
            reply.extend(endpoint_bytes(*endpoint));
            ActionCode::Touch
        }
        Action::Log(text) => encode_log(text, reply),
        Action::EndpointEjected { endpoint, cause } => {
            encode_log(&format!("endpoint {:012x} ejected: {cause}", endpoint.0), reply)
        }
        Action::Subscribe => {
            reply.push(SUBSCRIBE);
            ActionCode::Listen
        }
    }
}

fn encode_log(text: &str, reply: &mut Vec<u8>) -> ActionCode {
    let size = text.len().min(usize::from(u16::MAX));
    reply.extend((size as u16).to_be_bytes());
    reply.extend(&text.as_bytes()[..size]);
    ActionCode::Log
}

/// The id of an endpoint in the protocol: its six low bytes. The ids that the simulator assigns need no more.
fn endpoint_bytes(endpoint: EndpointId) -> [u8; 6] {
    let [_, _, low @ ..] = endpoint.0.to_be_bytes();
    low
}

/// A duration in the protocol: 32 bits of microseconds. A longer duration becomes the longest one.
fn duration_bytes(duration: Micros) -> [u8; 4] {
    u32::try_from(duration).unwrap_or(u32::MAX).to_be_bytes()
}
