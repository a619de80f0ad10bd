//! Passes long lists to the decision module in parts, so that no single event delays the requests queued after it. The
//! functions are pure. Membership and subsetting have determined the content of a list before.

use std::collections::VecDeque;
use std::hash::Hasher;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

/// Maximum length of a list that is passed on unsplit.
const MAX_UNSPLIT_LENGTH: usize = 256;
/// Number of changes in one part of a longer list. The decision module takes 7 to 11 ms for 10,000 changes at once.
const PART_LENGTH: usize = 64;

/// The state of each upstream in the decision module, and the queued changes for that module.
///
/// Only a fingerprint of each upstream's state is retained. A copy of each member would be a third of the gateway's memory
/// per upstream.
#[derive(Default)]
pub struct UpdateQueue {
    /// Fingerprint of the latest state of each upstream, passed on or queued.
    latest: FxHashMap<ServerId, Fingerprint>,
    /// The order in which changes are passed on. Upstreams that are no longer in `waiting` are skipped.
    due: VecDeque<ServerId>,
    /// The queued changes, with the last listed state of each upstream.
    waiting: FxHashMap<ServerId, Member>,
}

/// The status of an upstream, and a hash of all other fields. Two different states of an upstream have the same hash with a
/// probability of 1 in 2^62. The decision module then keeps the older state until the next change.
#[derive(Clone, Copy, PartialEq)]
struct Fingerprint(u64);

impl Fingerprint {
    const STATUS_BITS: u32 = 2;

    fn of(member: &Member) -> Self {
        // Destructured, so that adding a field to `Member` fails to compile here until the field is hashed.
        let Member {
            id: _,
            identity,
            zone,
            machine_type,
            cell,
            status,
            weight,
            started,
            barred_classes,
        } = *member;
        let mut hasher = FxHasher::default();
        hasher.write_u64(identity);
        hasher.write_u64(u64::from(zone) << 32 | u64::from(machine_type));
        hasher.write_u32(cell);
        hasher.write_u64(weight.to_bits());
        hasher.write_u64(barred_classes);
        hasher.write_u8(started.is_some().into());
        hasher.write_i64(started.map_or(0, |at| at.0));
        Self(hasher.finish() << Self::STATUS_BITS | Self::status_bits(status))
    }

    fn status_bits(status: Status) -> u64 {
        match status {
            Status::Live => 0,
            Status::Draining => 1,
            Status::Gone => 2,
        }
    }

    fn is_gone(self) -> bool {
        let status = self.0 & ((1 << Self::STATUS_BITS) - 1);
        status == Self::status_bits(Status::Gone)
    }
}

/// A list, or a part of one, for the decision module.
#[derive(Debug, PartialEq)]
pub struct Part {
    /// The kind of list.
    pub kind: ListKind,
    /// The entries.
    pub members: Vec<Member>,
}

impl UpdateQueue {
    /// Queues a list, and returns the first part for the decision module. More parts may be due. `last_listed` returns the
    /// last listed state of an upstream that is missing from a complete list.
    pub fn queue_list(
        &mut self,
        kind: ListKind,
        members: Vec<Member>,
        last_listed: impl Fn(ServerId) -> Option<Member>,
    ) -> Part {
        let is_short = members.len() <= MAX_UNSPLIT_LENGTH
            && self.latest.len() <= MAX_UNSPLIT_LENGTH
            && !self.is_due();
        // The first list is passed on unsplit: no changes are queued, and there is no earlier state to compare with.
        if is_short || kind == ListKind::Unavailable || self.latest.is_empty() {
            if !kind.is_part() {
                self.latest.clear();
            }
            for member in &members {
                match member.status {
                    Status::Gone => self.latest.remove(&member.id),
                    _ => self.latest.insert(member.id, Fingerprint::of(member)),
                };
            }
            return Part { kind, members };
        }
        if !kind.is_part() {
            let named: FxHashSet<ServerId> = members.iter().map(|m| m.id).collect();
            let missing =
                self.latest.iter().filter(|(id, known)| !named.contains(id) && !known.is_gone());
            let mut missing: Vec<ServerId> = missing.map(|(id, _)| *id).collect();
            missing.sort_unstable();
            for id in missing {
                let member = last_listed(id).unwrap_or_else(|| Member::live(id));
                self.queue_change(Member { status: Status::Gone, ..member });
            }
        }
        for member in members {
            self.queue_change(member);
        }
        let kind = match kind {
            ListKind::Complete | ListKind::Update => ListKind::Update,
            _ => ListKind::LocalChange,
        };
        Part { kind, members: self.next_part() }
    }

    fn queue_change(&mut self, member: Member) {
        let fingerprint = Fingerprint::of(&member);
        if self.latest.insert(member.id, fingerprint) == Some(fingerprint) {
            return;
        }
        let is_new = self.waiting.insert(member.id, member).is_none();
        match member.status {
            Status::Live if is_new => self.due.push_back(member.id),
            Status::Live => {}
            // Drains and removals go to the front, even if the upstream is queued further back, because the decision module
            // must learn at once that no request may be sent to the upstream. The later position is skipped.
            Status::Draining | Status::Gone => self.due.push_front(member.id),
        }
    }

    /// Returns whether changes are queued.
    pub fn is_due(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes and returns the next part of the queued changes, with the latest state of each upstream.
    pub fn next_part(&mut self) -> Vec<Member> {
        let mut part = Vec::with_capacity(PART_LENGTH.min(self.waiting.len()));
        while part.len() < PART_LENGTH
            && let Some(id) = self.due.pop_front()
        {
            let Some(member) = self.waiting.remove(&id) else { continue };
            if member.status == Status::Gone {
                self.latest.remove(&id);
            }
            part.push(member);
        }
        if !self.is_due() {
            // Frees the memory, whose capacity fits the longest list.
            (self.due, self.waiting) = Default::default();
        }
        part
    }
}

#[cfg(test)]
mod tests;
