//! Events and actions of [`Lists`](super::Lists), and the message between balancers; holds no logic but the encoding.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::message::{MessageError, decode_message};

/// What the own endpoint list states about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It is draining: it finishes the requests that it has.
    Draining,
    /// It is gone.
    Ended,
}

/// An upstream that must not be sent to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stop {
    /// Its name.
    pub name: String,
    /// The version of the endpoint list that stated it.
    pub version: u64,
    /// Whether it is gone; otherwise it is draining.
    pub ended: bool,
}

/// What a balancer tells its neighbours. It can never state that an upstream may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListMessage {
    /// The newest version of the sender's endpoint list.
    pub version: u64,
    /// Upstreams that must not be sent to.
    pub stops: Vec<Stop>,
}

impl ListMessage {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Numbers and names always encode.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes hold no message, are more than [`MAX_MESSAGE_BYTES`](crate::message::MAX_MESSAGE_BYTES), or
    /// continue after it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode_message(bytes)
    }
}

/// What happens to a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Its own discovery has delivered a list or an update.
    OwnList {
        /// The version of the list.
        version: u64,
        /// Whether the list is complete: upstreams that it does not name are gone.
        is_complete: bool,
        /// Upstreams by name.
        entries: Vec<(String, Phase)>,
    },
    /// Its own discovery has been replaced by one that numbers its versions anew.
    VersionsReset,
    /// A peer has sent a message.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: ListMessage,
    },
    /// The agreed policy states the oldest version of the list that may be acted on.
    OldestAllowedVersion(u64),
    /// The time of [`Action::WakeAt`] has come.
    Due,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message to all neighbours in the dissemination tree.
    Broadcast(ListMessage),
    /// The upstreams that may be sent to have changed: ask [`Lists::select_allowed`](super::Lists::select_allowed).
    Changed,
    /// Poll the own discovery now: a peer has a newer list.
    Poll {
        /// The version that the peer has.
        version: u64,
    },
    /// Report [`Event::Due`] at this time. It replaces any earlier one.
    WakeAt(Duration),
}
