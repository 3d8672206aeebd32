//! Effects that the fronts request from the host.

use crate::RequestId;
use crate::client::{ClientCloseReason, ClientId};
use crate::core::NewRequest;
use crate::exchange::MemberRequest;
use crate::store::Change;

/// An effect that a front requests. The order of effects matters: the host carries them out one by one.
pub enum FrontEffect {
    /// Write to a client.
    Write(ClientId, Vec<u8>),
    /// Close a client's connection once everything has been written.
    Close(ClientId, ClientCloseReason),
    /// Close it unless part of another command has arrived; the host notifies the connection manager with
    /// [`ConnectionManager::remove_connection`](super::ConnectionManager::remove_connection) if it was
    /// closed.
    CloseIfIdle(ClientId),
    /// A command is answered: the client may send one more.
    CommandAnswered(ClientId),
    /// Start a request.
    StartRequest(NewRequest<MemberRequest>),
    /// A request's client has disconnected or cancelled it.
    AbandonRequest(RequestId),
    /// Record a change in the store.
    RecordChange(Change),
}
