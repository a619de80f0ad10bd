//! One balancer's part of the bank as one pure machine: the wire, the council, the log, the rule book and the leases, and
//! what goes between them (`between`), and calls that wait for an answer (`calls`). It keeps no clock, socket, file or
//! thread; its shell does (`runtime.rs`), and tests play it.

mod interface;
mod pending_calls;
mod routing;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_consensus as consensus;
use hollowpaddle_consensus::{Learner, LearnerAction, LearnerConfig, LearnerEvent, Replica};
use hollowpaddle_peer_transport as peers;
use hollowpaddle_peer_transport::{NodeId, Wire};
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::in_force::InForce;
use hollowpaddle_revision::leases::{self, LeaseConfig, Leases};
use hollowpaddle_revision::lists::{self, Lists};
use hollowpaddle_revision::policy_state::PolicyState;

use pending_calls::PendingCall;

pub use interface::{Action, Event, Setup, SetupError, StoppedUpstreams};
pub use pending_calls::ProposalResult;

// The name under which the tests of the membership import it.
#[doc(hidden)]
pub use interface::StoppedUpstreams as Stops;

/// How often the council's machine is told that time has passed, and how often the learner's.
const VOTER_TICK: Duration = Duration::from_millis(25);
const LEARNER_TICK: Duration = Duration::from_millis(50);
/// A first charter that is not in the log is proposed again after so long.
const FIRST_FALLBACK_RETRY: Duration = Duration::from_secs(3);
/// Calls that wait for an answer. Beyond, the eldest is told that nobody knows.
const MAX_PENDING_CALLS: usize = 256;

/// The machine.
pub struct Machine {
    setup: Setup,
    now: Duration,
    wire: Wire,
    replica: Replica,
    learner: Learner,
    policy: PolicyState,
    /// The last entry of the log that the book knows.
    at: consensus::LogIndex,
    leases: Leases,
    lists: Lists,
    stops: StoppedUpstreams,
    calls: VecDeque<PendingCall>,
    proposals: u64,
    /// Proposals of this balancer's own that the leases asked for.
    own_proposals: BTreeSet<consensus::ProposalId>,
    /// It leads, and when it proposed a first charter last.
    leads: bool,
    first_fallback_at: Option<Duration>,
    leader: Option<NodeId>,
    wire_due: Option<Duration>,
    leases_due: Option<Duration>,
    lists_due: Option<Duration>,
    replica_due: Duration,
    learner_due: Duration,
    armed_wakeup: Option<Duration>,
    /// What is still to be handed in, in its order.
    queue: VecDeque<ComponentAction>,
}

/// What one machine has for another.
enum ComponentAction {
    Wire(peers::Action),
    Replica(consensus::Action),
    LearnerAction(LearnerAction),
    Leases(leases::Action),
    Lists(lists::Action),
}

impl Machine {
    /// A balancer's part of the bank.
    ///
    /// # Errors
    /// It is set up as none can be.
    pub fn new(now: Duration, mut setup: Setup) -> Result<Self, SetupError> {
        let Setup { node_id, cluster, incarnation, seed, .. } = setup;
        let wire = Wire::new(peers::Config {
            node_id,
            members: cluster,
            incarnation,
            seed,
            budget: peers::Budget::default(),
        })?;
        let replica = Replica::new(
            now,
            consensus::ReplicaConfig {
                node_id,
                incarnation,
                voters: setup.voters.clone(),
                cluster,
                directory: setup.directory,
                copies: if setup.directory { 0 } else { 2 },
                seed,
            },
            setup.found.take(),
        );
        let learner = Learner::new(
            now,
            LearnerConfig { node_id, voters: setup.voters.clone(), cluster, seed },
        );
        let mut terms = LeaseConfig::usual(node_id, incarnation, setup.mandatory_fallback.clone());
        terms.stored = setup.fallback_policy.clone();
        let mut machine = Self {
            policy: PolicyState::found(setup.bootstrap.clone())?,
            leases: Leases::new(terms),
            lists: Lists::default(),
            stops: StoppedUpstreams::default(),
            setup,
            now,
            wire,
            replica,
            learner,
            at: consensus::LogIndex::default(),
            calls: VecDeque::new(),
            proposals: 0,
            own_proposals: BTreeSet::new(),
            leads: false,
            first_fallback_at: None,
            leader: None,
            wire_due: None,
            leases_due: None,
            lists_due: None,
            replica_due: now,
            learner_due: now,
            armed_wakeup: None,
            queue: VecDeque::new(),
        };
        let source = machine.learner.source();
        machine.step_leases(leases::Event::Parent(source));
        Ok(machine)
    }

    /// Who this is.
    pub fn node_id(&self) -> NodeId {
        self.setup.node_id
    }

    /// When something was handed in last.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What is in force here.
    pub fn in_force(&self) -> InForce {
        self.leases.in_force()
    }

    /// What is known of lists.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// The rule book.
    pub fn policy(&self) -> &PolicyState {
        &self.policy
    }

    /// Stages, leases and who has confirmed what.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// This balancer's seat in the council, if it has one.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How it learns the log.
    pub fn learner(&self) -> &Learner {
        &self.learner
    }

    /// Words and datagrams.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// Who leads the council, as far as is known here.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader.or(self.learner.leader())
    }

    /// One event, at `now`: monotonic time since this process began.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Datagram { from: Some(from), bytes } => {
                self.step_wire(peers::Event::Received { from, bytes });
            }
            Event::Datagram { from: None, .. } => self.step_wire(peers::Event::Stranger),
            // What was asked for has come: what is due again at this very moment has to be asked for again. Failure: in
            // virtual time, whose timers are of whole milliseconds, it came too soon, and nobody was ready for 30 s.
            Event::Due => self.armed_wakeup = None,
            Event::Persisted(through) => self.step_replica(consensus::Event::Persisted { through }),
            Event::DiskFailed(cause) => self.step_replica(consensus::Event::DiskFailed { cause }),
            Event::DiskWell => self.step_replica(consensus::Event::DiskWell),
            Event::FallbackPolicyPersisted(fallback_generation) => {
                self.step_leases(leases::Event::FallbackPolicyPersisted { fallback_generation })
            }
            Event::Propose { ticket, id, entry } => self.propose_entry(ticket, id, &entry, actions),
            Event::QueryOutcome { ticket, id } => {
                let call = PendingCall { ticket, proposal: None, id: Some(id), index: None };
                if !self.answer_call(&call, actions) {
                    actions
                        .push(Action::ProposalResult { ticket, answer: ProposalResult::Unknown });
                }
            }
            Event::EndpointList { version, whole, entries } => {
                self.step_lists(lists::Event::Own { version, whole, entries });
            }
            Event::CountsAnew => self.step_lists(lists::Event::CountsAnew),
            Event::Replace { ticket, out, then } => {
                let id = self.add_call(ticket, None, actions);
                self.step_replica(consensus::Event::OperatorCommand(
                    consensus::OperatorCommand::ReplaceVoter {
                        id,
                        removed: out,
                        replacement: then,
                    },
                ));
            }
            Event::Restore { ticket, members } => {
                self.step_replica(consensus::Event::OperatorCommand(
                    consensus::OperatorCommand::ForceNewEpoch { members },
                ));
                actions.push(Action::ProposalResult {
                    ticket,
                    answer: ProposalResult::Stands(self.at),
                });
            }
        }
        self.run_due();
        while let Some(inner) = self.queue.pop_front() {
            match inner {
                ComponentAction::Wire(action) => self.on_wire_action(action, actions),
                ComponentAction::Replica(action) => self.on_replica_action(action, actions),
                ComponentAction::LearnerAction(action) => self.on_learner_action(action, actions),
                ComponentAction::Leases(action) => self.on_lease_action(action, actions),
                ComponentAction::Lists(action) => self.on_list_action(action, actions),
            }
        }
        self.arm_wakeup(actions);
    }

    /// Hands in what is due.
    fn run_due(&mut self) {
        if self.wire_due.is_some_and(|at| at <= self.now) {
            self.wire_due = None;
            self.step_wire(peers::Event::Due);
        }
        if self.leases_due.is_some_and(|at| at <= self.now) {
            self.leases_due = None;
            self.step_leases(leases::Event::Due);
        }
        if self.lists_due.is_some_and(|at| at <= self.now) {
            self.lists_due = None;
            self.step_lists(lists::Event::Due);
        }
        if self.replica_due <= self.now {
            self.replica_due = self.now + if self.is_voter() { VOTER_TICK } else { 4 * VOTER_TICK };
            self.step_replica(consensus::Event::Tick);
            self.propose_first_fallback();
        }
        if self.learner_due <= self.now {
            self.learner_due = self.now + LEARNER_TICK;
            self.step_learner(LearnerEvent::Tick);
        }
    }

    /// A bank that was founded without a charter gets one from its first leader: without any, whoever is cut off past its
    /// lease could send nowhere.
    fn propose_first_fallback(&mut self) {
        let late = self
            .first_fallback_at
            .is_none_or(|at| self.now.saturating_sub(at) >= FIRST_FALLBACK_RETRY);
        if !self.leads || !late || self.setup.cells.is_empty() || self.at.op() < self.replica.op() {
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

    fn is_voter(&self) -> bool {
        self.replica.members().has(self.setup.node_id)
    }

    fn arm_wakeup(&mut self, actions: &mut Vec<Action>) {
        let ticks = [Some(self.replica_due), Some(self.learner_due)];
        let dues = ticks.into_iter().chain([self.wire_due, self.leases_due, self.lists_due]);
        let next = dues.flatten().min();
        if next != self.armed_wakeup {
            self.armed_wakeup = next;
            actions.extend(next.map(Action::WakeAt));
        }
    }

    fn step_wire(&mut self, event: peers::Event<'_>) {
        let mut out = Vec::new();
        self.wire.handle(self.now, event, &mut out);
        self.queue.extend(out.into_iter().map(ComponentAction::Wire));
    }

    fn step_replica(&mut self, event: consensus::Event) {
        let mut out = Vec::new();
        self.replica.handle(self.now, event, &mut out);
        self.queue.extend(out.into_iter().map(ComponentAction::Replica));
        let leader = self.replica.leader();
        if leader != self.leader {
            self.leader = leader;
            self.step_learner(LearnerEvent::Leader(leader));
        }
    }

    fn step_learner(&mut self, event: LearnerEvent) {
        let mut out = Vec::new();
        self.learner.handle(self.now, event, &mut out);
        self.queue.extend(out.into_iter().map(ComponentAction::LearnerAction));
    }

    fn step_leases(&mut self, event: leases::Event) {
        let mut out = Vec::new();
        self.leases.handle(self.now, event, &mut out);
        self.queue.extend(out.into_iter().map(ComponentAction::Leases));
    }
}
