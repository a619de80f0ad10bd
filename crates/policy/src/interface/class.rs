//! Request classes and tenants.

use super::time::Span;

/// What repeating a request can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Repeats are dropped by the upstreams of one group, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which upstreams drop each other's repeats of a keyed request.
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
    /// An answer within this time earns the full worth.
    pub latency_objective: Span,
    /// The longest a client waits.
    pub deadline: Span,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth for an answer after the aim.
    pub late_priority_weight: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Who drops repeats of a keyed request.
    pub group: Group,
    /// For how long they do, from the send of the first attempt that may have run.
    pub window: Span,
    /// The aim grows by this multiple of a request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// The answer is a stream: [`Event::Started`](crate::interface::Event::Started) tells that it has begun.
    pub streaming: bool,
    /// Requests of such classes that share a key take turns, in the order in which they came.
    pub in_order: bool,
    /// The only zones it may be sent to; `None` for any.
    pub zones: Option<Vec<u32>>,
    /// The only machine kinds it may be sent to; `None` for any.
    pub kinds: Option<Vec<u32>>,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second inside its share, over all balancers.
    pub quota_rps: f64,
    /// Its part of the service.
    pub share: f64,
}

impl Class {
    /// A class that may be repeated freely, of worth 1, with this aim and deadline.
    pub fn safe(latency_objective: Span, deadline: Span) -> Self {
        Self {
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            effect: Effect::Safe,
            group: Group::All,
            window: Span(0),
            objective_stretch: 0.0,
            streaming: false,
            in_order: false,
            zones: None,
            kinds: None,
        }
    }
}
