//! What is known of a session, as balancers send it to each other. Times are spans: no clock is another's.

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId, UNKNOWN_CELL};

/// The most keys of one session inside their windows. More would make messages too long.
pub(crate) const MAX_SESSION_KEYS: usize = 16;
/// The most keys in a session record: two records that were merged may have twice as many.
pub(crate) const MAX_RECORD_KEYS: usize = 2 * MAX_SESSION_KEYS;

/// A key that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct KeyRecord {
    pub key: IdempotencyKey,
    /// The cell that it was sent to.
    pub cell: Cell,
    /// No permit to send it was granted longer ago than this, in ms.
    pub first_permit_ago: u64,
    /// After this it is as if it had never been sent, in ms.
    pub expires_in: u64,
}

/// What is known of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct SessionRecord {
    pub session: SessionId,
    pub epoch: Epoch,
    /// The cell that new requests go to.
    pub cell: Cell,
    /// For so long any key of the session may have been executed in any cell, in ms.
    pub uncertain_for: u64,
    pub keys: Vec<KeyRecord>,
}

impl SessionRecord {
    /// The record of a session of which nothing is known.
    pub(crate) fn empty(session: SessionId) -> Self {
        let (epoch, cell) = (Epoch::default(), UNKNOWN_CELL);
        Self { session, epoch, cell, uncertain_for: 0, keys: Vec::new() }
    }

    /// Whether the record says more than the session's id.
    pub(crate) fn is_informative(&self) -> bool {
        *self != Self::empty(self.session)
    }

    /// Truncates the keys to [`MAX_RECORD_KEYS`]. For as long as the others matter, any key may have been executed.
    pub(crate) fn truncate_keys(&mut self) {
        let count = self.keys.len().min(MAX_RECORD_KEYS);
        for key in self.keys.drain(count..) {
            self.uncertain_for = self.uncertain_for.max(key.expires_in);
        }
    }
}
