//! A bank of balancers asks one discovery for the list, in virtual time: how late the news is, and how many calls that
//! takes. Discovery works through calls in turn, so many a second, and fails those that wait too long.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use hollowpaddle_policy::asking::{MARGIN, PAUSE, SILENCE, TOLD_AFTER};
use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;
use oorandom::Rand64;

const MS: i64 = 1000;
const SECOND: i64 = 1000 * MS;
/// Discovery fails a call that has waited so long for its turn.
const DISCOVERY_WAITS: i64 = 3 * SECOND;
const BEAT: i64 = 2 * SECOND;
/// In time is what the module has by then.
const IN_TIME: i64 = TOLD_AFTER.0 - MARGIN.0;

/// What becomes of calls and watches while discovery can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Down {
    /// Connections are refused; watches are reset.
    Refuses,
    /// Nothing comes back; watches are open and silent.
    Silent,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Due {
    Goes(bool),
    Timer(usize, u64),
    /// The caller gives this call up.
    GivenUp(usize, u64),
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

struct Bank {
    now: i64,
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
    up: bool,
    down: Down,
    queue: VecDeque<(usize, u64)>,
    busy: bool,
    /// Time for one call.
    turn: i64,
    /// Whether calls that were given up are worked through all the same.
    in_vain: bool,
}

impl Bank {
    fn new(n: usize, ask_every: i64, per_second: i64, down: Down, in_vain: bool) -> Self {
        let mut settings = Settings::basic(vec![Class::safe(Span(60 * SECOND), Span(90 * SECOND))]);
        (settings.must_ask, settings.rules.ask_every) = (true, Span(ask_every));
        let balancer =
            |i| Balancer::new(settings.clone(), i as u64, Time(0)).expect("sound settings");
        let mut bank = Self {
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
            up: true,
            down,
            queue: VecDeque::new(),
            busy: false,
            turn: SECOND / per_second,
            in_vain,
        };
        for i in 0..n {
            bank.tell(i, Event::Members { kind: ListKind::Restored, list: &[] });
        }
        bank
    }

    fn at(&mut self, at: i64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
    }

    fn tell(&mut self, i: usize, event: Event) {
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

    fn fails(&mut self, i: usize) {
        (self.call[i], self.watch[i]) = (None, false);
        self.tell(i, Event::Members { kind: ListKind::Unavailable, list: &[] });
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
        self.at(self.now + SILENCE.0, Due::GivenUp(i, call));
        match (self.up, self.down) {
            (true, _) => {
                self.queue.push_back((i, call));
                self.at(self.now + DISCOVERY_WAITS, Due::Expired(i, call));
                if !std::mem::replace(&mut self.busy, true) {
                    self.at(self.now + self.turn, Due::Turn);
                }
            }
            // It comes back once this event is over.
            (false, Down::Refuses) => self.at(self.now, Due::Expired(i, call)),
            (false, Down::Silent) => {}
        }
    }

    /// A watch says something every 2 s, each at a time of its own.
    fn hush(&mut self, i: usize) {
        let since = (self.rng.rand_float() * BEAT as f64) as i64;
        self.at(self.now - since + SILENCE.0, Due::FoundSilent(i));
    }

    fn on(&mut self, due: Due) {
        match due {
            Due::Timer(i, token) => self.tell(i, Event::Timer(token)),
            Due::GivenUp(i, call) | Due::Expired(i, call) => {
                let expired = matches!(due, Due::Expired(..));
                if expired || !self.in_vain {
                    self.queue.retain(|waits| *waits != (i, call));
                }
                if self.call[i] == Some(call) {
                    self.fails(i);
                }
            }
            Due::FoundSilent(i) if self.watch[i] => self.fails(i),
            Due::FoundSilent(_) => {}
            Due::Turn => {
                if let Some((i, call)) = self.queue.pop_front()
                    && self.call[i] == Some(call)
                {
                    (self.call[i], self.watch[i]) = (None, true);
                    self.told[i].push(self.now);
                    self.tell(i, Event::Members { kind: ListKind::Whole, list: &[] });
                }
                self.busy = !self.queue.is_empty();
                if self.busy {
                    self.at(self.now + self.turn, Due::Turn);
                }
            }
            Due::Goes(up) => {
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

    fn until(&mut self, at: i64) {
        while self.due.peek().is_some_and(|Reverse((t, ..))| *t <= at) {
            let Some(Reverse((t, _, due))) = self.due.pop() else { return };
            self.now = t;
            self.on(due);
        }
        self.now = at;
    }

    /// How late each balancer was told of what discovery had from then on: the first word after that counts.
    fn late(&self, from: i64) -> Vec<i64> {
        let late =
            |told: &Vec<i64>| told.iter().find(|t| **t >= from).map_or(i64::MAX, |t| t - from);
        let mut late: Vec<i64> = self.told.iter().map(late).collect();
        late.sort_unstable();
        late
    }

    /// Most calls in a second from then on.
    fn most_calls(&self, from: i64) -> u64 {
        self.calls.range(from / SECOND..).map(|(_, n)| *n).max().unwrap_or(0)
    }
}

fn shown(name: &str, bank: &Bank, from: i64) -> i64 {
    let late = bank.late(from);
    let at = |share: f64| late[((late.len() - 1) as f64 * share) as usize] / MS;
    let (p50, p90, most) = (at(0.5), at(0.9), at(1.0));
    println!(
        "{name}: p50 {p50} ms, p90 {p90} ms, max {most} ms; {} calls/s",
        bank.most_calls(from)
    );
    late[late.len() - 1]
}

const ASK_EVERY: [i64; 4] = [100 * MS, 2 * SECOND, 10 * SECOND, 600 * SECOND];

#[test]
fn the_parts_of_the_time_sum_under_it() {
    assert_eq!(SILENCE.0 + PAUSE.0 + SILENCE.0 + MARGIN.0, TOLD_AFTER.0);
    const { assert!(SILENCE.0 > BEAT && PAUSE.0 > 0, "a watch that beats is not silent") };
}

#[test]
fn one_balancer_is_told_in_time_however_long_its_settings_let_it_wait() {
    for ask_every in ASK_EVERY {
        for down in [Down::Refuses, Down::Silent] {
            let mut worst = (0, 0);
            // Discovery comes back at another point of its calls and waits each time.
            for of in 0..400 {
                let mut bank = Bank::new(1, ask_every, 100, down, true);
                bank.until(10 * SECOND + of * 7 * MS);
                bank.on(Due::Goes(false));
                bank.until(20 * SECOND + of * 61 * MS);
                bank.on(Due::Goes(true));
                let back = bank.now;
                bank.until(back + 10 * SECOND);
                worst = worst.max((bank.late(back)[0], of));
            }
            let late = worst.0 / MS;
            println!("one, asked every {} ms, {down:?}: {late} ms at worst", ask_every / MS);
            assert!(worst.0 <= IN_TIME, "{ask_every} {down:?}: {worst:?}");
        }
    }
}

#[test]
fn three_hundred_are_told_in_time_and_do_not_swamp_discovery() {
    for ask_every in ASK_EVERY {
        for (down, in_vain) in [(Down::Refuses, true), (Down::Silent, true), (Down::Silent, false)]
        {
            let mut bank = Bank::new(300, ask_every, 120, down, in_vain);
            bank.until(10 * SECOND);
            let name = format!("300, asked every {} ms", ask_every / MS);
            let mut worst = shown(&format!("{name}, all start"), &bank, 0);
            bank.on(Due::Goes(false));
            bank.until(18 * SECOND);
            bank.on(Due::Goes(true));
            bank.until(30 * SECOND);
            worst =
                worst.max(shown(&format!("{name}, back after 8 s, {down:?}"), &bank, 18 * SECOND));
            bank.on(Due::Hush);
            bank.until(40 * SECOND);
            worst = worst.max(shown(&format!("{name}, watches silent"), &bank, 30 * SECOND));
            bank.on(Due::Reset);
            bank.until(50 * SECOND);
            worst = worst.max(shown(&format!("{name}, watches reset"), &bank, 40 * SECOND));
            assert!(worst <= IN_TIME, "{name} {down:?}: {} ms", worst / MS);
        }
    }
}
