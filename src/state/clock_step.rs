//! A step of a group's clock, as reported in the log.

use crate::GroupId;
use std::fmt;

const MICROS_PER_SECOND: f64 = 1e6;

/// A group's clock was found to differ from its earlier estimate: either it was stepped, or the host's clock
/// was wrong when the program started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClockStep {
    pub(crate) group: GroupId,
    /// How far the group's clock is ahead of the host's clock now, in microseconds, if known.
    pub(crate) offset: Option<i64>,
}

impl fmt::Display for ClockStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ClockStep { group, offset } = self;
        match offset {
            Some(offset) => {
                let seconds = *offset as f64 / MICROS_PER_SECOND;
                write!(formatter, "clock of group {group} stepped: {seconds:+.3} s against this proxy's")
            }
            None => write!(formatter, "clock of group {group} stepped: unknown until its primary answers"),
        }
    }
}
