//! Request classes and tenants.

use super::time::SignedDuration;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// It has an idempotency key: the upstreams of one group drop its repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which upstreams drop one another's repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
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
    /// Part of its value that an answer has after the latency objective.
    pub late_priority_weight: f64,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// Which upstreams drop repeats of a request with an idempotency key.
    pub group: Group,
    /// For how long they do, from the send of the first attempt that may have run.
    pub window: SignedDuration,
    /// The latency objective grows by this multiple of a request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// The answer is a stream: [`Event::Started`](crate::interface::Event::Started) reports that it
    /// has begun.
    pub streaming: bool,
    /// Requests of such classes that share a key run one after another, in the order of arrival.
    pub in_order: bool,
    /// The only zones that its requests may be sent to; `None` for all.
    pub zones: Option<Vec<u32>>,
    /// The only machine types that its requests may be sent to; `None` for all.
    pub machine_types: Option<Vec<u32>>,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its quota: requests a second over all balancers.
    pub quota_rps: f64,
    /// Its part of the service.
    pub share: f64,
}

impl Class {
    /// A class whose requests may be repeated freely, of priority weight 1.
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
