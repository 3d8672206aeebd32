//! The file operations of the log, as a trait, so that tests can make them fail.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// The operations that write to the data directory.
pub trait FileOperations: Send {
    /// Creates a directory and its parents, unless it exists.
    fn create_directory(&self, path: &Path) -> io::Result<()>;
    /// Opens a file to append to it; creates it if there is none.
    fn open_for_append(&self, path: &Path) -> io::Result<File>;
    /// Creates an empty file, in place of any that exists.
    fn create(&self, path: &Path) -> io::Result<File>;
    /// Writes all bytes. After an error, any number of them may have been written.
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&self, file: &File, length: u64) -> io::Result<()>;
    /// Syncs a file: returns once its contents are on the disk.
    fn sync(&self, file: &File) -> io::Result<()>;
    /// Renames a file, in place of any that has the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Syncs a directory: returns once the names of its files are on the disk.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;
}

/// The file operations of the operating system.
pub struct SystemFiles;

impl FileOperations for SystemFiles {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        if path.is_dir() {
            return Ok(());
        }
        std::fs::create_dir_all(path)?;
        let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        self.sync_directory(parent.unwrap_or(Path::new(".")))
    }

    fn open_for_append(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}
