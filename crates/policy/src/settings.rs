//! The deployment's settings as they are written in JSON, for every program that hosts a balancer.
//!
//! This is the one place that reads their names and units. Times are in milliseconds;
//! [`Facts::settings`] converts them.

use serde::Deserialize;

use crate::interface::{Report, SignedDuration};
use crate::tenants::Tenants;

mod conversion;

/// Converts milliseconds to a span of whole microseconds; 0 if it is not a number.
pub fn span(ms: f64) -> SignedDuration {
    SignedDuration((ms * 1000.0).round() as i64)
}

/// The FNV-1a hash of a text: the same at every balancer and in every build.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// The value of a routing key: of hex digits their number, of any other text its hash.
pub fn key_hash(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| stable_hash(key))
}

/// What one value of a load report stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Requests in progress.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Share of its cores that is busy.
    Util,
    /// Recent service time in milliseconds.
    Service,
    /// Requests served per second.
    Qps,
    /// Errors per second.
    Eps,
    /// A name that this build does not know.
    Other,
}

impl Field {
    /// The field of this name.
    pub fn named(name: &str) -> Self {
        match name {
            "inflight" => Field::InFlight,
            "queue" => Field::Queue,
            "util" => Field::Util,
            "latency_ms" => Field::Service,
            "qps" => Field::Qps,
            "eps" => Field::Eps,
            _ => Field::Other,
        }
    }

    /// Sets the value of this field in a report.
    pub fn set(self, report: &mut Report, value: f64) {
        match self {
            Field::InFlight => report.inflight = Some(value),
            Field::Queue => report.queue = Some(value),
            Field::Util => report.util = Some(value),
            Field::Service => report.service = Some(span(value)),
            Field::Qps => report.qps = Some(value),
            Field::Eps => report.eps = Some(value),
            Field::Other => {}
        }
    }
}

fn one() -> f64 {
    1.0
}

/// The settings of one balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Facts {
    /// Balancers of the cluster.
    pub balancers: u32,
    /// The number of this balancer among them, from 0.
    #[serde(default)]
    pub position: u32,
    /// The zone of this balancer.
    #[serde(default)]
    pub zone: u32,
    /// Names of the zones, by number.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Names of the machine types, by number.
    #[serde(default)]
    pub machine_types: Vec<String>,
    /// Least time between two deliveries of events, in milliseconds.
    pub tick: f64,
    /// How the endpoint list comes.
    pub registry_mode: RegistryMode,
    /// Request classes, by number.
    pub services: Vec<Service>,
    /// Tenants, by number.
    #[serde(default)]
    pub tenants: Tenants,
    /// What the deployment allows.
    pub policy_limits: PolicyLimits,
    /// Figures of the rules.
    pub safety: Safety,
    /// Prices.
    #[serde(default)]
    pub prices: Prices,
    /// Load reports.
    #[serde(default)]
    pub stats: Stats,
    /// How the service is scored.
    #[serde(default)]
    pub scoring_mix: ScoringMix,
    /// What clients do.
    #[serde(default)]
    pub client_habits: ClientHabits,
    /// What value counts by.
    #[serde(default)]
    pub counted_by: CountedBy,
    /// Priority weight of a request beyond the quota of its tenant, as a part of that of its class.
    #[serde(default = "one")]
    #[serde(rename = "OverShareWorth")]
    pub over_quota_weight: f64,
}

/// Weights of the parts that the service is scored by.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// Its worst window of time.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientHabits {
    /// Clients mark requests that they send again.
    pub marks_retry: bool,
}

/// What value counts by.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CountedBy {
    /// The request.
    #[default]
    Request,
    /// The unit of work.
    Work,
}

/// How the endpoint list comes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RegistryMode {
    /// Without being asked for.
    Automatic,
    /// By a subscription that must be asked for.
    Subscribe,
}

/// A request class; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// An answer within this time has its full value.
    #[serde(rename = "Aim")]
    pub latency_objective: f64,
    /// The longest time that a client waits.
    pub deadline: f64,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// Which upstreams drop repeats of a request with an idempotency key.
    #[serde(default)]
    pub group: Group,
    /// Priority weight of one request.
    #[serde(default = "one")]
    pub importance: f64,
    /// Part of its value that an answer has after the latency objective.
    #[serde(default)]
    pub late_value: f64,
    /// For how long upstreams drop repeats.
    #[serde(default)]
    pub window: f64,
    /// The latency objective grows by this multiple of a request's own work.
    #[serde(default)]
    #[serde(rename = "AimStretch")]
    pub objective_stretch: f64,
    /// The answer is a stream.
    #[serde(default)]
    pub streaming: bool,
    /// Requests that share a key run one after another, in the order of arrival.
    #[serde(default)]
    pub by_arrival: bool,
    /// The only zones that its requests may be sent to, by number.
    #[serde(default)]
    pub zones_allowed: Option<Vec<u32>>,
    /// The only machine types that its requests may be sent to, by number.
    #[serde(default)]
    pub bound_to: Option<Vec<u32>>,
}

/// Whether a request may be repeated.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It may be repeated freely.
    Retryable,
    /// It has an idempotency key.
    Dedup,
    /// It must never run twice.
    Fragile,
}

/// Which upstreams drop one another's repeats.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What the deployment allows; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PolicyLimits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Requests may be hedged.
    #[serde(default)]
    #[serde(rename = "SecondCopies")]
    pub hedging: bool,
    /// Attempts may be cancelled.
    #[serde(default)]
    pub cancelling: bool,
    /// Health checks may be sent to upstreams.
    #[serde(default)]
    pub probes: bool,
    /// Rejections carry advice on when to retry.
    #[serde(default)]
    pub retry_after: bool,
    /// Longest advice that a client follows.
    #[serde(default)]
    pub max_retry_after: f64,
    /// A connection that is not open within this time counts as failed.
    #[serde(default)]
    pub connect_timeout: f64,
    /// Idle connections close after this time.
    #[serde(default)]
    pub keepalive: f64,
    /// Attempts that one connection carries at once, at most.
    #[serde(default)]
    pub streams_per_conn: u32,
    /// Balancers may send messages to one another.
    #[serde(default)]
    pub peer_messages: bool,
}

/// Figures of the rules; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// A change of the list counts as known after this time without an answer, where the list is
    /// polled.
    #[serde(default)]
    #[serde(rename = "AskEvery")]
    pub list_poll_interval: f64,
    /// How long after the notice of a drain a send may still go out.
    #[serde(default)]
    pub drain_grace: f64,
    /// A final answer counts until this long after the client's deadline.
    #[serde(default)]
    pub answer_slack: f64,
    /// Time after which a starting upstream has all of its capacity.
    pub cold: f64,
    /// Share of its capacity that a starting upstream has at least.
    #[serde(rename = "ColdFrom")]
    pub warm_up_initial_share: f64,
    /// A starting upstream is overloaded by this multiple of its present capacity.
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: f64,
    /// How long it must be sent that much to be overloaded.
    #[serde(rename = "TipAfter")]
    pub overload_window: f64,
    /// Idle connections to a draining upstream must be closed within this time; 0 where no rule
    /// says so.
    #[serde(default)]
    #[serde(rename = "DrainClose")]
    pub idle_close_limit: f64,
    /// How long an ordering key rests after an attempt that may still be running.
    #[serde(default)]
    #[serde(rename = "TurnGap")]
    pub ordering_key_rest: f64,
}

/// Prices, each per first attempt, as parts of the value of all requests.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that served no answer, per work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A health check.
    pub probe: f64,
    /// A request that ends unserved after its latency objective has passed.
    #[serde(rename = "LateFail")]
    pub late_failure: f64,
}

/// Load reports of upstreams.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Stats {
    /// What each value of a report stands for, in order.
    pub names: Vec<String>,
    /// How reports come.
    pub how: How,
}

/// How load reports come.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// With answers and health checks.
    Piggyback,
    /// With health checks only.
    Pull,
    /// Not at all.
    #[default]
    Silent,
}
