//! The sockets between replicas and to the command line: sends frames, receives frames and answers them.

use super::protocol::{Frame, ServiceRequest, Status};
use crate::sockets::closed_by_peer;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, Sender, bounded};
use serde::Serialize;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The connect timeout for a replica.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a replica waits for its service thread's answer, which for a put comes with the commit. The
/// command line waits longer by [`CONNECT_TIMEOUT`].
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a write to a replica and of a read from an accepted connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The most connections from other replicas and from the command line together.
const MAX_CONNECTIONS: u64 = 64;
/// The longest frame, in bytes.
const MAX_FRAME_BYTES: u64 = 64 << 20;

/// Sends frames to a replica, over one connection at a time, until the channel's senders are dropped. Frames
/// that can't be sent are dropped: Raft sends them again.
pub fn send_frames(address: SocketAddr, frames: &Receiver<Frame>) {
    while let Ok(first) = frames.recv() {
        if let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            send_until_closed(&stream, first, frames);
        }
    }
}

fn send_until_closed(stream: &TcpStream, first: Frame, frames: &Receiver<Frame>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(IDLE_TIMEOUT));
    let mut next = Some(first);
    while let Some(frame) = next {
        // A write to a connection that the peer has closed would be lost without an error.
        if closed_by_peer(stream) || write_line(stream, &frame).is_err() {
            return;
        }
        next = frames.recv().ok();
    }
}

/// Writes a frame or an answer.
pub fn write_line(mut stream: &TcpStream, value: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    stream.write_all(&line)
}

/// Starts the thread that accepts connections. Received frames are passed to the service thread.
pub fn listen(listener: TcpListener, requests: Sender<ServiceRequest>) -> io::Result<()> {
    let connections = ConnectionCount::default();
    spawn("store-accept", move || {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            };
            let requests = requests.clone();
            let slot = connections.enter();
            // If no thread can be started, the closure is dropped, and the slot and the stream with it.
            let _ = spawn("store-caller", move || {
                if slot.is_within_limit() {
                    serve_connection(&stream, &requests);
                }
            });
        }
    })
}

/// Counts the open connections.
#[derive(Clone, Default)]
struct ConnectionCount(Arc<Mutex<u64>>);

impl ConnectionCount {
    fn enter(&self) -> ConnectionSlot {
        let mut open = self.lock();
        *open += 1;
        ConnectionSlot { count: self.clone(), within_limit: *open <= MAX_CONNECTIONS }
    }

    fn lock(&self) -> MutexGuard<'_, u64> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A counted connection; dropping it decreases the count.
struct ConnectionSlot {
    count: ConnectionCount,
    within_limit: bool,
}

impl ConnectionSlot {
    /// Returns whether the limit allows this connection. This is a method because a closure that reads the
    /// field would capture only a copy of it, but the slot must live as long as the connection.
    fn is_within_limit(&self) -> bool {
        self.within_limit
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        *self.count.lock() -= 1;
    }
}

/// Passes the frames of a connection to the service thread, and writes its answers, until either ends.
fn serve_connection(stream: &TcpStream, requests: &Sender<ServiceRequest>) {
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    let mut reader = BufReader::new(stream);
    let mut line = Vec::new();
    while let Some(frame) = read_frame(&mut reader, &mut line) {
        let served = match frame {
            Frame::Peer(message) => requests.send(ServiceRequest::PeerMessage(message)).is_ok(),
            Frame::Forward(change) => requests.send(ServiceRequest::ProposeForwarded(change)).is_ok(),
            Frame::Put(change) => answer(stream, requests, |reply| ServiceRequest::Put { change, reply }),
            Frame::Status => answer(stream, requests, |reply| ServiceRequest::Status { reply }),
        };
        if !served {
            return;
        }
    }
}

/// Reads the next frame; `None` at the end of the stream or for a malformed frame.
fn read_frame(reader: &mut impl BufRead, line: &mut Vec<u8>) -> Option<Frame> {
    line.clear();
    let length = reader.take(MAX_FRAME_BYTES).read_until(b'\n', line).ok()?;
    if length == 0 {
        return None;
    }
    serde_json::from_slice(line).ok()
}

/// Passes a request to the service thread and writes its answer. Returns `false` if there is none, or if it
/// can't be written.
fn answer(
    stream: &TcpStream,
    requests: &Sender<ServiceRequest>,
    request: impl FnOnce(Sender<Status>) -> ServiceRequest,
) -> bool {
    let (reply, replies) = bounded(1);
    if requests.send(request(reply)).is_err() {
        return false;
    }
    let status = replies.recv_timeout(COMMIT_TIMEOUT);
    status.is_ok_and(|status| write_line(stream, &status).is_ok())
}

#[cfg(test)]
mod tests;
