//! Injects faults into the program's system calls by the preloaded library `fault_injection`. The library's
//! crate documents the format of the fault script.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The file name of the library.
const LIBRARY: &str = "libfault_injection.so";
/// The environment variable that holds the path of the fault script.
const SCRIPT_VARIABLE: &str = "FAULT_SCRIPT";
/// How long a test waits for a fault to be injected.
const INJECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two reads of the report of injected faults.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The fault script of one program, and the library's report of the injected faults.
pub struct Faults {
    directory: PathBuf,
}

impl Faults {
    /// Creates an empty set of faults.
    pub fn none() -> Faults {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("liftrelay-faults-{}-{count}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        Faults { directory }
    }

    /// Creates a set of faults that is active when the program starts.
    pub fn scripted(script: &str) -> Faults {
        let faults = Faults::none();
        faults.set(script);
        faults
    }

    /// Replaces the faults, effective with the program's next system call. Resets all counts of the script,
    /// and the report.
    pub fn set(&self, script: &str) {
        let _ = std::fs::remove_file(self.report());
        let new = self.directory.join("new");
        std::fs::write(&new, script).unwrap();
        std::fs::rename(new, self.script()).unwrap();
    }

    /// Removes all faults, effective with the program's next system call. The report stays.
    pub fn clear(&self) {
        std::fs::remove_file(self.script()).unwrap();
    }

    /// Sets the environment of a command so that its program preloads the library with these faults.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env(SCRIPT_VARIABLE, self.script());
    }

    /// Returns the shell command with the library preloaded into the program `$0` that the command executes,
    /// but not into the shell.
    pub fn preload_in_shell(&self, shell: &str) -> String {
        let program = "exec \"$0\"";
        assert!(shell.contains(program), "{shell}");
        let (library, script) = (library(), self.script());
        let variables =
            format!("LD_PRELOAD='{}' {SCRIPT_VARIABLE}='{}'", library.display(), script.display());
        shell.replace(program, &format!("exec env {variables} \"$0\""))
    }

    /// Returns the faults injected since the last reset, in order, each as the call and its effect.
    pub fn injected(&self) -> Vec<String> {
        let report = std::fs::read_to_string(self.report()).unwrap_or_default();
        report.lines().map(str::to_string).collect()
    }

    /// Waits until this many faults have been injected.
    pub fn wait_for_injected(&self, count: usize) {
        let start = Instant::now();
        while self.injected().len() < count {
            assert!(
                start.elapsed() < INJECTION_TIMEOUT,
                "expected {count} injected faults, got {:?}",
                self.injected()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn script(&self) -> PathBuf {
        self.directory.join("script")
    }

    fn report(&self) -> PathBuf {
        self.directory.join("script.report")
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the path of the library. Cargo builds it as a dependency of the tests, in the `deps` directory
/// beside the program.
fn library() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_liftrelay")).with_file_name("deps").join(LIBRARY);
    assert!(path.is_file(), "{} is not built", path.display());
    path
}
