//! A simulated network of transports, which runs under one seed. It compares each delivered message with the
//! sent one: content, sending process and receiving process.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_peer_transport::{
    Action, Channel, Config, DeliveryMode, Event, Incarnation, NodeId, Transport, TransportMetrics,
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

pub fn transport(node_id: u16, members: u16, incarnation: u32) -> Transport {
    Transport::new(config(node_id, members, incarnation)).expect("a valid configuration")
}

/// Faults of the network, as probabilities from 0 to 1.
#[derive(Clone, Copy, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub copies: f64,
    pub flips: f64,
    /// Probability that some earlier datagram is replayed.
    pub replays: f64,
    /// Largest delay in addition to 1 ms.
    pub jitter_ms: u64,
}

enum SimulatedEvent {
    Arrival { from: NodeId, to: NodeId, bytes: Vec<u8> },
    Timer { at: NodeId },
}

pub struct Network {
    pub now: Duration,
    pub faults: NetworkFaults,
    pub transports: Vec<Option<Transport>>,
    /// Links that lose all datagrams, by sender and receiver.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub rng: Rand64,
    /// When the timer of each node is due.
    wake: BTreeMap<NodeId, Duration>,
    agenda: BTreeMap<(Duration, u64), SimulatedEvent>,
    count: u64,
    incarnations: u32,
    every: Vec<(NodeId, NodeId, Vec<u8>)>,
    /// Sent messages by id: sender, the sender's incarnation, receiver and content.
    sent_messages: BTreeMap<u64, (NodeId, Incarnation, NodeId, Vec<u8>)>,
    /// The incarnation that each message was sent to, if one was confirmed.
    intended_incarnations: BTreeMap<u64, Incarnation>,
    /// When each message was delivered.
    pub delivered: BTreeMap<u64, Duration>,
    /// The incarnation that was last announced to a receiver, by receiver and peer.
    announced: BTreeMap<(NodeId, NodeId), Incarnation>,
    /// Datagrams received by the current process of each node.
    pub received: BTreeMap<NodeId, u64>,
    pub transmitted: Vec<(Duration, NodeId, NodeId, usize)>,
    /// Metrics of processes that have ended.
    pub ended: Vec<TransportMetrics>,
}

impl Network {
    pub fn new(members: u16, seed: u64, faults: NetworkFaults) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            faults,
            transports: (0..members).map(|_| None).collect(),
            cut: BTreeSet::new(),
            rng: Rand64::new(u128::from(seed)),
            wake: BTreeMap::new(),
            agenda: BTreeMap::new(),
            count: 0,
            incarnations: 0,
            every: Vec::new(),
            sent_messages: BTreeMap::new(),
            intended_incarnations: BTreeMap::new(),
            delivered: BTreeMap::new(),
            announced: BTreeMap::new(),
            received: BTreeMap::new(),
            transmitted: Vec::new(),
            ended: Vec::new(),
        };
        (0..members).for_each(|m| net.restart(m));
        net
    }

    /// Ends the process of this node, and starts another one.
    pub fn restart(&mut self, member: u16) {
        self.incarnations += 1;
        let members = self.transports.len() as u16;
        let fresh = transport(member, members, self.incarnations);
        self.ended.extend(
            self.transports[usize::from(member)].replace(fresh).map(|ended| ended.counts().clone()),
        );
        self.announced.retain(|(at, _), _| at.0 != member);
        self.wake.remove(&NodeId(member));
        self.received.remove(&NodeId(member));
    }

    /// Sends a unique message of this length, and returns its id.
    pub fn send(&mut self, from: u16, to: u16, length: usize, mode: DeliveryMode) -> u64 {
        let id = self.sent_messages.len() as u64 + 1;
        let mut message = id.to_le_bytes().to_vec();
        message.extend((8..length).map(|i| (id as usize * 31 + i * 7) as u8));
        let (from, to) = (NodeId(from), NodeId(to));
        let Some(transport) = &mut self.transports[usize::from(from.0)] else { return id };
        let incarnation = transport.own_incarnation();
        self.intended_incarnations
            .extend(transport.incarnation(to).map(|incarnation| (id, incarnation)));
        self.sent_messages.insert(id, (from, incarnation, to, message.clone()));
        self.dispatch(from, Event::Send { to, channel: Channel::Log, message, mode });
        id
    }

    pub fn dispatch(&mut self, at: NodeId, event: Event<'_>) {
        let Some(transport) = &mut self.transports[usize::from(at.0)] else { return };
        let mut actions = Vec::new();
        transport.handle(self.now, event, &mut actions);
        let mine = transport.own_incarnation();
        for action in actions {
            match action {
                Action::WakeAt(due) => {
                    let due = due.max(self.now);
                    self.wake.insert(at, due);
                    self.schedule(due, SimulatedEvent::Timer { at });
                }
                Action::Transmit { to, bytes } => self.transmit(at, to, bytes),
                Action::PeerRestarted { from, incarnation } => {
                    self.announced.insert((at, from), incarnation);
                }
                Action::Deliver { from, incarnation, channel, message } => {
                    let id = message.first_chunk::<8>().map(|id| u64::from_le_bytes(*id));
                    let id = id.expect("a message with an id");
                    assert_eq!(
                        self.sent_messages.get(&id),
                        Some(&(from, incarnation, at, message)),
                        "the delivered message is the one that was sent"
                    );
                    assert_eq!(
                        self.announced.get(&(at, from)),
                        Some(&incarnation),
                        "the message is from a previous incarnation"
                    );
                    assert_eq!(
                        *self.intended_incarnations.get(&id).unwrap_or(&mine),
                        mine,
                        "the message was sent to another incarnation"
                    );
                    assert_eq!(channel, Channel::Log);
                    assert_eq!(
                        self.delivered.insert(id, self.now),
                        None,
                        "message {id} was delivered twice"
                    );
                }
            }
        }
    }

    fn schedule(&mut self, at: Duration, event: SimulatedEvent) {
        self.count += 1;
        self.agenda.insert((at.max(self.now), self.count), event);
    }

    fn sample(&mut self, share: f64) -> bool {
        self.rng.rand_float() < share
    }

    fn transmit(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        assert!(bytes.len() <= hollowpaddle_peer_transport::MAX_DATAGRAM_BYTES);
        self.transmitted.push((self.now, from, to, bytes.len()));
        if self.faults.replays > 0.0 {
            self.every.push((from, to, bytes.clone()));
        }
        let mut arrivals = vec![(from, to, bytes.clone())];
        if self.cut.contains(&(from, to)) || self.sample(self.faults.loss) {
            arrivals.clear();
        } else if self.sample(self.faults.copies) {
            arrivals.push((from, to, bytes));
        }
        if self.sample(self.faults.replays) {
            let which = self.rng.rand_range(0..self.every.len() as u64) as usize;
            arrivals.push(self.every[which].clone());
        }
        for (from, to, mut bytes) in arrivals {
            if self.sample(self.faults.flips) {
                let bit = self.rng.rand_range(0..bytes.len() as u64 * 8) as usize;
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            let delay_us = self.rng.rand_range(0..self.faults.jitter_ms * 1_000 + 1);
            let at = self.now + ms(1) + Duration::from_micros(delay_us);
            self.schedule(at, SimulatedEvent::Arrival { from, to, bytes });
        }
    }

    /// Runs the simulation for this span of time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                SimulatedEvent::Arrival { from, to, bytes } => {
                    *self.received.entry(to).or_default() += 1;
                    self.dispatch(to, Event::Received { from, bytes: &bytes });
                }
                SimulatedEvent::Timer { at } => {
                    if self.wake.get(&at) == Some(&self.now) {
                        self.wake.remove(&at);
                        self.dispatch(at, Event::Due);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Returns all datagrams that were sent from one node to the other, if replays are enabled.
    pub fn every(&self, from: NodeId, to: NodeId) -> impl Iterator<Item = Vec<u8>> {
        self.every
            .iter()
            .filter(move |(f, t, _)| (*f, *t) == (from, to))
            .map(|(.., bytes)| bytes.clone())
    }

    pub fn counts(&self, member: u16) -> &TransportMetrics {
        self.transports[usize::from(member)].as_ref().expect("the node is running").counts()
    }

    /// Asserts that each datagram received by this node was counted once.
    pub fn assert_each_datagram_is_counted_once(&self, member: u16) {
        let counts = self.counts(member);
        let (r, d) = (&counts.received, &counts.dropped);
        let accepted = r.handshakes + r.message_datagrams + r.fragments + r.retransmission_requests;
        let dropped =
            d.unknown_source + d.too_long + d.unsupported_version + d.corrupted + d.unreadable;
        let dropped = dropped + d.unconfirmed + d.previous_incarnation + d.duplicate + d.too_old;
        let received = self.received.get(&NodeId(member)).copied().unwrap_or(0);
        assert_eq!(accepted + dropped, received, "{counts:#?}");
    }

    /// Returns the number of the node's own messages that have an outcome.
    pub fn finished_messages(&self, member: u16) -> u64 {
        let messages = &self.counts(member).messages;
        messages.sent
            + messages.no_such_peer
            + messages.too_long
            + messages.queue_full
            + messages.budget_timeout
            + messages.handshake_timeout
            + messages.previous_incarnation
            + messages.sequences_exhausted
    }
}
