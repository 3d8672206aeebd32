//! The signals of the process, as messages to the event loop.

use super::{Message, Messages};
use crate::config::Config;
use crate::threads::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The pause after a wait that failed.
const WAIT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts the thread that waits for signals. SIGHUP reads the configuration again; SIGTERM and SIGINT request
/// a shutdown.
pub(super) fn start(messages: Messages) -> std::io::Result<()> {
    let (mut arrived, wake) = UnixStream::pair()?;
    let read = arrived.try_clone()?;
    let mut signals = SignalDelivery::with_pipe(read, wake, SignalOnly, [SIGTERM, SIGINT, SIGHUP])?;
    spawn("signals", move || {
        loop {
            // Guards against the end of the thread, and of all signals, by an error that lasts for a moment.
            if arrived.read(&mut [0]).is_err() {
                std::thread::sleep(WAIT_RETRY_DELAY);
            }
            for signal in signals.pending() {
                let message = match signal {
                    SIGHUP => Message::Reload(Box::new(Config::from_file())),
                    _ => Message::Terminate,
                };
                let _ = messages.send(message);
            }
        }
    })
}
