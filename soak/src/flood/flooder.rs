//! The clients of a flood: they send as fast as the proxy reads.

use super::messages::{BodyForm, ConnectionState, MessageKind, Unsound, encode};
use crate::random::Draws;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// The bytes of messages that are made at a time.
const BATCH_BYTES: usize = 32 * 1024;
/// The pause of a client that can neither send nor read.
const IDLE_PAUSE: Duration = Duration::from_micros(50);
/// How long a client waits for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The most threads of one flood.
const MAX_THREADS: usize = 6;

/// What the clients of a flood do.
#[derive(Clone, Debug)]
pub struct Flood {
    /// What they send.
    pub kind: MessageKind,
    /// How the bodies of messages with a type are made.
    pub form: BodyForm,
    /// Where they send it.
    pub state: ConnectionState,
    /// The number of messages, such as Parse, that are followed by one Sync; 0 for none.
    pub messages_per_sync: u64,
    /// The number of connections.
    pub connections: usize,
    /// Whether they read the answers.
    pub reads: bool,
    /// The number of messages on a connection before it is closed for a new one; 0 for no limit.
    pub messages_per_connection: u64,
    /// The most bytes of one write.
    pub piece_bytes: usize,
}

/// What the clients of a flood have done.
#[derive(Debug, Default)]
pub struct FloodCounts {
    /// The bytes that the proxy's socket has taken.
    pub bytes: AtomicU64,
    /// The connections that were opened.
    pub connections: AtomicU64,
}

/// A connection of a flood.
struct FloodConnection {
    stream: TcpStream,
    unsent: Vec<u8>,
    sent: usize,
    /// The messages that may still be made for this connection.
    messages_left: u64,
}

impl Flood {
    /// Six clients that read the answers and never sent anything before.
    pub fn on_six_connections() -> Flood {
        Flood {
            kind: MessageKind::Unsound(Unsound::Noise),
            form: BodyForm::Sound,
            state: ConnectionState::Connected,
            messages_per_sync: 0,
            connections: 6,
            reads: true,
            messages_per_connection: 0,
            piece_bytes: usize::MAX,
        }
    }

    /// Sends until `is_over`, over a few threads.
    pub fn run(&self, address: SocketAddr, seed: u64, is_over: &AtomicBool, counts: &FloodCounts) {
        let threads = self.connections.min(MAX_THREADS);
        std::thread::scope(|scope| {
            for thread in 0..threads {
                let connections = (self.connections - thread).div_ceil(threads);
                let mut draws = Draws::new(seed, thread as u64);
                scope.spawn(move || self.run_thread(address, connections, &mut draws, is_over, counts));
            }
        });
    }

    fn run_thread(
        &self,
        address: SocketAddr,
        connections: usize,
        draws: &mut Draws,
        is_over: &AtomicBool,
        counts: &FloodCounts,
    ) {
        let mut serial = draws.below(1 << 32) << 24;
        let mut slots: Vec<Option<FloodConnection>> = (0..connections).map(|_| None).collect();
        let mut read_buffer = vec![0; 64 * 1024];
        while !is_over.load(Ordering::SeqCst) {
            let mut has_progressed = false;
            for slot in &mut slots {
                if slot.is_none() {
                    serial += 1;
                    *slot = self.connect(address, serial);
                    counts.connections.fetch_add(1, Ordering::SeqCst);
                }
                let Some(connection) = slot else { continue };
                if connection.sent == connection.unsent.len() && connection.messages_left > 0 {
                    self.make_messages(connection, &mut serial, draws);
                }
                match self.advance(connection, &mut read_buffer) {
                    Some(bytes) => {
                        has_progressed |= bytes > 0;
                        counts.bytes.fetch_add(bytes as u64, Ordering::SeqCst);
                    }
                    None => *slot = None,
                }
            }
            if !has_progressed {
                std::thread::sleep(IDLE_PAUSE);
            }
        }
    }

    fn connect(&self, address: SocketAddr, serial: u64) -> Option<FloodConnection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_nonblocking(true).ok()?;
        let messages_left = match self.messages_per_connection {
            0 => u64::MAX,
            limit => limit,
        };
        Some(FloodConnection { stream, unsent: self.state.prologue(serial), sent: 0, messages_left })
    }

    fn make_messages(&self, connection: &mut FloodConnection, serial: &mut u64, draws: &mut Draws) {
        connection.unsent.clear();
        connection.sent = 0;
        while connection.unsent.len() < BATCH_BYTES && connection.messages_left > 0 {
            *serial += 1;
            connection.messages_left -= 1;
            connection.unsent.extend(encode(&self.kind, self.form, *serial, draws));
            if self.messages_per_sync > 0 && serial.is_multiple_of(self.messages_per_sync) {
                connection.unsent.extend(b"S\0\0\0\x04");
            }
        }
    }

    /// Writes one piece and reads what has come. Returns the bytes written; `None` at the end.
    fn advance(&self, connection: &mut FloodConnection, read_buffer: &mut [u8]) -> Option<usize> {
        let FloodConnection { stream, unsent, sent, messages_left } = connection;
        let piece = &unsent[*sent..];
        let piece = &piece[..piece.len().min(self.piece_bytes)];
        let written = match stream.write(piece) {
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => return None,
        };
        *sent += written;
        if self.reads {
            match stream.read(read_buffer) {
                Ok(0) => return None,
                Err(error) if error.kind() != ErrorKind::WouldBlock => return None,
                _ => {}
            }
        }
        let is_done = *sent == unsent.len() && *messages_left == 0;
        if is_done { None } else { Some(written) }
    }
}
