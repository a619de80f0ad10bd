//! One balancer's part of the cluster as one pure state machine over the transport, the replica, the log's learner, the
//! policy state, the leases and the endpoint lists of other balancers.
//!
//! What passes between these is in `routing`, admin calls that wait for an answer in `pending_calls`, and the passing of
//! time in `timers`. The machine has no clock, socket, file or thread: its driver
//! ([`Runtime`](super::Runtime), or a simulation) has these.

mod interface;
mod pending_calls;
mod routing;
mod timers;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_consensus as consensus;
use hollowpaddle_consensus::{
    DurableState, Learner, LearnerAction, LearnerConfig, LearnerEvent, Replica, ReplicaConfig,
};
use hollowpaddle_peer_transport as peers;
use hollowpaddle_peer_transport::{NodeId, Transport};
use hollowpaddle_revision::in_force::InForce;
use hollowpaddle_revision::leases::{self, LeaseConfig, Leases};
use hollowpaddle_revision::lists::{self, Lists};
use hollowpaddle_revision::policy_state::PolicyState;

use pending_calls::PendingCall;
use timers::Timers;

pub use interface::{Action, Event, Setup, SetupError, StoppedUpstreams};
pub use pending_calls::ProposalResult;

/// Learners that must have an entry before it is acknowledged, where no durable log keeps it.
const COPIES_WITHOUT_LOG: u8 = 2;

/// The state machine.
pub struct Machine {
    setup: Setup,
    now: Duration,
    wire: Transport,
    replica: Replica,
    learner: Learner,
    policy: PolicyState,
    /// The last entry of the log that `policy` includes.
    applied_index: consensus::LogIndex,
    leases: Leases,
    lists: Lists,
    stops: StoppedUpstreams,
    pending_calls: VecDeque<PendingCall>,
    last_proposal: u64,
    /// Proposals made here, for which no admin call waits.
    own_proposals: BTreeSet<consensus::ProposalId>,
    is_leader: bool,
    /// When a first fallback policy was proposed last.
    first_fallback_at: Option<Duration>,
    /// The leader that the replica knows.
    leader: Option<NodeId>,
    timers: Timers,
    /// Outputs of components that are yet to be routed, in their order.
    queue: VecDeque<ComponentAction>,
}

/// An output of one component.
enum ComponentAction {
    Transport(peers::Action),
    Replica(consensus::Action),
    Learner(LearnerAction),
    Leases(leases::Action),
    Lists(lists::Action),
}

impl Machine {
    /// Makes the machine. `now` is the zero of its clock, or the time by it.
    ///
    /// # Errors
    /// There can be no cluster of this configuration.
    pub fn new(now: Duration, mut setup: Setup) -> Result<Self, SetupError> {
        let found = setup.found.take();
        let learner = new_learner(now, &setup);
        let source = learner.source();
        let mut machine = Self {
            wire: new_wire(&setup)?,
            replica: new_replica(now, &setup, found),
            learner,
            policy: PolicyState::found(setup.bootstrap.clone())?,
            applied_index: consensus::LogIndex::default(),
            leases: new_leases(&setup),
            lists: Lists::default(),
            stops: StoppedUpstreams::default(),
            pending_calls: VecDeque::new(),
            last_proposal: 0,
            own_proposals: BTreeSet::new(),
            is_leader: false,
            first_fallback_at: None,
            leader: None,
            timers: Timers::new(now),
            queue: VecDeque::new(),
            setup,
            now,
        };
        machine.step_leases(leases::Event::Parent(source));
        Ok(machine)
    }

    /// This balancer.
    pub fn node_id(&self) -> NodeId {
        self.setup.node_id
    }

    /// Time of the last event.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The rules in force here, and their lease.
    pub fn in_force(&self) -> InForce {
        self.leases.in_force()
    }

    /// What is known of endpoint lists here and at other balancers.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// The policy state, as far as the log is applied here.
    pub fn policy(&self) -> &PolicyState {
        &self.policy
    }

    /// Leases, generations, and which balancers have confirmed what.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// This balancer's replica, which may be a voter.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The learner through which this balancer follows the log.
    pub fn learner(&self) -> &Learner {
        &self.learner
    }

    /// The transport to other balancers.
    pub fn wire(&self) -> &Transport {
        &self.wire
    }

    /// The voters, as far as the log is known here.
    pub fn voters(&self) -> &consensus::VoterSet {
        self.learner.members()
    }

    /// Number of balancers in the cluster.
    pub fn cluster_size(&self) -> u16 {
        self.setup.cluster
    }

    /// The leader of the voters, as far as it is known here.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader.or(self.learner.leader())
    }

    /// Takes in one event at `now`, in monotonic time since the machine's zero, and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.on_event(event, actions);
        self.run_due();
        while let Some(action) = self.queue.pop_front() {
            self.route(action, actions);
        }
        self.timers.arm(actions);
    }

    fn on_event(&mut self, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Datagram { from: Some(from), bytes } => {
                self.step_wire(peers::Event::Received { from, bytes });
            }
            Event::Datagram { from: None, .. } => self.step_wire(peers::Event::ReceivedFromUnknown),
            Event::Due => self.timers.disarm(),
            Event::Persisted(through) => self.step_replica(consensus::Event::Persisted { through }),
            Event::DiskFailed(cause) => self.step_replica(consensus::Event::DiskFailed { cause }),
            Event::DiskWell => self.step_replica(consensus::Event::DiskWell),
            Event::FallbackPolicyPersisted(fallback_generation) => {
                self.step_leases(leases::Event::FallbackPolicyPersisted { fallback_generation });
            }
            Event::Propose { ticket, id, entry } => self.propose_entry(ticket, id, &entry, actions),
            Event::QueryOutcome { ticket, id } => self.query_outcome(ticket, id, actions),
            Event::EndpointList { version, whole, entries } => {
                self.step_lists(lists::Event::Own { version, whole, entries });
            }
            Event::VersionsReset => self.step_lists(lists::Event::VersionsReset),
            Event::ReplaceVoter { ticket, removed, replacement } => {
                self.replace_voter(ticket, removed, replacement, actions);
            }
            Event::ForceNewEpoch { ticket, voters } => {
                self.force_new_epoch(ticket, voters, actions)
            }
        }
    }

    fn replace_voter(
        &mut self,
        ticket: u64,
        removed: NodeId,
        replacement: Option<NodeId>,
        actions: &mut Vec<Action>,
    ) {
        let id = self.add_call(ticket, None, actions);
        self.step_learner(LearnerEvent::ReplaceVoter { id, removed, replacement });
    }

    fn force_new_epoch(&mut self, ticket: u64, voters: Vec<NodeId>, actions: &mut Vec<Action>) {
        let command = consensus::OperatorCommand::ForceNewEpoch { members: voters };
        self.step_replica(consensus::Event::OperatorCommand(command));
        let answer = ProposalResult::Stands(self.applied_index);
        actions.push(Action::ProposalResult { ticket, answer });
    }

    fn step_wire(&mut self, event: peers::Event<'_>) {
        let mut actions = Vec::new();
        self.wire.handle(self.now, event, &mut actions);
        self.queue.extend(actions.into_iter().map(ComponentAction::Transport));
    }

    fn step_replica(&mut self, event: consensus::Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.now, event, &mut actions);
        self.queue.extend(actions.into_iter().map(ComponentAction::Replica));
        let leader = self.replica.leader();
        if leader != self.leader {
            self.leader = leader;
            self.step_learner(LearnerEvent::Leader(leader));
        }
    }

    fn step_learner(&mut self, event: LearnerEvent) {
        let mut actions = Vec::new();
        self.learner.handle(self.now, event, &mut actions);
        self.queue.extend(actions.into_iter().map(ComponentAction::Learner));
    }

    fn step_leases(&mut self, event: leases::Event) {
        let mut actions = Vec::new();
        self.leases.handle(self.now, event, &mut actions);
        self.queue.extend(actions.into_iter().map(ComponentAction::Leases));
    }

    fn step_lists(&mut self, event: lists::Event) {
        let mut actions = Vec::new();
        self.lists.handle(self.now, event, &mut actions);
        self.queue.extend(actions.into_iter().map(ComponentAction::Lists));
    }
}

fn new_wire(setup: &Setup) -> Result<Transport, peers::ConfigError> {
    Transport::new(peers::Config {
        node_id: setup.node_id,
        members: setup.cluster,
        incarnation: setup.incarnation,
        seed: setup.seed,
        budget: peers::Budget::default(),
    })
}

fn new_replica(now: Duration, setup: &Setup, found: Option<DurableState>) -> Replica {
    let config = ReplicaConfig {
        node_id: setup.node_id,
        incarnation: setup.incarnation,
        voters: setup.voters.clone(),
        cluster: setup.cluster,
        directory: setup.directory,
        copies: if setup.directory { 0 } else { COPIES_WITHOUT_LOG },
        seed: setup.seed,
    };
    Replica::new(now, config, found)
}

fn new_learner(now: Duration, setup: &Setup) -> Learner {
    let config = LearnerConfig {
        node_id: setup.node_id,
        voters: setup.voters.clone(),
        cluster: setup.cluster,
        seed: setup.seed,
    };
    Learner::new(now, config)
}

fn new_leases(setup: &Setup) -> Leases {
    let mandatory_fallback = setup.mandatory_fallback.clone();
    let mut config = LeaseConfig::usual(setup.node_id, setup.incarnation, mandatory_fallback);
    config.stored = setup.fallback_policy.clone();
    Leases::new(config)
}
