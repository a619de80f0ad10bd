//! An exact sum of many figures that are added, changed and removed.

/// A sum in fixed point: taking away what was added leaves exactly what was there before, in any
/// order, after any number of changes. `2^BITS` steps make one; a figure of `2^(63-BITS)` or more
/// counts as that.
///
/// A floating-point sum would gather an error with each change, so that a limit that equals the sum
/// would be missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total<const BITS: u32> {
    steps: i128,
}

impl<const BITS: u32> Total<BITS> {
    const ONE: f64 = (1u64 << BITS) as f64;

    fn steps(figure: f64) -> i128 {
        // NaN counts as zero; `as` saturates.
        i128::from((figure * Self::ONE) as i64)
    }

    /// Adds a figure.
    pub fn add(&mut self, figure: f64) {
        self.steps = self.steps.saturating_add(Self::steps(figure));
    }

    /// Subtracts a figure that was added.
    pub fn sub(&mut self, figure: f64) {
        self.steps = self.steps.saturating_sub(Self::steps(figure));
    }

    /// Replaces one figure by another, where either may be absent.
    pub fn change(&mut self, previous: Option<f64>, next: Option<f64>) {
        previous.into_iter().for_each(|figure| self.sub(figure));
        next.into_iter().for_each(|figure| self.add(figure));
    }

    /// The sum.
    pub fn get(&self) -> f64 {
        self.steps as f64 / Self::ONE
    }
}
