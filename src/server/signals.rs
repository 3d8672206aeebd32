//! The signals of the process, as messages to the event loop.

use super::{Message, Messages};
use crate::config::Config;
use crate::threads::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Starts the thread that waits for signals. SIGHUP reads the configuration again; SIGTERM and SIGINT request
/// a shutdown.
pub(super) fn start(messages: Messages) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    spawn("signals", move || {
        for signal in signals.forever() {
            let message = match signal {
                SIGHUP => Message::Reload(Box::new(Config::from_file())),
                _ => Message::Terminate,
            };
            let _ = messages.send(message);
        }
    })
}
