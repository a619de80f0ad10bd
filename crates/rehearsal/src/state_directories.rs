//! State directories of the balancers, and faults that damage them. A directory survives a restart
//! of its process if the scenario persists state, and is emptied at each start otherwise.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::node::count;
use crate::scenario::{FaultKind, Scenario};

/// Interval between copies of a directory, where a fault puts an old copy back.
pub const COPY_EVERY: Duration = Duration::from_millis(500);
/// The random number stream of [`StateDirectories::apply_fault`].
const RNG_STREAM: u64 = 8;

/// Paths relative to a directory, and the contents of each file.
type Files = Vec<(PathBuf, Vec<u8>)>;

/// Faults of the disk that holds a balancer's directory, for launchers that inject them into their
/// own storage layer.
#[derive(Debug, Default)]
pub struct DiskFaults {
    full: Cell<u32>,
    /// Extra duration of each write. Overlapping faults add up.
    slow: Cell<Duration>,
}

impl DiskFaults {
    /// Returns whether writes fail for lack of space.
    pub fn is_full(&self) -> bool {
        self.full.get() > 0
    }

    /// Returns the extra duration of a write.
    pub fn delay(&self) -> Duration {
        self.slow.get()
    }

    fn apply_fault(&self, kind: &FaultKind, begins: bool) {
        match kind {
            FaultKind::StateFull => {
                let mut full = self.full.get();
                count(&mut full, begins);
                self.full.set(full);
            }
            FaultKind::StateSlow { by } => {
                let slow = self.slow.get();
                self.slow.set(if begins { slow + *by } else { slow.saturating_sub(*by) });
            }
            _ => {}
        }
    }
}

/// An in-memory file system on most Linux machines.
const MEMORY: &str = "/dev/shm";

/// Creates a temporary directory that is deleted when dropped, in memory where possible. All
/// stand-ins share one thread: on a disk that other programs sync, creating a single file took half
/// a second and emptying a directory three seconds.
///
/// # Errors
/// The directory can't be created.
pub fn temporary_directory(prefix: &str) -> io::Result<tempfile::TempDir> {
    let mut builder = tempfile::Builder::new();
    let builder = builder.prefix(prefix);
    builder.tempdir_in(MEMORY).or_else(|_| builder.tempdir())
}

/// The state directories of all balancers of a run.
pub struct StateDirectories {
    disks: Vec<Rc<DiskFaults>>,
    temporary_directory: tempfile::TempDir,
    persists: bool,
    /// Age up to which copies are retained; `None` if no fault needs copies.
    copy_retention: Option<Duration>,
    copies: RefCell<Vec<VecDeque<(Instant, Files)>>>,
    rng: RefCell<ChaCha8Rng>,
}

impl StateDirectories {
    /// Creates an empty directory for each balancer.
    ///
    /// # Errors
    /// The directories can't be created.
    pub fn new(scenario: &Scenario, seed: u64) -> io::Result<Self> {
        let age = |f: &crate::scenario::Fault| match f.kind {
            FaultKind::StateOld { age } => Some(age),
            _ => None,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(RNG_STREAM);
        Ok(Self {
            disks: (0..scenario.cluster.count).map(|_| Rc::default()).collect(),
            temporary_directory: temporary_directory("rehearsal-state-")?,
            persists: scenario.cluster.persists_state,
            copy_retention: scenario.faults.iter().filter_map(age).max(),
            copies: RefCell::new(vec![VecDeque::new(); scenario.cluster.count]),
            rng: RefCell::new(rng),
        })
    }

    /// Returns a balancer's directory.
    pub fn directory(&self, balancer: usize) -> PathBuf {
        self.temporary_directory.path().join(format!("n{balancer}"))
    }

    /// Prepares a balancer's directory for a start.
    ///
    /// # Errors
    /// The directory can't be created or emptied.
    pub fn prepare(&self, balancer: usize) -> io::Result<PathBuf> {
        let directory = self.directory(balancer);
        // An empty directory is left as it is, so that a start doesn't wait for a disk.
        let empty = fs::read_dir(&directory).is_ok_and(|mut all| all.next().is_none());
        if !self.persists && !empty && directory.exists() {
            fs::remove_dir_all(&directory)?;
        }
        fs::create_dir_all(&directory)?;
        Ok(directory)
    }

    /// Returns the faults of the disk that holds a balancer's directory.
    pub fn disk(&self, balancer: usize) -> Rc<DiskFaults> {
        self.disks[balancer].clone()
    }

    /// Starts or ends a fault of a balancer's disk.
    pub fn apply_disk_fault(&self, kind: &FaultKind, balancer: usize, begins: bool) {
        self.disks[balancer].apply_fault(kind, begins);
    }

    /// Returns whether directories have to be copied regularly.
    pub fn needs_copies(&self) -> bool {
        self.copy_retention.is_some()
    }

    /// Copies the current contents of each directory.
    ///
    /// # Errors
    /// A directory can't be read.
    pub fn copy(&self) -> io::Result<()> {
        let Some(copy_retention) = self.copy_retention else { return Ok(()) };
        let now = Instant::now();
        for (balancer, copies) in self.copies.borrow_mut().iter_mut().enumerate() {
            copies.push_back((now, files(&self.directory(balancer))?));
            while copies.get(1).is_some_and(|(at, _)| now.duration_since(*at) > copy_retention) {
                copies.pop_front();
            }
        }
        Ok(())
    }

    /// Applies a fault to a balancer's directory. Returns the number of files affected.
    ///
    /// # Errors
    /// A directory can't be read or written.
    pub fn apply_fault(&self, kind: &FaultKind, balancer: usize) -> io::Result<usize> {
        let directory = self.directory(balancer);
        let files_to_write = match kind {
            FaultKind::StateLost => {
                let lost = files(&directory)?.len();
                replace(&directory, &[])?;
                return Ok(lost);
            }
            FaultKind::StateTorn { flipped } => {
                let mut torn = files(&directory)?;
                torn.retain(|(_, bytes)| !bytes.is_empty());
                let rng = &mut *self.rng.borrow_mut();
                torn.iter_mut().for_each(|(_, bytes)| tear(bytes, *flipped, rng));
                for (path, bytes) in &torn {
                    fs::write(directory.join(path), bytes)?;
                }
                return Ok(torn.len());
            }
            FaultKind::StateOld { age } => {
                let (now, copies) = (Instant::now(), self.copies.borrow());
                let old = |(at, _): &&(Instant, Files)| now.duration_since(*at) >= *age;
                // Before the first copy the directory was empty.
                copies[balancer].iter().rev().find(old).map(|(_, f)| f.clone()).unwrap_or_default()
            }
            FaultKind::StateForeign => {
                let count = self.copies.borrow().len();
                files(&self.directory((balancer + 1) % count))?
            }
            _ => return Ok(0),
        };
        replace(&directory, &files_to_write)?;
        Ok(files_to_write.len())
    }
}

/// Returns all regular files under a directory, sorted by path.
fn files(directory: &Path) -> io::Result<Files> {
    let mut all = Vec::new();
    let mut open = vec![PathBuf::new()];
    while let Some(inner) = open.pop() {
        let entries = match fs::read_dir(directory.join(&inner)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            entries => entries?,
        };
        for entry in entries {
            let entry = entry?;
            let path = inner.join(entry.file_name());
            if entry.file_type()?.is_dir() {
                open.push(path);
                continue;
            }
            match fs::read(entry.path()) {
                Ok(bytes) => all.push((path, bytes)),
                // A running process has just replaced the file.
                Err(e) if e.kind() == io::ErrorKind::NotFound => {}
                Err(e) => return Err(e),
            }
        }
    }
    all.sort();
    Ok(all)
}

/// Replaces the contents of a directory by these files.
fn replace(directory: &Path, with: &[(PathBuf, Vec<u8>)]) -> io::Result<()> {
    fs::remove_dir_all(directory)?;
    fs::create_dir_all(directory)?;
    for (path, bytes) in with {
        let path = directory.join(path);
        path.parent().map_or(Ok(()), fs::create_dir_all)?;
        fs::write(path, bytes)?;
    }
    Ok(())
}

/// Truncates the contents, or flips a bit, at a random position.
fn tear(bytes: &mut Vec<u8>, flipped: bool, rng: &mut impl Rng) {
    let at = rng.random_range(0..bytes.len());
    if flipped {
        bytes[at] ^= 1 << rng.random_range(0..8u8);
    } else {
        bytes.truncate(at);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SCENARIO: &str = "name = \"s\"\nlength_s = 9\n[fleet]\nnodes = 1\n[[fleet.kinds]]\nname = \"k\"\n[[classes]]\n\
        name = \"c\"\nwork_ms = 1\naim_ms = 1\ndeadline_ms = 1\neffect = \"safe\"\n[balancers]\ncount = 3\n";

    fn scenario(more: &str) -> Scenario {
        Scenario::read("s.toml", &format!("{SCENARIO}{more}")).expect("sound")
    }

    fn stored_files() -> StateDirectories {
        let more = "keeps_state = true\n[[faults]]\nkind = \"state-old\"\nstart_s = 1\nage_s = 2\nshare = 1.0\n";
        let state = StateDirectories::new(&scenario(more), 3).expect("a place");
        for balancer in 0..3 {
            let inner = state.prepare(balancer).expect("made").join("inner");
            fs::create_dir(&inner).expect("made");
            fs::write(inner.join("said"), format!("words of n{balancer}")).expect("written");
        }
        state
    }

    fn stored_text(state: &StateDirectories, balancer: usize) -> Option<String> {
        fs::read_to_string(state.directory(balancer).join("inner/said")).ok()
    }

    #[test]
    fn unpersisted_state_is_deleted_at_the_next_start() {
        let state = StateDirectories::new(&scenario(""), 3).expect("a place");
        let directory = state.prepare(1).expect("made");
        fs::write(directory.join("x"), "x").expect("written");
        state.prepare(1).expect("emptied");
        assert!(!directory.join("x").exists());
        let state = stored_files();
        state.prepare(1).expect("left");
        assert_eq!(stored_text(&state, 1).as_deref(), Some("words of n1"));
    }

    #[tokio::test(start_paused = true)]
    async fn state_faults_affect_only_their_balancer() {
        let state = stored_files();
        assert!(state.needs_copies());
        state.copy().expect("copied");
        tokio::time::sleep(Duration::from_secs(2)).await;
        fs::write(state.directory(0).join("inner/said"), "news").expect("written");
        state.copy().expect("copied");
        let old = FaultKind::StateOld { age: Duration::from_secs(2) };
        assert_eq!(state.apply_fault(&old, 0).expect("done"), 1);
        assert_eq!(stored_text(&state, 0).as_deref(), Some("words of n0"));
        let older = FaultKind::StateOld { age: Duration::from_secs(9) };
        assert_eq!(state.apply_fault(&older, 0).expect("done"), 0);
        assert_eq!(stored_text(&state, 0), None, "nothing was stored at that time");
        assert_eq!(state.apply_fault(&FaultKind::StateForeign, 0).expect("done"), 1);
        assert_eq!(stored_text(&state, 0).as_deref(), Some("words of n1"));
        assert_eq!(
            state.apply_fault(&FaultKind::StateTorn { flipped: false }, 0).expect("done"),
            1
        );
        let torn = stored_text(&state, 0).expect("a text");
        assert!(torn.len() < 11 && "words of n1".starts_with(&torn), "{torn}");
        assert_eq!(state.apply_fault(&FaultKind::StateTorn { flipped: true }, 2).expect("done"), 1);
        let flipped = fs::read(state.directory(2).join("inner/said")).expect("there");
        let differ = flipped.iter().zip(b"words of n2").filter(|(a, b)| a != b).count();
        assert_eq!((flipped.len(), differ), (11, 1));
        assert_eq!(state.apply_fault(&FaultKind::StateLost, 2).expect("done"), 1);
        assert_eq!(
            (stored_text(&state, 2), stored_text(&state, 1).as_deref()),
            (None, Some("words of n1"))
        );
    }
}
