//! The effects that the fronts request from the host.

use crate::RequestId;
use crate::client::{ClientCloseReason, ClientId};
use crate::core::NewRequest;
use crate::exchange::MemberRequest;
use crate::store::Change;

/// An effect that a front requests. The host carries out effects one by one, in the order of the list.
pub enum FrontEffect {
    /// Write these bytes to a client.
    Write(ClientId, Vec<u8>),
    /// Close a client's connection once all bytes for the client have been written.
    Close(ClientId, ClientCloseReason),
    /// Close a client's connection unless part of another command has arrived. If the host closes the
    /// connection, it calls
    /// [`ConnectionManager::remove_connection`](super::ConnectionManager::remove_connection).
    CloseIfIdle(ClientId),
    /// Count a client's oldest command as answered, so that another command of the client may be read.
    CommandAnswered(ClientId),
    /// Start a request in the core.
    StartRequest(NewRequest<MemberRequest>),
    /// Abandon a request, which its client has cancelled or whose client has disconnected.
    AbandonRequest(RequestId),
    /// Propose a change to the store.
    RecordChange(Change),
}
