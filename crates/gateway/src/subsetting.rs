//! Between the list and the module: where a subset is asked for, the module hears of that part of the fleet only.
//!
//! Of the rest only the cells are kept. Who joins the subset is looked up where the list is kept whole, by `last`.

use std::collections::BTreeMap;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status, Time};
use hollowpaddle_subset::{Cell, Cluster, Size, SizeError, Subset};
use rustc_hash::{FxHashMap, FxHashSet};

/// The fleet as listed, and what of it the module has been told.
pub struct Subsetting {
    subset: Subset,
    all: FxHashMap<ServerId, Position>,
    /// Upstreams of each cell that can be sent to.
    live: BTreeMap<Cell, usize>,
    shown: FxHashSet<ServerId>,
    balancers: u32,
}

/// What the subset goes by.
#[derive(Clone, Copy, PartialEq)]
struct Position {
    cell: Cell,
    is_live: bool,
}

fn cell(m: &Member) -> Cell {
    Cell { zone: m.zone, cell: m.cell }
}

impl Subsetting {
    /// Nobody is listed yet.
    ///
    /// # Errors
    /// The size can't be.
    pub fn new(size: Size, cluster: Cluster) -> Result<Self, SizeError> {
        let balancers = cluster.balancers;
        let subset = Subset::new(size, cluster)?;
        Ok(Self {
            subset,
            all: FxHashMap::default(),
            live: BTreeMap::new(),
            shown: FxHashSet::default(),
            balancers,
        })
    }

    /// How many balancers of the bank share each upstream that the module knows.
    pub fn sharers(&self) -> f64 {
        let share = self.shown.len() as f64 / self.all.len().max(1) as f64;
        f64::from(self.balancers) * share.min(1.0)
    }

    /// Takes in what a list tells, and says what the module is to be told of it. A drain or a removal is told of
    /// whoever the module knows, in the subset or not. `last` finds a member as last listed.
    pub fn listed(
        &mut self,
        now: Time,
        kind: ListKind,
        members: &[Member],
        last: impl Fn(ServerId) -> Option<Member>,
    ) -> Vec<Member> {
        if kind == ListKind::Unavailable {
            return Vec::new();
        }
        let mut is_changed = false;
        if !kind.is_part() {
            is_changed = true;
            self.all.clear();
            self.live.clear();
        }
        for m in members {
            is_changed |= self.place(m);
        }
        let moved = if is_changed { self.draw(now) } else { self.subset.passed(now.0) };
        let concerns = |m: &&Member| self.subset.holds(cell(m)) || self.shown.contains(&m.id);
        let mut told: Vec<Member> = members.iter().filter(concerns).copied().collect();
        if kind.is_part() {
            if moved {
                // Whoever the change of the subset concerns is named by it, and once. Failure: a newcomer was named
                // both as listed and as come into the subset.
                let more = self.moved(last);
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
    pub fn passed(&mut self, now: Time, last: impl Fn(ServerId) -> Option<Member>) -> Vec<Member> {
        if !self.subset.passed(now.0) {
            return Vec::new();
        }
        let told = self.moved(last);
        self.show(&told);
        told
    }

    /// How many upstreams the module has, and how many of them it could send to.
    pub fn seen(
        &mut self,
        now: Time,
        all: usize,
        well: usize,
        last: impl Fn(ServerId) -> Option<Member>,
    ) -> Vec<Member> {
        if !self.subset.seen(now.0, all, well) {
            return Vec::new();
        }
        let told = self.moved(last);
        self.show(&told);
        told
    }

    /// Notes where a member stands. Tells whether that changes what the subset is drawn from.
    fn place(&mut self, member: &Member) -> bool {
        let position = Position { cell: cell(member), is_live: member.status == Status::Live };
        let before = match member.status {
            Status::Gone => self.all.remove(&member.id),
            Status::Live | Status::Draining => self.all.insert(member.id, position),
        };
        let before = before.filter(|p| p.is_live).map(|p| p.cell);
        let after = position.is_live.then_some(position.cell);
        if before == after {
            return false;
        }
        if let Some(cell) = before
            && let Some(count) = self.live.get_mut(&cell)
        {
            *count -= 1;
            if *count == 0 {
                self.live.remove(&cell);
            }
        }
        if let Some(cell) = after {
            *self.live.entry(cell).or_default() += 1;
        }
        true
    }

    /// Draws the subset anew. Tells whether it changed.
    fn draw(&mut self, now: Time) -> bool {
        let cells = self.live.iter();
        self.subset.listed(now.0, cells.flat_map(|(cell, live)| std::iter::repeat_n(*cell, *live)))
    }

    /// Who has come into the subset, and who has left it and is gone as far as the module is concerned.
    fn moved(&self, last: impl Fn(ServerId) -> Option<Member>) -> Vec<Member> {
        let mut news = Vec::new();
        for (id, position) in &self.all {
            let is_shown = self.shown.contains(id);
            if self.subset.holds(position.cell) == is_shown {
                continue;
            }
            let member = match last(*id) {
                Some(member) => member,
                None if is_shown => Member::live(*id),
                None => continue,
            };
            let status = if is_shown { Status::Gone } else { member.status };
            news.push(Member { status, ..member });
        }
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
mod tests;
