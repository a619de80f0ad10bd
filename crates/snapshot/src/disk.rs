//! The steps that the store takes on the files of one directory, as an interface, so that tests can simulate a disk that
//! is full, slow or gone.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// Files of one directory. Names are plain file names. A process may die after each call.
pub trait Disk: Send {
    /// Reads a file, at most its first `most` bytes.
    ///
    /// # Errors
    /// There is no such file, or it can't be read.
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>>;

    /// Replaces the content of a file, which is made where it is missing.
    ///
    /// # Errors
    /// The file can't be written, and may have a part of the content.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the content of a file: it then survives a crash of the machine.
    ///
    /// # Errors
    /// The content may be lost with the machine.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Renames a file in one atomic step, and replaces a file that has the new name.
    ///
    /// # Errors
    /// There is no such file, or it can't be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Syncs the directory: the names of its files then survive a crash of the machine.
    ///
    /// # Errors
    /// Renames may be lost with the machine.
    fn sync_names(&self) -> io::Result<()>;

    /// The path of a file, for messages.
    fn place(&self, name: &str) -> String;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// Opens the directory, and makes it where it is missing.
    ///
    /// # Errors
    /// The directory can't be made.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Disk for Directory {
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.0.join(name))?.take(most).read_to_end(&mut bytes)?;
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

    fn place(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}
