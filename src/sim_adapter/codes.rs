//! The codes of records in the simulator's protocol.

/// A kind of record from the simulator. The variants have the protocol's names.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EventCode {
    /// Starts an instance of the router, with its settings and seed.
    Enlist,
    /// A timer of the router fired.
    Timer,
    /// Ignored: the router needs no messages from other proxies.
    NeighbourSays,
    /// A health check ended.
    Probed,
    /// Defines or replaces a table of endpoint entries, which an `Update` refers to by its number.
    Table,
    /// The client of a request disconnected.
    Left,
    /// An attempt ended.
    Settled,
    /// A request arrived.
    Request,
    /// Ignored: the router does not need to know when the first byte of an answer arrived.
    FirstByte,
    /// The endpoint list changed, or polling it failed.
    Update,
    /// Stops an instance.
    Exit,
}

impl EventCode {
    pub(super) fn from_wire(code: u8) -> Option<Self> {
        Some(match code {
            16 => EventCode::Enlist,
            17 => EventCode::Timer,
            18 => EventCode::NeighbourSays,
            19 => EventCode::Probed,
            20 => EventCode::Table,
            21 => EventCode::Left,
            22 => EventCode::Settled,
            23 => EventCode::Request,
            24 => EventCode::FirstByte,
            25 => EventCode::Update,
            26 => EventCode::Exit,
            _ => return None,
        })
    }
}

/// A kind of record to the simulator. The variants have the protocol's names.
#[derive(Clone, Copy)]
#[repr(u8)]
pub(super) enum ActionCode {
    /// Sends an attempt of a request to an endpoint.
    Try = 16,
    /// Answers a request with a rejection.
    Reject = 17,
    /// Answers a request with a failure.
    GiveUp = 18,
    /// Cancels an attempt.
    Cancel = 19,
    /// Sets a timer.
    Arm = 20,
    /// Sends a health check to an endpoint.
    Touch = 21,
    /// Logs a text.
    Log = 24,
    /// Subscribes to the endpoint list.
    Listen = 26,
}
