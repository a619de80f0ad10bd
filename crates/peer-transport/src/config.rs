//! What a wire is set up with: who it is, and how much it may say.

use crate::{DATAGRAM, Incarnation, NodeId};

/// The most members of a bank. Each costs some 400 bytes here, heard of or not.
pub const MEMBERS: u16 = 1_024;

/// How much a balancer may say to all its peers together. In any span of `w` seconds there go at most
/// `burst + w * rate`, by datagrams and by bytes of them, whatever happens.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Datagrams a second.
    pub datagrams: u32,
    /// Datagrams at once.
    pub datagrams_burst: u32,
    /// Bytes a second.
    pub bytes: u32,
    /// Bytes at once.
    pub bytes_burst: u32,
    /// Of the datagrams, hellos a second. Without a bound of their own a storm of them would keep urgent
    /// words waiting.
    pub hellos: u32,
    /// Hellos at once.
    pub hellos_burst: u32,
}

impl Default for Budget {
    /// 2,000 datagrams and 400,000 bytes a second (1 % of a core, 3.2 Mbit/s): an entry of 16 KiB to eight
    /// children is 568 datagrams, and takes 0.2 s; leases, the leader's rounds and council words at rest are
    /// 100 to 200 a second.
    fn default() -> Self {
        let (datagrams, bytes, hellos) = (2_000, 400_000, 256);
        Self {
            datagrams,
            datagrams_burst: 256,
            bytes,
            bytes_burst: 65_536,
            hellos,
            hellos_burst: 64,
        }
    }
}

/// What a wire is set up with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Who this is.
    pub node_id: NodeId,
    /// Members of the bank, this one too: they are `NodeId(0)` to `NodeId(members - 1)`.
    pub members: u16,
    /// Drawn at this process's start from the system's chance, not 0. If two lives of a member in a row draw
    /// the same (one in 2^32), peers that know the first take the second for it, and drop as copies what it
    /// says until it has said as much as the first.
    pub incarnation: Incarnation,
    /// Of nonces and of how long hellos wait. Drawn at the start, too: it makes nonces differ between
    /// members.
    pub seed: u64,
    /// How much it may say.
    pub budget: Budget,
}

/// Why a wire can't be set up so.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The bank is none, too large, or this one is not in it.
    #[error(
        "setting up the wire of member {}: there are {members} members; expected 1 to {MEMBERS}, this one \
         among them",
        .node_id.0
    )]
    Members {
        /// Who it is to be.
        node_id: NodeId,
        /// Of how many.
        members: u16,
    },
    /// 0 stands for a life that is not known.
    #[error("setting up the wire: this life is 0; draw another number")]
    Incarnation,
    /// Bulk is to leave half of the bucket, and some datagram must fit into the other.
    #[error(
        "setting up the wire: a budget of {datagrams} datagrams and {bytes} bytes at once, {hellos} hellos; \
         expected 8, {least} and 1 or more, and rates above 0"
    )]
    Budget {
        /// At once, as set.
        datagrams: u32,
        /// At once, as set.
        bytes: u32,
        /// At once, as set.
        hellos: u32,
        /// The fewest bytes at once.
        least: u32,
    },
}

impl Config {
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        let Self { node_id, members, incarnation, budget, .. } = self;
        if !(1..=MEMBERS).contains(members) || node_id.0 >= *members {
            return Err(ConfigError::Members { node_id: *node_id, members: *members });
        }
        if *incarnation == Incarnation(0) {
            return Err(ConfigError::Incarnation);
        }
        let least = 8 * DATAGRAM as u32;
        let Budget { datagrams_burst, bytes_burst, hellos_burst, .. } = *budget;
        let rates = [budget.datagrams, budget.bytes, budget.hellos];
        if datagrams_burst < 8 || bytes_burst < least || hellos_burst < 1 || rates.contains(&0) {
            let (datagrams, bytes, hellos) = (datagrams_burst, bytes_burst, hellos_burst);
            return Err(ConfigError::Budget { datagrams, bytes, hellos, least });
        }
        Ok(())
    }
}
