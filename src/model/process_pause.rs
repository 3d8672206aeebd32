//! The margin for pauses of the proxy's process, for example while the operating system suspends it.

use crate::Micros;

/// The longest pause between reading the clock and writing to a socket that the margin covers.
const MAX_PROCESS_PAUSE: Micros = 150_000;
/// The margin is at most the window divided by this. Otherwise the margin could exceed a short window, and
/// requests of its class would never be sent.
const WINDOW_DIVISOR: Micros = 4;

/// Returns how long before the end of a window the last request may be sent, so that it is written within the
/// window even if the process is paused in between.
pub fn process_pause_margin(window: Micros) -> Micros {
    MAX_PROCESS_PAUSE.min(window / WINDOW_DIVISOR)
}
