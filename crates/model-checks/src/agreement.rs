//! A model of the council's very machines, for a model checker: three members, words that are lost, doubled, late and in any
//! order, members that end and forget, or come back with what was on their disk; time in steps.
//!
//! What it leaves out, so that there is an end: `Heartbeat`, `StatusRequest` and `StatusResponse` come at once where they come at all (each step says
//! who hears whom); of one kind of word at most [`KEPT`] are under way from one member to another, and the oldest of more
//! are lost; time passes in steps of 250 ms, in which each member says hello once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_consensus::{
    Action as Act, DurableState, Entry, EntryPayload, Event, LogIndex, Message, MessageBody,
    ProposalId, ProposalOutcome, Record, Replica, ReplicaConfig, ReplicaStatus, View,
};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use stateright::{Chooser, Model, Property};

/// How many are in it.
pub const MEMBERS: u16 = 3;
/// Words of one kind that are under way on one link.
pub const KEPT: usize = 2;
const STEP: Duration = Duration::from_millis(250);
/// Who proposes: none of the council.
const CLIENT: NodeId = NodeId(9);

/// What is drawn on.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Members have directories, and a record is on disk only after a step of its own.
    pub directory: bool,
    /// Steps of time.
    pub steps: u8,
    /// Proposals.
    pub proposals: u8,
    /// Ends of members.
    pub ends: u8,
    /// Words that come twice.
    pub copies: u8,
    /// A majority may have forgotten at one moment. Then a yes may be lost, by what is promised; one place never has two
    /// entries.
    pub ruin: bool,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seat {
    replica: Replica,
    incarnation: u32,
    /// The last entry that it told.
    told: Option<LogIndex>,
    disk: DurableState,
    unsynced: Vec<(u64, Record)>,
}

/// The council, and the words under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    step: u8,
    now: Duration,
    seats: Vec<Seat>,
    net: BTreeMap<(u16, u16, u8), VecDeque<Message>>,
    ruin: bool,
    /// The epoch of the first log.
    first: u32,
    agreed: BTreeMap<LogIndex, ProposalId>,
    yes: BTreeMap<ProposalId, LogIndex>,
    /// In which view a yes was said.
    views: BTreeMap<ProposalId, View>,
    asked: u8,
    ended: u8,
    doubled: u8,
    /// Who hears whom since the last step.
    cut: Cut,
    wrong: Option<String>,
    led: BTreeSet<NodeId>,
    returned: bool,
}

/// Who hears whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cut {
    /// All do.
    None,
    /// Nobody hears it, and it hears nobody.
    Off(u16),
    /// It hears nobody, and is heard.
    Deaf(u16),
    /// It stands still, and the others go on.
    Still(u16),
}

/// What may happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Happens {
    /// Time passes.
    Step(Cut),
    /// A word comes.
    Comes(u16, u16, u8, usize),
    /// A word comes, and will come again.
    Doubled(u16, u16, u8, usize),
    /// Somebody proposes, to one that leads.
    Proposed(u16),
    /// One ends, and begins again: with nothing, or with what is on its disk.
    Ends(u16),
    /// What it wrote is on disk.
    Synced(u16),
}

fn kind(body: &MessageBody) -> u8 {
    match body {
        MessageBody::Heartbeat(_) => 0,
        MessageBody::Prepare { .. } => 1,
        MessageBody::PrepareOk { .. } => 2,
        MessageBody::StartViewChange { .. } => 3,
        MessageBody::DoViewChange { .. } => 4,
        MessageBody::GetState { .. } => 5,
        MessageBody::LogPart(_) => 6,
        MessageBody::StatusRequest { .. } => 7,
        MessageBody::StatusResponse { .. } => 8,
        MessageBody::Recovery { .. } => 9,
        MessageBody::RecoveryResponse { .. } => 10,
        MessageBody::ProposalResponse { .. } => 11,
        _ => 12,
    }
}

impl Cut {
    fn passes(self, from: u16, to: u16) -> bool {
        match self {
            Self::None => true,
            Self::Off(who) => from != who && to != who,
            Self::Deaf(who) => to != who,
            Self::Still(who) => from != who && to != who,
        }
    }
}

impl State {
    fn event(&mut self, at: u16, event: Event) {
        let mut actions = Vec::new();
        self.seats[usize::from(at)].replica.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: u16, action: Act) {
        match action {
            Act::Send { to, message } => self.said(at, to, message),
            Act::Persist { number, record } => {
                self.seats[usize::from(at)].unsynced.push((number, record));
            }
            Act::Committed { index, entry } => self.committed(at, index, &entry),
            Act::Reset { index, base } => {
                for (id, place) in self.yes.iter().filter(|_| !self.ruin) {
                    let within = place.epoch() == index.epoch() && place.op() <= index.op();
                    if within && !base.proposals.iter().any(|(i, _)| i == id) {
                        self.wrong = Some(format!("{at} goes on from a copy without {id:?}"));
                    }
                }
                self.seats[usize::from(at)].told = Some(index);
            }
            Act::Leads { view, .. } => {
                self.led.insert(NodeId(at));
                // Whoever leads has all that a yes was said to in a view before. Of an earlier view one may lead
                // that began late: nobody answers it.
                let op = self.seats[usize::from(at)].replica.op();
                let later = |id| self.views.get(id).is_some_and(|said| *said < view);
                let mut yes = self.yes.iter().filter(|(id, _)| later(*id));
                let lacks = yes.find(|(_, p)| p.op() > op && !self.ruin);
                if let Some((id, place)) = lacks {
                    self.wrong =
                        Some(format!("{at} leads with {op} entries, a yes to {id:?} is {place}"));
                }
            }
            _ => {}
        }
    }

    fn committed(&mut self, at: u16, index: LogIndex, entry: &Entry) {
        let seat = &mut self.seats[usize::from(at)];
        let next = seat.told.map_or(1, |t| t.op() + 1);
        if index.op() != next {
            self.wrong = Some(format!("{at} tells {index}, and {next} comes next"));
        }
        seat.told = Some(index);
        let first = *self.agreed.entry(index).or_insert(entry.id);
        if first != entry.id {
            self.wrong = Some(format!("{index} is {first:?} and {:?}", entry.id));
        }
        let other =
            self.yes.iter().find(|(id, p)| p.op() == index.op() && **id != entry.id && !self.ruin);
        if let Some((id, _)) = other {
            self.wrong =
                Some(format!("a yes said that {id:?} is {index}, which is {:?}", entry.id));
        }
    }

    fn said(&mut self, from: u16, to: NodeId, message: Message) {
        if to == CLIENT {
            if let MessageBody::ProposalResponse {
                id,
                outcome: Some(ProposalOutcome::Committed(index)),
                ..
            } = message.body
                && *self.yes.entry(id).or_insert(index) != index
                && !self.ruin
            {
                self.wrong = Some(format!("{id:?} was said to be at two places, {index} is one"));
            }
            if let MessageBody::ProposalResponse {
                id,
                outcome: Some(ProposalOutcome::Committed(_)),
                ..
            } = message.body
            {
                self.views.entry(id).or_insert(message.view);
            }
            return;
        }
        if to.0 >= MEMBERS
            || message.body.channel() != hollowpaddle_peer_transport::Channel::Consensus
        {
            return;
        }
        if matches!(
            message.body,
            MessageBody::Heartbeat(_)
                | MessageBody::StatusRequest { .. }
                | MessageBody::StatusResponse { .. }
        ) {
            if self.cut.passes(from, to.0) {
                self.hear(from, to.0, message);
            }
            return;
        }
        let latest = matches!(message.body, MessageBody::PrepareOk { .. });
        let link = self.net.entry((from, to.0, kind(&message.body))).or_default();
        if link.contains(&message) {
            return;
        }
        while link.len() >= if latest { 1 } else { KEPT } {
            link.pop_front();
        }
        link.push_back(message);
    }

    fn hear(&mut self, from: u16, to: u16, message: Message) {
        let incarnation = Incarnation(self.seats[usize::from(from)].incarnation);
        self.event(to, Event::Message { from: NodeId(from), incarnation, message });
    }

    fn sync(&mut self, at: u16) {
        let seat = &mut self.seats[usize::from(at)];
        let mut through = None;
        for (number, record) in std::mem::take(&mut seat.unsynced) {
            seat.disk.apply(number, record);
            through = Some(number);
        }
        if let Some(through) = through {
            self.event(at, Event::Persisted { through });
        }
    }

    fn blank(&self, at: u16) -> bool {
        let status = self.seats[usize::from(at)].replica.advertised_status();
        matches!(
            status,
            ReplicaStatus::WithoutState | ReplicaStatus::Recovering | ReplicaStatus::DiskFailed
        )
    }

    /// All that is under way comes, in order, until nothing is.
    fn settle(&mut self, bounds: &Bounds) {
        for _ in 0..200 {
            if bounds.directory {
                (0..MEMBERS).for_each(|at| self.sync(at));
            }
            let Some(link) = self.net.iter().find(|(_, l)| !l.is_empty()).map(|(k, _)| *k) else {
                return;
            };
            if let Some(message) = self.net.get_mut(&link).and_then(VecDeque::pop_front) {
                self.hear(link.0, link.1, message);
            }
        }
    }

    fn pass(&mut self, time: Duration, cut: Cut) {
        self.now += time;
        self.cut = cut;
        for at in (0..MEMBERS).filter(|at| cut != Cut::Still(*at)) {
            self.event(at, Event::Tick);
        }
    }
}

/// The model.
#[derive(Clone, Debug)]
pub struct Agreement(pub Bounds);

fn settings(bounds: &Bounds, node_id: u16, incarnation: u32) -> ReplicaConfig {
    ReplicaConfig {
        node_id: NodeId(node_id),
        incarnation: Incarnation(incarnation),
        voters: (0..MEMBERS).map(NodeId).collect(),
        cluster: 0,
        directory: bounds.directory,
        copies: 0,
        seed: u64::from(node_id) << 32 | u64::from(incarnation),
    }
}

impl Agreement {
    /// One that leads, two that follow, nothing agreed yet.
    fn begun(&self) -> State {
        let seats = (0..MEMBERS).map(|node_id| Seat {
            replica: Replica::new(Duration::ZERO, settings(&self.0, node_id, 1), None),
            incarnation: 1,
            told: None,
            disk: DurableState::default(),
            unsynced: Vec::new(),
        });
        let mut state = State {
            step: 0,
            now: Duration::ZERO,
            seats: seats.collect(),
            net: BTreeMap::new(),
            ruin: self.0.ruin,
            first: 0,
            agreed: BTreeMap::new(),
            yes: BTreeMap::new(),
            views: BTreeMap::new(),
            asked: 0,
            ended: 0,
            doubled: 0,
            cut: Cut::None,
            wrong: None,
            led: BTreeSet::new(),
            returned: false,
        };
        for _ in 0..200 {
            state.pass(Duration::from_millis(25), Cut::None);
            state.settle(&self.0);
        }
        state.led.clear();
        state.first = state.seats[0].replica.view().epoch;
        state
    }
}

impl Model for Agreement {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        vec![self.begun()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        let bounds = &self.0;
        for ((from, to, kind), words) in &state.net {
            if state.cut == Cut::Still(*to) {
                continue;
            }
            for place in 0..words.len() {
                actions.push(Happens::Comes(*from, *to, *kind, place));
                if state.doubled < bounds.copies {
                    actions.push(Happens::Doubled(*from, *to, *kind, place));
                }
            }
        }
        for at in 0..MEMBERS {
            let seat = &state.seats[usize::from(at)];
            if state.asked < bounds.proposals && seat.replica.leader() == Some(NodeId(at)) {
                actions.push(Happens::Proposed(at));
            }
            if !seat.unsynced.is_empty() {
                actions.push(Happens::Synced(at));
            }
            // With a directory that keeps what it says, any may end at any time; without, one at a time.
            let others = (0..MEMBERS).filter(|o| *o != at).all(|o| !state.blank(o));
            if state.ended < bounds.ends && (bounds.directory || bounds.ruin || others) {
                actions.push(Happens::Ends(at));
            }
        }
        if state.step < bounds.steps {
            actions.push(Happens::Step(Cut::None));
            for at in 0..MEMBERS {
                let cuts = [Cut::Off(at), Cut::Deaf(at), Cut::Still(at)];
                actions.extend(cuts.map(Happens::Step));
            }
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut state = last.clone();
        match action {
            Happens::Step(cut) => {
                state.step += 1;
                state.pass(STEP, cut);
            }
            Happens::Comes(from, to, kind, place) => {
                let words = state.net.get_mut(&(from, to, kind))?;
                let message = words.remove(place)?;
                if words.is_empty() {
                    state.net.remove(&(from, to, kind));
                }
                state.hear(from, to, message);
            }
            Happens::Doubled(from, to, kind, place) => {
                state.doubled += 1;
                let message = state.net.get(&(from, to, kind))?.get(place)?.clone();
                state.hear(from, to, message);
            }
            Happens::Proposed(at) => {
                state.asked += 1;
                let number = u64::from(state.asked);
                let id = ProposalId { by: CLIENT, incarnation: Incarnation(1), number };
                let body = MessageBody::Propose {
                    id,
                    what: Some(EntryPayload::Command(vec![state.asked])),
                };
                let message = Message {
                    view: Default::default(),
                    incarnation_counts: Default::default(),
                    body,
                };
                state.event(
                    at,
                    Event::Message { from: CLIENT, incarnation: Incarnation(1), message },
                );
            }
            Happens::Ends(at) => {
                state.ended += 1;
                let seat = &mut state.seats[usize::from(at)];
                seat.incarnation += 1;
                seat.unsynced.clear();
                seat.told = None;
                let found = self.0.directory.then(|| seat.disk.clone());
                seat.replica =
                    Replica::new(state.now, settings(&self.0, at, seat.incarnation), found);
            }
            Happens::Synced(at) => state.sync(at),
        }
        state.returned |= state.ended > 0 && (0..MEMBERS).all(|at| !state.blank(at));
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one entry at one place, in order, and no yes is lost",
                |_, s: &State| s.wrong.is_none(),
            ),
            Property::sometimes("a yes", |_, s: &State| !s.yes.is_empty()),
            Property::sometimes("another leads", |_, s: &State| {
                s.led.iter().any(|m| m.0 != 0) || s.led.len() > 1
            }),
            Property::sometimes("one that ended knows again", |_, s: &State| s.returned),
            Property::sometimes("a log is founded anew", |m: &Self, s: &State| {
                !m.0.ruin || s.agreed.keys().any(|i| i.epoch() > s.first)
            }),
        ]
    }
}

impl State {
    /// What must never be, as found.
    pub fn wrong(&self) -> Option<&str> {
        self.wrong.as_deref()
    }
}

/// Draws words thrice as often as all else, so that a walk gets somewhere.
#[derive(Clone, Copy, Debug)]
pub struct Walk;

impl Chooser<Agreement> for Walk {
    type State = oorandom::Rand32;

    fn new_state(&self, seed: u64) -> Self::State {
        oorandom::Rand32::new(seed)
    }
    fn choose_initial_state(&self, _: &mut Self::State, _: &[State]) -> usize {
        0
    }
    fn choose_action(&self, chance: &mut Self::State, _: &State, actions: &[Happens]) -> usize {
        let message = |h: &Happens| matches!(h, Happens::Comes(..) | Happens::Synced(_));
        let words: Vec<usize> = (0..actions.len()).filter(|i| message(&actions[*i])).collect();
        if !words.is_empty() && chance.rand_range(0..4) > 0 {
            words[chance.rand_range(0..words.len() as u32) as usize]
        } else {
            chance.rand_range(0..actions.len() as u32) as usize
        }
    }
}
