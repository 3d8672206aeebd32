//! The rules of a script, and their parser. The documentation of the crate describes the format.

use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::os::raw::c_int;
use std::time::Duration;

/// The calls that a rule can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Accept4,
    ClockGettime,
    Connect,
    EpollCtl,
    EpollWait,
    Fcntl,
    Fdatasync,
    Fsync,
    Ftruncate,
    Getsockopt,
    Ioctl,
    Open,
    Poll,
    PthreadCreate,
    Read,
    Rename,
    Setsockopt,
    Socket,
    Write,
}

const CALLS: [(&str, Call); 19] = [
    ("accept4", Call::Accept4),
    ("clock_gettime", Call::ClockGettime),
    ("connect", Call::Connect),
    ("epoll_ctl", Call::EpollCtl),
    ("epoll_wait", Call::EpollWait),
    ("fcntl", Call::Fcntl),
    ("fdatasync", Call::Fdatasync),
    ("fsync", Call::Fsync),
    ("ftruncate", Call::Ftruncate),
    ("getsockopt", Call::Getsockopt),
    ("ioctl", Call::Ioctl),
    ("open", Call::Open),
    ("poll", Call::Poll),
    ("pthread_create", Call::PthreadCreate),
    ("read", Call::Read),
    ("rename", Call::Rename),
    ("setsockopt", Call::Setsockopt),
    ("socket", Call::Socket),
    ("write", Call::Write),
];

const ERRORS: [(&str, c_int); 26] = [
    ("EACCES", libc::EACCES),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("EBADF", libc::EBADF),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EDQUOT", libc::EDQUOT),
    ("EFBIG", libc::EFBIG),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EINVAL", libc::EINVAL),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOENT", libc::ENOENT),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("EROFS", libc::EROFS),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// A kind of descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A socket that accepts connections.
    Listener,
    /// A connection that was accepted.
    Accepted,
    /// An internet socket that neither listens nor was accepted.
    Connected,
    /// A regular file.
    File,
}

/// The conditions on the subject of a call; a condition that is `None` always holds.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    pub kind: Option<Kind>,
    pub peer: Option<SocketAddr>,
    pub local: Option<SocketAddr>,
    pub path: Option<String>,
    pub descriptor: Option<c_int>,
}

/// Determines which of the matching calls are affected.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    pub skip: u64,
    pub every: u64,
    pub count: u64,
    pub period: Duration,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Error(c_int),
    Short(usize),
    Delay(Duration),
    ClockOffset { seconds: i64 },
}

/// A rule of the script.
#[derive(Clone, Debug)]
pub struct Rule {
    pub call: Call,
    pub filter: Filter,
    pub schedule: Schedule,
    pub effect: Effect,
    /// The call and the effect, as written in the script; the line for the report.
    pub description: String,
}

/// Why a script can't be parsed, with the part of its text that is invalid.
#[derive(Debug)]
pub enum ScriptError {
    NotText,
    UnknownCall(String),
    UnknownKey(String),
    BadValue(String),
    /// A rule has no effect, several effects, or one that its call does not support.
    BadEffect(String),
}

impl Display for ScriptError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            ScriptError::NotText => formatter.write_str("the script is not UTF-8"),
            ScriptError::UnknownCall(name) => write!(formatter, "unknown call: {name}"),
            ScriptError::UnknownKey(word) => write!(formatter, "unknown key: {word}"),
            ScriptError::BadValue(word) => write!(formatter, "invalid value: {word}"),
            ScriptError::BadEffect(rule) => {
                write!(formatter, "expected exactly one effect that the call supports: {rule}")
            }
        }
    }
}

/// Parses a script.
pub fn parse(script: &[u8]) -> Result<Vec<Rule>, ScriptError> {
    let script = std::str::from_utf8(script).map_err(|_| ScriptError::NotText)?;
    let without_comments = script.lines().map(|line| line.split('#').next().unwrap_or_default());
    let rules = without_comments.flat_map(|line| line.split(';')).map(str::trim);
    rules.filter(|rule| !rule.is_empty()).map(parse_rule).collect()
}

fn parse_rule(text: &str) -> Result<Rule, ScriptError> {
    let mut words = text.split_whitespace();
    let name = words.next().unwrap_or_default();
    let call = find_by_name(&CALLS, name).ok_or_else(|| ScriptError::UnknownCall(name.into()))?;
    let mut filter = Filter::default();
    let mut schedule = Schedule { skip: 0, every: 1, count: u64::MAX, period: Duration::MAX };
    let mut effects = Vec::new();
    for word in words {
        let (key, value) = word.split_once('=').ok_or_else(|| ScriptError::UnknownKey(word.into()))?;
        let parsed = parse_filter(&mut filter, key, value)
            .or_else(|| parse_schedule(&mut schedule, key, value))
            .or_else(|| {
                parse_effect(key, value).map(|effect| effect.map(|effect| effects.push((word, effect))))
            })
            .ok_or_else(|| ScriptError::UnknownKey(word.into()))?;
        parsed.ok_or_else(|| ScriptError::BadValue(word.into()))?;
    }
    let [(word, effect)] = effects[..] else { return Err(ScriptError::BadEffect(text.into())) };
    if !is_supported(call, effect) {
        return Err(ScriptError::BadEffect(text.into()));
    }
    Ok(Rule { call, filter, schedule, effect, description: format!("{name} {word}") })
}

/// Whether a call supports an effect.
fn is_supported(call: Call, effect: Effect) -> bool {
    match effect {
        Effect::Error(_) | Effect::Delay(_) => call != Call::ClockGettime,
        Effect::Short(_) => matches!(call, Call::Read | Call::Write),
        Effect::ClockOffset { .. } => call == Call::ClockGettime,
    }
}

fn find_by_name<T: Copy>(table: &[(&str, T)], name: &str) -> Option<T> {
    table.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
}

/// Parses a key of the filter. Returns `None` for any other key, and `Some(None)` for an invalid value, as
/// [`parse_schedule`] and [`parse_effect`] do for their keys.
fn parse_filter(filter: &mut Filter, key: &str, value: &str) -> Option<Option<()>> {
    const KINDS: [(&str, Kind); 4] = [
        ("listener", Kind::Listener),
        ("accepted", Kind::Accepted),
        ("connected", Kind::Connected),
        ("file", Kind::File),
    ];
    Some(match key {
        "on" => find_by_name(&KINDS, value).map(|kind| filter.kind = Some(kind)),
        "peer" => value.parse().ok().map(|peer| filter.peer = Some(peer)),
        "local" => value.parse().ok().map(|local| filter.local = Some(local)),
        "fd" => value.parse().ok().map(|descriptor| filter.descriptor = Some(descriptor)),
        "path" => {
            filter.path = Some(value.into());
            Some(())
        }
        _ => return None,
    })
}

fn parse_schedule(schedule: &mut Schedule, key: &str, value: &str) -> Option<Option<()>> {
    let number = value.parse::<u64>().ok();
    Some(match key {
        "skip" => number.map(|number| schedule.skip = number),
        "every" => number.filter(|number| *number > 0).map(|number| schedule.every = number),
        "count" => number.map(|number| schedule.count = number),
        "for_ms" => number.map(|number| schedule.period = Duration::from_millis(number)),
        _ => return None,
    })
}

fn parse_effect(key: &str, value: &str) -> Option<Option<Effect>> {
    Some(match key {
        "error" => find_by_name(&ERRORS, value).map(Effect::Error),
        // A transfer of no bytes would be taken for the end of the stream.
        "short" => value.parse().ok().filter(|bytes| *bytes > 0).map(Effect::Short),
        "delay_ms" => value.parse().ok().map(Duration::from_millis).map(Effect::Delay),
        "offset_s" => value.parse().ok().map(|seconds| Effect::ClockOffset { seconds }),
        _ => return None,
    })
}
