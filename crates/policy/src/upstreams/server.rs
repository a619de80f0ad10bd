//! One upstream: what the endpoint list says of it, and what the module has estimated.

use hollowpaddle_ordered_collections::tournament::Key;

use crate::breakers::{Breaker, ClassBreakers};
use crate::capacity::GroupList;
use crate::estimate::Estimate;
use crate::interface::{Member, ServerId, Status, Time};

/// One upstream.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    /// Its machine type as the list has it.
    pub(super) machine_type: u32,
    /// The number under which figures of its machine type are kept.
    pub(crate) type_index: u32,
    pub(crate) cell: u32,
    /// Its index among the live upstreams of its cell.
    pub(super) cell_index: u32,
    pub(crate) status: Status,
    pub(crate) weight: f64,
    pub(crate) started: Option<Time>,
    pub(crate) barred_classes: u64,
    pub(crate) identity: u64,
    pub(crate) in_flight: u32,
    /// When `in_flight` last changed.
    pub(crate) in_flight_changed: Time,
    /// Concurrency level at which its last answer was booked; 0 if something was sent since.
    pub(crate) level_at_last_answer: u32,
    /// Trips when it rejects a request or cannot be reached.
    pub(crate) breaker: Breaker,
    /// Trip for a class when its attempts time out, break or end in errors.
    pub(crate) by_class: ClassBreakers,
    /// When the latest of its attempts that were answered was sent.
    pub(crate) last_answered_sent: Time,
    pub(crate) estimate: Estimate,
    /// K_i as of its last answer or sweep.
    pub(crate) k: f64,
    /// N_i per microsecond as of its last answer or sweep.
    pub(crate) n: f64,
    /// Cost of sending to it as of its last sweep; the least is selected.
    pub(crate) cost: f64,
    /// Sends that slow start allowed as of `earned_at`.
    pub(crate) earned_sends: f64,
    pub(crate) earned_at: Time,
    /// Attempts more or fewer than K_i that a concurrency probe lets it have.
    pub(crate) probe: i32,
    /// Distance from this balancer's own point on the ring, in even parts of the fleet.
    pub(crate) distance: f64,
    /// Until when its idle connections are closed after it left, where a rule asks for it.
    pub(crate) close_idle_until: Time,
    /// Attempts of live requests that were sent there.
    pub(crate) attempt_refs: u32,
    pub(super) capacity_groups: GroupList,
    /// Whether K_i and N_i are in the sums of its capacity groups.
    pub(super) is_summed: bool,
    /// Whether its weight is in that of the warm upstreams of its machine type.
    pub(super) is_warm: bool,
    /// Whether it was ejected for some class as of its last refresh.
    pub(super) is_partly_ejected: bool,
    /// Whether it had a free slot as of its last refresh.
    pub(super) was_available: bool,
    /// Its cost as of its last refresh.
    pub(super) cost_when_available: f64,
}

impl Server {
    /// An upstream of which nothing but its entry in the list is known. It counts as gone until the
    /// entry is applied.
    pub(super) fn new(now: Time, member: &Member) -> Self {
        Self {
            id: member.id,
            zone: member.zone,
            machine_type: 0,
            type_index: 0,
            cell: member.cell,
            cell_index: 0,
            status: Status::Gone,
            weight: 1.0,
            started: None,
            barred_classes: 0,
            identity: member.identity,
            in_flight: 0,
            in_flight_changed: now,
            level_at_last_answer: 0,
            breaker: Breaker::default(),
            by_class: ClassBreakers::default(),
            last_answered_sent: Time(i64::MIN),
            estimate: Estimate::NONE,
            k: 1.0,
            n: 0.0,
            cost: 0.0,
            earned_sends: 0.0,
            earned_at: now,
            probe: 0,
            distance: 0.0,
            close_idle_until: now,
            attempt_refs: 0,
            capacity_groups: GroupList::default(),
            is_summed: false,
            is_warm: false,
            is_partly_ejected: false,
            was_available: false,
            cost_when_available: 0.0,
        }
    }

    /// The key by which it is selected: its cost, and its identity where that is the same.
    pub(crate) fn key(&self) -> Key {
        Key::of(self.cost, self.identity)
    }

    /// The entry of the list that named it.
    pub(super) fn member(&self) -> Member {
        Member {
            id: self.id,
            identity: self.identity,
            zone: self.zone,
            machine_type: self.machine_type,
            cell: self.cell,
            status: self.status,
            weight: self.weight,
            started: self.started,
            barred_classes: self.barred_classes,
        }
    }
}
