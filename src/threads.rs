//! Threads with small stacks.

/// Threads need little stack: buffers are on the heap.
const STACK_BYTES: usize = 128 * 1024;

/// Starts a detached thread with a small stack; fails where the system has no thread left.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(drop)
}
