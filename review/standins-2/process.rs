//! The project's own programs, started as processes with the commands of the deploy file.

use super::client::{Answer, Client};
use super::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let deploy =
        std::fs::read_to_string("deploy/balancer.toml").expect("the case starts in the project's root");
    let line =
        deploy.lines().find(|line| line.starts_with("run = ")).expect("the deploy file has a run command");
    line.split('"').nth(1).unwrap().to_string()
}

/// A process; dropping it kills the process.
pub struct Process {
    pub child: Child,
    name: String,
    /// The file with the process's id, for `run.sh`, which ends what is left.
    id_file: PathBuf,
    terminated_at: Option<Instant>,
    record: Record,
}

impl Process {
    /// Starts `command` with `sh -c` from the project's root. Its log goes to a file in `folder`.
    fn start(
        name: &str,
        command: &str,
        folder: &Path,
        variables: &[(&str, String)],
        record: &Record,
    ) -> Process {
        let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log"))).unwrap();
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        shell.envs(variables.iter().map(|(name, value)| (name, value)));
        let child = shell.spawn().unwrap();
        record.line(format!("start {name} (process {}): {command}", child.id()));
        let id_file = folder.join(format!("{name}.pid"));
        let _ = std::fs::write(&id_file, child.id().to_string());
        Process { child, name: name.into(), id_file, terminated_at: None, record: record.clone() }
    }

    /// Starts a proxy: the `run` command with further options.
    pub fn proxy(name: &str, options: &str, folder: &Path, config: &str, record: &Record) -> Process {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap();
        let command = format!("{} {options}", run_command());
        let variables = [("GW_NAME", name.to_string()), ("GW_CONFIG", path.display().to_string())];
        Process::start(name, &command, folder, &variables, record)
    }

    /// Begins a planned restart: SIGTERM.
    pub fn terminate(&mut self) {
        self.record.line(format!("SIGTERM to {}", self.name));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", self.child.id())).status();
        self.terminated_at = Some(Instant::now());
    }

    /// Waits for the end; SIGKILL comes so long after SIGTERM.
    pub fn wait(&mut self, killed_after: Duration) {
        let start = self.terminated_at.unwrap_or_else(Instant::now);
        while start.elapsed() < killed_after && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = self.child.kill();
        let ended = self.child.wait();
        self.record.line(format!("{} ended after {} ms: {ended:?}", self.name, start.elapsed().as_millis()));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.id_file);
    }
}

/// Waits until the proxy answers an empty query, as the front does.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        if let Ok(mut client) = Client::connect(address)
            && client.query("") == Answer::Served(Vec::new())
        {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The temporary folder of this run.
pub fn temporary_folder() -> PathBuf {
    let base = std::env::var("CASE_TMP").expect("run.sh sets CASE_TMP");
    PathBuf::from(base)
}
