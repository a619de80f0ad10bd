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
mod tests {
    use super::*;
    use std::sync::Arc;

    use crate::bank::machine::Stops;
    use hollowpaddle_revision::charter::{Charter, Floor};
    use hollowpaddle_revision::rules::Rules;
    use serde_json::json;

    fn membership() -> Membership {
        let facts = json!({"Balancers": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
            "PolicyLimits": {"MaxAttempts": 3},
            "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}});
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let config = Config {
            name: String::new(),
            listen: nowhere,
            discovery: nowhere,
            control: None,
            state_dir: None,
            seed: 0,
            sockets: 256,
            memory: 32 << 20,
            known: List::default(),
            facts: serde_json::from_value(facts).expect("facts"),
            subset: None,
            bank: None,
        };
        Membership::new(&config, Duration::from_millis(400))
    }

    fn list(revision: u64, members: &[(&str, &str)]) -> List {
        let entry = |(id, phase): &(&str, &str)| json!({"id": id, "host_port": "127.0.0.1:1", "phase": phase});
        let members: Vec<_> = members.iter().map(entry).collect();
        serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
    }

    /// Tells a list: what it is to the module, how many are news, and who may be sent to afterwards.
    fn told(of: &mut Membership, list: &List, kind: ListKind) -> (ListKind, usize, String) {
        let told = of.update(list, kind, Instant::now());
        of.forget();
        let open = |id: &ServerId| of.targets[id].target.closed_from.get().is_none();
        let names = of.ids.iter().filter(|(_, id)| open(id)).map(|(name, _)| name.to_string());
        let mut names: Vec<String> = names.collect();
        names.sort();
        (told.kind, told.members.len(), names.join(" "))
    }

    #[test]
    fn upstreams_come_and_go_and_no_handle_is_used_twice() {
        let mut upstreams = membership();
        let mut told = |id: &str, phase: &str, kind| {
            let told = upstreams.update(&list(0, &[(id, phase)]), kind, Instant::now());
            upstreams.forget();
            (told.members.first().map(|m| m.id), upstreams.ids.len(), upstreams.targets.len())
        };
        let mut seen = std::collections::HashSet::new();
        for i in 0..2000 {
            // New ids at one address, gone by word or by being left out.
            let (id, ids, targets) = told(&format!("s-{i}"), "SERVING", ListKind::Whole);
            assert_eq!((ids, targets), (1, 1));
            assert!(seen.insert(id.expect("a member")), "a handle is used again");
            if i % 2 == 0 {
                let (_, ids, targets) = told(&format!("s-{i}"), "DELETED", ListKind::Update);
                assert_eq!((ids, targets), (0, 0));
            }
        }
        assert_eq!(told("never-seen", "DELETED", ListKind::Update).0, None);
    }

    #[test]
    fn an_older_list_takes_back_nothing_that_a_newer_one_said() {
        let mut of = membership();
        let (update, whole) = (ListKind::Update, ListKind::Whole);
        let all = list(41, &[("a", "SERVING"), ("b", "SERVING"), ("c", "SERVING")]);
        assert_eq!(told(&mut of, &all, whole), (whole, 3, "a b c".into()));
        let drains = list(43, &[("a", "DRAINING"), ("b", "DELETED")]);
        assert_eq!(told(&mut of, &drains, update), (update, 2, "c".into()));
        // As another replica still has it: neither back, nor c gone by being left out. Nobody has said that d is
        // gone, and no list that is newer would have named it.
        let old = list(42, &[("a", "SERVING"), ("b", "SERVING"), ("d", "SERVING")]);
        assert_eq!(told(&mut of, &old, whole), (update, 1, "c d".into()));
        // Late, but news of c: the last word of it is older still.
        let late = list(42, &[("c", "DRAINING"), ("a", "SERVING")]);
        assert_eq!(told(&mut of, &late, update), (update, 1, "d".into()));
        assert_eq!(told(&mut of, &drains, update).1, 1, "said twice");
        let back = list(44, &[("a", "SERVING")]);
        assert_eq!(told(&mut of, &back, update), (update, 1, "a d".into()));
        of.count_anew();
        let other = list(7, &[("a", "DRAINING")]);
        assert_eq!(told(&mut of, &other, whole).0, whole, "another discovery's versions");
    }

    #[test]
    fn a_newcomer_that_an_older_list_alone_names_comes_in_unless_it_has_left_since() {
        let mut of = membership();
        told(&mut of, &list(10, &[("a", "SERVING")]), ListKind::Whole);
        told(&mut of, &list(14, &[("a", "SERVING")]), ListKind::Update);
        let late = |revision| list(revision, &[("b", "SERVING")]);
        assert_eq!(told(&mut of, &late(12), ListKind::Update).2, "a b");
        told(&mut of, &list(16, &[("b", "DELETED"), ("e", "DELETED")]), ListKind::Update);
        assert_eq!(told(&mut of, &late(15), ListKind::Update).2, "a", "it left at 16");
        // Of e the news that it is gone came before the news that it was there.
        assert_eq!(told(&mut of, &list(15, &[("e", "SERVING")]), ListKind::Update).2, "a");
        assert_eq!(told(&mut of, &late(17), ListKind::Update).2, "a b", "and came back");
        told(&mut of, &list(20, &[("a", "SERVING")]), ListKind::Whole);
        assert_eq!(told(&mut of, &late(19), ListKind::Update).2, "a", "left out at 20");
    }

    #[test]
    fn who_has_left_is_remembered_within_bounds_and_nobody_comes_back_by_being_forgotten() {
        let mut of = membership();
        told(&mut of, &list(1, &[("a", "SERVING")]), ListKind::Whole);
        for i in 0..3 * REMEMBERED as u64 {
            let name = format!("s-{i}");
            told(&mut of, &list(10 + 2 * i, &[(&name, "SERVING")]), ListKind::Update);
            told(&mut of, &list(11 + 2 * i, &[(&name, "DELETED")]), ListKind::Update);
        }
        assert!(of.gone.len() <= REMEMBERED && of.gone_order.len() <= REMEMBERED);
        let late = list(10, &[("s-0", "SERVING")]);
        assert_eq!(told(&mut of, &late, ListKind::Update).2, "a");
    }

    #[test]
    fn whom_operators_have_taken_out_no_list_brings_back() {
        let mut of = membership();
        let both = |revision| list(revision, &[("a", "SERVING"), ("b", "SERVING")]);
        told(&mut of, &both(1), ListKind::Whole);
        let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<BTreeSet<_>>();
        let out = of.cordon(&names(&["a", "not-listed-yet"]), Instant::now());
        assert_eq!(out.iter().map(|m| m.status).collect::<Vec<_>>(), [d::Status::Draining]);
        assert!(
            of.cordon(&names(&["a", "not-listed-yet"]), Instant::now()).is_empty(),
            "said twice"
        );
        assert_eq!(told(&mut of, &both(2), ListKind::Whole).2, "b");
        // Restarted meanwhile, gone and back, and one that comes later.
        told(&mut of, &list(3, &[("a", "DELETED")]), ListKind::Update);
        let back = list(4, &[("a", "SERVING"), ("not-listed-yet", "SERVING")]);
        assert_eq!(told(&mut of, &back, ListKind::Update).2, "b");
        assert!(of.has_named("a") && !of.has_named("c"));
        let back = of.cordon(&names(&[]), Instant::now());
        assert_eq!(back.iter().map(|m| m.status).collect::<Vec<_>>(), [d::Status::Live; 2]);
        assert_eq!(told(&mut of, &list(5, &[]), ListKind::Update).2, "a b not-listed-yet");
    }

    #[test]
    fn one_that_drains_by_the_list_drains_on_when_operators_let_it_back() {
        let mut of = membership();
        told(&mut of, &list(1, &[("a", "SERVING"), ("b", "SERVING")]), ListKind::Whole);
        let a: BTreeSet<String> = ["a".to_string()].into();
        of.cordon(&a, Instant::now());
        told(&mut of, &list(2, &[("a", "DRAINING")]), ListKind::Update);
        let back = of.cordon(&BTreeSet::new(), Instant::now());
        assert_eq!(back[0].status, d::Status::Draining);
        assert_eq!(told(&mut of, &list(3, &[]), ListKind::Update).2, "b");
    }

    /// Rules that say this, under a charter that holds only these pods.
    fn rules(said: serde_json::Value, charter: &[u32]) -> Held {
        let said = serde_json::from_value(said).expect("a document");
        let charter = Charter { pods: charter.iter().copied().collect(), ..Charter::default() };
        held(Rules::of(said, Arc::new(Floor::of(charter))), Stops::default())
    }

    fn held(rules: Rules, stops: Stops) -> Held {
        Held { rules: Arc::new(rules), stops: Arc::new(stops) }
    }

    fn in_pods(revision: u64, members: &[(&str, u32)]) -> List {
        let entry = |(id, cell): &(&str, u32)| json!({"id": id, "host_port": "127.0.0.1:1", "phase": "SERVING", "cell": cell});
        let members: Vec<_> = members.iter().map(entry).collect();
        serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
    }

    #[test]
    fn rules_lie_over_lists_and_cordons_and_what_they_put_out_gets_nothing_at_once() {
        let mut of = membership();
        of.classes = vec!["alarm".into(), "log".into()];
        let all = in_pods(1, &[("a", 1), ("b", 2), ("c", 3)]);
        of.update(&all, ListKind::Whole, Instant::now());
        let now = Instant::now();
        let nothing = rules(json!({}), &[]);
        assert!(of.rule(nothing.clone(), now).is_empty(), "they change nothing");
        let said = json!({"out": {"upstreams": ["a"]}, "kept": {"log": [2]}, "weights": {"pods": {"3": 0.5}}});
        let some = rules(said, &[]);
        let told = of.rule(some, now);
        let told: Vec<_> = told.iter().map(|m| (m.status, m.barred, m.weight)).collect();
        let (live, out) = (d::Status::Live, d::Status::Draining);
        assert_eq!(told, [(out, 0b11, 1.0), (live, 0b10, 1.0), (live, 0, 0.5)]);
        let closed = |of: &Membership, id| of.targets[&ServerId(id)].target.closed_from.get();
        assert_eq!((closed(&of, 0), closed(&of, 1)), (Some(now), None));
        // A list names all of them again, operators let nobody back.
        let again = of.update(&in_pods(2, &[("a", 1), ("b", 2)]), ListKind::Update, now);
        assert_eq!(again.members.iter().map(|m| m.status).collect::<Vec<_>>(), [out, live]);
        of.cordon(&["c".to_string()].into(), now);
        let back = of.rule(nothing, now);
        assert_eq!(
            back.iter().map(|m| m.status).collect::<Vec<_>>(),
            [live, live, out],
            "c is cordoned"
        );
        assert_eq!(closed(&of, 0), None);
    }

    #[test]
    fn peers_words_stop_and_an_old_list_leaves_the_charter_s_upstreams_if_there_are_any() {
        let mut of = membership();
        of.classes = vec!["alarm".into()];
        of.update(&in_pods(1, &[("a", 1), ("b", 2), ("c", 3)]), ListKind::Whole, Instant::now());
        let open = |of: &mut Membership, charter: &[u32], names: &[&str], old| {
            let names = names.iter().map(|n| n.to_string()).collect();
            let rules = Rules::clone(&rules(json!({}), charter).rules);
            of.rule(held(rules, Stops { names, old }), Instant::now());
            let open = |id: &ServerId| of.targets[id].target.closed_from.get().is_none();
            let mut open: Vec<&str> =
                of.ids.iter().filter(|(_, id)| open(id)).map(|(n, _)| &**n).collect();
            open.sort_unstable();
            open.concat()
        };
        assert_eq!(open(&mut of, &[2], &["a"], false), "bc");
        assert_eq!(open(&mut of, &[2], &[], true), "b");
        assert_eq!(open(&mut of, &[9], &[], true), "abc", "refusing everything costs everything");
        assert_eq!(open(&mut of, &[9], &[], false), "abc", "it comes back");
    }

    #[test]
    fn past_the_lease_only_the_charter_s_pods_are_left() {
        let mut of = membership();
        of.classes = vec!["alarm".into()];
        of.update(&in_pods(1, &[("a", 1), ("b", 2)]), ListKind::Whole, Instant::now());
        let charter = Charter { pods: [2].into(), ..Charter::default() };
        let told = of.rule(held(Rules::of_charter(&charter), Stops::default()), Instant::now());
        assert_eq!(told.len(), 1);
        assert_eq!((told[0].id, told[0].status), (ServerId(0), d::Status::Draining));
        let placed = of.placed(ServerId(1), 0).expect("known");
        assert!(placed.permitted(&held(Rules::of_charter(&charter), Stops::default())));
        let stops = Stops { names: ["b".to_string()].into(), old: false };
        assert!(
            !placed.permitted(&held(Rules::of_charter(&charter), stops)),
            "a peer says that it drains"
        );
        let nowhere = held(Rules::of_charter(&Charter::default()), Stops::default());
        assert!(!placed.permitted(&nowhere));
    }

    #[test]
    fn what_an_attempt_still_looks_at_is_kept_and_stays_closed() {
        let mut of = membership();
        let named = list(1, &[("a", "SERVING")]);
        let id = of.update(&named, ListKind::Whole, Instant::now()).members[0].id;
        let out = of.target(id).expect("known");
        of.update(&list(2, &[]), ListKind::Whole, Instant::now());
        of.forget();
        assert!(out.closed_from.get().is_some() && of.target(id).is_some());
        drop(out);
        of.forget();
        assert!(of.target(id).is_none() && of.ids.is_empty());
    }
}
