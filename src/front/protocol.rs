//! The differences between the fronts.

use crate::Micros;
use crate::client::ParsedRequest;
use crate::core::FinalAnswer;
use crate::exchange::MemberResponse;
use crate::store::Change;

/// The proxy's readiness for clients, as set by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// Not known yet: empty queries wait.
    Starting,
    /// Clients may be sent here.
    InService,
    /// An operator has taken this proxy out of service. Open connections are still served.
    OutOfService,
}

/// The next step of a command.
pub enum CommandStep<P: Protocol + ?Sized> {
    /// The command waits until the service state changes.
    Defer(P::Command),
    /// The command is answered with these bytes, without the core.
    Reply(Vec<u8>),
    /// The command is a request for the core.
    Forward(ParsedRequest, P::Context),
}

/// The protocol that a front speaks with its clients.
pub trait Protocol {
    /// A command, as passed on by the reader.
    type Command;
    /// The state of a connection that outlives a command.
    type Session: Default;
    /// The context of a request that its reply depends on.
    type Context;

    /// When the command's last byte was read.
    fn read_at(command: &Self::Command) -> Micros;

    /// Whether the command can be processed only once these earlier ones of its connection have been
    /// answered.
    fn must_wait(_command: &Self::Command, _unfinished: &[&Self::Context]) -> bool {
        false
    }

    /// Starts a connection's next command.
    fn start(
        &mut self,
        session: &mut Self::Session,
        command: Self::Command,
        service: ServiceState,
    ) -> CommandStep<Self>;

    /// Takes the changes that the store is to record since the last call.
    fn take_store_changes(&mut self) -> Vec<Change> {
        Vec::new()
    }

    /// The reply to a request that [`Protocol::start`] forwarded, up to ReadyForQuery.
    fn finish(
        &mut self,
        session: &mut Self::Session,
        context: Self::Context,
        answer: FinalAnswer<MemberResponse>,
    ) -> Vec<u8>;
}
