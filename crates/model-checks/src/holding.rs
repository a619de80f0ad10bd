//! A model of the rule book and of the machines for leases, for a model checker: three members of two sites in a chain, one
//! log whose agreement is taken for granted (`agreement` has that), words in any order, lost or late, members that are cut
//! off, stand still or forget, a leader that is replaced and does not know it.
//!
//! Time passes in steps of 400 ms, and clocks differ by 1 in 100. Of one kind of word the latest two are under way on a link.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::in_force::{InForce, View};
use hollowpaddle_revision::leases::{Action as Act, Event, LeaseConfig, Leases};
use hollowpaddle_revision::message::Message;
use hollowpaddle_revision::policy_state::{Bootstrap, PolicyState};
use hollowpaddle_revision::rules::{Place, Rules};
use stateright::{Chooser, Model, Property};

const MEMBERS: u16 = 3;
const STEP: Duration = Duration::from_millis(400);
const KEPT: usize = 2;
/// A lease, by the slowest clock, and the step in which its end is seen.
const BEYOND: Duration = Duration::from_millis(2000 + 20 + 400);
/// Each clock against the model's, in thousandths.
const RATES: [u32; 3] = [1000, 1005, 995];

/// What is drawn on.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Steps of time.
    pub steps: u8,
    /// Revisions and charters, of four.
    pub proposals: u8,
    /// New leaders.
    pub leaders: u8,
    /// Ends of members.
    pub ends: u8,
    /// A leader that another one followed may learn of entries before it is told: on its way back from a pause.
    pub late: bool,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seat {
    leases: Leases,
    policy: PolicyState,
    published: InForce,
    incarnation: u32,
    born: Duration,
    /// Since when it sends what another under a lease forbids, by pod.
    since: [Option<Duration>; 5],
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    step: u8,
    now: Duration,
    seats: Vec<Seat>,
    log: Vec<Vec<u8>>,
    leader: u16,
    /// Led before, and is not told yet.
    untold: BTreeSet<u16>,
    net: BTreeMap<(u16, u16, u8), VecDeque<(u32, Message)>>,
    proposed: u8,
    led: u8,
    ended: u8,
    still: Option<u16>,
    wrong: Option<String>,
    apart: bool,
    wide: bool,
    past: bool,
}

/// What may happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Happens {
    /// Time passes; this one stands still meanwhile, if any; and the leader's round is answered, or not.
    Step(Option<u16>, bool),
    /// A word comes.
    Comes(u16, u16, u8, usize),
    /// A member learns the next entry.
    Learns(u16),
    /// The next of the proposals.
    Proposed,
    /// Another one leads; the one before is told, or is not.
    Leads(u16, bool),
    /// One ends, and begins again with nothing.
    Ends(u16),
}

/// The model.
#[derive(Clone, Debug)]
pub struct Holding(pub Bounds);

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
        0 => document.out.cells.extend([3]),
        1 => document.out.cells.extend([4]),
        2 => {
            return Entry::FallbackPolicy(
                CommandId(103),
                fallback_policy(&[1]),
                Box::new(crate::world::facts()),
            );
        }
        _ => document.out.cells.extend([2, 3]),
    }
    crate::world::propose(CommandId(100 + u128::from(number)), None, document)
}

fn sends(rules: &Rules) -> u8 {
    (1..=4).fold(0, |bits, cell| {
        let zone = if cell <= 2 { "bilbao" } else { "oviedo" };
        let place = Place { name: "u", cell, machine_type: "f", zone };
        bits | u8::from(rules.permits(&place, "a")) << cell
    })
}

fn kind(message: &Message) -> u8 {
    match message {
        Message::Renew { .. } => 0,
        Message::Departed { .. } => 1,
        Message::Grant { .. } => 2,
        Message::LeaseRejection { .. } => 3,
    }
}

impl Seat {
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
            // Bedrock is in the charter, and the document is the usual one.
            policy: PolicyState::found(bootstrap).expect("a founding within all bounds"),
            incarnation,
            born: now,
            since: [None; 5],
        }
    }
}

impl State {
    fn clock(&self, at: u16) -> Duration {
        let time = self.now - self.seats[usize::from(at)].born;
        time * RATES[usize::from(at)] / 1000
    }

    fn event(&mut self, at: u16, event: Event) {
        let clock = self.clock(at);
        let mut actions = Vec::new();
        self.seats[usize::from(at)].leases.handle(clock, event, &mut actions);
        for action in actions {
            match action {
                Act::Send { to, message } => {
                    let incarnation = self.seats[usize::from(at)].incarnation;
                    let link = self.net.entry((at, to.0, kind(&message))).or_default();
                    if link.len() >= KEPT {
                        link.pop_front();
                    }
                    link.push_back((incarnation, message));
                }
                Act::Publish(in_force) => self.seats[usize::from(at)].published = in_force,
                // Without directories the charter is kept at once.
                Act::PersistFallbackPolicy { fallback_generation, .. } => {
                    self.event(at, Event::FallbackPolicyPersisted { fallback_generation })
                }
                Act::Propose(entry) => self.enter(&entry),
                _ => {}
            }
        }
    }

    fn enter(&mut self, entry: &Entry) {
        // Too long for the log is none of these.
        let bytes = entry.to_bytes().expect("a short entry");
        if self.log.last() != Some(&bytes) {
            self.log.push(bytes);
        }
    }

    fn learn(&mut self, at: u16) {
        let seat = &mut self.seats[usize::from(at)];
        let next = seat.policy.status().index;
        if let Some(entry) = self.log.get(next as usize) {
            seat.policy.apply(next + 1, entry);
            let status = Box::new(seat.policy.status());
            self.event(at, Event::Applied { epoch: 1, status });
        }
    }

    fn parents(&mut self) {
        let leader = self.leader;
        for at in 0..MEMBERS {
            // A chain where it can be: a lease under a lease under the leader's.
            let parent = match (leader, at) {
                (l, a) if l == a => None,
                (0, 2) => Some(1),
                (2, 0) => Some(1),
                (l, _) => Some(l),
            };
            self.event(at, Event::Parent(parent.map(NodeId)));
        }
    }

    fn pass(&mut self, still: Option<u16>, round: bool) {
        self.now += STEP;
        self.still = still;
        for at in (0..MEMBERS).filter(|at| Some(*at) != still) {
            // No majority answers it; its council looks at that before all else.
            if self.untold.remove(&at) {
                self.event(at, Event::Follows);
            }
            if at == self.leader && round {
                let began = self.clock(at);
                self.event(at, Event::Round { began });
            }
            self.event(at, Event::Due);
        }
    }

    /// What all do at this moment.
    fn look(&mut self) {
        let mut known: Vec<(u16, u8, u64)> = Vec::new();
        let mut acts: Vec<(u16, u8)> = Vec::new();
        let mut confirmed = 0;
        for at in 0..MEMBERS {
            let clock = self.clock(at);
            let seat = &self.seats[usize::from(at)];
            let status = seat.policy.status();
            if !status.unconfirmed {
                confirmed = confirmed.max(status.generation);
            }
            self.wide |= status.revision > 0 && !status.unconfirmed;
            if self.still == Some(at) {
                continue;
            }
            let view = seat.published.at(clock);
            let bits = sends(view.rules());
            acts.push((at, bits));
            if matches!(view, View::Agreed(..)) {
                known.push((at, bits, seat.published.generation.index));
            } else {
                self.past |= !self.log.is_empty();
            }
        }
        self.apart |= known.iter().any(|a| known.iter().any(|b| a.2 != b.2));
        let mut wrong = None;
        for (at, bits, generation) in &known {
            if *generation < confirmed {
                wrong = Some(format!(
                    "{at} holds a lease at {generation}, and {confirmed} is confirmed"
                ));
            }
            if known.iter().any(|(_, other, _)| bits & !other != 0 && other & !bits != 0) {
                wrong = Some(format!(
                    "{at} under a lease and another each send what the other forbids"
                ));
            }
        }
        let forbidden = known.iter().fold(0, |all, (_, bits, _)| all | !bits);
        for (at, bits) in &acts {
            if bits & 2 == 0 {
                wrong = Some(format!("{at} refuses bedrock"));
            }
            for cell in 1..=4 {
                let since = &mut self.seats[usize::from(*at)].since[cell];
                if bits & forbidden & 1 << cell == 0 {
                    *since = None;
                } else if self.now - *since.get_or_insert(self.now) > BEYOND {
                    wrong =
                        Some(format!("{at} sends to {cell} beyond a lease, which another forbids"));
                }
            }
        }
        if let Some(at) = self.still {
            self.seats[usize::from(at)].since = [None; 5];
        }
        self.wrong = self.wrong.take().or(wrong);
    }

    /// What must never be, as found.
    pub fn wrong(&self) -> Option<&str> {
        self.wrong.as_deref()
    }
}

impl Holding {
    fn begun(&self) -> State {
        let mut state = State {
            step: 0,
            now: Duration::ZERO,
            seats: (0..MEMBERS).map(|node_id| Seat::new(node_id, 1, Duration::ZERO)).collect(),
            log: Vec::new(),
            leader: 0,
            untold: BTreeSet::new(),
            net: BTreeMap::new(),
            proposed: 0,
            led: 0,
            ended: 0,
            still: None,
            wrong: None,
            apart: false,
            wide: false,
            past: false,
        };
        for at in 0..MEMBERS {
            let status = Box::new(state.seats[usize::from(at)].policy.status());
            state.event(at, Event::Applied { epoch: 1, status });
        }
        state.event(0, Event::Leads { since: Duration::ZERO, epoch: 1, from: 0 });
        state.parents();
        // Longer than a lease: what the first leader waits for is over, and all know their charter.
        for _ in 0..10 {
            state.pass(None, true);
            while let Some(link) = state.net.keys().next().copied() {
                for (incarnation, message) in state.net.remove(&link).unwrap_or_default() {
                    state.event(
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
        state.look();
        state
    }
}

impl Model for Holding {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        vec![self.begun()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        let bounds = &self.0;
        for ((from, to, kind), words) in &state.net {
            if state.still != Some(*to) {
                actions.extend((0..words.len()).map(|n| Happens::Comes(*from, *to, *kind, n)));
            }
        }
        for at in (0..MEMBERS).filter(|at| state.still != Some(*at)) {
            let index = state.seats[usize::from(at)].policy.status().index;
            // Who leads learns from nobody.
            let learns = bounds.late || !state.untold.contains(&at);
            if learns && (index as usize) < state.log.len() {
                actions.push(Happens::Learns(at));
            }
            if state.led < bounds.leaders && at != state.leader {
                actions.push(Happens::Leads(at, true));
                actions.push(Happens::Leads(at, false));
            }
            if state.ended < bounds.ends && at != state.leader {
                actions.push(Happens::Ends(at));
            }
        }
        if state.proposed < bounds.proposals {
            actions.push(Happens::Proposed);
        }
        if state.step < bounds.steps {
            actions.push(Happens::Step(None, true));
            actions.push(Happens::Step(None, false));
            actions.extend((0..MEMBERS).map(|at| Happens::Step(Some(at), true)));
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut state = last.clone();
        match action {
            Happens::Step(still, round) => {
                state.step += 1;
                state.pass(still, round);
            }
            Happens::Comes(from, to, kind, place) => {
                let words = state.net.get_mut(&(from, to, kind))?;
                let (incarnation, message) = words.remove(place)?;
                if words.is_empty() {
                    state.net.remove(&(from, to, kind));
                }
                // The wire hands over nothing of a life before the one that it knows.
                if incarnation == state.seats[usize::from(from)].incarnation {
                    state.event(
                        to,
                        Event::Message {
                            from: NodeId(from),
                            incarnation: Incarnation(incarnation),
                            message,
                        },
                    );
                }
            }
            Happens::Learns(at) => state.learn(at),
            Happens::Proposed => {
                state.proposed += 1;
                state.enter(&proposal(state.proposed - 1));
            }
            Happens::Leads(at, told) => {
                state.led += 1;
                let before = state.leader;
                state.leader = at;
                state.untold.insert(before);
                state.untold.remove(&at);
                if told {
                    state.untold.remove(&before);
                    state.event(before, Event::Follows);
                }
                let (since, from) = (state.clock(at), state.log.len() as u64);
                state.event(at, Event::Leads { since, epoch: 1, from });
                state.parents();
            }
            Happens::Ends(at) => {
                state.ended += 1;
                state.untold.remove(&at);
                let incarnation = state.seats[usize::from(at)].incarnation + 1;
                state.seats[usize::from(at)] = Seat::new(at, incarnation, state.now);
                let status = Box::new(state.seats[usize::from(at)].policy.status());
                state.event(at, Event::Applied { epoch: 1, status });
                state.parents();
            }
        }
        state.look();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two contradict beyond a lease", |_, s: &State| s.wrong.is_none()),
            Property::sometimes("a revision is in force", |_, s: &State| s.wide),
            Property::sometimes("two leases of two stages", |_, s: &State| s.apart),
            Property::sometimes("one past its lease", |_, s: &State| s.past),
        ]
    }
}

/// Draws words and learning thrice as often as all else, so that a walk gets somewhere.
#[derive(Clone, Copy, Debug)]
pub struct Walk;

impl Chooser<Holding> for Walk {
    type State = oorandom::Rand32;

    fn new_state(&self, seed: u64) -> Self::State {
        oorandom::Rand32::new(seed)
    }
    fn choose_initial_state(&self, _: &mut Self::State, _: &[State]) -> usize {
        0
    }
    fn choose_action(&self, chance: &mut Self::State, _: &State, actions: &[Happens]) -> usize {
        let usual = |h: &Happens| matches!(h, Happens::Comes(..) | Happens::Learns(_));
        let often: Vec<usize> = (0..actions.len()).filter(|i| usual(&actions[*i])).collect();
        if !often.is_empty() && chance.rand_range(0..4) > 0 {
            often[chance.rand_range(0..often.len() as u32) as usize]
        } else {
            chance.rand_range(0..actions.len() as u32) as usize
        }
    }
}
