//! Decides which calls the current script affects.

use crate::raw::{self, FileVersion};
use crate::script::{self, Call, Effect, Rule};
use crate::subject::Subject;
use std::cell::Cell;
use std::ffi::{CString, OsStr};
use std::os::unix::ffi::OsStrExt;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

/// The environment variable with the path of the script.
const SCRIPT_VARIABLE: &str = "FAULT_SCRIPT";
/// The path of the report is that of the script with this suffix.
const REPORT_SUFFIX: &str = ".report";

/// A rule, with the number of calls that it has matched and affected since the script was read.
struct ActiveRule {
    rule: Rule,
    matched: u64,
    applied: u64,
}

impl ActiveRule {
    /// Whether the rule affects this call. Counts the call if it matches.
    fn applies(&mut self, call: Call, subject: &Subject<'_>, since_loaded: Duration) -> bool {
        if self.rule.call != call || !subject.matches(&self.rule.filter) {
            return false;
        }
        let schedule = self.rule.schedule;
        let number = self.matched;
        self.matched += 1;
        let is_turn = number >= schedule.skip && (number - schedule.skip).is_multiple_of(schedule.every);
        let applies = is_turn && self.applied < schedule.count && since_loaded < schedule.period;
        self.applied += u64::from(applies);
        applies
    }
}

/// The rules of the script, in the version that was read last.
struct Rules {
    version: Option<FileVersion>,
    loaded_at: Duration,
    rules: Vec<ActiveRule>,
}

struct Injector {
    script_path: CString,
    report_path: CString,
    rules: Mutex<Rules>,
}

impl Injector {
    /// The injector of this process; `None` if no variable names a script.
    fn get() -> Option<&'static Injector> {
        static INJECTOR: OnceLock<Option<Injector>> = OnceLock::new();
        INJECTOR.get_or_init(|| std::env::var_os(SCRIPT_VARIABLE).map(|path| Injector::new(&path))).as_ref()
    }

    fn new(path: &OsStr) -> Injector {
        let c_path = |bytes: Vec<u8>| CString::new(bytes).unwrap_or_default();
        let rules = Rules { version: None, loaded_at: Duration::ZERO, rules: Vec::new() };
        Injector {
            script_path: c_path(path.as_bytes().to_vec()),
            report_path: c_path([path.as_bytes(), REPORT_SUFFIX.as_bytes()].concat()),
            rules: Mutex::new(rules),
        }
    }

    fn decide(&self, call: Call, subject: &Subject<'_>) -> Option<Effect> {
        let mut rules = self.rules.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        rules.reload_if_changed(&self.script_path);
        if rules.rules.is_empty() {
            return None;
        }
        let since_loaded = raw::monotonic().saturating_sub(rules.loaded_at);
        let due = rules
            .rules
            .iter_mut()
            .find_map(|active| active.applies(call, subject, since_loaded).then_some(&active.rule))?;
        if !matches!(due.effect, Effect::ClockOffset { .. }) {
            raw::append_line(&self.report_path, &due.description);
        }
        Some(due.effect)
    }
}

impl Rules {
    fn reload_if_changed(&mut self, path: &CString) {
        let version = raw::file_version(path);
        if version == self.version {
            return;
        }
        self.version = version;
        self.loaded_at = raw::monotonic();
        match script::parse(&raw::read_file(path)) {
            Ok(rules) => {
                let active = |rule| ActiveRule { rule, matched: 0, applied: 0 };
                self.rules = rules.into_iter().map(active).collect();
            }
            Err(error) => raw::abort(&error.to_string()),
        }
    }
}

thread_local! {
    /// Whether this thread is executing [`decide`]. A signal handler that interrupts it makes its calls as
    /// usual: it would deadlock on the lock that its own thread holds.
    static DECIDING: Cell<bool> = const { Cell::new(false) };
}

/// Returns the effect that the current script has on a call; `None` if the call is to be made as usual. A
/// delay takes place in this function, which then returns `None`.
pub fn decide(call: Call, subject: &Subject<'_>) -> Option<Effect> {
    if DECIDING.replace(true) {
        return None;
    }
    // SAFETY: the pointer is valid, and refers to the error number of this thread.
    let errno = unsafe { *libc::__errno_location() };
    let effect = Injector::get().and_then(|injector| injector.decide(call, subject));
    // Restores the error number of the program, which the library's own system calls may have changed.
    // SAFETY: as above.
    unsafe { *libc::__errno_location() = errno };
    DECIDING.set(false);
    if let Some(Effect::Delay(duration)) = effect {
        raw::sleep(duration);
        return None;
    }
    effect
}
