//! Request classes and tenants.

use super::time::SignedDuration;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may be repeated freely.
    Safe,
    /// The request has an idempotency key: for a limited time, the upstreams of one group drop its
    /// repeats.
    Keyed,
    /// The request must never run twice.
    Unsafe,
}

/// The set of upstreams that recognizes repeats of a request with an idempotency key, also if
/// another upstream of the set ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time has its full value.
    pub latency_objective: SignedDuration,
    /// The longest time that a client waits.
    pub deadline: SignedDuration,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Part of the value that an answer retains after the latency objective.
    pub late_priority_weight: f64,
    /// Whether requests of the class may be repeated.
    pub effect: Effect,
    /// The upstreams that drop repeats of a request with an idempotency key.
    pub group: Group,
    /// How long upstreams drop repeats, from the send of the first attempt that may have run.
    pub window: SignedDuration,
    /// The latency objective grows by this multiple of a request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// Whether answers are streams. [`Event::Started`](crate::interface::Event::Started) reports
    /// that an answer has begun.
    pub streaming: bool,
    /// Whether requests of the class that share a key run one after another, in the order of
    /// arrival.
    pub in_order: bool,
    /// The zones that requests of the class may be sent to; `None` for all.
    pub zones: Option<Vec<u32>>,
    /// The machine types that requests of the class may be sent to; `None` for all.
    pub machine_types: Option<Vec<u32>>,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests a second over all balancers.
    pub quota_rps: f64,
    /// Share of the service that belongs to the tenant.
    pub share: f64,
}

impl Class {
    /// Creates a class of priority weight 1 whose requests may be repeated freely.
    pub fn safe(latency_objective: SignedDuration, deadline: SignedDuration) -> Self {
        Self {
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            effect: Effect::Safe,
            group: Group::All,
            window: SignedDuration(0),
            objective_stretch: 0.0,
            streaming: false,
            in_order: false,
            zones: None,
            machine_types: None,
        }
    }
}
