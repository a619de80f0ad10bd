//! The configuration of one balancer's session records.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

/// How long a permit to send one keyed attempt is valid, from the request for it on. A shorter one would expire on the
/// way when datagrams are lost; a longer one delays each transfer.
pub const PERMIT_DURATION: Duration = Duration::from_millis(100);

/// [`PERMIT_DURATION`] in milliseconds.
pub(crate) const PERMIT_MS: u64 = PERMIT_DURATION.as_millis() as u64;

/// The identity of a balancer, and the figures that all balancers agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The balancer.
    pub node_id: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether no process of this cluster can have sent a keyed request within [`Config::retention`] before this one
    /// started: the very first start of the platform. When in doubt, `false`.
    pub first_start: bool,
    /// How long cells drop repeated requests. Together with [`Config::max_execution_delay`] 100 s at most: spans in
    /// messages are bounded, and keys would be forgotten too early.
    pub dedup_window: Duration,
    /// An attempt that was sent is executed within this time or never: the longest deadline.
    pub max_execution_delay: Duration,
    /// The longest wait for a record.
    pub max_wait: Duration,
    /// A wait for a record takes at most one part in so many of a request's remaining time.
    pub wait_divisor: u32,
    /// The most records.
    pub max_records: usize,
    /// The most keys inside their windows.
    pub max_keys: usize,
    /// The most ownership claims at a time, so that a mass arrival does not take all datagrams and finish no transfer in
    /// time.
    pub max_claims: usize,
    /// How long a cached record may be used, which is how long a transfer waits for a holder that does not respond.
    pub cache_ttl: Duration,
}

impl Config {
    /// A configuration with the usual figures.
    pub fn new(node_id: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node_id,
            incarnation,
            first_start: false,
            dedup_window: Duration::from_secs(10),
            max_execution_delay: Duration::from_secs(3),
            max_wait: Duration::from_millis(25),
            wait_divisor: 20,
            max_records: 200_000,
            max_keys: 200_000,
            max_claims: 256,
            cache_ttl: Duration::from_millis(500),
        }
    }

    /// After this time nothing that was sent can matter any more: it has been executed, and cells have forgotten it.
    pub fn retention(&self) -> Duration {
        PERMIT_DURATION * 2 + self.max_execution_delay + self.dedup_window
    }
}
