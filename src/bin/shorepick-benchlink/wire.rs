//! The wire's messages, borrowed from the input line.

use std::borrow::Cow;

use arrayvec::ArrayVec;
use serde::{Deserialize, Serialize};

pub type Text<'a> = Cow<'a, str>;

#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "Ts")]
    pub ts: f64,
    pub batch: u64,
    #[serde(borrow)]
    pub msgs: Vec<Event<'a>>,
}

/// Only the number of a batch that could not be read whole.
#[derive(Deserialize)]
pub struct BatchNumber {
    pub batch: u64,
}

#[derive(Deserialize)]
pub enum Event<'a> {
    #[serde(borrow)]
    Order(Order<'a>),
    #[serde(borrow)]
    Result(Outcome<'a>),
    TimeoutFired(TimeoutFired),
    #[serde(borrow)]
    Left(Left<'a>),
    #[serde(borrow)]
    Membership(Membership<'a>),
    #[serde(borrow)]
    Sampled(Sampled<'a>),
    #[serde(borrow)]
    Established(Established<'a>),
    Memo(Memo),
    Init(Box<Init>),
    Down(Down),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Order<'a> {
    pub who: u64,
    #[serde(borrow)]
    pub job: Text<'a>,
    pub tier_class: usize,
    #[serde(default)]
    pub party: usize,
    #[serde(borrow, default)]
    pub object: Option<Text<'a>>,
    pub drop_dead: f64,
    #[serde(default)]
    pub cost_guess: Option<f64>,
    #[serde(default)]
    pub resent: bool,
    #[serde(default)]
    pub write: bool,
}

pub type Row = ArrayVec<f64, 4>;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Outcome<'a> {
    pub who: u64,
    #[serde(borrow)]
    pub job: Text<'a>,
    pub go: usize,
    #[serde(borrow)]
    pub upstream: Text<'a>,
    pub rc: u16,
    pub latency: f64,
    #[serde(default)]
    pub last: bool,
    #[serde(default)]
    pub metrics: Option<Row>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TimeoutFired {
    pub who: u64,
    pub token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Left<'a> {
    pub who: u64,
    #[serde(borrow)]
    pub job: Text<'a>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Established<'a> {
    pub who: u64,
    #[serde(borrow)]
    pub job: Text<'a>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sampled<'a> {
    pub who: u64,
    pub rc: u16,
    pub latency: f64,
    #[serde(borrow)]
    pub upstream: Text<'a>,
    #[serde(default)]
    pub metrics: Option<Row>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Memo {
    pub who: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Down {
    pub who: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Membership<'a> {
    pub who: u64,
    pub kind: ListKind,
    #[serde(borrow, default)]
    pub lines: Vec<Line<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListKind {
    Update,
    Replace,
    Restored,
    Unavailable,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Line<'a> {
    #[serde(borrow)]
    pub upstream: Text<'a>,
    #[serde(default)]
    pub az: u32,
    #[serde(default, rename = "Type")]
    pub kind: u32,
    #[serde(default)]
    pub pack: u32,
    pub status: Status,
    #[serde(default = "one")]
    pub capacity_hint: f64,
    #[serde(default)]
    pub online_since: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Live,
    Quiescing,
    Dead,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Init {
    pub who: u64,
    pub entropy: u64,
    pub facts: Facts,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Facts {
    pub balancers: u32,
    #[serde(default)]
    pub position: u32,
    #[serde(default)]
    pub zone: u32,
    #[serde(default)]
    pub zones: Vec<serde::de::IgnoredAny>,
    pub tick: f64,
    pub registry_mode: RegistryMode,
    pub services: Vec<Service>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
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
    pub over_share_worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ScoringMix {
    pub whole: f64,
    pub worst_window: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientHabits {
    pub marks_retry: bool,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CountedBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RegistryMode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    pub aim: f64,
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
    pub aim_stretch: f64,
    #[serde(default)]
    pub streaming: bool,
    #[serde(default)]
    pub by_arrival: bool,
    #[serde(default)]
    pub zones_allowed: Option<Vec<u32>>,
    #[serde(default)]
    pub bound_to: Option<Vec<u32>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    #[serde(default)]
    pub quota_rps: f64,
    #[serde(default)]
    pub share: f64,
}

#[derive(Deserialize)]
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
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    #[serde(default)]
    pub ask_every: f64,
    #[serde(default)]
    pub drain_grace: f64,
    #[serde(default)]
    pub answer_slack: f64,
    pub cold: f64,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub tip_after: f64,
    #[serde(default)]
    pub drain_close: f64,
    #[serde(default)]
    pub turn_gap: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    pub cross_zone: f64,
    pub waste: f64,
    pub handshake: f64,
    pub probe: f64,
    pub late_fail: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Stats {
    pub names: Vec<String>,
    pub how: How,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum How {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

#[derive(Serialize)]
pub enum Command<'a> {
    #[serde(rename_all = "PascalCase")]
    Relay { who: u64, job: &'a str, upstream: &'a str, allow_for: f64 },
    #[serde(rename_all = "PascalCase")]
    NotNow { who: u64, job: &'a str, cool_down: f64 },
    #[serde(rename_all = "PascalCase")]
    FinishError { who: u64, job: &'a str },
    #[serde(rename_all = "PascalCase")]
    Retract { who: u64, job: &'a str, go: usize },
    #[serde(rename_all = "PascalCase")]
    Arm { who: u64, token: u64, instant: f64 },
    #[serde(rename_all = "PascalCase")]
    Ping { who: u64, upstream: &'a str },
    #[serde(rename_all = "PascalCase")]
    FreeLinks { who: u64, upstream: &'a str },
    #[serde(rename_all = "PascalCase")]
    KeepInformed { who: u64, enable: bool },
}
