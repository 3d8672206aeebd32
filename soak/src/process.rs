//! A real proxy as a process: its configuration, its signals, its log.

use crate::history::{History, Micros, RunClock, SECOND};
use crate::wire::{Reply, query, read_reply, startup_message};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::{HashSet, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Log lines that are kept of each proxy.
const MAX_LOG_LINES: usize = 400;
/// A proxy has to be ready by then.
pub const READY_LIMIT: Micros = 10 * SECOND;
/// Between two looks whether a proxy is ready.
const READY_STEP: Duration = Duration::from_millis(20);

/// A proxy: the same name and address over all its processes.
pub struct Proxy {
    /// Its index.
    pub index: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    program: PathBuf,
    directory: PathBuf,
    child: Mutex<Option<Child>>,
    /// The front sends clients to it.
    pub is_in_rotation: AtomicBool,
    /// When the present process was started; a process that ended has none.
    pub started_at: AtomicU64,
    /// Starts so far: a connection belongs to one of them.
    pub generation: AtomicU64,
    /// It was told to end, or killed, and has to be gone.
    pub may_exit: AtomicBool,
    /// The present process was killed.
    was_killed: AtomicBool,
    /// The starts whose process was killed without a warning: what it had is excused.
    unwarned_kills: Mutex<HashSet<u64>>,
    log: Arc<Mutex<VecDeque<String>>>,
    history: Arc<History>,
    clock: RunClock,
}

impl Proxy {
    /// A proxy that is not started yet.
    pub fn new(
        index: usize,
        address: SocketAddr,
        program: &Path,
        directory: &Path,
        history: Arc<History>,
        clock: RunClock,
    ) -> std::io::Result<Proxy> {
        let directory = directory.join(format!("n{index}"));
        std::fs::create_dir_all(&directory)?;
        Ok(Proxy {
            index,
            address,
            program: program.into(),
            directory,
            child: Mutex::new(None),
            is_in_rotation: AtomicBool::new(false),
            started_at: AtomicU64::new(0),
            generation: AtomicU64::new(0),
            may_exit: AtomicBool::new(false),
            was_killed: AtomicBool::new(false),
            unwarned_kills: Mutex::default(),
            log: Arc::default(),
            history,
            clock,
        })
    }

    /// Replaces the configuration file, at once.
    pub fn write_configuration(&self, text: &str) -> std::io::Result<()> {
        let new = self.directory.join("new.json");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.directory.join("config.json"))
    }

    /// Starts a process, and opens the front once it is ready.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let mut child = Command::new(&self.program)
            .arg("serve")
            .env("GW_CONFIG", self.directory.join("config.json"))
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = child.stderr.take();
        self.may_exit.store(false, Ordering::SeqCst);
        self.was_killed.store(false, Ordering::SeqCst);
        self.started_at.store(self.clock.now(), Ordering::SeqCst);
        self.generation.fetch_add(1, Ordering::SeqCst);
        *self.child.lock().unwrap() = Some(child);
        self.history.note(self.clock.now(), format!("n{} started", self.index));
        if let Some(stderr) = stderr {
            let log = self.log.clone();
            std::thread::spawn(move || keep_lines(BufReader::new(stderr), &log));
        }
        let proxy = self.clone();
        std::thread::spawn(move || proxy.open_when_ready());
        Ok(())
    }

    fn open_when_ready(&self) {
        let (started_at, generation) =
            (self.started_at.load(Ordering::SeqCst), self.generation.load(Ordering::SeqCst));
        while !self.is_ready() {
            let is_current = self.generation.load(Ordering::SeqCst) == generation;
            if !is_current || self.may_exit.load(Ordering::SeqCst) {
                return;
            }
            if self.clock.now() > started_at + READY_LIMIT {
                return self.history.incident(self.clock.now(), self.index, "start: not ready within 10 s");
            }
            std::thread::sleep(READY_STEP);
        }
        let after = (self.clock.now() - started_at) / 1000;
        self.history.note(self.clock.now(), format!("n{} ready after {after} ms", self.index));
        self.is_in_rotation.store(true, Ordering::SeqCst);
    }

    fn is_ready(&self) -> bool {
        let answer = || {
            let mut stream = TcpStream::connect(self.address).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            stream.write_all(&[startup_message(), query("")].concat()).ok()?;
            // The greeting ends with a ReadyForQuery of its own.
            loop {
                match read_reply(&mut stream) {
                    Ok(Reply::Empty) => return Some(()),
                    Ok(_) => return None,
                    Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {}
                    Err(_) => return None,
                }
            }
        };
        answer().is_some()
    }

    /// The process id of the present process.
    pub fn process_id(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.history.note(self.clock.now(), format!("n{} {signal:?}", self.index));
        if let Some(pid) = self.process_id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Checks that the process runs unless it may have ended; returns whether it runs.
    pub fn check_running(&self) -> bool {
        let mut slot = self.child.lock().unwrap();
        let Some(child) = slot.as_mut() else { return false };
        let Ok(Some(status)) = child.try_wait() else { return true };
        *slot = None;
        drop(slot);
        self.is_in_rotation.store(false, Ordering::SeqCst);
        let expected = self.may_exit.load(Ordering::SeqCst) && (status.success() || self.was_killed());
        if !expected {
            self.history.incident(
                self.clock.now(),
                self.index,
                format!("crash: the process ended: {status}"),
            );
        }
        self.history.note(self.clock.now(), format!("n{} ended: {status}", self.index));
        false
    }

    fn was_killed(&self) -> bool {
        self.was_killed.load(Ordering::SeqCst)
    }

    /// Whether this start's process was killed without a warning.
    pub fn was_killed_unwarned(&self, generation: u64) -> bool {
        self.unwarned_kills.lock().unwrap().contains(&generation)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if !self.may_exit.swap(true, Ordering::SeqCst) {
            self.unwarned_kills.lock().unwrap().insert(self.generation.load(Ordering::SeqCst));
        }
        self.was_killed.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.wait();
        }
    }

    /// What the process holds: memory in KiB and descriptors.
    pub fn usage(&self) -> Option<(u64, usize)> {
        let id = self.process_id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory = line.split_whitespace().next()?.parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        Some((memory, descriptors))
    }

    /// The last lines of its log that contain this text.
    pub fn log_lines(&self, text: &str, most: usize) -> Vec<String> {
        let log = self.log.lock().unwrap();
        let found: Vec<String> = log.iter().filter(|line| line.contains(text)).cloned().collect();
        found[found.len().saturating_sub(most)..].to_vec()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn keep_lines(reader: impl BufRead, log: &Mutex<VecDeque<String>>) {
    for line in reader.lines().map_while(Result::ok) {
        let mut log = log.lock().unwrap();
        if log.len() >= MAX_LOG_LINES {
            log.pop_front();
        }
        log.push_back(line);
    }
}
