//! A compact set of balancers with one bit per balancer: 38 bytes for 300 balancers.

use std::fmt;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum number of balancers in a cluster. A set of 512 balancers takes 64 bytes, and a message holds two sets.
pub const MAX_NODES: u16 = 512;

/// Length of the full bit set, in bytes.
const BYTES: usize = MAX_NODES as usize / 8;

/// A set of balancers with numbers below [`MAX_NODES`]. Balancers with other numbers are never contained.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeSet([u8; BYTES]);

impl Default for NodeSet {
    fn default() -> Self {
        Self([0; BYTES])
    }
}

impl fmt::Debug for NodeSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter().map(|node| node.0)).finish()
    }
}

impl NodeSet {
    /// Returns the set of the first `count` balancers.
    pub fn first(count: u16) -> Self {
        (0..count).map(NodeId).collect()
    }

    /// Adds a balancer.
    pub fn insert(&mut self, node: NodeId) {
        if let Some(byte) = self.0.get_mut(usize::from(node.0 / 8)) {
            *byte |= 1 << (node.0 % 8);
        }
    }

    /// Removes a balancer.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(byte) = self.0.get_mut(usize::from(node.0 / 8)) {
            *byte &= !(1 << (node.0 % 8));
        }
    }

    /// Returns whether the set contains the balancer.
    pub fn contains(&self, node: NodeId) -> bool {
        self.0.get(usize::from(node.0 / 8)).is_some_and(|byte| byte & (1 << (node.0 % 8)) != 0)
    }

    /// Adds all balancers of `other`.
    pub fn extend(&mut self, other: &Self) {
        self.0.iter_mut().zip(other.0).for_each(|(byte, more)| *byte |= more);
    }

    /// Returns the balancers of this set that are not in `other`.
    pub fn without(&self, other: &Self) -> Self {
        let mut difference = *self;
        difference.0.iter_mut().zip(other.0).for_each(|(byte, less)| *byte &= !less);
        difference
    }

    /// Returns the number of balancers in the set.
    pub fn len(&self) -> usize {
        self.0.iter().map(|b| b.count_ones() as usize).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; BYTES]
    }

    /// Returns the balancers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        let bytes = self.0.iter().zip(0_u16..).filter(|(byte, _)| **byte != 0);
        bytes.flat_map(|(byte, at)| {
            (0..8).filter(move |bit| byte & (1 << bit) != 0).map(move |bit| NodeId(8 * at + bit))
        })
    }
}

impl FromIterator<NodeId> for NodeSet {
    fn from_iter<I: IntoIterator<Item = NodeId>>(nodes: I) -> Self {
        let mut set = Self::default();
        nodes.into_iter().for_each(|node| set.insert(node));
        set
    }
}

/// Encodes the bytes of the bit set up to the last non-zero byte.
impl Serialize for NodeSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let used = self.0.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1);
        serializer.serialize_bytes(&self.0[..used])
    }
}

impl<'de> Deserialize<'de> for NodeSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = Vec::<u8>::deserialize(deserializer)?;
        if bytes.len() > BYTES || bytes.last() == Some(&0) {
            return Err(serde::de::Error::custom(
                "no set of members: expected 64 bytes at most, the last not 0",
            ));
        }
        let mut set = Self::default();
        set.0.iter_mut().zip(bytes).for_each(|(to, byte)| *to = byte);
        Ok(set)
    }
}
