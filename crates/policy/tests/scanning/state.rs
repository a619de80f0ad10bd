//! Data types of the scanning module.

use std::collections::VecDeque;

use hollowpaddle_policy::interface::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
    /// Whether the attempt has been unanswered for too long.
    pub(crate) overdue: bool,
    /// Whether the attempt was still in flight at the latest time for a hedge.
    pub(crate) hedge_due: bool,
    /// Whether the slot was released before the outcome of the attempt.
    pub(crate) slot_released: bool,
}

impl Attempt {
    pub(crate) fn new(server: usize, sent: Time) -> Self {
        Self {
            server,
            sent,
            state: AttemptState::InFlight,
            overdue: false,
            hedge_due: false,
            slot_released: false,
        }
    }
}

#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) class: usize,
    pub(crate) send_deadline: Time,
    /// Time after which an answer has no value.
    pub(crate) valuable_until: Time,
    /// When a queued request must be given up.
    pub(crate) queue_deadline: Time,
    pub(crate) is_queued: bool,
    pub(crate) is_finished: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The ordering key of the request.
    pub(crate) ordering_key: Option<u64>,
}

/// The requests of one ordering key, which run one after another, and the time until which the key
/// rests.
#[derive(Debug)]
pub(crate) struct KeyQueue {
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) rest_until: Time,
}

/// Load and capacity of the upstreams that one set of classes may be sent to. The first group
/// contains all upstreams. A class that is bound to zones or machine types has a separate group:
/// with the capacity of all upstreams, its requests were queued for slots that they could never
/// use.
#[derive(Debug, Default)]
pub(crate) struct CapacityGroup {
    /// A class of the group; `None` for the group of all upstreams.
    pub(crate) class: Option<usize>,
    pub(crate) queued: usize,
    pub(crate) in_flight: usize,
    /// This balancer's share of the sum of K_i, and of the sum of 1 / (2*TP_i + TS_i), over the
    /// live upstreams.
    pub(crate) slots: f64,
    pub(crate) n_per_time: f64,
}

/// The token bucket of a tenant at this balancer. A token is one request.
#[derive(Debug)]
pub(crate) struct Bucket {
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Time,
}

/// Statistics of one concurrency level of a machine type.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LevelStats {
    /// Time spent at the level and work done there in this round.
    pub(crate) time: f64,
    pub(crate) done: f64,
    /// Work done in all rounds, and the work that the level in use would have done in the same
    /// time. Their ratio remains the same when all upstreams slow down together.
    pub(crate) all: f64,
    pub(crate) expected: f64,
}

impl RequestState {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }
    pub(crate) fn all_never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.state == AttemptState::NeverRan)
    }
}

pub(crate) trait CapacityGroups {
    fn capacity_groups(&self) -> (Vec<CapacityGroup>, Vec<usize>);
}

impl CapacityGroups for Settings {
    /// Returns one group for all upstreams, one for each set of upstreams that some class is bound
    /// to, and the index of the group of each class.
    fn capacity_groups(&self) -> (Vec<CapacityGroup>, Vec<usize>) {
        let (mut capacity_groups, mut group_of_class) =
            (vec![CapacityGroup::default()], Vec::new());
        for (i, c) in self.classes.iter().enumerate() {
            let like = |r: &CapacityGroup| {
                let of = r.class.map(|o| &self.classes[o]);
                of.map(|o| (&o.zones, &o.machine_types)).unwrap_or((&None, &None))
                    == (&c.zones, &c.machine_types)
            };
            group_of_class.push(capacity_groups.iter().position(like).unwrap_or_else(|| {
                capacity_groups.push(CapacityGroup { class: Some(i), ..CapacityGroup::default() });
                capacity_groups.len() - 1
            }));
        }
        (capacity_groups, group_of_class)
    }
}
