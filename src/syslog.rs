//! Logging as RFC 5424 syslog with structured data: a tracing layer that writes to standard error and,
//! where a file says so, to a collector over TCP (octet counting, RFC 6587) or UDP (RFC 5426).
//!
//! Whoever logs never waits: each sink has a thread and a bounded queue of its own, and counts what it drops.

use crate::threads::spawn;
use crossbeam_channel::{Sender, bounded};
use serde::Deserialize;
use std::fmt::{Debug, Write as _};
use std::io::Write;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::layer::{Context, Layer};

/// The longest message: what every receiver should take.
const LONGEST: usize = 2048;
/// The longest structured data, which leaves room for the text.
const LONGEST_DATA: usize = 1024;
/// Messages that may wait for one sink.
const WAITING: usize = 1024;
/// The identifier of this program's own structured data; 32473 is the number set aside for examples, as the
/// project has none of its own.
const DATA_ID: &str = "liftrelay@32473";
/// The facility: system daemons.
const DAEMON: u8 = 3;
const DIAL: Duration = Duration::from_secs(1);
/// Between two tries to reach a collector.
const AGAIN: Duration = Duration::from_secs(1);
/// How long the program waits at its end for what is unwritten.
const LAST: Duration = Duration::from_millis(500);

/// The file under `deploy/` that names a collector.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collector {
    /// Where it is.
    pub collector: SocketAddr,
    /// How it is reached.
    pub protocol: Protocol,
    /// The facility, 0 to 23.
    #[serde(default = "daemon")]
    pub facility: u8,
}

impl Collector {
    /// The facility must be one.
    pub fn check(&self) -> Result<(), String> {
        if self.facility <= 23 {
            Ok(())
        } else {
            Err(format!("syslog facility {} is over 23", self.facility))
        }
    }
}

fn daemon() -> u8 {
    DAEMON
}

/// How a collector is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Octet counting.
    Tcp,
    /// A message a datagram.
    Udp,
}

struct Sink {
    queue: Sender<Arc<str>>,
    dropped: Arc<AtomicU64>,
    /// Queued and not yet written.
    unwritten: Arc<AtomicU64>,
}

impl Sink {
    fn start(name: &str, mut write: impl FnMut(&str) + Send + 'static) -> std::io::Result<Sink> {
        let (queue, queued) = bounded::<Arc<str>>(WAITING);
        let unwritten = Arc::new(AtomicU64::new(0));
        let left = unwritten.clone();
        spawn(name, move || {
            while let Ok(text) = queued.recv() {
                write(&text);
                left.fetch_sub(1, Ordering::SeqCst);
            }
        })?;
        Ok(Sink { queue, dropped: Arc::default(), unwritten })
    }

    fn put(&self, text: Arc<str>) -> bool {
        self.unwritten.fetch_add(1, Ordering::SeqCst);
        let put = self.queue.try_send(text).is_ok();
        if !put {
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
        put
    }
}

/// The layer.
pub struct Syslog {
    host: String,
    facility: u8,
    sequence: AtomicU64,
    sinks: Vec<Sink>,
}

/// Kept until the program ends.
pub struct Guard {
    unwritten: Vec<Arc<AtomicU64>>,
}

impl Guard {
    /// Waits for what is unwritten, but not for long.
    pub fn finish(self) {
        let end = std::time::Instant::now() + LAST;
        let left = || self.unwritten.iter().any(|n| n.load(Ordering::SeqCst) > 0);
        while left() && std::time::Instant::now() < end {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Starts logging for the whole process.
pub fn start(collector: Option<Collector>) -> std::io::Result<Guard> {
    use tracing_subscriber::layer::SubscriberExt;
    let layer = Syslog::new(collector)?;
    let guard = Guard { unwritten: layer.sinks.iter().map(|s| s.unwritten.clone()).collect() };
    let layer = layer.with_filter(tracing_subscriber::filter::LevelFilter::INFO);
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber).map_err(std::io::Error::other)?;
    Ok(guard)
}

impl Syslog {
    fn new(collector: Option<Collector>) -> std::io::Result<Self> {
        let mut sinks = vec![Sink::start("log-stderr", |text| {
            let _ = std::io::stderr().write_all(format!("{text}\n").as_bytes());
        })?];
        if let Some(Collector { collector, protocol, .. }) = collector {
            sinks.push(match protocol {
                Protocol::Tcp => Sink::start("log-tcp", tcp(collector))?,
                Protocol::Udp => Sink::start("log-udp", udp(collector)?)?,
            });
        }
        let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
        let facility = collector.map_or(DAEMON, |c| c.facility);
        Ok(Syslog { host: name(host.trim(), 255), facility, sequence: AtomicU64::new(0), sinks })
    }

    fn emit(&self, text: &str) {
        let text: Arc<str> = text.into();
        for sink in &self.sinks {
            // What could not be queued is told with the next message that can be.
            let lost = sink.dropped.swap(0, Ordering::Relaxed);
            if lost > 0 && !sink.put(self.lost(lost).into()) {
                sink.dropped.fetch_add(lost, Ordering::Relaxed);
            }
            if !sink.put(text.clone()) {
                sink.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn lost(&self, count: u64) -> String {
        let data = vec![("dropped".to_string(), count.to_string())];
        self.format(Level::WARN, "syslog", &data, "messages were dropped")
    }

    fn format(&self, level: Level, id: &str, fields: &[(String, String)], text: &str) -> String {
        let mut time = String::new();
        if SystemTime.format_time(&mut Writer::new(&mut time)).is_err() {
            time = "-".into();
        }
        let severity = match level {
            Level::ERROR => 3,
            Level::WARN => 4,
            Level::INFO => 6,
            _ => 7,
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) % 2_147_483_647 + 1;
        let mut out = format!(
            "<{}>1 {time} {} liftrelay {} {} [meta sequenceId=\"{sequence}\"]",
            self.facility * 8 + severity,
            self.host,
            std::process::id(),
            name(id, 32),
        );
        out.push_str(&data(fields));
        out.push(' ');
        if !text.is_ascii() {
            out.push('\u{feff}');
        }
        out.extend(text.chars().map(|c| if c.is_control() { ' ' } else { c }));
        cut(&mut out, LONGEST);
        out
    }
}

/// Shortens a text to so many bytes, between two characters.
fn cut(text: &mut String, most: usize) {
    if text.len() > most {
        let end = (0..=most).rev().find(|n| text.is_char_boundary(*n)).unwrap_or(0);
        text.truncate(end);
    }
}

/// A name as headers and parameters have them: printable ASCII without `=`, `]`, quotes and blanks.
fn name(text: &str, most: usize) -> String {
    let good = |c: &char| c.is_ascii_graphic() && !matches!(c, '=' | ']' | '"');
    let name: String = text.chars().filter(good).take(most).collect();
    if name.is_empty() { "-".into() } else { name }
}

/// The fields as one element, or nothing. A value that does not fit is cut, a field that does not is left
/// out.
fn data(fields: &[(String, String)]) -> String {
    let mut out = String::new();
    for (field, value) in fields {
        let mut escaped = String::new();
        for c in value.chars() {
            if matches!(c, '"' | '\\' | ']') {
                escaped.push('\\');
            }
            escaped.push(if c.is_control() { ' ' } else { c });
            if escaped.len() >= 256 {
                break;
            }
        }
        let parameter = format!(" {}=\"{escaped}\"", name(field, 32));
        if out.len() + parameter.len() + DATA_ID.len() + 2 <= LONGEST_DATA {
            out.push_str(&parameter);
        }
    }
    if out.is_empty() { out } else { format!("[{DATA_ID}{out}]") }
}

#[derive(Default)]
struct Fields {
    text: String,
    data: Vec<(String, String)>,
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "message" {
            self.text = value.to_string();
        } else {
            self.data.push((field.name().to_string(), value.to_string()));
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let mut text = String::new();
        let _ = write!(text, "{value:?}");
        self.record_str(field, &text);
    }
}

impl<S: Subscriber> Layer<S> for Syslog {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let target = event.metadata().target();
        let id = target.rsplit("::").next().unwrap_or(target);
        self.emit(&self.format(*event.metadata().level(), id, &fields.data, &fields.text));
    }
}

/// Writes to a collector over TCP. A message that meets a broken connection is written once more on a new
/// one.
fn tcp(address: SocketAddr) -> impl FnMut(&str) {
    let mut stream: Option<TcpStream> = None;
    move |text| {
        let framed = format!("{} {text}", text.len());
        for _ in 0..2 {
            if stream.as_ref().is_some_and(crate::sockets::closed_by_peer) {
                stream = None;
            }
            if stream.is_none() {
                stream = TcpStream::connect_timeout(&address, DIAL).ok();
                if let Some(stream) = &stream {
                    let _ = stream.set_write_timeout(Some(DIAL));
                }
            }
            match stream.as_mut().map(|s| s.write_all(framed.as_bytes())) {
                Some(Ok(())) => return,
                _ => stream = None,
            }
        }
        std::thread::sleep(AGAIN);
    }
}

fn udp(address: SocketAddr) -> std::io::Result<impl FnMut(&str)> {
    let local: SocketAddr =
        if address.is_ipv4() { (Ipv4Addr::UNSPECIFIED, 0).into() } else { (Ipv6Addr::UNSPECIFIED, 0).into() };
    let socket = UdpSocket::bind(local)?;
    Ok(move |text: &str| drop(socket.send_to(text.as_bytes(), address)))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plain() -> Syslog {
        Syslog { host: "h".into(), facility: DAEMON, sequence: AtomicU64::new(0), sinks: Vec::new() }
    }

    fn pairs(list: &[(&str, &str)]) -> Vec<(String, String)> {
        list.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect()
    }

    #[test]
    fn values_are_escaped_and_names_kept_valid() {
        assert_eq!(data(&pairs(&[("a b=c", "x\"y\\z]\n")])), r#"[liftrelay@32473 abc="x\"y\\z\] "]"#);
        assert_eq!(data(&[]), "");
        assert_eq!(name("", 5), "-");
        assert_eq!(name(&"x".repeat(99), 32).len(), 32);
    }

    #[test]
    fn messages_keep_the_limits_and_stay_utf8() {
        let long = "ä".repeat(4000);
        let text = plain().format(Level::WARN, "net", &pairs(&[("a", &long), ("b", "1")]), &long);
        assert!(text.len() <= LONGEST && text.len() > LONGEST - 4);
        assert!(text.starts_with("<28>1 ") && text.contains(" liftrelay ") && text.contains("b=\"1\"]"));
        assert!(text.contains("] \u{feff}ä"));
        let many: Vec<_> = (0..200).map(|n| (format!("field{n}"), "v".repeat(40))).collect();
        assert!(data(&many).len() <= LONGEST_DATA);
    }

    #[test]
    fn a_sink_that_hangs_drops_and_counts_and_nobody_waits() {
        let (hold, held) = bounded::<()>(0);
        let (tell, told) = crossbeam_channel::unbounded();
        let write = move |text: &str| {
            let _ = held.recv();
            let _ = tell.send(text.to_string());
        };
        let log = Syslog { sinks: vec![Sink::start("test", write).unwrap()], ..plain() };
        let all = WAITING as u64 + 50;
        (0..all).for_each(|_| log.emit("x"));
        let dropped = log.sinks[0].dropped.clone();
        drop((hold, log));
        let count = |text: String| match text.split_once("dropped=\"") {
            Some((_, rest)) => rest.split('"').next().unwrap().parse().unwrap(),
            None => 1u64,
        };
        let written: u64 = told.iter().map(count).sum();
        let left = dropped.load(Ordering::Relaxed);
        assert!(left > 0, "the queue was full");
        assert_eq!(written + left, all, "each is written or counted");
    }
}
