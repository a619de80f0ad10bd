//! An exact sum of many values that are added, changed and removed.

/// A fixed-point sum. Subtracting an added value restores the previous sum exactly, in any order and
/// after any number of changes. One is `2^BITS` steps; a value of `2^(63-BITS)` or more saturates.
///
/// A floating-point sum would accumulate an error with each change, so that a limit equal to the sum
/// would be missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total<const BITS: u32> {
    steps: i128,
}

impl<const BITS: u32> Total<BITS> {
    const ONE: f64 = (1u64 << BITS) as f64;

    fn steps(value: f64) -> i128 {
        // `as` converts NaN to zero and saturates.
        i128::from((value * Self::ONE) as i64)
    }

    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        self.steps = self.steps.saturating_add(Self::steps(value));
    }

    /// Subtracts a value that was added before.
    pub fn sub(&mut self, value: f64) {
        self.steps = self.steps.saturating_sub(Self::steps(value));
    }

    /// Replaces one value by another. Either of them may be absent.
    pub fn change(&mut self, previous: Option<f64>, next: Option<f64>) {
        previous.into_iter().for_each(|value| self.sub(value));
        next.into_iter().for_each(|value| self.add(value));
    }

    /// Returns the sum.
    pub fn get(&self) -> f64 {
        self.steps as f64 / Self::ONE
    }
}
