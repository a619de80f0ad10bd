//! Between the list and the module: where a subset is asked for, the module hears of that part of the fleet only.

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status, Time};
use hollowpaddle_subset::{Bank, Cell, Size, SizeError, Subset};
use rustc_hash::{FxHashMap, FxHashSet};

/// The fleet as listed, and what of it the module has been told.
pub struct Subsetting {
    subset: Subset,
    all: FxHashMap<ServerId, Member>,
    shown: FxHashSet<ServerId>,
    balancers: u32,
}

fn cell(m: &Member) -> Cell {
    Cell { zone: m.zone, cell: m.cell }
}

impl Subsetting {
    /// Nobody is listed yet.
    ///
    /// # Errors
    /// The size can't be.
    pub fn new(size: Size, bank: Bank) -> Result<Self, SizeError> {
        let balancers = bank.balancers;
        let subset = Subset::new(size, bank)?;
        Ok(Self { subset, all: FxHashMap::default(), shown: FxHashSet::default(), balancers })
    }

    /// How many balancers of the bank share each upstream that the module knows.
    pub fn sharers(&self) -> f64 {
        let share = self.shown.len() as f64 / self.all.len().max(1) as f64;
        f64::from(self.balancers) * share.min(1.0)
    }

    /// Takes in what a list tells, and says what the module is to be told of it. A drain or a removal is told of
    /// whoever the module knows, in the subset or not.
    pub fn listed(&mut self, now: Time, kind: ListKind, members: &[Member]) -> Vec<Member> {
        if kind == ListKind::Unavailable {
            return Vec::new();
        }
        if !kind.is_part() {
            self.all.clear();
        }
        for m in members {
            match m.status {
                Status::Gone => self.all.remove(&m.id),
                Status::Live | Status::Draining => self.all.insert(m.id, *m),
            };
        }
        let live = self.all.values().filter(|m| m.status == Status::Live).map(cell);
        let moved = self.subset.listed(now.0, live);
        let mut told: Vec<Member> = members.to_vec();
        told.retain(|m| self.subset.holds(cell(m)) || self.shown.contains(&m.id));
        if kind.is_part() {
            if moved {
                // Whoever the change of the subset concerns is named by it, and once. Failure: a newcomer was named
                // both as listed and as come into the subset.
                let more = self.moved();
                let named: FxHashSet<ServerId> = more.iter().map(|m| m.id).collect();
                told.retain(|m| !named.contains(&m.id));
                told.extend(more);
            }
        } else {
            // The whole list, as the module is to have it: the rest is gone by being left out.
            told.retain(|m| self.subset.holds(cell(m)));
            self.shown.clear();
        }
        self.show(&told);
        told
    }

    /// Lets what has lingered go: what the module is to be told, if anything.
    pub fn passed(&mut self, now: Time) -> Vec<Member> {
        if !self.subset.passed(now.0) {
            return Vec::new();
        }
        let told = self.moved();
        self.show(&told);
        told
    }

    /// How many upstreams the module has, and how many of them it could send to.
    pub fn seen(&mut self, now: Time, all: usize, well: usize) -> Vec<Member> {
        if !self.subset.seen(now.0, all, well) {
            return Vec::new();
        }
        let told = self.moved();
        self.show(&told);
        told
    }

    /// Who has come into the subset, and who has left it and is gone as far as the module is concerned.
    fn moved(&self) -> Vec<Member> {
        let news = |m: &Member| match (self.subset.holds(cell(m)), self.shown.contains(&m.id)) {
            (true, false) => Some(*m),
            (false, true) => Some(Member { status: Status::Gone, ..*m }),
            _ => None,
        };
        let mut news: Vec<Member> = self.all.values().filter_map(news).collect();
        news.sort_unstable_by_key(|m| m.id);
        news
    }

    fn show(&mut self, told: &[Member]) {
        for m in told {
            if m.status == Status::Gone {
                self.shown.remove(&m.id)
            } else {
                self.shown.insert(m.id)
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(n: u32) -> Vec<Member> {
        let of = |i: u32| Member { cell: i / 8, ..Member::live(ServerId(i)) };
        (0..n).map(of).collect()
    }

    fn subsetting() -> Subsetting {
        let size = Size { times: 1.0, least: 16, linger: 1000, well: 0.5 };
        Subsetting::new(size, Bank { balancers: 10, position: 0 }).expect("a size")
    }

    /// What the module has after it was told.
    fn apply(has: &mut FxHashMap<ServerId, Status>, kind: ListKind, told: &[Member]) {
        if kind != ListKind::Update {
            has.clear();
        }
        for m in told {
            match m.status {
                Status::Gone => assert!(has.remove(&m.id).is_some(), "gone, and never there"),
                status => drop(has.insert(m.id, status)),
            }
        }
    }

    #[test]
    fn the_module_has_whole_cells_and_hears_of_every_drain_among_them() {
        let (mut of, mut has) = (subsetting(), FxHashMap::default());
        let mut all = fleet(400);
        apply(&mut has, ListKind::Whole, &of.listed(Time(0), ListKind::Whole, &all));
        assert_eq!(has.len(), 40);
        assert_eq!(of.sharers(), 1.0, "a tenth of the fleet each, of ten balancers");
        let cells: FxHashSet<u32> = has.keys().map(|id| id.0 / 8).collect();
        assert_eq!(cells.len(), 5, "whole cells");
        let outside =
            all.iter().find(|m| !has.contains_key(&m.id)).expect("most are").id.0 as usize;
        let inside = has.keys().next().expect("some are").0 as usize;
        for i in [outside, inside] {
            all[i].status = Status::Draining;
            apply(
                &mut has,
                ListKind::Update,
                &of.listed(Time(1), ListKind::Update, &all[i..i + 1]),
            );
        }
        assert_eq!(has.get(&all[inside].id), Some(&Status::Draining));
        assert!(!has.contains_key(&all[outside].id));
    }

    #[test]
    fn what_leaves_the_subset_is_gone_for_the_module_once_it_has_lingered() {
        let (mut of, mut has) = (subsetting(), FxHashMap::default());
        let all = fleet(400);
        apply(&mut has, ListKind::Whole, &of.listed(Time(0), ListKind::Whole, &all));
        let before: Vec<ServerId> = has.keys().copied().collect();
        // Three cells of the five are deleted: others take their part at once.
        let mut gone: Vec<Member> =
            all.iter().filter(|m| has.contains_key(&m.id)).copied().collect();
        gone.truncate(24);
        gone.iter_mut().for_each(|m| m.status = Status::Gone);
        apply(&mut has, ListKind::Update, &of.listed(Time(1), ListKind::Update, &gone));
        assert!(has.len() >= 36, "{} left", has.len());
        // They come back: the ones that stood in for them linger.
        gone.iter_mut().for_each(|m| m.status = Status::Live);
        apply(&mut has, ListKind::Update, &of.listed(Time(2), ListKind::Update, &gone));
        assert!(has.len() > 40);
        apply(&mut has, ListKind::Update, &of.passed(Time(1500)));
        let mut after: Vec<ServerId> = has.keys().copied().collect();
        let mut before = before;
        before.sort_unstable();
        after.sort_unstable();
        assert_eq!(after, before);
    }

    #[test]
    fn nobody_is_named_twice_when_the_subset_changes_with_the_list() {
        let (mut of, mut has) = (subsetting(), FxHashMap::default());
        let all = fleet(80);
        apply(&mut has, ListKind::Whole, &of.listed(Time(0), ListKind::Whole, &all));
        // Ten times as many come, and the subset grows with them.
        let more: Vec<Member> = fleet(800).split_off(80);
        let told = of.listed(Time(1), ListKind::Update, &more);
        let named: FxHashSet<ServerId> = told.iter().map(|m| m.id).collect();
        assert!(named.len() > 8, "{} named", named.len());
        assert_eq!(named.len(), told.len(), "somebody is named twice");
        apply(&mut has, ListKind::Update, &told);
        // And leave again, with some of whom the module knows.
        let gone: Vec<Member> =
            more.iter().map(|m| Member { status: Status::Gone, ..*m }).collect();
        let told = of.listed(Time(2), ListKind::Update, &gone);
        let named: FxHashSet<ServerId> = told.iter().map(|m| m.id).collect();
        assert_eq!(named.len(), told.len(), "somebody is named twice");
        apply(&mut has, ListKind::Update, &told);
        assert!(has.keys().all(|id| id.0 < 80));
    }

    #[test]
    fn a_subset_that_is_silent_is_widened() {
        let (mut of, mut has) = (subsetting(), FxHashMap::default());
        apply(&mut has, ListKind::Whole, &of.listed(Time(0), ListKind::Whole, &fleet(400)));
        apply(&mut has, ListKind::Update, &of.seen(Time(1), 40, 3));
        assert_eq!(has.len(), 80);
    }
}
