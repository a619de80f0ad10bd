//! The machine of one balancer: its state, and which part of it hears what. The parts are [`crate::routing_client`]
//! (requests), [`crate::ownership`] (records and moves) and [`crate::reconfiguration`] (changes of the table).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::message::{Message, read, write};
use crate::ownership::{OutgoingTransfer, OwnershipClaim};
use crate::ownership_table::{LostOwners, OwnershipTable};
use crate::reconfiguration::FetchRecords;
use crate::record_store::{KeyEntry, Ownership, RecordStore, UNKNOWN_CELL, tick};
use crate::routing_client::{Copied, Pending, Placed};
use crate::{
    Action, Cell, Config, Epoch, Event, IdempotencyKey, OwnerSlot, PERMIT_DURATION, SessionId,
    WeightedCell, cell_for,
};

/// A right to send, in ms.
pub(crate) const PERMIT_MS: u64 = PERMIT_DURATION.as_millis() as u64;
/// Words about moves are said again after so long, in ms.
pub(crate) const AGAIN: u64 = 6;
/// Keys that this balancer itself sent or is witness of, at most (80 bytes each): 1,200 keyed requests a
/// second. Beyond, they are refused here: what is forgotten here and at a lost home might run twice.
pub(crate) const MINE: usize = 16_384;

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    RouteRequest(u32),
    Find(SessionId),
    Leave(SessionId),
    FetchRecords(NodeId),
}

/// What has happened so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionMetrics {
    /// Requests that were placed by a record.
    pub by_record: u64,
    /// Safe and unsafe ones that were placed by the hash.
    pub by_hash: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Records that came from another site.
    pub arrived: u64,
    /// Records that went to another site.
    pub left: u64,
    /// Records that were forgotten to make room.
    pub evicted: u64,
    /// Words that could not be read.
    pub bad: u64,
    /// Words from a life that has no seat, or under another table.
    pub astray: u64,
    /// Moves that had no room under way, and were dropped for newer ones.
    pub dropped_claims: u64,
}

/// Where actions go, and words to oneself.
pub(crate) struct Out<'a> {
    pub actions: &'a mut Vec<Action>,
    pub own: VecDeque<Message>,
}

/// The machine of one balancer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sessions {
    pub(crate) config: Config,
    /// Nothing older matters, in ms.
    pub(crate) age: u64,
    pub(crate) slot: Option<OwnerSlot>,
    pub(crate) until: u64,
    pub(crate) table: OwnershipTable,
    pub(crate) losses: LostOwners,
    /// This process's first table is not gathered yet.
    pub(crate) fresh: Option<u64>,
    pub(crate) cells: Vec<WeightedCell>,
    revision: u64,
    pub(crate) store: RecordStore,
    pub(crate) findings: BTreeMap<SessionId, OwnershipClaim>,
    pub(crate) waiting: VecDeque<SessionId>,
    pub(crate) leaving: BTreeMap<SessionId, OutgoingTransfer>,
    pub(crate) permits: BTreeMap<(SessionId, NodeId), u64>,
    pub(crate) copies: BTreeMap<SessionId, Copied>,
    pub(crate) copies_end: BTreeSet<(u64, SessionId)>,
    pub(crate) pending: BTreeMap<u32, Pending>,
    pub(crate) asking: BTreeSet<(SessionId, u32)>,
    pub(crate) placed: BTreeMap<u64, Placed>,
    pub(crate) placing: BTreeSet<(SessionId, u64)>,
    pub(crate) mine: BTreeMap<(SessionId, IdempotencyKey), KeyEntry>,
    pub(crate) mine_end: BTreeSet<(u32, SessionId, IdempotencyKey)>,
    /// Keys that went out from here, under which van and where.
    pub(crate) spoken: BTreeMap<IdempotencyKey, (SessionId, Cell, u32)>,
    pub(crate) spoken_end: BTreeSet<(u32, IdempotencyKey)>,
    pub(crate) outbox: BTreeMap<NodeId, Vec<SessionId>>,
    pub(crate) pulls: BTreeMap<NodeId, FetchRecords>,
    timers: BTreeSet<(u64, Timer)>,
    /// The same by timer: each is set once.
    set: BTreeMap<Timer, u64>,
    wake: Option<u64>,
    number: u32,
    pub(crate) counts: SessionMetrics,
}

impl Sessions {
    /// One that knows nothing yet.
    pub fn new(config: Config) -> Self {
        let age = millis(config.retention());
        let store = RecordStore::new(config.records, config.keys);
        Self {
            config,
            age,
            slot: None,
            until: 0,
            table: OwnershipTable::default(),
            losses: LostOwners::default(),
            fresh: None,
            cells: Vec::new(),
            revision: 0,
            store,
            findings: BTreeMap::new(),
            waiting: VecDeque::new(),
            leaving: BTreeMap::new(),
            permits: BTreeMap::new(),
            copies: BTreeMap::new(),
            copies_end: BTreeSet::new(),
            pending: BTreeMap::new(),
            asking: BTreeSet::new(),
            placed: BTreeMap::new(),
            placing: BTreeSet::new(),
            mine: BTreeMap::new(),
            mine_end: BTreeSet::new(),
            spoken: BTreeMap::new(),
            spoken_end: BTreeSet::new(),
            outbox: BTreeMap::new(),
            pulls: BTreeMap::new(),
            timers: BTreeSet::new(),
            set: BTreeMap::new(),
            wake: None,
            number: 0,
            counts: SessionMetrics::default(),
        }
    }

    /// Tells the machine what happened `now`, in time since the process's start, and takes what is to be
    /// done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let now = moment(now);
        let mut out = Out { actions, own: VecDeque::new() };
        match event {
            Event::Request { id, session, idempotency, first, deadline } => {
                self.request(now, id, session, idempotency, first, moment(deadline), &mut out);
            }
            Event::Sent { id } => self.sent(now, id, &mut out),
            Event::Finished { id, status } => self.ended(now, id, status, &mut out),
            Event::Message { from, incarnation, message } => match read(&message) {
                Err(_) => self.counts.bad += 1,
                Ok((version, message)) => {
                    let seated =
                        self.table.slot(from).is_some_and(|s| s.incarnation == incarnation);
                    if seated && version == self.table.version && from != self.config.node_id {
                        self.message(now, from, message, &mut out);
                    } else {
                        self.counts.astray += 1;
                    }
                }
            },
            Event::TableChanged { version, until, slots } if version > self.table.version => {
                self.turn(now, OwnershipTable::new(version, &slots), moment(until), &mut out);
            }
            Event::ZoneLeaseEnded { zone, version } if version > self.table.version => {
                let until = self.until;
                self.turn(now, self.table.without(zone, version), until, &mut out);
            }
            Event::TableChanged { version, until, .. } | Event::SlotExtended { version, until } => {
                if version == self.table.version && self.slot.is_some() {
                    self.until = self.until.max(moment(until));
                }
            }
            Event::ZoneLeaseEnded { .. } => {}
            Event::CellsChanged { revision, mut cells } => {
                if revision >= self.revision {
                    self.revision = revision;
                    cells.retain(|w| w.weight > 0 && w.cell != UNKNOWN_CELL);
                    self.cells = cells;
                }
            }
            // A timer that fires a little early is set anew.
            Event::Due => self.wake = None,
        }
        while let Some(message) = out.own.pop_front() {
            self.message(now, self.config.node_id, message, &mut out);
        }
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            self.set.remove(&timer);
            match timer {
                Timer::RouteRequest(n) => self.ask_again(now, n, &mut out),
                Timer::Find(session) => self.find_again(now, session, &mut out),
                Timer::Leave(session) => self.leave_again(now, session, &mut out),
                Timer::FetchRecords(from) => self.pull_again(now, from, &mut out),
            }
            while let Some(message) = out.own.pop_front() {
                self.message(now, self.config.node_id, message, &mut out);
            }
        }
        self.store.sweep(now);
        self.sweep(now);
        let next = self.timers.first().map(|(at, _)| *at);
        if let Some(at) = next.filter(|_| next != self.wake) {
            out.actions.push(Action::WakeAt(outside(at)));
        }
        self.wake = next;
    }

    fn message(&mut self, now: u64, from: NodeId, message: Message, out: &mut Out) {
        if !self.seated(now) {
            return;
        }
        match message {
            Message::RouteRequest { n, session, key, first } => {
                self.on_ask(now, from, n, session, key, first, out)
            }
            Message::RouteResponse { n, outcome } => self.on_answer(now, from, n, outcome, out),
            Message::AttemptNotRun { n, session, key } => self.store.unran(session, key, from, n),
            Message::Replicate { n, session, note } => {
                self.on_keep(now, from, n, session, note, out)
            }
            Message::ReplicateAck { n } => self.on_kept(now, n, out),
            Message::Revoke { session, epoch } => self.on_withdraw(now, from, session, epoch, out),
            Message::RevokeAck { session, epoch } => {
                self.on_withdrawn(now, from, session, epoch, out)
            }
            Message::ClaimRequest { ask, session, floor, arrived } => {
                self.on_want(now, from, ask, session, (floor, arrived), out);
            }
            Message::NoRecord { ask, floor, session_record } => {
                self.on_nothing(now, from, ask, floor, &session_record, out);
            }
            Message::Transfer { ask, session_record } => {
                self.on_hand(now, from, ask, &session_record, out)
            }
            Message::TransferAck { session, epoch, taken } => {
                self.on_got(now, from, session, epoch, taken)
            }
            Message::FetchRecords { stamp, at } => self.on_pull(now, from, stamp, at, out),
            Message::RecordChunk { stamp, at, session_records, worst_in } => {
                self.on_chunk(now, from, stamp, at, &session_records, worst_in, out);
            }
        }
    }

    /// The pod of a van that can be said at once, by a record or copy that holds `now`: what most requests
    /// need.
    pub fn known(&self, now: Duration, session: SessionId) -> Option<Cell> {
        self.at_hand(moment(now), session).map(|(cell, ..)| cell)
    }

    /// Whether this balancer claims to own a van's record `now`, and under which epoch.
    pub fn owned(&self, now: Duration, session: SessionId) -> Option<Epoch> {
        let record = self.store.get(session)?;
        let owns = record.state == Ownership::Owned && !self.leaving.contains_key(&session);
        (owns && self.seated(moment(now))).then_some(record.epoch)
    }

    /// What has happened so far.
    pub fn counts(&self) -> SessionMetrics {
        SessionMetrics { evicted: self.store.evicted, ..self.counts.clone() }
    }

    /// How many records there are.
    pub fn records(&self) -> usize {
        self.store.len()
    }

    /// How many keys are remembered inside their windows, as the home and as a sender or witness.
    pub fn keys(&self) -> (usize, usize) {
        (self.store.keys_len(), self.mine.len())
    }

    /// How many moves are under way to and from here, and how many wait.
    pub fn moves(&self) -> (usize, usize, usize) {
        (self.findings.len(), self.leaving.len(), self.waiting.len())
    }

    /// Whether the own seat holds. Ticks that have saturated can't say when a window ends.
    pub(crate) fn seated(&self, now: u64) -> bool {
        self.slot.is_some() && now < self.until && tick(now.saturating_add(self.age)) < u32::MAX
    }

    pub(crate) fn zone(&self) -> Option<crate::Zone> {
        self.slot.map(|s| s.zone)
    }

    /// Whether this balancer is the van's home in its own site.
    pub(crate) fn is_home(&self, session: SessionId) -> bool {
        self.own_home(session) == Some(self.config.node_id)
    }

    pub(crate) fn own_home(&self, session: SessionId) -> Option<NodeId> {
        self.table.home(session, self.zone()?)
    }

    pub(crate) fn usable(&self, cell: Cell) -> bool {
        self.cells.iter().any(|w| w.cell == cell)
    }

    pub(crate) fn hash(&self, session: SessionId) -> Option<Cell> {
        cell_for(session, &self.cells)
    }

    pub(crate) fn number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1).max(1);
        self.number
    }

    pub(crate) fn at(&mut self, at: u64, timer: Timer) {
        if let Some(before) = self.set.insert(timer, at) {
            self.timers.remove(&(before, timer));
        }
        self.timers.insert((at, timer));
    }

    pub(crate) fn send(&self, to: NodeId, message: Message, out: &mut Out) {
        if to == self.config.node_id {
            out.own.push_back(message);
        } else {
            out.actions.push(Action::Send { to, message: write(self.table.version, &message) });
        }
    }
}

/// A span, in ms.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Inside, times begin so much before the process, in ms: what others tell of may have been before its start,
/// and a time that is not known is 0, longer ago than any window.
const BEFORE: u64 = 1 << 20;

/// A moment, in ms since before the process's start.
pub(crate) fn moment(time: Duration) -> u64 {
    millis(time).saturating_add(BEFORE)
}

/// A moment as the shell counts it.
pub(crate) fn outside(moment: u64) -> Duration {
    Duration::from_millis(moment.saturating_sub(BEFORE))
}
