//! Ranks classes by priority weight per unit of work, and finds the shortest wait that any class
//! tolerates.
//!
//! A refresh costs one search for each class whose mean latency changed. This module makes no
//! decisions.

/// Values in ascending order, without NaN.
#[derive(Debug, Default)]
struct Sorted {
    values: Vec<f64>,
}

impl Sorted {
    fn position(&self, value: f64) -> usize {
        self.values.partition_point(|v| v.total_cmp(&value).is_lt())
    }

    fn insert(&mut self, value: f64) {
        if !value.is_nan() {
            let at = self.position(value);
            self.values.insert(at, value);
        }
    }

    fn remove(&mut self, value: f64) {
        let at = self.position(value);
        if self.values.get(at).is_some_and(|v| v.total_cmp(&value).is_eq()) {
            self.values.remove(at);
        }
    }

    fn replace_all(&mut self, values: impl Iterator<Item = f64>) {
        self.values.clear();
        self.values.extend(values.filter(|v| !v.is_nan()));
        self.values.sort_unstable_by(f64::total_cmp);
    }

    /// Returns how many values are less than `value`.
    fn count_below(&self, value: f64) -> usize {
        self.values.partition_point(|v| *v < value)
    }
}

/// The quantities by which one class is ranked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassFigures {
    /// Priority weight per microsecond of mean latency.
    pub(crate) priority: f64,
    /// The longest wait that the class tolerates, in microseconds.
    pub(crate) tolerable_wait: f64,
}

/// The ranked quantities of all classes as of the last refresh, and their orders.
#[derive(Debug)]
pub(crate) struct Ranks {
    classes: Vec<ClassFigures>,
    priorities: Sorted,
    tolerable_waits: Sorted,
    /// Classes whose quantities have changed since the last refresh, each once.
    changed: Vec<usize>,
    is_changed: Vec<bool>,
    /// Shares of the tolerable wait by class that apply until the next refresh: initial ones, or
    /// those restored from a previous process.
    restored_wait_shares: Vec<f64>,
}

/// If more than this share of the classes has changed, all classes are sorted again.
const MANY_CHANGED: f64 = 0.125;

impl Ranks {
    /// Creates ranks in which all classes count as changed. Until the first refresh, each class may
    /// use `wait_share` of the tolerable wait.
    pub(crate) fn new(classes: usize, wait_share: f64) -> Self {
        Self {
            classes: vec![ClassFigures { priority: f64::NAN, tolerable_wait: f64::NAN }; classes],
            priorities: Sorted::default(),
            tolerable_waits: Sorted::default(),
            changed: (0..classes).collect(),
            is_changed: vec![true; classes],
            restored_wait_shares: vec![wait_share; classes],
        }
    }

    /// Marks a class whose quantities have changed.
    pub(crate) fn change(&mut self, class: usize) {
        if !std::mem::replace(&mut self.is_changed[class], true) {
            self.changed.push(class);
        }
    }

    /// Restores the wait shares of all classes. They apply until the next refresh, which recomputes
    /// all classes.
    pub(crate) fn restore_wait_shares(&mut self, shares: Vec<f64>) {
        self.restored_wait_shares = shares;
        (0..self.classes.len()).for_each(|class| self.change(class));
    }

    /// Returns the restored wait share of a class; `None` after the next refresh.
    pub(crate) fn restored_wait_share(&self, class: usize) -> Option<f64> {
        self.restored_wait_shares.get(class).copied()
    }

    /// Updates the ranks with the figures of the classes that have changed.
    pub(crate) fn refresh(&mut self, figures: impl Fn(usize) -> ClassFigures) {
        self.restored_wait_shares = Vec::new();
        let changed = std::mem::take(&mut self.changed);
        let many = changed.len() as f64 > MANY_CHANGED * self.classes.len() as f64;
        for &class in &changed {
            self.is_changed[class] = false;
            let previous = std::mem::replace(&mut self.classes[class], figures(class));
            if !many {
                self.priorities.remove(previous.priority);
                self.priorities.insert(self.classes[class].priority);
                self.tolerable_waits.remove(previous.tolerable_wait);
                self.tolerable_waits.insert(self.classes[class].tolerable_wait);
            }
        }
        if many {
            self.priorities.replace_all(self.classes.iter().map(|c| c.priority));
            self.tolerable_waits.replace_all(self.classes.iter().map(|c| c.tolerable_wait));
        }
        self.changed = changed;
        self.changed.clear();
    }

    /// Returns the shortest of the waits that the classes tolerate, in microseconds.
    pub(crate) fn shortest_tolerable_wait(&self) -> f64 {
        self.tolerable_waits.values.first().map_or(f64::MAX, |least| least.min(f64::MAX))
    }

    /// Returns the share of the other classes that have less priority weight per unit of work; 1 if
    /// there is no other class.
    pub(crate) fn rank(&self, class: usize) -> f64 {
        if self.classes.len() == 1 {
            return 1.0;
        }
        let below = self.priorities.count_below(self.classes[class].priority);
        below as f64 / (self.classes.len() - 1) as f64
    }
}

#[cfg(test)]
mod tests;
