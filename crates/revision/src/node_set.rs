//! A set of the bank's balancers in few bytes: 38 for 300 of them.

use std::fmt;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Balancers of a bank at most: a set of so many takes 64 bytes, and a word holds two.
pub const MAX_NODES: u16 = 512;

const BYTES: usize = MAX_NODES as usize / 8;

/// A set of balancers, by their numbers below [`MAX_NODES`]; others are in none.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeSet([u8; BYTES]);

impl Default for NodeSet {
    fn default() -> Self {
        Self([0; BYTES])
    }
}

impl fmt::Debug for NodeSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter().map(|m| m.0)).finish()
    }
}

impl NodeSet {
    /// The first so many.
    pub fn first(many: u16) -> Self {
        (0..many).map(NodeId).collect()
    }

    /// Puts one in.
    pub fn insert(&mut self, member: NodeId) {
        if let Some(byte) = self.0.get_mut(usize::from(member.0 / 8)) {
            *byte |= 1 << (member.0 % 8);
        }
    }

    /// Takes one out.
    pub fn remove(&mut self, member: NodeId) {
        if let Some(byte) = self.0.get_mut(usize::from(member.0 / 8)) {
            *byte &= !(1 << (member.0 % 8));
        }
    }

    /// Whether one is in it.
    pub fn contains(&self, member: NodeId) -> bool {
        self.0.get(usize::from(member.0 / 8)).is_some_and(|byte| byte & (1 << (member.0 % 8)) != 0)
    }

    /// Puts all of another in.
    pub fn extend(&mut self, other: &Self) {
        self.0.iter_mut().zip(other.0).for_each(|(byte, more)| *byte |= more);
    }

    /// Those that are not in another.
    pub fn without(&self, other: &Self) -> Self {
        let mut left = *self;
        left.0.iter_mut().zip(other.0).for_each(|(byte, less)| *byte &= !less);
        left
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.0.iter().map(|b| b.count_ones() as usize).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; BYTES]
    }

    /// In their order.
    pub fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        let bytes = self.0.iter().zip(0_u16..).filter(|(byte, _)| **byte != 0);
        bytes.flat_map(|(byte, at)| {
            (0..8).filter(move |bit| byte & (1 << bit) != 0).map(move |bit| NodeId(8 * at + bit))
        })
    }
}

impl FromIterator<NodeId> for NodeSet {
    fn from_iter<I: IntoIterator<Item = NodeId>>(members: I) -> Self {
        let mut set = Self::default();
        members.into_iter().for_each(|m| set.insert(m));
        set
    }
}

/// As bytes up to the last that is not zero.
impl Serialize for NodeSet {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let used = self.0.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1);
        to.serialize_bytes(&self.0[..used])
    }
}

impl<'de> Deserialize<'de> for NodeSet {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let bytes = Vec::<u8>::deserialize(from)?;
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
