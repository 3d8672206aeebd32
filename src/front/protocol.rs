//! The [`Protocol`] trait: the part of a front that depends on the protocol of its clients.

use crate::Micros;
use crate::client::{ParsedRequest, Refusal};
use crate::core::FinalAnswer;
use crate::exchange::MemberResponse;
use crate::store::Change;

/// Whether new clients may be sent to this proxy, as set by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// The proxy is starting. On the platform's front, empty queries, which serve as health checks, wait for
    /// the next state.
    Starting,
    /// New clients may be sent to this proxy.
    InService,
    /// An operator has taken this proxy out of service. Open connections are still served.
    OutOfService,
}

/// How a command proceeds.
pub enum CommandStep<P: Protocol + ?Sized> {
    /// The command waits until the service state changes, and is then started again.
    AwaitServiceState(P::Command),
    /// The command is answered with these bytes, without the core.
    Reply(Vec<u8>),
    /// The command is a request for the core, with the context that the reply depends on.
    Forward(ParsedRequest, P::Context),
}

/// The protocol that a front speaks with its clients.
pub trait Protocol {
    /// A command, as the reactor thread of the client connections reports it.
    type Command;
    /// The state that a connection keeps from command to command.
    type Session;
    /// The context of a request, which its reply depends on.
    type Context;

    /// Creates the state of a new connection.
    fn new_session(&self) -> Self::Session;

    /// The time at which the command's last byte was read.
    fn read_at(command: &Self::Command) -> Micros;

    /// Whether the command can be processed only after unfinished requests of its connection. `unfinished`
    /// holds the contexts of all requests that precede the command and have no final answer yet.
    fn must_wait(_command: &Self::Command, _unfinished: &[&Self::Context]) -> bool {
        false
    }

    /// Marks a command that has not been started as refused; [`Protocol::start`] then answers it.
    fn refuse(command: &mut Self::Command, refusal: Refusal);

    /// Starts the next command of a connection.
    fn start(
        &mut self,
        session: &mut Self::Session,
        command: Self::Command,
        service: ServiceState,
    ) -> CommandStep<Self>;

    /// Removes and returns the changes for the store that have been collected since the last call.
    fn take_store_changes(&mut self) -> Vec<Change> {
        Vec::new()
    }

    /// Records a commit that a member has confirmed in its response to a request, whatever is then sent to
    /// the client.
    fn record_commit(&mut self, _context: &Self::Context, _response: &MemberResponse) {}

    /// Builds the reply to a request that [`Protocol::start`] forwarded, with ReadyForQuery where the
    /// protocol demands it.
    fn finish(
        &mut self,
        session: &mut Self::Session,
        context: Self::Context,
        answer: FinalAnswer<MemberResponse>,
    ) -> Vec<u8>;
}
