//! The subject of a call (a descriptor, an address or paths), and whether a rule's filter matches it.

use crate::raw::socket_option;
use crate::script::{Filter, Kind};
use std::ffi::{CStr, CString};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::os::raw::{c_char, c_int, c_long};
use std::sync::atomic::{AtomicBool, Ordering};

/// Descriptors with numbers below this one are tracked.
const MAX_DESCRIPTORS: usize = 65_536;

/// Whether a descriptor was returned by `accept4`, by the descriptor's number.
static ACCEPTED: [AtomicBool; MAX_DESCRIPTORS] = [const { AtomicBool::new(false) }; MAX_DESCRIPTORS];

/// Records for the descriptor of a new socket whether it was accepted.
pub fn track(descriptor: c_int, is_accepted: bool) {
    if let Some(accepted) = usize::try_from(descriptor).ok().and_then(|index| ACCEPTED.get(index)) {
        accepted.store(is_accepted, Ordering::SeqCst);
    }
}

/// The subject of a call.
pub enum Subject<'a> {
    /// The call has no subject that a filter could match.
    Nothing,
    /// The call uses a descriptor.
    Descriptor(c_int),
    /// The call connects a socket to an address.
    Connecting { descriptor: c_int, peer: Option<SocketAddr> },
    /// The call names paths.
    Paths(&'a [&'a CStr]),
}

impl Subject<'_> {
    /// Whether all conditions of the filter hold.
    pub fn matches(&self, filter: &Filter) -> bool {
        filter.kind.is_none_or(|kind| self.kind() == Some(kind))
            && filter.peer.is_none_or(|peer| self.peer() == Some(peer))
            && filter.local.is_none_or(|local| self.local() == Some(local))
            && filter.descriptor.is_none_or(|descriptor| self.descriptor() == Some(descriptor))
            && filter.path.as_deref().is_none_or(|prefix| self.has_path(prefix.as_bytes()))
    }

    fn descriptor(&self) -> Option<c_int> {
        match self {
            Subject::Descriptor(descriptor) | Subject::Connecting { descriptor, .. } => Some(*descriptor),
            Subject::Nothing | Subject::Paths(_) => None,
        }
    }

    fn kind(&self) -> Option<Kind> {
        let descriptor = self.descriptor()?;
        let Some(domain) = socket_option(descriptor, libc::SO_DOMAIN) else {
            return is_regular_file(descriptor).then_some(Kind::File);
        };
        if domain != libc::AF_INET && domain != libc::AF_INET6 {
            return None;
        }
        if socket_option(descriptor, libc::SO_ACCEPTCONN) == Some(1) {
            return Some(Kind::Listener);
        }
        let accepted = ACCEPTED.get(usize::try_from(descriptor).ok()?)?;
        Some(if accepted.load(Ordering::SeqCst) { Kind::Accepted } else { Kind::Connected })
    }

    fn peer(&self) -> Option<SocketAddr> {
        match self {
            Subject::Connecting { peer, .. } => *peer,
            _ => address_of(libc::SYS_getpeername, self.descriptor()?),
        }
    }

    fn local(&self) -> Option<SocketAddr> {
        address_of(libc::SYS_getsockname, self.descriptor()?)
    }

    /// Whether a path of the call, or the path of its descriptor, starts with this prefix.
    fn has_path(&self, prefix: &[u8]) -> bool {
        match self {
            Subject::Paths(paths) => paths.iter().any(|path| path.to_bytes().starts_with(prefix)),
            _ => self.descriptor().and_then(path_of).is_some_and(|path| path.starts_with(prefix)),
        }
    }
}

fn is_regular_file(descriptor: c_int) -> bool {
    let mut status = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the buffer is large enough for the result.
    let result = unsafe { libc::syscall(libc::SYS_fstat, descriptor, status.as_mut_ptr()) };
    // SAFETY: the buffer was zeroed and then filled in; all its bit patterns are valid.
    let status = unsafe { status.assume_init() };
    result == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// The path of an open file.
fn path_of(descriptor: c_int) -> Option<Vec<u8>> {
    let link = CString::new(format!("/proc/self/fd/{descriptor}")).ok()?;
    let mut path = vec![0_u8; libc::PATH_MAX as usize];
    // SAFETY: the path is a C string and the buffer is as long as stated.
    let length = unsafe {
        libc::syscall(
            libc::SYS_readlinkat,
            libc::AT_FDCWD,
            link.as_ptr(),
            path.as_mut_ptr().cast::<c_char>(),
            path.len(),
        )
    };
    path.truncate(usize::try_from(length).ok()?);
    Some(path)
}

/// The address of a socket; `call` is the number of `getsockname` or `getpeername`.
fn address_of(call: c_long, descriptor: c_int) -> Option<SocketAddr> {
    let mut storage = MaybeUninit::<libc::sockaddr_storage>::zeroed();
    let mut length = size_of::<libc::sockaddr_storage>() as libc::socklen_t;
    // SAFETY: the buffer is as long as stated.
    let result = unsafe { libc::syscall(call, descriptor, storage.as_mut_ptr(), &raw mut length) };
    if result != 0 {
        return None;
    }
    // SAFETY: the call has filled in an address of this length.
    unsafe { socket_address(storage.as_ptr().cast(), length) }
}

/// Converts a socket address; `None` if its family is neither IPv4 nor IPv6.
///
/// # Safety
///
/// `address` points to a socket address of `length` bytes.
pub unsafe fn socket_address(address: *const libc::sockaddr, length: libc::socklen_t) -> Option<SocketAddr> {
    let length = length as usize;
    if address.is_null() || length < size_of::<libc::sa_family_t>() {
        return None;
    }
    // SAFETY: every socket address starts with its family, and the length includes the family.
    let family = c_int::from(unsafe { address.cast::<libc::sa_family_t>().read_unaligned() });
    if family == libc::AF_INET && length >= size_of::<libc::sockaddr_in>() {
        // SAFETY: the family and the length have been checked.
        let v4 = unsafe { address.cast::<libc::sockaddr_in>().read_unaligned() };
        let ip = Ipv4Addr::from(u32::from_be(v4.sin_addr.s_addr));
        return Some(SocketAddr::from((ip, u16::from_be(v4.sin_port))));
    }
    if family == libc::AF_INET6 && length >= size_of::<libc::sockaddr_in6>() {
        // SAFETY: the family and the length have been checked.
        let v6 = unsafe { address.cast::<libc::sockaddr_in6>().read_unaligned() };
        let ip = Ipv6Addr::from(v6.sin6_addr.s6_addr);
        return Some(SocketAddr::from((ip, u16::from_be(v6.sin6_port))));
    }
    None
}
