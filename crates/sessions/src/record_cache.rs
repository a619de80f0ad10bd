//! Cached records of other owners, which this balancer may use until they expire.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Epoch, SessionId};
use crate::record_store::MAX_EXPIRED_PER_STEP;
use crate::requests::Route;

/// The largest number of cached records.
const MAX_CACHED: usize = 8_192;

/// A cached record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CachedRecord {
    pub route: Route,
    /// The moment until which the record may be used.
    pub until: u64,
}

/// The cached records by session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RecordCache {
    records: BTreeMap<SessionId, CachedRecord>,
    by_expiry: BTreeSet<(u64, SessionId)>,
}

impl RecordCache {
    pub fn get(&self, session: SessionId) -> Option<&CachedRecord> {
        self.records.get(&session)
    }

    /// Caches a record. If the cache is full, removes the record that expires first.
    pub fn insert(&mut self, session: SessionId, record: CachedRecord) {
        self.remove(session);
        if self.records.len() >= MAX_CACHED
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.records.remove(&first);
        }
        self.by_expiry.insert((record.until, session));
        self.records.insert(session, record);
    }

    /// Removes the record of a session if its epoch is this one or an earlier one.
    pub fn revoke(&mut self, session: SessionId, epoch: Epoch) {
        if self.get(session).is_some_and(|record| record.route.epoch <= epoch) {
            self.remove(session);
        }
    }

    fn remove(&mut self, session: SessionId) {
        if let Some(old) = self.records.remove(&session) {
            self.by_expiry.remove(&(old.until, session));
        }
    }

    pub fn clear(&mut self) {
        self.records.clear();
        self.by_expiry.clear();
    }

    /// Drops at most [`MAX_EXPIRED_PER_STEP`] expired records.
    pub fn drop_expired(&mut self, now: u64) {
        for _ in 0..MAX_EXPIRED_PER_STEP {
            let first = self.by_expiry.first().copied();
            let Some((_, session)) = first.filter(|(until, _)| *until <= now) else { return };
            self.remove(session);
        }
    }
}
