//! Logging as RFC 5424 syslog with structured data. A tracing layer writes to standard error and, if a
//! collector is configured, to that collector over TCP (octet counting, RFC 6587) or UDP (RFC 5426).
//!
//! Logging never blocks: each sink has its own thread and bounded queue, and counts the messages it drops.

mod error;
mod format;
mod layer;
mod sink;
mod transport;

pub use error::SyslogError;
use format::Formatter;
pub use layer::SyslogLayer;
use serde::Deserialize;
use sink::{Sink, Unwritten};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::{Layer, SubscriberExt};

/// The facility unless a collector's configuration sets another: system daemons.
const DEFAULT_FACILITY: u8 = 3;
/// The highest facility.
const MAX_FACILITY: u8 = 23;
/// How long the process waits, before it exits, for queued messages to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between two checks whether all messages are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The configuration of a collector, a file such as those under `deploy/`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collector {
    /// The address of the collector.
    #[serde(rename = "collector")]
    pub address: SocketAddr,
    /// The transport protocol.
    pub protocol: Protocol,
    /// The facility of all messages, 0 to 23.
    #[serde(default = "default_facility")]
    pub facility: u8,
}

impl Collector {
    /// Checks that the facility is at most 23.
    pub fn check(&self) -> Result<(), SyslogError> {
        if self.facility > MAX_FACILITY {
            return Err(SyslogError::Facility(self.facility));
        }
        Ok(())
    }
}

fn default_facility() -> u8 {
    DEFAULT_FACILITY
}

/// The transport protocol to a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// TCP with octet counting.
    Tcp,
    /// UDP with one datagram for each message.
    Udp,
}

/// Counts the messages that are not written yet. [`FlushGuard::finish`] waits for them before the process
/// exits.
pub struct FlushGuard {
    unwritten: Vec<Unwritten>,
}

impl FlushGuard {
    /// Waits until all messages are written, but for at most 500 ms.
    pub fn finish(self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.unwritten.iter().any(Unwritten::any) && Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Starts logging for the whole process.
pub fn start(collector: Option<Collector>) -> Result<FlushGuard, SyslogError> {
    let mut sinks = vec![Sink::start("log-stderr", transport::write_to_stderr)?];
    if let Some(collector) = collector {
        sinks.push(collector_sink(&collector)?);
    }
    let facility = collector.map_or(DEFAULT_FACILITY, |collector| collector.facility);
    let guard = FlushGuard { unwritten: sinks.iter().map(Sink::unwritten).collect() };
    let layer = SyslogLayer::new(Formatter::new(&host_name(), facility), sinks);
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(LevelFilter::INFO));
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(guard)
}

fn collector_sink(collector: &Collector) -> Result<Sink, SyslogError> {
    match collector.protocol {
        Protocol::Tcp => {
            let mut connection = transport::TcpTransport::new(collector.address);
            Sink::start("log-tcp", move |message| connection.send(message))
        }
        Protocol::Udp => {
            let socket = transport::UdpTransport::bind(collector.address)?;
            Sink::start("log-udp", move |message| socket.send(message))
        }
    }
}

fn host_name() -> String {
    std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default()
}

#[cfg(test)]
mod tests;
