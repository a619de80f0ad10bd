//! Records of sessions as balancers send them to each other. Times are spans, because balancers' clocks differ.

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId, UNKNOWN_CELL};

/// The largest number of keys of one session inside their windows. More keys would make messages too long.
pub(crate) const MAX_SESSION_KEYS: usize = 16;
/// The largest number of keys in a session record: a merge of two records may have twice as many as one.
pub(crate) const MAX_RECORD_KEYS: usize = 2 * MAX_SESSION_KEYS;

/// A key that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct KeyRecord {
    pub key: IdempotencyKey,
    /// The cell that the key was sent to.
    pub cell: Cell,
    /// An upper bound of the time since the first permit to send the key, in ms.
    pub first_permit_ago: u64,
    /// The time after which the key has no effect any more, as if it had never been sent, in ms.
    pub expires_in: u64,
}

/// The cell and the keys of a session, as far as the sender knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct SessionRecord {
    pub session: SessionId,
    pub epoch: Epoch,
    /// The cell that new requests go to.
    pub cell: Cell,
    /// For how long the session is uncertain, in ms: any key of the session may have been executed in any cell.
    pub uncertain_for: u64,
    pub keys: Vec<KeyRecord>,
}

impl SessionRecord {
    /// Returns the record of an unknown session.
    pub(crate) fn empty(session: SessionId) -> Self {
        let (epoch, cell) = (Epoch::default(), UNKNOWN_CELL);
        Self { session, epoch, cell, uncertain_for: 0, keys: Vec::new() }
    }

    /// Whether the record contains anything besides the session's id.
    pub(crate) fn is_informative(&self) -> bool {
        *self != Self::empty(self.session)
    }

    /// Truncates the keys to [`MAX_RECORD_KEYS`]. The session is uncertain until the removed keys have expired.
    pub(crate) fn truncate_keys(&mut self) {
        let count = self.keys.len().min(MAX_RECORD_KEYS);
        for key in self.keys.drain(count..) {
            self.uncertain_for = self.uncertain_for.max(key.expires_in);
        }
    }
}
