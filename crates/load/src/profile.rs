//! Definition of a load, read from a TOML file: request classes, arrivals and connections.

use std::time::Duration;

use hollowpaddle_toml_fields::{File, Problems, Table};
use toml::de::DeTable;

use crate::schedule::{Rates, Spacing};

/// Maximum length of a run, in seconds.
const MAX_LENGTH_S: f64 = 24.0 * 3600.0;
/// Maximum rate in requests per second; no single core sends more.
const MAX_RATE_PER_S: f64 = 1e6;
/// Maximum number of tenants.
const MAX_TENANTS: u32 = 10_000_000;

/// Definition of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Request classes, at least one.
    pub classes: Vec<Class>,
    /// Arrivals of requests.
    pub arrivals: Arrivals,
    /// Length of the run, during which requests are issued.
    pub length: Duration,
    /// Maximum number of connections.
    pub connections: u32,
    /// Whether connections are reused for later requests.
    pub keep_connections: bool,
    /// Whether requests carry the platform's headers (`X-Request-Id`, `X-Class`, `X-Deadline-Ms`, keys).
    pub platform: bool,
    /// Number of tenants, named from `t0` on, of which each request names one with equal probability (`X-Tenant`). With
    /// 0, requests name no tenant. Applies only to requests with the platform's headers.
    pub tenants: u32,
}

/// Arrivals of requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Arrivals {
    /// An open loop: requests arrive independently of the outcome of earlier ones.
    Open(Spacing, Rates),
    /// A closed loop: this number of clients, each of which sends one request after another.
    Closed(u32),
}

/// Effect of a repeated request, which determines the method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat has no effect: GET.
    Safe,
    /// The upstream drops repeats: POST with `Idempotency-Key`.
    Keyed,
    /// A repeat has side effects: POST.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name, as in `X-Class`.
    pub name: String,
    /// Share of the load, relative to the shares of the other classes.
    pub share: f64,
    /// Effect of a repeated request.
    pub effect: Effect,
    /// Time that a client waits for a response, from when the request was due.
    pub deadline: Duration,
    /// Path of the requests.
    pub path: String,
    /// Size of the request body, in bytes.
    pub body: usize,
}

impl Profile {
    /// Returns a profile of plain GET requests for `path`. The caller sets the rate and the length.
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
            keep_connections: true,
            platform: false,
            tenants: 0,
        }
    }

    /// Reads a profile. `file` is its name in messages.
    ///
    /// # Errors
    /// Returns all problems of the profile, each with its line, in the order of the file.
    pub fn read(file: &str, text: &str) -> Result<Self, Problems> {
        hollowpaddle_toml_fields::read(file, text, profile)
    }

    /// Returns the longest deadline of any class.
    pub fn max_deadline(&self) -> Duration {
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
    let length = top.time("for_s", 0.1..=MAX_LENGTH_S, None);
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
        keep_connections: top.flag("keep_connections", true),
        platform: top.flag("platform", true),
        tenants: top.whole("tenants", 0..=MAX_TENANTS, Some(0)),
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
    // These values are sent unescaped, so they must be valid in a header and a request line.
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
        let rate = t.number("rate", 0.001..=MAX_RATE_PER_S, None);
        let to = t.has("to").then(|| t.number("to", 0.001..=MAX_RATE_PER_S, None));
        let bursts = t.has("burst_factor").then(|| {
            let factor = t.number("burst_factor", 1.0..=1000.0, None);
            let every = t.number("burst_every_s", 0.1..=MAX_LENGTH_S, Some(10.0));
            (factor, every, t.number("burst_s", 0.01..=MAX_LENGTH_S, Some(1.0)))
        });
        match (to, bursts) {
            (Some(_), Some(_)) => {
                let what = "a ramp (`to`) and bursts at once: remove one of them";
                t.wrong(&t.span_of("to"), what);
                Rates::steady(rate)
            }
            (Some(to), None) => Rates::ramp(rate, to),
            (None, Some((_, every, duration_s))) if duration_s >= every => {
                let what = "`arrivals.burst_s` is as long as `burst_every_s`: make it shorter";
                t.wrong(&t.span_of("burst_s"), what);
                Rates::steady(rate)
            }
            (None, Some((factor, every, duration_s))) => {
                Rates::bursts(rate, factor, every, duration_s)
            }
            (None, None) => Rates::steady(rate),
        }
    } else {
        let step = |t: Table| {
            let rate = t.number("rate", 0.001..=MAX_RATE_PER_S, None);
            let duration_s = t.number("for_s", 0.01..=MAX_LENGTH_S, None);
            t.finish();
            (rate, duration_s)
        };
        Rates::steps(steps.into_iter().map(step).collect())
    };
    t.finish();
    Arrivals::Open(spacing, rates)
}
