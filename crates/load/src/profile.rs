//! What a load is made of: classes of requests, when they come, and over which connections. Read from a TOML file.

use std::time::Duration;

use hollowpaddle_toml_fields::{File, Problems, Table};
use toml::de::DeTable;

use crate::schedule::{Rates, Spacing};

/// Longest run, in seconds.
const LONGEST_S: f64 = 24.0 * 3600.0;
/// Most requests a second that may be asked for; no single core sends as many.
const MOST_RATE: f64 = 1e6;
/// Most tenants that requests may name.
const MOST_TENANTS: u32 = 10_000_000;

/// A load.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// At least one.
    pub classes: Vec<Class>,
    /// When requests come.
    pub arrivals: Arrivals,
    /// How long they do.
    pub length: Duration,
    /// Over how many connections at most.
    pub connections: u32,
    /// Whether connections are kept for the next request.
    pub kept: bool,
    /// Whether requests say what the platform's do (`X-Request-Id`, `X-Class`, `X-Deadline-Ms`, keys).
    pub platform: bool,
    /// Requests name one of so many tenants, `t0` and up, each as often as any other (`X-Tenant`); none if 0. Only where
    /// they say what the platform's do.
    pub tenants: u32,
}

/// When requests come.
#[derive(Clone, Debug, PartialEq)]
pub enum Arrivals {
    /// At their own times, whatever becomes of those before them.
    Open(Spacing, Rates),
    /// So many clients ask one request after another.
    Closed(u32),
}

/// What repeating a request can do, and so its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: GET.
    Safe,
    /// Repeats are dropped: POST with `Idempotency-Key`.
    Keyed,
    /// Harm: POST.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// As in `X-Class`.
    pub name: String,
    /// Its part of the load, beside the other classes' parts.
    pub share: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// How long its clients wait, from when a request was due.
    pub deadline: Duration,
    /// Where it goes.
    pub path: String,
    /// Size of its body, in bytes.
    pub body: usize,
}

impl Profile {
    /// Plain requests for `path`, to be given a rate and a length.
    pub fn plain(path: &str) -> Self {
        let deadline = Duration::from_secs(10);
        let class = Class {
            name: "plain".to_string(),
            share: 1.0,
            effect: Effect::Safe,
            deadline,
            path: path.to_string(),
            body: 0,
        };
        Self {
            classes: vec![class],
            arrivals: Arrivals::Open(Spacing::Poisson, Rates::steady(100.0)),
            length: Duration::from_secs(10),
            connections: 256,
            kept: true,
            platform: false,
            tenants: 0,
        }
    }

    /// Reads a profile. `file` is how messages call it.
    ///
    /// # Errors
    /// Everything that is wrong with it, each with its line, in the order of the file.
    pub fn read(file: &str, text: &str) -> Result<Self, Problems> {
        hollowpaddle_toml_fields::read(file, text, profile)
    }

    /// The longest that a client waits.
    pub fn longest(&self) -> Duration {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }
}

fn profile<'f, 'a>(file: &'f File<'a>, table: &'f DeTable<'a>) -> Profile {
    let top = Table::top(file, table);
    let classes: Vec<Class> = top.tables("classes").into_iter().map(class).collect();
    if classes.is_empty() {
        top.wrong(&(0..0), "there is no class: expected at least one [[classes]]; add one");
    } else if classes.iter().all(|c| c.share == 0.0) {
        top.wrong(&(0..0), "no class has a share: expected one with `share` above 0");
    }
    let length = top.time("for_s", 0.1..=LONGEST_S, None);
    let arrivals = match top.table("arrivals") {
        Some(t) => arrivals(t),
        None => {
            if !top.has("arrivals") {
                top.wrong(&(0..0), "there are no arrivals: expected a table [arrivals]; add one");
            }
            Arrivals::Closed(1)
        }
    };
    let profile = Profile {
        classes,
        arrivals,
        length,
        connections: top.whole("connections", 1..=60_000, Some(256)),
        kept: top.flag("keep_connections", true),
        platform: top.flag("platform", true),
        tenants: top.whole("tenants", 0..=MOST_TENANTS, Some(0)),
    };
    top.finish();
    profile
}

fn class(t: Table) -> Class {
    let effects = [("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)];
    let class = Class {
        name: t.text("name", None),
        share: t.number("share", 0.0..=1e6, Some(1.0)),
        effect: t.choice("effect", &effects, Some(Effect::Safe)),
        deadline: t.time("deadline_ms", 1.0..=600_000.0, Some(10_000.0)),
        path: t.text("path", Some("/api")),
        body: t.whole("body_bytes", 0..=32 << 20, Some(0)) as usize,
    };
    // What goes on the wire as it stands must be able to.
    for (key, value) in [("name", &class.name), ("path", &class.path)] {
        if !value.bytes().all(|b| b.is_ascii_graphic()) {
            t.wrong(&t.span_of(key), format!("`classes.{key}` has a character that no header may"));
        }
    }
    if !class.path.starts_with('/') {
        t.wrong(&t.span_of("path"), "`classes.path` does not begin with `/`");
    }
    if class.effect == Effect::Safe && class.body > 0 {
        let what = "`classes.body_bytes` means nothing for a safe class, which is GET; remove it";
        t.wrong(&t.span_of("body_bytes"), what);
    }
    t.finish();
    class
}

fn arrivals(t: Table) -> Arrivals {
    let spacings = [("poisson", Spacing::Poisson), ("even", Spacing::Even)];
    let clients = t.has("closed").then(|| t.whole("closed", 1..=60_000, None));
    if let Some(clients) = clients {
        t.finish();
        return Arrivals::Closed(clients);
    }
    let spacing = t.choice("spacing", &spacings, Some(Spacing::Poisson));
    let steps = t.tables("steps");
    let rates = if steps.is_empty() {
        let rate = t.number("rate", 0.001..=MOST_RATE, None);
        let to = t.has("to").then(|| t.number("to", 0.001..=MOST_RATE, None));
        let bursts = t.has("burst_factor").then(|| {
            let factor = t.number("burst_factor", 1.0..=1000.0, None);
            let every = t.number("burst_every_s", 0.1..=LONGEST_S, Some(10.0));
            (factor, every, t.number("burst_s", 0.01..=LONGEST_S, Some(1.0)))
        });
        match (to, bursts) {
            (Some(_), Some(_)) => {
                let what = "a ramp (`to`) and bursts at once: remove one of them";
                t.wrong(&t.span_of("to"), what);
                Rates::steady(rate)
            }
            (Some(to), None) => Rates::ramp(rate, to),
            (None, Some((_, every, lasts))) if lasts >= every => {
                let what = "`arrivals.burst_s` is as long as `burst_every_s`: make it shorter";
                t.wrong(&t.span_of("burst_s"), what);
                Rates::steady(rate)
            }
            (None, Some((factor, every, lasts))) => Rates::bursts(rate, factor, every, lasts),
            (None, None) => Rates::steady(rate),
        }
    } else {
        let step = |t: Table| {
            let rate = t.number("rate", 0.001..=MOST_RATE, None);
            let lasts = t.number("for_s", 0.01..=LONGEST_S, None);
            t.finish();
            (rate, lasts)
        };
        Rates::steps(steps.into_iter().map(step).collect())
    };
    t.finish();
    Arrivals::Open(spacing, rates)
}
