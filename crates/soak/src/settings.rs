//! Settings shared by the daemons under test and the checks.

use std::time::Duration;

use serde_json::{Value, json};

/// Request class, by the effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Read,
    /// Repeats are deduplicated within one cell during [`DEDUP_WINDOW`].
    Log,
    /// Must never be executed twice.
    Alarm,
}

/// All request classes.
pub const CLASSES: [Class; 3] = [Class::Read, Class::Log, Class::Alarm];
/// Longest time from the first attempt that may have been executed to the last repeat.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(900);
/// Longest time from the notification of a drain to the last attempt.
pub const DRAIN_GRACE: Duration = Duration::from_millis(800);
/// The longest deadline of a request.
pub const MAX_DEADLINE: Duration = Duration::from_millis(1500);
/// Maximum number of attempts for one request.
pub const MAX_ATTEMPTS: usize = 4;
/// Warm-up time of an upstream after its start.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// Capacity of an upstream at its start, as a fraction of its warm capacity.
pub const INITIAL_CAPACITY: f64 = 0.2;
/// An upstream fails when it receives this multiple of its capacity within [`OVERLOAD_WINDOW`].
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Interval over which the load in [`OVERLOAD_MULTIPLE`] counts.
pub const OVERLOAD_WINDOW: Duration = Duration::from_millis(1000);
/// Service time of a request at a warm upstream.
pub const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Number of requests that an upstream processes concurrently.
pub const CONCURRENCY: usize = 2;
/// Number of cells. The upstreams of a cell deduplicate each other's repeats.
pub const CELLS: u32 = 3;

impl Class {
    /// Returns the name of the class on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Log => "log",
            Self::Alarm => "alarm",
        }
    }
}

/// Returns the configuration of the balancer at `position` among `balancers`.
pub fn config(position: usize, balancers: usize, discovery: &str, known: &Value) -> Value {
    let ms = |time: Duration| time.as_millis() as f64;
    let service = |class: Class, effect: &str| {
        json!({"Name": class.name(), "Aim": 600.0, "Deadline": ms(MAX_DEADLINE), "Effect": effect,
            "Group": "cell", "Window": ms(DEDUP_WINDOW)})
    };
    json!({
        "seed": format!("{position:016x}"),
        "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": known,
        "settings": {
            "Balancers": balancers, "Position": position, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"],
            "Tick": 1.0, "RegistryMode": "subscribe",
            "Services": [
                service(Class::Read, "retryable"), service(Class::Log, "dedup"), service(Class::Alarm, "fragile"),
            ],
            "PolicyLimits": {"MaxAttempts": MAX_ATTEMPTS, "RetryAfter": true, "MaxRetryAfter": 500.0,
                "ConnectTimeout": 250.0, "Keepalive": 2000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": ms(WARM_UP), "ColdFrom": INITIAL_CAPACITY, "FallMultiple": OVERLOAD_MULTIPLE,
                "TipAfter": ms(OVERLOAD_WINDOW), "DrainGrace": ms(DRAIN_GRACE), "AnswerSlack": 50.0, "AskEvery": 2000.0},
        },
    })
}
