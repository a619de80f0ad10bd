//! Hands long lists to the decision module in parts, so that no single event holds up the requests behind it. Pure; what is on
//! a list, and what a subset leaves out, is decided before.

use std::collections::VecDeque;
use std::hash::Hasher;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

/// A list of up to this length is handed over as it is.
const MAX_UNSPLIT_LENGTH: usize = 256;
/// How many changes of a longer list are handed over at a time. 10,000 at once take the decision module 7 to 11 ms.
const PART_LENGTH: usize = 64;

/// What the decision module knows of each upstream, and the changes that are due to it.
///
/// Of what it knows only a fingerprint is retained. A copy of each member would be a third of the gateway's memory of an
/// upstream.
#[derive(Default)]
pub struct UpdateQueue {
    /// The latest state of each upstream, handed over or due.
    latest: FxHashMap<ServerId, Fingerprint>,
    /// The order in which changes are handed over. An upstream that is no longer in `waiting` is skipped.
    due: VecDeque<ServerId>,
    /// The changes that are due, as last listed.
    waiting: FxHashMap<ServerId, Member>,
}

/// The status of an upstream, and a hash of all else. Two that differ in something else agree by chance, one time in 2^62; the
/// decision module keeps the older one then, until the next change.
#[derive(Clone, Copy, PartialEq)]
struct Fingerprint(u64);

impl Fingerprint {
    const STATUS_BITS: u32 = 2;

    fn of(member: &Member) -> Self {
        // Destructured, so that a field that is added to `Member` can't be left out.
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
    /// Its entries.
    pub members: Vec<Member>,
}

impl UpdateQueue {
    /// Queues a list, and returns what the decision module is to be told now. More may be due. `last_listed` finds an upstream
    /// that a complete list left out, as listed before.
    pub fn queue_list(
        &mut self,
        kind: ListKind,
        members: Vec<Member>,
        last_listed: impl Fn(ServerId) -> Option<Member>,
    ) -> Part {
        let is_short = members.len() <= MAX_UNSPLIT_LENGTH
            && self.latest.len() <= MAX_UNSPLIT_LENGTH
            && !self.is_due();
        // At the start nothing is due, and there is nothing to compare with.
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
            let left_out =
                self.latest.iter().filter(|(id, known)| !named.contains(id) && !known.is_gone());
            let mut left_out: Vec<ServerId> = left_out.map(|(id, _)| *id).collect();
            left_out.sort_unstable();
            for id in left_out {
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
            // First, also if it is due further back: an upstream that nothing may be sent to must be known at once. The
            // other place is skipped then.
            Status::Draining | Status::Gone => self.due.push_front(member.id),
        }
    }

    /// Whether more is due.
    pub fn is_due(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The next part of what is due, in its latest state.
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
            // Gives back memory for as many as the longest list.
            (self.due, self.waiting) = Default::default();
        }
        part
    }
}

#[cfg(test)]
mod tests;
