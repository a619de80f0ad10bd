//! The records of one balancer and the keys inside their windows: what is remembered, and what is forgotten
//! first. Knows nothing of words or other balancers.
//!
//! Times are ticks of 10 ms in 32 bits: 497 days. They saturate, and a process as old as that gives no right
//! to send a keyed request.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_peer_transport::NodeId;

use crate::message::{KeyRecord, SessionRecord};
use crate::{Cell, Epoch, IdempotencyKey, SessionId};

/// Keys of one van inside their windows. One that sends more in 13 s is no van, and would make words too
/// long.
pub(crate) const MAX_SESSION_KEYS: usize = 16;
/// Records whose time has come that are looked at in one step: the rest waits for the next.
const SWEPT: usize = 32;

/// What a pod is called that nobody knows: no pod has this number, or one that has is never sent a keyed
/// repeat.
pub(crate) const UNKNOWN_CELL: Cell = Cell(u16::MAX);

/// ms to ticks, not later than it was.
pub(crate) fn tick(ms: u64) -> u32 {
    u32::try_from(ms / 10).unwrap_or(u32::MAX)
}

/// ms to ticks, not earlier.
pub(crate) fn tick_up(ms: u64) -> u32 {
    u32::try_from(ms.div_ceil(10)).unwrap_or(u32::MAX)
}

/// Ticks to ms.
pub(crate) fn ms(tick: u32) -> u64 {
    u64::from(tick) * 10
}

/// Who a record belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Ownership {
    /// Somebody else, or nobody: what is here is what was known.
    Tombstone,
    /// This balancer, once all that it asked have answered.
    Received,
    /// This balancer.
    Owned,
}

/// The order in which records are forgotten, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum EvictionClass {
    /// Of others: it only tells what they know.
    Tombstone,
    /// Own, and says what the hash would.
    MatchesHash,
    /// Own, and says something else.
    DiffersFromHash,
    /// Something of it is inside a window. Never forgotten before that ends.
    Busy,
}

/// One record: 32 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub epoch: Epoch,
    used: u32,
    /// Up to when it must be kept.
    free: u32,
    /// Any key of this van may have run in any pod, up to then.
    pub blind: u32,
    pub cell: Cell,
    pub state: Ownership,
    class: EvictionClass,
    /// It says what the hash said when it was last used.
    as_hash: bool,
}

impl Record {
    /// Whether something of it is inside a window.
    pub fn is_held(&self, now: u64) -> bool {
        self.free > tick(now)
    }

    fn place(&self, session: SessionId) -> (EvictionClass, u32, SessionId) {
        (self.class, if self.class == EvictionClass::Busy { self.free } else { self.used }, session)
    }
}

/// A key that may have run: 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyEntry {
    /// No right to send it was given before.
    pub first: u32,
    /// From then on it is as if it had never been.
    pub free: u32,
    /// The one asking that got the only right to send it; 0: there were several, or nobody knows.
    pub ask: u32,
    /// Whose asking that was.
    pub by: NodeId,
    /// Where.
    pub cell: Cell,
}

impl KeyEntry {
    /// The cautious side of two: both may be so.
    pub fn merge(&mut self, other: KeyEntry) {
        if self.cell != other.cell {
            self.cell = UNKNOWN_CELL;
        }
        self.first = self.first.min(other.first);
        self.free = self.free.max(other.free);
        if (self.by, self.ask) != (other.by, other.ask) {
            self.ask = 0;
        }
    }
}

/// There is no room for another: all that there are must be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

/// Records and keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecordStore {
    records: BTreeMap<SessionId, Record>,
    order: BTreeSet<(EvictionClass, u32, SessionId)>,
    keys: BTreeMap<(SessionId, IdempotencyKey), KeyEntry>,
    most: usize,
    most_keys: usize,
    /// The highest epoch of all that were forgotten.
    pub floor: Epoch,
    pub evicted: u64,
}

impl RecordStore {
    pub fn new(most: usize, most_keys: usize) -> Self {
        let (records, order, keys) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        Self { records, order, keys, most, most_keys, floor: Epoch::default(), evicted: 0 }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn keys_len(&self) -> usize {
        self.keys.len()
    }

    pub fn get(&self, session: SessionId) -> Option<&Record> {
        self.records.get(&session)
    }

    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Record)> + '_ {
        self.records.iter().map(|(session, r)| (*session, r))
    }

    pub fn note(&self, session: SessionId, key: IdempotencyKey) -> Option<&KeyEntry> {
        self.keys.get(&(session, key))
    }

    /// Those of one van.
    pub fn notes(
        &self,
        session: SessionId,
    ) -> impl Iterator<Item = (IdempotencyKey, &KeyEntry)> + '_ {
        self.keys
            .range((session, IdempotencyKey(0))..=(session, IdempotencyKey(u64::MAX)))
            .map(|((_, key), note)| (*key, note))
    }

    /// Changes a record, which is made if it isn't there, and puts it where it belongs in the order. `hash`:
    /// what the hash says now, if that was looked at.
    pub fn change(
        &mut self,
        now: u64,
        session: SessionId,
        hash: Option<Cell>,
        with: impl FnOnce(&mut Record),
    ) -> Result<(), Full> {
        let mut record = match self.records.get(&session) {
            Some(record) => *record,
            None => {
                self.make_room(now)?;
                let (epoch, cell, state) = (Epoch::default(), UNKNOWN_CELL, Ownership::Tombstone);
                Record {
                    epoch,
                    used: 0,
                    free: 0,
                    blind: 0,
                    cell,
                    state,
                    class: EvictionClass::Tombstone,
                    as_hash: false,
                }
            }
        };
        self.order.remove(&record.place(session));
        with(&mut record);
        record.used = tick(now);
        record.free = record.free.max(record.blind);
        if hash.is_some() {
            record.as_hash = hash == Some(record.cell);
        }
        self.put(now, session, record);
        Ok(())
    }

    /// Keeps a record at least until then, in ms.
    pub fn hold(&mut self, now: u64, session: SessionId, until: u64) {
        if self.records.contains_key(&session) {
            // It is there, so there is room for it.
            let _ = self.change(now, session, None, |r| r.free = r.free.max(tick_up(until)));
        }
    }

    fn put(&mut self, now: u64, session: SessionId, mut record: Record) {
        record.class = match record.state {
            _ if record.free > tick(now) => EvictionClass::Busy,
            Ownership::Tombstone => EvictionClass::Tombstone,
            _ if record.as_hash => EvictionClass::MatchesHash,
            _ => EvictionClass::DiffersFromHash,
        };
        self.order.insert(record.place(session));
        self.records.insert(session, record);
    }

    /// Notes that a key may have run. [`Full`]: it must not be sent.
    pub fn add_note(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        note: KeyEntry,
    ) -> Result<(), Full> {
        if let Some(old) = self.keys.get_mut(&(session, key)).filter(|n| n.free > tick(now)) {
            old.merge(note);
        } else {
            if self.keys.len() >= self.most_keys {
                self.sweep(now);
            }
            let of_one = self.notes(session).filter(|(_, n)| n.free > tick(now)).count();
            if self.keys.len() >= self.most_keys || of_one >= MAX_SESSION_KEYS {
                return Err(Full);
            }
            self.keys.insert((session, key), note);
        }
        self.hold(now, session, ms(note.free));
        Ok(())
    }

    /// The one who alone had the right to send it says that it did not run.
    pub fn unran(&mut self, session: SessionId, key: IdempotencyKey, by: NodeId, ask: u32) {
        if self.note(session, key).is_some_and(|n| ask != 0 && (n.by, n.ask) == (by, ask)) {
            self.keys.remove(&(session, key));
        }
    }

    /// A note that stays is changed.
    pub fn renew(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        free: u32,
        ask: u32,
    ) {
        if let Some(note) = self.keys.get_mut(&(session, key)) {
            note.free = note.free.max(free);
            note.ask = ask;
            self.hold(now, session, ms(free));
        }
    }

    /// Drops keys whose windows have ended; a few at a time.
    pub fn sweep(&mut self, now: u64) {
        for _ in 0..SWEPT {
            let from = (EvictionClass::Busy, 0, SessionId(0));
            let Some((_, free, session)) = self.order.range(from..).next().copied() else { return };
            if free > tick(now) {
                return;
            }
            let over: Vec<IdempotencyKey> = self
                .notes(session)
                .filter(|(_, n)| n.free <= tick(now))
                .map(|(key, _)| key)
                .collect();
            for key in over {
                self.keys.remove(&(session, key));
            }
            self.order.remove(&(EvictionClass::Busy, free, session));
            if let Some(record) = self.records.get(&session).copied() {
                self.put(now, session, record);
            }
        }
    }

    fn make_room(&mut self, now: u64) -> Result<(), Full> {
        if self.records.len() < self.most {
            return Ok(());
        }
        self.sweep(now);
        let Some((class, _, session)) = self.order.first().copied() else { return Err(Full) };
        if class == EvictionClass::Busy {
            return Err(Full);
        }
        self.order.pop_first();
        if let Some(record) = self.records.remove(&session) {
            self.floor = self.floor.max(record.epoch);
        }
        self.evicted += 1;
        Ok(())
    }

    /// All that is known of a van, for another balancer.
    pub fn session_record(&self, now: u64, session: SessionId) -> SessionRecord {
        let record = self.records.get(&session);
        let left = |until: u32| ms(until).saturating_sub(now);
        let message = |(key, note): (IdempotencyKey, &KeyEntry)| KeyRecord {
            key,
            cell: note.cell,
            first_permit_ago: now.saturating_sub(ms(note.first)),
            expires_in: left(note.free),
        };
        SessionRecord {
            session,
            epoch: record.map_or(Epoch::default(), |r| r.epoch),
            cell: record.map_or(UNKNOWN_CELL, |r| r.cell),
            uncertain_for: record.map_or(0, |r| left(r.blind)),
            keys: self.notes(session).filter(|(_, n)| left(n.free) > 0).map(message).collect(),
        }
    }

    /// Takes in what another said, which was asked at `base` (ms; 0 if nobody knows): its times are from then
    /// on. Keys that have no room make the van blind for as long.
    pub fn learn(
        &mut self,
        now: u64,
        base: u64,
        hash: Option<Cell>,
        session_record: &SessionRecord,
    ) -> Result<(), Full> {
        let session = session_record.session;
        let mut blind = now.saturating_add(session_record.uncertain_for);
        self.change(now, session, hash, |r| {
            if session_record.epoch > r.epoch
                || (r.cell == UNKNOWN_CELL && session_record.cell != UNKNOWN_CELL)
            {
                r.cell = session_record.cell;
            }
            r.epoch = r.epoch.max(session_record.epoch);
        })?;
        for message in session_record.keys.iter().filter(|k| k.expires_in > 0) {
            let free = now.saturating_add(message.expires_in);
            let first = tick(base.saturating_sub(message.first_permit_ago));
            let note =
                KeyEntry { first, free: tick_up(free), ask: 0, by: NodeId(0), cell: message.cell };
            if self.add_note(now, session, message.key, note).is_err() {
                blind = blind.max(free);
            }
        }
        if blind > now {
            self.change(now, session, hash, |r| r.blind = r.blind.max(tick_up(blind)))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note(free: u64) -> KeyEntry {
        KeyEntry { first: 0, free: tick_up(free), ask: 1, by: NodeId(1), cell: Cell(1) }
    }

    #[test]
    fn records_are_forgotten_in_the_stated_order_and_never_inside_a_window() {
        let mut store = RecordStore::new(5, 5);
        let put = |store: &mut RecordStore, now, session, state, cell, hash| {
            store.change(now, SessionId(session), Some(Cell(hash)), |r| {
                (r.state, r.cell) = (state, Cell(cell))
            })
        };
        // Used in this order: a key, one that says what the hash would, two tombs, one that says something
        // else.
        put(&mut store, 10, 1, Ownership::Owned, 1, 1).expect("room");
        store.add_note(10, SessionId(1), IdempotencyKey(1), note(1000)).expect("room");
        put(&mut store, 20, 2, Ownership::Owned, 1, 1).expect("room");
        put(&mut store, 30, 3, Ownership::Owned, 1, 2).expect("room");
        put(&mut store, 40, 4, Ownership::Tombstone, 1, 1).expect("room");
        put(&mut store, 50, 5, Ownership::Tombstone, 1, 1).expect("room");
        let mut gone = Vec::new();
        for session in 10..14 {
            let before: BTreeSet<SessionId> = store.records.keys().copied().collect();
            put(&mut store, 100, session, Ownership::Owned, 1, 2).expect("room");
            // What is put must stay for the next, too: it is kept by a window.
            store.hold(100, SessionId(session), 2000);
            gone.extend(before.into_iter().filter(|s| store.get(*s).is_none()));
        }
        assert_eq!(
            gone,
            [SessionId(4), SessionId(5), SessionId(2), SessionId(3)],
            "tombs, as the hash, others; oldest use first"
        );
        assert_eq!(
            put(&mut store, 500, 20, Ownership::Owned, 1, 1),
            Err(Full),
            "all are inside a window"
        );
        assert!(store.note(SessionId(1), IdempotencyKey(1)).is_some());
        put(&mut store, 1000, 20, Ownership::Owned, 1, 1)
            .expect("the window of the first has ended");
        assert_eq!((store.get(SessionId(1)), store.keys_len()), (None, 0));
    }

    #[test]
    fn keys_are_bounded_in_all_and_of_one_van() {
        let mut store = RecordStore::new(100, 20);
        for session in [1, 2] {
            store.change(0, SessionId(session), None, |_| ()).expect("room");
        }
        let fill = |store: &mut RecordStore, session, n| {
            (0..n)
                .map(|k| store.add_note(0, SessionId(session), IdempotencyKey(k), note(500)))
                .collect::<Vec<_>>()
        };
        let first = fill(&mut store, 1, MAX_SESSION_KEYS as u64 + 1);
        assert!(
            first[..MAX_SESSION_KEYS].iter().all(Result::is_ok) && first[MAX_SESSION_KEYS].is_err()
        );
        let second = fill(&mut store, 2, 5);
        assert!(second[..4].iter().all(Result::is_ok) && second[4].is_err());
        assert!(
            store.add_note(500, SessionId(2), IdempotencyKey(9), note(900)).is_ok(),
            "their windows have ended"
        );
    }
}
