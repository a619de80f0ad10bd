//! Who the upstreams are, from lists that may come late, twice or out of their order: names become the module's
//! handles, and what each list changes is put into the module's words. Pure; it closes nothing and asks nobody.

use std::cell::Cell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface as d;
use hollowpaddle_policy::interface::{ListKind, ServerId, Time};
use hollowpaddle_policy::settings::stable_hash;
use hollowpaddle_revision::rules::Place;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::bank::Held;
use crate::config::Config;
use crate::members::{Entry, List, Phase};
use crate::upstreams::Target;

/// So many upstreams that were said to be gone are remembered by name. Beyond, an older list than the last word of
/// the forgotten ones brings nobody in.
const REMEMBERED: usize = 4096;

/// The upstreams that the list has named, by the module's handle. Failure: none was ever forgotten, and every
/// list walked all ids of the day.
pub struct Membership {
    ids: FxHashMap<Rc<str>, ServerId>,
    targets: FxHashMap<ServerId, Known>,
    /// A handle is never used twice, or news of one that is gone would be taken for another's.
    next: u32,
    /// The highest version that a list came with.
    newest: u64,
    /// Who was said to be gone, and the version that said so; the same in the order in which it was said.
    gone: FxHashMap<String, u64>,
    gone_order: VecDeque<(String, u64)>,
    /// Whom an older list than this names, and nobody knows, is gone: a whole list left it out, or its name is
    /// forgotten.
    floor: u64,
    /// By name, whom operators have taken out. It lies over all that lists say.
    cordoned: BTreeSet<String>,
    /// What the bank has agreed on lies over that; nothing, where there is no bank.
    held: Option<Held>,
    /// The list is older than the rules allow, and the charter has upstreams on it: nobody else is sent to.
    narrow: bool,
    classes: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    grace: Duration,
    /// Lists taken in so far.
    lists: u64,
}

struct Known {
    name: Rc<str>,
    target: Rc<Target>,
    /// As last listed, whatever operators say.
    listed: d::Member,
    gone: bool,
    /// Version of the list that the last word of it came with.
    revision: u64,
}

/// So many handles are looked at for one part of the whole: the engine has others to serve in between.
const PART: u32 = 512;

/// A part of the list as it is known here.
pub struct Part {
    /// Who is on it.
    pub members: Vec<Entry>,
    /// Where the next part begins; nowhere, if this was the last.
    pub next: Option<u32>,
    /// The highest version that a list came with.
    pub revision: u64,
    /// How many lists have been taken in: whether this part is of the same whole as another.
    pub lists: u64,
}

/// An upstream and a class, as rules know them.
pub struct Placed {
    name: Rc<str>,
    pod: u32,
    flavour: Box<str>,
    site: Box<str>,
    class: Box<str>,
}

impl Placed {
    /// Whether this allows sending it there.
    pub fn permitted(&self, held: &Held) -> bool {
        let Self { name, pod, flavour, site, class } = self;
        let stopped = held.stops.names.contains(&**name);
        !stopped && held.rules.permits(&Place { name, pod: *pod, flavour, site }, class)
    }
}

/// What a list comes to.
pub struct Told {
    /// What it is to the module.
    pub kind: ListKind,
    /// Who is on it, as far as it is news.
    pub members: Vec<d::Member>,
    /// Upstreams that have another address now: what idles at the old one is of no use.
    pub moved: Vec<ServerId>,
}

impl Membership {
    /// Nobody yet. Sends to what drains or is gone end `grace` after the news.
    pub fn new(config: &Config, grace: Duration) -> Self {
        Self {
            ids: FxHashMap::default(),
            targets: FxHashMap::default(),
            next: 0,
            newest: 0,
            gone: FxHashMap::default(),
            gone_order: VecDeque::new(),
            floor: 0,
            cordoned: BTreeSet::new(),
            held: None,
            narrow: false,
            classes: config.facts.services.iter().map(|s| s.name.clone()).collect(),
            zones: config.facts.zones.clone(),
            kinds: config.facts.machine_types.clone(),
            grace,
            lists: 0,
        }
    }

    /// Where an upstream is, and until when it may be sent to.
    pub fn target(&self, server: ServerId) -> Option<Rc<Target>> {
        self.targets.get(&server).map(|k| k.target.clone())
    }

    /// Whether there is anybody to send to.
    pub fn any_open(&self) -> bool {
        self.targets.values().any(|k| k.target.closed_from.get().is_none())
    }

    /// The highest version that a list came with.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The list as it is known, from this handle on; cordons are no part of it.
    pub fn part(&self, from: u32) -> Part {
        let end = from.saturating_add(PART);
        let known = (from..end.min(self.next)).filter_map(|id| self.targets.get(&ServerId(id)));
        let name = |names: &[String], i: u32| names.get(i as usize).cloned().unwrap_or_default();
        let entry = |known: &Known| {
            let listed = &known.listed;
            Entry {
                id: known.name.to_string(),
                host_port: known.target.address.get().to_string(),
                locality: name(&self.zones, listed.zone),
                flavor: name(&self.kinds, listed.kind),
                cell: listed.cell,
                phase: match listed.status {
                    d::Status::Live => Phase::Serving,
                    d::Status::Draining | d::Status::Gone => Phase::Draining,
                },
                size: listed.weight,
                up_since_ms: listed.started.map_or(0.0, |t| t.0 as f64 / 1000.0),
            }
        };
        let members = known.filter(|k| !k.gone).map(entry).collect();
        let next = (end < self.next).then_some(end);
        Part { members, next, revision: self.newest, lists: self.lists }
    }

    /// From here on versions are another discovery's.
    pub fn count_anew(&mut self) {
        (self.newest, self.floor) = (0, 0);
        self.targets.values_mut().for_each(|k| k.revision = 0);
        self.gone.clear();
        self.gone_order.clear();
    }

    /// Whether a list has named this upstream. Of those that are gone only the last are remembered.
    pub fn has_named(&self, name: &str) -> bool {
        self.ids.contains_key(name) || self.gone.contains_key(name) || self.cordoned.contains(name)
    }

    /// From here on these are out by operators' hands, and no others: whom that changes, in the module's words.
    pub fn cordon(&mut self, names: &BTreeSet<String>, now: Instant) -> Vec<d::Member> {
        let before = std::mem::replace(&mut self.cordoned, names.clone());
        let mut members = Vec::new();
        for name in before.symmetric_difference(names) {
            let known = self.ids.get(name.as_str()).and_then(|id| self.targets.get(id));
            let Some(known) = known.filter(|k| !k.gone) else { continue };
            let member = self.laid_over(known);
            open_until(known, member, now + self.grace);
            members.push(member);
        }
        members
    }

    /// From here on these rules lie over lists and cordons: whom that changes, in the module's words. What they put out
    /// gets nothing more at once, also what waits for its connection.
    pub fn rule(&mut self, held: Held, now: Instant) -> Vec<d::Member> {
        let known = || self.targets.values().filter(|k| !k.gone);
        let before: Vec<d::Member> = known().map(|k| self.laid_over(k)).collect();
        let in_charter = |k: &Known| held.rules.floor().allows(&self.place(k));
        self.narrow = held.stops.old && known().any(in_charter);
        self.held = Some(held);
        let known = self.targets.values().filter(|k| !k.gone);
        let mut members = Vec::new();
        for (known, before) in known.zip(before) {
            let member = self.laid_over(known);
            if member != before {
                open_until(known, member, now);
                members.push(member);
            }
        }
        // In the order of their handles, whatever that of the table is.
        members.sort_unstable_by_key(|m| m.id);
        members
    }

    /// An upstream as rules know it and a class, to be held against rules later on.
    pub fn placed(&self, server: ServerId, class: usize) -> Option<Placed> {
        let known = self.targets.get(&server)?;
        let Place { pod, flavour, site, .. } = self.place(known);
        Some(Placed {
            name: known.name.clone(),
            pod,
            flavour: flavour.into(),
            site: site.into(),
            class: self.classes.get(class)?.as_str().into(),
        })
    }

    /// How rules know it.
    fn place<'a>(&'a self, known: &'a Known) -> Place<'a> {
        let name = |names: &'a [String], i: u32| names.get(i as usize).map_or("", |n| n);
        Place {
            name: &known.name,
            pod: known.listed.cell,
            flavour: name(&self.kinds, known.listed.kind),
            site: name(&self.zones, known.listed.zone),
        }
    }

    /// What the module is told of one that is listed: one that operators have taken out drains, and so does one that the
    /// rules keep every class from.
    fn laid_over(&self, known: &Known) -> d::Member {
        let listed = known.listed;
        let mut member = laid_over(listed, self.cordoned.contains(&*known.name));
        let Some(Held { rules, stops }) = &self.held else { return member };
        let place = self.place(known);
        let stopped = stops.names.contains(&*known.name);
        let stopped = stopped || self.narrow && !rules.floor().allows(&place);
        let kept = |class: &&String| !rules.permits(&place, class);
        member.barred = self
            .classes
            .iter()
            .enumerate()
            .take(64)
            .fold(0, |mask, (i, class)| mask | u64::from(kept(&class)) << i);
        let nowhere = stopped || self.classes.iter().all(|c| kept(&c));
        if member.status == d::Status::Live && nowhere {
            member.status = d::Status::Draining;
        }
        member.weight *= rules.weight(&place);
        member
    }

    /// Takes in a list.
    ///
    /// Failure: lists that came out of their order, a whole one as another replica still had it among them,
    /// undid the news of a drain, and requests went there for seconds (rehearsal sweep, seeds 77 and 136). An
    /// older list takes back nothing that a newer one said: of an upstream, only news that is no older than
    /// the last of it counts, and none is gone by being left out. Failure: nor did anybody come in by it, so that
    /// a newcomer that it alone named stayed unknown until something else about it changed.
    pub fn update(&mut self, list: &List, kind: ListKind, now: Instant) -> Told {
        self.lists += 1;
        let older = list.revision < self.newest;
        self.newest = self.newest.max(list.revision);
        let kind = match kind {
            ListKind::Restored if older => ListKind::Aside,
            ListKind::Whole if older => ListKind::Update,
            kind => kind,
        };
        if older {
            let (newest, revision) = (self.newest, list.revision);
            tracing::warn!(newest, revision, "a list out of its order");
        }
        let closed_from = now + self.grace;
        let close = |t: &Target| t.closed_from.set(t.closed_from.get().or(Some(closed_from)));
        if !kind.is_part() {
            // What a whole list leaves out is gone, and so is whoever an older one names alone.
            for known in self.targets.values_mut() {
                known.gone = true;
            }
            self.floor = self.floor.max(list.revision);
        }
        let (mut members, mut moved) = (Vec::with_capacity(list.members.len()), Vec::new());
        for entry in &list.members {
            let known = self.ids.get(entry.id.as_str()).and_then(|id| self.targets.get(id));
            if known.is_some_and(|k| list.revision < k.revision) {
                continue;
            }
            if known.is_none() && (entry.phase == Phase::Deleted || self.left(&entry.id, list)) {
                self.remember(&entry.id, entry.phase, list.revision);
                continue;
            }
            // Without a valid address the last one stands: that it drains must not be lost with it.
            let last = known.map(|k| k.target.address.get());
            let Some(address) = entry.host_port.parse().ok().or(last) else {
                tracing::warn!(id = entry.id, address = entry.host_port, "no such address");
                continue;
            };
            let id = self.id(entry, address);
            let listed = self.member(id, entry);
            self.remember(&entry.id, entry.phase, list.revision);
            let Some(known) = self.targets.get_mut(&id) else { continue };
            if known.target.address.replace(address) != address {
                moved.push(id);
            }
            known.gone = entry.phase == Phase::Deleted;
            known.revision = list.revision;
            known.listed = listed;
            let Some(known) = self.targets.get(&id) else { continue };
            let member = self.laid_over(known);
            match member.status {
                d::Status::Live => known.target.closed_from.set(None),
                d::Status::Draining | d::Status::Gone => close(&known.target),
            }
            members.push(member);
        }
        self.targets.values().filter(|k| k.gone).for_each(|k| close(&k.target));
        Told { kind, members, moved }
    }

    /// Whether one that is not known has left by what a newer list said.
    fn left(&self, name: &str, list: &List) -> bool {
        list.revision < self.floor || self.gone.get(name).is_some_and(|at| list.revision < *at)
    }

    /// Keeps in mind that one was said to be gone, or that it was not.
    fn remember(&mut self, name: &str, phase: Phase, revision: u64) {
        if phase != Phase::Deleted {
            return;
        }
        let last = self.gone.entry(name.to_string()).or_insert(0);
        if revision <= *last {
            return;
        }
        *last = revision;
        self.gone_order.push_back((name.to_string(), revision));
        while self.gone_order.len() > REMEMBERED {
            let Some((name, at)) = self.gone_order.pop_front() else { return };
            if self.gone.get(&name) == Some(&at) {
                self.gone.remove(&name);
            }
            self.floor = self.floor.max(at);
        }
    }

    /// Drops what is gone and has no attempt left that looks at it; whom that leaves without a use for idle
    /// connections.
    pub fn forget(&mut self) -> Vec<ServerId> {
        let mut dropped = Vec::new();
        self.targets.retain(|id, known| {
            let keep = !known.gone || Rc::strong_count(&known.target) > 1;
            if !keep {
                dropped.push(*id);
            }
            keep
        });
        if !dropped.is_empty() {
            self.ids.retain(|_, id| self.targets.contains_key(id));
        }
        dropped
    }

    fn id(&mut self, entry: &Entry, address: SocketAddr) -> ServerId {
        if let Some(id) = self.ids.get(entry.id.as_str()) {
            return *id;
        }
        let id = ServerId(self.next);
        self.next += 1;
        let name: Rc<str> = entry.id.as_str().into();
        self.ids.insert(name.clone(), id);
        let (address, closed_from) = (Cell::new(address), Cell::new(None));
        let target = Rc::new(Target { address, closed_from });
        let listed = self.member(id, entry);
        self.targets.insert(id, Known { name, target, listed, gone: false, revision: 0 });
        id
    }

    fn member(&self, id: ServerId, entry: &Entry) -> d::Member {
        // A name that the settings don't have is none of those that they do.
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        d::Member {
            id,
            identity: stable_hash(&entry.id),
            zone: index(&self.zones, &entry.locality),
            kind: index(&self.kinds, &entry.flavor),
            cell: entry.cell,
            status: match entry.phase {
                Phase::Serving => d::Status::Live,
                Phase::Draining | Phase::Unknown => d::Status::Draining,
                Phase::Deleted => d::Status::Gone,
            },
            weight: entry.size,
            started: (entry.up_since_ms > 0.0).then_some(Time((entry.up_since_ms * 1000.0) as i64)),
            barred: 0,
        }
    }
}

/// Sends to one that is not live for all end then.
fn open_until(known: &Known, member: d::Member, until: Instant) {
    let closed = &known.target.closed_from;
    match member.status {
        d::Status::Live => closed.set(None),
        _ => closed.set(Some(closed.get().map_or(until, |from| from.min(until)))),
    }
}

/// What the module is told of one that is listed like this: one that operators have taken out drains.
fn laid_over(listed: d::Member, cordoned: bool) -> d::Member {
    let out = cordoned && listed.status == d::Status::Live;
    d::Member { status: if out { d::Status::Draining } else { listed.status }, ..listed }
}

#[cfg(test)]
mod tests;
