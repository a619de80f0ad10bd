//! The configuration of a transport, and its validation; reading it from a file is left to the daemon.

use crate::{Incarnation, MAX_DATAGRAM_BYTES, NodeId};

/// Largest number of balancers in a cluster. Each costs some 400 bytes here, whether it was heard or not.
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
    /// Handshakes a second, which are part of the datagrams. Without a bound of their own a handshake storm
    /// would delay urgent messages.
    pub hellos: u32,
    /// Burst of handshakes.
    pub hellos_burst: u32,
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
            hellos: 256,
            hellos_burst: 64,
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
    /// Chosen at this process's start from the system's randomness, and not 0. If two consecutive
    /// incarnations of a balancer choose the same number (one in 2^32), peers take the second for the first,
    /// and drop its messages as duplicates until it has sent as many as the first.
    pub incarnation: Incarnation,
    /// Seed of challenges and of handshake backoff. Chosen at the start, too, so that challenges differ
    /// between balancers.
    pub seed: u64,
    /// Limits on sending.
    pub budget: Budget,
}

/// Why a transport can't be set up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The cluster is empty or too large, or this balancer is not in it.
    #[error(
        "setting up the wire of member {}: there are {members} members; expected 1 to {MAX_CLUSTER_SIZE}, this one \
         among them",
        .node_id.0
    )]
    Members {
        /// The configured balancer.
        node_id: NodeId,
        /// The configured number of balancers.
        members: u16,
    },
    /// The incarnation is 0, which stands for an unknown one.
    #[error("setting up the wire: this life is 0; draw another number")]
    Incarnation,
    /// A burst is too small: half of the bucket is reserved from bulk traffic, and a datagram must fit into
    /// the other half.
    #[error(
        "setting up the wire: a budget of {datagrams} datagrams and {bytes} bytes at once, {hellos} hellos; \
         expected 8, {least} and 1 or more, and rates above 0"
    )]
    Budget {
        /// Configured burst of datagrams.
        datagrams: u32,
        /// Configured burst of bytes.
        bytes: u32,
        /// Configured burst of handshakes.
        hellos: u32,
        /// The smallest burst of bytes.
        least: u32,
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
            && self.hellos_burst >= 1;
        let has_rates = self.datagrams > 0 && self.bytes > 0 && self.hellos > 0;
        if has_bursts && has_rates {
            return Ok(());
        }
        Err(ConfigError::Budget {
            datagrams: self.datagrams_burst,
            bytes: self.bytes_burst,
            hellos: self.hellos_burst,
            least: min_bytes,
        })
    }
}
