//! The configuration of one balancer's session records.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

/// How long a permit to send one keyed attempt is valid, counted from the request for the permit. A shorter permit
/// would expire before it arrives when datagrams are lost and sent again; a longer one delays each transfer.
pub const PERMIT_DURATION: Duration = Duration::from_millis(100);

/// [`PERMIT_DURATION`] in milliseconds.
pub(crate) const PERMIT_MS: u64 = PERMIT_DURATION.as_millis() as u64;

/// The identity of a balancer, and the limits that are the same at all balancers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// This balancer.
    pub node_id: NodeId,
    /// The balancer's incarnation.
    pub incarnation: Incarnation,
    /// Whether no process of this cluster can have sent a keyed request within [`Config::retention`] before this
    /// process started, which holds at the very first start of the platform. Use `false` if unsure.
    pub first_start: bool,
    /// How long cells drop repeated requests. The sum of this window and [`Config::max_execution_delay`] is 100 s at
    /// most: spans in messages are bounded, so a longer sum would drop keys too early.
    pub dedup_window: Duration,
    /// The longest time from the sending of an attempt to its execution: the longest deadline.
    pub max_execution_delay: Duration,
    /// The longest wait of a request for a record.
    pub max_wait: Duration,
    /// The remaining time of a request divided by this number bounds the request's wait for a record.
    pub wait_divisor: u32,
    /// The largest number of records.
    pub max_records: usize,
    /// The largest number of keys inside their windows.
    pub max_keys: usize,
    /// The largest number of concurrent ownership claims. Without this limit, many sessions that arrive at once would
    /// use all datagrams, and no transfer would complete in time.
    pub max_claims: usize,
    /// How long a cached record may be used. A transfer waits up to this time for a holder that does not respond.
    pub cache_ttl: Duration,
}

impl Config {
    /// Returns the default configuration of a balancer.
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

    /// Returns the time after which an attempt has no effect any more: the attempt has been executed or never will be,
    /// and cells have forgotten its key.
    pub fn retention(&self) -> Duration {
        PERMIT_DURATION * 2 + self.max_execution_delay + self.dedup_window
    }
}
