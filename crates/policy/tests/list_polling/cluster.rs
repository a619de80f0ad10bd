//! Balancers that ask one discovery for the list, in virtual time. Discovery works through calls in turn, so many a
//! second, turns away at once whoever would wait too long, and fails calls that have.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::list_polling::{CALL_TIMEOUT, SILENCE_TIMEOUT};
use hollowpaddle_policy::policy::Balancer;
use oorandom::Rand64;

pub const MS: i64 = 1000;
pub const SECOND: i64 = 1000 * MS;
/// A watch says something so often.
pub const BEAT: i64 = 2 * SECOND;

/// What discovery can do.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Calls a second.
    pub rate: i64,
    /// It fails a call that has waited so long for its turn, and turns away at once who would.
    pub waits: i64,
    /// Whether calls that were given up are worked through all the same.
    pub serves_given_up: bool,
}

/// What becomes of calls and watches while discovery can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Connections are refused; watches are reset.
    Refuses,
    /// Nothing comes back; watches are open and silent.
    Silent,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Due {
    Reachability(bool),
    Timer(usize, u64),
    /// The caller gives this call up.
    GivenUp(usize, u64),
    /// Discovery takes no more.
    ListCallRejected(usize, u64),
    /// It has waited too long at discovery.
    Expired(usize, u64),
    /// A watch is found silent.
    FoundSilent(usize),
    Turn,
    /// All watches fall silent, with discovery as it was.
    Hush,
    /// All watches end.
    Reset,
}

pub struct Cluster {
    pub now: i64,
    due: BinaryHeap<Reverse<(i64, u64, Due)>>,
    order: u64,
    rng: Rand64,
    balancers: Vec<Balancer>,
    /// The call that is out, by balancer.
    call: Vec<Option<u64>>,
    /// Whether it has a watch, by balancer.
    watch: Vec<bool>,
    /// When it was told, by balancer.
    told: Vec<Vec<i64>>,
    calls: BTreeMap<i64, u64>,
    last: u64,
    /// Calls that discovery turned away at once, and turns that it spent on calls that had been given up.
    pub turned_away: u64,
    pub turns_in_vain: u64,
    up: bool,
    down: Down,
    queue: VecDeque<(usize, u64)>,
    busy: bool,
    capacity: Capacity,
}

impl Cluster {
    /// So many balancers that start now, and ask by these settings.
    pub fn new(n: usize, list_poll_interval: i64, capacity: Capacity, down: Down) -> Self {
        let mut settings = Settings::basic(vec![Class::safe(
            SignedDuration(60 * SECOND),
            SignedDuration(90 * SECOND),
        )]);
        (settings.polls_list, settings.rules.list_poll_interval) =
            (true, SignedDuration(list_poll_interval));
        settings.balancers = n as u32;
        let balancer =
            |i| Balancer::new(settings.clone(), i as u64, Time(0)).expect("sound settings");
        let mut cluster = Self {
            now: 0,
            due: BinaryHeap::new(),
            order: 0,
            rng: Rand64::new(7),
            balancers: (0..n).map(balancer).collect(),
            call: vec![None; n],
            watch: vec![false; n],
            told: vec![Vec::new(); n],
            calls: BTreeMap::new(),
            last: 0,
            turned_away: 0,
            turns_in_vain: 0,
            up: true,
            down,
            queue: VecDeque::new(),
            busy: false,
            capacity,
        };
        for i in 0..n {
            cluster.deliver(i, Event::Members { kind: ListKind::Restored, list: &[] });
        }
        cluster
    }

    fn at(&mut self, at: i64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn deliver(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[i].handle(Time(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Arm { token, at } => self.at(at.0, Due::Timer(i, token)),
                Action::Subscribe => self.asks(i),
                _ => {}
            }
        }
    }

    /// The call or the watch of this balancer fails.
    fn fails(&mut self, i: usize) {
        (self.call[i], self.watch[i]) = (None, false);
        self.deliver(i, Event::Members { kind: ListKind::Unavailable, list: &[] });
    }

    fn asks(&mut self, i: usize) {
        assert!(!self.watch[i], "it has a watch");
        if self.call[i].is_some() {
            return; // The shell has one call out at most.
        }
        *self.calls.entry(self.now / SECOND).or_default() += 1;
        self.last += 1;
        let call = self.last;
        self.call[i] = Some(call);
        match (self.up, self.down) {
            (true, _) if self.is_full() => self.at(self.now, Due::ListCallRejected(i, call)),
            (true, _) => {
                self.queue.push_back((i, call));
                // Who is served with the last of that time is served.
                self.at(self.now + self.capacity.waits + 1, Due::Expired(i, call));
                self.at(self.now + CALL_TIMEOUT.0, Due::GivenUp(i, call));
                if !std::mem::replace(&mut self.busy, true) {
                    self.at(self.now + self.turn(), Due::Turn);
                }
            }
            // It comes back once this event is over.
            (false, Down::Refuses) => self.at(self.now, Due::Expired(i, call)),
            // No connection comes up.
            (false, Down::Silent) => self.at(self.now + SILENCE_TIMEOUT.0, Due::GivenUp(i, call)),
        }
    }

    /// Time for one call.
    fn turn(&self) -> i64 {
        SECOND / self.capacity.rate
    }

    /// Whether one more call would wait too long.
    fn is_full(&self) -> bool {
        (self.queue.len() as i64 + 1) * self.turn() > self.capacity.waits
    }

    /// A watch says something every 2 s, each at a time of its own.
    fn hush(&mut self, i: usize) {
        let since = (self.rng.rand_float() * BEAT as f64) as i64;
        self.at(self.now - since + SILENCE_TIMEOUT.0, Due::FoundSilent(i));
    }

    /// Plays one event.
    pub fn on(&mut self, due: Due) {
        match due {
            Due::Timer(i, token) => self.deliver(i, Event::Timer(token)),
            Due::GivenUp(i, call) | Due::Expired(i, call) => {
                let expired = matches!(due, Due::Expired(..));
                if expired || !self.capacity.serves_given_up {
                    self.queue.retain(|waits| *waits != (i, call));
                }
                if self.call[i] == Some(call) {
                    self.fails(i);
                }
            }
            Due::ListCallRejected(i, call) => {
                assert_eq!(self.call[i].take(), Some(call), "it waits for the answer");
                self.turned_away += 1;
                self.deliver(i, Event::ListCallRejected);
            }
            Due::FoundSilent(i) if self.watch[i] => self.fails(i),
            Due::FoundSilent(_) => {}
            Due::Turn => {
                match self.queue.pop_front() {
                    Some((i, call)) if self.call[i] == Some(call) => {
                        (self.call[i], self.watch[i]) = (None, true);
                        self.told[i].push(self.now);
                        self.deliver(i, Event::Members { kind: ListKind::Complete, list: &[] });
                    }
                    Some(_) => self.turns_in_vain += 1,
                    None => {}
                }
                self.busy = !self.queue.is_empty();
                if self.busy {
                    self.at(self.now + self.turn(), Due::Turn);
                }
            }
            Due::Reachability(up) => {
                self.up = up;
                if !up {
                    let waiting = std::mem::take(&mut self.queue);
                    for i in 0..self.balancers.len() {
                        match self.down {
                            Down::Refuses if self.watch[i] => self.fails(i),
                            Down::Silent if self.watch[i] => self.hush(i),
                            _ => {}
                        }
                    }
                    if self.down == Down::Refuses {
                        waiting.into_iter().for_each(|(i, _)| self.fails(i));
                    }
                }
            }
            Due::Hush => (0..self.balancers.len())
                .filter(|i| self.watch[*i])
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|i| self.hush(i)),
            Due::Reset => (0..self.balancers.len())
                .filter(|i| self.watch[*i])
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|i| self.fails(i)),
        }
    }

    /// Plays all that is due up to this time.
    pub fn until(&mut self, at: i64) {
        while self.due.peek().is_some_and(|Reverse((t, ..))| *t <= at) {
            let Some(Reverse((t, _, due))) = self.due.pop() else { return };
            self.now = t;
            self.on(due);
        }
        self.now = at;
    }

    /// How late each balancer was told of what discovery had from then on: the first word after that counts.
    pub fn late(&self, from: i64) -> Vec<i64> {
        let late =
            |told: &Vec<i64>| told.iter().find(|t| **t >= from).map_or(i64::MAX, |t| t - from);
        let mut late: Vec<i64> = self.told.iter().map(late).collect();
        late.sort_unstable();
        late
    }

    /// Most calls in a second from then on.
    pub fn most_calls(&self, from: i64) -> u64 {
        self.calls.range(from / SECOND..).map(|(_, n)| *n).max().unwrap_or(0)
    }
}
