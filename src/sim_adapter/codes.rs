//! The codes of records in the simulator's protocol.

/// A kind of record from the simulator.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EventCode {
    Enlist,
    Timer,
    NeighbourSays,
    Probed,
    Table,
    Left,
    Settled,
    Request,
    FirstByte,
    Update,
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

/// A kind of record to the simulator.
#[derive(Clone, Copy)]
#[repr(u8)]
pub(super) enum ActionCode {
    Try = 16,
    Reject = 17,
    GiveUp = 18,
    Cancel = 19,
    Arm = 20,
    Touch = 21,
    Log = 24,
    Listen = 26,
}
