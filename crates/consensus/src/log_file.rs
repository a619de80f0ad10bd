//! Files of one directory, as the store of records uses them: a seam, so that a disk that is full, lies or
//! is gone can be played. What the files hold is the store's matter.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// A directory. Names are plain file names; every call is one step after which a process may end.
pub trait Disk: Send {
    /// What a file holds, up to so many bytes.
    ///
    /// # Errors
    /// There is none, or it can't be read.
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>>;
    /// Has a file hold this; what it held is gone.
    ///
    /// # Errors
    /// It can't be written; it may hold a part by then.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Adds bytes at a file's end.
    ///
    /// # Errors
    /// They can't be written; it may hold a part by then.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file off behind so many bytes.
    ///
    /// # Errors
    /// It can't be done.
    fn truncate(&self, name: &str, length: u64) -> io::Result<()>;
    /// What a file holds survives the machine's end from here on.
    ///
    /// # Errors
    /// It can't be had so.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in one step; one that had it is gone.
    ///
    /// # Errors
    /// There is none of that name, or it can't be done.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// What files are called survives the machine's end from here on.
    ///
    /// # Errors
    /// It can't be had so.
    fn sync_names(&self) -> io::Result<()>;
    /// How it is called in messages.
    fn place(&self, name: &str) -> String;
}

/// A directory of the machine's.
#[derive(Clone, Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// Uses this directory, and makes it where there is none.
    ///
    /// # Errors
    /// It can't be made.
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
    fn place(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}
