//! Arrival times of requests, drawn from a seed. The schedule is a pure function of the rates, the spacing and the
//! seed: the outcome of a request never moves later requests (Schroeder, Wierman, Harchol-Balter, "Open versus closed",
//! NSDI 2006).

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// Distribution of the intervals between requests at a given rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// Exponential intervals, as from many independent clients.
    Poisson,
    /// Equal intervals.
    Even,
}

/// Request rate over time, in requests per second: segments in which the rate changes linearly.
#[derive(Clone, Debug, PartialEq)]
pub struct Rates {
    stretches: Vec<Stretch>,
    /// Whether the segments repeat from the first one after the last; otherwise the last rate continues.
    again: bool,
    /// Whether the only segment is as long as the run.
    whole: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Stretch {
    from: f64,
    to: f64,
    /// Duration in seconds.
    lasts: f64,
}

impl Stretch {
    /// Returns the mean number of requests due in this segment.
    fn area(self) -> f64 {
        (self.from + self.to) / 2.0 * self.lasts
    }

    /// Returns the time from the start of the segment until `requests` requests are due, in seconds.
    fn until(self, requests: f64) -> f64 {
        let slope = (self.to - self.from) / self.lasts;
        let root = (self.from * self.from + 2.0 * slope * requests).max(0.0).sqrt();
        // Of the two forms of the quadratic formula, this one avoids cancellation between nearly equal numbers.
        (2.0 * requests / (self.from + root)).min(self.lasts)
    }
}

impl Rates {
    /// A constant rate.
    pub fn steady(rate: f64) -> Self {
        Self::ramp(rate, rate)
    }

    /// A rate that changes linearly from `from` to `to` over the whole run.
    pub fn ramp(from: f64, to: f64) -> Self {
        Self { stretches: vec![Stretch { from, to, lasts: 1.0 }], again: false, whole: true }
    }

    /// A constant rate that is multiplied by `factor` for the last `duration_s` seconds of each period of `every`
    /// seconds.
    pub fn bursts(rate: f64, factor: f64, every: f64, lasts: f64) -> Self {
        let flat = |rate, lasts| Stretch { from: rate, to: rate, lasts };
        let stretches = vec![flat(rate, every - lasts), flat(rate * factor, lasts)];
        Self { stretches, again: true, whole: false }
    }

    /// Constant rates, each given with its duration in seconds. The last rate continues.
    pub fn steps(steps: Vec<(f64, f64)>) -> Self {
        let flat = |(rate, lasts)| Stretch { from: rate, to: rate, lasts };
        Self { stretches: steps.into_iter().map(flat).collect(), again: false, whole: false }
    }

    /// Returns the mean number of requests due until `by` in a run of this length.
    pub fn mean(&self, by: Duration, length: Duration) -> f64 {
        let mut left = by.as_secs_f64();
        let mut sum = 0.0;
        for i in 0.. {
            let stretch = self.stretch(i, length);
            if left <= stretch.lasts {
                let to = stretch.from + (stretch.to - stretch.from) * left / stretch.lasts;
                return sum + Stretch { to, lasts: left, ..stretch }.area();
            }
            left -= stretch.lasts;
            sum += stretch.area();
        }
        sum
    }

    fn stretch(&self, i: usize, length: Duration) -> Stretch {
        let all = self.stretches.len();
        let last = Stretch { from: 1.0, to: 1.0, lasts: f64::MAX };
        if self.whole {
            let only = self.stretches.first().copied().unwrap_or(last);
            let lasts = length.as_secs_f64();
            let then = Stretch { from: only.to, to: only.to, lasts: f64::MAX };
            return if i == 0 { Stretch { lasts, ..only } } else { then };
        }
        match self.stretches.get(i) {
            Some(stretch) => *stretch,
            None if self.again => self.stretches[i % all],
            None => {
                let rate = self.stretches.last().map_or(last.to, |s| s.to);
                Stretch { from: rate, to: rate, lasts: f64::MAX }
            }
        }
    }
}

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
}

/// Iterator over all requests of a run, in order of time.
pub struct Schedule {
    rates: Rates,
    spacing: Spacing,
    length: Duration,
    shares: Vec<f64>,
    times: ChaCha8Rng,
    classes: ChaCha8Rng,
    /// Index of the current segment, followed by its start in seconds and the requests due in it so far.
    stretch: usize,
    began: f64,
    passed: f64,
}

impl Schedule {
    /// Creates a schedule drawn from `seed`; `shares` are the relative weights of the classes.
    pub fn new(
        rates: &Rates,
        spacing: Spacing,
        length: Duration,
        shares: &[f64],
        seed: u64,
    ) -> Self {
        let stream = |number| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            rng
        };
        Self {
            rates: rates.clone(),
            spacing,
            length,
            shares: shares.to_vec(),
            times: stream(1),
            classes: stream(2),
            stretch: 0,
            began: 0.0,
            passed: 0.0,
        }
    }
}

impl Iterator for Schedule {
    type Item = Due;

    fn next(&mut self) -> Option<Due> {
        self.passed += match self.spacing {
            Spacing::Poisson => Exp1.sample(&mut self.times),
            Spacing::Even => 1.0,
        };
        loop {
            let stretch = self.rates.stretch(self.stretch, self.length);
            if self.passed <= stretch.area() {
                let at = self.began + stretch.until(self.passed);
                let at = Duration::try_from_secs_f64(at).ok().filter(|at| *at < self.length)?;
                return Some(Due { at, class: draw(&self.shares, &mut self.classes) });
            }
            self.passed -= stretch.area();
            self.began += stretch.lasts;
            self.stretch += 1;
            if self.began >= self.length.as_secs_f64() {
                return None;
            }
        }
    }
}

/// Returns a random index into `shares`, with probability proportional to the share.
pub fn draw(shares: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut at = rng.random::<f64>() * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        at -= share;
        at < 0.0
    });
    found.unwrap_or(shares.len().saturating_sub(1))
}
