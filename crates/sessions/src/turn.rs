//! A change of the table: who was home is so no longer, and each new home asks all others of its site what
//! they know of its vans before it owns any that it has no record of.

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;

use crate::machine::{AGAIN, Out, Sessions, Timer};
use crate::message::{CHUNK, Estate, KeyWord, Message};
use crate::store::{State, ms};
use crate::table::Table;
use crate::{Epoch, Sid};

/// What one other is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pull {
    /// When that began: what is told is from then or later.
    stamp: u64,
    /// So many were told.
    next: u32,
}

impl Sessions {
    /// Another table is in force.
    pub(crate) fn turn(&mut self, now: u64, table: Table, until: u64, out: &mut Out) {
        let node_id = self.config.node_id;
        let old = std::mem::replace(&mut self.table, table);
        self.seat =
            self.table.seat(node_id).filter(|s| s.incarnation == self.config.incarnation).copied();
        self.until = if self.seat.is_some() { until } else { 0 };
        // Nobody asked this balancer in between: others may own what it owned.
        let went_on = self.seat.is_some_and(|s| s.since <= old.version);
        if old.version > 0 {
            self.losses.change(now, self.age, &old, &self.table);
        } else if !self.config.first_start {
            self.losses.first(now, self.age, &self.table, node_id);
            self.fresh = Some(u64::MAX);
        }
        self.copies.clear();
        self.copies_end.clear();
        self.pending.values_mut().for_each(crate::asker::Pending::ask_anew);
        self.settle(now, went_on);
        self.sort_out(now, went_on, &old);
        self.pulls.clear();
        let site = self.site();
        let near: Vec<NodeId> = site
            .map(|s| {
                self.table.of_site(s).iter().map(|s| s.member).filter(|m| *m != node_id).collect()
            })
            .unwrap_or_default();
        for from in near {
            self.pulls.insert(from, Pull { stamp: now, next: 0 });
            self.pull_again(now, from, out);
        }
        self.waiting.clear();
        let asked: Vec<Sid> = std::mem::take(&mut self.findings).into_keys().collect();
        for sid in asked {
            if self.is_home(sid) && self.store.get(sid).is_none_or(|r| r.state != State::Owned) {
                self.find(now, sid, None);
            }
        }
        self.gathered(now, out);
    }

    /// Moves away that the change cuts through. What was not handed over stays; what may have been taken by
    /// one that is still there is settled with that one; of what may have been taken by one that is gone only
    /// a tomb is left.
    fn settle(&mut self, now: u64, went_on: bool) {
        let all: Vec<Sid> = self.leaving.keys().copied().collect();
        for sid in all {
            let Some(leaving) = self.leaving.get(&sid) else { continue };
            if went_on && leaving.handed && self.table.has(&leaving.to) {
                continue;
            }
            let stays = went_on && !leaving.handed;
            let epoch = leaving.epoch;
            self.leaving.remove(&sid);
            if !stays {
                // There is such a record: what leaves is held.
                let _ = self.store.change(now, sid, None, |r| {
                    (r.state, r.epoch) = (State::Tomb, epoch);
                });
            }
        }
    }

    /// Whatever has another home now is a tomb here, and goes to that home as what is known.
    fn sort_out(&mut self, now: u64, went_on: bool, old: &Table) {
        self.outbox.clear();
        let mut told: BTreeSet<(NodeId, Sid)> = BTreeSet::new();
        let mut tombs = Vec::new();
        // Of a van whose home was here only a seat that is new can be the home now: 200,000 records and 150
        // seats would otherwise stop the bank's thread for a good part of a second.
        let new = self.site().map_or(&[][..], |site| self.table.of_site(site));
        let here = |m: NodeId| old.seat(m).map(|s| s.site) == self.site();
        let new: Vec<NodeId> = new.iter().map(|s| s.member).filter(|m| !here(*m)).collect();
        let went_on = went_on && here(self.config.node_id);
        let stays =
            |sid| went_on && !new.iter().any(|m| Table::before(sid, *m, self.config.node_id));
        for (sid, record) in self.store.sids() {
            let owned = record.state != State::Tomb;
            let nothing = if owned { stays(sid) } else { !record.is_held(now) };
            if nothing {
                continue;
            }
            let Some(home) = self.own_home(sid) else {
                tombs.push(sid);
                continue;
            };
            let own = home == self.config.node_id;
            if owned && !(own && went_on) && !self.leaving.contains_key(&sid) {
                tombs.push(sid);
            }
            if !own && (owned || record.is_held(now)) {
                told.insert((home, sid));
            }
        }
        for sid in tombs {
            let _ = self.store.change(now, sid, None, |r| r.state = State::Tomb);
        }
        let mine: Vec<_> = self.mine.iter().map(|(at, note)| (*at, *note)).collect();
        for ((sid, key), note) in mine {
            match self.own_home(sid) {
                Some(home) if home != self.config.node_id => {
                    told.insert((home, sid));
                }
                _ => {
                    let first_ago = now.saturating_sub(ms(note.first));
                    let free_in = ms(note.free).saturating_sub(now);
                    let message = KeyWord { key, pod: note.pod, first_ago, free_in };
                    let estate = Estate { keys: vec![message], ..Estate::nothing(sid) };
                    if !self.learn(now, now, &estate) {
                        self.losses.all_until = self.losses.all_until.max(ms(note.free));
                    }
                }
            }
        }
        for (home, sid) in told {
            self.outbox.entry(home).or_default().push(sid);
        }
    }

    pub(crate) fn pull_again(&mut self, now: u64, from: NodeId, out: &mut Out) {
        let Some(pull) = self.pulls.get(&from) else { return };
        let (stamp, at) = (pull.stamp, pull.next);
        self.send(from, Message::Pull { stamp, at }, out);
        self.at(now.saturating_add(2 * AGAIN), Timer::Pull(from));
    }

    pub(crate) fn on_pull(&mut self, now: u64, from: NodeId, stamp: u64, at: u32, out: &mut Out) {
        if self.table.seat(from).map(|s| s.site) != self.site() {
            return;
        }
        let empty = Vec::new();
        let all = self.outbox.get(&from).unwrap_or(&empty);
        let Some(rest) = all.get(at as usize..) else { return };
        let (mut estates, mut bytes) = (Vec::new(), 0);
        for sid in rest {
            let estate = self.known_of(now, *sid);
            bytes += 30 + 20 * estate.keys.len();
            estates.push(estate);
            if bytes > CHUNK - 100 {
                break;
            }
        }
        // A move that an older table cut through may still come back here: it is not all told before that is
        // settled.
        let settled = self.leaving.values().all(|l| l.version == self.table.version);
        let over = estates.len() == rest.len() && settled;
        let worst_in = over.then(|| self.losses.worst(self.age).saturating_sub(now));
        self.send(from, Message::Chunk { stamp, at, estates, worst_in }, out);
    }

    /// What this balancer knows of a van, as a former home and as a sender.
    fn known_of(&self, now: u64, sid: Sid) -> Estate {
        let mut estate = self.store.estate(now, sid);
        let of_it = (sid, crate::Key(0))..=(sid, crate::Key(u64::MAX));
        for ((_, key), note) in self.mine.range(of_it) {
            let first_ago = now.saturating_sub(ms(note.first));
            let free_in = ms(note.free).saturating_sub(now);
            match estate.keys.iter_mut().find(|k| k.key == *key) {
                Some(known) => {
                    known.free_in = known.free_in.max(free_in);
                    known.first_ago = known.first_ago.max(first_ago);
                    if known.pod != note.pod {
                        known.pod = crate::store::NO_POD;
                    }
                }
                None => estate.keys.push(KeyWord { key: *key, pod: note.pod, first_ago, free_in }),
            }
        }
        estate.shorten();
        estate
    }

    #[allow(clippy::too_many_arguments)] // The fields of one word.
    pub(crate) fn on_chunk(
        &mut self,
        now: u64,
        from: NodeId,
        stamp: u64,
        at: u32,
        estates: &[Estate],
        worst_in: Option<u64>,
        out: &mut Out,
    ) {
        let Some(pull) = self.pulls.get_mut(&from) else { return };
        if (pull.stamp, pull.next) != (stamp, at) {
            return;
        }
        pull.next = at.saturating_add(u32::try_from(estates.len()).unwrap_or(u32::MAX));
        for estate in estates.iter().filter(|e| e.says_something()) {
            if !self.learn(now, stamp, estate) {
                // Something is known that can't be kept: every van that is new may be the one.
                self.losses.all_until = self.losses.all_until.max(now.saturating_add(self.age));
            }
        }
        let Some(worst_in) = worst_in else {
            if !estates.is_empty() {
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
        let all: Vec<Sid> = self.findings.keys().copied().collect();
        for sid in all {
            self.try_own(now, sid, out);
        }
    }
}

impl Estate {
    pub(crate) fn nothing(sid: Sid) -> Self {
        let pod = crate::store::NO_POD;
        Self { sid, epoch: Epoch::default(), pod, blind_in: 0, keys: Vec::new() }
    }

    /// Whether it tells more than the van's name.
    pub(crate) fn says_something(&self) -> bool {
        *self != Self::nothing(self.sid)
    }

    /// Cuts the keys to what a word holds: for those beyond, the van is blind as long as they matter.
    fn shorten(&mut self) {
        for key in self.keys.drain(self.keys.len().min(crate::message::KEYS)..) {
            self.blind_in = self.blind_in.max(key.free_in);
        }
    }
}
