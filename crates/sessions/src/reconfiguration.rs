//! A change of the table: who was home is so no longer, and each new home asks all others of its site what
//! they know of its vans before it owns any that it has no record of.

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;

use crate::machine::{AGAIN, Out, Sessions, Timer};
use crate::message::{KeyRecord, MAX_CHUNK_BYTES, Message, SessionRecord};
use crate::ownership_table::OwnershipTable;
use crate::record_store::{Ownership, ms};
use crate::{Epoch, SessionId};

/// What one other is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FetchRecords {
    /// When that began: what is told is from then or later.
    stamp: u64,
    /// So many were told.
    next: u32,
}

impl Sessions {
    /// Another table is in force.
    pub(crate) fn turn(&mut self, now: u64, table: OwnershipTable, until: u64, out: &mut Out) {
        let node_id = self.config.node_id;
        let old = std::mem::replace(&mut self.table, table);
        self.slot =
            self.table.slot(node_id).filter(|s| s.incarnation == self.config.incarnation).copied();
        self.until = if self.slot.is_some() { until } else { 0 };
        // Nobody asked this balancer in between: others may own what it owned.
        let went_on = self.slot.is_some_and(|s| s.since <= old.version);
        if old.version > 0 {
            self.losses.change(now, self.age, &old, &self.table);
        } else if !self.config.first_start {
            self.losses.first(now, self.age, &self.table, node_id);
            self.fresh = Some(u64::MAX);
        }
        self.copies.clear();
        self.copies_end.clear();
        self.pending.values_mut().for_each(crate::routing_client::Pending::ask_anew);
        self.settle(now, went_on);
        self.sort_out(now, went_on, &old);
        self.pulls.clear();
        let zone = self.zone();
        let near: Vec<NodeId> = zone
            .map(|s| {
                self.table.of_site(s).iter().map(|s| s.node).filter(|m| *m != node_id).collect()
            })
            .unwrap_or_default();
        for from in near {
            self.pulls.insert(from, FetchRecords { stamp: now, next: 0 });
            self.pull_again(now, from, out);
        }
        self.waiting.clear();
        let asked: Vec<SessionId> = std::mem::take(&mut self.findings).into_keys().collect();
        for session in asked {
            if self.is_home(session)
                && self.store.get(session).is_none_or(|r| r.state != Ownership::Owned)
            {
                self.find(now, session, None);
            }
        }
        self.gathered(now, out);
    }

    /// Moves away that the change cuts through. What was not handed over stays; what may have been taken by
    /// one that is still there is settled with that one; of what may have been taken by one that is gone only
    /// a tomb is left.
    fn settle(&mut self, now: u64, went_on: bool) {
        let all: Vec<SessionId> = self.leaving.keys().copied().collect();
        for session in all {
            let Some(leaving) = self.leaving.get(&session) else { continue };
            if went_on && leaving.handed && self.table.has(&leaving.to) {
                continue;
            }
            let stays = went_on && !leaving.handed;
            let epoch = leaving.epoch;
            self.leaving.remove(&session);
            if !stays {
                // There is such a record: what leaves is held.
                let _ = self.store.change(now, session, None, |r| {
                    (r.state, r.epoch) = (Ownership::Tombstone, epoch);
                });
            }
        }
    }

    /// Whatever has another home now is a tomb here, and goes to that home as what is known.
    fn sort_out(&mut self, now: u64, went_on: bool, old: &OwnershipTable) {
        self.outbox.clear();
        let mut told: BTreeSet<(NodeId, SessionId)> = BTreeSet::new();
        let mut tombs = Vec::new();
        // Of a van whose home was here only a seat that is new can be the home now: 200,000 records and 150
        // seats would otherwise stop the bank's thread for a good part of a second.
        let new = self.zone().map_or(&[][..], |zone| self.table.of_site(zone));
        let here = |m: NodeId| old.slot(m).map(|s| s.zone) == self.zone();
        let new: Vec<NodeId> = new.iter().map(|s| s.node).filter(|m| !here(*m)).collect();
        let went_on = went_on && here(self.config.node_id);
        let stays = |session| {
            went_on && !new.iter().any(|m| OwnershipTable::before(session, *m, self.config.node_id))
        };
        for (session, record) in self.store.iter() {
            let owned = record.state != Ownership::Tombstone;
            let nothing = if owned { stays(session) } else { !record.is_held(now) };
            if nothing {
                continue;
            }
            let Some(home) = self.own_home(session) else {
                tombs.push(session);
                continue;
            };
            let own = home == self.config.node_id;
            if owned && !(own && went_on) && !self.leaving.contains_key(&session) {
                tombs.push(session);
            }
            if !own && (owned || record.is_held(now)) {
                told.insert((home, session));
            }
        }
        for session in tombs {
            let _ = self.store.change(now, session, None, |r| r.state = Ownership::Tombstone);
        }
        let mine: Vec<_> = self.mine.iter().map(|(at, note)| (*at, *note)).collect();
        for ((session, key), note) in mine {
            match self.own_home(session) {
                Some(home) if home != self.config.node_id => {
                    told.insert((home, session));
                }
                _ => {
                    let first_permit_ago = now.saturating_sub(ms(note.first));
                    let expires_in = ms(note.free).saturating_sub(now);
                    let message = KeyRecord { key, cell: note.cell, first_permit_ago, expires_in };
                    let session_record =
                        SessionRecord { keys: vec![message], ..SessionRecord::nothing(session) };
                    if !self.learn(now, now, &session_record) {
                        self.losses.all_until = self.losses.all_until.max(ms(note.free));
                    }
                }
            }
        }
        for (home, session) in told {
            self.outbox.entry(home).or_default().push(session);
        }
    }

    pub(crate) fn pull_again(&mut self, now: u64, from: NodeId, out: &mut Out) {
        let Some(pull) = self.pulls.get(&from) else { return };
        let (stamp, at) = (pull.stamp, pull.next);
        self.send(from, Message::FetchRecords { stamp, at }, out);
        self.at(now.saturating_add(2 * AGAIN), Timer::FetchRecords(from));
    }

    pub(crate) fn on_pull(&mut self, now: u64, from: NodeId, stamp: u64, at: u32, out: &mut Out) {
        if self.table.slot(from).map(|s| s.zone) != self.zone() {
            return;
        }
        let empty = Vec::new();
        let all = self.outbox.get(&from).unwrap_or(&empty);
        let Some(rest) = all.get(at as usize..) else { return };
        let (mut session_records, mut bytes) = (Vec::new(), 0);
        for session in rest {
            let session_record = self.known_of(now, *session);
            bytes += 30 + 20 * session_record.keys.len();
            session_records.push(session_record);
            if bytes > MAX_CHUNK_BYTES - 100 {
                break;
            }
        }
        // A move that an older table cut through may still come back here: it is not all told before that is
        // settled.
        let settled = self.leaving.values().all(|l| l.version == self.table.version);
        let over = session_records.len() == rest.len() && settled;
        let worst_in = over.then(|| self.losses.worst(self.age).saturating_sub(now));
        self.send(from, Message::RecordChunk { stamp, at, session_records, worst_in }, out);
    }

    /// What this balancer knows of a van, as a former home and as a sender.
    fn known_of(&self, now: u64, session: SessionId) -> SessionRecord {
        let mut session_record = self.store.session_record(now, session);
        let of_it =
            (session, crate::IdempotencyKey(0))..=(session, crate::IdempotencyKey(u64::MAX));
        for ((_, key), note) in self.mine.range(of_it) {
            let first_permit_ago = now.saturating_sub(ms(note.first));
            let expires_in = ms(note.free).saturating_sub(now);
            match session_record.keys.iter_mut().find(|k| k.key == *key) {
                Some(known) => {
                    known.expires_in = known.expires_in.max(expires_in);
                    known.first_permit_ago = known.first_permit_ago.max(first_permit_ago);
                    if known.cell != note.cell {
                        known.cell = crate::record_store::UNKNOWN_CELL;
                    }
                }
                None => session_record.keys.push(KeyRecord {
                    key: *key,
                    cell: note.cell,
                    first_permit_ago,
                    expires_in,
                }),
            }
        }
        session_record.shorten();
        session_record
    }

    #[allow(clippy::too_many_arguments)] // The fields of one word.
    pub(crate) fn on_chunk(
        &mut self,
        now: u64,
        from: NodeId,
        stamp: u64,
        at: u32,
        session_records: &[SessionRecord],
        worst_in: Option<u64>,
        out: &mut Out,
    ) {
        let Some(pull) = self.pulls.get_mut(&from) else { return };
        if (pull.stamp, pull.next) != (stamp, at) {
            return;
        }
        pull.next = at.saturating_add(u32::try_from(session_records.len()).unwrap_or(u32::MAX));
        for session_record in session_records.iter().filter(|e| e.says_something()) {
            if !self.learn(now, stamp, session_record) {
                // Something is known that can't be kept: every van that is new may be the one.
                self.losses.all_until = self.losses.all_until.max(now.saturating_add(self.age));
            }
        }
        let Some(worst_in) = worst_in else {
            if !session_records.is_empty() {
                self.pull_again(now, from, out);
            }
            return;
        };
        self.pulls.remove(&from);
        if let Some(worst) = &mut self.fresh {
            *worst = (*worst).min(now.saturating_add(worst_in));
        }
        self.gathered(now, out);
    }

    /// If all of the site have told what they know, homes own.
    fn gathered(&mut self, now: u64, out: &mut Out) {
        if !self.pulls.is_empty() {
            return;
        }
        // What others say about those who are lost holds for one that has just begun, too.
        if let Some(worst) = self.fresh.take() {
            self.losses.all_until = self.losses.all_until.min(worst);
        }
        let all: Vec<SessionId> = self.findings.keys().copied().collect();
        for session in all {
            self.try_own(now, session, out);
        }
    }
}

impl SessionRecord {
    pub(crate) fn nothing(session: SessionId) -> Self {
        let cell = crate::record_store::UNKNOWN_CELL;
        Self { session, epoch: Epoch::default(), cell, uncertain_for: 0, keys: Vec::new() }
    }

    /// Whether it tells more than the van's name.
    pub(crate) fn says_something(&self) -> bool {
        *self != Self::nothing(self.session)
    }

    /// Cuts the keys to what a word holds: for those beyond, the van is blind as long as they matter.
    fn shorten(&mut self) {
        for key in self.keys.drain(self.keys.len().min(crate::message::MAX_RECORD_KEYS)..) {
            self.uncertain_for = self.uncertain_for.max(key.expires_in);
        }
    }
}
