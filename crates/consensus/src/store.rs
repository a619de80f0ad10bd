//! Where a member's records lie: one file that is appended to, and rewritten where it grows long. What they
//! mean is the machine's matter, and whether they are to be believed is settled by what the others know
//! (`waking`).
//!
//! The file begins with a head (whose it is, and of which bank); then come records, each as length, CRC-32
//! (IEEE 802.3), number and content. What is read of a file is cut off at its last whole record. That is
//! safe: a record that was not synced was never answered, since the machine holds back its words until
//! then. A sync that lied, a synced record that went bad at the end, and an old copy put back look alike:
//! the file says less than this member has said it has. The others were told that number with every word,
//! and tell it at a start; then the member is one that forgot. It stays hidden only if none of the majority
//! that answers has heard a word that was said after the record was synced. A damaged record with whole
//! ones behind it is no torn tail: such a file is not believed.

use std::io::{self, ErrorKind};

use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_peer_transport::NodeId;

use crate::log_file::Disk;
use crate::log_record::{DurableState, Record};

/// Version of the form.
pub const VERSION: u32 = 1;
/// The longest file, in bytes. One beyond is not believed: it would take the memory of every start.
pub const MAX_FILE_BYTES: u64 = 64 << 20;
/// A file is rewritten where it is longer than this, and a snapshot has come that makes it shorter.
pub const COMPACTION_THRESHOLD_BYTES: u64 = 1 << 20;

const NOW: &str = "council.log";
const NEXT: &str = "council.new";
const ASIDE: &str = "council.aside";
const MAGIC: &[u8; 8] = b"hpcouncl";
/// Magic, version, bank, member, sum.
const HEAD: usize = 8 + 4 + 8 + 2 + 4;
/// Length, sum, number.
const FRAME: usize = 4 + 4 + 8;
/// Bytes behind a damaged record in which whole ones are looked for.
const LOOKED_AT: usize = 1 << 20;

/// Why a file is not believed.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// It is another balancer's, or of another bank.
    #[error(
        "it is member {member}'s of bank {cluster:016x}, and this is member {node_id}'s of bank {own:016x}"
    )]
    Foreign {
        /// As the file says.
        member: u16,
        /// As the file says.
        cluster: u64,
        /// Who looks.
        node_id: u16,
        /// Which bank looks.
        own: u64,
    },
    /// Its head is none of this form.
    #[error("it does not begin as a council's log of version {VERSION}")]
    NoHead,
    /// A record is damaged, and whole ones come behind it.
    #[error(
        "the record at byte {at} is damaged, and whole ones come behind it: the disk changed what it held"
    )]
    Damaged {
        /// Where.
        at: usize,
    },
    /// Longer than any.
    #[error("it holds more than {MAX_FILE_BYTES} bytes")]
    TooLong,
}

/// A step on the disk failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file, what was being done with it, and what happened.
    #[error(
        "{file}: {doing}: {cause}; the directory must be this balancer's own, writable and with room"
    )]
    Failed {
        /// Which.
        file: String,
        /// In words.
        doing: &'static str,
        /// What happened.
        #[source]
        cause: io::Error,
    },
    /// A plan of faults ends the process here. Whoever drives the store carries that out.
    #[error("the process ends at {0}, by a plan of faults")]
    Ended(&'static str),
    /// Records come in the order of their numbers: a start would cut off all behind one that does not.
    #[error(
        "{file}: record {number} came after record {last}; carry out what the machine wants in its order"
    )]
    Order {
        /// Which.
        file: String,
        /// Of the record.
        number: u64,
        /// Of the one before.
        last: u64,
    },
    /// An earlier step failed, and nothing was rewritten since: what the file's end holds is not known.
    #[error("{file}: an earlier write failed; it has to be rewritten first")]
    Unsure {
        /// Which.
        file: String,
    },
}

/// What a start finds.
#[derive(Debug, Default)]
pub struct LoadedLog {
    /// What the file says; of one that is not believed: nothing.
    pub durable: DurableState,
    /// Why it is not believed, if so. It was set aside.
    pub doubt: Option<Corruption>,
    /// Bytes of a torn tail that were cut off.
    pub torn: usize,
}

/// One member's file. There may be one process at a time that writes.
pub struct Store {
    disk: Box<dyn Disk>,
    points: Points,
    cluster: u64,
    node_id: NodeId,
    length: u64,
    /// Number of the last record that was appended.
    last: u64,
    sound: bool,
    pause: bool,
}

impl Store {
    /// Opens the directory of a member. Where it can't be, the member starts with nothing, and `DiskFailed`.
    ///
    /// # Errors
    /// It can't be read or written.
    pub fn open(
        disk: impl Disk + 'static,
        points: Points,
        cluster: u64,
        node_id: NodeId,
    ) -> Result<(Self, LoadedLog), StoreError> {
        let disk = Box::new(disk);
        let mut store =
            Self { disk, points, cluster, node_id, length: 0, last: 0, sound: true, pause: false };
        let found = store.load()?;
        Ok((store, found))
    }

    /// A store whose directory could not be opened: [`Self::reset`] tries again.
    pub fn closed(
        disk: impl Disk + 'static,
        points: Points,
        cluster: u64,
        node_id: NodeId,
    ) -> Self {
        Self {
            disk: Box::new(disk),
            points,
            cluster,
            node_id,
            length: 0,
            last: 0,
            sound: false,
            pause: false,
        }
    }

    fn load(&mut self) -> Result<LoadedLog, StoreError> {
        let bytes = match self.read()? {
            None => {
                self.rewrite(&[])?;
                return Ok(LoadedLog::default());
            }
            Some(bytes) => bytes,
        };
        match self.parse(&bytes) {
            Ok((durable, whole)) => {
                let torn = bytes.len() - whole;
                if torn > 0 {
                    self.step("council.cut", Kind::Write, NOW, "its torn tail cut off", |s, _| {
                        s.disk.truncate(NOW, whole as u64)
                    })?;
                    self.sync_file(NOW)?;
                }
                self.length = whole as u64;
                self.last = durable.written;
                Ok(LoadedLog { durable, doubt: None, torn })
            }
            Err(doubt) => {
                self.step("council.aside", Kind::Rename, NOW, "set aside", |s, _| {
                    s.disk.rename(NOW, ASIDE)
                })?;
                self.rewrite(&[])?;
                Ok(LoadedLog { doubt: Some(doubt), ..LoadedLog::default() })
            }
        }
    }

    fn read(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        let mut bytes = None;
        self.step("council.read", Kind::Read, NOW, "read", |s, short| {
            bytes = match s.disk.read(NOW, MAX_FILE_BYTES + 1) {
                Err(e) if e.kind() == ErrorKind::NotFound => None,
                Err(e) => return Err(e),
                // Half of a file is no file: nothing may be cut off of it.
                Ok(_) if short => return Err(io::Error::from(ErrorKind::UnexpectedEof)),
                Ok(read) => Some(read),
            };
            Ok(())
        })?;
        Ok(bytes)
    }

    fn head(&self) -> Vec<u8> {
        let mut head = MAGIC.to_vec();
        head.extend(VERSION.to_le_bytes());
        head.extend(self.cluster.to_le_bytes());
        head.extend(self.node_id.0.to_le_bytes());
        head.extend(crc32fast::hash(&head).to_le_bytes());
        head
    }

    /// What whole records say, and how many bytes they take with the head.
    fn parse(&self, bytes: &[u8]) -> Result<(DurableState, usize), Corruption> {
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(Corruption::TooLong);
        }
        let head = bytes.get(..HEAD).ok_or(Corruption::NoHead)?;
        let sum = u32_at(head, HEAD - 4);
        if &head[..8] != MAGIC
            || u32_at(head, 8) != VERSION
            || crc32fast::hash(&head[..HEAD - 4]) != sum
        {
            return Err(Corruption::NoHead);
        }
        let (cluster, member) = (u64_at(head, 12), u16::from_le_bytes([head[20], head[21]]));
        if (cluster, member) != (self.cluster, self.node_id.0) {
            return Err(Corruption::Foreign {
                member,
                cluster,
                node_id: self.node_id.0,
                own: self.cluster,
            });
        }
        let mut durable = DurableState::default();
        let mut at = HEAD;
        while let Some((number, record, end)) = record_at(bytes, at, durable.written) {
            durable.apply(number, record);
            at = end;
        }
        // A tail that was torn has nothing behind it; what a disk changed has.
        let behind = at + 1..bytes.len().min(at + LOOKED_AT);
        if behind.into_iter().any(|at| record_at(bytes, at, durable.written).is_some()) {
            return Err(Corruption::Damaged { at });
        }
        Ok((durable, at))
    }

    /// Adds a record. It survives once [`Self::sync`] said so; one that stands for all before it does at
    /// once.
    ///
    /// # Errors
    /// It can't be written: the member is told `DiskFailed`.
    pub fn append(&mut self, number: u64, record: &Record) -> Result<(), StoreError> {
        if !self.sound {
            return Err(StoreError::Unsure { file: self.disk.place(NOW) });
        }
        let frame = frame(number, record);
        if number <= self.last {
            return Err(StoreError::Order { file: self.disk.place(NOW), number, last: self.last });
        }
        if matches!(record, Record::CompleteState { .. }) {
            self.last = number;
            return self.rewrite(&frame);
        }
        self.sound = false;
        self.step("council.append", Kind::Write, NOW, "a record appended", |s, short| {
            s.disk.append(NOW, if short { &frame[..frame.len() / 2] } else { &frame })
        })?;
        self.sound = true;
        self.length += frame.len() as u64;
        self.last = number;
        if matches!(record, Record::Snapshot(_)) && self.length > COMPACTION_THRESHOLD_BYTES {
            self.compact()?;
        }
        Ok(())
    }

    /// What was appended survives the machine's end from here on. The number of the last of it.
    ///
    /// # Errors
    /// It can't be had so. What a failed sync kept is not known, and another sync can't tell (fsyncgate,
    /// 2018): the file is not added to again before it was rewritten.
    pub fn sync(&mut self) -> Result<u64, StoreError> {
        if !self.sound {
            return Err(StoreError::Unsure { file: self.disk.place(NOW) });
        }
        self.sync_file(NOW)?;
        Ok(self.last)
    }

    /// After a failure: begins a file that holds nothing. Then the member is told `DiskWell`.
    ///
    /// # Errors
    /// The directory still takes nothing.
    pub fn reset(&mut self) -> Result<(), StoreError> {
        self.last = 0;
        self.rewrite(&[])
    }

    /// A step of a plan of faults said to stand still here: whoever drives the store does, before anything
    /// else.
    pub fn take_pause(&mut self) -> bool {
        std::mem::take(&mut self.pause)
    }

    /// All records as one.
    fn compact(&mut self) -> Result<(), StoreError> {
        let bytes = self.read()?.unwrap_or_default();
        let parsed = self.parse(&bytes).map(|(durable, _)| durable);
        let durable = parsed.map_err(|doubt| {
            self.sound = false;
            let cause = io::Error::new(ErrorKind::InvalidData, doubt.to_string());
            StoreError::Failed { file: self.disk.place(NOW), doing: "read back", cause }
        })?;
        match durable.whole() {
            Some(whole) => self.rewrite(&frame(durable.written, &whole)),
            None => Ok(()),
        }
    }

    /// Another file in place of this one: written, synced, renamed, and the names synced. Before the rename
    /// the old one stands, after it the new one.
    fn rewrite(&mut self, frames: &[u8]) -> Result<(), StoreError> {
        self.sound = false;
        let mut bytes = self.head();
        bytes.extend_from_slice(frames);
        self.step("council.rewrite", Kind::Write, NEXT, "written", |s, short| {
            s.disk.write(NEXT, if short { &bytes[..bytes.len() / 2] } else { &bytes })
        })?;
        self.sync_file(NEXT)?;
        self.step("council.rename", Kind::Rename, NEXT, "renamed", |s, _| {
            s.disk.rename(NEXT, NOW)
        })?;
        self.step("council.names", Kind::SyncNames, NOW, "its name synced", |s, _| {
            s.disk.sync_names()
        })?;
        self.length = bytes.len() as u64;
        self.sound = true;
        Ok(())
    }

    fn sync_file(&mut self, file: &'static str) -> Result<(), StoreError> {
        let sound = std::mem::replace(&mut self.sound, false);
        self.step("council.sync", Kind::Sync, file, "synced", |s, _| s.disk.sync(file))?;
        self.sound = sound;
        Ok(())
    }

    /// One step, with what a plan of faults has go wrong there. `does` is told whether only half of it is
    /// done.
    fn step(
        &mut self,
        name: &'static str,
        kind: Kind,
        file: &str,
        doing: &'static str,
        mut does: impl FnMut(&mut Self, bool) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        let fault = self.points.pass(name, kind);
        let done = match fault {
            None => does(self, false),
            Some(Fault::Pause) => {
                self.pause = true;
                does(self, false)
            }
            Some(Fault::Crash) => return Err(StoreError::Ended(name)),
            Some(Fault::Lie) => Ok(()),
            Some(Fault::Short) => does(self, true).and_then(|()| Err(no_space())),
            Some(fault) => Err(fault.error().unwrap_or_else(no_space)),
        };
        done.map_err(|cause| StoreError::Failed { file: self.disk.place(file), doing, cause })
    }
}

fn no_space() -> io::Error {
    Fault::NoSpace.error().unwrap_or_else(|| io::Error::from(ErrorKind::Other))
}

fn frame(number: u64, record: &Record) -> Vec<u8> {
    // Plain values can't fail to be written to a vector.
    let content = postcard::to_stdvec(record).unwrap_or_default();
    let mut framed = (content.len() as u32).to_le_bytes().to_vec();
    framed.extend([0; 4]);
    framed.extend(number.to_le_bytes());
    framed.extend(content);
    let sum = crc32fast::hash(&framed[8..]);
    framed[4..8].copy_from_slice(&sum.to_le_bytes());
    framed
}

/// The whole record at a place, if there is one with a number above `above`; where it ends.
fn record_at(bytes: &[u8], at: usize, above: u64) -> Option<(u64, Record, usize)> {
    let front = bytes.get(at..at + FRAME)?;
    let (length, sum, number) = (u32_at(front, 0) as usize, u32_at(front, 4), u64_at(front, 8));
    // Numbers count records; what is beyond any count is no record, and its sum not worth the time.
    if number <= above || number - above > 1 << 40 {
        return None;
    }
    let end = (at + FRAME).checked_add(length)?;
    let summed = bytes.get(at + 8..end)?;
    if crc32fast::hash(summed) != sum {
        return None;
    }
    let (record, rest) = postcard::take_from_bytes(&summed[8..]).ok()?;
    rest.is_empty().then_some((number, record, end))
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}
