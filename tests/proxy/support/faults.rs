//! Faults of the program's system calls: the script of the preloaded library `fault_injection`, whose crate
//! documents the format.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The library's file name.
const LIBRARY: &str = "libfault_injection.so";
/// The variable that names the script.
const SCRIPT_VARIABLE: &str = "FAULT_SCRIPT";
/// How long a test waits for a fault to be injected.
const INJECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// How often it looks.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The faults of one program; none at first.
pub struct Faults {
    directory: PathBuf,
}

impl Faults {
    /// No faults yet.
    pub fn none() -> Faults {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("liftrelay-faults-{}-{count}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        Faults { directory }
    }

    /// These faults from the start.
    pub fn scripted(script: &str) -> Faults {
        let faults = Faults::none();
        faults.set(script);
        faults
    }

    /// From the program's next call on its faults are these, in place of earlier ones. All counts, and the
    /// report, start again.
    pub fn set(&self, script: &str) {
        let _ = std::fs::remove_file(self.report());
        let new = self.directory.join("new");
        std::fs::write(&new, script).unwrap();
        std::fs::rename(new, self.script()).unwrap();
    }

    /// From the program's next call on nothing fails any more; the report stays.
    pub fn clear(&self) {
        std::fs::remove_file(self.script()).unwrap();
    }

    /// Preloads the library into a program with these faults.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env(SCRIPT_VARIABLE, self.script());
    }

    /// The same for the program `$0` that a shell command executes: not for the shell.
    pub fn preload_in_shell(&self, shell: &str) -> String {
        let program = "exec \"$0\"";
        assert!(shell.contains(program), "{shell}");
        let (library, script) = (library(), self.script());
        let variables =
            format!("LD_PRELOAD='{}' {SCRIPT_VARIABLE}='{}'", library.display(), script.display());
        shell.replace(program, &format!("exec env {variables} \"$0\""))
    }

    /// The injected faults, each as its call and effect, in order.
    pub fn injected(&self) -> Vec<String> {
        let report = std::fs::read_to_string(self.report()).unwrap_or_default();
        report.lines().map(str::to_string).collect()
    }

    /// Waits until so many faults have been injected.
    pub fn wait_for_injected(&self, count: usize) {
        let start = Instant::now();
        while self.injected().len() < count {
            assert!(start.elapsed() < INJECTION_TIMEOUT, "only {:?}", self.injected());
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

/// The library, which cargo builds as a dependency of the tests, beside them.
fn library() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_liftrelay")).with_file_name("deps").join(LIBRARY);
    assert!(path.is_file(), "{} is not built", path.display());
    path
}
