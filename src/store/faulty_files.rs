//! File operations that tests can make fail.

use super::file_operations::{FileOperations, SystemFiles};
use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The operating system's file operations, of which a range fails. A write that fails leaves the first half
/// of its bytes in the file. Clones share the count of operations and the failing range.
#[derive(Clone, Default)]
pub struct FaultyFiles(Arc<Mutex<Disk>>);

#[derive(Default)]
struct Disk {
    /// The number of operations, failed ones included.
    operations: usize,
    /// The operations that fail, counted from 0.
    failing: Range<usize>,
}

impl FaultyFiles {
    /// Creates a disk on which the operations in this range fail, counted from 0.
    pub fn with_failing(failing: Range<usize>) -> Self {
        FaultyFiles(Arc::new(Mutex::new(Disk { operations: 0, failing })))
    }

    /// Makes all further operations fail.
    pub fn fail(&self) {
        let mut disk = self.0.lock().unwrap();
        disk.failing = disk.operations..usize::MAX;
    }

    /// Makes only this operation fail, counted from 0.
    pub fn fail_only(&self, operation: usize) {
        self.0.lock().unwrap().failing = operation..operation + 1;
    }

    /// Makes all further operations succeed.
    pub fn repair(&self) {
        self.0.lock().unwrap().failing = 0..0;
    }

    /// Returns the number of operations, failed ones included.
    pub fn operations(&self) -> usize {
        self.0.lock().unwrap().operations
    }

    /// Counts an operation, and returns `error` if it is in the failing range.
    fn check(&self, error: Errno) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.operations += 1;
        if disk.failing.contains(&(disk.operations - 1)) { Err(error.into()) } else { Ok(()) }
    }
}

impl FileOperations for FaultyFiles {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        self.check(Errno::NOSPC)?;
        SystemFiles.create_directory(path)
    }

    fn open_for_append(&self, path: &Path) -> io::Result<File> {
        self.check(Errno::NOSPC)?;
        SystemFiles.open_for_append(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        self.check(Errno::NOSPC)?;
        SystemFiles.create(path)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.check(Errno::NOSPC) {
            SystemFiles.write(file, &bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        SystemFiles.write(file, bytes)
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        self.check(Errno::IO)?;
        SystemFiles.truncate(file, length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.check(Errno::IO)?;
        SystemFiles.sync(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check(Errno::NOSPC)?;
        SystemFiles.rename(from, to)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        self.check(Errno::IO)?;
        SystemFiles.sync_directory(path)
    }
}
