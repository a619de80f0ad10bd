//! Who has a seat, who had one, and what may have been forgotten with those who lost theirs. Decides nothing
//! about records.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_peer_transport::NodeId;

use crate::hash::{Among, draw};
use crate::{Seat, Sid, Site};

/// Old tables that are kept to know whose home was lost. Beyond them everything is in doubt until it has
/// aged.
const KEPT: usize = 16;

/// One version of who is awake.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    pub version: u64,
    sites: BTreeMap<Site, Vec<Seat>>,
    members: BTreeMap<NodeId, Seat>,
}

impl Table {
    pub fn new(version: u64, seats: &[Seat]) -> Self {
        let members: BTreeMap<NodeId, Seat> = seats.iter().map(|s| (s.member, *s)).collect();
        let mut sites: BTreeMap<Site, Vec<Seat>> = BTreeMap::new();
        for seat in members.values() {
            sites.entry(seat.site).or_default().push(*seat);
        }
        Self { version, sites, members }
    }

    pub fn without(&self, site: Site, version: u64) -> Self {
        let seats: Vec<Seat> = self.members.values().filter(|s| s.site != site).copied().collect();
        Self::new(version, &seats)
    }

    pub fn seat(&self, member: NodeId) -> Option<&Seat> {
        self.members.get(&member)
    }

    pub fn has(&self, seat: &Seat) -> bool {
        self.members.get(&seat.member) == Some(seat)
    }

    pub fn of_site(&self, site: Site) -> &[Seat] {
        self.sites.get(&site).map_or(&[], Vec::as_slice)
    }

    pub fn sites(&self) -> impl Iterator<Item = Site> + '_ {
        self.sites.keys().copied()
    }

    /// Of two in a site, whether one is before the other as the home of a van's record.
    pub fn before(sid: Sid, one: NodeId, other: NodeId) -> bool {
        let place = |m: NodeId| (draw(Among::Homes, sid.0, m.0), m);
        place(one) > place(other)
    }

    /// The home of a van's record in a site.
    pub fn home(&self, sid: Sid, site: Site) -> Option<NodeId> {
        let first = |s: &&Seat| (draw(Among::Homes, sid.0, s.member.0), s.member);
        self.of_site(site).iter().max_by_key(first).map(|s| s.member)
    }

    /// The others of a site in the order in which they are witnesses of what its home sends itself.
    pub fn witnesses(&self, sid: Sid, site: Site, home: NodeId) -> Vec<NodeId> {
        let mut all: Vec<NodeId> =
            self.of_site(site).iter().map(|s| s.member).filter(|m| *m != home).collect();
        all.sort_by_key(|m| std::cmp::Reverse((draw(Among::Homes, sid.0, m.0), *m)));
        all
    }
}

/// Of two sites that ask each other, which goes first for a van: a total order, another one for each van.
pub(crate) fn goes_first(sid: Sid, a: Site, b: Site) -> bool {
    (draw(Among::Sites, sid.0, a.0), a) > (draw(Among::Sites, sid.0, b.0), b)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loss {
    at: u64,
    seat: Seat,
    /// Who was in that table.
    version: u64,
}

/// What was lost lately. Times are in ms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Losses {
    losses: Vec<Loss>,
    tables: BTreeMap<u64, Table>,
    /// When each of them was followed by another.
    heard: BTreeMap<u64, u64>,
    /// Nothing is known of what was lost before; it matters until then.
    pub all_until: u64,
}

impl Losses {
    /// The first table that this process hears of: it has forgotten what its former life knew, and what
    /// others lost.
    pub fn first(&mut self, now: u64, age: u64, table: &Table, node_id: NodeId) {
        self.all_until = now.saturating_add(age);
        if let Some(seat) = table.seat(node_id) {
            let former = Seat { since: 0, ..*seat };
            self.tables.insert(table.version, table.clone());
            self.losses.push(Loss { at: now, seat: former, version: table.version });
        }
    }

    /// One table follows another, heard `now`; what is older than `age` matters no more.
    pub fn change(&mut self, now: u64, age: u64, old: &Table, new: &Table) {
        self.losses.retain(|l| l.at.saturating_add(age) > now);
        let gone = old.members.values().filter(|s| !new.has(s));
        let version = old.version;
        self.losses.extend(gone.map(|seat| Loss { at: now, seat: *seat, version }));
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
    pub fn doubt(&self, sid: Sid, age: u64) -> u64 {
        let mut until = self.all_until;
        if self.losses.is_empty() {
            return until;
        }
        let homes: BTreeSet<(Site, NodeId)> = self
            .tables
            .values()
            .flat_map(|t| t.sites().filter_map(move |site| Some((site, t.home(sid, site)?))))
            .collect();
        for home in self.losses.iter().filter(|l| homes.contains(&(l.seat.site, l.seat.member))) {
            until = until.max(self.together(home, age));
        }
        until
    }

    /// Up to when it matters that one was lost as a home.
    fn together(&self, home: &Loss, age: u64) -> u64 {
        let site = home.seat.site;
        let alone = self.tables.get(&home.version).is_none_or(|t| t.of_site(site).len() < 2);
        let mut until = if alone { home.at.saturating_add(age) } else { 0 };
        for other in self.losses.iter().filter(|l| l.seat.site == site && l.seat != home.seat) {
            until = until.max(other.at.min(home.at).saturating_add(age));
        }
        until
    }

    /// The same for any van: what a member that is new is told.
    pub fn worst(&self, age: u64) -> u64 {
        self.losses.iter().map(|l| self.together(l, age)).fold(self.all_until, u64::max)
    }
}
