//! File operations in a directory, behind a trait so that tests can simulate a disk that is full, lies or fails. The
//! store defines the content of the files.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// The file operations of a store in one directory. Names are plain file names. The process may end after each call.
pub trait Disk: Send {
    /// Reads at most `max_bytes` bytes of a file.
    ///
    /// # Errors
    ///
    /// The file does not exist, or cannot be read.
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>>;
    /// Replaces the content of a file.
    ///
    /// # Errors
    ///
    /// The content cannot be written; the file may contain a part of it.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends bytes to a file.
    ///
    /// # Errors
    ///
    /// The bytes cannot be written; the file may contain a part of them.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// The file cannot be shortened.
    fn truncate(&self, name: &str, length: u64) -> io::Result<()>;
    /// Syncs a file's content, so that it survives a crash of the machine.
    ///
    /// # Errors
    ///
    /// The content cannot be synced.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Renames a file atomically, and replaces any file with the new name.
    ///
    /// # Errors
    ///
    /// The file does not exist, or cannot be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the names of the files, so that they survive a crash of the machine.
    ///
    /// # Errors
    ///
    /// The names cannot be synced.
    fn sync_names(&self) -> io::Result<()>;
    /// Returns the path of a file, for error messages.
    fn path(&self, name: &str) -> String;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory cannot be created.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Disk for Directory {
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.0.join(name))?.take(max_bytes).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().append(true).open(self.0.join(name))?.write_all(bytes)
    }

    fn truncate(&self, name: &str, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.0.join(name))?.set_len(length)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}
