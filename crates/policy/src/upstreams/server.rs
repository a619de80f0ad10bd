//! One upstream as the module keeps it.

use hollowpaddle_ordered_collections::tournament::Key;

use crate::breakers::{Breaker, ClassBreakers};
use crate::capacity::GroupList;
use crate::estimate::Estimate;
use crate::interface::{Member, ServerId, Status, Time};

/// One upstream: what the list says of it, and what the module knows and believes.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    /// Its machine type as the list has it, and the number under which figures of it are kept.
    pub(super) kind: u32,
    pub(crate) type_index: u32,
    pub(crate) cell: u32,
    /// Its index among the live ones of its cell.
    pub(super) cell_index: u32,
    pub(crate) status: Status,
    pub(crate) weight: f64,
    pub(crate) started: Option<Time>,
    pub(crate) barred: u64,
    pub(crate) identity: u64,
    pub(crate) in_flight: u32,
    /// When that last changed.
    pub(crate) in_flight_changed: Time,
    /// How many were out, as its last answer was booked; 0 if something was sent since.
    pub(crate) level_at_last_answer: u32,
    /// Turned away or out of reach; and, class by class, unanswered or in error.
    pub(crate) breaker: Breaker,
    pub(crate) by_class: ClassBreakers,
    /// When the latest-sent of its answered attempts was sent.
    pub(crate) last_answered_sent: Time,
    pub(crate) estimate: Estimate,
    /// K_i and N_i per unit of time as of its last answer or sweep, and its cost then.
    pub(crate) k: f64,
    pub(crate) n: f64,
    pub(crate) cost: f64,
    /// Sends a young upstream may still get, and when that was last reckoned.
    pub(crate) earned_sends: f64,
    pub(crate) earned_at: Time,
    /// Lanes more or fewer than its kind has, by way of trial.
    pub(crate) probe: i32,
    /// How far from this proxy's own part of the fleet, in such parts.
    pub(crate) distance: f64,
    /// Until when idle connections are closed again and again, where a rule asks for it.
    pub(crate) close_idle_until: Time,
    /// Attempts of live requests that went there.
    pub(crate) attempt_refs: u32,
    pub(super) capacity_groups: GroupList,
    /// Whether K_i and N_i are in the sums of its rooms, and its weight in that of its kind as warm.
    pub(super) is_summed: bool,
    pub(super) is_warm: bool,
    /// Whether some class was shut when it last stood.
    pub(super) is_partly_ejected: bool,
    /// Whether it last stood with a free slot, and its cost then.
    pub(super) was_available: bool,
    pub(super) cost_when_available: f64,
}

impl Server {
    /// The least wins: by cost, and by identity where that is the same.
    pub(crate) fn key(&self) -> Key {
        Key::of(self.cost, self.identity)
    }

    /// As the list named it.
    pub(super) fn member(&self) -> Member {
        Member {
            id: self.id,
            identity: self.identity,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            status: self.status,
            weight: self.weight,
            started: self.started,
            barred: self.barred,
        }
    }
}
