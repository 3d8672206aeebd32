//! The cancellation of a watch's thread, whatever the thread waits for.
//!
//! A socket pair carries it, so that the thread can wait for it and for the sockets of its calls together.

use std::io::Result;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

/// The owner's end of the socket pair. Dropping it cancels the watch, too.
pub(super) struct Cancellation(UnixStream);

impl Cancellation {
    /// Creates both ends.
    pub(super) fn new() -> Result<(Cancellation, CancellationReceiver)> {
        let (owner, thread) = UnixStream::pair()?;
        thread.set_nonblocking(true)?;
        Ok((Cancellation(owner), CancellationReceiver(thread)))
    }

    /// Cancels the watch: the receiver becomes readable.
    pub(super) fn cancel(&self) {
        let _ = self.0.shutdown(std::net::Shutdown::Both);
    }
}

/// The end of the socket pair that the watch's thread holds.
pub(super) struct CancellationReceiver(UnixStream);

impl CancellationReceiver {
    /// Whether the watch has been cancelled.
    pub(super) fn is_cancelled(&self) -> bool {
        matches!(std::io::Read::read(&mut &self.0, &mut [0]), Ok(0))
    }
}

impl AsFd for CancellationReceiver {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
