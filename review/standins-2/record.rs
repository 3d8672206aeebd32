//! The record of a case: what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Writes lines to `record.txt`. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record { file: Arc::new(Mutex::new(File::create(path).unwrap())), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} {}", text.as_ref());
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
