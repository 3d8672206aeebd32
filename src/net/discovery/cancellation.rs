//! Ends the thread of a watch, whatever it waits for.

use std::io::Result;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

/// The owner's end. Dropping it cancels, too.
pub(super) struct Cancellation(UnixStream);

impl Cancellation {
    /// Both ends.
    pub(super) fn new() -> Result<(Cancellation, CancellationReceiver)> {
        let (owner, thread) = UnixStream::pair()?;
        thread.set_nonblocking(true)?;
        Ok((Cancellation(owner), CancellationReceiver(thread)))
    }

    /// Cancels.
    pub(super) fn cancel(&self) {
        let _ = self.0.shutdown(std::net::Shutdown::Both);
    }
}

/// The thread's end.
pub(super) struct CancellationReceiver(UnixStream);

impl CancellationReceiver {
    /// Whether the watch has been cancelled.
    pub(super) fn is_canceled(&self) -> bool {
        matches!(std::io::Read::read(&mut &self.0, &mut [0]), Ok(0))
    }
}

impl AsFd for CancellationReceiver {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
