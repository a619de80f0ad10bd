//! The records of one balancer and the keys inside their windows, both bounded, and the order in which records are
//! evicted. The store is independent of messages and of other balancers. Moments are in ms, stored times in ticks (see
//! [`crate::time`]).

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId, UNKNOWN_CELL};
use crate::key_entry::KeyEntry;
use crate::session_record::{MAX_SESSION_KEYS, SessionRecord};
use crate::time::{ticks_to_ms, to_ticks, to_ticks_rounded_up};

/// The largest number of expired entries that one step drops. Later steps drop the others.
pub(crate) const MAX_EXPIRED_PER_STEP: usize = 32;

/// The state of a record's ownership at this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Ownership {
    /// Another balancer or none owns the record, which holds the knowledge of a previous owner.
    Tombstone,
    /// The record was transferred to this balancer, which owns it once the owners in all other zones have answered.
    Received,
    /// This balancer owns the record.
    Owned,
}

/// The order in which records are evicted, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum EvictionClass {
    /// Not owned by this balancer; a current owner knows as much.
    Tombstone,
    /// Owned, with the same cell as the hash chooses.
    MatchesHash,
    /// Owned, with another cell than the hash chooses.
    DiffersFromHash,
    /// Retained because a key or an uncertainty of the record is inside its window.
    InWindow,
}

/// The position of a record in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EvictionRank {
    class: EvictionClass,
    /// The end of the window for a record inside one, otherwise the time of the last use.
    ticks: u32,
    session: SessionId,
}

/// One record, which takes 32 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub epoch: Epoch,
    last_used: u32,
    retained_until: u32,
    /// The tick until which the session is uncertain: any key of the session may have been executed in any cell.
    pub uncertain_until: u32,
    pub cell: Cell,
    pub ownership: Ownership,
    class: EvictionClass,
    /// Whether the record's cell equalled the hash's choice when the two were last compared.
    matches_hash: bool,
}

impl Record {
    /// The tombstone of an unknown session.
    const EMPTY: Self = Self {
        epoch: Epoch(0),
        last_used: 0,
        retained_until: 0,
        uncertain_until: 0,
        cell: UNKNOWN_CELL,
        ownership: Ownership::Tombstone,
        class: EvictionClass::Tombstone,
        matches_hash: false,
    };

    /// Whether a key or an uncertainty of the record is inside its window.
    pub fn is_in_window(&self, now: u64) -> bool {
        self.retained_until > to_ticks(now)
    }

    fn rank(&self, session: SessionId) -> EvictionRank {
        let is_in_window = self.class == EvictionClass::InWindow;
        let ticks = if is_in_window { self.retained_until } else { self.last_used };
        EvictionRank { class: self.class, ticks, session }
    }
}

/// The error that the store has no capacity for another record or key, because every stored one has to be retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoreFull;

/// A bounded store of records and of the keys inside their windows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecordStore {
    records: BTreeMap<SessionId, Record>,
    eviction_order: BTreeSet<EvictionRank>,
    keys: BTreeMap<(SessionId, IdempotencyKey), KeyEntry>,
    max_records: usize,
    max_keys: usize,
    /// The highest epoch of all evicted records.
    pub evicted_epoch: Epoch,
    /// The number of records that were evicted.
    pub evicted: u64,
}

impl RecordStore {
    pub fn new(max_records: usize, max_keys: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            keys: BTreeMap::new(),
            max_records,
            max_keys,
            evicted_epoch: Epoch::default(),
            evicted: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    pub fn get(&self, session: SessionId) -> Option<&Record> {
        self.records.get(&session)
    }

    /// Returns the epoch of a session's record, or the lowest epoch if there is no record.
    pub fn epoch(&self, session: SessionId) -> Epoch {
        self.get(session).map_or(Epoch::default(), |record| record.epoch)
    }

    /// Whether this balancer owns the session's record.
    pub fn is_owned(&self, session: SessionId) -> bool {
        self.get(session).is_some_and(|record| record.ownership == Ownership::Owned)
    }

    /// Returns all records, in the order of their sessions.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Record)> + '_ {
        self.records.iter().map(|(session, record)| (*session, record))
    }

    pub fn key(&self, session: SessionId, key: IdempotencyKey) -> Option<&KeyEntry> {
        self.keys.get(&(session, key))
    }

    /// Returns the keys of one session.
    pub fn keys(&self, session: SessionId) -> impl Iterator<Item = (IdempotencyKey, &KeyEntry)> {
        let range = (session, IdempotencyKey::MIN)..=(session, IdempotencyKey::MAX);
        self.keys.range(range).map(|((_, key), entry)| (*key, entry))
    }

    /// Updates a record, or creates it if there is none. `hash_cell` is the cell that the hash chooses now; `None`
    /// leaves the comparison with the record's cell as it was.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFull`] if a new record is needed and none can be evicted for it.
    pub fn update(
        &mut self,
        now: u64,
        session: SessionId,
        hash_cell: Option<Cell>,
        update: impl FnOnce(&mut Record),
    ) -> Result<(), StoreFull> {
        let mut record = match self.records.get(&session) {
            Some(record) => *record,
            None => {
                self.evict_if_full(now)?;
                Record::EMPTY
            }
        };
        self.eviction_order.remove(&record.rank(session));
        update(&mut record);
        record.last_used = to_ticks(now);
        record.retained_until = record.retained_until.max(record.uncertain_until);
        if hash_cell.is_some() {
            record.matches_hash = hash_cell == Some(record.cell);
        }
        self.insert(now, session, record);
        Ok(())
    }

    /// Retains a record, if there is one, at least until this moment.
    pub fn retain_until(&mut self, now: u64, session: SessionId, until: u64) {
        if self.records.contains_key(&session) {
            let until = to_ticks_rounded_up(until);
            // The update cannot fail, because the record exists.
            let _ = self.update(now, session, None, |record| {
                record.retained_until = record.retained_until.max(until);
            });
        }
    }

    fn insert(&mut self, now: u64, session: SessionId, mut record: Record) {
        record.class = match record.ownership {
            _ if record.is_in_window(now) => EvictionClass::InWindow,
            Ownership::Tombstone => EvictionClass::Tombstone,
            _ if record.matches_hash => EvictionClass::MatchesHash,
            _ => EvictionClass::DiffersFromHash,
        };
        self.eviction_order.insert(record.rank(session));
        self.records.insert(session, record);
    }

    /// Adds a key that may be executed from now on, or merges it with the stored entry of the key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFull`] if the store or the session has too many keys. The key must not be sent then.
    pub fn add_key(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        entry: KeyEntry,
    ) -> Result<(), StoreFull> {
        let old = self.keys.get_mut(&(session, key)).filter(|old| !old.has_expired(now));
        if let Some(old) = old {
            old.merge(entry);
        } else {
            if self.keys.len() >= self.max_keys {
                self.drop_expired(now);
            }
            let of_session = self.keys(session).filter(|(_, entry)| !entry.has_expired(now));
            if self.keys.len() >= self.max_keys || of_session.count() >= MAX_SESSION_KEYS {
                return Err(StoreFull);
            }
            self.keys.insert((session, key), entry);
        }
        self.retain_until(now, session, ticks_to_ms(entry.expires_at));
        Ok(())
    }

    /// Removes a key that was not executed, if `requester` alone was permitted to send it.
    pub fn remove_not_run(
        &mut self,
        session: SessionId,
        key: IdempotencyKey,
        requester: NodeId,
        request: u32,
    ) {
        let is_sole_permit = |entry: &KeyEntry| {
            request != 0 && (entry.requester, entry.request) == (requester, request)
        };
        if self.key(session, key).is_some_and(is_sole_permit) {
            self.keys.remove(&(session, key));
        }
    }

    /// Extends the window of a key, and sets the only request that is permitted to send the key.
    pub fn extend_key(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        expires_at: u32,
        request: u32,
    ) {
        if let Some(entry) = self.keys.get_mut(&(session, key)) {
            entry.expires_at = entry.expires_at.max(expires_at);
            entry.request = request;
            self.retain_until(now, session, ticks_to_ms(expires_at));
        }
    }

    /// Drops the expired keys of at most [`MAX_EXPIRED_PER_STEP`] records.
    pub fn drop_expired(&mut self, now: u64) {
        let first =
            EvictionRank { class: EvictionClass::InWindow, ticks: 0, session: SessionId(0) };
        for _ in 0..MAX_EXPIRED_PER_STEP {
            let Some(rank) = self.eviction_order.range(first..).next().copied() else { return };
            if rank.ticks > to_ticks(now) {
                return;
            }
            self.drop_expired_keys(now, rank.session);
            self.eviction_order.remove(&rank);
            if let Some(record) = self.records.get(&rank.session).copied() {
                self.insert(now, rank.session, record);
            }
        }
    }

    fn drop_expired_keys(&mut self, now: u64, session: SessionId) {
        let expired = self.keys(session).filter(|(_, entry)| entry.has_expired(now));
        let expired: Vec<IdempotencyKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            self.keys.remove(&(session, key));
        }
    }

    fn evict_if_full(&mut self, now: u64) -> Result<(), StoreFull> {
        if self.records.len() < self.max_records {
            return Ok(());
        }
        self.drop_expired(now);
        let Some(first) = self.eviction_order.first().copied() else { return Err(StoreFull) };
        if first.class == EvictionClass::InWindow {
            return Err(StoreFull);
        }
        self.eviction_order.pop_first();
        if let Some(record) = self.records.remove(&first.session) {
            self.evicted_epoch = self.evicted_epoch.max(record.epoch);
        }
        self.evicted += 1;
        Ok(())
    }

    /// Exports the record and the keys of a session, for another balancer.
    pub fn export(&self, now: u64, session: SessionId) -> SessionRecord {
        let keys = self.keys(session).map(|(key, entry)| entry.to_record(key, now));
        let keys = keys.filter(|key| key.expires_in > 0).collect();
        let Some(record) = self.records.get(&session) else {
            return SessionRecord { keys, ..SessionRecord::empty(session) };
        };
        SessionRecord {
            session,
            epoch: record.epoch,
            cell: record.cell,
            uncertain_for: ticks_to_ms(record.uncertain_until).saturating_sub(now),
            keys,
        }
    }

    /// Imports the record that another balancer reported in answer to a request of `requested_at`. Ages in the record
    /// are subtracted from `requested_at`, where 0 stands for an unknown moment. If some of the keys cannot be stored,
    /// the session is uncertain until these keys expire.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFull`] if there is no capacity for the record.
    pub fn import(
        &mut self,
        now: u64,
        requested_at: u64,
        hash_cell: Option<Cell>,
        imported: &SessionRecord,
    ) -> Result<(), StoreFull> {
        let session = imported.session;
        let mut uncertain_until = now.saturating_add(imported.uncertain_for);
        self.update(now, session, hash_cell, |record| {
            let is_only_cell = record.cell == UNKNOWN_CELL && imported.cell != UNKNOWN_CELL;
            if imported.epoch > record.epoch || is_only_cell {
                record.cell = imported.cell;
            }
            record.epoch = record.epoch.max(imported.epoch);
        })?;
        for key in imported.keys.iter().filter(|key| key.expires_in > 0) {
            let expires_at = now.saturating_add(key.expires_in);
            let entry = KeyEntry {
                first_permit_at: to_ticks(requested_at.saturating_sub(key.first_permit_ago)),
                expires_at: to_ticks_rounded_up(expires_at),
                request: 0,
                requester: NodeId(0),
                cell: key.cell,
            };
            if self.add_key(now, session, key.key, entry).is_err() {
                uncertain_until = uncertain_until.max(expires_at);
            }
        }
        if uncertain_until > now {
            let ticks = to_ticks_rounded_up(uncertain_until);
            self.update(now, session, hash_cell, |record| {
                record.uncertain_until = record.uncertain_until.max(ticks);
            })?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
