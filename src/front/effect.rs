//! What the fronts want the host to do.

use crate::RequestId;
use crate::client::ClientId;
use crate::core::NewRequest;
use crate::exchange::MemberRequest;
use crate::store::Change;

/// What a front wants done. The order of effects matters: the host carries them out one after the other.
pub enum FrontEffect {
    /// Write to a client.
    Write(ClientId, Vec<u8>),
    /// Close a client's connection once everything has been written.
    Close(ClientId),
    /// Close it unless part of another command has come; the connection manager is told with
    /// [`ConnectionManager::forget`](super::ConnectionManager::forget) if it was closed.
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
