//! A played disk: files in memory, with what would survive the machine's end told apart from what would not.
//! Machines that keep files adapt it to their own seam with a few lines.
//!
//! It is as bad as POSIX allows: a name is kept only once names are synced, bytes only once their file is, a
//! sync that failed loses what it was asked to keep even if the next one says yes (Linux marks such pages
//! clean), and of what is not kept the end leaves nothing, half or all.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oorandom::Rand64;

use crate::{Fault, Kind, Points};

/// What the points of a disk are called.
#[derive(Clone, Copy, Debug)]
pub struct Names {
    /// Of [`Disk::write`], [`Disk::append`] and [`Disk::truncate`].
    pub write: &'static str,
    /// Of [`Disk::sync`].
    pub sync: &'static str,
    /// Of [`Disk::rename`] and [`Disk::remove`].
    pub rename: &'static str,
    /// Of [`Disk::read`].
    pub read: &'static str,
    /// Of [`Disk::sync_names`].
    pub sync_names: &'static str,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            write: "disk.write",
            sync: "disk.sync",
            rename: "disk.rename",
            read: "disk.read",
            sync_names: "disk.sync-names",
        }
    }
}

/// What is left after an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Everything: the process ended, and the machine went on.
    All,
    /// What was synced, and nothing else.
    Synced,
    /// All names, synced or not, and of each file half of what was written since it was synced: a torn end.
    Torn,
    /// What was synced; of names the changes up to one that is drawn, in their order; of each file's bytes as
    /// many as are drawn for it.
    Drawn(u64),
}

/// A file's bytes, whatever it is called.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct File {
    /// As a process reads them.
    now: Vec<u8>,
    /// As they were when the file was synced last, truly.
    kept: Vec<u8>,
    /// From here on they were written since a sync was asked for.
    dirty_from: Option<usize>,
    /// Were lost by a sync that failed: read as written, and gone after the end, until they are written
    /// again.
    lost: Vec<Range<usize>>,
}

impl File {
    fn wrote(&mut self, from: usize) {
        self.dirty_from = Some(self.dirty_from.map_or(from, |d| d.min(from)));
        let end = self.now.len();
        self.lost.retain_mut(|hole| {
            hole.end = hole.end.min(end).min(from.max(hole.start));
            hole.start < hole.end
        });
    }

    /// As the device has it once it has all that it is still asked to write.
    fn on_device(&self) -> Vec<u8> {
        let mut bytes = self.now.clone();
        for hole in &self.lost {
            if let Some(gone) = bytes.get_mut(hole.clone()) {
                gone.fill(0);
            }
        }
        bytes
    }

    fn sync(&mut self) {
        self.kept = self.on_device();
        self.dirty_from = None;
    }

    /// A sync that failed: what it was to keep is not asked for again.
    fn sync_failed(&mut self) {
        if let Some(from) = self.dirty_from.take()
            && from < self.now.len()
        {
            self.lost.push(from..self.now.len());
        }
    }

    /// The bytes with so much of what was written since the last sync, of `of`.
    fn torn(&self, part: usize, of: usize) -> Vec<u8> {
        let now = self.on_device();
        let same = now.iter().zip(&self.kept).take_while(|(a, b)| a == b).count();
        let more = (now.len() - same).saturating_mul(part) / of.max(1);
        if part == 0 { self.kept.clone() } else { now[..same + more].to_vec() }
    }

    fn ended(&mut self, bytes: Vec<u8>) {
        *self = Self { now: bytes.clone(), kept: bytes, dirty_from: None, lost: Vec::new() };
    }
}

/// So many changes of names since they were synced can each be the last one that is left; of more, the
/// newest. Without a bound who never syncs them would hold all.
const MOST_CHANGES: usize = 1_000;

type Directory = BTreeMap<String, usize>;

#[derive(Debug, Default)]
struct State {
    files: Vec<File>,
    names: Directory,
    /// Names after each change since they were synced, the synced ones first.
    history: Vec<Directory>,
    /// The process has ended: nothing is done until [`Disk::crash`].
    ended: bool,
    /// Bytes that there is room for, over all files.
    room: Option<usize>,
}

impl State {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let place = self.names.get(name).copied();
        place.and_then(|p| self.files.get_mut(p)).ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// The file of this name, made where there is none.
    fn open(&mut self, name: &str) -> usize {
        if let Some(place) = self.names.get(name) {
            return *place;
        }
        self.files.push(File::default());
        let place = self.files.len() - 1;
        self.rename(|names| {
            names.insert(name.to_string(), place);
        });
        place
    }

    fn rename(&mut self, change: impl FnOnce(&mut Directory)) {
        if self.history.is_empty() {
            self.history.push(self.names.clone());
        }
        change(&mut self.names);
        self.history.push(self.names.clone());
        if self.history.len() > MOST_CHANGES {
            self.history.remove(1);
        }
    }

    fn used(&self) -> usize {
        self.names.values().filter_map(|p| self.files.get(*p)).map(|f| f.now.len()).sum()
    }

    /// Drops files that have no name any more, now or after an end. Without it a long run of saves would hold
    /// all of them.
    fn sweep(&mut self) {
        let mut used = vec![false; self.files.len()];
        for place in self.history.iter().chain([&self.names]).flat_map(BTreeMap::values) {
            if let Some(used) = used.get_mut(*place) {
                *used = true;
            }
        }
        let moved: Vec<usize> = used
            .iter()
            .scan(0, |next, used| {
                *next += usize::from(*used);
                Some(next.saturating_sub(1))
            })
            .collect();
        let mut used = used.into_iter();
        self.files.retain(|_| used.next().unwrap_or(false));
        for names in self.history.iter_mut().chain([&mut self.names]) {
            names.values_mut().for_each(|place| *place = moved[*place]);
        }
    }
}

/// A directory of a played disk. Clones are the same directory: a test keeps one.
#[derive(Clone, Debug)]
pub struct Disk {
    state: Arc<Mutex<State>>,
    points: Points,
    names: Names,
}

impl Disk {
    /// Empty; each step passes one of these points.
    pub fn new(points: &Points) -> Self {
        Self::with_names(points, Names::default())
    }

    /// The same, and its points are called so.
    pub fn with_names(points: &Points, names: Names) -> Self {
        Self { state: Arc::default(), points: points.clone(), names }
    }

    /// The same disk, with points of another run or process.
    #[must_use]
    pub fn passing(&self, points: &Points) -> Self {
        Self { points: points.clone(), ..self.clone() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a point: the state, and what goes wrong beyond an error. A pause is not played here: to a disk
    /// it is time.
    fn step(
        &self,
        name: &'static str,
        kind: Kind,
    ) -> io::Result<(MutexGuard<'_, State>, Option<Fault>)> {
        let mut state = self.state();
        if state.ended {
            return Err(ended());
        }
        let fault = self.points.pass(name, kind);
        if fault == Some(Fault::Crash) {
            state.ended = true;
            return Err(ended());
        }
        Ok((state, fault))
    }

    /// Has a file hold this; what it held is gone. A short one holds half.
    ///
    /// # Errors
    /// There is no room, the device fails, or the process has ended.
    pub fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.put(name, Some(0), bytes)
    }

    /// Puts this at the end of a file. A short one has half of it there.
    ///
    /// # Errors
    /// There is no room, the device fails, or the process has ended.
    pub fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.put(name, None, bytes)
    }

    /// Cuts a file to this length, if it is longer. There is a file of that name from then on.
    ///
    /// # Errors
    /// The device fails, or the process has ended.
    pub fn truncate(&self, name: &str, length: usize) -> io::Result<()> {
        self.put(name, Some(length), &[])
    }

    /// Cuts a file to `from` bytes, if that is said, and puts these behind.
    fn put(&self, name: &str, from: Option<usize>, bytes: &[u8]) -> io::Result<()> {
        let (mut state, fault) = self.step(self.names.write, Kind::Write)?;
        let error = fault.and_then(Fault::error);
        if let (Some(Fault::NoSpace | Fault::Io), Some(error)) = (fault, error) {
            return Err(error);
        }
        let place = state.open(name);
        let (used, room) = (state.used(), state.room.unwrap_or(usize::MAX));
        let Some(file) = state.files.get_mut(place) else { return Err(ErrorKind::NotFound.into()) };
        let from = from.unwrap_or(file.now.len()).min(file.now.len());
        let freed = file.now.len() - from;
        file.now.truncate(from);
        let fits = room.saturating_sub(used - freed);
        let half = if fault == Some(Fault::Short) { bytes.len() / 2 } else { bytes.len() };
        file.now.extend_from_slice(&bytes[..half.min(fits)]);
        file.wrote(from);
        match fault.filter(|f| *f == Fault::Short).and_then(Fault::error) {
            Some(error) => Err(error),
            None if fits < bytes.len() => Err(no_room()),
            None => Ok(()),
        }
    }

    /// What a file holds, up to `most` bytes. A short one gives half.
    ///
    /// # Errors
    /// There is none, the device fails, or the process has ended.
    pub fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let (mut state, fault) = self.step(self.names.read, Kind::Read)?;
        let file = state.file(name)?;
        match fault {
            Some(Fault::Io) => Err(io::Error::from_raw_os_error(5)),
            Some(Fault::Short) => Ok(file.now[..file.now.len().min(most) / 2].to_vec()),
            _ => Ok(file.now[..file.now.len().min(most)].to_vec()),
        }
    }

    /// What a file holds survives the machine's end from here on; what it is called does not by that.
    ///
    /// # Errors
    /// There is none, there is no room, the device fails, or the process has ended. What was to be kept is
    /// lost then.
    pub fn sync(&self, name: &str) -> io::Result<()> {
        let (mut state, fault) = self.step(self.names.sync, Kind::Sync)?;
        let file = state.file(name)?;
        if let Some(error) = fault.and_then(Fault::error) {
            file.sync_failed();
            return Err(error);
        }
        if fault != Some(Fault::Lie) {
            file.sync();
        }
        Ok(())
    }

    /// Gives a file another name, in one step; one that had it is gone.
    ///
    /// # Errors
    /// There is none of that name, there is no room, the device fails, or the process has ended.
    pub fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.names_change(from, Some(to))
    }

    /// Takes a file's name away.
    ///
    /// # Errors
    /// There is none of that name, the device fails, or the process has ended.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        self.names_change(name, None)
    }

    fn names_change(&self, from: &str, to: Option<&str>) -> io::Result<()> {
        let (mut state, fault) = self.step(self.names.rename, Kind::Rename)?;
        if let Some(error) = fault.and_then(Fault::error) {
            return Err(error);
        }
        let place = state.names.get(from).copied();
        let place = place.ok_or(io::Error::from(ErrorKind::NotFound))?;
        state.rename(|names| {
            names.remove(from);
            if let Some(to) = to {
                names.insert(to.to_string(), place);
            }
        });
        Ok(())
    }

    /// What files are called survives the machine's end from here on.
    ///
    /// # Errors
    /// There is no room, the device fails, or the process has ended. Nothing is kept then, and nothing lost.
    pub fn sync_names(&self) -> io::Result<()> {
        let (mut state, fault) = self.step(self.names.sync_names, Kind::SyncNames)?;
        if let Some(error) = fault.and_then(Fault::error) {
            return Err(error);
        }
        if fault != Some(Fault::Lie) {
            state.history.clear();
            state.sweep();
        }
        Ok(())
    }

    /// How long a file is, in bytes; `None` where there is none. Passes no point, and works after an end.
    pub fn length(&self, name: &str) -> Option<usize> {
        self.state().file(name).ok().map(|file| file.now.len())
    }

    /// What files there are. Passes no point, and works after an end.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Whether a point has ended the process.
    pub fn has_ended(&self) -> bool {
        self.state().ended
    }

    /// From now on there is room for so many bytes over all files, or for any number. What is there stays.
    pub fn set_room(&self, bytes: Option<usize>) {
        self.state().room = bytes;
    }

    /// The process has ended, by a point or here; another one finds what is left. All of that is kept from
    /// then on.
    pub fn crash(&self, left: Left) {
        let mut state = self.state();
        state.ended = false;
        if left == Left::All {
            return;
        }
        let seed = if let Left::Drawn(seed) = left { seed } else { 0 };
        let mut chance = Rand64::new(u128::from(seed));
        let changes = state.history.len();
        let names = match left {
            Left::Synced => 0,
            Left::Drawn(_) if changes > 0 => chance.rand_range(0..changes as u64) as usize,
            _ => changes.saturating_sub(1),
        };
        if let Some(names) = state.history.get(names).cloned() {
            state.names = names;
        }
        state.history.clear();
        for file in &mut state.files {
            let bytes = match left {
                Left::Synced | Left::All => file.kept.clone(),
                Left::Torn => file.torn(1, 2),
                Left::Drawn(_) => file.torn(chance.rand_range(0..9) as usize, 8),
            };
            file.ended(bytes);
        }
        state.sweep();
    }
}

fn ended() -> io::Error {
    io::Error::other("the process has ended at a fault point")
}

fn no_room() -> io::Error {
    // ENOSPC.
    io::Error::from_raw_os_error(28)
}
