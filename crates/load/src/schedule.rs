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
    segments: Vec<Segment>,
    /// Whether the segments repeat from the first one after the last; otherwise the last rate continues.
    repeats: bool,
    /// Whether the only segment is as long as the run.
    spans_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Segment {
    from: f64,
    to: f64,
    /// Duration in seconds.
    duration_s: f64,
}

impl Segment {
    /// Returns the mean number of requests due in this segment.
    fn request_count(self) -> f64 {
        (self.from + self.to) / 2.0 * self.duration_s
    }

    /// Returns the time from the start of the segment until `requests` requests are due, in seconds.
    fn time_until(self, requests: f64) -> f64 {
        let slope = (self.to - self.from) / self.duration_s;
        let root = (self.from * self.from + 2.0 * slope * requests).max(0.0).sqrt();
        // Of the two forms of the quadratic formula, this one avoids cancellation between nearly equal numbers.
        (2.0 * requests / (self.from + root)).min(self.duration_s)
    }
}

impl Rates {
    /// A constant rate.
    pub fn steady(rate: f64) -> Self {
        Self::ramp(rate, rate)
    }

    /// A rate that changes linearly from `from` to `to` over the whole run.
    pub fn ramp(from: f64, to: f64) -> Self {
        Self {
            segments: vec![Segment { from, to, duration_s: 1.0 }],
            repeats: false,
            spans_run: true,
        }
    }

    /// A constant rate that is multiplied by `factor` for the last `duration_s` seconds of each period of `every`
    /// seconds.
    pub fn bursts(rate: f64, factor: f64, every: f64, duration_s: f64) -> Self {
        let flat = |rate, duration_s| Segment { from: rate, to: rate, duration_s };
        let segments = vec![flat(rate, every - duration_s), flat(rate * factor, duration_s)];
        Self { segments, repeats: true, spans_run: false }
    }

    /// Constant rates, each given with its duration in seconds. The last rate continues.
    pub fn steps(steps: Vec<(f64, f64)>) -> Self {
        let flat = |(rate, duration_s)| Segment { from: rate, to: rate, duration_s };
        Self { segments: steps.into_iter().map(flat).collect(), repeats: false, spans_run: false }
    }

    /// Returns the mean number of requests due until `by` in a run of this length.
    pub fn mean(&self, by: Duration, length: Duration) -> f64 {
        let mut remaining_s = by.as_secs_f64();
        let mut total = 0.0;
        for i in 0.. {
            let segment = self.segment(i, length);
            if remaining_s <= segment.duration_s {
                let to =
                    segment.from + (segment.to - segment.from) * remaining_s / segment.duration_s;
                return total + Segment { to, duration_s: remaining_s, ..segment }.request_count();
            }
            remaining_s -= segment.duration_s;
            total += segment.request_count();
        }
        total
    }

    fn segment(&self, i: usize, length: Duration) -> Segment {
        let segment_count = self.segments.len();
        let last = Segment { from: 1.0, to: 1.0, duration_s: f64::MAX };
        if self.spans_run {
            let only = self.segments.first().copied().unwrap_or(last);
            let duration_s = length.as_secs_f64();
            let after_run = Segment { from: only.to, to: only.to, duration_s: f64::MAX };
            return if i == 0 { Segment { duration_s, ..only } } else { after_run };
        }
        match self.segments.get(i) {
            Some(segment) => *segment,
            None if self.repeats => self.segments[i % segment_count],
            None => {
                let rate = self.segments.last().map_or(last.to, |s| s.to);
                Segment { from: rate, to: rate, duration_s: f64::MAX }
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
    interval_rng: ChaCha8Rng,
    class_rng: ChaCha8Rng,
    /// Index of the current segment, followed by its start in seconds and the requests due in it so far.
    segment: usize,
    segment_start_s: f64,
    requests_in_segment: f64,
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
            interval_rng: stream(1),
            class_rng: stream(2),
            segment: 0,
            segment_start_s: 0.0,
            requests_in_segment: 0.0,
        }
    }
}

impl Iterator for Schedule {
    type Item = Due;

    fn next(&mut self) -> Option<Due> {
        self.requests_in_segment += match self.spacing {
            Spacing::Poisson => Exp1.sample(&mut self.interval_rng),
            Spacing::Even => 1.0,
        };
        loop {
            let segment = self.rates.segment(self.segment, self.length);
            if self.requests_in_segment <= segment.request_count() {
                let at = self.segment_start_s + segment.time_until(self.requests_in_segment);
                let at = Duration::try_from_secs_f64(at).ok().filter(|at| *at < self.length)?;
                return Some(Due { at, class: sample_class(&self.shares, &mut self.class_rng) });
            }
            self.requests_in_segment -= segment.request_count();
            self.segment_start_s += segment.duration_s;
            self.segment += 1;
            if self.segment_start_s >= self.length.as_secs_f64() {
                return None;
            }
        }
    }
}

/// Returns a random index into `shares`, with probability proportional to the share.
pub fn sample_class(shares: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut at = rng.random::<f64>() * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        at -= share;
        at < 0.0
    });
    found.unwrap_or(shares.len().saturating_sub(1))
}
