//! A sum of many figures that come, change and go.

/// A sum in fixed point: taking away what was added leaves exactly what was there before, in any order, after any
/// number of changes. `2^BITS` steps make one; a figure of `2^(63-BITS)` or more counts as that.
///
/// A float would gather an error with each change, and a sum that is to be reached ("as many out as there are
/// slots") would be missed by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total<const BITS: u32> {
    steps: i128,
}

impl<const BITS: u32> Total<BITS> {
    const ONE: f64 = (1u64 << BITS) as f64;

    fn steps(figure: f64) -> i128 {
        // What is no number counts as nothing; `as` saturates.
        i128::from((figure * Self::ONE) as i64)
    }

    /// Adds a figure.
    pub fn add(&mut self, figure: f64) {
        self.steps = self.steps.saturating_add(Self::steps(figure));
    }

    /// Takes a figure away that was added.
    pub fn sub(&mut self, figure: f64) {
        self.steps = self.steps.saturating_sub(Self::steps(figure));
    }

    /// Puts one figure in the place of another, where either may be none.
    pub fn change(&mut self, was: Option<f64>, now: Option<f64>) {
        was.into_iter().for_each(|w| self.sub(w));
        now.into_iter().for_each(|n| self.add(n));
    }

    /// The sum.
    pub fn get(&self) -> f64 {
        self.steps as f64 / Self::ONE
    }
}
