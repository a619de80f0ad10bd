//! Keys that this balancer itself sends or replicates, besides the keys of the records that it owns.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Cell, IdempotencyKey, SessionId};
use crate::key_entry::KeyEntry;
use crate::record_store::MAX_EXPIRED_PER_STEP;
use crate::time::to_ticks;

/// The largest number of keys in each log, of 80 bytes each, which allows 1,200 keyed requests per second. If
/// [`ReplicatedKeys`] is full, keyed requests are rejected, since a key that is missing both here and at a lost owner
/// might be executed twice.
const MAX_KEYS: usize = 16_384;

/// Keys that this balancer has sent, or replicates for an owner, and reports if the owner is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReplicatedKeys {
    entries: BTreeMap<(SessionId, IdempotencyKey), KeyEntry>,
    by_expiry: BTreeSet<(u32, SessionId, IdempotencyKey)>,
}

impl ReplicatedKeys {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a key, or merges it with the stored entry of the key. Returns `false` if the log is full.
    pub fn add(&mut self, session: SessionId, key: IdempotencyKey, entry: KeyEntry) -> bool {
        if let Some(old) = self.entries.get_mut(&(session, key)) {
            self.by_expiry.remove(&(old.expires_at, session, key));
            old.merge(entry);
            self.by_expiry.insert((old.expires_at, session, key));
            return true;
        }
        if self.entries.len() >= MAX_KEYS {
            return false;
        }
        self.by_expiry.insert((entry.expires_at, session, key));
        self.entries.insert((session, key), entry);
        true
    }

    pub fn get(&self, session: SessionId, key: IdempotencyKey) -> Option<&KeyEntry> {
        self.entries.get(&(session, key))
    }

    pub fn remove(&mut self, session: SessionId, key: IdempotencyKey) {
        if let Some(entry) = self.entries.remove(&(session, key)) {
            self.by_expiry.remove(&(entry.expires_at, session, key));
        }
    }

    /// Returns the keys of one session.
    pub fn of_session(
        &self,
        session: SessionId,
    ) -> impl Iterator<Item = (IdempotencyKey, &KeyEntry)> {
        let range = (session, IdempotencyKey::MIN)..=(session, IdempotencyKey::MAX);
        self.entries.range(range).map(|((_, key), entry)| (*key, entry))
    }

    /// Returns all keys, in the order of their sessions.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, IdempotencyKey, KeyEntry)> {
        self.entries.iter().map(|((session, key), entry)| (*session, *key, *entry))
    }

    /// Drops at most [`MAX_EXPIRED_PER_STEP`] expired keys.
    pub fn drop_expired(&mut self, now: u64) {
        for _ in 0..MAX_EXPIRED_PER_STEP {
            let first = self.by_expiry.first().copied();
            let Some((_, session, key)) = first.filter(|(expiry, ..)| *expiry <= to_ticks(now))
            else {
                return;
            };
            self.remove(session, key);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentKey {
    session: SessionId,
    cell: Cell,
    expires_at: u32,
}

/// The cell to which this balancer has sent each key, under any session. Records are indexed by session, so a record
/// does not show that one of its keys was sent to another cell under another session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SentKeys {
    entries: BTreeMap<IdempotencyKey, SentKey>,
    by_expiry: BTreeSet<(u32, IdempotencyKey)>,
}

impl SentKeys {
    /// Records that a key is sent to a cell. Returns `false` if the key must not be sent, because it may have been
    /// executed in another cell under another session.
    pub fn record(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        cell: Cell,
        expires_at: u32,
    ) -> bool {
        if let Some(sent) = self.entries.get(&key) {
            if sent.session != session && sent.cell != cell && sent.expires_at > to_ticks(now) {
                return false;
            }
            self.by_expiry.remove(&(sent.expires_at, key));
        }
        // Dropping the key that expires first affects only keys that are sent under two sessions.
        if self.entries.len() >= MAX_KEYS
            && let Some((_, oldest)) = self.by_expiry.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.by_expiry.insert((expires_at, key));
        self.entries.insert(key, SentKey { session, cell, expires_at });
        true
    }

    /// Drops at most [`MAX_EXPIRED_PER_STEP`] expired keys.
    pub fn drop_expired(&mut self, now: u64) {
        for _ in 0..MAX_EXPIRED_PER_STEP {
            let first = self.by_expiry.first().copied();
            let Some(expired) = first.filter(|(expiry, _)| *expiry <= to_ticks(now)) else {
                return;
            };
            self.by_expiry.remove(&expired);
            self.entries.remove(&expired.1);
        }
    }
}
