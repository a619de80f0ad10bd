//! The configuration of a transport, and its validation. The daemon reads it from a file.

use crate::{Incarnation, MAX_DATAGRAM_BYTES, NodeId};

/// Largest number of balancers in a cluster. Each takes some 400 bytes of the transport, even if no
/// datagram was received from it.
pub const MAX_CLUSTER_SIZE: u16 = 1_024;

/// Smallest burst, in datagrams of full length.
const MIN_BURST_DATAGRAMS: u32 = 8;

/// The rate at which a balancer may send to all its peers together.
///
/// In any span of `w` seconds at most `burst + w * rate` is sent, in datagrams and in their bytes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Datagrams a second.
    pub datagrams: u32,
    /// Burst of datagrams.
    pub datagrams_burst: u32,
    /// Bytes a second.
    pub bytes: u32,
    /// Burst of bytes.
    pub bytes_burst: u32,
    /// Handshakes a second, which count as datagrams, too. Without a separate limit, many handshakes at once
    /// would delay urgent messages.
    pub handshakes: u32,
    /// Burst of handshakes.
    pub handshakes_burst: u32,
}

impl Default for Budget {
    /// 2,000 datagrams and 400,000 bytes a second, which is 3.2 Mbit/s. An entry of 16 KiB for eight children
    /// takes 568 datagrams; leases, heartbeats and idle replication take 100 to 200 a second.
    fn default() -> Self {
        Self {
            datagrams: 2_000,
            datagrams_burst: 256,
            bytes: 400_000,
            bytes_burst: 65_536,
            handshakes: 256,
            handshakes_burst: 64,
        }
    }
}

/// The configuration of a transport.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// This balancer.
    pub node_id: NodeId,
    /// Number of balancers in the cluster, this one included: `NodeId(0)` to `NodeId(members - 1)`.
    pub members: u16,
    /// The incarnation of this process: a random number from the operating system, other than 0. If two
    /// consecutive incarnations of a balancer choose the same number (one in 2^32), peers take the second for
    /// the first, and drop the messages of the second as duplicates until it has sent as many as the first.
    pub incarnation: Incarnation,
    /// Seed of challenges and of handshake backoff. Each process chooses a random seed, so that challenges
    /// differ between balancers.
    pub seed: u64,
    /// Limits on sending.
    pub budget: Budget,
}

/// An invalid configuration of a transport.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The cluster is empty or too large, or this balancer is not in it.
    #[error(
        "setting up the peer transport of balancer {}: the cluster has {members} balancers; expected 1 to \
         {MAX_CLUSTER_SIZE}, this one included",
        .node_id.0
    )]
    Members {
        /// The configured balancer.
        node_id: NodeId,
        /// The configured number of balancers.
        members: u16,
    },
    /// The incarnation is 0, which stands for an unknown one.
    #[error("setting up the peer transport: the incarnation is 0; choose another number")]
    Incarnation,
    /// A burst is too small, or a rate is 0. Bulk traffic may use only half of a bucket, and a datagram must
    /// fit into that half.
    #[error(
        "setting up the peer transport: bursts of {datagrams} datagrams, {bytes} bytes and {handshakes} \
         handshakes; expected at least 8, {min_bytes} and 1, and rates above 0"
    )]
    Budget {
        /// Configured burst of datagrams.
        datagrams: u32,
        /// Configured burst of bytes.
        bytes: u32,
        /// Configured burst of handshakes.
        handshakes: u32,
        /// The smallest burst of bytes.
        min_bytes: u32,
    },
}

impl Config {
    /// Checks that a transport can work with this configuration.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let Self { node_id, members, incarnation, budget, .. } = self;
        if !(1..=MAX_CLUSTER_SIZE).contains(members) || node_id.0 >= *members {
            return Err(ConfigError::Members { node_id: *node_id, members: *members });
        }
        if *incarnation == Incarnation(0) {
            return Err(ConfigError::Incarnation);
        }
        budget.validate()
    }
}

impl Budget {
    fn validate(&self) -> Result<(), ConfigError> {
        let min_bytes = MIN_BURST_DATAGRAMS * MAX_DATAGRAM_BYTES as u32;
        let has_bursts = self.datagrams_burst >= MIN_BURST_DATAGRAMS
            && self.bytes_burst >= min_bytes
            && self.handshakes_burst >= 1;
        let has_rates = self.datagrams > 0 && self.bytes > 0 && self.handshakes > 0;
        if has_bursts && has_rates {
            return Ok(());
        }
        Err(ConfigError::Budget {
            datagrams: self.datagrams_burst,
            bytes: self.bytes_burst,
            handshakes: self.handshakes_burst,
            min_bytes,
        })
    }
}
