//! Runs the program as a process with a configuration for tests.

use super::{
    Client, Faults, MockDiscovery, MockMember, SERVED, TEST_TIMEOUT, endpoint_entry, full_list, write_query,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The settings of each proxy; a test may edit them in its shell command.
const SETTINGS: &str = r#"{"request_classes":[
 {"name":"own","aim_us":400000,"deadline_us":1200000,"effect":"safe","credit":3},
 {"name":"any","aim_us":400000,"deadline_us":1000000,"effect":"safe","credit":3,"late_share":0.2},
 {"name":"write","aim_us":600000,"deadline_us":5000000,"effect":"unsafe","credit":6,"late_share":0.7}],
 "family_info":{"when_behind":"hold","freshness":["own_writes","loose","update"],"counted_from_us":0,
 "catch_up_wait_us":50000},"limits":{"max_attempts":8,"probes":true,"cancel":true},"resolution_us":5000,
 "stats":{"fields":["x0","x1"],"how":"pull"},
 "contract":{"cold_from":0.2,"cold_us":1000000,"fall_multiple":2.0,"fall_us":1000000}}"#;

/// The limits of the configuration; [`Proxy::start_with_limits`] replaces them.
const DEFAULT_LIMITS: &str = "\"sockets\":1024";

/// The configuration file of the extended listener.
const EXTENDED_LISTENER: &str = "listen = '127.0.0.1:0'\nread_class = 'own'\nwrite_class = 'write'\ngroup = 2\n\
    wait_ms = 3000\nsession_parameter = 1\nstatements = 3\n";

/// Returns the configuration of a proxy with this discovery.
pub fn configuration(discovery: &MockDiscovery) -> String {
    configuration_at(discovery.address)
}

/// Returns the configuration of a proxy with discovery at this address.
pub fn configuration_at(discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f","limits":{{"sockets":1024}},"settings":{SETTINGS}}}"#
    )
}

/// Returns a shell command that starts the program with an admin listener and without probes, so that only
/// attempts open connections to members. Opening a connection may take up to 10 s. `more` is a further sed
/// script that edits the configuration.
pub fn shell_without_probes(more: &str) -> String {
    let edit = "s/\"probes\":true/\"probes\":false,\"dial_timeout_us\":10000000/";
    format!(
        "sed -i '{edit};{more}' \"$GW_CONFIG\"; export GW_OPS=127.0.0.1:0; exec \"$0\" serve --postgres \"$1\""
    )
}

/// Polls the counters of the proxy until they contain this text.
pub fn wait_for_counter(proxy: &Proxy, text: &str) {
    let start = Instant::now();
    while !proxy.admin_request("GET", "counters").1.contains(text) {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the counters do not contain {text:?} within 10 s"
        );
    }
}

/// The addresses at which a process listens, as far as its log has named them.
#[derive(Default)]
struct Listeners {
    platform: Option<SocketAddr>,
    extended: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

impl Listeners {
    /// Stores the addresses that a log line names.
    fn read_log_line(&mut self, line: &str) {
        if let Some((_, rest)) = line.split_once(" ops=") {
            self.admin = Some(quoted_address(rest));
        }
        let Some((_, rest)) = line.split_once("listen=") else { return };
        let listener = if line.contains("extended") { &mut self.extended } else { &mut self.platform };
        *listener = Some(quoted_address(rest));
    }
}

fn quoted_address(text: &str) -> SocketAddr {
    text.split('"').nth(1).unwrap().parse().unwrap()
}

/// The running program with its mock discovery. Dropping this kills the process.
pub struct Proxy {
    pub child: Child,
    /// The address of the platform's listener.
    pub address: SocketAddr,
    pub extended_address: Option<SocketAddr>,
    pub admin_address: Option<SocketAddr>,
    pub discovery: MockDiscovery,
    directory: PathBuf,
}

impl Proxy {
    /// Starts the program with these members, the primary among them. Waits until the program is ready and
    /// has served a write, whose reply tells it the primary. Then clears the records of the members.
    pub fn start(members: &[&MockMember]) -> Proxy {
        let proxy = Proxy::start_with_shell(members, "exec \"$0\" serve --postgres \"$1\"", "");
        assert_eq!(proxy.connect().query(&write_query(0, 900)), SERVED);
        members.iter().for_each(|member| member.reset_record());
        proxy
    }

    /// Starts the program by this shell command, in which `$0` is the program, `$1` the configuration file of
    /// the extended listener, and `$2` a file with the text `file`. Waits until the program is ready.
    pub fn start_with_shell(members: &[&MockMember], shell: &str, file: &str) -> Proxy {
        Proxy::start_with_limits(members, shell, file, DEFAULT_LIMITS)
    }

    /// The same as [`Proxy::start_with_shell`] with an empty `file`, and with these faults of the program's
    /// system calls.
    pub fn start_with_faults(members: &[&MockMember], shell: &str, faults: &Faults) -> Proxy {
        Proxy::start_with_shell(members, &faults.preload_in_shell(shell), "")
    }

    /// The same as [`Proxy::start_with_shell`], with these limits in the configuration.
    pub fn start_with_limits(members: &[&MockMember], shell: &str, file: &str, limits: &str) -> Proxy {
        Proxy::start_with_stdin(Stdio::null(), members, shell, file, limits)
    }

    /// The same as [`Proxy::start_with_limits`], with this as standard input, descriptor 0.
    pub fn start_with_stdin(
        stdin: Stdio,
        members: &[&MockMember],
        shell: &str,
        file: &str,
        limits: &str,
    ) -> Proxy {
        let entry = |(uid, member): (usize, &&MockMember)| endpoint_entry(uid, member, "SERVING");
        let entries: Vec<_> = members.iter().enumerate().map(entry).collect();
        // Without members, the mock discovery behaves as if it were down.
        let list = if members.is_empty() { String::new() } else { full_list(1, &entries) };
        Proxy::start_with_discovery(stdin, MockDiscovery::start(list), shell, file, limits)
    }

    /// The same as [`Proxy::start_with_stdin`], with this discovery in place of one that lists the members.
    pub fn start_with_discovery(
        stdin: Stdio,
        discovery: MockDiscovery,
        shell: &str,
        file: &str,
        limits: &str,
    ) -> Proxy {
        let directory = create_directory();
        let configuration = configuration(&discovery).replace(DEFAULT_LIMITS, limits);
        std::fs::write(directory.join("config.json"), configuration).unwrap();
        std::fs::write(directory.join("postgres.toml"), EXTENDED_LISTENER).unwrap();
        std::fs::write(directory.join("more.toml"), file).unwrap();
        let mut child = spawn(stdin, shell, &directory);
        let listeners = read_listeners(child.stderr.take().unwrap(), shell.contains("--postgres"));
        let proxy = Proxy {
            child,
            address: listeners.platform.unwrap(),
            extended_address: listeners.extended,
            admin_address: listeners.admin,
            discovery,
            directory,
        };
        proxy.discovery.wait_for_watch();
        assert_eq!(proxy.connect().query(""), "I Z", "the proxy answers an empty query when it is ready");
        proxy
    }

    /// Connects to the platform's listener.
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Connects to the extended listener.
    pub fn connect_extended(&self) -> Client {
        Client::connect(self.extended_address.unwrap())
    }

    /// Sends these bytes to the admin listener, and returns its complete response.
    pub fn send_to_admin(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.admin_address.unwrap()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// Sends an admin request, and returns the status and the body of the response.
    pub fn admin_request(&self, method: &str, path: &str) -> (u16, String) {
        let request = format!("{method} /control/{path} HTTP/1.1\r\nHost: proxy\r\n\r\n");
        let response = self.send_to_admin(request.as_bytes());
        let (head, body) = response.split_once("\r\n\r\n").unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_string())
    }

    /// Returns the path of the file that is `$2` in the shell command.
    pub fn file(&self) -> PathBuf {
        self.directory.join("more.toml")
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let new = self.directory.join("new.json");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.directory.join("config.json")).unwrap();
        self.signal("-HUP");
    }

    /// Sends a signal, given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    /// Suspends the process with SIGSTOP, and waits until all its threads are stopped.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::fs::DirEntry| {
            let status = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            status.rsplit(')').next().is_some_and(|fields| fields.starts_with(" T"))
        };
        while !std::fs::read_dir(&tasks).unwrap().flatten().all(is_stopped) {
            std::thread::yield_now();
        }
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Creates a new directory for the files of one proxy.
fn create_directory() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let directory = std::env::temp_dir().join(format!("liftrelay-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

fn spawn(stdin: Stdio, shell: &str, directory: &Path) -> Child {
    Command::new("/bin/sh")
        .args(["-c", shell, env!("CARGO_BIN_EXE_liftrelay")])
        .arg(directory.join("postgres.toml"))
        .arg(directory.join("more.toml"))
        .env("GW_CONFIG", directory.join("config.json"))
        .env_remove("GW_LISTEN")
        .env_remove("GW_DISCOVERY")
        .stdin(stdin)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Reads the log until it has named the listeners. A thread reads and discards the rest: if nothing read it,
/// the pipe would fill up and the process would block.
fn read_listeners(stderr: ChildStderr, wants_extended: bool) -> Listeners {
    let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
    let mut listeners = Listeners::default();
    while listeners.platform.is_none() || (wants_extended && listeners.extended.is_none()) {
        let line = lines.next().expect("the program logs the addresses of its listeners");
        listeners.read_log_line(&line);
    }
    std::thread::spawn(move || lines.for_each(drop));
    listeners
}
