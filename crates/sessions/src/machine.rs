//! The machine of one balancer: its state, and which part of it hears what. The parts are [`crate::asker`]
//! (requests), [`crate::home`] (records and moves) and [`crate::turn`] (changes of the table).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::asker::{Copied, Pending, Placed};
use crate::home::{Finding, Leaving};
use crate::message::{Message, read, write};
use crate::store::{NO_POD, Note, State, Store, tick};
use crate::table::{Losses, Table};
use crate::turn::Pull;
use crate::{Action, Config, Epoch, Event, Key, PERMIT, Pod, Seat, Sid, Weighed, pod_of};

/// A right to send, in ms.
pub(crate) const PERMIT_MS: u64 = PERMIT.as_millis() as u64;
/// Words about moves are said again after so long, in ms.
pub(crate) const AGAIN: u64 = 6;
/// Keys that this balancer itself sent or is witness of, at most (80 bytes each): 1,200 keyed requests a
/// second. Beyond, they are refused here: what is forgotten here and at a lost home might run twice.
pub(crate) const MINE: usize = 16_384;

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    Ask(u32),
    Find(Sid),
    Leave(Sid),
    Pull(NodeId),
}

/// What has happened so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counts {
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
    pub forgotten: u64,
    /// Words that could not be read.
    pub bad: u64,
    /// Words from a life that has no seat, or under another table.
    pub astray: u64,
    /// Moves that had no room under way, and were dropped for newer ones.
    pub crowded_out: u64,
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
    pub(crate) seat: Option<Seat>,
    pub(crate) until: u64,
    pub(crate) table: Table,
    pub(crate) losses: Losses,
    /// This process's first table is not gathered yet.
    pub(crate) fresh: Option<u64>,
    pub(crate) pods: Vec<Weighed>,
    revision: u64,
    pub(crate) store: Store,
    pub(crate) findings: BTreeMap<Sid, Finding>,
    pub(crate) waiting: VecDeque<Sid>,
    pub(crate) leaving: BTreeMap<Sid, Leaving>,
    pub(crate) lent: BTreeMap<(Sid, NodeId), u64>,
    pub(crate) copies: BTreeMap<Sid, Copied>,
    pub(crate) copies_end: BTreeSet<(u64, Sid)>,
    pub(crate) pending: BTreeMap<u32, Pending>,
    pub(crate) asking: BTreeSet<(Sid, u32)>,
    pub(crate) placed: BTreeMap<u64, Placed>,
    pub(crate) placing: BTreeSet<(Sid, u64)>,
    pub(crate) mine: BTreeMap<(Sid, Key), Note>,
    pub(crate) mine_end: BTreeSet<(u32, Sid, Key)>,
    /// Keys that went out from here, under which van and where.
    pub(crate) spoken: BTreeMap<Key, (Sid, Pod, u32)>,
    pub(crate) spoken_end: BTreeSet<(u32, Key)>,
    pub(crate) outbox: BTreeMap<NodeId, Vec<Sid>>,
    pub(crate) pulls: BTreeMap<NodeId, Pull>,
    timers: BTreeSet<(u64, Timer)>,
    /// The same by timer: each is set once.
    set: BTreeMap<Timer, u64>,
    wake: Option<u64>,
    number: u32,
    pub(crate) counts: Counts,
}

impl Sessions {
    /// One that knows nothing yet.
    pub fn new(config: Config) -> Self {
        let age = millis(config.forgotten_after());
        let store = Store::new(config.records, config.keys);
        Self {
            config,
            age,
            seat: None,
            until: 0,
            table: Table::default(),
            losses: Losses::default(),
            fresh: None,
            pods: Vec::new(),
            revision: 0,
            store,
            findings: BTreeMap::new(),
            waiting: VecDeque::new(),
            leaving: BTreeMap::new(),
            lent: BTreeMap::new(),
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
            counts: Counts::default(),
        }
    }

    /// Tells the machine what happened `now`, in time since the process's start, and takes what is to be
    /// done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let now = moment(now);
        let mut out = Out { actions, own: VecDeque::new() };
        match event {
            Event::Request { id, sid, effect, first, deadline } => {
                self.request(now, id, sid, effect, first, moment(deadline), &mut out);
            }
            Event::Sent { id } => self.sent(now, id, &mut out),
            Event::Ended { id, ran } => self.ended(now, id, ran, &mut out),
            Event::Message { from, incarnation, message } => match read(&message) {
                Err(_) => self.counts.bad += 1,
                Ok((version, message)) => {
                    let seated =
                        self.table.seat(from).is_some_and(|s| s.incarnation == incarnation);
                    if seated && version == self.table.version && from != self.config.node_id {
                        self.message(now, from, message, &mut out);
                    } else {
                        self.counts.astray += 1;
                    }
                }
            },
            Event::Awake { version, until, seats } if version > self.table.version => {
                self.turn(now, Table::new(version, &seats), moment(until), &mut out);
            }
            Event::SiteLeaseEnded { site, version } if version > self.table.version => {
                let until = self.until;
                self.turn(now, self.table.without(site, version), until, &mut out);
            }
            Event::Awake { version, until, .. } | Event::Seated { version, until } => {
                if version == self.table.version && self.seat.is_some() {
                    self.until = self.until.max(moment(until));
                }
            }
            Event::SiteLeaseEnded { .. } => {}
            Event::Pods { revision, mut pods } => {
                if revision >= self.revision {
                    self.revision = revision;
                    pods.retain(|w| w.weight > 0 && w.pod != NO_POD);
                    self.pods = pods;
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
                Timer::Ask(n) => self.ask_again(now, n, &mut out),
                Timer::Find(sid) => self.find_again(now, sid, &mut out),
                Timer::Leave(sid) => self.leave_again(now, sid, &mut out),
                Timer::Pull(from) => self.pull_again(now, from, &mut out),
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
            Message::Ask { n, sid, key, first } => self.on_ask(now, from, n, sid, key, first, out),
            Message::Answer { n, said } => self.on_answer(now, from, n, said, out),
            Message::Unran { n, sid, key } => self.store.unran(sid, key, from, n),
            Message::Keep { n, sid, note } => self.on_keep(now, from, n, sid, note, out),
            Message::Kept { n } => self.on_kept(now, n, out),
            Message::Withdraw { sid, epoch } => self.on_withdraw(now, from, sid, epoch, out),
            Message::Withdrawn { sid, epoch } => self.on_withdrawn(now, from, sid, epoch, out),
            Message::Want { ask, sid, floor, arrived } => {
                self.on_want(now, from, ask, sid, (floor, arrived), out);
            }
            Message::Nothing { ask, floor, estate } => {
                self.on_nothing(now, from, ask, floor, &estate, out);
            }
            Message::Hand { ask, estate } => self.on_hand(now, from, ask, &estate, out),
            Message::Got { sid, epoch, taken } => self.on_got(now, from, sid, epoch, taken),
            Message::Pull { stamp, at } => self.on_pull(now, from, stamp, at, out),
            Message::Chunk { stamp, at, estates, worst_in } => {
                self.on_chunk(now, from, stamp, at, &estates, worst_in, out);
            }
        }
    }

    /// The pod of a van that can be said at once, by a record or copy that holds `now`: what most requests
    /// need.
    pub fn known(&self, now: Duration, sid: Sid) -> Option<Pod> {
        self.at_hand(moment(now), sid).map(|(pod, ..)| pod)
    }

    /// Whether this balancer claims to own a van's record `now`, and under which epoch.
    pub fn owned(&self, now: Duration, sid: Sid) -> Option<Epoch> {
        let record = self.store.get(sid)?;
        let owns = record.state == State::Owned && !self.leaving.contains_key(&sid);
        (owns && self.seated(moment(now))).then_some(record.epoch)
    }

    /// What has happened so far.
    pub fn counts(&self) -> Counts {
        Counts { forgotten: self.store.forgotten, ..self.counts.clone() }
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
        self.seat.is_some() && now < self.until && tick(now.saturating_add(self.age)) < u32::MAX
    }

    pub(crate) fn site(&self) -> Option<crate::Site> {
        self.seat.map(|s| s.site)
    }

    /// Whether this balancer is the van's home in its own site.
    pub(crate) fn is_home(&self, sid: Sid) -> bool {
        self.own_home(sid) == Some(self.config.node_id)
    }

    pub(crate) fn own_home(&self, sid: Sid) -> Option<NodeId> {
        self.table.home(sid, self.site()?)
    }

    pub(crate) fn usable(&self, pod: Pod) -> bool {
        self.pods.iter().any(|w| w.pod == pod)
    }

    pub(crate) fn hash(&self, sid: Sid) -> Option<Pod> {
        pod_of(sid, &self.pods)
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
