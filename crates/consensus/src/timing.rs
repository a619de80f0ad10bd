//! Intervals and timeouts that several parts of the protocol share.

use std::time::Duration;

/// Interval between successive heartbeats of a voter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a heartbeat after which a peer counts as disconnected: four successive heartbeats were lost.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(450);
/// Time since the last heartbeat that a majority acknowledged after which a leader steps down.
pub const QUORUM_LOSS_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a view change that has not succeeded is retried.
pub(crate) const VIEW_CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which learners are queried for copies of the log before an epoch is bootstrapped. A view without a leader
/// counts as stuck after the same time.
pub const LEARNER_QUERY_PERIOD: Duration = Duration::from_secs(1);
