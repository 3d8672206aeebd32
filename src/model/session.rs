//! The identity of a session's data.

use crate::GroupId;

/// A session's data in one group. Positions of different groups are times on different clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionInGroup {
    /// The session; 0 if unknown.
    pub session: u64,
    /// The group.
    pub group: GroupId,
}
