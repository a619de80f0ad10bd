//! The wire's messages, borrowed from the input line.

use std::borrow::Cow;

use arrayvec::ArrayVec;
use hollowpaddle_policy::settings::Facts;
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
    #[serde(rename = "DropDead")]
    pub send_deadline: f64,
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
