//! One drawn day of a small bank: clients at all doors while balancers die, forget, stand still and are cut off; then all is
//! healed, and the account must be whole.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::history::Origin;

use crate::history::{Op, Ret, Span, is_linearizable};
use crate::world::{Plan, World, facts, ms, propose, rollback};

/// What one day came to.
#[derive(Clone, Debug, Default)]
pub struct Day {
    /// What must never be, as found.
    pub faults: Vec<String>,
    /// Operations with an answer; those without, that stand in no book, are dropped.
    pub operations: usize,
    /// Those of them that won, and lost.
    pub won: usize,
    /// Answers that another one was first.
    pub lost: usize,
    /// Times that a process ended, stood still, a link was cut.
    pub ends: usize,
    /// The longest contradiction.
    pub longest: Duration,
    /// Looks that found two at different stages under leases.
    pub apart: u64,
    /// Foundings of the log beyond the first.
    pub foundings: usize,
    /// Events after which a machine had no timer.
    pub without_timer: u64,
    /// From healing until a new revision was in force everywhere.
    pub whole_after: Duration,
}

struct Client {
    thread: u32,
    doing: Option<Doing>,
    next: Duration,
}

#[derive(Clone)]
struct Doing {
    id: CommandId,
    base: Option<u64>,
    entry: Entry,
    from: Duration,
    tickets: Vec<u64>,
    tried: Duration,
}

/// Everything that a day draws on, of one number.
pub fn plan(seed: u64) -> Plan {
    let size = [5, 5, 6, 7][seed as usize % 4];
    let voters = if seed.is_multiple_of(12) { vec![0, 2, 4] } else { (0..5).collect() };
    Plan {
        voters,
        directory: seed / 4 % 3 == 2,
        loss: [0.0, 0.1, 0.3][seed as usize / 12 % 3],
        late: (seed / 3).is_multiple_of(2),
        ..Plan::whole(seed, size)
    }
}

struct Play {
    world: World,
    clients: Vec<Client>,
    threads: u32,
    ids: u128,
    spans: Vec<Span>,
    open: Vec<(u32, Doing)>,
    day: Day,
    charters: bool,
}

/// Plays one day.
pub fn play(seed: u64) -> Day {
    let mut world = World::new(plan(seed));
    if seed % 2 == 1 {
        world.crash_between = 3000;
    }
    let clients = (0..3).map(|n| Client { thread: n, doing: None, next: ms(1800) }).collect();
    let mut play = Play {
        world,
        clients,
        threads: 3,
        ids: 0,
        spans: Vec::new(),
        open: Vec::new(),
        day: Day::default(),
        charters: seed.is_multiple_of(3),
    };
    play.world.run(ms(1800));
    let until = play.world.now + ms(9000);
    while play.world.now < until {
        play.fault();
        let time = ms(100 + play.world.below(500));
        play.clients_for(time);
    }
    play.end();
    play.day
}

impl Play {
    fn any(&mut self) -> u16 {
        let size = u64::from(self.world.plan.size);
        self.world.below(size) as u16
    }

    fn fault(&mut self) {
        let at = self.any();
        let other = self.any();
        match self.world.below(14) {
            0..=2 => self.end_one(at),
            // Who leads is worth more than any.
            3 | 4 => {
                if let Some(leader) = self.world.leader() {
                    self.end_one(leader);
                }
            }
            5 => {
                let time = ms(100 + self.world.below(3500));
                self.world.pause(at, time);
                self.day.ends += 1;
            }
            6 => {
                if let Some(leader) = self.world.leader() {
                    let time = ms(300 + self.world.below(2700));
                    self.world.pause(leader, time);
                    self.day.ends += 1;
                }
            }
            7 => {
                self.world.cuts.insert((at, other));
            }
            8 => self.world.isolate(at),
            9 => {
                // It hears nobody, and everybody hears it.
                for from in 0..self.world.plan.size {
                    self.world.cuts.insert((from, at));
                }
            }
            10 => {
                // A ring: each hears its neighbours only.
                let size = self.world.plan.size;
                let near = |a: u16, b: u16| (a + 1) % size == b || (b + 1) % size == a;
                let all = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
                self.world.cuts.extend(all.filter(|(a, b)| a != b && !near(*a, *b)));
            }
            _ => self.world.cuts.clear(),
        }
    }

    fn end_one(&mut self, at: u16) {
        let runs = self.world.nodes[usize::from(at)].machine.is_some();
        if runs && (self.world.plan.directory || self.world.may_end(at)) {
            self.world.crash(at);
            let after = ms(self.world.below(1500));
            self.world.start_after(at, after);
            self.day.ends += 1;
        }
    }

    fn clients_for(&mut self, time: Duration) {
        let until = self.world.now + time;
        while self.world.now < until {
            let step = ms(10 + self.world.below(50));
            self.world.run(step);
            for at in 0..self.clients.len() {
                self.client(at);
            }
        }
    }

    fn client(&mut self, at: usize) {
        let now = self.world.now;
        let thread = self.clients[at].thread;
        if let Some(doing) = self.clients[at].doing.take() {
            if let Some(span) = self.answered(thread, &doing) {
                self.spans.push(span);
                self.clients[at].next = now + ms(self.world.below(900));
            } else if now >= doing.from + ms(5000) {
                // It gives up, and is a new client from here on.
                self.open.push((thread, doing));
                self.threads += 1;
                self.clients[at].thread = self.threads;
                self.clients[at].next = now;
            } else {
                let again = now >= doing.tried + ms(900);
                self.clients[at].doing = Some(if again { self.again(doing) } else { doing });
            }
        } else if now >= self.clients[at].next {
            self.begin(at, thread);
        }
    }

    /// The first answer to any try.
    fn answered(&mut self, thread: u32, doing: &Doing) -> Option<Span> {
        let answers = doing.tickets.iter().filter_map(|t| self.world.answers.get(t));
        let known: Vec<(Duration, Ret)> =
            answers.filter_map(|(time, answer)| Some((*time, Ret::of(answer)?))).collect();
        let (to, ret) = known.iter().min_by_key(|(time, _)| *time)?.clone();
        if known.iter().any(|(_, other)| *other != ret) {
            let now = self.world.now;
            self.world.judge.fault(now, format!("one question, two answers: {known:?}"));
        }
        let op = Op::Change { id: doing.id.0, base: doing.base };
        Some(Span { thread, from: doing.from, to, op, ret })
    }

    /// The same question at another door.
    fn again(&mut self, mut doing: Doing) -> Doing {
        let door = self.any();
        doing.tickets.push(self.world.propose(door, Some(doing.id), doing.entry.clone()));
        doing.tried = self.world.now;
        doing
    }

    fn begin(&mut self, at: usize, thread: u32) {
        let door = self.any();
        let now = self.world.now;
        if !self.world.answers_at(door) {
            return;
        }
        if self.world.below(5) == 0 && self.ids > 0 {
            let id = 1 + u128::from(self.world.below(self.ids as u64));
            if let Some(ret) = self.world.ask(door, CommandId(id)).as_ref().and_then(Ret::of) {
                self.spans.push(Span { thread, from: now, to: now, op: Op::Asked { id }, ret });
            }
            self.clients[at].next = now + ms(50);
            return;
        }
        if self.charters && self.world.below(8) == 0 {
            self.fallback_policy(door);
        }
        self.ids += 1;
        let id = CommandId(self.ids);
        let Some(machine) = &self.world.nodes[usize::from(door)].machine else { return };
        let newest = machine.policy().newest();
        let numbers: Vec<u64> = machine.policy().revisions().map(|(n, _)| n).collect();
        let base = if self.world.below(4) == 0 { None } else { Some(newest) };
        let entry = if self.world.below(3) == 0 {
            let to = numbers[self.world.below(numbers.len() as u64) as usize];
            rollback(id, base, to)
        } else {
            let document = self.document();
            propose(id, base, document)
        };
        let tickets = vec![self.world.propose(door, Some(id), entry.clone())];
        self.clients[at].doing = Some(Doing { id, base, entry, from: now, tickets, tried: now });
    }

    fn document(&mut self) -> Document {
        let mut document = Document::default();
        let bits = self.world.below(16);
        let cells = [2, 3, 5, 6].into_iter().enumerate();
        document.out.cells = cells.filter(|(n, _)| bits & 1 << n != 0).map(|(_, p)| p).collect();
        if self.world.below(2) == 0 {
            let cell = 2 + self.world.below(2) as u32;
            document.class_exclusions.insert("a".into(), [cell].into());
        }
        document.attempts = 1 + self.world.below(3) as u8;
        document
    }

    /// The charter changes to another and back, beside all else: it is no operation of the register.
    fn fallback_policy(&mut self, door: u16) {
        let cells: Vec<u32> = if self.world.below(2) == 0 { vec![1] } else { vec![1, 4] };
        let fallback_policy = FallbackPolicy {
            cells: cells.into_iter().collect(),
            attempts: 1,
            ..FallbackPolicy::default()
        };
        let id = CommandId(1 << 100 | u128::from(self.world.below(u64::MAX)));
        self.world.propose(
            door,
            Some(id),
            Entry::FallbackPolicy(id, fallback_policy, Box::new(facts())),
        );
    }

    /// Heals the bank, asks what became of all that was not answered, and looks whether everything is whole.
    fn end(&mut self) {
        self.world.heal();
        // Whatever still goes on at a door is over by then.
        self.clients_for(ms(100));
        for client in &mut self.clients {
            if let Some(doing) = client.doing.take() {
                self.open.push((client.thread, doing));
            }
        }
        let healed = self.world.now;
        self.whole(healed);
        self.world.run(ms(11_000));
        let end = self.world.now;
        for (thread, doing) in std::mem::take(&mut self.open) {
            let answer = self.answered(thread, &doing);
            let asked = (0..self.world.plan.size)
                .filter_map(|door| Ret::of(&self.world.ask(door, doing.id)?))
                .next();
            let op = Op::Change { id: doing.id.0, base: doing.base };
            let late = asked.map(|ret| Span { thread, from: doing.from, to: end, op, ret });
            self.spans.extend(answer.or(late));
        }
        self.account(end);
        let spans = &self.spans;
        if !is_linearizable(spans) {
            self.world.judge.fault(end, format!("no register could have answered so: {spans:?}"));
        }
        let day = &mut self.day;
        day.operations = spans.len();
        day.won = spans.iter().filter(|s| matches!(s.ret, Ret::Yes(_))).count();
        day.lost = spans.iter().filter(|s| matches!(s.ret, Ret::Lost(_))).count();
        (day.longest, day.apart) = (self.world.judge.longest, self.world.judge.apart);
        day.without_timer = self.world.without_timer;
        day.foundings = self.world.judge.epochs().saturating_sub(1);
        day.faults = std::mem::take(&mut self.world.judge.faults);
    }

    /// A new revision is agreed and in force everywhere within 20 s.
    fn whole(&mut self, healed: Duration) {
        let mut document = Document::default();
        document.out.cells.insert(6);
        let id = CommandId(u128::MAX);
        let entry = propose(id, None, document);
        let mut tickets = Vec::new();
        let from = self.world.now;
        let (to, number) = loop {
            let now = self.world.now;
            if now > healed + ms(15_000) {
                self.world.judge.fault(now, "nobody answers 15 s after all was healed".into());
                return;
            }
            let door = self.any();
            tickets.push(self.world.propose(door, Some(id), entry.clone()));
            self.world.run(ms(500));
            let answers = tickets.iter().filter_map(|t| self.world.answers.get(t));
            let known = answers.filter_map(|(at, a)| Some((*at, Ret::of(a)?)));
            if let Some((at, Ret::Yes(number))) = known.min_by_key(|(at, _)| *at) {
                break (at, number);
            }
        };
        let op = Op::Change { id: id.0, base: None };
        self.threads += 1;
        self.spans.push(Span { thread: self.threads, from, to, op, ret: Ret::Yes(number) });
        let in_force = |world: &World| {
            world.nodes.iter().all(|n| {
                n.machine.as_ref().is_some_and(|m| {
                    let status = m.policy().status();
                    let leased = n.published.as_ref().is_some_and(|p| n.clock(world.now) < p.until);
                    status.revision >= number && leased
                })
            })
        };
        let wait = ms(20_000);
        if self.world.run_while(wait, |w| !in_force(w)).is_none() {
            let now = self.world.now;
            let at: Vec<_> = self.world.nodes.iter().filter_map(|n| n.machine.as_ref()).collect();
            let at: Vec<String> = at
                .iter()
                .map(|m| {
                    let s = m.policy().status();
                    format!(
                        "{:?}: revision {}, towards {:?}, at {}, unconfirmed {}, {:?} leads",
                        m.node_id(),
                        s.revision,
                        s.target_revision,
                        m.learner().at(),
                        s.unconfirmed,
                        m.leader()
                    )
                })
                .collect();
            let what = format!("revision {number} is not in force everywhere in 20 s: {at:?}");
            self.world.judge.fault(now, what);
        }
        self.day.whole_after = self.world.now - healed;
    }

    /// Every yes stands in every book, and all books are one.
    fn account(&mut self, end: Duration) {
        let mut yes = BTreeMap::new();
        for span in &self.spans {
            if let (Op::Change { id, .. }, Ret::Yes(number)) = (&span.op, &span.ret) {
                yes.insert(*number, *id);
            }
        }
        let mut faults = Vec::new();
        let mut first = None;
        for node in &self.world.nodes {
            let Some(machine) = &node.machine else { continue };
            let policy = machine.policy();
            for (number, id) in &yes {
                let kept = policy.kept(*number).map(|k| k.origin).ok();
                let same = match kept {
                    Some(Origin::Proposed(of) | Origin::Rollback(of, _)) => of == CommandId(*id),
                    _ => false,
                };
                if !same {
                    let NodeId(at) = machine.node_id();
                    faults.push(format!(
                        "{at} has {kept:?} at {number}, where a yes was said to {id}"
                    ));
                }
            }
            match &first {
                None => first = Some((machine.learner().at(), policy.clone())),
                Some((at, other)) => {
                    if machine.learner().at() == *at && policy != other {
                        faults.push(format!("{:?} has another book at {at}", machine.node_id()));
                    }
                }
            }
        }
        for fault in faults {
            self.world.judge.fault(end, fault);
        }
    }
}
