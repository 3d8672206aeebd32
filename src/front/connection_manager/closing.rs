//! How connections end: idle ones that are closed, those of clients that leave, and those that end with a
//! last message of the client.

use super::{ConnectionManager, process_id};
use crate::Micros;
use crate::client::{ClientCloseReason, ClientId, Refusal};
use crate::core::FinalAnswer;
use crate::front::connection::{Connection, ConnectionEnd};
use crate::front::{FrontEffect, Protocol, RequestRegistry};
use crate::pg;

impl<P: Protocol> ConnectionManager<P> {
    /// Requests the close of an idle connection if connections are to be closed between requests.
    pub(super) fn close_if_idle(&mut self, id: ClientId, effects: &mut Vec<FrontEffect>) {
        let idle = self.connections.get(&id).is_some_and(Connection::is_idle);
        if self.closing && idle {
            effects.push(FrontEffect::CloseIfIdle(id));
        }
    }

    /// Removes a connection and abandons its running requests.
    pub(super) fn close_connection(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        reason: ClientCloseReason,
        effects: &mut Vec<FrontEffect>,
    ) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.reordered_bytes -= connection.pipeline.buffered_bytes();
        abandon_running(&connection, registry, now, effects);
        effects.push(FrontEffect::Close(id, reason));
    }

    /// Answers all commands of a connection that waits for the rest of a command for too long. Each of
    /// them has had at least as much time.
    pub(super) fn end_commands(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        effects: &mut Vec<FrontEffect>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        abandon_running(connection, registry, now, effects);
        let (protocol, session) = (&mut self.protocol, &mut connection.session);
        let buffered_before = connection.pipeline.buffered_bytes();
        let reply = |context, answer| protocol.finish(session, context, answer);
        connection.pipeline.end_all(Refusal::ConnectionClosed, reply);
        self.reordered_bytes += connection.pipeline.buffered_bytes() - buffered_before;
        self.advance(registry, now, id, effects);
    }

    /// Closes a connection once its earlier commands have been answered, as PostgreSQL does, which reads the
    /// message that ends the connection only then.
    pub(super) fn end_connection(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        end: ConnectionEnd,
        effects: &mut Vec<FrontEffect>,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.end.get_or_insert(end);
        }
        self.close_if_ended(registry, now, id, effects);
    }

    /// Closes a connection that has ended and has no unanswered command.
    pub(super) fn close_if_ended(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        effects: &mut Vec<FrontEffect>,
    ) {
        let Some(connection) = self.connections.get(&id).filter(|connection| connection.is_idle()) else {
            return;
        };
        match connection.end.clone() {
            None => {}
            Some(ConnectionEnd::Terminate) => {
                self.close_connection(registry, now, id, ClientCloseReason::ClosedByClient, effects);
            }
            Some(ConnectionEnd::Error { sqlstate, text }) => {
                self.close_with_error(registry, now, id, sqlstate, &text, effects);
            }
        }
    }

    /// Sends a FATAL error and closes the connection.
    pub(super) fn close_with_error(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        id: ClientId,
        sqlstate: &str,
        text: &str,
        effects: &mut Vec<FrontEffect>,
    ) {
        let mut bytes = Vec::new();
        pg::put_error_response(&mut bytes, "FATAL", sqlstate, text, None);
        effects.push(FrontEffect::Write(id, bytes));
        let reason = match sqlstate {
            pg::sqlstate::PROTOCOL_VIOLATION => ClientCloseReason::ProtocolViolation,
            _ => ClientCloseReason::NotSupported,
        };
        self.close_connection(registry, now, id, reason, effects);
    }

    /// Cancels the first running request of the connection with this cancel key. PostgreSQL, which executes
    /// one command at a time, cancels the command that is running.
    pub(super) fn cancel(
        &mut self,
        registry: &mut RequestRegistry,
        now: Micros,
        process: u32,
        secret: u32,
        effects: &mut Vec<FrontEffect>,
    ) {
        let mut connections = self.connections.iter();
        let found =
            connections.find(|(id, connection)| process_id(**id) == process && connection.secret == secret);
        let Some((&id, connection)) = found else { return };
        let Some(request) = connection.pipeline.first_running() else { return };
        registry.abandon(request, now);
        effects.push(FrontEffect::AbandonRequest(request));
        let answer = FinalAnswer::Failed { maybe_executed: true };
        effects.extend(self.answer(registry, now, id, request, answer));
    }
}

/// Abandons the running requests of a connection.
fn abandon_running<P: Protocol>(
    connection: &Connection<P>,
    registry: &mut RequestRegistry,
    now: Micros,
    effects: &mut Vec<FrontEffect>,
) {
    for request in connection.pipeline.running() {
        registry.abandon(request, now);
        effects.push(FrontEffect::AbandonRequest(request));
    }
}
