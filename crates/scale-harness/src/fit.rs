//! Fits `base + slope x count` to measured points by least squares.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The count that was varied.
    pub count: f64,
    /// What was measured at it.
    pub value: f64,
}

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Points that it was fitted to.
    pub points: usize,
    /// Value at a count of 0.
    pub base: f64,
    /// Added for each one more.
    pub slope: f64,
    /// Standard deviation of the points from the line: the root of the sum of squares over `points - 2`.
    pub residual: f64,
}

/// Why there is no line through some points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Too few of them.
    #[error("a line needs 3 points, so that its residual says something; there are {0}")]
    TooFew(usize),
    /// All have the same count.
    #[error("all points have the same count")]
    OneCount,
}

impl Line {
    /// The line of least squares through these points.
    ///
    /// # Errors
    /// There are fewer than three, or all have the same count.
    pub fn fit(points: &[Point]) -> Result<Self, FitError> {
        if points.len() < 3 {
            return Err(FitError::TooFew(points.len()));
        }
        let number = points.len() as f64;
        let mean_count = points.iter().map(|p| p.count).sum::<f64>() / number;
        let mean_value = points.iter().map(|p| p.value).sum::<f64>() / number;
        let spread: f64 = points.iter().map(|p| (p.count - mean_count).powi(2)).sum();
        if spread == 0.0 {
            return Err(FitError::OneCount);
        }
        let common: f64 =
            points.iter().map(|p| (p.count - mean_count) * (p.value - mean_value)).sum();
        let slope = common / spread;
        let base = mean_value - slope * mean_count;
        let squares: f64 = points.iter().map(|p| (p.value - base - slope * p.count).powi(2)).sum();
        let residual = (squares / (number - 2.0)).sqrt();
        Ok(Self { points: points.len(), base, slope, residual })
    }

    /// The value at this count.
    pub fn at(&self, count: f64) -> f64 {
        self.base + self.slope * count
    }

    /// The count at which the value reaches a budget; `None` if it never grows to it.
    pub fn reaches(&self, budget: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| (budget - self.base) / self.slope)
    }
}
