//! A model of the policy state machine ([`PolicyState`]) and of the lease state machine ([`Leases`]) for a model
//! checker. Three members in two zones form a chain and share one log, whose agreement is assumed here
//! (`consensus_model` checks it). Messages are reordered, lost and delayed. Members are cut off, are paused, or crash
//! and lose their state; a leader is replaced without being notified.
//!
//! Time advances in steps of 400 ms, and clocks differ by 1 in 100. The latest two messages of each kind are in flight
//! on a link.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::leases::{Action as LeaseAction, Event, LeaseConfig, Leases};
use hollowpaddle_revision::message::Message;
use hollowpaddle_revision::policy_state::{Bootstrap, PolicyState};
use hollowpaddle_revision::rules::{Place, Rules};
use stateright::{Chooser, Model, Property};

const MEMBERS: u16 = 3;
const STEP_DURATION: Duration = Duration::from_millis(400);
const MAX_MESSAGES_PER_LINK: usize = 2;
/// The term of a lease on the slowest clock, and the step in which its end is detected.
const MAX_FORBIDDEN_TIME: Duration = Duration::from_millis(2000 + 20 + 400);
/// Rate of each member's clock relative to the model's clock, in thousandths.
const CLOCK_RATES: [u32; 3] = [1000, 1005, 995];

/// Bounds of the state space.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Time steps.
    pub steps: u8,
    /// Proposals, which are revisions and a fallback policy; at most four.
    pub proposals: u8,
    /// Leader changes.
    pub leader_changes: u8,
    /// Crashes of members.
    pub crashes: u8,
    /// Whether a former leader may learn entries of its successor before it steps down, as after a pause.
    pub learns_before_step_down: bool,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    leases: Leases,
    policy: PolicyState,
    published: InForce,
    incarnation: u32,
    started_at: Duration,
    /// Since when the member sends what another member under a lease forbids, by cell.
    forbidden_since: [Option<Duration>; 5],
}

/// The members, the shared log and the messages in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    step: u8,
    now: Duration,
    members: Vec<Member>,
    log: Vec<Vec<u8>>,
    leader: u16,
    /// Former leaders that are not notified of their successor yet.
    unaware_former_leaders: BTreeSet<u16>,
    in_flight: BTreeMap<(u16, u16, u8), VecDeque<(u32, Message)>>,
    proposals: u8,
    leader_changes: u8,
    crashes: u8,
    paused: Option<u16>,
    violation: Option<String>,
    saw_mixed_generations: bool,
    saw_revision_in_force: bool,
    saw_expired_lease: bool,
}

/// A transition of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModelAction {
    /// Advances time by one step. One member may be paused meanwhile; the flag tells whether a majority answers the
    /// leader's round.
    AdvanceTime(Option<u16>, bool),
    /// Delivers a message, named by sender, recipient, kind and position in the queue.
    Deliver(u16, u16, u8, usize),
    /// A member applies its next log entry.
    LearnEntry(u16),
    /// Appends the next proposal to the log.
    Propose,
    /// Makes this member the leader; the flag tells whether the former leader is notified.
    ChangeLeader(u16, bool),
    /// Crashes a member and restarts it without state.
    Crash(u16),
}

/// The model.
#[derive(Clone, Debug)]
pub struct LeaseModel(pub Bounds);

fn fallback_policy(cells: &[u32]) -> FallbackPolicy {
    FallbackPolicy {
        cells: cells.iter().copied().collect(),
        attempts: 1,
        ..FallbackPolicy::default()
    }
}

fn proposal(number: u8) -> Entry {
    let mut document = Document { attempts: 3, ..Document::default() };
    match number {
        0 => document.exclusions.cells.extend([3]),
        1 => document.exclusions.cells.extend([4]),
        2 => {
            return Entry::FallbackPolicy(
                CommandId(103),
                fallback_policy(&[1]),
                Box::new(crate::simulated_cluster::fleet_facts()),
            );
        }
        _ => document.exclusions.cells.extend([2, 3]),
    }
    crate::simulated_cluster::propose_entry(CommandId(100 + u128::from(number)), None, document)
}

fn permitted_cells(rules: &Rules) -> u8 {
    (1..=4).fold(0, |bits, cell| {
        let zone = if cell <= 2 { "bilbao" } else { "oviedo" };
        let place = Place { name: "u", cell, machine_type: "f", zone };
        bits | u8::from(rules.permits(&place, "a")) << cell
    })
}

fn message_kind(message: &Message) -> u8 {
    match message {
        Message::Renew { .. } => 0,
        Message::Departed { .. } => 1,
        Message::Grant { .. } => 2,
        Message::LeaseRejection { .. } => 3,
    }
}

impl Member {
    fn new(node_id: u16, incarnation: u32, now: Duration) -> Self {
        let bootstrap = Bootstrap {
            members: MEMBERS,
            mandatory_fallback: fallback_policy(&[1]),
            fallback_policy: fallback_policy(&[1, 2]),
            document: Document::default(),
        };
        let leases = Leases::new(LeaseConfig::usual(
            NodeId(node_id),
            Incarnation(incarnation),
            fallback_policy(&[1]),
        ));
        Self {
            published: leases.in_force(),
            leases,
            // The mandatory fallback is part of the fallback policy, and the document is the default one.
            policy: PolicyState::bootstrap(bootstrap).expect("a bootstrap within all bounds"),
            incarnation,
            started_at: now,
            forbidden_since: [None; 5],
        }
    }
}

impl State {
    fn local_time(&self, node_id: u16) -> Duration {
        let time = self.now - self.members[usize::from(node_id)].started_at;
        time * CLOCK_RATES[usize::from(node_id)] / 1000
    }

    fn handle_event(&mut self, node_id: u16, event: Event) {
        let local_time = self.local_time(node_id);
        let mut actions = Vec::new();
        self.members[usize::from(node_id)].leases.handle(local_time, event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Send { to, message } => {
                    let incarnation = self.members[usize::from(node_id)].incarnation;
                    let queue =
                        self.in_flight.entry((node_id, to.0, message_kind(&message))).or_default();
                    if queue.len() >= MAX_MESSAGES_PER_LINK {
                        queue.pop_front();
                    }
                    queue.push_back((incarnation, message));
                }
                LeaseAction::Publish(in_force) => {
                    self.members[usize::from(node_id)].published = in_force
                }
                // Without directories the fallback policy counts as persisted at once.
                LeaseAction::PersistFallbackPolicy { fallback_generation, .. } => self
                    .handle_event(node_id, Event::FallbackPolicyPersisted { fallback_generation }),
                LeaseAction::Propose(entry) => self.append(&entry),
                _ => {}
            }
        }
    }

    fn append(&mut self, entry: &Entry) {
        // None of these entries is too long for the log.
        let bytes = entry.to_bytes().expect("a short entry");
        if self.log.last() != Some(&bytes) {
            self.log.push(bytes);
        }
    }

    fn learn_next_entry(&mut self, node_id: u16) {
        let member = &mut self.members[usize::from(node_id)];
        let next = member.policy.status().index;
        if let Some(entry) = self.log.get(next as usize) {
            member.policy.apply(next + 1, entry);
            let status = Box::new(member.policy.status());
            self.handle_event(node_id, Event::Applied { epoch: 1, status });
        }
    }

    fn assign_parents(&mut self) {
        let leader = self.leader;
        for node_id in 0..MEMBERS {
            // A chain where possible: one member's lease depends on a lease that depends on the leader's.
            let parent = match (leader, node_id) {
                (l, a) if l == a => None,
                (0, 2) => Some(1),
                (2, 0) => Some(1),
                (l, _) => Some(l),
            };
            self.handle_event(node_id, Event::Parent(parent.map(NodeId)));
        }
    }

    fn advance_time(&mut self, paused: Option<u16>, is_round_answered: bool) {
        self.now += STEP_DURATION;
        self.paused = paused;
        for node_id in (0..MEMBERS).filter(|node_id| Some(*node_id) != paused) {
            // No majority answers a former leader. Its consensus replica detects that before all else.
            if self.unaware_former_leaders.remove(&node_id) {
                self.handle_event(node_id, Event::Follows);
            }
            if node_id == self.leader && is_round_answered {
                let started_at = self.local_time(node_id);
                self.handle_event(node_id, Event::Round { began: started_at });
            }
            self.handle_event(node_id, Event::Due);
        }
    }

    /// Checks what all members may send at this moment.
    fn check(&mut self) {
        let mut leased: Vec<(u16, u8, u64)> = Vec::new();
        let mut active: Vec<(u16, u8)> = Vec::new();
        let mut confirmed = 0;
        for node_id in 0..MEMBERS {
            let local_time = self.local_time(node_id);
            let member = &self.members[usize::from(node_id)];
            let status = member.policy.status();
            if !status.unconfirmed {
                confirmed = confirmed.max(status.generation);
            }
            self.saw_revision_in_force |= status.revision > 0 && !status.unconfirmed;
            if self.paused == Some(node_id) {
                continue;
            }
            let view = member.published.at(local_time);
            let bits = permitted_cells(view.rules());
            active.push((node_id, bits));
            if matches!(view, View::Agreed(..)) {
                leased.push((node_id, bits, member.published.generation.index));
            } else {
                self.saw_expired_lease |= !self.log.is_empty();
            }
        }
        self.saw_mixed_generations |= leased.iter().any(|a| leased.iter().any(|b| a.2 != b.2));
        let mut new_violation = None;
        for (node_id, bits, generation) in &leased {
            if *generation < confirmed {
                new_violation = Some(format!(
                    "member {node_id} holds a lease of generation {generation}, but {confirmed} is confirmed"
                ));
            }
            if leased
                .iter()
                .any(|(_, other_bits, _)| bits & !other_bits != 0 && other_bits & !bits != 0)
            {
                new_violation = Some(format!(
                    "member {node_id} and another one, both under leases, each send what the other forbids"
                ));
            }
        }
        let forbidden = leased.iter().fold(0, |all, (_, bits, _)| all | !bits);
        for (node_id, bits) in &active {
            if bits & 2 == 0 {
                new_violation = Some(format!("member {node_id} refuses the mandatory fallback"));
            }
            for cell in 1..=4 {
                let forbidden_since =
                    &mut self.members[usize::from(*node_id)].forbidden_since[cell];
                if bits & forbidden & 1 << cell == 0 {
                    *forbidden_since = None;
                } else if self.now - *forbidden_since.get_or_insert(self.now) > MAX_FORBIDDEN_TIME {
                    new_violation = Some(format!(
                        "member {node_id} sends to cell {cell}, which another forbids, for longer than a lease"
                    ));
                }
            }
        }
        if let Some(node_id) = self.paused {
            self.members[usize::from(node_id)].forbidden_since = [None; 5];
        }
        self.violation = self.violation.take().or(new_violation);
    }

    /// Returns the first violation found, if any.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }
}

impl LeaseModel {
    fn initial_state(&self) -> State {
        let mut state = State {
            step: 0,
            now: Duration::ZERO,
            members: (0..MEMBERS).map(|node_id| Member::new(node_id, 1, Duration::ZERO)).collect(),
            log: Vec::new(),
            leader: 0,
            unaware_former_leaders: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            proposals: 0,
            leader_changes: 0,
            crashes: 0,
            paused: None,
            violation: None,
            saw_mixed_generations: false,
            saw_revision_in_force: false,
            saw_expired_lease: false,
        };
        for node_id in 0..MEMBERS {
            let status = Box::new(state.members[usize::from(node_id)].policy.status());
            state.handle_event(node_id, Event::Applied { epoch: 1, status });
        }
        state.handle_event(0, Event::Leads { since: Duration::ZERO, epoch: 1, last_index: 0 });
        state.assign_parents();
        // Longer than a lease: the first leader's wait is over, and all members know their fallback policy.
        for _ in 0..10 {
            state.advance_time(None, true);
            while let Some(link) = state.in_flight.keys().next().copied() {
                for (incarnation, message) in state.in_flight.remove(&link).unwrap_or_default() {
                    state.handle_event(
                        link.1,
                        Event::Message {
                            from: NodeId(link.0),
                            incarnation: Incarnation(incarnation),
                            message,
                        },
                    );
                }
            }
        }
        state.check();
        state
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<ModelAction>) {
        let bounds = &self.0;
        for ((from, to, message_kind), messages) in &state.in_flight {
            if state.paused != Some(*to) {
                actions.extend(
                    (0..messages.len()).map(|n| ModelAction::Deliver(*from, *to, *message_kind, n)),
                );
            }
        }
        for node_id in (0..MEMBERS).filter(|node_id| state.paused != Some(*node_id)) {
            let index = state.members[usize::from(node_id)].policy.status().index;
            // A leader learns entries from nobody, and a former leader considers itself the leader until notified.
            let may_learn =
                bounds.learns_before_step_down || !state.unaware_former_leaders.contains(&node_id);
            if may_learn && (index as usize) < state.log.len() {
                actions.push(ModelAction::LearnEntry(node_id));
            }
            if state.leader_changes < bounds.leader_changes && node_id != state.leader {
                actions.push(ModelAction::ChangeLeader(node_id, true));
                actions.push(ModelAction::ChangeLeader(node_id, false));
            }
            if state.crashes < bounds.crashes && node_id != state.leader {
                actions.push(ModelAction::Crash(node_id));
            }
        }
        if state.proposals < bounds.proposals {
            actions.push(ModelAction::Propose);
        }
        if state.step < bounds.steps {
            actions.push(ModelAction::AdvanceTime(None, true));
            actions.push(ModelAction::AdvanceTime(None, false));
            actions
                .extend((0..MEMBERS).map(|node_id| ModelAction::AdvanceTime(Some(node_id), true)));
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut state = last.clone();
        match action {
            ModelAction::AdvanceTime(paused, is_round_answered) => {
                state.step += 1;
                state.advance_time(paused, is_round_answered);
            }
            ModelAction::Deliver(from, to, message_kind, position) => {
                let messages = state.in_flight.get_mut(&(from, to, message_kind))?;
                let (incarnation, message) = messages.remove(position)?;
                if messages.is_empty() {
                    state.in_flight.remove(&(from, to, message_kind));
                }
                // The transport delivers no message of an incarnation before the one it knows.
                if incarnation == state.members[usize::from(from)].incarnation {
                    state.handle_event(
                        to,
                        Event::Message {
                            from: NodeId(from),
                            incarnation: Incarnation(incarnation),
                            message,
                        },
                    );
                }
            }
            ModelAction::LearnEntry(node_id) => state.learn_next_entry(node_id),
            ModelAction::Propose => {
                state.proposals += 1;
                state.append(&proposal(state.proposals - 1));
            }
            ModelAction::ChangeLeader(node_id, is_notified) => {
                state.leader_changes += 1;
                let former_leader = state.leader;
                state.leader = node_id;
                state.unaware_former_leaders.insert(former_leader);
                state.unaware_former_leaders.remove(&node_id);
                if is_notified {
                    state.unaware_former_leaders.remove(&former_leader);
                    state.handle_event(former_leader, Event::Follows);
                }
                let (led_since, log_length) = (state.local_time(node_id), state.log.len() as u64);
                state.handle_event(
                    node_id,
                    Event::Leads { since: led_since, epoch: 1, last_index: log_length },
                );
                state.assign_parents();
            }
            ModelAction::Crash(node_id) => {
                state.crashes += 1;
                state.unaware_former_leaders.remove(&node_id);
                let incarnation = state.members[usize::from(node_id)].incarnation + 1;
                state.members[usize::from(node_id)] = Member::new(node_id, incarnation, state.now);
                let status = Box::new(state.members[usize::from(node_id)].policy.status());
                state.handle_event(node_id, Event::Applied { epoch: 1, status });
                state.assign_parents();
            }
        }
        state.check();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two members contradict each other for longer than a lease",
                |_, s: &State| s.violation.is_none(),
            ),
            Property::sometimes("a revision is in force", |_, s: &State| s.saw_revision_in_force),
            Property::sometimes("two leases of different generations", |_, s: &State| {
                s.saw_mixed_generations
            }),
            Property::sometimes("a member past its lease", |_, s: &State| s.saw_expired_lease),
        ]
    }
}

/// Prefers deliveries and log entries in three of four steps, so that a random walk makes progress.
#[derive(Clone, Copy, Debug)]
pub struct RandomWalk;

impl Chooser<LeaseModel> for RandomWalk {
    type State = oorandom::Rand32;

    fn new_state(&self, seed: u64) -> Self::State {
        oorandom::Rand32::new(seed)
    }
    fn choose_initial_state(&self, _: &mut Self::State, _: &[State]) -> usize {
        0
    }
    fn choose_action(&self, rng: &mut Self::State, _: &State, actions: &[ModelAction]) -> usize {
        let is_delivery_or_entry = |action: &ModelAction| {
            matches!(action, ModelAction::Deliver(..) | ModelAction::LearnEntry(_))
        };
        let preferred: Vec<usize> =
            (0..actions.len()).filter(|i| is_delivery_or_entry(&actions[*i])).collect();
        if !preferred.is_empty() && rng.rand_range(0..4) > 0 {
            preferred[rng.rand_range(0..preferred.len() as u32) as usize]
        } else {
            rng.rand_range(0..actions.len() as u32) as usize
        }
    }
}
