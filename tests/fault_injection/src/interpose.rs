//! The interposed functions of the C library. Each applies the effect that the script has on the call, and
//! makes the system call itself. The signatures are those of the C library. Variadic functions are declared
//! with one argument of the size of an integer or a pointer: programs pass at most one.

use crate::injector::decide;
use crate::script::{Call, Effect};
use crate::subject::{Subject, socket_address, track};
use std::ffi::CStr;
use std::os::raw::{c_char, c_int, c_long, c_uint, c_ulong, c_void};
use std::sync::OnceLock;

/// The return value of a call that fails.
const FAILED: c_int = -1;

/// Makes a system call, or fails without making it if the script says so.
macro_rules! call_or_fail {
    ($call:expr, $subject:expr, $result:ty, $number:expr $(, $argument:expr)*) => {
        match decide($call, &$subject) {
            Some(Effect::Error(errno)) => fail(errno) as $result,
            // SAFETY: the arguments are those that the caller passed for this call.
            _ => unsafe { libc::syscall($number $(, $argument)*) as $result },
        }
    };
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the pointer is valid, and refers to the error number of this thread.
    unsafe { *libc::__errno_location() = errno };
    FAILED
}

/// Makes a system call that transfers bytes, with the length that the script allows, or fails without making
/// the call if the script says so.
fn transfer(
    call: Call,
    descriptor: c_int,
    length: usize,
    system_call: impl FnOnce(usize) -> c_long,
) -> isize {
    match decide(call, &Subject::Descriptor(descriptor)) {
        Some(Effect::Error(errno)) => fail(errno) as isize,
        Some(Effect::Short(most)) => system_call(length.min(most)) as isize,
        _ => system_call(length) as isize,
    }
}

#[unsafe(no_mangle)]
extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let result =
        call_or_fail!(Call::Socket, Subject::Nothing, c_int, libc::SYS_socket, domain, kind, protocol);
    track(result, false);
    result
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(
    descriptor: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    // SAFETY: the caller passes an address of this length.
    let peer = unsafe { socket_address(address, length) };
    let subject = Subject::Connecting { descriptor, peer };
    call_or_fail!(Call::Connect, subject, c_int, libc::SYS_connect, descriptor, address, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    let subject = Subject::Descriptor(listener);
    let result =
        call_or_fail!(Call::Accept4, subject, c_int, libc::SYS_accept4, listener, address, length, flags);
    track(result, true);
    result
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    let subject = Subject::Descriptor(descriptor);
    call_or_fail!(Call::EpollCtl, subject, c_int, libc::SYS_epoll_ctl, epoll, operation, descriptor, event)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    capacity: c_int,
    timeout_ms: c_int,
) -> c_int {
    let unchanged_mask: *const libc::sigset_t = std::ptr::null();
    call_or_fail!(
        Call::EpollWait,
        Subject::Nothing,
        c_int,
        libc::SYS_epoll_pwait,
        epoll,
        events,
        capacity,
        timeout_ms,
        unchanged_mask,
        0_usize
    )
}

#[unsafe(no_mangle)]
unsafe extern "C" fn poll(descriptors: *mut libc::pollfd, count: libc::nfds_t, timeout_ms: c_int) -> c_int {
    // SAFETY: the caller passes an array of `count` descriptors.
    let first = (count > 0).then(|| unsafe { (*descriptors).fd });
    let subject = first.map_or(Subject::Nothing, Subject::Descriptor);
    match decide(Call::Poll, &subject) {
        Some(Effect::Error(errno)) => fail(errno),
        _ => {
            let milliseconds = c_long::from(timeout_ms);
            let timeout =
                libc::timespec { tv_sec: milliseconds / 1000, tv_nsec: milliseconds % 1000 * 1_000_000 };
            let limit = if timeout_ms < 0 { std::ptr::null() } else { &raw const timeout };
            let unchanged_mask: *const libc::sigset_t = std::ptr::null();
            // SAFETY: the arguments are those that the caller passed, and a timeout that outlives the call.
            unsafe {
                libc::syscall(libc::SYS_ppoll, descriptors, count, limit, unchanged_mask, 0_usize) as c_int
            }
        }
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: usize) -> isize {
    transfer(Call::Read, descriptor, length, |length| {
        // SAFETY: the caller's buffer has at least this length.
        unsafe { libc::syscall(libc::SYS_read, descriptor, buffer, length) }
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(descriptor: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> isize {
    let no_address: *mut libc::sockaddr = std::ptr::null_mut();
    let no_length: *mut libc::socklen_t = std::ptr::null_mut();
    transfer(Call::Read, descriptor, length, |length| {
        // SAFETY: the caller's buffer has at least this length.
        unsafe { libc::syscall(libc::SYS_recvfrom, descriptor, buffer, length, flags, no_address, no_length) }
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: usize) -> isize {
    transfer(Call::Write, descriptor, length, |length| {
        // SAFETY: the caller's buffer has at least this length.
        unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length) }
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(descriptor: c_int, buffer: *const c_void, length: usize, flags: c_int) -> isize {
    // SAFETY: the caller's buffer has this length.
    unsafe { sendto(descriptor, buffer, length, flags, std::ptr::null(), 0) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn sendto(
    descriptor: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
    address: *const libc::sockaddr,
    address_length: libc::socklen_t,
) -> isize {
    transfer(Call::Write, descriptor, length, |length| {
        // SAFETY: the caller's buffer has at least this length, and the caller passes a valid address.
        unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, address, address_length) }
    })
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(descriptor: c_int, parts: *const libc::iovec, count: c_int) -> isize {
    match decide(Call::Write, &Subject::Descriptor(descriptor)) {
        Some(Effect::Error(errno)) => fail(errno) as isize,
        Some(Effect::Short(most)) => {
            // SAFETY: the caller passes an array of `count` parts.
            let parts = unsafe { std::slice::from_raw_parts(parts, usize::try_from(count).unwrap_or(0)) };
            let Some(first) = parts.iter().find(|part| part.iov_len > 0) else { return 0 };
            let length = first.iov_len.min(most);
            // SAFETY: the part has at least this length.
            unsafe { libc::syscall(libc::SYS_write, descriptor, first.iov_base, length) as isize }
        }
        // SAFETY: the arguments are those that the caller passed.
        _ => unsafe { libc::syscall(libc::SYS_writev, descriptor, parts, count) as isize },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    // SAFETY: the caller passes a C string.
    let paths = [unsafe { CStr::from_ptr(path) }];
    let subject = Subject::Paths(&paths);
    call_or_fail!(Call::Open, subject, c_int, libc::SYS_openat, libc::AT_FDCWD, path, flags, mode)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    // SAFETY: the caller passes the arguments of `open`. On 64-bit systems, the only ones that this library
    // is built for, `open` does not limit the size of files.
    unsafe { open(path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller passes C strings.
    let paths = unsafe { [CStr::from_ptr(from), CStr::from_ptr(to)] };
    let directory = libc::AT_FDCWD;
    let subject = Subject::Paths(&paths);
    call_or_fail!(
        Call::Rename,
        subject,
        c_int,
        libc::SYS_renameat2,
        directory,
        from,
        directory,
        to,
        0 as c_uint
    )
}

#[unsafe(no_mangle)]
extern "C" fn ftruncate64(descriptor: c_int, length: libc::off_t) -> c_int {
    let subject = Subject::Descriptor(descriptor);
    call_or_fail!(Call::Ftruncate, subject, c_int, libc::SYS_ftruncate, descriptor, length)
}

#[unsafe(no_mangle)]
extern "C" fn fsync(descriptor: c_int) -> c_int {
    call_or_fail!(Call::Fsync, Subject::Descriptor(descriptor), c_int, libc::SYS_fsync, descriptor)
}

#[unsafe(no_mangle)]
extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    call_or_fail!(Call::Fdatasync, Subject::Descriptor(descriptor), c_int, libc::SYS_fdatasync, descriptor)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fcntl(descriptor: c_int, command: c_int, argument: usize) -> c_int {
    let subject = Subject::Descriptor(descriptor);
    call_or_fail!(Call::Fcntl, subject, c_int, libc::SYS_fcntl, descriptor, command, argument)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn ioctl(descriptor: c_int, request: c_ulong, argument: usize) -> c_int {
    let subject = Subject::Descriptor(descriptor);
    call_or_fail!(Call::Ioctl, subject, c_int, libc::SYS_ioctl, descriptor, request, argument)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn setsockopt(
    descriptor: c_int,
    level: c_int,
    option: c_int,
    value: *const c_void,
    length: libc::socklen_t,
) -> c_int {
    let subject = Subject::Descriptor(descriptor);
    let number = libc::SYS_setsockopt;
    call_or_fail!(Call::Setsockopt, subject, c_int, number, descriptor, level, option, value, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn getsockopt(
    descriptor: c_int,
    level: c_int,
    option: c_int,
    value: *mut c_void,
    length: *mut libc::socklen_t,
) -> c_int {
    let subject = Subject::Descriptor(descriptor);
    let number = libc::SYS_getsockopt;
    call_or_fail!(Call::Getsockopt, subject, c_int, number, descriptor, level, option, value, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the arguments are those that the caller passed.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result == 0
        && is_wall_clock
        && let Some(Effect::ClockOffset { seconds }) = decide(Call::ClockGettime, &Subject::Nothing)
    {
        // SAFETY: the call has filled in the caller's buffer.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}

/// The type of `pthread_create` of the C library, which is called instead of a system call.
type PthreadCreate = unsafe extern "C" fn(
    *mut libc::pthread_t,
    *const libc::pthread_attr_t,
    extern "C" fn(*mut c_void) -> *mut c_void,
    *mut c_void,
) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    start: extern "C" fn(*mut c_void) -> *mut c_void,
    argument: *mut c_void,
) -> c_int {
    static NEXT: OnceLock<Option<PthreadCreate>> = OnceLock::new();
    // Unlike the other functions, `pthread_create` returns the error number.
    if let Some(Effect::Error(errno)) = decide(Call::PthreadCreate, &Subject::Nothing) {
        return errno;
    }
    let next = NEXT.get_or_init(|| {
        // SAFETY: the name is a C string.
        let symbol = unsafe { libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr()) };
        // SAFETY: the C library's function has this signature, and a null pointer becomes `None`.
        unsafe { std::mem::transmute::<*mut c_void, Option<PthreadCreate>>(symbol) }
    });
    // SAFETY: the arguments are those that the caller passed.
    next.map_or(libc::EAGAIN, |next| unsafe { next(thread, attributes, start, argument) })
}
