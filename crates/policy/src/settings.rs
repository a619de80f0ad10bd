//! The settings of a deployment in JSON, for all programs that host a balancer.
//!
//! Only this module knows the names and units of the settings. Times are in milliseconds;
//! [`Facts::settings`] converts them.

use serde::Deserialize;

use crate::interface::{Report, SignedDuration};
use crate::tenants::Tenants;

mod conversion;

/// Converts milliseconds to a duration, rounded to whole microseconds; zero for NaN.
pub fn span(ms: f64) -> SignedDuration {
    SignedDuration((ms * 1000.0).round() as i64)
}

/// Returns the FNV-1a hash of a text, which is the same at every balancer and in every build.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Returns the value of a routing key: the number if the key is hexadecimal, otherwise its hash.
pub fn key_hash(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| stable_hash(key))
}

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Requests in progress.
    InFlight,
    /// Queued requests.
    Queue,
    /// Share of the cores that is busy.
    Util,
    /// Recent service time in milliseconds.
    Service,
    /// Requests served per second.
    Qps,
    /// Errors per second.
    Eps,
    /// A field that this build does not know.
    Other,
}

impl Field {
    /// Returns the field of this name.
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
    /// Number of balancers of the cluster.
    pub balancers: u32,
    /// Number of this balancer in the cluster, from 0.
    #[serde(default)]
    pub position: u32,
    /// Zone of this balancer.
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
    /// How discovery delivers the endpoint list.
    pub registry_mode: RegistryMode,
    /// Request classes, by number.
    pub services: Vec<Service>,
    /// Tenants, by number.
    #[serde(default)]
    pub tenants: Tenants,
    /// Limits and optional features that the deployment sets.
    pub policy_limits: PolicyLimits,
    /// Parameters of the rules.
    pub safety: Safety,
    /// Prices.
    #[serde(default)]
    pub prices: Prices,
    /// Load reports.
    #[serde(default)]
    pub stats: Stats,
    /// Weights of the parts of the service score.
    #[serde(default)]
    pub scoring_mix: ScoringMix,
    /// Behaviour of clients.
    #[serde(default)]
    pub client_habits: ClientHabits,
    /// The unit by which value is counted.
    #[serde(default)]
    pub counted_by: CountedBy,
    /// Priority weight of a request beyond the quota of its tenant, as a share of the priority
    /// weight of its class.
    #[serde(default = "one")]
    #[serde(rename = "OverShareWorth")]
    pub over_quota_weight: f64,
}

/// Weights of the parts of the service score.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// The worst time window of the run.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// Behaviour of clients.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientHabits {
    /// Whether clients mark requests that they send again.
    pub marks_retry: bool,
}

/// The unit by which value is counted.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CountedBy {
    /// Value is counted per request.
    #[default]
    Request,
    /// Value is counted per unit of work.
    Work,
}

/// How discovery delivers the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RegistryMode {
    /// Discovery sends the list without a request.
    Automatic,
    /// The balancer must subscribe to the list.
    Subscribe,
}

/// A request class; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// Name of the class.
    #[serde(default)]
    pub name: String,
    /// An answer within this time has its full value.
    #[serde(rename = "Aim")]
    pub latency_objective: f64,
    /// The longest time that a client waits.
    pub deadline: f64,
    /// Whether requests of the class may be repeated.
    pub effect: Effect,
    /// The upstreams that drop repeats of a request with an idempotency key.
    #[serde(default)]
    pub group: Group,
    /// Priority weight of one request.
    #[serde(default = "one")]
    #[serde(rename = "Importance")]
    pub priority_weight: f64,
    /// Part of the value that an answer retains after the latency objective.
    #[serde(default)]
    #[serde(rename = "LateValue")]
    pub late_priority_weight: f64,
    /// How long upstreams drop repeats.
    #[serde(default)]
    pub window: f64,
    /// The latency objective grows by this multiple of a request's own work.
    #[serde(default)]
    #[serde(rename = "AimStretch")]
    pub objective_stretch: f64,
    /// Whether answers are streams.
    #[serde(default)]
    pub streaming: bool,
    /// Whether requests that share a key run one after another, in the order of arrival.
    #[serde(default)]
    #[serde(rename = "ByArrival")]
    pub in_order: bool,
    /// The zones that requests of the class may be sent to, by number; `None` for all.
    #[serde(default)]
    pub zones_allowed: Option<Vec<u32>>,
    /// The machine types that requests of the class may be sent to, by number; `None` for all.
    #[serde(default)]
    pub bound_to: Option<Vec<u32>>,
}

/// Whether a request may be repeated.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// The request may be repeated freely.
    Retryable,
    /// The request has an idempotency key.
    Dedup,
    /// The request must never run twice.
    Fragile,
}

/// The set of upstreams that recognizes repeats of a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All upstreams.
    #[default]
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// Limits and optional features that the deployment sets; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PolicyLimits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Whether requests may be hedged.
    #[serde(default)]
    #[serde(rename = "SecondCopies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(default)]
    pub cancelling: bool,
    /// Whether health checks may be sent to upstreams.
    #[serde(default)]
    pub probes: bool,
    /// Whether rejections carry a Retry-After.
    #[serde(default)]
    pub retry_after: bool,
    /// Longest Retry-After that clients respect.
    #[serde(default)]
    pub max_retry_after: f64,
    /// A connection that is not open within this time counts as failed.
    #[serde(default)]
    pub connect_timeout: f64,
    /// Idle connections close after this time.
    #[serde(default)]
    pub keepalive: f64,
    /// Most concurrent attempts on one connection.
    #[serde(default)]
    pub streams_per_conn: u32,
    /// Whether balancers may send messages to one another.
    #[serde(default)]
    pub peer_messages: bool,
}

/// Parameters of the rules; times in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// Interval of polls of the endpoint list, where it is polled. A change counts as known after
    /// this time without an answer.
    #[serde(default)]
    #[serde(rename = "AskEvery")]
    pub list_poll_interval: f64,
    /// Time for which sends are still allowed after an upstream is reported as draining.
    #[serde(default)]
    pub drain_grace: f64,
    /// A final answer counts until this time after the client's deadline.
    #[serde(default)]
    pub answer_slack: f64,
    /// Time after which a starting upstream has its full capacity.
    #[serde(rename = "Cold")]
    pub warm_up: f64,
    /// Least share of its full capacity that a starting upstream has, from 0 to 1.
    #[serde(rename = "ColdFrom")]
    pub warm_up_initial_share: f64,
    /// A starting upstream is overloaded when it is sent more than this many times its present
    /// capacity for [`Self::overload_window`].
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: f64,
    /// Time for which the sends must exceed [`Self::overload_multiple`] to overload an upstream.
    #[serde(rename = "TipAfter")]
    pub overload_window: f64,
    /// Idle connections to a draining upstream must be closed within this time; zero where no rule
    /// requires it.
    #[serde(default)]
    #[serde(rename = "DrainClose")]
    pub idle_close_limit: f64,
    /// Time for which an ordering key is blocked after an attempt that may still be running.
    #[serde(default)]
    #[serde(rename = "TurnGap")]
    pub ordering_key_rest: f64,
}

/// Prices, each per first attempt, as shares of the value of all requests.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that led to no answer, per work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A health check.
    pub probe: f64,
    /// A request that ends unserved after its latency objective has passed.
    #[serde(rename = "LateFail")]
    pub late_failure: f64,
}

/// Settings of the load reports of upstreams.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Stats {
    /// Names of the values of a report, in order.
    pub names: Vec<String>,
    /// How upstreams deliver reports.
    pub how: How,
}

/// How upstreams deliver load reports.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// Answers and health checks carry load reports.
    Piggyback,
    /// Only health checks carry load reports.
    Pull,
    /// Upstreams deliver no load reports.
    #[default]
    Silent,
}
