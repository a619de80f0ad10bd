//! The record of one upstream: its entry in the endpoint list, and the estimates and state of this
//! balancer.

use hollowpaddle_ordered_collections::tournament::Key;

use crate::breakers::{Breaker, ClassBreakers};
use crate::capacity::GroupList;
use crate::estimate::Estimate;
use crate::interface::{Member, ServerId, Status, Time};

/// The record of one upstream.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    /// Machine type in the endpoint list.
    pub(super) machine_type: u32,
    /// Index of the statistics of the machine type.
    pub(crate) type_index: u32,
    pub(crate) cell: u32,
    /// Index among the live upstreams of the cell.
    pub(super) cell_index: u32,
    pub(crate) status: Status,
    pub(crate) weight: f64,
    pub(crate) started: Option<Time>,
    pub(crate) barred_classes: u64,
    pub(crate) identity: u64,
    pub(crate) in_flight: u32,
    /// When `in_flight` last changed.
    pub(crate) in_flight_changed: Time,
    /// Concurrency level for which the last answer was recorded; 0 if a request was sent since.
    pub(crate) level_at_last_answer: u32,
    /// Breaker for all classes. It trips when the upstream rejects a request or is unreachable.
    pub(crate) breaker: Breaker,
    /// Breakers by class. They trip when an attempt times out, its connection breaks, or it ends in
    /// an error.
    pub(crate) class_breakers: ClassBreakers,
    /// Latest time of sending among the attempts that the upstream has answered.
    pub(crate) last_answered_sent: Time,
    pub(crate) estimate: Estimate,
    /// K_i as of the last answer or sweep.
    pub(crate) k: f64,
    /// N_i per microsecond as of the last answer or sweep.
    pub(crate) n: f64,
    /// Cost of sending to the upstream as of the last sweep; the upstream of least cost is selected.
    pub(crate) cost: f64,
    /// Sends that slow start allowed as of `earned_at`.
    pub(crate) earned_sends: f64,
    pub(crate) earned_at: Time,
    /// Change of the attempts in flight, relative to K_i, during a concurrency probe.
    pub(crate) probe: i32,
    /// Distance from this balancer's own point on the ring, in even shares of the upstreams.
    pub(crate) distance: f64,
    /// Time until which idle connections to the draining or withdrawn upstream are closed, where a
    /// rule requires it.
    pub(crate) close_idle_until: Time,
    /// Number of attempts of live requests that were sent to the upstream.
    pub(crate) attempt_refs: u32,
    pub(super) capacity_groups: GroupList,
    /// Whether the sums of the capacity groups include K_i and N_i.
    pub(super) is_summed: bool,
    /// Whether the warm weight of the machine type includes the weight of the upstream.
    pub(super) is_warm: bool,
    /// Whether the upstream was ejected for some class as of the last refresh.
    pub(super) is_partly_ejected: bool,
    /// Whether the upstream had a free slot as of the last refresh.
    pub(super) was_available: bool,
    /// Cost as of the last refresh.
    pub(super) cost_when_available: f64,
}

impl Server {
    /// Creates the record of an upstream from its entry in the list. The upstream counts as
    /// withdrawn until the entry is applied.
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
            class_breakers: ClassBreakers::default(),
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

    /// Returns the key by which the upstream is selected: its cost, and its identity between
    /// upstreams of equal cost.
    pub(crate) fn key(&self) -> Key {
        Key::of(self.cost, self.identity)
    }

    /// Returns the list entry of the upstream.
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
