//! The records of one balancer and the keys inside their windows: what is remembered, and what is forgotten
//! first. Knows nothing of words or other balancers.
//!
//! Times are ticks of 10 ms in 32 bits: 497 days. They saturate, and a process as old as that gives no right
//! to send a keyed request.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_peer_transport::NodeId;

use crate::message::{Estate, KeyWord};
use crate::{Epoch, Key, Pod, Sid};

/// Keys of one van inside their windows. One that sends more in 13 s is no van, and would make words too
/// long.
pub(crate) const KEYS_OF_ONE: usize = 16;
/// Records whose time has come that are looked at in one step: the rest waits for the next.
const SWEPT: usize = 32;

/// What a pod is called that nobody knows: no pod has this number, or one that has is never sent a keyed
/// repeat.
pub(crate) const NO_POD: Pod = Pod(u16::MAX);

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
pub(crate) enum State {
    /// Somebody else, or nobody: what is here is what was known.
    Tomb,
    /// This balancer, once all that it asked have answered.
    Arrived,
    /// This balancer.
    Owned,
}

/// The order in which records are forgotten, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Class {
    /// Of others: it only tells what they know.
    Tomb,
    /// Own, and says what the hash would.
    AsHash,
    /// Own, and says something else.
    Own,
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
    pub pod: Pod,
    pub state: State,
    class: Class,
    /// It says what the hash said when it was last used.
    as_hash: bool,
}

impl Record {
    /// Whether something of it is inside a window.
    pub fn is_held(&self, now: u64) -> bool {
        self.free > tick(now)
    }

    fn place(&self, sid: Sid) -> (Class, u32, Sid) {
        (self.class, if self.class == Class::Busy { self.free } else { self.used }, sid)
    }
}

/// A key that may have run: 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Note {
    /// No right to send it was given before.
    pub first: u32,
    /// From then on it is as if it had never been.
    pub free: u32,
    /// The one asking that got the only right to send it; 0: there were several, or nobody knows.
    pub ask: u32,
    /// Whose asking that was.
    pub by: NodeId,
    /// Where.
    pub pod: Pod,
}

impl Note {
    /// The cautious side of two: both may be so.
    pub fn merge(&mut self, other: Note) {
        if self.pod != other.pod {
            self.pod = NO_POD;
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
pub(crate) struct Store {
    records: BTreeMap<Sid, Record>,
    order: BTreeSet<(Class, u32, Sid)>,
    keys: BTreeMap<(Sid, Key), Note>,
    most: usize,
    most_keys: usize,
    /// The highest epoch of all that were forgotten.
    pub floor: Epoch,
    pub forgotten: u64,
}

impl Store {
    pub fn new(most: usize, most_keys: usize) -> Self {
        let (records, order, keys) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        Self { records, order, keys, most, most_keys, floor: Epoch::default(), forgotten: 0 }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn keys_len(&self) -> usize {
        self.keys.len()
    }

    pub fn get(&self, sid: Sid) -> Option<&Record> {
        self.records.get(&sid)
    }

    pub fn sids(&self) -> impl Iterator<Item = (Sid, &Record)> + '_ {
        self.records.iter().map(|(sid, r)| (*sid, r))
    }

    pub fn note(&self, sid: Sid, key: Key) -> Option<&Note> {
        self.keys.get(&(sid, key))
    }

    /// Those of one van.
    pub fn notes(&self, sid: Sid) -> impl Iterator<Item = (Key, &Note)> + '_ {
        self.keys.range((sid, Key(0))..=(sid, Key(u64::MAX))).map(|((_, key), note)| (*key, note))
    }

    /// Changes a record, which is made if it isn't there, and puts it where it belongs in the order. `hash`:
    /// what the hash says now, if that was looked at.
    pub fn change(
        &mut self,
        now: u64,
        sid: Sid,
        hash: Option<Pod>,
        with: impl FnOnce(&mut Record),
    ) -> Result<(), Full> {
        let mut record = match self.records.get(&sid) {
            Some(record) => *record,
            None => {
                self.make_room(now)?;
                let (epoch, pod, state) = (Epoch::default(), NO_POD, State::Tomb);
                Record {
                    epoch,
                    used: 0,
                    free: 0,
                    blind: 0,
                    pod,
                    state,
                    class: Class::Tomb,
                    as_hash: false,
                }
            }
        };
        self.order.remove(&record.place(sid));
        with(&mut record);
        record.used = tick(now);
        record.free = record.free.max(record.blind);
        if hash.is_some() {
            record.as_hash = hash == Some(record.pod);
        }
        self.put(now, sid, record);
        Ok(())
    }

    /// Keeps a record at least until then, in ms.
    pub fn hold(&mut self, now: u64, sid: Sid, until: u64) {
        if self.records.contains_key(&sid) {
            // It is there, so there is room for it.
            let _ = self.change(now, sid, None, |r| r.free = r.free.max(tick_up(until)));
        }
    }

    fn put(&mut self, now: u64, sid: Sid, mut record: Record) {
        record.class = match record.state {
            _ if record.free > tick(now) => Class::Busy,
            State::Tomb => Class::Tomb,
            _ if record.as_hash => Class::AsHash,
            _ => Class::Own,
        };
        self.order.insert(record.place(sid));
        self.records.insert(sid, record);
    }

    /// Notes that a key may have run. [`Full`]: it must not be sent.
    pub fn add_note(&mut self, now: u64, sid: Sid, key: Key, note: Note) -> Result<(), Full> {
        if let Some(old) = self.keys.get_mut(&(sid, key)).filter(|n| n.free > tick(now)) {
            old.merge(note);
        } else {
            if self.keys.len() >= self.most_keys {
                self.sweep(now);
            }
            let of_one = self.notes(sid).filter(|(_, n)| n.free > tick(now)).count();
            if self.keys.len() >= self.most_keys || of_one >= KEYS_OF_ONE {
                return Err(Full);
            }
            self.keys.insert((sid, key), note);
        }
        self.hold(now, sid, ms(note.free));
        Ok(())
    }

    /// The one who alone had the right to send it says that it did not run.
    pub fn unran(&mut self, sid: Sid, key: Key, by: NodeId, ask: u32) {
        if self.note(sid, key).is_some_and(|n| ask != 0 && (n.by, n.ask) == (by, ask)) {
            self.keys.remove(&(sid, key));
        }
    }

    /// A note that stays is changed.
    pub fn renew(&mut self, now: u64, sid: Sid, key: Key, free: u32, ask: u32) {
        if let Some(note) = self.keys.get_mut(&(sid, key)) {
            note.free = note.free.max(free);
            note.ask = ask;
            self.hold(now, sid, ms(free));
        }
    }

    /// Drops keys whose windows have ended; a few at a time.
    pub fn sweep(&mut self, now: u64) {
        for _ in 0..SWEPT {
            let from = (Class::Busy, 0, Sid(0));
            let Some((_, free, sid)) = self.order.range(from..).next().copied() else { return };
            if free > tick(now) {
                return;
            }
            let over: Vec<Key> =
                self.notes(sid).filter(|(_, n)| n.free <= tick(now)).map(|(key, _)| key).collect();
            for key in over {
                self.keys.remove(&(sid, key));
            }
            self.order.remove(&(Class::Busy, free, sid));
            if let Some(record) = self.records.get(&sid).copied() {
                self.put(now, sid, record);
            }
        }
    }

    fn make_room(&mut self, now: u64) -> Result<(), Full> {
        if self.records.len() < self.most {
            return Ok(());
        }
        self.sweep(now);
        let Some((class, _, sid)) = self.order.first().copied() else { return Err(Full) };
        if class == Class::Busy {
            return Err(Full);
        }
        self.order.pop_first();
        if let Some(record) = self.records.remove(&sid) {
            self.floor = self.floor.max(record.epoch);
        }
        self.forgotten += 1;
        Ok(())
    }

    /// All that is known of a van, for another balancer.
    pub fn estate(&self, now: u64, sid: Sid) -> Estate {
        let record = self.records.get(&sid);
        let left = |until: u32| ms(until).saturating_sub(now);
        let message = |(key, note): (Key, &Note)| KeyWord {
            key,
            pod: note.pod,
            first_ago: now.saturating_sub(ms(note.first)),
            free_in: left(note.free),
        };
        Estate {
            sid,
            epoch: record.map_or(Epoch::default(), |r| r.epoch),
            pod: record.map_or(NO_POD, |r| r.pod),
            blind_in: record.map_or(0, |r| left(r.blind)),
            keys: self.notes(sid).filter(|(_, n)| left(n.free) > 0).map(message).collect(),
        }
    }

    /// Takes in what another said, which was asked at `base` (ms; 0 if nobody knows): its times are from then
    /// on. Keys that have no room make the van blind for as long.
    pub fn learn(
        &mut self,
        now: u64,
        base: u64,
        hash: Option<Pod>,
        estate: &Estate,
    ) -> Result<(), Full> {
        let sid = estate.sid;
        let mut blind = now.saturating_add(estate.blind_in);
        self.change(now, sid, hash, |r| {
            if estate.epoch > r.epoch || (r.pod == NO_POD && estate.pod != NO_POD) {
                r.pod = estate.pod;
            }
            r.epoch = r.epoch.max(estate.epoch);
        })?;
        for message in estate.keys.iter().filter(|k| k.free_in > 0) {
            let free = now.saturating_add(message.free_in);
            let first = tick(base.saturating_sub(message.first_ago));
            let note = Note { first, free: tick_up(free), ask: 0, by: NodeId(0), pod: message.pod };
            if self.add_note(now, sid, message.key, note).is_err() {
                blind = blind.max(free);
            }
        }
        if blind > now {
            self.change(now, sid, hash, |r| r.blind = r.blind.max(tick_up(blind)))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note(free: u64) -> Note {
        Note { first: 0, free: tick_up(free), ask: 1, by: NodeId(1), pod: Pod(1) }
    }

    #[test]
    fn records_are_forgotten_in_the_stated_order_and_never_inside_a_window() {
        let mut store = Store::new(5, 5);
        let put = |store: &mut Store, now, sid, state, pod, hash| {
            store.change(now, Sid(sid), Some(Pod(hash)), |r| (r.state, r.pod) = (state, Pod(pod)))
        };
        // Used in this order: a key, one that says what the hash would, two tombs, one that says something
        // else.
        put(&mut store, 10, 1, State::Owned, 1, 1).expect("room");
        store.add_note(10, Sid(1), Key(1), note(1000)).expect("room");
        put(&mut store, 20, 2, State::Owned, 1, 1).expect("room");
        put(&mut store, 30, 3, State::Owned, 1, 2).expect("room");
        put(&mut store, 40, 4, State::Tomb, 1, 1).expect("room");
        put(&mut store, 50, 5, State::Tomb, 1, 1).expect("room");
        let mut gone = Vec::new();
        for sid in 10..14 {
            let before: BTreeSet<Sid> = store.records.keys().copied().collect();
            put(&mut store, 100, sid, State::Owned, 1, 2).expect("room");
            // What is put must stay for the next, too: it is kept by a window.
            store.hold(100, Sid(sid), 2000);
            gone.extend(before.into_iter().filter(|s| store.get(*s).is_none()));
        }
        assert_eq!(
            gone,
            [Sid(4), Sid(5), Sid(2), Sid(3)],
            "tombs, as the hash, others; oldest use first"
        );
        assert_eq!(
            put(&mut store, 500, 20, State::Owned, 1, 1),
            Err(Full),
            "all are inside a window"
        );
        assert!(store.note(Sid(1), Key(1)).is_some());
        put(&mut store, 1000, 20, State::Owned, 1, 1).expect("the window of the first has ended");
        assert_eq!((store.get(Sid(1)), store.keys_len()), (None, 0));
    }

    #[test]
    fn keys_are_bounded_in_all_and_of_one_van() {
        let mut store = Store::new(100, 20);
        for sid in [1, 2] {
            store.change(0, Sid(sid), None, |_| ()).expect("room");
        }
        let fill = |store: &mut Store, sid, n| {
            (0..n).map(|k| store.add_note(0, Sid(sid), Key(k), note(500))).collect::<Vec<_>>()
        };
        let first = fill(&mut store, 1, KEYS_OF_ONE as u64 + 1);
        assert!(first[..KEYS_OF_ONE].iter().all(Result::is_ok) && first[KEYS_OF_ONE].is_err());
        let second = fill(&mut store, 2, 5);
        assert!(second[..4].iter().all(Result::is_ok) && second[4].is_err());
        assert!(store.add_note(500, Sid(2), Key(9), note(900)).is_ok(), "their windows have ended");
    }
}
