//! A stand-in for a member: a server of simple and extended queries with a role and a position in its group's
//! log. A replica has the commits up to its position and no others. It answers as the protocol page says.

use crate::common::{Record, c_string, field, message, read_message, sleep_ms, startup, unix_ms};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a replica waits to catch up before it turns a read away.
const CATCH_UP_WAIT_MS: u64 = 50;

/// The least that a replica is behind. The brief: it gets the log after 2.7 to 11 ms.
pub const LEAST_LAG_MS: u64 = 5;

/// A write that has been committed.
pub struct Commit {
    pub at_ms: u64,
    pub session: String,
    pub value: String,
}

/// The log of a group.
#[derive(Default)]
pub struct GroupLog(pub Mutex<Vec<Commit>>);

impl GroupLog {
    /// Appends a commit and returns its position, rounded up.
    pub fn commit(&self, session: &str, value: &str) -> u64 {
        let mut log = self.0.lock().unwrap();
        let at_ms = unix_ms() + 1;
        log.push(Commit { at_ms, session: session.into(), value: value.into() });
        at_ms
    }

    /// The last value that a session has written up to this position.
    fn last(&self, session: &str, position_ms: u64) -> Option<String> {
        let log = self.0.lock().unwrap();
        let commits = log.iter().rev().filter(|commit| commit.at_ms <= position_ms);
        let mut own = commits.filter(|commit| commit.session == session);
        own.next().map(|commit| commit.value.clone())
    }
}

/// How far a replica has applied the log.
#[derive(Clone, Copy)]
pub enum Follows {
    /// It is behind by this many milliseconds.
    Lag(u64),
    /// From `from_ms` on it is slow for a period and then not, in turn. It applies `slow` seconds of the log in a
    /// second while it is slow and `fast` in the others, and is 5 ms behind at the least.
    Slow { from_ms: u64, period_ms: u64, slow: f64, fast: f64 },
}

pub struct Member {
    pub name: String,
    pub primary: AtomicBool,
    pub follows: Mutex<Follows>,
    /// It takes requests and answers none, probes included.
    pub hangs: AtomicBool,
    /// How long a request takes.
    pub work_ms: u64,
    pub log: Arc<GroupLog>,
    position_ms: AtomicU64,
    /// Of a replica that is slow in turn: up to when its part is reckoned, and the position then.
    applied: Mutex<(u64, f64)>,
    record: Record,
}

impl Member {
    pub fn new(
        name: &str,
        primary: bool,
        follows: Follows,
        work_ms: u64,
        log: &Arc<GroupLog>,
        record: &Record,
    ) -> Arc<Member> {
        Arc::new(Member {
            name: name.into(),
            primary: AtomicBool::new(primary),
            follows: Mutex::new(follows),
            hangs: AtomicBool::new(false),
            work_ms,
            log: log.clone(),
            position_ms: AtomicU64::new(0),
            applied: Mutex::new((0, 0.0)),
            record: record.clone(),
        })
    }

    /// The time up to which the member has applied all commits. It never goes back.
    pub fn position_ms(&self) -> u64 {
        let now = unix_ms();
        let position = match *self.follows.lock().unwrap() {
            _ if self.primary.load(Ordering::SeqCst) => now,
            Follows::Lag(lag) => now - lag,
            Follows::Slow { from_ms, period_ms, slow, fast } => {
                let mut applied = self.applied.lock().unwrap();
                let (at, mut position) = *applied;
                for at in at.max(from_ms)..now {
                    let is_slow = (at - from_ms) / period_ms % 2 == 0;
                    position = (position.max(from_ms as f64 - LEAST_LAG_MS as f64)
                        + if is_slow { slow } else { fast })
                    .min((at + 1 - LEAST_LAG_MS) as f64);
                }
                *applied = (now, position);
                if now <= from_ms { now - LEAST_LAG_MS } else { position as u64 }
            }
        };
        self.position_ms.fetch_max(position, Ordering::SeqCst).max(position)
    }

    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let member = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = member.clone();
                std::thread::spawn(move || {
                    let _ = Connection::new(&member, stream).serve();
                });
            }
        });
        address
    }
}

/// A connection of a proxy.
struct Connection<'a> {
    member: &'a Member,
    stream: TcpStream,
    out: Vec<u8>,
    prepared: HashMap<String, String>,
    /// Each portal: its statement and parameters.
    portals: HashMap<String, (String, Vec<String>)>,
    failed: bool,
    /// The position that the next ReadyForQuery reports.
    reported_ms: Option<u64>,
}

impl<'a> Connection<'a> {
    fn new(member: &'a Member, stream: TcpStream) -> Self {
        Connection {
            member,
            stream,
            out: Vec::new(),
            prepared: HashMap::new(),
            portals: HashMap::new(),
            failed: false,
            reported_ms: None,
        }
    }

    fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut length = [0; 4];
        self.stream.read_exact(&mut length)?;
        let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        debug_assert!(startup().ends_with(&body));
        self.put(b'R', &[0; 4]);
        self.put(b'Z', b"I");
        self.flush()?;
        loop {
            let (tag, body) = read_message(&mut self.stream)?;
            if self.member.hangs.load(Ordering::SeqCst) {
                self.member.record.line(&format!("{} hangs at {}", self.member.name, tag as char));
                while self.member.hangs.load(Ordering::SeqCst) {
                    sleep_ms(10);
                    self.stream.set_read_timeout(Some(Duration::from_millis(1)))?;
                    if matches!(self.stream.peek(&mut [0]), Ok(0)) {
                        return Ok(());
                    }
                }
                self.stream.set_read_timeout(None)?;
            }
            match tag {
                b'Q' => self.simple(&c_string(&body).0)?,
                b'X' => return Ok(()),
                b'S' => {
                    self.failed = false;
                    self.portals.clear();
                    self.ready()?;
                }
                b'H' => self.flush()?,
                _ if self.failed => {}
                b'P' => {
                    let (name, rest) = c_string(&body);
                    self.prepared.insert(name, c_string(rest).0);
                    self.put(b'1', &[]);
                }
                b'B' => self.bind(&body),
                b'D' => self.put(b'n', &[]),
                b'C' => {
                    let (name, _) = c_string(&body[1..]);
                    if body[0] == b'S' {
                        self.prepared.remove(&name);
                    } else {
                        self.portals.remove(&name);
                    }
                    self.put(b'3', &[]);
                }
                b'E' => {
                    let (portal, _) = c_string(&body);
                    let (sql, parameters) = self.portals.get(&portal).cloned().unwrap_or_default();
                    self.run(
                        &sql,
                        parameters.first().cloned().unwrap_or_default(),
                        parameters.get(1).cloned().unwrap_or_default(),
                        false,
                    );
                }
                _ => return Ok(()),
            }
        }
    }

    fn simple(&mut self, text: &str) -> io::Result<()> {
        if text.is_empty() {
            self.put(b'I', &[]);
        } else if text == "SHOW health" {
            let position = self.member.position_ms();
            let primary = u8::from(self.member.primary.load(Ordering::SeqCst));
            let report = format!("x0={}.{:03},x1={primary}", position / 1000, position % 1000);
            self.row(&report, true);
        } else {
            let mut quoted = text.split('\'');
            let session = quoted.nth(1).unwrap_or_default().to_string();
            let value = quoted.nth(1).unwrap_or_default().to_string();
            self.run(text, session, value, true);
        }
        self.failed = false;
        self.ready()
    }

    fn bind(&mut self, body: &[u8]) {
        let (portal, rest) = c_string(body);
        let (name, rest) = c_string(rest);
        let Some(sql) = self.prepared.get(&name).cloned() else { return self.error("26000") };
        let formats = u16::from_be_bytes([rest[0], rest[1]]) as usize;
        let mut rest = &rest[2 + 2 * formats..];
        let count = u16::from_be_bytes([rest[0], rest[1]]);
        rest = &rest[2..];
        let mut parameters = Vec::new();
        for _ in 0..count {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            parameters.push(String::from_utf8_lossy(&rest[4..4 + length]).into_owned());
            rest = &rest[4 + length..];
        }
        self.portals.insert(portal, (sql, parameters));
        self.put(b'2', &[]);
    }

    /// Runs a statement: a write commits, a read sees what this member has applied.
    fn run(&mut self, sql: &str, session: String, value: String, described: bool) {
        let member = self.member;
        let name = &member.name;
        if sql.starts_with("INSERT") {
            if !member.primary.load(Ordering::SeqCst) {
                self.reported_ms = Some(member.position_ms());
                return self.error("25006");
            }
            sleep_ms(member.work_ms);
            let at = member.log.commit(&session, &value);
            member
                .record
                .line(&format!("{name} ran the write of session {session}, value {value}, commit {at}"));
            self.reported_ms = Some(at);
            return self.row(&value, described);
        }
        // A replica that is too far behind for the read waits, then turns it away.
        let after = field(sql, "after").and_then(|digits| digits.parse::<u64>().ok()).unwrap_or(0);
        let mut waited = 0;
        while member.position_ms() < after {
            if waited >= CATCH_UP_WAIT_MS {
                self.reported_ms = Some(member.position_ms());
                return self.error("72000");
            }
            sleep_ms(5);
            waited += 5;
        }
        sleep_ms(member.work_ms);
        let position = member.position_ms();
        let seen = member.log.last(&session, position).unwrap_or_else(|| "none".into());
        let behind = unix_ms() - position;
        member.record.line(&format!("{name} ran the read of session {session}: {seen}, {behind} ms behind"));
        self.reported_ms = Some(position);
        self.row(&seen, described);
    }

    fn row(&mut self, value: &str, described: bool) {
        if described {
            self.put(b'T', &[&[0, 1][..], b"payload\0", &[0; 18]].concat());
        }
        let mut row = vec![0, 1];
        row.extend((value.len() as u32).to_be_bytes());
        row.extend(value.as_bytes());
        self.put(b'D', &row);
        self.put(b'C', b"SELECT 1\0");
    }

    fn error(&mut self, code: &str) {
        self.failed = true;
        self.put(b'E', format!("SERROR\0C{code}\0Mturned away\0\0").as_bytes());
    }

    fn ready(&mut self) -> io::Result<()> {
        let role = if self.member.primary.load(Ordering::SeqCst) { "off" } else { "on" };
        self.put(b'S', format!("recovery\0{role}\0").as_bytes());
        if let Some(position) = self.reported_ms.take() {
            self.put(b'S', format!("lsn_ms\0{position}\0").as_bytes());
        }
        self.put(b'Z', b"I");
        self.flush()
    }

    fn put(&mut self, tag: u8, body: &[u8]) {
        self.out.extend(message(tag, body));
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all(&std::mem::take(&mut self.out))
    }
}
