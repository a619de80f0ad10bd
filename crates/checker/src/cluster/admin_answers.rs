//! What doors said, as evidence: contents of revisions, who was known to act on what and when, and who was struck. What it
//! proves is reckoned elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_scenario::plan::Machine;
use hollowpaddle_scenario::record::{At, Observation};
use hollowpaddle_scenario::scenario::{FaultKind, OperatorVerb, Scenario};
use serde_json::Value;

use crate::Case;

/// A revision: its log, and its number there. Logs are counted as doors first told of them: a bank that has forgotten
/// everything may give one that it founds a smaller name than the one before had. 0 is that of whoever knows none.
pub(super) type Number = (u32, u64);

/// What a revision forbids, as a door told it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Content {
    upstreams: BTreeSet<String>,
    pods: BTreeSet<u32>,
    flavours: BTreeSet<String>,
    sites: BTreeSet<String>,
    kept: BTreeMap<String, BTreeSet<u32>>,
}

impl Content {
    fn of(document: &Value) -> Self {
        let texts = |v: &Value| -> BTreeSet<String> {
            let all = v.as_array().into_iter().flatten();
            all.filter_map(|t| t.as_str().map(str::to_string)).collect()
        };
        let numbers = |v: &Value| -> BTreeSet<u32> {
            let all = v.as_array().into_iter().flatten().filter_map(Value::as_u64);
            all.filter_map(|n| u32::try_from(n).ok()).collect()
        };
        let out = &document["out"];
        let kept = document["kept"].as_object().into_iter().flatten();
        Self {
            upstreams: texts(&out["upstreams"]),
            pods: numbers(&out["pods"]),
            flavours: texts(&out["flavours"]),
            sites: texts(&out["sites"]),
            kept: kept.map(|(class, pods)| (class.clone(), numbers(pods))).collect(),
        }
    }

    /// Whether it forbids a class of requests a machine.
    pub(super) fn forbids(&self, scenario: &Scenario, machine: &Machine, class: usize) -> bool {
        let kept = self.kept.get(&scenario.classes[class].name);
        self.pods.contains(&machine.cell)
            || self.upstreams.contains(&machine.id)
            || self.flavours.contains(&scenario.fleet.kinds[machine.kind].name)
            || self.sites.contains(&scenario.fleet.zones[machine.zone])
            || kept.is_some_and(|pods| pods.contains(&machine.cell))
    }
}

/// One door's word: its balancer holds a lease, and is at this.
#[derive(Clone, Debug)]
pub(super) struct Word {
    /// When it was asked for, and when it came.
    pub(super) asked: At,
    pub(super) told: At,
    pub(super) balancer: usize,
    pub(super) at: usize,
    pub(super) start: u32,
    pub(super) revision: Number,
    pub(super) newest: Number,
    pub(super) held: bool,
}

/// What one can be at: a revision, the step towards another, and the charter over both.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rules {
    pub(super) revision: Number,
    pub(super) towards: Option<Number>,
    charters: Vec<(BTreeSet<u32>, BTreeSet<String>)>,
}

impl Rules {
    /// Whether the charter allows a machine, whatever a revision says.
    pub(super) fn is_chartered(&self, machine: &Machine) -> bool {
        self.charters
            .iter()
            .any(|(pods, except)| pods.contains(&machine.cell) && !except.contains(&machine.id))
    }
}

/// All that doors said, and who was struck when.
#[derive(Default)]
pub(super) struct AdminAnswers {
    pub(super) contents: BTreeMap<Number, Content>,
    /// Numbers of which two contents were told.
    pub(super) twofold: BTreeSet<Number>,
    pub(super) words: Vec<Word>,
    pub(super) rules: Vec<Rules>,
    /// The first yes for each revision.
    pub(super) granted: BTreeMap<Number, At>,
    /// Where a yes said that it is in force everywhere.
    pub(super) everywhere: BTreeMap<Number, (At, usize)>,
    /// When a revision was first asked for at the earliest: the call that got its number.
    pub(super) asked_for: BTreeMap<Number, At>,
    /// When a door first knew a number, or a later one.
    known: BTreeMap<Number, At>,
    /// By balancer: while it was down, frozen or cut off.
    pub(super) outages: Vec<Vec<(At, At)>>,
    /// By balancer: from when on operators said that it is dead, until they said that it is not.
    pub(super) dead: Vec<Vec<(At, At)>>,
    /// By process, a balancer's start: from when to when it ran.
    runs: BTreeMap<(usize, u32), (At, At)>,
    pub(super) end: At,
}

/// Longer than a founding asks for copies before a door first tells of it.
const GATHERING: u64 = 3_000_000;

const EVER: At = At(u64::MAX);

impl AdminAnswers {
    /// All of a day.
    pub(super) fn of(case: &Case) -> Self {
        let count = case.scenario.bank.count;
        let mut all = Self {
            outages: vec![Vec::new(); count],
            dead: vec![Vec::new(); count],
            end: case.trace.last().map_or(At(0), |l| l.at),
            ..Self::default()
        };
        let frozen = all.strikes(case);
        let mut index: BTreeMap<Rules, usize> = BTreeMap::new();
        let mut charters: BTreeSet<(BTreeSet<u32>, BTreeSet<String>)> = BTreeSet::new();
        let mut said: BTreeMap<u32, At> = BTreeMap::new();
        let mut logs: BTreeMap<u32, u32> = BTreeMap::from([(0, 0)]);
        let mut answered: Vec<(At, usize, u64, Option<At>, bool)> = Vec::new();
        for line in case.trace {
            match &line.seen {
                Observation::Said { call, verb, member, balancer: _, .. } => {
                    said.entry(*call).or_insert(line.at);
                    if let Some(member) =
                        member.filter(|m| *m < count && *verb == OperatorVerb::Dead)
                    {
                        all.dead[member].push((line.at, EVER));
                    }
                }
                Observation::Heard {
                    call,
                    balancer,
                    verb,
                    status: Some(200),
                    number,
                    everywhere,
                    ..
                } => {
                    if let Some(number) = number.filter(|_| verb.revises()) {
                        let asked = said.get(call).copied();
                        answered.push((line.at, *balancer, number, asked, *everywhere));
                    }
                }
                Observation::Revision { epoch, number, document, .. } => {
                    let next = logs.len() as u32;
                    let log = *logs.entry(*epoch).or_insert(next);
                    let (content, number) = (Content::of(document), (log, *number));
                    all.known.entry(number).or_insert(line.at);
                    match all.contents.get(&number) {
                        Some(known) if *known != content => drop(all.twofold.insert(number)),
                        Some(_) => {}
                        None => drop(all.contents.insert(number, content)),
                    }
                }
                Observation::Stands {
                    balancer,
                    start,
                    asked,
                    revision,
                    towards,
                    newest,
                    held,
                    charter,
                    except,
                    awaited,
                    epoch,
                    ..
                } => {
                    let next = logs.len() as u32;
                    let log = *logs.entry(*epoch).or_insert(next);
                    let (revision, newest) = ((log, *revision), (log, *newest));
                    let towards = towards.map(|n| (log, n));
                    all.known.entry(newest).or_insert(line.at);
                    let melted = frozen[*balancer]
                        .iter()
                        .any(|(from, to)| *from <= line.at && *asked <= *to);
                    if melted {
                        continue;
                    }
                    let one = (charter.iter().copied().collect(), except.iter().cloned().collect());
                    charters.insert(one.clone());
                    // While another one is on its way whatever either allows is allowed.
                    let charters =
                        if *awaited { charters.iter().cloned().collect() } else { vec![one] };
                    let rules = Rules { revision, towards, charters };
                    let next = index.len();
                    let at = *index.entry(rules.clone()).or_insert(next);
                    if at == next {
                        all.rules.push(rules);
                    }
                    let (asked, told, balancer, held) = (*asked, line.at, *balancer, *held);
                    let start = *start;
                    all.words.push(Word {
                        asked,
                        told,
                        balancer,
                        start,
                        at,
                        revision,
                        newest,
                        held,
                    });
                }
                _ => {}
            }
        }
        for (at, door, number, asked, everywhere) in answered {
            let number = (all.log_of(at, door, number), number);
            all.granted.entry(number).or_insert(at);
            if let Some(asked) = asked {
                let first = all.asked_for.entry(number).or_insert(asked);
                *first = (*first).min(asked);
            }
            if everywhere {
                all.everywhere.entry(number).or_insert((at, door));
            }
        }
        all
    }

    /// The log that a door means which names a number at a time: that of its next word that knows it, or of its last.
    fn log_of(&self, at: At, door: usize, number: u64) -> u32 {
        let next =
            self.words.iter().find(|w| w.balancer == door && w.asked >= at && w.newest.1 >= number);
        let last = || self.words.iter().rev().find(|w| w.balancer == door && w.told <= at);
        next.or_else(last).map_or(0, |w| w.newest.0)
    }

    /// When a revision was first known at any door, itself or a later one.
    pub(super) fn known(&self, number: Number) -> Option<At> {
        self.known.range(number..).map(|(_, at)| *at).min()
    }

    /// Whether at each founding of another log somebody who had known the revision could be asked: it had run for a
    /// while, was not frozen, and cut off from nobody. What nobody can tell is gone.
    pub(super) fn could_be_asked(&self, number: Number) -> bool {
        let mut knows: BTreeMap<(usize, u32), At> = BTreeMap::new();
        for word in self.words.iter().filter(|w| w.newest >= number && w.newest.0 == number.0) {
            knows.entry((word.balancer, word.start)).or_insert(word.told);
        }
        let mut founded: BTreeMap<u32, At> = BTreeMap::new();
        for word in self.words.iter().filter(|w| w.newest.0 > number.0) {
            founded.entry(word.newest.0).or_insert(word.told);
        }
        founded.values().all(|at| {
            let from = At(at.0.saturating_sub(GATHERING));
            knows.iter().any(|(process, since)| {
                let runs = self.runs.get(process).is_some_and(|(_, end)| end > at);
                let struck = |(begins, ends): &(At, At)| begins <= at && from <= *ends;
                runs && *since < from && !self.outages[process.0].iter().any(struck)
            })
        })
    }

    /// Notes who was down, frozen or cut off; the times of frozen ones.
    fn strikes(&mut self, case: &Case) -> Vec<Vec<(At, At)>> {
        let count = case.scenario.bank.count;
        let mut frozen: Vec<Vec<(At, At)>> = vec![Vec::new(); count];
        let mut cut: Vec<Vec<(At, At)>> = vec![Vec::new(); count];
        let mut down: Vec<Option<At>> = vec![Some(At(0)); count];
        let close = |all: &mut Vec<(At, At)>, at: At| {
            if let Some(open) = all.iter_mut().rev().find(|(_, to)| *to == EVER) {
                open.1 = at;
            }
        };
        for line in case.trace {
            match &line.seen {
                Observation::Paused { balancer, .. } => frozen[*balancer].push((line.at, EVER)),
                Observation::Resumed { balancer, .. } => close(&mut frozen[*balancer], line.at),
                Observation::CutOff { balancer, begins: true } => {
                    cut[*balancer].push((line.at, EVER))
                }
                Observation::CutOff { balancer, begins: false } => {
                    close(&mut cut[*balancer], line.at)
                }
                Observation::Started { balancer, start } => {
                    self.runs.insert((*balancer, *start), (line.at, EVER));
                }
                Observation::Killed { balancer, start }
                | Observation::Stopping { balancer, start }
                | Observation::Exited { balancer, start, .. } => {
                    close(&mut frozen[*balancer], line.at);
                    down[*balancer].get_or_insert(line.at);
                    if let Some(run) = self.runs.get_mut(&(*balancer, *start)) {
                        run.1 = run.1.min(line.at);
                    }
                }
                Observation::Ready { balancer, .. } => {
                    if let Some(from) = down[*balancer].take() {
                        self.outages[*balancer].push((from, line.at));
                    }
                }
                Observation::Fault { fault, begins } => {
                    if !matches!(case.scenario.faults[*fault].kind, FaultKind::LinksCut { .. }) {
                        continue;
                    }
                    let acts = case.plan.acts.iter().filter(|a| a.fault == *fault);
                    let Some(act) = acts.into_iter().find(|a| a.begins == *begins) else {
                        continue;
                    };
                    for balancer in &act.balancers {
                        match begins {
                            true => cut[*balancer].push((line.at, EVER)),
                            false => close(&mut cut[*balancer], line.at),
                        }
                    }
                }
                Observation::Heard {
                    call, verb: OperatorVerb::Alive, status: Some(200), ..
                } => {
                    let of = case.trace.iter().find_map(|l| match &l.seen {
                        Observation::Said { call: c, member, .. } if c == call => *member,
                        _ => None,
                    });
                    if let Some(member) = of.filter(|m| *m < count) {
                        close(&mut self.dead[member], line.at);
                    }
                }
                _ => {}
            }
        }
        for balancer in 0..count {
            if let Some(from) = down[balancer] {
                self.outages[balancer].push((from, EVER));
            }
            self.outages[balancer].extend(frozen[balancer].iter().chain(&cut[balancer]).copied());
        }
        frozen
    }

    /// The newest revision that any door knew in the last word that it gave.
    pub(super) fn newest_at_end(&self) -> Option<Number> {
        let mut last: BTreeMap<usize, Number> = BTreeMap::new();
        for word in &self.words {
            last.insert(word.balancer, word.newest);
        }
        last.into_values().max()
    }

    /// How many logs there were: each that is founded anew is one more.
    pub(super) fn logs(&self) -> usize {
        let all: BTreeSet<u32> =
            self.words.iter().map(|w| w.newest.0).filter(|log| *log > 0).collect();
        all.len()
    }
}
