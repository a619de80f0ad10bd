//! Restricts the decision module to a subset of the upstreams, if the configuration has one. The package
//! `hollowpaddle_subset` chooses the cells of the subset.
//!
//! For upstreams outside of the subset only the cell and whether they are live are retained. An upstream that joins the
//! subset is looked up in the complete list with the callback `last_listed`.

use std::collections::BTreeMap;

use hollowpaddle_policy::interface::{ListKind, Member, ServerId, Status, Time};
use hollowpaddle_subset::{Cell, Cluster, Size, SizeError, Subset};
use rustc_hash::{FxHashMap, FxHashSet};

/// The listed upstreams, and the subset of them that the decision module knows.
pub struct Subsetting {
    subset: Subset,
    upstreams: FxHashMap<ServerId, Placement>,
    /// Number of live upstreams of each cell.
    live: BTreeMap<Cell, usize>,
    /// The upstreams that the decision module knows.
    published: FxHashSet<ServerId>,
    balancers: u32,
}

/// The properties of an upstream that the subset depends on.
#[derive(Clone, Copy, PartialEq)]
struct Placement {
    cell: Cell,
    is_live: bool,
}

fn cell(m: &Member) -> Cell {
    Cell { zone: m.zone, cell: m.cell }
}

impl Subsetting {
    /// Creates the state without upstreams.
    ///
    /// # Errors
    /// Returns an error if the size is invalid.
    pub fn new(size: Size, cluster: Cluster) -> Result<Self, SizeError> {
        let balancers = cluster.balancers;
        let subset = Subset::new(size, cluster)?;
        Ok(Self {
            subset,
            upstreams: FxHashMap::default(),
            live: BTreeMap::new(),
            published: FxHashSet::default(),
            balancers,
        })
    }

    /// Returns the average number of balancers that share each upstream that the decision module knows.
    pub fn balancers_per_upstream(&self) -> f64 {
        let share = self.published.len() as f64 / self.upstreams.len().max(1) as f64;
        f64::from(self.balancers) * share.min(1.0)
    }

    /// Applies a list. Returns the changes for the decision module: all changes of upstreams in the subset, and drains and
    /// removals of all other upstreams that the decision module knows. `last_listed` returns the last listed state of an
    /// upstream.
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
            self.upstreams.clear();
            self.live.clear();
        }
        for member in members {
            is_changed |= self.update_member(member);
        }
        let has_subset_changed =
            if is_changed { self.recompute(now) } else { self.subset.expire(now.0) };
        let is_relevant =
            |m: &&Member| self.subset.contains(cell(m)) || self.published.contains(&m.id);
        let mut changes: Vec<Member> = members.iter().filter(is_relevant).copied().collect();
        if kind.is_part() {
            if has_subset_changed {
                // A member that joins or leaves the subset must not be in the changes twice.
                let joined_and_left = self.subset_changes(last_listed);
                let named: FxHashSet<ServerId> = joined_and_left.iter().map(|m| m.id).collect();
                changes.retain(|m| !named.contains(&m.id));
                changes.extend(joined_and_left);
            }
        } else {
            // Upstreams that are missing from a complete list are gone.
            changes.retain(|m| self.subset.contains(cell(m)));
            self.published.clear();
        }
        self.mark_published(&changes);
        changes
    }

    /// Removes the upstreams that left the subset and whose linger time is over. Returns the changes for the decision
    /// module.
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

    /// Widens the subset while too few of its upstreams are healthy: `healthy` of `all`. Returns the changes for the
    /// decision module.
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

    /// Updates the state of a member. Returns whether the inputs of the subset have changed.
    fn update_member(&mut self, member: &Member) -> bool {
        let placement = Placement { cell: cell(member), is_live: member.status == Status::Live };
        let before = match member.status {
            Status::Gone => self.upstreams.remove(&member.id),
            Status::Live | Status::Draining => self.upstreams.insert(member.id, placement),
        };
        let before = before.filter(|p| p.is_live).map(|p| p.cell);
        let after = placement.is_live.then_some(placement.cell);
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

    /// Recomputes the subset. Returns whether it changed.
    fn recompute(&mut self, now: Time) -> bool {
        let cells = self.live.iter();
        self.subset
            .set_fleet(now.0, cells.flat_map(|(cell, live)| std::iter::repeat_n(*cell, *live)))
    }

    /// Returns the members that have joined the subset, and the members that have left it with the status `Gone`.
    fn subset_changes(&self, last_listed: impl Fn(ServerId) -> Option<Member>) -> Vec<Member> {
        let mut changes = Vec::new();
        for (id, placement) in &self.upstreams {
            let is_published = self.published.contains(id);
            if self.subset.contains(placement.cell) == is_published {
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
