//! The deployment's settings as JSON states them, for every program that hosts a balancer: one reading of
//! names and units, or the bench and the service would drift apart.
#![allow(missing_docs)] // the fields are named and explained where the deployment states them

use serde::Deserialize;

use crate::interface::{Report, Span};
use crate::tenants::Tenants;

mod conversion;

/// Milliseconds in whole microseconds; whatever is not a number is 0.
pub fn span(ms: f64) -> Span {
    Span((ms * 1000.0).round() as i64)
}

/// FNV-1a: the same at every balancer and in every build.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// A routing key: hex digits as they are, whatever else by its hash.
pub fn key_hash(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| stable_hash(key))
}

/// What one value of a load report tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    InFlight,
    Queue,
    Util,
    Service,
    Qps,
    Eps,
    /// A name this build does not know.
    Other,
}

impl Field {
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

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Facts {
    pub balancers: u32,
    #[serde(default)]
    pub position: u32,
    #[serde(default)]
    pub zone: u32,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub machine_types: Vec<String>,
    pub tick: f64,
    pub registry_mode: RegistryMode,
    pub services: Vec<Service>,
    #[serde(default)]
    pub tenants: Tenants,
    pub policy_limits: PolicyLimits,
    pub safety: Safety,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub stats: Stats,
    #[serde(default)]
    pub scoring_mix: ScoringMix,
    #[serde(default)]
    pub client_habits: ClientHabits,
    #[serde(default)]
    pub counted_by: CountedBy,
    #[serde(default = "one")]
    #[serde(rename = "OverShareWorth")]
    pub over_quota_weight: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ScoringMix {
    pub whole: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientHabits {
    pub marks_retry: bool,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CountedBy {
    #[default]
    Request,
    Work,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RegistryMode {
    Automatic,
    Subscribe,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "Aim")]
    pub latency_objective: f64,
    pub deadline: f64,
    pub effect: Effect,
    #[serde(default)]
    pub group: Group,
    #[serde(default = "one")]
    pub importance: f64,
    #[serde(default)]
    pub late_value: f64,
    #[serde(default)]
    pub window: f64,
    #[serde(default)]
    #[serde(rename = "AimStretch")]
    pub objective_stretch: f64,
    #[serde(default)]
    pub streaming: bool,
    #[serde(default)]
    pub by_arrival: bool,
    #[serde(default)]
    pub zones_allowed: Option<Vec<u32>>,
    #[serde(default)]
    pub bound_to: Option<Vec<u32>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PolicyLimits {
    pub max_attempts: usize,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default)]
    pub cancelling: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after: f64,
    #[serde(default)]
    pub connect_timeout: f64,
    #[serde(default)]
    pub keepalive: f64,
    #[serde(default)]
    pub streams_per_conn: u32,
    #[serde(default)]
    pub peer_messages: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    #[serde(default)]
    #[serde(rename = "AskEvery")]
    pub list_poll_interval: f64,
    #[serde(default)]
    pub drain_grace: f64,
    #[serde(default)]
    pub answer_slack: f64,
    pub cold: f64,
    #[serde(rename = "ColdFrom")]
    pub warm_up_initial_share: f64,
    pub fall_multiple: f64,
    pub tip_after: f64,
    #[serde(default)]
    pub drain_close: f64,
    #[serde(default)]
    pub turn_gap: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    pub cross_zone: f64,
    pub waste: f64,
    pub handshake: f64,
    pub probe: f64,
    pub late_fail: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Stats {
    pub names: Vec<String>,
    pub how: How,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum How {
    Piggyback,
    Pull,
    #[default]
    Silent,
}
