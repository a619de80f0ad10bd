//! The simulator's wire format: its names and types, borrowed from the input line.
//!
//! No other module spells a name of the wire.

use std::borrow::Cow;

use arrayvec::ArrayVec;
use hollowpaddle_policy::settings::Facts;
use serde::{Deserialize, Serialize};

/// Text that is borrowed from the line where it has no escapes.
pub type Text<'a> = Cow<'a, str>;

/// A line of input: messages to any balancers at one time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The time of all its messages, in milliseconds.
    #[serde(rename = "Ts")]
    pub ts: f64,
    /// The number of the batch.
    pub batch: u64,
    /// Its messages, in order.
    #[serde(borrow)]
    pub msgs: Vec<Event<'a>>,
}

/// Only the number of a batch that could not be read completely.
#[derive(Deserialize)]
pub struct BatchNumber {
    /// The number of the batch.
    pub batch: u64,
}

/// A message to a balancer.
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

/// A client's request has arrived.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Order<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The name of the request.
    #[serde(borrow, rename = "Job")]
    pub request: Text<'a>,
    /// Its class.
    #[serde(rename = "TierClass")]
    pub class: usize,
    /// Its tenant.
    #[serde(default, rename = "Party")]
    pub tenant: usize,
    /// Its routing key, if it has one.
    #[serde(borrow, default, rename = "Object")]
    pub routing_key: Option<Text<'a>>,
    /// When the client gives up, in milliseconds.
    #[serde(rename = "DropDead")]
    pub send_deadline: f64,
    /// Expected work on a reference core in milliseconds, if there is an estimate.
    #[serde(default)]
    pub cost_guess: Option<f64>,
    /// The client has sent it before.
    #[serde(default, rename = "Resent")]
    pub is_resent: bool,
    /// It changes something.
    #[serde(default, rename = "Write")]
    pub is_write: bool,
}

/// The values of a load report, in the order that the settings name.
pub type Row = ArrayVec<f64, 4>;

/// An attempt has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Outcome<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The name of the request.
    #[serde(borrow, rename = "Job")]
    pub request: Text<'a>,
    /// The number of the attempt, from 0.
    #[serde(rename = "Go")]
    pub attempt: usize,
    /// The name of the upstream.
    #[serde(borrow)]
    pub upstream: Text<'a>,
    /// How it ended; see `instance::outcome`.
    #[serde(rename = "Rc")]
    pub status_code: u16,
    /// How long it took, in milliseconds.
    pub latency: f64,
    /// The request is over.
    #[serde(default, rename = "Last")]
    pub is_final: bool,
    /// The load report that came with it.
    #[serde(default, rename = "Metrics")]
    pub load_report: Option<Row>,
}

/// A timer is due.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TimeoutFired {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The token of the timer.
    pub token: u64,
}

/// The client no longer waits.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Left<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The name of the request.
    #[serde(borrow, rename = "Job")]
    pub request: Text<'a>,
}

/// The answer has begun to stream.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Established<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The name of the request.
    #[serde(borrow, rename = "Job")]
    pub request: Text<'a>,
}

/// A health check has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sampled<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// How it ended; see `instance::outcome`.
    #[serde(rename = "Rc")]
    pub status_code: u16,
    /// How long it took, in milliseconds.
    pub latency: f64,
    /// The name of the upstream.
    #[serde(borrow)]
    pub upstream: Text<'a>,
    /// The load report that came with it.
    #[serde(default, rename = "Metrics")]
    pub load_report: Option<Row>,
}

/// A message from another balancer; ignored.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Memo {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
}

/// The balancer has stopped.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Down {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
}

/// A list event.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Membership<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The kind of list event.
    pub kind: ListKind,
    /// Its entries.
    #[serde(borrow, default, rename = "Lines")]
    pub members: Vec<Line<'a>>,
}

/// The kind of a list event.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListKind {
    Update,
    Replace,
    Restored,
    Unavailable,
}

/// One entry of the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Line<'a> {
    /// The name of the upstream.
    #[serde(borrow)]
    pub upstream: Text<'a>,
    /// Its zone.
    #[serde(default, rename = "Az")]
    pub zone: u32,
    /// Its machine type.
    #[serde(default, rename = "Type")]
    pub machine_type: u32,
    /// Its cell.
    #[serde(default, rename = "Pack")]
    pub cell: u32,
    /// Its status.
    pub status: Status,
    /// Relative size; 1 where unknown.
    #[serde(default = "one", rename = "CapacityHint")]
    pub weight: f64,
    /// When it last started, in milliseconds; 0 if that is long ago.
    #[serde(default, rename = "OnlineSince")]
    pub started: f64,
}

fn one() -> f64 {
    1.0
}

/// Status of an upstream.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Live,
    Quiescing,
    Dead,
}

/// The balancer starts.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Init {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The seed of its random numbers.
    #[serde(rename = "Entropy")]
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "Facts")]
    pub settings: Facts,
}

/// A command of a balancer.
#[derive(Serialize)]
pub enum Command<'a> {
    /// Send a request to an upstream.
    #[serde(rename_all = "PascalCase")]
    Relay {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
        upstream: &'a str,
        #[serde(rename = "AllowFor")]
        timeout: f64,
    },
    /// Reject a request.
    #[serde(rename_all = "PascalCase")]
    NotNow {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
        #[serde(rename = "CoolDown")]
        retry_after: f64,
    },
    /// Fail a request.
    #[serde(rename_all = "PascalCase")]
    FinishError {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
    },
    /// Cancel an attempt.
    #[serde(rename_all = "PascalCase")]
    Retract {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
        #[serde(rename = "Go")]
        attempt: usize,
    },
    /// Set a timer.
    #[serde(rename_all = "PascalCase")]
    Arm {
        #[serde(rename = "Who")]
        balancer: u64,
        token: u64,
        #[serde(rename = "Instant")]
        at: f64,
    },
    /// Send a health check.
    #[serde(rename_all = "PascalCase")]
    Ping {
        #[serde(rename = "Who")]
        balancer: u64,
        upstream: &'a str,
    },
    /// Close idle connections.
    #[serde(rename_all = "PascalCase")]
    FreeLinks {
        #[serde(rename = "Who")]
        balancer: u64,
        upstream: &'a str,
    },
    /// Subscribe to the endpoint list.
    #[serde(rename_all = "PascalCase")]
    KeepInformed {
        #[serde(rename = "Who")]
        balancer: u64,
        enable: bool,
    },
}
