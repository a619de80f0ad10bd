//! One balancer's membership in the cluster as a pure state machine, composed of the transport, the replica, the learner of
//! the log, the policy state, the leases and the endpoint lists of other balancers.
//!
//! The module `routing` passes messages between these components, `pending_calls` holds admin calls that wait for an answer,
//! and `timers` decides which component is due. The machine uses no clock, socket, file or thread. Its driver
//! ([`Runtime`](super::Runtime), or a simulation) provides them.

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

/// Number of learners that must have an entry before the entry is acknowledged, if the replica has no durable log.
const COPIES_WITHOUT_LOG: u8 = 2;

/// The state machine of one balancer in the cluster.
pub struct Machine {
    setup: Setup,
    now: Duration,
    transport: Transport,
    replica: Replica,
    learner: Learner,
    policy: PolicyState,
    /// Index of the last log entry that is applied to `policy`.
    applied_index: consensus::LogIndex,
    leases: Leases,
    lists: Lists,
    stops: StoppedUpstreams,
    pending_calls: VecDeque<PendingCall>,
    last_proposal: u64,
    /// Proposals of this machine that no admin call waits for.
    own_proposals: BTreeSet<consensus::ProposalId>,
    is_leader: bool,
    /// Time of the last proposal of a first fallback policy.
    first_fallback_at: Option<Duration>,
    /// The leader that the replica reported last.
    leader: Option<NodeId>,
    timers: Timers,
    /// Outputs of components that are not routed yet, in order.
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
    /// Creates the machine at time `now` of its clock.
    ///
    /// # Errors
    /// Returns an error if no cluster can have this configuration.
    pub fn new(now: Duration, mut setup: Setup) -> Result<Self, SetupError> {
        let replica_state = setup.replica_state.take();
        let learner = new_learner(now, &setup);
        let source = learner.source();
        let mut machine = Self {
            transport: new_transport(&setup)?,
            replica: new_replica(now, &setup, replica_state),
            learner,
            policy: PolicyState::bootstrap(setup.bootstrap.clone())?,
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

    /// Returns the id of this balancer.
    pub fn node_id(&self) -> NodeId {
        self.setup.node_id
    }

    /// Returns the time of the last event.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the rules in force at this balancer and their lease.
    pub fn in_force(&self) -> InForce {
        self.leases.in_force()
    }

    /// Returns the state of the endpoint lists of this balancer and of the others.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// Returns the policy state, which includes the log entries applied so far.
    pub fn policy(&self) -> &PolicyState {
        &self.policy
    }

    /// Returns the leases, the generations and the confirmations of balancers.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns this balancer's replica, which may be a voter.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the learner with which this balancer follows the log.
    pub fn learner(&self) -> &Learner {
        &self.learner
    }

    /// Returns the transport to other balancers.
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Returns the voters by the log entries that this balancer has.
    pub fn voters(&self) -> &consensus::VoterSet {
        self.learner.voter_set()
    }

    /// Returns the number of balancers in the cluster.
    pub fn cluster_size(&self) -> u16 {
        self.setup.cluster_size
    }

    /// Returns the leader of the voters, if this balancer knows one.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader.or(self.learner.leader())
    }

    /// Handles one event at `now`, in monotonic time of the machine's clock, and appends the resulting actions to `actions`.
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
                self.step_transport(peers::Event::Received { from, bytes });
            }
            Event::Datagram { from: None, .. } => {
                self.step_transport(peers::Event::ReceivedFromUnknown)
            }
            Event::Due => self.timers.disarm(),
            Event::Persisted(through) => self.step_replica(consensus::Event::Persisted { through }),
            Event::DiskFailed(cause) => self.step_replica(consensus::Event::DiskFailed { cause }),
            Event::DiskRecovered => self.step_replica(consensus::Event::DiskRecovered),
            Event::FallbackPolicyPersisted(fallback_generation) => {
                self.step_leases(leases::Event::FallbackPolicyPersisted { fallback_generation });
            }
            Event::Propose { ticket, id, entry } => self.propose_entry(ticket, id, &entry, actions),
            Event::QueryOutcome { ticket, id } => self.query_outcome(ticket, id, actions),
            Event::EndpointList { version, is_complete, entries } => {
                self.step_lists(lists::Event::OwnList { version, is_complete, entries });
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
        let command = consensus::OperatorCommand::ForceNewEpoch { voters };
        self.step_replica(consensus::Event::OperatorCommand(command));
        let answer = ProposalResult::Committed(self.applied_index);
        actions.push(Action::ProposalResult { ticket, answer });
    }

    fn step_transport(&mut self, event: peers::Event<'_>) {
        let mut actions = Vec::new();
        self.transport.handle(self.now, event, &mut actions);
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

fn new_transport(setup: &Setup) -> Result<Transport, peers::ConfigError> {
    Transport::new(peers::Config {
        node_id: setup.node_id,
        members: setup.cluster_size,
        incarnation: setup.incarnation,
        seed: setup.seed,
        budget: peers::Budget::default(),
    })
}

fn new_replica(now: Duration, setup: &Setup, replica_state: Option<DurableState>) -> Replica {
    let config = ReplicaConfig {
        node_id: setup.node_id,
        incarnation: setup.incarnation,
        voters: setup.voters.clone(),
        cluster_size: setup.cluster_size,
        has_directory: setup.has_durable_log,
        required_learner_copies: if setup.has_durable_log { 0 } else { COPIES_WITHOUT_LOG },
        seed: setup.seed,
    };
    Replica::new(now, config, replica_state)
}

fn new_learner(now: Duration, setup: &Setup) -> Learner {
    let config = LearnerConfig {
        node_id: setup.node_id,
        voters: setup.voters.clone(),
        cluster_size: setup.cluster_size,
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
