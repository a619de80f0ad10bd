//! Quantiles of a small set of measurements.

use serde::Serialize;

/// The middle, the upper end and the maximum of a set of measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many measurements there are.
    pub samples: usize,
    /// Half of them are no larger.
    pub p50: f64,
    /// 99 of 100 are no larger.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// Of these, by the nearest-rank method; all zero where there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let rank = |quantile: f64| (quantile * sorted.len() as f64).ceil() as usize;
        let at = |quantile| sorted.get(rank(quantile).max(1) - 1).copied().unwrap_or(0.0);
        Self { samples: sorted.len(), p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }
}
