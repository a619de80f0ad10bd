//! Results of a load: counts, latencies, and whether the generator itself kept up with the requested rate.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest recorded time, in microseconds. Longer times are recorded as this one.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Lateness of the generator that is always tolerated: its timers have a resolution of 1 ms.
const TOLERATED_LATENESS: Duration = Duration::from_millis(5);
/// Tolerated lateness as a share of the lowest class median latency, where that exceeds [`TOLERATED_LATENESS`].
const TOLERATED_LATENESS_OF_MEDIAN: f64 = 0.1;
/// Version of the JSON report. It increases when a field changes its name or meaning, not when a field is added.
pub const REPORT_VERSION: u32 = 1;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete 2xx response.
    Served,
    /// Status 429 or 503.
    Refused,
    /// A complete response with any other status.
    Failed,
    /// The connection ended before a complete response.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// The client's deadline passed.
    TimedOut,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were due, or that a closed-loop client issued.
    pub asked: u64,
    /// Requests with [`Outcome::Served`].
    pub served: u64,
    /// Requests with [`Outcome::Refused`].
    pub refused: u64,
    /// Requests with [`Outcome::Failed`].
    pub failed: u64,
    /// Requests with [`Outcome::Broken`].
    pub broken: u64,
    /// Requests with [`Outcome::Unreachable`].
    pub unreachable: u64,
    /// Requests with [`Outcome::TimedOut`].
    pub timed_out: u64,
    /// Requests never sent because too many were open already.
    pub unsent: u64,
}

impl Counts {
    fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Served => &mut self.served,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
            Outcome::Broken => &mut self.broken,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::TimedOut => &mut self.timed_out,
        } += 1;
    }
}

/// Summary of a distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Number of recorded times.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// 50th percentile.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub most: f64,
}

/// Histogram of times.
#[derive(Clone, Debug)]
pub struct Times(Option<Histogram<u64>>);

impl Default for Times {
    fn default() -> Self {
        // Three significant digits, at a resolution of 1 us. The histogram crate accepts these constant bounds.
        Self(Histogram::new_with_bounds(1, MAX_TIME_US, 3).ok())
    }
}

impl Times {
    /// Records a time.
    pub fn record(&mut self, time: Duration) {
        if let Some(h) = &mut self.0 {
            h.saturating_record((time.as_micros() as u64).max(1));
        }
    }

    /// Adds all times recorded in `other`.
    pub fn add(&mut self, other: &Self) {
        if let (Some(all), Some(more)) = (&mut self.0, &other.0) {
            // Both histograms have the same bounds, so no value of `other` is out of range.
            let _ = all.add(more);
        }
    }

    /// Returns the summary of all recorded times.
    pub fn spread(&self) -> Spread {
        let Some(h) = self.0.as_ref().filter(|h| !h.is_empty()) else { return Spread::default() };
        let ms = |us: u64| us as f64 / 1e3;
        let at = |q: f64| ms(h.value_at_quantile(q));
        Spread {
            count: h.len(),
            mean: h.mean() / 1e3,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            most: ms(h.max()),
        }
    }
}

/// Results of one class, collected during a run.
#[derive(Clone, Debug, Default)]
pub struct ClassAccount {
    /// Requests by outcome.
    pub counts: Counts,
    /// Latency of answered requests, with any status, from the time when the request was due.
    pub latency: Times,
    /// Latency of answered requests from the time when the request was written.
    pub from_sending: Times,
}

/// Requests that were due in one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests due in this second.
    pub asked: u64,
    /// Those of them that were served.
    pub served: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Maximum latency of those that were answered, in milliseconds.
    pub most_ms: f64,
}

/// Results collected during a run.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Results by class index.
    pub classes: Vec<ClassAccount>,
    /// Lateness of the generator, from when a request was due until the generator started it.
    pub lateness: Times,
    /// Time that started requests waited for a free connection.
    pub waiting: Times,
    /// Results by second of the run.
    pub seconds: Vec<Second>,
    /// Number of connections opened.
    pub connections_opened: u64,
}

impl Account {
    /// Creates empty results for this number of classes.
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![ClassAccount::default(); classes], ..Self::default() }
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let second = at.as_secs() as usize;
        if second >= self.seconds.len() {
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    /// Records that a request is due.
    pub fn record_due(&mut self, class: usize, at: Duration) {
        self.classes[class].counts.asked += 1;
        self.second(at).asked += 1;
    }

    /// Records that a request was not sent because too many were open.
    pub fn record_unsent(&mut self, class: usize) {
        self.classes[class].counts.unsent += 1;
    }

    /// Records the outcome of a request that was due `at`. An answered request has two latencies: from when it was due,
    /// and from when it was written.
    pub fn record_outcome(
        &mut self,
        class: usize,
        at: Duration,
        outcome: Outcome,
        latencies: Option<(Duration, Duration)>,
    ) {
        let class = &mut self.classes[class];
        class.counts.count(outcome);
        if let Some((latency, from_sending)) = latencies {
            class.latency.record(latency);
            class.from_sending.record(from_sending);
        }
        let second = self.second(at);
        second.served += u64::from(outcome == Outcome::Served);
        second.refused += u64::from(outcome == Outcome::Refused);
        let ms = latencies.map_or(0.0, |(latency, _)| latency.as_secs_f64() * 1e3);
        second.most_ms = second.most_ms.max(ms);
    }
}

/// Report on one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Requests by outcome.
    pub counts: Counts,
    /// Latency from when a request was due.
    pub latency_ms: Spread,
    /// Latency from when a request was written, which is all that a closed-loop client measures.
    pub from_sending_ms: Spread,
}

/// Report on a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Version of the format: [`REPORT_VERSION`].
    pub version: u32,
    /// Target of the load.
    pub target: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Kind of load: `open` or `closed` loop.
    #[serde(rename = "loop")]
    pub loop_: &'static str,
    /// Length of the run, during which requests are issued, in seconds.
    pub length_s: f64,
    /// Requests due per second.
    pub asked_per_s: f64,
    /// Requests answered per second.
    pub answered_per_s: f64,
    /// Reports by class.
    pub classes: Vec<ClassReport>,
    /// Lateness of the generator.
    pub lateness_ms: Spread,
    /// Time that requests waited for a free connection of the generator.
    pub waiting_ms: Spread,
    /// Number of connections opened.
    pub connections: u64,
    /// Reason why these figures reflect the limits of the generator instead of the target; absent if they do not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doubt: Option<String>,
    /// Results by the second in which requests were due.
    pub seconds: Vec<Second>,
}

/// Parameters of a run that appear in its report.
#[derive(Clone, Copy, Debug)]
pub struct About<'a> {
    /// Target of the load.
    pub target: &'a str,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether the load was an open loop.
    pub open: bool,
    /// Length of the run, during which requests are issued.
    pub length: Duration,
}

impl Report {
    /// Creates the report on a run. `names` are the names of the classes, in their order.
    pub fn of(account: &Account, about: About, names: &[String]) -> Self {
        let class = |(c, name): (&ClassAccount, &String)| ClassReport {
            name: name.clone(),
            counts: c.counts,
            latency_ms: c.latency.spread(),
            from_sending_ms: c.from_sending.spread(),
        };
        let classes: Vec<ClassReport> = account.classes.iter().zip(names).map(class).collect();
        let asked: u64 = classes.iter().map(|c| c.counts.asked).sum();
        let unsent: u64 = classes.iter().map(|c| c.counts.unsent).sum();
        let answered: u64 = classes.iter().map(|c| c.latency_ms.count).sum();
        let median = classes.iter().map(|c| c.latency_ms).filter(|s| s.count > 0);
        let median = median.map(|s| s.p50).fold(f64::MAX, f64::min);
        let lateness = account.lateness.spread();
        let tolerated_ms = (TOLERATED_LATENESS.as_secs_f64() * 1e3)
            .max(median.min(1e9) * TOLERATED_LATENESS_OF_MEDIAN);
        let length_s = about.length.as_secs_f64();
        let doubt = if unsent > 0 {
            Some(format!("{unsent} requests were never sent: too many were open already"))
        } else if lateness.p99 > tolerated_ms {
            Some(format!(
                "the generator started 1 % of the requests at least {:.1} ms late: the machine can't send at this \
                 rate; lower the rate or leave the generator a core",
                lateness.p99
            ))
        } else {
            None
        };
        Self {
            version: REPORT_VERSION,
            target: about.target.to_string(),
            seed: about.seed,
            loop_: if about.open { "open" } else { "closed" },
            length_s,
            asked_per_s: asked as f64 / length_s,
            answered_per_s: answered as f64 / length_s,
            classes,
            lateness_ms: lateness,
            waiting_ms: account.waiting.spread(),
            connections: account.connections_opened,
            doubt,
            seconds: account.seconds.clone(),
        }
    }

    /// Returns the report as a table for a terminal.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "{}, {} loop, {:.1} s: {:.1} asked and {:.1} answered a second over {} connections",
            self.target,
            self.loop_,
            self.length_s,
            self.asked_per_s,
            self.answered_per_s,
            self.connections
        )?;
        writeln!(
            out,
            "\n{:<16}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>8}{:>10}{:>10}{:>10}{:>10}",
            "class",
            "asked",
            "served",
            "refused",
            "failed",
            "broken",
            "none",
            "unsent",
            "p50 ms",
            "p99",
            "p99.9",
            "most"
        )?;
        for c in &self.classes {
            let (n, l) = (&c.counts, &c.latency_ms);
            writeln!(
                out,
                "{:<16}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>8}{:>10.2}{:>10.2}{:>10.2}{:>10.2}",
                c.name,
                n.asked,
                n.served,
                n.refused,
                n.failed,
                n.broken,
                n.unreachable + n.timed_out,
                n.unsent,
                l.p50,
                l.p99,
                l.p999,
                l.most
            )?;
        }
        let l = &self.lateness_ms;
        if l.count > 0 {
            writeln!(
                out,
                "\nown lateness p50 {:.2} ms, p99 {:.2}, most {:.2}",
                l.p50, l.p99, l.most
            )?;
        }
        match &self.doubt {
            Some(doubt) => writeln!(out, "\nUNRELIABLE RESULT: {doubt}"),
            None => Ok(()),
        }
    }
}
