//! A network of wires under one seed, and a judge that knows nothing of how they work: it knows what was
//! said, by which process, to which.
#![allow(dead_code, reason = "each test uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_peer_transport::{
    Action, Channel, Config, Counts, Event, How, Incarnation, NodeId, Wire,
};
use oorandom::Rand64;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn config(node_id: u16, members: u16, incarnation: u32) -> Config {
    let (node_id, incarnation) = (NodeId(node_id), Incarnation(incarnation));
    Config {
        node_id,
        members,
        incarnation,
        seed: u64::from(incarnation.0) << 16 | 7,
        budget: Default::default(),
    }
}

pub fn wire(node_id: u16, members: u16, incarnation: u32) -> Wire {
    Wire::new(config(node_id, members, incarnation)).expect("a sound configuration")
}

/// What the network does; shares from 0 to 1.
#[derive(Clone, Copy, Default)]
pub struct Weather {
    pub loss: f64,
    pub copies: f64,
    pub flips: f64,
    /// A datagram of any time before comes once more.
    pub replays: f64,
    /// A datagram takes 1 ms, and up to so much more.
    pub jitter_ms: u64,
}

enum Happens {
    Arrives { from: NodeId, to: NodeId, bytes: Vec<u8> },
    Due { at: NodeId },
}

pub struct Net {
    pub now: Duration,
    pub weather: Weather,
    pub wires: Vec<Option<Wire>>,
    /// By sender and receiver.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub chance: Rand64,
    /// The one timer of each.
    wake: BTreeMap<NodeId, Duration>,
    agenda: BTreeMap<(Duration, u64), Happens>,
    count: u64,
    incarnations: u32,
    every: Vec<(NodeId, NodeId, Vec<u8>)>,
    /// What was said: from whom, in which life, to whom, and what;
    said: BTreeMap<u64, (NodeId, Incarnation, NodeId, Vec<u8>)>,
    /// and to which life, if one was known.
    meant: BTreeMap<u64, Incarnation>,
    /// What was handed over, and when.
    pub delivered: BTreeMap<u64, Duration>,
    /// The life of a peer that a process was told last.
    told: BTreeMap<(NodeId, NodeId), Incarnation>,
    /// Datagrams that came to the process that is there.
    pub came: BTreeMap<NodeId, u64>,
    pub transmitted: Vec<(Duration, NodeId, NodeId, usize)>,
    /// What processes that have ended had counted, and what was said to them and by them.
    pub ended: Vec<Counts>,
}

impl Net {
    pub fn new(members: u16, seed: u64, weather: Weather) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            weather,
            wires: (0..members).map(|_| None).collect(),
            cut: BTreeSet::new(),
            chance: Rand64::new(u128::from(seed)),
            wake: BTreeMap::new(),
            agenda: BTreeMap::new(),
            count: 0,
            incarnations: 0,
            every: Vec::new(),
            said: BTreeMap::new(),
            meant: BTreeMap::new(),
            delivered: BTreeMap::new(),
            told: BTreeMap::new(),
            came: BTreeMap::new(),
            transmitted: Vec::new(),
            ended: Vec::new(),
        };
        (0..members).for_each(|m| net.restart(m));
        net
    }

    /// The process of this member ends, and another begins.
    pub fn restart(&mut self, member: u16) {
        self.incarnations += 1;
        let members = self.wires.len() as u16;
        let fresh = wire(member, members, self.incarnations);
        self.ended
            .extend(self.wires[usize::from(member)].replace(fresh).map(|w| w.counts().clone()));
        self.told.retain(|(at, _), _| at.0 != member);
        self.wake.remove(&NodeId(member));
        self.came.remove(&NodeId(member));
    }

    /// Says a word of so many bytes, which tells itself from all others.
    pub fn say(&mut self, from: u16, to: u16, length: usize, how: How) -> u64 {
        let id = self.said.len() as u64 + 1;
        let mut message = id.to_le_bytes().to_vec();
        message.extend((8..length).map(|i| (id as usize * 31 + i * 7) as u8));
        let (from, to) = (NodeId(from), NodeId(to));
        let Some(wire) = &mut self.wires[usize::from(from.0)] else { return id };
        let incarnation = wire.own_incarnation();
        self.meant.extend(wire.incarnation(to).map(|incarnation| (id, incarnation)));
        self.said.insert(id, (from, incarnation, to, message.clone()));
        self.hand(from, Event::Send { to, channel: Channel::Log, message, how });
        id
    }

    pub fn hand(&mut self, at: NodeId, event: Event<'_>) {
        let Some(wire) = &mut self.wires[usize::from(at.0)] else { return };
        let mut actions = Vec::new();
        wire.handle(self.now, event, &mut actions);
        let mine = wire.own_incarnation();
        for action in actions {
            match action {
                Action::WakeAt(due) => {
                    let due = due.max(self.now);
                    self.wake.insert(at, due);
                    self.plan(due, Happens::Due { at });
                }
                Action::Transmit { to, bytes } => self.pass(at, to, bytes),
                Action::Reborn { from, incarnation } => {
                    self.told.insert((at, from), incarnation);
                }
                Action::Deliver { from, incarnation, channel, message } => {
                    let id = message.first_chunk::<8>().map(|id| u64::from_le_bytes(*id));
                    let id = id.expect("a word that nobody said");
                    assert_eq!(
                        self.said.get(&id),
                        Some(&(from, incarnation, at, message)),
                        "as it was said, by whom"
                    );
                    assert_eq!(
                        self.told.get(&(at, from)),
                        Some(&incarnation),
                        "of a life that was replaced"
                    );
                    assert_eq!(
                        *self.meant.get(&id).unwrap_or(&mine),
                        mine,
                        "it was said to another life"
                    );
                    assert_eq!(channel, Channel::Log);
                    assert_eq!(self.delivered.insert(id, self.now), None, "word {id} came twice");
                }
            }
        }
    }

    fn plan(&mut self, at: Duration, happens: Happens) {
        self.count += 1;
        self.agenda.insert((at.max(self.now), self.count), happens);
    }

    fn draw(&mut self, share: f64) -> bool {
        self.chance.rand_float() < share
    }

    fn pass(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        assert!(bytes.len() <= hollowpaddle_peer_transport::DATAGRAM);
        self.transmitted.push((self.now, from, to, bytes.len()));
        if self.weather.replays > 0.0 {
            self.every.push((from, to, bytes.clone()));
        }
        let mut arrive = vec![(from, to, bytes.clone())];
        if self.cut.contains(&(from, to)) || self.draw(self.weather.loss) {
            arrive.clear();
        } else if self.draw(self.weather.copies) {
            arrive.push((from, to, bytes));
        }
        if self.draw(self.weather.replays) {
            let which = self.chance.rand_range(0..self.every.len() as u64) as usize;
            arrive.push(self.every[which].clone());
        }
        for (from, to, mut bytes) in arrive {
            if self.draw(self.weather.flips) {
                let bit = self.chance.rand_range(0..bytes.len() as u64 * 8) as usize;
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            let late = self.chance.rand_range(0..self.weather.jitter_ms * 1_000 + 1);
            let at = self.now + ms(1) + Duration::from_micros(late);
            self.plan(at, Happens::Arrives { from, to, bytes });
        }
    }

    /// Plays so much time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), happens) = entry.remove_entry();
            self.now = at;
            match happens {
                Happens::Arrives { from, to, bytes } => {
                    *self.came.entry(to).or_default() += 1;
                    self.hand(to, Event::Received { from, bytes: &bytes });
                }
                Happens::Due { at } => {
                    if self.wake.get(&at) == Some(&self.now) {
                        self.wake.remove(&at);
                        self.hand(at, Event::Due);
                    }
                }
            }
        }
        self.now = end;
    }

    /// All datagrams that ever went from one to the other, if the weather keeps them for replays.
    pub fn every(&self, from: NodeId, to: NodeId) -> impl Iterator<Item = Vec<u8>> {
        self.every
            .iter()
            .filter(move |(f, t, _)| (*f, *t) == (from, to))
            .map(|(.., bytes)| bytes.clone())
    }

    pub fn counts(&self, member: u16) -> &Counts {
        self.wires[usize::from(member)].as_ref().expect("it is up").counts()
    }

    /// Every datagram that came to this member was counted once.
    pub fn each_is_counted_once(&self, member: u16) {
        let counts = self.counts(member);
        let (h, d) = (&counts.heard, &counts.dropped);
        let heard = h.hellos + h.words + h.pieces + h.asks;
        let dropped = d.strange + d.too_long + d.version + d.torn + d.unreadable;
        let dropped = dropped + d.unconfirmed + d.previous_incarnation + d.copy + d.late;
        let came = self.came.get(&NodeId(member)).copied().unwrap_or(0);
        assert_eq!(heard + dropped, came, "{counts:#?}");
    }

    /// Words of its own that met their end.
    pub fn ended_words(&self, member: u16) -> u64 {
        let w = &self.counts(member).words;
        w.said
            + w.nowhere
            + w.too_long
            + w.no_room
            + w.no_tokens
            + w.waited_in_vain
            + w.previous_incarnation
            + w.used_up
    }
}
