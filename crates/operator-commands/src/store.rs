//! Shares the operators' state between the processes of one balancer, in a directory.
//!
//! The state is one JSON file, which is changed under a lock and replaced by a rename. Each process holds a lock on its own
//! file, which shows the other processes that it is alive.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

use crate::OperatorState;

const STATE_FILE: &str = "said.json";
const NEW_STATE_FILE: &str = "said.json.new";
const ASIDE_STATE_FILE: &str = "said.json.aside";
const LOCK_FILE: &str = "lock";
/// The longest file that is read, in bytes. Balancers write no longer files.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Number of starts before the present one whose files are removed once their processes are dead.
const REMOVED_STARTS: u64 = 64;

/// Error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation on this file failed.
    #[error("{0}: {1}; the directory must be this balancer's own, and writable")]
    File(PathBuf, #[source] io::Error),
    /// The content of the file is not the state of a balancer.
    #[error(
        "{path}, line {line}, column {column}: not the operator state of a balancer ({cause}); move the file away"
    )]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
        /// Error of the parser.
        cause: String,
    },
    /// Another process is changing the state; a later attempt may succeed.
    #[error("{0}: another process is changing the operator state")]
    Busy(PathBuf),
}

impl StoreError {
    /// Returns whether a later attempt may succeed.
    pub fn is_busy(&self) -> bool {
        matches!(self, Self::Busy(_))
    }
}

/// Registers a process among the processes of its balancer. The others see the process as alive until the registration is
/// dropped.
#[derive(Debug)]
pub struct ProcessRegistration {
    /// Number of the process's start, from 1.
    pub number: u64,
    _lock: File,
}

/// The directory, and the text of the state that was last read or written.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    last_read: Vec<u8>,
}

impl Store {
    /// Opens the directory, and creates it if it is missing.
    ///
    /// # Errors
    /// The directory can't be created.
    pub fn open(dir: impl Into<PathBuf>) -> Result<Self, StoreError> {
        let dir = dir.into();
        fs::create_dir_all(&dir).map_err(|e| StoreError::File(dir.clone(), e))?;
        Ok(Self { dir, last_read: Vec::new() })
    }

    /// Reads the state if it has changed since this function or [`Store::change`] last returned it.
    ///
    /// # Errors
    /// The file can't be read, or its content is not the state of a balancer.
    pub fn read_if_changed(&mut self) -> Result<Option<OperatorState>, StoreError> {
        let text = self.text()?;
        if text == self.last_read {
            return Ok(None);
        }
        let state = self.parse(&text)?;
        self.last_read = text;
        Ok(Some(state))
    }

    /// Reads the state, whether or not it has changed.
    ///
    /// # Errors
    /// The file can't be read, or its content is not the state of a balancer.
    pub fn read(&self) -> Result<OperatorState, StoreError> {
        self.parse(&self.text()?)
    }

    /// Changes the state, and returns the new state. Never waits for another process.
    ///
    /// # Errors
    /// [`StoreError::Busy`] while another process changes the state; other errors if the file can't be read or written. The
    /// state has not changed then.
    pub fn change(
        &mut self,
        change: impl FnOnce(&mut OperatorState),
    ) -> Result<OperatorState, StoreError> {
        let lock_path = self.dir.join(LOCK_FILE);
        let lock_file =
            open_or_create(&lock_path).map_err(|e| StoreError::File(lock_path.clone(), e))?;
        match lock_file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Busy(lock_path)),
            Err(TryLockError::Error(e)) => return Err(StoreError::File(lock_path, e)),
        }
        let mut state = self.read()?;
        change(&mut state);
        let text = serde_json::to_vec(&state).map_err(|e| StoreError::File(lock_path, e.into()))?;
        self.replace_file(&text)?;
        self.last_read = text;
        Ok(state)
    }

    fn replace_file(&self, text: &[u8]) -> Result<(), StoreError> {
        let new = self.dir.join(NEW_STATE_FILE);
        File::create(&new)
            .and_then(|mut file| file.write_all(text))
            .and_then(|()| fs::rename(&new, self.dir.join(STATE_FILE)))
            .map_err(|e| StoreError::File(new, e))
    }

    /// Returns whether there is no state: before the first start, or after the file was lost.
    pub fn is_empty(&self) -> bool {
        self.text().is_ok_and(|text| text.is_empty())
    }

    /// Moves a state file that can't be read, and returns its new path. A file that was set aside before is replaced.
    ///
    /// # Errors
    /// The file can't be moved.
    pub fn set_aside(&mut self) -> Result<PathBuf, StoreError> {
        let (path, aside) = (self.dir.join(STATE_FILE), self.dir.join(ASIDE_STATE_FILE));
        match fs::rename(&path, &aside) {
            // Another process of this balancer has moved the file.
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            moved => moved.map_err(|e| StoreError::File(path, e))?,
        }
        self.last_read.clear();
        Ok(aside)
    }

    /// Registers this process among the processes of its balancer, and returns the new state.
    ///
    /// # Errors
    /// The errors of [`Store::change`]; or the process's own file can't be created or locked.
    pub fn join(&mut self) -> Result<(ProcessRegistration, OperatorState), StoreError> {
        let dir = self.dir.clone();
        let mut locked = None;
        let state = self.change(|state| {
            let number = state.add_process(|n| is_alive(&dir, n));
            locked = Some(lock_process_file(&dir, number));
            remove_files_of_dead(&dir, state, number);
        })?;
        let number = state.starts;
        let file = locked.unwrap_or_else(|| Err(ErrorKind::Other.into()));
        let _lock = file.map_err(|e| StoreError::File(process_path(&self.dir, number), e))?;
        Ok((ProcessRegistration { number, _lock }, state))
    }

    /// Writes `content` for later processes, as the handoff of the process of this start. An earlier handoff of the process
    /// is replaced.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write_handoff(&self, number: u64, content: &[u8]) -> Result<(), StoreError> {
        let path = handoff_path(&self.dir, number);
        let new = path.with_extension("new");
        fs::write(&new, content)
            .and_then(|()| fs::rename(&new, &path))
            .map_err(|e| StoreError::File(path, e))
    }

    /// Returns the handoff of the process of this start, if there is one.
    pub fn read_handoff(&self, number: u64) -> Option<Vec<u8>> {
        read_bounded(&handoff_path(&self.dir, number)).ok()
    }

    /// Returns whether the process of this start is alive. The result is meaningless for the calling process itself.
    pub fn is_alive(&self, number: u64) -> bool {
        is_alive(&self.dir, number)
    }

    fn text(&self) -> Result<Vec<u8>, StoreError> {
        let path = self.dir.join(STATE_FILE);
        match read_bounded(&path) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
            read => read.map_err(|e| StoreError::File(path.clone(), e)),
        }
    }

    fn parse(&self, text: &[u8]) -> Result<OperatorState, StoreError> {
        if text.is_empty() {
            return Ok(OperatorState::default());
        }
        serde_json::from_slice(text).map_err(|e| StoreError::Malformed {
            path: self.dir.join(STATE_FILE),
            line: e.line(),
            column: e.column(),
            cause: e.to_string(),
        })
    }
}

fn process_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("process-{number}"))
}

fn handoff_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("left-{number}"))
}

fn read_bounded(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES).read_to_end(&mut text)?;
    Ok(text)
}

fn open_or_create(path: &Path) -> io::Result<File> {
    File::options().create(true).truncate(false).write(true).open(path)
}

fn lock_process_file(dir: &Path, number: u64) -> io::Result<File> {
    let file = open_or_create(&process_path(dir, number))?;
    file.try_lock()?;
    Ok(file)
}

fn remove_files_of_dead(dir: &Path, state: &OperatorState, number: u64) {
    for start in number.saturating_sub(REMOVED_STARTS)..number {
        if !state.processes.contains_key(&start) {
            // Most of these files have been removed already, and a remaining file does no harm.
            let _ = fs::remove_file(process_path(dir, start));
            let _ = fs::remove_file(handoff_path(dir, start));
        }
    }
}

/// Returns whether the process of this start is alive: the kernel releases the lock of a process when it ends, for whatever
/// reason.
fn is_alive(dir: &Path, number: u64) -> bool {
    File::open(process_path(dir, number))
        .is_ok_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)))
}
