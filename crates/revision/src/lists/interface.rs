//! Events and actions of [`Lists`](super::Lists), and the message between balancers with its encoding.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::message::{MessageError, decode_message};

/// The phase of an upstream on the own endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The upstream accepts requests.
    Serving,
    /// The upstream is draining: it finishes the requests in progress and accepts no new ones.
    Draining,
    /// The upstream no longer exists.
    Ended,
}

/// A report that an upstream must not receive requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stop {
    /// Name of the upstream.
    pub name: String,
    /// The version of the endpoint list that stopped the upstream.
    pub version: u64,
    /// Whether the upstream has ended; otherwise it is draining.
    pub ended: bool,
}

/// A message from a balancer to its neighbours. It can stop an upstream, but never state that an upstream may receive
/// requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListMessage {
    /// The newest version of the sender's endpoint list.
    pub version: u64,
    /// Upstreams that must not receive requests.
    pub stops: Vec<Stop>,
}

impl ListMessage {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Encoding numbers and names cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes hold no message, are more than [`MAX_MESSAGE_BYTES`](crate::message::MAX_MESSAGE_BYTES), or
    /// continue after the message.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode_message(bytes)
    }
}

/// An input of [`Lists`](super::Lists).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The balancer's own discovery has delivered a list or an update.
    OwnList {
        /// The version of the list.
        version: u64,
        /// Whether the list is complete, so that upstreams which the list does not name have ended.
        is_complete: bool,
        /// Upstreams by name, with their phases.
        entries: Vec<(String, Phase)>,
    },
    /// The balancer's own discovery has been replaced by one with unrelated version numbers.
    VersionsReset,
    /// A peer has sent a message.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: ListMessage,
    },
    /// The agreed policy has set the oldest version of the endpoint list that may be acted on.
    OldestAllowedVersion(u64),
    /// The time of [`Action::WakeAt`] has come.
    Due,
}

/// An output of [`Lists`](super::Lists), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message to all neighbours in the dissemination tree.
    Broadcast(ListMessage),
    /// The upstreams that may receive requests have changed:
    /// call [`Lists::select_allowed`](super::Lists::select_allowed) again.
    Changed,
    /// Poll the own discovery now, since a peer has a newer list.
    Poll {
        /// The version of the peer's list.
        version: u64,
    },
    /// Report [`Event::Due`] at this time, instead of any time requested earlier.
    WakeAt(Duration),
}
