//! Long lists on their way to the module: handed over in parts, so that no single event holds up the requests behind
//! it. Pure; what is on a list, and whom a subset leaves out, is said by then.

use std::collections::VecDeque;
use std::hash::Hasher;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

/// A list of up to this length goes over as it is.
const SHORT: usize = 256;
/// Of a longer one so many changes at a time. Failure: 10,000 upstreams that had all started anew were one event of
/// 7 to 11 ms.
const PART: usize = 64;

/// What the module has been told of each upstream, or is about to be.
///
/// Of those that it has been told of only a fingerprint is kept. A copy of each member would be a third of all that the
/// gateway holds of an upstream.
#[derive(Default)]
pub struct UpdateQueue {
    latest: FxHashMap<ServerId, Fingerprint>,
    /// The order in which it is told of those that wait. A place whose upstream waits no more is passed over.
    due: VecDeque<ServerId>,
    /// Whom it has yet to be told of, as last listed.
    waiting: FxHashMap<ServerId, Member>,
}

/// Tells whether two descriptions of an upstream are the same: its status, and a hash of all else. Two that differ in
/// something else agree by chance, one time in 2^62; then the module keeps the older one until the next change.
#[derive(Clone, Copy, PartialEq)]
struct Fingerprint(u64);

impl Fingerprint {
    const STATUS_BITS: u32 = 2;

    fn of(member: &Member) -> Self {
        // Named field by field: one that is added must not be left out.
        let Member { id: _, identity, zone, kind, cell, status, weight, started, barred } = *member;
        let mut hasher = FxHasher::default();
        hasher.write_u64(identity);
        hasher.write_u64(u64::from(zone) << 32 | u64::from(kind));
        hasher.write_u32(cell);
        hasher.write_u64(weight.to_bits());
        hasher.write_u64(barred);
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

/// A list, or a part of one, as the module is to be told of it.
#[derive(Debug, PartialEq)]
pub struct Part {
    pub kind: ListKind,
    pub members: Vec<Member>,
}

impl UpdateQueue {
    /// Takes in a list; what the module is to be told now. More may be due. `last` finds whom a whole list left out, as
    /// listed before.
    pub fn listed(
        &mut self,
        kind: ListKind,
        members: Vec<Member>,
        last: impl Fn(ServerId) -> Option<Member>,
    ) -> Part {
        let short = members.len() <= SHORT && self.latest.len() <= SHORT && !self.is_due();
        // At the start nobody waits, and there is nothing to compare with.
        if short || kind == ListKind::Unavailable || self.latest.is_empty() {
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
            let left =
                self.latest.iter().filter(|(id, told)| !named.contains(id) && !told.is_gone());
            let mut left: Vec<ServerId> = left.map(|(id, _)| *id).collect();
            left.sort_unstable();
            for id in left {
                let member = last(id).unwrap_or_else(|| Member::live(id));
                self.change(Member { status: Status::Gone, ..member });
            }
        }
        members.into_iter().for_each(|m| self.change(m));
        let kind = match kind {
            ListKind::Complete | ListKind::Update => ListKind::Update,
            _ => ListKind::Aside,
        };
        Part { kind, members: self.next_part() }
    }

    fn change(&mut self, member: Member) {
        let fingerprint = Fingerprint::of(&member);
        if self.latest.insert(member.id, fingerprint) == Some(fingerprint) {
            return;
        }
        let new = self.waiting.insert(member.id, member).is_none();
        match member.status {
            Status::Live if new => self.due.push_back(member.id),
            Status::Live => {}
            // Whom nothing may be sent to any more goes first, also one that waits further back: that place is
            // passed over once it is told of.
            Status::Draining | Status::Gone => self.due.push_front(member.id),
        }
    }

    /// Whether more is due.
    pub fn is_due(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The next part of what is due, with the latest word of each.
    pub fn next_part(&mut self) -> Vec<Member> {
        let mut part = Vec::with_capacity(PART.min(self.waiting.len()));
        while part.len() < PART
            && let Some(id) = self.due.pop_front()
        {
            let Some(member) = self.waiting.remove(&id) else { continue };
            if member.status == Status::Gone {
                self.latest.remove(&id);
            }
            part.push(member);
        }
        if !self.is_due() {
            // They were as many as the longest list.
            (self.due, self.waiting) = Default::default();
        }
        part
    }
}

#[cfg(test)]
mod tests;
