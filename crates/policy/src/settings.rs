//! The deployment's settings as JSON states them, for every program that hosts a balancer: one reading of
//! names and units, or the bench and the service would drift apart.
#![allow(missing_docs)] // the fields are named and explained where the deployment states them

use serde::Deserialize;

use crate::interface::{self as d, Report, Span};
use crate::tenants::Tenants;

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

impl Facts {
    /// What the numbers of classes, zones and kinds mean, in one figure: the same wherever these names stand in the
    /// same order.
    pub fn meaning(&self) -> u64 {
        let classes: Vec<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        stable_hash(&format!("{classes:?} {:?} {:?}", self.zones, self.machine_types))
    }

    /// The module's settings: names become indexes, milliseconds microseconds.
    pub fn settings(&self) -> d::Settings {
        let facts = self;
        let class = |s: &Service| d::Class {
            latency_objective: span(s.latency_objective),
            deadline: span(s.deadline),
            priority_weight: s.importance,
            late_priority_weight: s.late_value,
            effect: match s.effect {
                Effect::Retryable => d::Effect::Safe,
                Effect::Dedup => d::Effect::Keyed,
                Effect::Fragile => d::Effect::Unsafe,
            },
            group: match s.group {
                Group::All => d::Group::All,
                Group::Zone => d::Group::Zone,
                Group::Cell => d::Group::Cell,
            },
            window: span(s.window),
            objective_stretch: s.objective_stretch,
            streaming: s.streaming,
            in_order: s.by_arrival,
            zones: s.zones_allowed.clone(),
            kinds: s.bound_to.clone(),
        };
        let limits = &facts.policy_limits;
        d::Settings {
            classes: facts.services.iter().map(class).collect(),
            tenants: facts
                .tenants
                .iter()
                .map(|t| d::Tenant { quota_rps: t.quota_rps, share: t.share })
                .collect(),
            balancers: facts.balancers,
            position: facts.position,
            zones: facts.zones.len() as u32,
            zone: facts.zone,
            tick: span(facts.tick),
            polls_list: facts.registry_mode == RegistryMode::Subscribe,
            limits: d::Limits {
                max_attempts: limits.max_attempts,
                second_copies: limits.second_copies,
                cancel: limits.cancelling,
                probes: limits.probes,
                retry_after: limits.retry_after,
                max_retry_after: span(limits.max_retry_after),
                connect_timeout: span(limits.connect_timeout),
                keepalive: span(limits.keepalive),
                streams_per_conn: limits.streams_per_conn,
            },
            rules: d::Rules {
                warm_up_initial_share: facts.safety.warm_up_initial_share,
                warm_up: span(facts.safety.cold),
                fall_multiple: facts.safety.fall_multiple,
                tip_after: span(facts.safety.tip_after),
                drain_grace: span(facts.safety.drain_grace),
                answer_slack: span(facts.safety.answer_slack),
                list_poll_interval: span(facts.safety.list_poll_interval),
                drain_close: span(facts.safety.drain_close),
                turn_gap: span(facts.safety.turn_gap),
            },
            prices: d::Prices {
                cross_zone: facts.prices.cross_zone,
                waste: facts.prices.waste,
                handshake: facts.prices.handshake,
                probe: facts.prices.probe,
                late_fail: facts.prices.late_fail,
            },
            mix: d::ScoringMix {
                whole: facts.scoring_mix.whole,
                worst_window: facts.scoring_mix.worst_window,
                worst_class: facts.scoring_mix.worst_class,
                worst_tenant: facts.scoring_mix.worst_tenant,
            },
            over_quota_weight: facts.over_quota_weight,
            by_work: facts.counted_by == CountedBy::Work,
            marks_retry: facts.client_habits.marks_retry,
            reports: match facts.stats.how {
                How::Piggyback => d::Reports::Answers,
                How::Pull => d::Reports::Probes,
                How::Silent => d::Reports::None,
            },
            barring: false,
            meaning: facts.meaning(),
        }
    }
}
