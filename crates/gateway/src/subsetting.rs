//! Restricts the decision module to a subset of the fleet, where one is configured. Which cells are in the subset is left to
//! `hollowpaddle_subset`.
//!
//! Of the rest only the cells are retained. An upstream that joins the subset is looked up in the complete list, by
//! `last_listed`.

use std::collections::BTreeMap;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status, Time};
use hollowpaddle_subset::{Cell, Cluster, Size, SizeError, Subset};
use rustc_hash::{FxHashMap, FxHashSet};

/// The fleet as listed, and the part of it that the decision module knows.
pub struct Subsetting {
    subset: Subset,
    fleet: FxHashMap<ServerId, Position>,
    /// Upstreams of each cell that can be sent to.
    live: BTreeMap<Cell, usize>,
    /// The upstreams that the decision module knows.
    published: FxHashSet<ServerId>,
    balancers: u32,
}

/// What the subset depends on.
#[derive(Clone, Copy, PartialEq)]
struct Position {
    cell: Cell,
    is_live: bool,
}

fn cell(m: &Member) -> Cell {
    Cell { zone: m.zone, cell: m.cell }
}

impl Subsetting {
    /// An empty fleet.
    ///
    /// # Errors
    /// The size can't be used.
    pub fn new(size: Size, cluster: Cluster) -> Result<Self, SizeError> {
        let balancers = cluster.balancers;
        let subset = Subset::new(size, cluster)?;
        Ok(Self {
            subset,
            fleet: FxHashMap::default(),
            live: BTreeMap::new(),
            published: FxHashSet::default(),
            balancers,
        })
    }

    /// How many balancers of the cluster share each upstream that the decision module knows.
    pub fn sharers(&self) -> f64 {
        let share = self.published.len() as f64 / self.fleet.len().max(1) as f64;
        f64::from(self.balancers) * share.min(1.0)
    }

    /// Applies a list. Returns what the decision module is to be told of it: drains and removals of all upstreams that it
    /// knows, and everything of those in the subset. `last_listed` finds a member as last listed.
    pub fn apply_list(
        &mut self,
        now: Time,
        kind: ListKind,
        members: &[Member],
        last_listed: impl Fn(ServerId) -> Option<Member>,
    ) -> Vec<Member> {
        if kind == ListKind::Unavailable {
            return Vec::new();
        }
        let mut is_changed = false;
        if !kind.is_part() {
            is_changed = true;
            self.fleet.clear();
            self.live.clear();
        }
        for member in members {
            is_changed |= self.update_member(member);
        }
        let has_moved = if is_changed { self.recompute(now) } else { self.subset.expire(now.0) };
        let concerns =
            |m: &&Member| self.subset.contains(cell(m)) || self.published.contains(&m.id);
        let mut changes: Vec<Member> = members.iter().filter(concerns).copied().collect();
        if kind.is_part() {
            if has_moved {
                // A member that the change of the subset concerns must not be named twice.
                let joined_or_left = self.subset_changes(last_listed);
                let named: FxHashSet<ServerId> = joined_or_left.iter().map(|m| m.id).collect();
                changes.retain(|m| !named.contains(&m.id));
                changes.extend(joined_or_left);
            }
        } else {
            // A complete list: what it leaves out is gone.
            changes.retain(|m| self.subset.contains(cell(m)));
            self.published.clear();
        }
        self.mark_published(&changes);
        changes
    }

    /// Removes what has left the subset and has lingered. Returns what the decision module is to be told.
    pub fn expire(
        &mut self,
        now: Time,
        last_listed: impl Fn(ServerId) -> Option<Member>,
    ) -> Vec<Member> {
        if !self.subset.expire(now.0) {
            return Vec::new();
        }
        let changes = self.subset_changes(last_listed);
        self.mark_published(&changes);
        changes
    }

    /// Widens the subset while too few of its upstreams can be sent to: `healthy` of `all`. Returns what the decision module
    /// is to be told.
    pub fn set_health(
        &mut self,
        now: Time,
        all: usize,
        healthy: usize,
        last_listed: impl Fn(ServerId) -> Option<Member>,
    ) -> Vec<Member> {
        if !self.subset.set_health(now.0, all, healthy) {
            return Vec::new();
        }
        let changes = self.subset_changes(last_listed);
        self.mark_published(&changes);
        changes
    }

    /// Notes a member. Returns whether that changes what the subset is computed from.
    fn update_member(&mut self, member: &Member) -> bool {
        let position = Position { cell: cell(member), is_live: member.status == Status::Live };
        let before = match member.status {
            Status::Gone => self.fleet.remove(&member.id),
            Status::Live | Status::Draining => self.fleet.insert(member.id, position),
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

    /// Computes the subset anew. Returns whether it changed.
    fn recompute(&mut self, now: Time) -> bool {
        let cells = self.live.iter();
        self.subset
            .set_fleet(now.0, cells.flat_map(|(cell, live)| std::iter::repeat_n(*cell, *live)))
    }

    /// Members that have joined the subset, and those that have left it, which are gone for the decision module.
    fn subset_changes(&self, last_listed: impl Fn(ServerId) -> Option<Member>) -> Vec<Member> {
        let mut changes = Vec::new();
        for (id, position) in &self.fleet {
            let is_published = self.published.contains(id);
            if self.subset.contains(position.cell) == is_published {
                continue;
            }
            let member = match last_listed(*id) {
                Some(member) => member,
                None if is_published => Member::live(*id),
                None => continue,
            };
            let status = if is_published { Status::Gone } else { member.status };
            changes.push(Member { status, ..member });
        }
        changes.sort_unstable_by_key(|m| m.id);
        changes
    }

    fn mark_published(&mut self, changes: &[Member]) {
        for member in changes {
            if member.status == Status::Gone {
                self.published.remove(&member.id)
            } else {
                self.published.insert(member.id)
            };
        }
    }
}

#[cfg(test)]
mod tests;
