//! What all cases share: addresses, the proxy's process, the record, and the PostgreSQL wire format.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A free port of the loopback address. The listener that found it is closed again.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .unwrap_or_else(|error| cannot_run(&format!("no free port: {error}")))
}

/// The processes that the case has started and not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the program with 2: the case could not run. Ends the processes that it started.
pub fn cannot_run(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(2)
}

/// The record of a run, with the time since its start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The arguments of a case: its folder (for the record), a temporary folder, and whether the disruption
/// takes place.
pub struct Arguments {
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub root: PathBuf,
    pub trouble: bool,
}

/// A process that the case started. Dropping it kills the process.
pub struct Process {
    pub child: Child,
    pub name: String,
    record: Record,
}

impl Process {
    /// Starts a proxy with the `run` command of the deploy file and these further arguments.
    pub fn start(arguments: &Arguments, record: &Record, name: &str, config: &Path, more: &str) -> Process {
        let command = format!("{} {more}", run_command(arguments));
        Process::start_command(arguments, record, name, config, command.trim())
    }

    /// Starts a replica of the store by itself, with the same program: `store --file FILE run`.
    pub fn start_replica(arguments: &Arguments, record: &Record, name: &str, file: &Path) -> Process {
        let command =
            run_command(arguments).replace(" serve", &format!(" store --file {} run", file.display()));
        Process::start_command(arguments, record, name, file, &command)
    }

    fn start_command(
        arguments: &Arguments,
        record: &Record,
        name: &str,
        config: &Path,
        command: &str,
    ) -> Process {
        record.line(&format!("start {name}: {command}"));
        let path = arguments.temporary.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(&arguments.root)
            .env("GW_CONFIG", config)
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .env_remove("GW_OPS")
            .env_remove("GW_LISTEN_FD")
            .env_remove("GW_NAME")
            .env("TMPDIR", &arguments.temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{name}: {error}")));
        RUNNING.lock().unwrap().push(child.id());
        Process { child, name: name.into(), record: record.clone() }
    }

    /// Sends a signal, as in `TERM`.
    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("SIG{signal} to {}", self.name));
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
    }

    /// The resident memory of the process in KiB; `None` if it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// How the process has ended; `None` while it runs.
    pub fn end(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// The `run` command of the deploy file.
pub fn run_command(arguments: &Arguments) -> String {
    let deploy = std::fs::read_to_string(arguments.root.join("deploy/balancer.toml"))
        .unwrap_or_else(|error| cannot_run(&format!("deploy file: {error}")));
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let run = run.and_then(|rest| rest.split('"').next());
    run.unwrap_or_else(|| cannot_run("the deploy file has no run")).to_string()
}

/// Waits until the proxy answers the empty query with EmptyQueryResponse, as the front does.
pub fn wait_until_ready(address: SocketAddr) {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(20) {
        let answer = || -> io::Result<bool> {
            let mut wire = Wire::connect(address, 500)?;
            wire.send(&query(""))?;
            Ok(wire.read_reply()?.iter().any(|(tag, _)| *tag == b'I'))
        };
        if answer().unwrap_or(false) {
            return;
        }
        sleep_ms(20);
    }
    cannot_run("the proxy did not become ready");
}

/// A message of the PostgreSQL protocol: type, length and body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend((body.len() as u32 + 4).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn parse(name: &str, sql: &str) -> Vec<u8> {
    message(b'P', &[name.as_bytes(), &[0], sql.as_bytes(), &[0, 0, 0]].concat())
}

/// A Bind of the unnamed portal with text parameters.
pub fn bind(statement: &str, parameters: &[&str]) -> Vec<u8> {
    bind_named("", statement, parameters)
}

pub fn bind_named(portal: &str, statement: &str, parameters: &[&str]) -> Vec<u8> {
    let mut body = [portal.as_bytes(), &[0], statement.as_bytes(), &[0, 0, 0]].concat();
    body.extend((parameters.len() as u16).to_be_bytes());
    for parameter in parameters {
        body.extend((parameter.len() as u32).to_be_bytes());
        body.extend(parameter.as_bytes());
    }
    body.extend([0, 0]);
    message(b'B', &body)
}

pub fn execute() -> Vec<u8> {
    message(b'E', &[0, 0, 0, 0, 0])
}

pub fn sync() -> Vec<u8> {
    message(b'S', &[])
}

/// A client's connection.
pub struct Wire {
    pub stream: TcpStream,
}

impl Wire {
    /// Connects and reads up to the first ReadyForQuery.
    pub fn connect(address: SocketAddr, timeout_ms: u64) -> io::Result<Wire> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        let mut wire = Wire { stream };
        wire.send(&startup())?;
        wire.read_reply()?;
        Ok(wire)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the messages up to and including ReadyForQuery.
    pub fn read_reply(&mut self) -> io::Result<Vec<(u8, Vec<u8>)>> {
        let mut messages = Vec::new();
        loop {
            let (tag, body) = read_message(&mut self.stream)?;
            messages.push((tag, body));
            if tag == b'Z' {
                return Ok(messages);
            }
        }
    }
}

pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// What a reply says to a client: the value of its row, or the SQLSTATE of its error.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Error(String),
}

pub fn answer_of(messages: &[(u8, Vec<u8>)]) -> Option<Answer> {
    for (tag, body) in messages {
        match tag {
            b'D' => return Some(Answer::Served(String::from_utf8_lossy(body.get(6..)?).into_owned())),
            b'E' => {
                let code = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'))?;
                return Some(Answer::Error(String::from_utf8_lossy(&code[1..]).into_owned()));
            }
            _ => {}
        }
    }
    None
}

/// A zero-terminated text and the bytes behind it.
pub fn c_string(body: &[u8]) -> (String, &[u8]) {
    let end = body.iter().position(|byte| *byte == 0).unwrap_or(body.len());
    (String::from_utf8_lossy(&body[..end]).into_owned(), body.get(end + 1..).unwrap_or_default())
}

/// The value of a field in a statement's comment.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.split("/*").nth(1)?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// A small generator of numbers with a fixed start, so that each run draws the same ones.
pub struct Draws(pub u64);

impl Draws {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }
}
