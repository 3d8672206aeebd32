//! A group of members: a primary and replicas that follow its log.
//!
//! A member runs the statements that it gets, on the data that it has, and behaves as the protocol page says: it
//! tells its role and its position, turns writes away where it is no primary, drops a repeat of a key (`k`) within
//! its group for the window, and turns a read away if it is behind the `after` in its comment. It knows nothing
//! of a session but what a statement tells.

use super::record::{Record, unix_ms};
use super::wire::{self, put};
use std::collections::HashMap;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a member does with the next unit that fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Runs the unit, and resets the connection before a byte of its answer is written.
    ResetAfterRun,
    /// Turns the unit away untouched with 53300: its queue is full.
    TurnAway,
}

/// A statement that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub member: String,
    pub sql: String,
    pub values: Vec<String>,
}

/// The data of a group.
#[derive(Default)]
pub struct GroupData {
    /// The commits of each row: the time of the commit and the value.
    rows: HashMap<String, Vec<(u64, String)>>,
    last_commit: u64,
    keys: HashMap<String, (Instant, String, u64)>,
    pub runs: Vec<Run>,
}

pub struct Group {
    pub data: Mutex<GroupData>,
    /// The time for which a repeat of a key is dropped.
    pub key_window: Duration,
    /// What one request takes.
    pub work: Duration,
    /// How long a member waits for the position that a read must see.
    pub catch_up_wait: Duration,
    /// Whether answers carry a load report, as at Athens.
    pub reports_in_answers: bool,
    pub record: Record,
}

impl Group {
    pub fn new(record: &Record, work_ms: u64, reports_in_answers: bool) -> Arc<Group> {
        Arc::new(Group {
            data: Mutex::default(),
            key_window: Duration::from_millis(2000),
            work: Duration::from_millis(work_ms),
            catch_up_wait: Duration::from_millis(if reports_in_answers { 0 } else { 50 }),
            reports_in_answers,
            record: record.clone(),
        })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.data.lock().unwrap().runs.clone()
    }
}

pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    primary: AtomicBool,
    group: Arc<Group>,
    /// Whether this member takes requests and answers none.
    hangs: AtomicBool,
    /// When this replica began to fall behind, and by how much it will be behind.
    falls_behind: Mutex<Option<(u64, u64)>>,
    /// The fault for a unit, asked once for each: its messages' texts are the argument.
    chooser: Mutex<Box<dyn FnMut(&str) -> Option<Fault> + Send>>,
    /// The load report is refreshed at this interval.
    report: Mutex<(u64, u64)>,
}

/// The delay with which a replica has the log.
const SHIP_MS: u64 = 8;
const REPORT_INTERVAL_MS: u64 = 100;

impl Member {
    pub fn start(name: &str, group: &Arc<Group>, primary: bool) -> Arc<Member> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let member = Arc::new(Member {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            primary: AtomicBool::new(primary),
            group: group.clone(),
            hangs: AtomicBool::new(false),
            falls_behind: Mutex::new(None),
            chooser: Mutex::new(Box::new(|_| None)),
            report: Mutex::new((0, 0)),
        });
        let accepting = member.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = accepting.clone();
                std::thread::spawn(move || {
                    let _ = Connection::new(&member, stream).serve();
                });
            }
        });
        member
    }

    /// Sets the function that chooses the fault of each unit.
    pub fn choose(&self, chooser: impl FnMut(&str) -> Option<Fault> + Send + 'static) {
        *self.chooser.lock().unwrap() = Box::new(chooser);
    }

    fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    /// Lets the member take requests and answer none from now on.
    pub fn hang(&self) {
        self.group.record.line(format!("{} hangs from now on", self.name));
        self.hangs.store(true, Ordering::SeqCst);
    }

    /// Lets a replica fall behind from now on: it applies the log at half the speed of time until it is behind by so
    /// much, and stays behind by that.
    pub fn fall_behind(&self, most_ms: u64) {
        *self.falls_behind.lock().unwrap() = Some((unix_ms(), most_ms));
    }

    /// The time up to which this member has applied every commit.
    pub fn position(&self) -> u64 {
        let now = unix_ms();
        if self.is_primary() {
            return now;
        }
        let behind = match *self.falls_behind.lock().unwrap() {
            Some((since, most)) => (now.saturating_sub(since) / 2).min(most),
            None => 0,
        };
        now - behind.max(SHIP_MS)
    }

    /// The position in the load report, which is refreshed now and then.
    fn reported_position(&self) -> u64 {
        let mut report = self.report.lock().unwrap();
        if unix_ms() >= report.0 + REPORT_INTERVAL_MS {
            *report = (unix_ms(), self.position());
        }
        report.1
    }

    /// Runs a statement. Returns the value and the position that the answer tells, or an error.
    fn run(&self, sql: &str, values: &[String]) -> std::result::Result<(String, u64), &'static str> {
        let (literals, comment) = parts(sql);
        let operands = if values.is_empty() { literals } else { values.to_vec() };
        let key = operands.first().cloned().unwrap_or_default();
        let mut data = self.group.data.lock().unwrap();
        if is_write(sql) {
            if !self.is_primary() {
                return Err("25006");
            }
            if let Some((at, value, commit)) = comment.get("k").and_then(|key| data.keys.get(key))
                && at.elapsed() < self.group.key_window
            {
                return Ok((value.clone(), *commit));
            }
            let commit = unix_ms().max(data.last_commit + 1);
            data.last_commit = commit;
            let value = operands.get(1).cloned().unwrap_or_default();
            data.rows.entry(key).or_default().push((commit, value.clone()));
            if let Some(key) = comment.get("k") {
                data.keys.insert(key.clone(), (Instant::now(), value.clone(), commit));
            }
            self.note(&mut data, sql, &operands, &value);
            return Ok((value, commit));
        }
        let position = self.position();
        let after = comment.get("after").and_then(|after| after.parse::<u64>().ok()).unwrap_or(0);
        if after > position {
            return Err("72000");
        }
        let rows = data.rows.get(&key).map(Vec::as_slice).unwrap_or_default();
        let value = rows.iter().rev().find(|(commit, _)| *commit <= position || self.is_primary());
        let value = value.map_or("none".into(), |(_, value)| value.clone());
        self.note(&mut data, sql, &operands, &value);
        Ok((value, position))
    }

    fn note(&self, data: &mut GroupData, sql: &str, operands: &[String], value: &str) {
        self.group.record.line(format!("{} ran: {sql} {operands:?} -> {value}", self.name));
        data.runs.push(Run { member: self.name.clone(), sql: sql.into(), values: operands.to_vec() });
    }
}

fn is_write(sql: &str) -> bool {
    sql.trim_start().to_ascii_lowercase().starts_with("insert")
}

/// The quoted literals of a statement, and the names and values of its comment.
fn parts(sql: &str) -> (Vec<String>, HashMap<String, String>) {
    let (body, comment) = sql.split_once("/*").unwrap_or((sql, ""));
    let literals = body.split('\'').skip(1).step_by(2).map(String::from).collect();
    let comment = comment.split("*/").next().unwrap_or_default();
    let pairs = comment.split(',').filter_map(|pair| pair.split_once('='));
    (literals, pairs.map(|(name, value)| (name.trim().into(), value.trim().into())).collect())
}

/// Chooses this fault for about one unit in `count`, by a fixed sequence.
pub fn one_in(count: u64, fault: Fault) -> impl FnMut(&str) -> Option<Fault> + Send {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    move |_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        ((state >> 32) % count == 0).then_some(fault)
    }
}

struct Connection<'a> {
    member: &'a Member,
    stream: TcpStream,
    out: Vec<u8>,
    statements: HashMap<String, String>,
    portals: HashMap<String, (String, Vec<String>)>,
    /// Whether messages up to the next Sync are skipped.
    failed: bool,
    /// Whether a message of a unit has been read since the last Sync.
    within_unit: bool,
    fault: Option<Fault>,
    position: u64,
}

impl<'a> Connection<'a> {
    fn new(member: &'a Member, stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection {
            member,
            stream,
            out: Vec::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            failed: false,
            within_unit: false,
            fault: None,
            position: 0,
        }
    }

    fn serve(&mut self) -> Result<()> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length)?;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        self.stream.read_exact(&mut body)?;
        put(&mut self.out, b'R', &[0; 4]);
        put(&mut self.out, b'Z', b"I");
        self.flush()?;
        loop {
            let (tag, body) = wire::read_message(&mut self.stream)?;
            if self.member.hangs.load(Ordering::SeqCst) {
                continue;
            }
            match tag {
                b'X' => return Ok(()),
                b'Q' => self.simple_query(&body)?,
                b'H' => self.flush()?,
                b'S' => self.end_unit()?,
                _ => self.extended(tag, &body)?,
            }
        }
    }

    fn flush(&mut self) -> Result<()> {
        self.stream.write_all(&std::mem::take(&mut self.out))
    }

    fn ready(&mut self) -> Result<()> {
        let role = if self.member.is_primary() { "off" } else { "on" };
        put(&mut self.out, b'S', format!("recovery\0{role}\0").as_bytes());
        let position = if self.position > 0 { self.position } else { self.member.position() };
        put(&mut self.out, b'S', format!("lsn_ms\0{position}\0").as_bytes());
        if self.member.group.reports_in_answers {
            let report = format!("{},inflight=1,util=0.30", self.load_report());
            put(&mut self.out, b'S', format!("health\0{report}\0").as_bytes());
        }
        put(&mut self.out, b'Z', b"I");
        self.flush()
    }

    fn load_report(&self) -> String {
        let position = self.member.reported_position() as f64 / 1e3;
        format!("x0={position:.3},x1={}", u8::from(self.member.is_primary()))
    }

    fn error(&mut self, code: &str) {
        put(&mut self.out, b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
        self.failed = true;
    }

    fn row(&mut self, value: &str) {
        let length = (value.len() as u32).to_be_bytes();
        put(&mut self.out, b'D', &[&[0, 1][..], &length, value.as_bytes()].concat());
        put(&mut self.out, b'C', b"DONE\0");
    }

    fn describe_row(&mut self) {
        put(&mut self.out, b'T', b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    }

    /// Chooses the fault of a unit at its first message.
    fn begin_unit(&mut self, text: &str) {
        if !std::mem::replace(&mut self.within_unit, true) {
            self.fault = (self.member.chooser.lock().unwrap())(text);
            self.position = 0;
            if let Some(fault) = self.fault {
                let record = &self.member.group.record;
                record.line(format!("{}: {fault:?} for a unit that begins with {text}", self.member.name));
            }
            if self.fault == Some(Fault::TurnAway) {
                self.error("53300");
            }
        }
    }

    /// Runs a statement, and takes the time of its work: a read sees what the member has when it begins, a write
    /// commits at its end. A read that the member is behind for waits for the time of the settings, then is turned
    /// away.
    fn work_and_run(&self, sql: &str, values: &[String]) -> std::result::Result<(String, u64), &'static str> {
        let group = &self.member.group;
        if is_write(sql) {
            std::thread::sleep(group.work);
            return self.member.run(sql, values);
        }
        let waited = Instant::now();
        loop {
            match self.member.run(sql, values) {
                Err("72000") if waited.elapsed() < group.catch_up_wait => {
                    std::thread::sleep(Duration::from_millis(2))
                }
                result => {
                    std::thread::sleep(group.work);
                    return result;
                }
            }
        }
    }

    fn reset(&mut self) -> Result<()> {
        let _ = self.stream.shutdown(Shutdown::Both);
        Err(std::io::ErrorKind::ConnectionReset.into())
    }

    fn simple_query(&mut self, body: &[u8]) -> Result<()> {
        let (sql, _) = wire::c_string(body);
        if sql.is_empty() {
            put(&mut self.out, b'I', &[]);
            put(&mut self.out, b'Z', b"I");
            return self.flush();
        }
        if sql == "SHOW health" || sql == "SELECT 1" {
            let report = self.load_report();
            self.describe_row();
            self.row(&report);
            put(&mut self.out, b'Z', b"I");
            return self.flush();
        }
        self.begin_unit(&sql);
        if !self.failed {
            match self.work_and_run(&sql, &[]) {
                Ok((value, position)) => {
                    self.position = position;
                    self.describe_row();
                    self.row(&value);
                }
                Err(code) => self.error(code),
            }
        }
        self.end_unit()
    }

    fn end_unit(&mut self) -> Result<()> {
        if self.fault == Some(Fault::ResetAfterRun) {
            return self.reset();
        }
        self.failed = false;
        self.within_unit = false;
        self.fault = None;
        self.portals.clear();
        self.ready()
    }

    fn extended(&mut self, tag: u8, body: &[u8]) -> Result<()> {
        let (first, rest) = wire::c_string(body);
        let text = match tag {
            b'P' => wire::c_string(rest).0,
            b'B' => self.statements.get(&wire::c_string(rest).0).cloned().unwrap_or_default(),
            _ => String::new(),
        };
        self.begin_unit(&text);
        if self.failed {
            // A member that turns a unit away, or has failed one, says so at once.
            return self.flush();
        }
        match tag {
            b'P' => {
                self.statements.insert(first, text);
                put(&mut self.out, b'1', &[]);
            }
            b'B' => {
                let (statement, values) = wire::c_string(rest);
                match self.statements.get(&statement).cloned() {
                    Some(sql) => {
                        self.portals.insert(first, (sql, wire::bind_values(values)));
                        put(&mut self.out, b'2', &[]);
                    }
                    None => self.error("26000"),
                }
            }
            b'D' => {
                if body.first() == Some(&b'S') {
                    put(&mut self.out, b't', &[0, 0]);
                }
                put(&mut self.out, b'n', &[]);
            }
            b'E' => match self.portals.get(&first).cloned() {
                None => self.error("34000"),
                Some((sql, values)) => match self.work_and_run(&sql, &values) {
                    Ok((value, position)) => {
                        self.position = position;
                        self.row(&value);
                    }
                    Err(code) => self.error(code),
                },
            },
            b'C' => put(&mut self.out, b'3', &[]),
            _ => self.error("08P01"),
        }
        Ok(())
    }
}
