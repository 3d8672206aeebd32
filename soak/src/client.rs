//! Emulated clients. A client keeps one connection to a proxy, sends its requests one after the other, and
//! records how each of them ends.

use crate::history::{History, MS, Micros, RequestEnd, RequestRecord, RunClock, SECOND};
use crate::process::Proxy;
use crate::random::Draws;
use crate::scenario::{CLASSES, ClassKind};
use crate::wire::{Reply, query, read_message, read_reply, startup_message};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time after the client's deadline within which a request must be answered.
pub const LATE_LIMIT: Micros = SECOND / 2;
/// Number of times that a client resends a request on a new connection after the proxy closed the old one
/// without forwarding the request.
const MAX_RESENDS: u32 = 4;
/// The class of pipelined requests, `any`: reads from any member.
const PIPELINED_CLASS: usize = 1;
/// Pause of a client that could not connect to its proxy.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Time within which a faulty client must get an error or a close.
const FAULTY_CLIENT_LIMIT: Duration = Duration::from_millis(3300);

/// The state that all clients of a run share.
pub struct Clients {
    /// The proxies, by index.
    pub proxies: Vec<Arc<Proxy>>,
    /// Where the clients record their requests.
    pub history: Arc<History>,
    /// The clock of the run.
    pub clock: RunClock,
    /// Set at the end of the run; the clients' threads end when they see it.
    pub is_over: Arc<AtomicBool>,
    /// The number of groups of members.
    pub groups: usize,
    /// The seed of the run.
    pub seed: u64,
    /// The longest time that clients wait, in percent of their classes' deadlines.
    pub deadline_percent: u64,
    /// Clients leave one in this many requests before its answer; 0 for none.
    pub leave_one_in: u64,
    /// The low 32 bits of the next request id; the seed is above them.
    pub next_id: AtomicU64,
}

/// A connection of a client to one process of a proxy.
struct Connection {
    stream: TcpStream,
    /// The proxy's start that this connection belongs to.
    generation: u64,
    /// Whether a request was sent on this connection before.
    has_requested: bool,
}

/// A request that a client sends.
struct ClientRequest {
    id: u64,
    class: usize,
    wait: Micros,
    text: String,
}

impl Clients {
    /// Runs one client until the end of the run. `think` is the mean pause between two requests.
    pub fn run_client(&self, number: u64, proxy: usize, think: Micros) {
        let mut draws = Draws::new(self.seed, 1000 + number);
        let mut connection = None;
        let mut last_write_ms = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_micros(draws.between(think / 2, think * 3 / 2)));
            let request = self.draw_request(&mut draws, number, last_write_ms);
            let class = request.class;
            if self.make_request(proxy, request, &mut connection, &mut draws)
                && CLASSES[class].kind.is_write()
            {
                last_write_ms = unix_ms();
            }
        }
    }

    fn draw_request(&self, draws: &mut Draws, session: u64, last_write_ms: u64) -> ClientRequest {
        let class = draws.pick(&[0, 0, 1, 1, 1, 2, 2, 3, 4]);
        self.draw_request_of(draws, class, session, last_write_ms)
    }

    fn draw_request_of(
        &self,
        draws: &mut Draws,
        class: usize,
        session: u64,
        last_write_ms: u64,
    ) -> ClientRequest {
        let kind = CLASSES[class].kind;
        let id = (self.seed << 32) | self.next_id.fetch_add(1, Ordering::SeqCst);
        let deadline = CLASSES[class].deadline * self.deadline_percent / 100;
        let wait = draws.between(deadline * 2 / 5, deadline) / MS * MS;
        let group = session % self.groups as u64;
        let mut comment = format!("id={id:016x},c={},d={},cluster={group}", CLASSES[class].name, wait / MS);
        if kind == ClassKind::Keyed {
            comment.push_str(&format!(",k=k{id:016x}"));
        }
        if kind == ClassKind::Own && last_write_ms > 0 {
            comment.push_str(&format!(",after={last_write_ms}"));
        }
        let text = match kind.is_write() {
            true => format!(
                "INSERT INTO entries (ref, payload) VALUES ('k{session}', '\\x9f03') RETURNING payload /* {comment} */"
            ),
            false => format!("SELECT payload FROM entries WHERE ref = 'k{session}' /* {comment} */"),
        };
        ClientRequest { id, class, wait, text }
    }

    /// Sends a request on the connection in `slot`, or on a new one, and records how it ends. Returns whether
    /// it was served. The connection goes back to `slot` if it can be used again.
    fn make_request(
        &self,
        proxy_index: usize,
        request: ClientRequest,
        slot: &mut Option<Connection>,
        draws: &mut Draws,
    ) -> bool {
        let proxy = &self.proxies[proxy_index];
        for resends in 0..=MAX_RESENDS {
            let Some(mut connection) = slot.take().or_else(|| self.connect(proxy)) else {
                std::thread::sleep(RECONNECT_PAUSE);
                return false;
            };
            let generation = connection.generation;
            let was_used = std::mem::replace(&mut connection.has_requested, true);
            if connection.stream.write_all(&query(&request.text)).is_err() {
                continue;
            }
            let sent_at = self.clock.now();
            if self.leave_one_in > 0 && draws.once_in(self.leave_one_in) {
                std::thread::sleep(Duration::from_micros(draws.between(0, 60 * MS)));
                drop(connection);
                self.record(&request, proxy_index, sent_at, RequestEnd::Left);
                return false;
            }
            let end = self.await_reply(&mut connection, sent_at + request.wait + LATE_LIMIT);
            let was_killed = proxy.was_killed_unwarned(generation);
            match end {
                RequestEnd::Closed if was_killed => {
                    self.record(&request, proxy_index, sent_at, RequestEnd::Excused)
                }
                // The proxy may have closed the connection while the request was on its way. A request that
                // reached no member is resent.
                RequestEnd::Closed
                    if resends < MAX_RESENDS && (was_used || !self.was_forwarded(request.id)) =>
                {
                    if self.was_forwarded(request.id) {
                        self.record(&request, proxy_index, sent_at, RequestEnd::Closed);
                        return false;
                    }
                    continue;
                }
                RequestEnd::Closed if !self.was_forwarded(request.id) => {}
                end => {
                    let served = matches!(end, RequestEnd::Served(_));
                    let is_open = served || matches!(end, RequestEnd::Error(_));
                    self.record(&request, proxy_index, sent_at, end);
                    if is_open {
                        *slot = Some(connection);
                    }
                    return served;
                }
            }
            return false;
        }
        false
    }

    /// Returns whether an attempt of the request has reached a member.
    fn was_forwarded(&self, id: u64) -> bool {
        self.history.attempts.lock().unwrap().iter().rev().any(|attempt| attempt.id == id)
    }

    /// Connects to a proxy that is in rotation and waits for ReadyForQuery.
    fn connect(&self, proxy: &Proxy) -> Option<Connection> {
        if !proxy.is_in_rotation.load(Ordering::SeqCst) {
            return None;
        }
        let generation = proxy.generation.load(Ordering::SeqCst);
        let mut stream = TcpStream::connect_timeout(&proxy.address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        stream.write_all(&startup_message()).ok()?;
        loop {
            match read_message(&mut stream).ok()? {
                (b'Z', _) => return Some(Connection { stream, generation, has_requested: false }),
                (b'E', _) => return None,
                _ => {}
            }
        }
    }

    /// Waits for the reply until `deadline`, a time of the run.
    fn await_reply(&self, connection: &mut Connection, deadline: Micros) -> RequestEnd {
        let left = Duration::from_micros(deadline.saturating_sub(self.clock.now()).max(1));
        let _ = connection.stream.set_read_timeout(Some(left));
        match read_reply(&mut connection.stream) {
            Ok(Reply::Row(value)) => RequestEnd::Served(value),
            Ok(Reply::Error(code)) => RequestEnd::Error(code),
            Ok(Reply::Empty) => RequestEnd::Error("empty".into()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                RequestEnd::Silent
            }
            Err(_) => RequestEnd::Closed,
        }
    }

    fn record(&self, request: &ClientRequest, proxy: usize, sent_at: Micros, end: RequestEnd) {
        let ended_at = self.clock.now();
        let ClientRequest { id, class, wait, .. } = *request;
        let record = RequestRecord { id, proxy, class, sent_at, wait, ended_at, end };
        self.history.requests.lock().unwrap().push(record);
    }

    /// Runs a client that pipelines several reads on one connection. The replies must come in the order of
    /// the requests.
    pub fn run_pipelining_client(&self, number: u64, proxy_index: usize) {
        let mut draws = Draws::new(self.seed, 9000 + number);
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(draws.between(100, 700)));
            let proxy = &self.proxies[proxy_index];
            let Some(mut connection) = self.connect(proxy) else { continue };
            let requests: Vec<ClientRequest> = (0..draws.between(2, 6))
                .map(|_| self.draw_request_of(&mut draws, PIPELINED_CLASS, number, 0))
                .collect();
            let bytes: Vec<u8> = requests.iter().flat_map(|request| query(&request.text)).collect();
            if connection.stream.write_all(&bytes).is_err() {
                continue;
            }
            let sent_at = self.clock.now();
            for request in &requests {
                let end = self.await_reply(&mut connection, sent_at + request.wait + LATE_LIMIT);
                let is_closed = end == RequestEnd::Closed;
                // The process was killed, or the proxy closed the connection before it read the request.
                let is_excused = proxy.was_killed_unwarned(connection.generation);
                if is_closed && (is_excused || !self.was_forwarded(request.id)) {
                    break;
                }
                let is_usable = !is_closed && end != RequestEnd::Silent;
                self.record(request, proxy_index, sent_at, end);
                if !is_usable {
                    break;
                }
            }
        }
    }

    /// Runs a client that sends malformed or incomplete messages, or a statement with an invalid comment, and
    /// then waits. The proxy must answer with an error or close the connection.
    pub fn run_faulty_client(&self, number: u64, proxy_index: usize) {
        let mut draws = Draws::new(self.seed, 5000 + number);
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(draws.between(100, 900)));
            let proxy = &self.proxies[proxy_index];
            let Some(mut connection) = self.connect(proxy) else { continue };
            let complete = query("SELECT 1 /* id=1,c=none,d=x */");
            let bytes = match draws.below(4) {
                0 => complete[..complete.len() / 2].to_vec(),
                1 => b"Q\xff\xff\xff\xffnoise".to_vec(),
                2 => b"\0\x01\x02garbage that is no message".to_vec(),
                _ => complete,
            };
            if connection.stream.write_all(&bytes).is_err() {
                continue;
            }
            let _ = connection.stream.set_read_timeout(Some(FAULTY_CLIENT_LIMIT));
            let reply = read_reply(&mut connection.stream);
            let is_same_process = proxy.generation.load(Ordering::SeqCst) == connection.generation;
            let timed_out =
                |error: &std::io::Error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            if reply.is_err_and(|error| timed_out(&error))
                && is_same_process
                && !self.is_over.load(Ordering::SeqCst)
            {
                let text = "faulty client: expected an error or a close within 3 s, got neither";
                self.history.incident(self.clock.now(), proxy_index, text);
            }
        }
    }

    /// Holds up to `connections` idle connections to a proxy until the end of the run, to exhaust its file
    /// descriptors. Connections that the proxy closes are replaced.
    pub fn hold_idle_connections(&self, proxy: usize, connections: usize) {
        let mut streams = Vec::new();
        while !self.is_over.load(Ordering::SeqCst) {
            if streams.len() < connections
                && let Ok(stream) =
                    TcpStream::connect_timeout(&self.proxies[proxy].address, Duration::from_secs(1))
            {
                let _ = (&stream).write_all(&startup_message());
                let _ = stream.set_nonblocking(true);
                streams.push(stream);
            }
            streams.retain(|stream| !matches!(stream.peek(&mut [0]), Ok(0)));
            std::thread::sleep(Duration::from_millis(if streams.len() < connections { 1 } else { 50 }));
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
