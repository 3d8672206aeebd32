//! Makes system calls of a program fail as a script says. Tests only.
//!
//! The library is preloaded (`LD_PRELOAD`) into a dynamically linked program, and stands between it and the C
//! library. The environment variable `FAULT_SCRIPT` names a file with the script. The file is looked at with
//! each call: a test that replaces it (by renaming another file over it) changes the faults of a running
//! program from its next call on, and all counts start again. Without the variable or the file nothing fails.
//!
//! # Script
//!
//! A rule a line, or several with `;` between them; `#` begins a comment. The first rule that matches a call
//! and is due decides; where none is, the call is made as usual. A script that can't be parsed ends the program.
//!
//! ```text
//! CALL [on=KIND] [peer=ADDRESS] [local=ADDRESS] [path=PREFIX] [fd=N] [skip=N] [every=N] [count=N] [for_ms=N] EFFECT
//! ```
//!
//! `CALL`: `accept4`, `clock_gettime`, `connect`, `epoll_ctl`, `epoll_wait`, `fcntl`, `fdatasync`, `fsync`,
//! `ftruncate`, `getsockopt`, `ioctl`, `open`, `poll`, `pthread_create`, `read` (also `recv`), `rename`,
//! `setsockopt`, `socket`, `write` (also `send`, `sendto` and `writev`).
//!
//! What the call is made on; a key that the call has nothing for matches nothing:
//!
//! | key | matches |
//! | --- | --- |
//! | `on` | `listener`, `accepted` (by `accept4`), `connected` (any other internet socket), `file` (a regular one) |
//! | `peer` | a socket with this peer, or a `connect` to it, such as `127.0.0.1:5432` |
//! | `local` | a socket bound to this address |
//! | `path` | a path that begins so: of `open` and `rename` (either one), or of the descriptor |
//! | `fd` | this descriptor; of `epoll_ctl`, the one that is added or changed |
//!
//! When, among the calls that match: not the first `skip`, then each `every`-th (the first one of each round),
//! `count` times at most, and no later than `for_ms` after the program has read the script.
//!
//! `EFFECT`, one of:
//!
//! | key | effect |
//! | --- | --- |
//! | `error=NAME` | the call is not made, and fails with this error, such as `ENOSPC` |
//! | `short=N` | `read` and `write`: N bytes at most |
//! | `delay_ms=N` | the call is made so much later |
//! | `offset_s=N` | `clock_gettime`: the wall clock (`CLOCK_REALTIME`) is so much ahead, or behind if negative |
//!
//! # Report
//!
//! Each injected fault but `offset_s` appends its call and effect (`connect error=ENOBUFS`) as a line to the
//! file beside the script whose name has `.report` added.

mod injector;
mod interpose;
mod raw;
mod script;
mod subject;
