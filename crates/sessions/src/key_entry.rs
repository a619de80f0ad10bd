//! A key that may have been executed, as a balancer stores it. Times are in ticks (see [`crate::time`]).

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{Cell, IdempotencyKey, UNKNOWN_CELL};
use crate::session_record::KeyRecord;
use crate::time::{ticks_to_ms, to_ticks};

/// A key that may have been executed: 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KeyEntry {
    /// No permit to send it was granted before.
    pub first_permit_at: u32,
    /// From then on it is as if it had never been sent.
    pub expires_at: u32,
    /// The number of the only request that was permitted to send it; 0 if there were several, or it is not known.
    pub request: u32,
    /// The balancer whose request that was.
    pub requester: NodeId,
    /// The cell that it was sent to.
    pub cell: Cell,
}

impl KeyEntry {
    /// Merges what another entry knows of the key: what either says may be so.
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

    /// Whether its window has ended.
    pub fn has_expired(&self, now: u64) -> bool {
        self.expires_at <= to_ticks(now)
    }

    /// The entry as messages carry it.
    pub fn to_record(self, key: IdempotencyKey, now: u64) -> KeyRecord {
        KeyRecord {
            key,
            cell: self.cell,
            first_permit_ago: now.saturating_sub(ticks_to_ms(self.first_permit_at)),
            expires_in: ticks_to_ms(self.expires_at).saturating_sub(now),
        }
    }
}
