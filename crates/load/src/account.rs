//! What came of a load: counts and latencies, and whether the tool itself kept up with what it was asked to send.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;
/// Lateness of the tool itself up to this is nothing: its timers tell milliseconds apart.
const LATE: Duration = Duration::from_millis(5);
/// Beyond, up to this share of the median latency.
const LATE_OF_MEDIAN: f64 = 0.1;
/// Version of the JSON form. It changes when a field changes its name or meaning, not when one is added.
pub const VERSION: u32 = 1;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// 2xx, whole.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended with no whole answer.
    Broken,
    /// No connection came up.
    Unreachable,
    /// Its client's time was up.
    TimedOut,
}

/// How many ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Due, or asked for in a closed loop.
    pub asked: u64,
    /// See [`End`].
    pub served: u64,
    /// See [`End`].
    pub refused: u64,
    /// See [`End`].
    pub failed: u64,
    /// See [`End`].
    pub broken: u64,
    /// See [`End`].
    pub unreachable: u64,
    /// See [`End`].
    pub timed_out: u64,
    /// Never sent: too many were open already.
    pub unsent: u64,
}

impl Counts {
    fn count(&mut self, end: End) {
        *match end {
            End::Served => &mut self.served,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
            End::Broken => &mut self.broken,
            End::Unreachable => &mut self.unreachable,
            End::TimedOut => &mut self.timed_out,
        } += 1;
    }
}

/// A spread of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many.
    pub count: u64,
    /// Their mean.
    pub mean: f64,
    /// At 50 percent.
    pub p50: f64,
    /// At 90 percent.
    pub p90: f64,
    /// At 99 percent.
    pub p99: f64,
    /// At 99.9 percent.
    pub p999: f64,
    /// The most.
    pub most: f64,
}

/// Times as they come.
#[derive(Clone, Debug)]
pub struct Times(Option<Histogram<u64>>);

impl Default for Times {
    fn default() -> Self {
        // Three digits, to the microsecond. The bounds are constants that the crate accepts.
        Self(Histogram::new_with_bounds(1, LONGEST, 3).ok())
    }
}

impl Times {
    /// Takes one in.
    pub fn record(&mut self, time: Duration) {
        if let Some(h) = &mut self.0 {
            h.saturating_record((time.as_micros() as u64).max(1));
        }
    }

    /// Takes in all that another has.
    pub fn add(&mut self, other: &Self) {
        if let (Some(all), Some(more)) = (&mut self.0, &other.0) {
            // Both have the same bounds, so nothing of the other lies outside of them.
            let _ = all.add(more);
        }
    }

    /// All of them.
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

/// One class as it goes.
#[derive(Clone, Debug, Default)]
pub struct ClassAccount {
    /// How its requests ended.
    pub counts: Counts,
    /// Of what was answered, whatever the status: from when it was due.
    pub latency: Times,
    /// The same from when it was written.
    pub from_sending: Times,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Due in it.
    pub asked: u64,
    /// Of those, served.
    pub served: u64,
    /// And refused.
    pub refused: u64,
    /// The longest latency of those that were answered, in milliseconds.
    pub most_ms: f64,
}

/// A run as it goes.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// By class.
    pub classes: Vec<ClassAccount>,
    /// How late this tool was, from when a request was due to when it turned to it.
    pub lateness: Times,
    /// How long requests then waited for a connection to be free.
    pub waiting: Times,
    /// By second.
    pub seconds: Vec<Second>,
    /// Connections that were opened.
    pub opened: u64,
}

impl Account {
    /// For so many classes.
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

    /// A request is due.
    pub fn asked(&mut self, class: usize, at: Duration) {
        self.classes[class].counts.asked += 1;
        self.second(at).asked += 1;
    }

    /// It could not even be begun.
    pub fn unsent(&mut self, class: usize) {
        self.classes[class].counts.unsent += 1;
    }

    /// A request that was due `at` ended, with these times if it was answered: from when it was due, and from when
    /// it was written.
    pub fn ended(
        &mut self,
        class: usize,
        at: Duration,
        end: End,
        took: Option<(Duration, Duration)>,
    ) {
        let of = &mut self.classes[class];
        of.counts.count(end);
        if let Some((latency, from_sending)) = took {
            of.latency.record(latency);
            of.from_sending.record(from_sending);
        }
        let second = self.second(at);
        second.served += u64::from(end == End::Served);
        second.refused += u64::from(end == End::Refused);
        let ms = took.map_or(0.0, |(latency, _)| latency.as_secs_f64() * 1e3);
        second.most_ms = second.most_ms.max(ms);
    }
}

/// One class's part of a report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// How its requests ended.
    pub counts: Counts,
    /// From when a request was due.
    pub latency_ms: Spread,
    /// From when it was written: what a closed loop would see.
    pub from_sending_ms: Spread,
}

/// All that is told of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// [`VERSION`].
    pub version: u32,
    /// Where it was sent.
    pub target: String,
    /// What arrivals were drawn from.
    pub seed: u64,
    /// `open` or `closed`.
    #[serde(rename = "loop")]
    pub loop_: &'static str,
    /// How long requests came, in seconds.
    pub length_s: f64,
    /// Requests a second that were due, and that were answered.
    pub asked_per_s: f64,
    /// See `asked_per_s`.
    pub answered_per_s: f64,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// How late this tool was.
    pub lateness_ms: Spread,
    /// How long requests waited for one of its connections.
    pub waiting_ms: Spread,
    /// Connections that were opened.
    pub connections: u64,
    /// Why these figures say something of this tool and not of the target; absent if they do not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doubt: Option<String>,
    /// By second, by when requests were due.
    pub seconds: Vec<Second>,
}

/// What a report is about.
#[derive(Clone, Copy, Debug)]
pub struct About<'a> {
    /// Where it was sent.
    pub target: &'a str,
    /// What arrivals were drawn from.
    pub seed: u64,
    /// Whether it was an open loop.
    pub open: bool,
    /// How long requests came.
    pub length: Duration,
}

impl Report {
    /// Sums a run up.
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
        let bearable = (LATE.as_secs_f64() * 1e3).max(median.min(1e9) * LATE_OF_MEDIAN);
        let length_s = about.length.as_secs_f64();
        let doubt = if unsent > 0 {
            Some(format!("{unsent} requests were never sent: too many were open already"))
        } else if lateness.p99 > bearable {
            Some(format!(
                "this tool turned to one request in a hundred {:.1} ms late or later: the machine can't send so \
                 much; ask for less, or leave it a core",
                lateness.p99
            ))
        } else {
            None
        };
        Self {
            version: VERSION,
            target: about.target.to_string(),
            seed: about.seed,
            loop_: if about.open { "open" } else { "closed" },
            length_s,
            asked_per_s: asked as f64 / length_s,
            answered_per_s: answered as f64 / length_s,
            classes,
            lateness_ms: lateness,
            waiting_ms: account.waiting.spread(),
            connections: account.opened,
            doubt,
            seconds: account.seconds.clone(),
        }
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
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
            Some(doubt) => writeln!(out, "\nNOT VOUCHED FOR: {doubt}"),
            None => Ok(()),
        }
    }
}
