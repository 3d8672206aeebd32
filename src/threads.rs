//! Starts the proxy's threads.

/// The stack size of a thread. A small stack suffices because buffers are on the heap.
const STACK_BYTES: usize = 128 * 1024;

/// Starts a detached thread with a small stack. Fails if the system can't create another thread.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(drop)
}
