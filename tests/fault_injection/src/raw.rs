//! System calls for the library's own use, which bypass the interposed functions.

use std::ffi::CStr;
use std::mem::MaybeUninit;
use std::os::raw::{c_int, c_long, c_void};
use std::time::Duration;

/// The number of bytes that one call reads from a file.
const READ_BYTES: usize = 4096;

/// Identifies a version of a file: it differs after the file was replaced or changed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct FileVersion {
    inode: u64,
    modified_s: i64,
    modified_ns: i64,
    bytes: i64,
}

/// The version of the file; `None` if the file does not exist.
pub fn file_version(path: &CStr) -> Option<FileVersion> {
    let mut status = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the path is a C string and the buffer is large enough for the result.
    let result = unsafe {
        libc::syscall(libc::SYS_newfstatat, libc::AT_FDCWD, path.as_ptr(), status.as_mut_ptr(), 0 as c_int)
    };
    // SAFETY: the buffer was zeroed and then filled in; all its bit patterns are valid.
    let status = unsafe { status.assume_init() };
    (result == 0).then_some(FileVersion {
        inode: status.st_ino,
        modified_s: status.st_mtime,
        modified_ns: status.st_mtime_nsec,
        bytes: status.st_size,
    })
}

/// The contents of a file; empty if it can't be read.
pub fn read_file(path: &CStr) -> Vec<u8> {
    let mut contents = Vec::new();
    let Some(descriptor) = open(path, libc::O_RDONLY | libc::O_CLOEXEC) else { return contents };
    let mut chunk = [0_u8; READ_BYTES];
    loop {
        // SAFETY: the buffer is as long as stated.
        let length = unsafe { libc::syscall(libc::SYS_read, descriptor, chunk.as_mut_ptr(), chunk.len()) };
        let Some(bytes) = usize::try_from(length).ok().and_then(|length| chunk.get(..length)) else { break };
        if bytes.is_empty() {
            break;
        }
        contents.extend_from_slice(bytes);
    }
    close(descriptor);
    contents
}

/// Appends a line to a file, which is created if it does not exist.
pub fn append_line(path: &CStr, line: &str) {
    let flags = libc::O_WRONLY | libc::O_APPEND | libc::O_CREAT | libc::O_CLOEXEC;
    let Some(descriptor) = open(path, flags) else { return };
    write(descriptor, &format!("{line}\n"));
    close(descriptor);
}

/// Writes a text to a descriptor.
pub fn write(descriptor: c_int, text: &str) {
    // SAFETY: the buffer is as long as stated.
    unsafe { libc::syscall(libc::SYS_write, descriptor, text.as_ptr(), text.len()) };
}

fn open(path: &CStr, flags: c_int) -> Option<c_int> {
    const MODE: c_int = 0o600;
    // SAFETY: the path is a C string.
    let result = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, MODE) };
    c_int::try_from(result).ok().filter(|descriptor| *descriptor >= 0)
}

fn close(descriptor: c_int) {
    // SAFETY: the descriptor was opened here.
    unsafe { libc::syscall(libc::SYS_close, descriptor) };
}

/// The time on the monotonic clock.
pub fn monotonic() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the buffer is large enough for the result.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}

pub fn sleep(duration: Duration) {
    let wait = libc::timespec {
        tv_sec: duration.as_secs() as i64,
        tv_nsec: c_long::from(duration.subsec_nanos() as i32),
    };
    // SAFETY: the duration is valid, and the pointer for the remaining time may be null.
    unsafe { libc::syscall(libc::SYS_nanosleep, &raw const wait, std::ptr::null_mut::<c_void>()) };
}

/// The value of an integer option of a socket; `None` if the descriptor is not a socket.
pub fn socket_option(descriptor: c_int, option: c_int) -> Option<c_int> {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as libc::socklen_t;
    // SAFETY: the buffer is as long as stated.
    let result = unsafe {
        libc::syscall(
            libc::SYS_getsockopt,
            descriptor,
            libc::SOL_SOCKET,
            option,
            &raw mut value,
            &raw mut length,
        )
    };
    (result == 0).then_some(value)
}

/// Writes the reason as a line to standard error, and aborts the program.
pub fn abort(reason: &str) -> ! {
    write(libc::STDERR_FILENO, &format!("fault_injection: {reason}\n"));
    std::process::abort()
}
