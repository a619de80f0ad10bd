//! The timers of the machine: passes due events to the components, and requests the next wake-up.

use std::time::Duration;

use hollowpaddle_consensus::{self as consensus, LearnerEvent};
use hollowpaddle_peer_transport as peers;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::{leases, lists};

use super::{Action, Machine};

/// Interval between ticks of a replica that is a voter.
const VOTER_TICK: Duration = Duration::from_millis(25);
/// Interval between ticks of a replica that is not a voter.
const NON_VOTER_TICK: Duration = Duration::from_millis(100);
/// Interval between ticks of the learner.
const LEARNER_TICK: Duration = Duration::from_millis(50);
/// Time after which a first fallback policy that is not in the log yet is proposed again.
const FIRST_FALLBACK_RETRY: Duration = Duration::from_secs(3);

/// The next due time of each component, and the requested wake-up.
pub(super) struct Timers {
    pub(super) transport_due: Option<Duration>,
    pub(super) leases_due: Option<Duration>,
    pub(super) lists_due: Option<Duration>,
    replica_due: Duration,
    learner_due: Duration,
    /// Time of the last [`Action::WakeAt`]; `None` once that time has come.
    armed: Option<Duration>,
}

impl Timers {
    /// Creates the timers, with the replica and the learner due immediately.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            transport_due: None,
            leases_due: None,
            lists_due: None,
            replica_due: now,
            learner_due: now,
            armed: None,
        }
    }

    /// Clears the requested wake-up once it has come. A component that is due at exactly this time needs another wake-up.
    pub(super) fn disarm(&mut self) {
        self.armed = None;
    }

    /// Requests a wake-up at the earliest due time of a component, unless that wake-up is already requested.
    pub(super) fn arm(&mut self, actions: &mut Vec<Action>) {
        let ticks = [Some(self.replica_due), Some(self.learner_due)];
        let due_times =
            ticks.into_iter().chain([self.transport_due, self.leases_due, self.lists_due]);
        let next = due_times.flatten().min();
        if next != self.armed {
            self.armed = next;
            actions.extend(next.map(Action::WakeAt));
        }
    }
}

/// Clears `due` if its time has come, and returns whether it has.
fn take_due(due: &mut Option<Duration>, now: Duration) -> bool {
    due.take_if(|at| *at <= now).is_some()
}

impl Machine {
    /// Passes an event to each component that is due.
    pub(super) fn run_due(&mut self) {
        if take_due(&mut self.timers.transport_due, self.now) {
            self.step_transport(peers::Event::Due);
        }
        if take_due(&mut self.timers.leases_due, self.now) {
            self.step_leases(leases::Event::Due);
        }
        if take_due(&mut self.timers.lists_due, self.now) {
            self.step_lists(lists::Event::Due);
        }
        if self.timers.replica_due <= self.now {
            let tick = if self.is_voter() { VOTER_TICK } else { NON_VOTER_TICK };
            self.timers.replica_due = self.now + tick;
            self.step_replica(consensus::Event::Tick);
            self.propose_first_fallback();
        }
        if self.timers.learner_due <= self.now {
            self.timers.learner_due = self.now + LEARNER_TICK;
            self.step_learner(LearnerEvent::Tick);
        }
    }

    fn is_voter(&self) -> bool {
        self.replica.voter_set().has(self.setup.node_id)
    }

    /// Proposes a fallback policy as leader of a cluster that was bootstrapped without one. Without a fallback policy, a
    /// balancer that is disconnected for longer than its lease could not send to any upstream.
    fn propose_first_fallback(&mut self) {
        let is_retry_due = self
            .first_fallback_at
            .is_none_or(|at| self.now.saturating_sub(at) >= FIRST_FALLBACK_RETRY);
        let is_behind = self.applied_index.op() < self.replica.op();
        if !self.is_leader || !is_retry_due || self.setup.cells.is_empty() || is_behind {
            return;
        }
        let status = self.policy.status();
        if status.fallback_generation != 0 || !status.fallback_policy.cells.is_empty() {
            return;
        }
        self.first_fallback_at = Some(self.now);
        let proposal = self.next_proposal();
        let id = CommandId(u128::from(proposal.incarnation.0) << 96 | u128::from(proposal.number));
        let fallback_policy = FallbackPolicy::third(&self.setup.cells, 1);
        if let Ok(bytes) = Entry::FallbackPolicy(id, fallback_policy, Box::default()).to_bytes() {
            self.own_proposals.insert(proposal);
            self.step_learner(LearnerEvent::Propose { id: proposal, bytes });
        }
    }
}
