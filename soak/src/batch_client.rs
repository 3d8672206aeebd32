//! Emulated clients of the extended listener. Each sends batches of one to five statements with different needs.

use crate::client::{Clients, LATE_LIMIT};
use crate::history::{Micros, SECOND};
use crate::member::MemberRole;
use crate::random::Draws;
use crate::scenario::CLASSES;
use crate::wire::{message, read_message, split_c_string, startup_message};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The classes of a batch's statements: own, any, write, recent. Writes are the rarest.
const DRAWN_CLASSES: [usize; 9] = [0, 0, 0, 1, 3, 3, 3, 3, 2];
/// The most statements of a batch.
const MAX_STATEMENTS: u64 = 5;
/// The sessions of one client.
const SESSIONS: u64 = 2;
/// Pause of a client that could not connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// A statement of a batch.
#[derive(Clone, Debug)]
pub struct BatchStatement {
    /// The index of its class in [`CLASSES`].
    pub class: usize,
    /// The text by which its answer is recognized.
    pub tag: String,
    /// The position of its session's last commit that was answered before the batch was sent; 0 for none.
    pub commit: Micros,
    /// The index of its session among those of the client.
    session: usize,
}

impl BatchStatement {
    /// A statement of the client's first session.
    pub fn new(class: usize, tag: &str, commit: Micros) -> BatchStatement {
        BatchStatement { class, tag: tag.into(), commit, session: 0 }
    }
}

/// The answer to a statement, as the member made it.
#[derive(Clone, Debug)]
pub struct BatchAnswer {
    /// The text of the statement that it answers.
    pub tag: String,
    /// The index of the member.
    pub member: usize,
    /// When the member executed the statement.
    pub at: Micros,
    /// The time of the run up to which the member had applied the log.
    pub position: Micros,
    /// The member's role.
    pub role: MemberRole,
}

/// How a batch ended for its client.
#[derive(Clone, Debug)]
pub enum BatchEnd {
    /// With an answer to each statement.
    Served(Vec<BatchAnswer>),
    /// With an error of this SQLSTATE.
    Error(String),
    /// The connection was closed.
    Closed,
    /// No answer came until half a second after the deadline.
    Silent,
}

/// A batch, as its client saw it.
#[derive(Clone, Debug)]
pub struct BatchRecord {
    /// The index of the proxy.
    pub proxy: usize,
    /// The statements, in order.
    pub statements: Vec<BatchStatement>,
    /// When the batch was sent.
    pub sent_at: Micros,
    /// When it ended for the client.
    pub ended_at: Micros,
    /// How it ended.
    pub end: BatchEnd,
}

impl Clients {
    /// Runs a client of batches until the end of the run. `think` is the mean pause between two batches.
    pub fn run_batch_client(&self, number: u64, proxy: usize, address: SocketAddr, think: Micros) {
        let mut draws = Draws::new(self.seed, 5000 + number);
        let mut commits = [0; SESSIONS as usize];
        let mut connection = None;
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_micros(draws.between(think / 2, think * 3 / 2)));
            if connection.is_none() {
                connection = self.connect_extended(proxy, address);
            }
            let Some(stream) = connection.as_mut() else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let record = self.run_batch(stream, number, proxy, &commits, &mut draws);
            match &record.end {
                BatchEnd::Served(answers) => {
                    for (statement, answer) in record.statements.iter().zip(answers) {
                        if CLASSES[statement.class].kind.is_write() {
                            let commit = &mut commits[statement.session];
                            *commit = answer.position.max(*commit);
                        }
                    }
                }
                BatchEnd::Error(_) => {}
                BatchEnd::Closed | BatchEnd::Silent => connection = None,
            }
            self.history.batches.lock().unwrap().push(record);
        }
    }

    /// Connects to a proxy in rotation, and prepares a statement of each class.
    fn connect_extended(&self, proxy: usize, address: SocketAddr) -> Option<TcpStream> {
        if !self.proxies[proxy].is_in_rotation.load(Ordering::SeqCst) {
            return None;
        }
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        stream.write_all(&startup_message()).ok()?;
        while read_message(&mut stream).ok()?.0 != b'Z' {}
        let group = proxy % self.groups;
        let prepare = |class: usize| {
            let wait = CLASSES[class].deadline * self.deadline_percent / 100 / 1000;
            let comment = format!("/* c={},d={wait},cluster={group} */", CLASSES[class].name);
            let text = match CLASSES[class].kind.is_write() {
                true => format!("INSERT INTO entries VALUES ($1, $2) RETURNING payload {comment}"),
                false => format!("SELECT payload FROM entries WHERE ref = $1 AND tag = $2 {comment}"),
            };
            message(b'P', format!("c{class}\0{text}\0\0\0").as_bytes())
        };
        let mut prepared: Vec<u8> = [0, 1, 2, 3].into_iter().flat_map(prepare).collect();
        prepared.extend(message(b'S', b""));
        stream.write_all(&prepared).ok()?;
        loop {
            match read_message(&mut stream).ok()?.0 {
                b'Z' => return Some(stream),
                b'E' => return None,
                _ => {}
            }
        }
    }

    fn run_batch(
        &self,
        stream: &mut TcpStream,
        number: u64,
        proxy: usize,
        commits: &[Micros],
        draws: &mut Draws,
    ) -> BatchRecord {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let count = draws.between(1, MAX_STATEMENTS);
        let draw_statement = |nth: u64| {
            let session = draws.below(SESSIONS) as usize;
            let class = draws.pick(&DRAWN_CLASSES);
            let statement = BatchStatement::new(class, &format!("b{id}.{nth}"), commits[session]);
            BatchStatement { session, ..statement }
        };
        let statements: Vec<_> = (0..count).map(draw_statement).collect();
        let messages = batch_messages(&statements, number, draws.once_in(4));
        let deadlines = statements.iter().map(|statement| CLASSES[statement.class].deadline);
        let wait = deadlines.min().unwrap_or(SECOND) * self.deadline_percent / 100;
        let sent = stream.write_all(&messages);
        let sent_at = self.clock.now();
        let _ = stream.set_read_timeout(Some(Duration::from_micros(wait + LATE_LIMIT)));
        let end = match sent.and_then(|()| read_batch_reply(stream)) {
            Ok(end) => end,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                BatchEnd::Silent
            }
            Err(_) => BatchEnd::Closed,
        };
        BatchRecord { proxy, statements, sent_at, ended_at: self.clock.now(), end }
    }
}

/// Encodes a batch. With `is_cut`, a Flush is between the Bind and the Execute messages.
fn batch_messages(statements: &[BatchStatement], client: u64, is_cut: bool) -> Vec<u8> {
    let (mut binds, mut executes) = (Vec::new(), Vec::new());
    for (nth, statement) in statements.iter().enumerate() {
        let mut bind = format!("p{nth}\0c{}\0\0\0\0\x02", statement.class).into_bytes();
        for value in [format!("b{client}-{}", statement.session), statement.tag.clone()] {
            bind.extend((value.len() as u32).to_be_bytes());
            bind.extend(value.as_bytes());
        }
        bind.extend([0, 0]);
        binds.push(message(b'B', &bind));
        executes.push(message(b'E', format!("p{nth}\0\0\0\0\0").as_bytes()));
    }
    let batch = match is_cut {
        true => [binds.concat(), message(b'H', b""), executes.concat()].concat(),
        false => {
            binds.into_iter().zip(executes).flat_map(|(bind, execute)| [bind, execute].concat()).collect()
        }
    };
    [batch, message(b'S', b"")].concat()
}

/// Reads the reply to a batch, up to ReadyForQuery or a fatal error.
fn read_batch_reply(stream: &mut TcpStream) -> std::io::Result<BatchEnd> {
    let (mut answers, mut error) = (Vec::new(), None);
    loop {
        let (tag, body) = read_message(stream)?;
        match tag {
            b'D' => {
                let value = String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned();
                answers.push(parse_answer(&value).ok_or(ErrorKind::InvalidData)?);
            }
            b'E' => {
                let fields = body.split(|byte| *byte == 0);
                let code = fields.clone().find_map(|field| field.strip_prefix(b"C")).unwrap_or_default();
                let code = split_c_string(code).0;
                if body.starts_with(b"SFATAL\0") {
                    return Ok(BatchEnd::Error(code));
                }
                error = Some(code);
            }
            b'Z' => return Ok(error.map_or(BatchEnd::Served(answers), BatchEnd::Error)),
            _ => {}
        }
    }
}

/// Parses the value that a member makes of a statement: `tag-member-at-position-role`.
fn parse_answer(value: &str) -> Option<BatchAnswer> {
    let mut parts = value.split('-');
    let tag = parts.next()?.to_string();
    let member = parts.next()?.parse().ok()?;
    let at = parts.next()?.parse().ok()?;
    let position = parts.next()?.parse().ok()?;
    let role = match parts.next()? {
        "primary" => MemberRole::Primary,
        "former" => MemberRole::FormerPrimary,
        _ => MemberRole::Replica,
    };
    Some(BatchAnswer { tag, member, at, position, role })
}
