//! Who has a seat, who had one, and what may have been forgotten with those who lost theirs. Decides nothing
//! about records.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_peer_transport::NodeId;

use crate::rendezvous::{Candidates, draw};
use crate::{OwnerSlot, SessionId, Zone};

/// Old tables that are kept to know whose home was lost. Beyond them everything is in doubt until it has
/// aged.
const KEPT: usize = 16;

/// One version of who is awake.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct OwnershipTable {
    pub version: u64,
    zones: BTreeMap<Zone, Vec<OwnerSlot>>,
    nodes: BTreeMap<NodeId, OwnerSlot>,
}

impl OwnershipTable {
    pub fn new(version: u64, slots: &[OwnerSlot]) -> Self {
        let nodes: BTreeMap<NodeId, OwnerSlot> = slots.iter().map(|s| (s.node, *s)).collect();
        let mut zones: BTreeMap<Zone, Vec<OwnerSlot>> = BTreeMap::new();
        for slot in nodes.values() {
            zones.entry(slot.zone).or_default().push(*slot);
        }
        Self { version, zones, nodes }
    }

    pub fn without(&self, zone: Zone, version: u64) -> Self {
        let slots: Vec<OwnerSlot> =
            self.nodes.values().filter(|s| s.zone != zone).copied().collect();
        Self::new(version, &slots)
    }

    pub fn slot(&self, node: NodeId) -> Option<&OwnerSlot> {
        self.nodes.get(&node)
    }

    pub fn has(&self, slot: &OwnerSlot) -> bool {
        self.nodes.get(&slot.node) == Some(slot)
    }

    pub fn of_site(&self, zone: Zone) -> &[OwnerSlot] {
        self.zones.get(&zone).map_or(&[], Vec::as_slice)
    }

    pub fn zones(&self) -> impl Iterator<Item = Zone> + '_ {
        self.zones.keys().copied()
    }

    /// Of two in a site, whether one is before the other as the home of a van's record.
    pub fn before(session: SessionId, one: NodeId, other: NodeId) -> bool {
        let place = |m: NodeId| (draw(Candidates::Owners, session.0, m.0), m);
        place(one) > place(other)
    }

    /// The home of a van's record in a site.
    pub fn home(&self, session: SessionId, zone: Zone) -> Option<NodeId> {
        let first = |s: &&OwnerSlot| (draw(Candidates::Owners, session.0, s.node.0), s.node);
        self.of_site(zone).iter().max_by_key(first).map(|s| s.node)
    }

    /// The others of a site in the order in which they are witnesses of what its home sends itself.
    pub fn witnesses(&self, session: SessionId, zone: Zone, home: NodeId) -> Vec<NodeId> {
        let mut all: Vec<NodeId> =
            self.of_site(zone).iter().map(|s| s.node).filter(|m| *m != home).collect();
        all.sort_by_key(|m| std::cmp::Reverse((draw(Candidates::Owners, session.0, m.0), *m)));
        all
    }
}

/// Of two sites that ask each other, which goes first for a van: a total order, another one for each van.
pub(crate) fn precedes(session: SessionId, a: Zone, b: Zone) -> bool {
    (draw(Candidates::Zones, session.0, a.0), a) > (draw(Candidates::Zones, session.0, b.0), b)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LostOwner {
    at: u64,
    slot: OwnerSlot,
    /// Who was in that table.
    version: u64,
}

/// What was lost lately. Times are in ms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LostOwners {
    losses: Vec<LostOwner>,
    tables: BTreeMap<u64, OwnershipTable>,
    /// When each of them was followed by another.
    heard: BTreeMap<u64, u64>,
    /// Nothing is known of what was lost before; it matters until then.
    pub all_until: u64,
}

impl LostOwners {
    /// The first table that this process hears of: it has forgotten what its former life knew, and what
    /// others lost.
    pub fn first(&mut self, now: u64, age: u64, table: &OwnershipTable, node_id: NodeId) {
        self.all_until = now.saturating_add(age);
        if let Some(slot) = table.slot(node_id) {
            let former = OwnerSlot { since: 0, ..*slot };
            self.tables.insert(table.version, table.clone());
            self.losses.push(LostOwner { at: now, slot: former, version: table.version });
        }
    }

    /// One table follows another, heard `now`; what is older than `age` matters no more.
    pub fn change(&mut self, now: u64, age: u64, old: &OwnershipTable, new: &OwnershipTable) {
        self.losses.retain(|l| l.at.saturating_add(age) > now);
        let gone = old.nodes.values().filter(|s| !new.has(s));
        let version = old.version;
        self.losses.extend(gone.map(|slot| LostOwner { at: now, slot: *slot, version }));
        // Kept also if nobody was lost: whose home was lost is asked of all of these.
        self.tables.insert(old.version, old.clone());
        self.heard.insert(old.version, now);
        let over = |at: &u64| at.saturating_add(age) <= now;
        let used: BTreeSet<u64> = self.losses.iter().map(|l| l.version).collect();
        let heard = &self.heard;
        self.tables.retain(|v, _| used.contains(v) || heard.get(v).is_some_and(|at| !over(at)));
        while self.tables.len() > KEPT {
            self.tables.pop_first();
            self.all_until = self.all_until.max(now.saturating_add(age));
        }
        let tables = &self.tables;
        self.heard.retain(|v, _| tables.contains_key(v));
    }

    /// Up to when a key of this van may have run somewhere that nobody left knows of: both who sent it and
    /// the home that allowed it were lost. 0 if that can't be.
    pub fn doubt(&self, session: SessionId, age: u64) -> u64 {
        let mut until = self.all_until;
        if self.losses.is_empty() {
            return until;
        }
        let homes: BTreeSet<(Zone, NodeId)> = self
            .tables
            .values()
            .flat_map(|t| t.zones().filter_map(move |zone| Some((zone, t.home(session, zone)?))))
            .collect();
        for home in self.losses.iter().filter(|l| homes.contains(&(l.slot.zone, l.slot.node))) {
            until = until.max(self.together(home, age));
        }
        until
    }

    /// Up to when it matters that one was lost as a home.
    fn together(&self, home: &LostOwner, age: u64) -> u64 {
        let zone = home.slot.zone;
        let alone = self.tables.get(&home.version).is_none_or(|t| t.of_site(zone).len() < 2);
        let mut until = if alone { home.at.saturating_add(age) } else { 0 };
        for other in self.losses.iter().filter(|l| l.slot.zone == zone && l.slot != home.slot) {
            until = until.max(other.at.min(home.at).saturating_add(age));
        }
        until
    }

    /// The same for any van: what a member that is new is told.
    pub fn worst(&self, age: u64) -> u64 {
        self.losses.iter().map(|l| self.together(l, age)).fold(self.all_until, u64::max)
    }
}
