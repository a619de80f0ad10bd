//! Where each class stands among all by its worth for its work, and the shortest wait that any class can bear, kept as
//! means change. Costs a search for each class whose mean changed; decides nothing.

/// Figures in ascending order; what is not a number is left out.
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

    /// How many are less.
    fn below(&self, figure: f64) -> usize {
        self.figures.partition_point(|f| *f < figure)
    }
}

/// What one class adds to the orders, as of the last refresh.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Figures {
    /// Worth for its work.
    pub(crate) value: f64,
    /// The longest wait that it can bear, in microseconds.
    pub(crate) bearable: f64,
}

/// The classes in order.
#[derive(Debug)]
pub(crate) struct Ranks {
    classes: Vec<Figures>,
    values: Sorted,
    bearable: Sorted,
    /// Classes whose figures have changed since the last refresh, each once.
    changed: Vec<usize>,
    is_changed: Vec<bool>,
    /// Parts that were set from outside, and hold until the next refresh.
    restored_part: Vec<f64>,
}

/// Where more than this share of the classes has changed, all are sorted anew.
const MANY: f64 = 0.125;

impl Ranks {
    /// All classes count as changed; until the first refresh each one's part is `part`.
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

    /// The figures of a class will differ at the next refresh.
    pub(crate) fn change(&mut self, class: usize) {
        if !std::mem::replace(&mut self.is_changed[class], true) {
            self.changed.push(class);
        }
    }

    /// Sets all parts until the next refresh, which takes in all classes anew.
    pub(crate) fn restore_parts(&mut self, parts: Vec<f64>) {
        self.restored_part = parts;
        (0..self.classes.len()).for_each(|class| self.change(class));
    }

    /// The part of a class that was set from outside, if it still holds.
    pub(crate) fn restored_part(&self, class: usize) -> Option<f64> {
        self.restored_part.get(class).copied()
    }

    /// Takes in the figures of the classes that have changed.
    pub(crate) fn refresh(&mut self, figures: impl Fn(usize) -> Figures) {
        self.restored_part = Vec::new();
        let changed = std::mem::take(&mut self.changed);
        let many = changed.len() as f64 > MANY * self.classes.len() as f64;
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

    /// The shortest wait that any class can bear, in microseconds.
    pub(crate) fn least_bearable(&self) -> f64 {
        self.bearable.figures.first().map_or(f64::MAX, |least| least.min(f64::MAX))
    }

    /// The share of the other classes that are worth less for their work; 1 where there is no other.
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
