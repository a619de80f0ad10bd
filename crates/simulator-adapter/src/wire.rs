//! The names and types of the simulator's wire format. Text is borrowed from the input line.
//!
//! This is the only module that contains names of the wire format.

use std::borrow::Cow;

use arrayvec::ArrayVec;
use hollowpaddle_policy::settings::Facts;
use serde::{Deserialize, Serialize};

/// Text that is borrowed from the line unless it contains escapes.
pub type Text<'a> = Cow<'a, str>;

/// A line of input: messages for any balancers at one point in time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The time of the messages, in milliseconds.
    #[serde(rename = "Ts")]
    pub ts: f64,
    /// The number of the batch.
    pub batch: u64,
    /// The messages, in order.
    #[serde(borrow)]
    pub msgs: Vec<Event<'a>>,
}

/// The number of a batch whose messages could not be parsed.
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

/// Reports that a client's request has arrived.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Order<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The name of the request.
    #[serde(borrow, rename = "Job")]
    pub request: Text<'a>,
    /// The number of the class.
    #[serde(rename = "TierClass")]
    pub class: usize,
    /// The number of the tenant.
    #[serde(default, rename = "Party")]
    pub tenant: usize,
    /// The routing key, if the request has one.
    #[serde(borrow, default, rename = "Object")]
    pub routing_key: Option<Text<'a>>,
    /// When the client gives up, in milliseconds.
    #[serde(rename = "DropDead")]
    pub send_deadline: f64,
    /// Expected work on a reference core in milliseconds, if there is an estimate.
    #[serde(default)]
    pub cost_guess: Option<f64>,
    /// Whether the client has sent the request before.
    #[serde(default, rename = "Resent")]
    pub is_resent: bool,
    /// Whether the request changes state.
    #[serde(default, rename = "Write")]
    pub is_write: bool,
}

/// The values of a load report, in the order of their names in the settings.
pub type Row = ArrayVec<f64, 4>;

/// Reports that an attempt has ended.
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
    /// The status code; see `instance::outcome`.
    #[serde(rename = "Rc")]
    pub status_code: u16,
    /// The duration in milliseconds.
    pub latency: f64,
    /// Whether the request has its final answer.
    #[serde(default, rename = "Last")]
    pub is_final: bool,
    /// The load report of the upstream.
    #[serde(default, rename = "Metrics")]
    pub load_report: Option<Row>,
}

/// Reports that a timer is due.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TimeoutFired {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The token of the timer.
    pub token: u64,
}

/// Reports that the client no longer waits for an answer.
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

/// Reports that a streamed answer has begun.
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

/// Reports that a health check has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Sampled<'a> {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The status code; see `instance::outcome`.
    #[serde(rename = "Rc")]
    pub status_code: u16,
    /// The duration in milliseconds.
    pub latency: f64,
    /// The name of the upstream.
    #[serde(borrow)]
    pub upstream: Text<'a>,
    /// The load report of the upstream.
    #[serde(default, rename = "Metrics")]
    pub load_report: Option<Row>,
}

/// A message from another balancer, which is ignored.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Memo {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
}

/// Reports that the balancer has stopped.
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
    /// The entries of the event.
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
    /// The number of the zone.
    #[serde(default, rename = "Az")]
    pub zone: u32,
    /// The number of the machine type.
    #[serde(default, rename = "Type")]
    pub machine_type: u32,
    /// The number of the cell.
    #[serde(default, rename = "Pack")]
    pub cell: u32,
    /// The status.
    pub status: Status,
    /// Relative size; 1 where unknown.
    #[serde(default = "one", rename = "CapacityHint")]
    pub weight: f64,
    /// When the upstream last started, in milliseconds; 0 if that is long ago.
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

/// Starts a balancer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Init {
    /// The balancer that it concerns.
    #[serde(rename = "Who")]
    pub balancer: u64,
    /// The seed of the random number generator.
    #[serde(rename = "Entropy")]
    pub seed: u64,
    /// The settings.
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
