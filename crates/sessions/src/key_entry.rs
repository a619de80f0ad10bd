//! A key that may have been executed, as a balancer stores it. Times are in ticks (see [`crate::time`]).

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{Cell, IdempotencyKey, UNKNOWN_CELL};
use crate::session_record::KeyRecord;
use crate::time::{ticks_to_ms, to_ticks};

/// A key that may have been executed. An entry takes 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyEntry {
    /// A lower bound of the time of the first permit to send the key.
    pub first_permit_at: u32,
    /// The tick from which the key has no effect any more, as if it had never been sent.
    pub expires_at: u32,
    /// The number of the only request that was permitted to send the key; 0 if several requests were, or the request is
    /// unknown.
    pub request: u32,
    /// The balancer that made this request.
    pub requester: NodeId,
    /// The cell that the key was sent to.
    pub cell: Cell,
}

impl KeyEntry {
    /// Merges another entry of the key: the result allows for everything that either entry allows for.
    pub fn merge(&mut self, other: KeyEntry) {
        if self.cell != other.cell {
            self.cell = UNKNOWN_CELL;
        }
        self.first_permit_at = self.first_permit_at.min(other.first_permit_at);
        self.expires_at = self.expires_at.max(other.expires_at);
        if (self.requester, self.request) != (other.requester, other.request) {
            self.request = 0;
        }
    }

    /// Whether the window of the key has ended.
    pub fn has_expired(&self, now: u64) -> bool {
        self.expires_at <= to_ticks(now)
    }

    /// Converts the entry to the record that messages carry.
    pub fn to_record(self, key: IdempotencyKey, now: u64) -> KeyRecord {
        KeyRecord {
            key,
            cell: self.cell,
            first_permit_ago: now.saturating_sub(ticks_to_ms(self.first_permit_at)),
            expires_in: ticks_to_ms(self.expires_at).saturating_sub(now),
        }
    }
}
