//! Injects faults into system calls of a program, as a script specifies. For tests only.
//!
//! The library is preloaded (`LD_PRELOAD`) into a dynamically linked program, and interposes functions of the
//! C library. The environment variable `FAULT_SCRIPT` names a file with the script. The library checks at
//! each call whether the file has changed: a test that replaces it (by renaming another file over it) changes
//! the faults of a running program from its next call on, and resets all counts. Without the variable or the
//! file, no call is affected.
//!
//! # Script
//!
//! Each line contains a rule, or several rules separated by `;`. A `#` starts a comment, which extends to the
//! end of the line. The first rule that matches a call and is due determines the effect; later rules don't
//! count the call. If no rule is due, the call is made as usual. A script that can't be parsed ends the program.
//!
//! ```text
//! CALL [on=KIND] [peer=ADDRESS] [local=ADDRESS] [path=PREFIX] [fd=N] [skip=N] [every=N] [count=N] [for_ms=N] EFFECT
//! ```
//!
//! `CALL`: `accept4`, `clock_gettime`, `connect`, `epoll_ctl`, `epoll_wait`, `fcntl`, `fdatasync`, `fsync`,
//! `ftruncate`, `getsockopt`, `ioctl`, `open`, `poll`, `pthread_create`, `read` (also `recv`), `rename`,
//! `setsockopt`, `socket`, `write` (also `send`, `sendto` and `writev`).
//!
//! These keys limit a rule to calls on certain descriptors, sockets or files. A call that has no such
//! descriptor, address or path does not match:
//!
//! | key | matches |
//! | --- | --- |
//! | `on` | `listener`, `accepted` (by `accept4`), `connected` (any other internet socket), `file` (a regular one) |
//! | `peer` | a socket with this peer, or a `connect` to it, such as `127.0.0.1:5432` |
//! | `local` | a socket bound to this address |
//! | `path` | a path with this prefix: of `open`, of `rename` (either path), or of the open descriptor |
//! | `fd` | this descriptor; for `epoll_ctl`, the descriptor that is added or changed |
//!
//! These keys determine which of the matching calls are affected: the first `skip` calls are not; of the
//! others, the first one and then each `every`-th is, `count` times at most, and only within `for_ms`
//! milliseconds after the program has read the script. By default, all matching calls are affected.
//!
//! A rule has exactly one `EFFECT`:
//!
//! | key | effect |
//! | --- | --- |
//! | `error=NAME` | the call is not made, and fails with this error, such as `ENOSPC` |
//! | `short=N` | `read` and `write`: the call transfers N bytes at most |
//! | `delay_ms=N` | the call is made N milliseconds later |
//! | `offset_s=N` | `clock_gettime`: the wall clock (`CLOCK_REALTIME`) is N seconds ahead, or behind if negative |
//!
//! # Report
//!
//! Each injected fault except `offset_s` appends a line with its call and effect (`connect error=ENOBUFS`) to
//! the report: a file beside the script, with the script's name and the suffix `.report`.

mod injector;
mod interpose;
mod raw;
mod script;
mod subject;
