//! Ranks classes by their priority for their work, and keeps the shortest wait that any class
//! tolerates.
//!
//! Costs a search for each class whose mean latency changed. Decides nothing.

/// Figures in ascending order, without those that are not numbers.
#[derive(Debug, Default)]
struct Sorted {
    figures: Vec<f64>,
}

impl Sorted {
    fn position(&self, figure: f64) -> usize {
        self.figures.partition_point(|f| f.total_cmp(&figure).is_lt())
    }

    fn insert(&mut self, figure: f64) {
        if !figure.is_nan() {
            let at = self.position(figure);
            self.figures.insert(at, figure);
        }
    }

    fn remove(&mut self, figure: f64) {
        let at = self.position(figure);
        if self.figures.get(at).is_some_and(|f| f.total_cmp(&figure).is_eq()) {
            self.figures.remove(at);
        }
    }

    fn replace_all(&mut self, figures: impl Iterator<Item = f64>) {
        self.figures.clear();
        self.figures.extend(figures.filter(|f| !f.is_nan()));
        self.figures.sort_unstable_by(f64::total_cmp);
    }

    /// How many figures are less than `figure`.
    fn below(&self, figure: f64) -> usize {
        self.figures.partition_point(|f| *f < figure)
    }
}

/// The figures of one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Figures {
    /// Its priority weight per microsecond of mean latency.
    pub(crate) value: f64,
    /// The longest wait that it tolerates, in microseconds.
    pub(crate) bearable: f64,
}

/// The figures of all classes as of the last refresh, and their orders.
#[derive(Debug)]
pub(crate) struct Ranks {
    classes: Vec<Figures>,
    values: Sorted,
    bearable: Sorted,
    /// Classes whose figures have changed since the last refresh, each once.
    changed: Vec<usize>,
    is_changed: Vec<bool>,
    /// Parts of the tolerable wait by class, restored from a previous process; used until the next
    /// refresh.
    restored_part: Vec<f64>,
}

/// If more than this share of the classes has changed, all are sorted anew.
const MANY_CHANGED: f64 = 0.125;

impl Ranks {
    /// All classes count as changed. Until the first refresh, each may use `part` of the tolerable
    /// wait.
    pub(crate) fn new(classes: usize, part: f64) -> Self {
        Self {
            classes: vec![Figures { value: f64::NAN, bearable: f64::NAN }; classes],
            values: Sorted::default(),
            bearable: Sorted::default(),
            changed: (0..classes).collect(),
            is_changed: vec![true; classes],
            restored_part: vec![part; classes],
        }
    }

    /// Marks a class whose figures have changed.
    pub(crate) fn change(&mut self, class: usize) {
        if !std::mem::replace(&mut self.is_changed[class], true) {
            self.changed.push(class);
        }
    }

    /// Restores the parts of all classes until the next refresh, which takes in all classes anew.
    pub(crate) fn restore_parts(&mut self, parts: Vec<f64>) {
        self.restored_part = parts;
        (0..self.classes.len()).for_each(|class| self.change(class));
    }

    /// The restored part of a class, until the next refresh.
    pub(crate) fn restored_part(&self, class: usize) -> Option<f64> {
        self.restored_part.get(class).copied()
    }

    /// Takes in the figures of the classes that have changed.
    pub(crate) fn refresh(&mut self, figures: impl Fn(usize) -> Figures) {
        self.restored_part = Vec::new();
        let changed = std::mem::take(&mut self.changed);
        let many = changed.len() as f64 > MANY_CHANGED * self.classes.len() as f64;
        for &class in &changed {
            self.is_changed[class] = false;
            let was = std::mem::replace(&mut self.classes[class], figures(class));
            if !many {
                self.values.remove(was.value);
                self.values.insert(self.classes[class].value);
                self.bearable.remove(was.bearable);
                self.bearable.insert(self.classes[class].bearable);
            }
        }
        if many {
            self.values.replace_all(self.classes.iter().map(|c| c.value));
            self.bearable.replace_all(self.classes.iter().map(|c| c.bearable));
        }
        self.changed = changed;
        self.changed.clear();
    }

    /// The shortest of the waits that classes tolerate, in microseconds.
    pub(crate) fn least_bearable(&self) -> f64 {
        self.bearable.figures.first().map_or(f64::MAX, |least| least.min(f64::MAX))
    }

    /// The share of the other classes that have less priority for their work; 1 where there is no
    /// other.
    pub(crate) fn rank(&self, class: usize) -> f64 {
        if self.classes.len() == 1 {
            return 1.0;
        }
        let below = self.values.below(self.classes[class].value);
        below as f64 / (self.classes.len() - 1) as f64
    }
}

#[cfg(test)]
mod tests;
