//! Keeps what was said in a directory that the processes of one balancer share: one JSON file, changed under a lock and
//! put in place by a rename, and one locked file a process, by which the others see whether it lives.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

use crate::Said;

const STATE: &str = "said.json";
const STATE_NEW: &str = "said.json.new";
const STATE_ASIDE: &str = "said.json.aside";
const LOCK: &str = "lock";
/// What stands is no longer than this, in bytes; more was not written here.
const LONGEST: u64 = 4 << 20;

/// Why the store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file, and what happened to it.
    #[error("{0}: {1}; the directory must be this balancer's own, and writable")]
    File(PathBuf, #[source] io::Error),
    /// The file holds something else.
    #[error(
        "{path}, line {line}, column {column}: not what a balancer writes ({cause}); move it away"
    )]
    Malformed {
        /// The file.
        path: PathBuf,
        /// From 1 on.
        line: usize,
        /// From 1 on.
        column: usize,
        /// What was expected.
        cause: String,
    },
    /// Another process is changing it right now: try again.
    #[error("{0}: another process is changing what stands")]
    Busy(PathBuf),
}

impl StoreError {
    /// Whether a later try may do.
    pub fn is_busy(&self) -> bool {
        matches!(self, Self::Busy(_))
    }
}

/// One process of a balancer among the others of it. As long as this is held, they see it alive.
#[derive(Debug)]
pub struct Started {
    /// The number of its start, from 1 on.
    pub number: u64,
    _alive: File,
}

/// The directory, and what was last read from it.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    last: Vec<u8>,
}

impl Store {
    /// Uses this directory, and makes it if there is none.
    ///
    /// # Errors
    /// It can't be made.
    pub fn open(dir: impl Into<PathBuf>) -> Result<Self, StoreError> {
        let dir = dir.into();
        fs::create_dir_all(&dir).map_err(|e| StoreError::File(dir.clone(), e))?;
        Ok(Self { dir, last: Vec::new() })
    }

    /// What stands, if it is another than at the last look.
    ///
    /// # Errors
    /// The file can't be read, or holds something else.
    pub fn look(&mut self) -> Result<Option<Said>, StoreError> {
        let text = self.text()?;
        if text == self.last {
            return Ok(None);
        }
        let said = self.parse(&text)?;
        self.last = text;
        Ok(Some(said))
    }

    /// What stands, news or not.
    ///
    /// # Errors
    /// As [`Store::look`].
    pub fn read(&self) -> Result<Said, StoreError> {
        self.parse(&self.text()?)
    }

    /// Changes what stands, and tells what stands then. Never waits.
    ///
    /// # Errors
    /// [`StoreError::Busy`] while another process does the same; else it can't be read or written, and nothing has
    /// changed.
    pub fn change(&mut self, change: impl FnOnce(&mut Said)) -> Result<Said, StoreError> {
        let path = self.dir.join(LOCK);
        let file = open(&path).map_err(|e| StoreError::File(path.clone(), e))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Busy(path)),
            Err(TryLockError::Error(e)) => return Err(StoreError::File(path, e)),
        }
        let mut said = self.read()?;
        change(&mut said);
        let text = serde_json::to_vec(&said).map_err(|e| StoreError::File(path, e.into()))?;
        let new = self.dir.join(STATE_NEW);
        let written = File::create(&new).and_then(|mut f| f.write_all(&text));
        let placed = written.and_then(|()| fs::rename(&new, self.dir.join(STATE)));
        placed.map_err(|e| StoreError::File(new, e))?;
        self.last = text;
        Ok(said)
    }

    /// Whether there is nothing where what stands is kept: before a first start, and where the file was lost.
    pub fn is_blank(&self) -> bool {
        self.text().is_ok_and(|text| text.is_empty())
    }

    /// Puts aside what stands, so that nothing does: for what can't be read. What was put aside before is replaced.
    /// Where it lies now.
    ///
    /// # Errors
    /// It can't be moved.
    pub fn put_aside(&mut self) -> Result<PathBuf, StoreError> {
        let (path, aside) = (self.dir.join(STATE), self.dir.join(STATE_ASIDE));
        match fs::rename(&path, &aside) {
            // Another process of this balancer was quicker.
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            moved => moved.map_err(|e| StoreError::File(path, e))?,
        }
        self.last.clear();
        Ok(aside)
    }

    /// Joins the processes of this balancer; what stands then.
    ///
    /// # Errors
    /// As [`Store::change`].
    pub fn start(&mut self) -> Result<(Started, Said), StoreError> {
        let dir = self.dir.clone();
        let mut joined = None;
        let said = self.change(|said| {
            let number = said.start(|n| alive(&dir, n));
            let path = process(&dir, number);
            joined =
                Some(open(&path).and_then(|f| f.try_lock().map(|()| f).map_err(io::Error::from)));
            // Files of the dead are of no use to anybody.
            for n in number.saturating_sub(64)..number {
                if !said.processes.contains_key(&n) {
                    let _ = fs::remove_file(process(&dir, n));
                    let _ = fs::remove_file(left(&dir, n));
                }
            }
        })?;
        let number = said.starts;
        let file = joined.unwrap_or_else(|| Err(ErrorKind::Other.into()));
        let _alive = file.map_err(|e| StoreError::File(process(&self.dir, number), e))?;
        Ok((Started { number, _alive }, said))
    }

    /// Leaves this for the processes after the one of this start, in place of what it left before.
    ///
    /// # Errors
    /// It can't be written.
    pub fn leave(&self, number: u64, what: &[u8]) -> Result<(), StoreError> {
        let path = left(&self.dir, number);
        let new = path.with_extension("new");
        let written = fs::write(&new, what).and_then(|()| fs::rename(&new, &path));
        written.map_err(|e| StoreError::File(path, e))
    }

    /// What the process of this start has left, if anything.
    pub fn left(&self, number: u64) -> Option<Vec<u8>> {
        read(&left(&self.dir, number)).ok()
    }

    /// Whether the process of this start still lives. Not to be asked of oneself.
    pub fn alive(&self, number: u64) -> bool {
        alive(&self.dir, number)
    }

    fn text(&self) -> Result<Vec<u8>, StoreError> {
        let path = self.dir.join(STATE);
        match read(&path) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
            read => read.map_err(|e| StoreError::File(path.clone(), e)),
        }
    }

    fn parse(&self, text: &[u8]) -> Result<Said, StoreError> {
        if text.is_empty() {
            return Ok(Said::default());
        }
        serde_json::from_slice(text).map_err(|e| StoreError::Malformed {
            path: self.dir.join(STATE),
            line: e.line(),
            column: e.column(),
            cause: e.to_string(),
        })
    }
}

fn process(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("process-{number}"))
}

fn left(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("left-{number}"))
}

fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?.take(LONGEST).read_to_end(&mut text)?;
    Ok(text)
}

fn open(path: &Path) -> io::Result<File> {
    File::options().create(true).truncate(false).write(true).open(path)
}

/// The kernel gives a lock back with its process, however that ended.
fn alive(dir: &Path, number: u64) -> bool {
    File::open(process(dir, number))
        .is_ok_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)))
}
