//! The file operations of the store, as an interface: tests simulate a disk that is full, slow or missing.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// The files of one directory, by their plain file names. The process may be killed after any call.
pub trait Disk: Send {
    /// Reads at most the first `max_bytes` bytes of a file.
    ///
    /// # Errors
    /// The file does not exist, or can't be read.
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>>;

    /// Replaces the content of a file, and creates the file if it is missing.
    ///
    /// # Errors
    /// The file can't be written, and may contain a part of the content.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the content of a file, which then survives a crash of the machine.
    ///
    /// # Errors
    /// The content may be lost if the machine crashes.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Renames a file atomically, and replaces a file that has the new name.
    ///
    /// # Errors
    /// The file does not exist, or can't be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Syncs the directory; the names of its files then survive a crash of the machine.
    ///
    /// # Errors
    /// Renames may be lost if the machine crashes.
    fn sync_names(&self) -> io::Result<()>;

    /// Returns the path of a file, for messages.
    fn display_path(&self, name: &str) -> String;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// Opens the directory, and creates it if it is missing.
    ///
    /// # Errors
    /// The directory can't be created.
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
        // The directory may have been removed since it was opened.
        fs::create_dir_all(&self.0)?;
        File::create(self.0.join(name))?.write_all(bytes)
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

    fn display_path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}
