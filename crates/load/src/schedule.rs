//! When requests are due, drawn ahead from a seed: a pure function of rates, spacing and seed, and nothing of what
//! becomes of a request moves those behind it (Schroeder, Wierman, Harchol-Balter, "Open versus closed", NSDI 2006).

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

/// How requests follow one another at a given rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// As of many clients that know nothing of one another.
    Poisson,
    /// At equal distances.
    Even,
}

/// Requests a second over time: stretches on which the rate goes straight from one figure to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Rates {
    stretches: Vec<Stretch>,
    /// Played again from the start once all have passed; otherwise the last rate goes on.
    again: bool,
    /// The one stretch is as long as the run.
    whole: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Stretch {
    from: f64,
    to: f64,
    /// In seconds.
    lasts: f64,
}

impl Stretch {
    /// Requests due in it.
    fn area(self) -> f64 {
        (self.from + self.to) / 2.0 * self.lasts
    }

    /// How far into it so many are due, in seconds.
    fn until(self, requests: f64) -> f64 {
        let slope = (self.to - self.from) / self.lasts;
        let root = (self.from * self.from + 2.0 * slope * requests).max(0.0).sqrt();
        // Of the two ways to solve the square, the one that takes nothing from its like.
        (2.0 * requests / (self.from + root)).min(self.lasts)
    }
}

impl Rates {
    /// The same all the time.
    pub fn steady(rate: f64) -> Self {
        Self::ramp(rate, rate)
    }

    /// From one rate to another, over the whole run.
    pub fn ramp(from: f64, to: f64) -> Self {
        Self { stretches: vec![Stretch { from, to, lasts: 1.0 }], again: false, whole: true }
    }

    /// So many times the rate for `lasts` seconds, at the end of each `every` seconds.
    pub fn bursts(rate: f64, factor: f64, every: f64, lasts: f64) -> Self {
        let flat = |rate, lasts| Stretch { from: rate, to: rate, lasts };
        let stretches = vec![flat(rate, every - lasts), flat(rate * factor, lasts)];
        Self { stretches, again: true, whole: false }
    }

    /// Each rate for its seconds; the last one goes on.
    pub fn steps(steps: Vec<(f64, f64)>) -> Self {
        let flat = |(rate, lasts)| Stretch { from: rate, to: rate, lasts };
        Self { stretches: steps.into_iter().map(flat).collect(), again: false, whole: false }
    }

    /// Requests due by then in a run of this length, on average.
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

/// One request to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// From the start.
    pub at: Duration,
    /// By place among the classes.
    pub class: usize,
}

/// All requests of a run, in order of time.
pub struct Schedule {
    rates: Rates,
    spacing: Spacing,
    length: Duration,
    shares: Vec<f64>,
    times: ChaCha8Rng,
    classes: ChaCha8Rng,
    /// The stretch it is in, when that began, and how many have been due in it.
    stretch: usize,
    began: f64,
    passed: f64,
}

impl Schedule {
    /// Draws from `seed`; `shares` are the classes' parts of the load.
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

/// One of these parts, by chance.
pub fn draw(shares: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut at = rng.random::<f64>() * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        at -= share;
        at < 0.0
    });
    found.unwrap_or(shares.len().saturating_sub(1))
}
