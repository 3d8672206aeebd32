//! The time for which a proxy may be paused.

use crate::Micros;

/// A proxy may be paused for this long between reading its clock and writing.
const MAX_PROCESS_PAUSE: Micros = 150_000;
/// At most this part of a window is kept back for that. Guards against a class with a short window that could
/// not be served at all.
const WINDOW_DIVISOR: Micros = 4;

/// How long before a window ends a send must be decided and begun, so that a proxy that is paused still
/// writes within the window.
pub fn process_pause_margin(window: Micros) -> Micros {
    MAX_PROCESS_PAUSE.min(window / WINDOW_DIVISOR)
}
