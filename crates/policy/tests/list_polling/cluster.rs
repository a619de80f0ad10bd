//! Balancers that poll one discovery service for the list, in virtual time. Discovery handles calls one after another at a
//! fixed rate. It rejects a call at once that would wait too long, and fails a call that has waited too long.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::list_polling::{CALL_TIMEOUT, SILENCE_TIMEOUT};
use hollowpaddle_policy::policy::Balancer;
use oorandom::Rand64;

pub const MS: i64 = 1000;
pub const SECOND: i64 = 1000 * MS;
/// Interval of the heartbeats of a watch, in microseconds.
pub const HEARTBEAT_INTERVAL: i64 = 2 * SECOND;

/// The capacity of discovery.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Calls per second.
    pub rate: i64,
    /// Longest wait of a call in microseconds. Discovery fails a call that has waited longer, and rejects a call at once
    /// that would wait longer.
    pub max_wait: i64,
    /// Whether discovery also serves calls that their callers have given up.
    pub serves_given_up: bool,
}

/// The behaviour of calls and watches while discovery is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Connections are refused, and watches are reset.
    Refuses,
    /// Calls get no reply, and watches are open and silent.
    Silent,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Due {
    Reachability(bool),
    Timer(usize, u64),
    /// The caller gives the call up.
    GivenUp(usize, u64),
    /// Discovery rejects the call.
    ListCallRejected(usize, u64),
    /// The call has waited too long at discovery.
    Expired(usize, u64),
    /// A balancer detects that its watch is silent.
    FoundSilent(usize),
    /// Discovery serves the next call.
    ServeCall,
    /// All watches fall silent, while discovery remains reachable.
    SilenceWatches,
    /// All watches end.
    Reset,
}

pub struct Cluster {
    pub now: i64,
    due: BinaryHeap<Reverse<(i64, u64, Due)>>,
    order: u64,
    rng: Rand64,
    balancers: Vec<Balancer>,
    /// The call in flight, by balancer.
    call: Vec<Option<u64>>,
    /// Whether the watch is open, by balancer.
    watch: Vec<bool>,
    /// Times at which the balancer received the list, by balancer.
    notified: Vec<Vec<i64>>,
    calls: BTreeMap<i64, u64>,
    last: u64,
    /// Number of calls that discovery rejected at once.
    pub rejected: u64,
    /// Number of calls that discovery served although they had been given up.
    pub wasted_calls: u64,
    up: bool,
    down: Down,
    queue: VecDeque<(usize, u64)>,
    busy: bool,
    capacity: Capacity,
}

impl Cluster {
    /// Creates `n` balancers that start now and poll at this interval.
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
            notified: vec![Vec::new(); n],
            calls: BTreeMap::new(),
            last: 0,
            rejected: 0,
            wasted_calls: 0,
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
                Action::Subscribe => self.poll(i),
                _ => {}
            }
        }
    }

    /// Fails the call or the watch of a balancer.
    fn fail(&mut self, i: usize) {
        (self.call[i], self.watch[i]) = (None, false);
        self.deliver(i, Event::Members { kind: ListKind::Unavailable, list: &[] });
    }

    fn poll(&mut self, i: usize) {
        assert!(!self.watch[i], "polls although its watch is open");
        if self.call[i].is_some() {
            return; // The gateway has at most one call in flight.
        }
        *self.calls.entry(self.now / SECOND).or_default() += 1;
        self.last += 1;
        let call = self.last;
        self.call[i] = Some(call);
        match (self.up, self.down) {
            (true, _) if self.is_full() => self.at(self.now, Due::ListCallRejected(i, call)),
            (true, _) => {
                self.queue.push_back((i, call));
                // A call that is served exactly at the limit is served.
                self.at(self.now + self.capacity.max_wait + 1, Due::Expired(i, call));
                self.at(self.now + CALL_TIMEOUT.0, Due::GivenUp(i, call));
                if !std::mem::replace(&mut self.busy, true) {
                    self.at(self.now + self.call_time(), Due::ServeCall);
                }
            }
            // The failure is delivered after this event.
            (false, Down::Refuses) => self.at(self.now, Due::Expired(i, call)),
            // No connection opens.
            (false, Down::Silent) => self.at(self.now + SILENCE_TIMEOUT.0, Due::GivenUp(i, call)),
        }
    }

    /// Returns the time that discovery takes for one call.
    fn call_time(&self) -> i64 {
        SECOND / self.capacity.rate
    }

    /// Returns whether one more call would wait too long.
    fn is_full(&self) -> bool {
        (self.queue.len() as i64 + 1) * self.call_time() > self.capacity.max_wait
    }

    /// Silences a watch. Its last heartbeat was at a random time within the heartbeat interval of 2 s.
    fn silence_watch(&mut self, i: usize) {
        let since = (self.rng.rand_float() * HEARTBEAT_INTERVAL as f64) as i64;
        self.at(self.now - since + SILENCE_TIMEOUT.0, Due::FoundSilent(i));
    }

    /// Handles one event.
    pub fn on(&mut self, due: Due) {
        match due {
            Due::Timer(i, token) => self.deliver(i, Event::Timer(token)),
            Due::GivenUp(i, call) | Due::Expired(i, call) => {
                let expired = matches!(due, Due::Expired(..));
                if expired || !self.capacity.serves_given_up {
                    self.queue.retain(|waits| *waits != (i, call));
                }
                if self.call[i] == Some(call) {
                    self.fail(i);
                }
            }
            Due::ListCallRejected(i, call) => {
                assert_eq!(
                    self.call[i].take(),
                    Some(call),
                    "the rejected call is the call in flight"
                );
                self.rejected += 1;
                self.deliver(i, Event::ListCallRejected);
            }
            Due::FoundSilent(i) if self.watch[i] => self.fail(i),
            Due::FoundSilent(_) => {}
            Due::ServeCall => {
                match self.queue.pop_front() {
                    Some((i, call)) if self.call[i] == Some(call) => {
                        (self.call[i], self.watch[i]) = (None, true);
                        self.notified[i].push(self.now);
                        self.deliver(i, Event::Members { kind: ListKind::Complete, list: &[] });
                    }
                    Some(_) => self.wasted_calls += 1,
                    None => {}
                }
                self.busy = !self.queue.is_empty();
                if self.busy {
                    self.at(self.now + self.call_time(), Due::ServeCall);
                }
            }
            Due::Reachability(up) => {
                self.up = up;
                if !up {
                    let waiting = std::mem::take(&mut self.queue);
                    for i in 0..self.balancers.len() {
                        match self.down {
                            Down::Refuses if self.watch[i] => self.fail(i),
                            Down::Silent if self.watch[i] => self.silence_watch(i),
                            _ => {}
                        }
                    }
                    if self.down == Down::Refuses {
                        waiting.into_iter().for_each(|(i, _)| self.fail(i));
                    }
                }
            }
            Due::SilenceWatches => (0..self.balancers.len())
                .filter(|i| self.watch[*i])
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|i| self.silence_watch(i)),
            Due::Reset => (0..self.balancers.len())
                .filter(|i| self.watch[*i])
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|i| self.fail(i)),
        }
    }

    /// Handles all events that are due up to a time.
    pub fn until(&mut self, at: i64) {
        while self.due.peek().is_some_and(|Reverse((t, ..))| *t <= at) {
            let Some(Reverse((t, _, due))) = self.due.pop() else { return };
            self.now = t;
            self.on(due);
        }
        self.now = at;
    }

    /// Returns, in ascending order, the delay of each balancer's first list since `from`.
    pub fn late(&self, from: i64) -> Vec<i64> {
        let late = |notified: &Vec<i64>| {
            notified.iter().find(|t| **t >= from).map_or(i64::MAX, |t| t - from)
        };
        let mut late: Vec<i64> = self.notified.iter().map(late).collect();
        late.sort_unstable();
        late
    }

    /// Returns the most calls within a second since `from`.
    pub fn most_calls(&self, from: i64) -> u64 {
        self.calls.range(from / SECOND..).map(|(_, n)| *n).max().unwrap_or(0)
    }
}
