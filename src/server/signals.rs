//! Turns the signals that the process receives into messages to the event loop.

use super::{Message, Messages};
use crate::config::Config;
use crate::threads::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The pause after waiting for a signal has failed.
const WAIT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Starts the thread that waits for signals. On SIGHUP, the thread reads the configuration file again and
/// sends the result; on SIGTERM and SIGINT, it requests a shutdown.
pub(super) fn start(messages: Messages) -> std::io::Result<()> {
    let (mut arrived, wake) = UnixStream::pair()?;
    let read = arrived.try_clone()?;
    let mut signals = SignalDelivery::with_pipe(read, wake, SignalOnly, [SIGTERM, SIGINT, SIGHUP])?;
    spawn("signals", move || {
        loop {
            // The error may be transient, so the read is retried. If the thread ended, no signal would be
            // handled any more.
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
