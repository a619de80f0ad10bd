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
pub(super) type RevisionId = (u32, u64);

/// What a revision forbids, as a door told it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Content {
    upstreams: BTreeSet<String>,
    cells: BTreeSet<u32>,
    machine_types: BTreeSet<String>,
    zones: BTreeSet<String>,
    excluded_cells: BTreeMap<String, BTreeSet<u32>>,
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
        let excluded_cells = document["kept"].as_object().into_iter().flatten();
        Self {
            upstreams: texts(&out["upstreams"]),
            cells: numbers(&out["pods"]),
            machine_types: texts(&out["flavours"]),
            zones: texts(&out["sites"]),
            excluded_cells: excluded_cells
                .map(|(class, cells)| (class.clone(), numbers(cells)))
                .collect(),
        }
    }

    /// Whether it forbids a class of requests a machine.
    pub(super) fn forbids(&self, scenario: &Scenario, machine: &Machine, class: usize) -> bool {
        let excluded_cells = self.excluded_cells.get(&scenario.classes[class].name);
        self.cells.contains(&machine.cell)
            || self.upstreams.contains(&machine.id)
            || self.machine_types.contains(&scenario.fleet.machine_types[machine.machine_type].name)
            || self.zones.contains(&scenario.fleet.zones[machine.zone])
            || excluded_cells.is_some_and(|cells| cells.contains(&machine.cell))
    }
}

/// One door's word: its balancer holds a lease, and is at this.
#[derive(Clone, Debug)]
pub(super) struct StatusAnswer {
    /// When it was asked for, and when it came.
    pub(super) asked: At,
    pub(super) received: At,
    pub(super) balancer: usize,
    pub(super) policy_state: usize,
    pub(super) start: u32,
    pub(super) revision: RevisionId,
    pub(super) newest: RevisionId,
    pub(super) has_lease: bool,
}

/// What one can be at: a revision, the step towards another, and the charter over both.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PolicyState {
    pub(super) revision: RevisionId,
    pub(super) target: Option<RevisionId>,
    fallback_policies: Vec<(BTreeSet<u32>, BTreeSet<String>)>,
}

impl PolicyState {
    /// Whether the charter allows a machine, whatever a revision says.
    pub(super) fn is_allowed_by_fallback(&self, machine: &Machine) -> bool {
        self.fallback_policies
            .iter()
            .any(|(cells, except)| cells.contains(&machine.cell) && !except.contains(&machine.id))
    }
}

/// All that doors said, and who was struck when.
#[derive(Default)]
pub(super) struct AdminAnswers {
    pub(super) contents: BTreeMap<RevisionId, Content>,
    /// Numbers of which two contents were told.
    pub(super) conflicting: BTreeSet<RevisionId>,
    pub(super) statuses: Vec<StatusAnswer>,
    pub(super) policy_states: Vec<PolicyState>,
    /// The first yes for each revision.
    pub(super) committed: BTreeMap<RevisionId, At>,
    /// Where a yes said that it is in force everywhere.
    pub(super) in_force_everywhere: BTreeMap<RevisionId, (At, usize)>,
    /// When a revision was first asked for at the earliest: the call that got its number.
    pub(super) requested_at: BTreeMap<RevisionId, At>,
    /// When a door first knew a number, or a later one.
    known: BTreeMap<RevisionId, At>,
    /// By balancer: while it was down, frozen or cut off.
    pub(super) outages: Vec<Vec<(At, At)>>,
    /// By balancer: from when on operators said that it is dead, until they said that it is not.
    pub(super) dead: Vec<Vec<(At, At)>>,
    /// By process, a balancer's start: from when to when it ran.
    runs: BTreeMap<(usize, u32), (At, At)>,
    pub(super) end: At,
}

/// Longer than a founding asks for copies before a door first tells of it.
const GATHERING_US: u64 = 3_000_000;

const EVER: At = At(u64::MAX);

impl AdminAnswers {
    /// All of a day.
    pub(super) fn of(case: &Case) -> Self {
        let count = case.scenario.cluster.count;
        let mut all = Self {
            outages: vec![Vec::new(); count],
            dead: vec![Vec::new(); count],
            end: case.trace.last().map_or(At(0), |l| l.at),
            ..Self::default()
        };
        let frozen = all.record_outages(case);
        let mut index: BTreeMap<PolicyState, usize> = BTreeMap::new();
        let mut fallback_policies: BTreeSet<(BTreeSet<u32>, BTreeSet<String>)> = BTreeSet::new();
        let mut call_times: BTreeMap<u32, At> = BTreeMap::new();
        let mut logs: BTreeMap<u32, u32> = BTreeMap::from([(0, 0)]);
        let mut answered: Vec<(At, usize, u64, Option<At>, bool)> = Vec::new();
        for line in case.trace {
            match &line.seen {
                Observation::OperatorCall { call, verb, member, balancer: _, .. } => {
                    call_times.entry(*call).or_insert(line.at);
                    if let Some(member) =
                        member.filter(|m| *m < count && *verb == OperatorVerb::Dead)
                    {
                        all.dead[member].push((line.at, EVER));
                    }
                }
                Observation::OperatorAnswer {
                    call,
                    balancer,
                    verb,
                    status: Some(200),
                    number,
                    in_force_everywhere,
                    ..
                } => {
                    if let Some(number) = number.filter(|_| verb.revises()) {
                        let asked = call_times.get(call).copied();
                        answered.push((line.at, *balancer, number, asked, *in_force_everywhere));
                    }
                }
                Observation::Revision { epoch, number, document, .. } => {
                    let next = logs.len() as u32;
                    let log = *logs.entry(*epoch).or_insert(next);
                    let (content, number) = (Content::of(document), (log, *number));
                    all.known.entry(number).or_insert(line.at);
                    match all.contents.get(&number) {
                        Some(known) if *known != content => drop(all.conflicting.insert(number)),
                        Some(_) => {}
                        None => drop(all.contents.insert(number, content)),
                    }
                }
                Observation::BalancerStatus {
                    balancer,
                    start,
                    asked,
                    revision,
                    target,
                    newest,
                    has_lease,
                    fallback_cells,
                    fallback_exceptions,
                    fallback_pending,
                    epoch,
                    ..
                } => {
                    let next = logs.len() as u32;
                    let log = *logs.entry(*epoch).or_insert(next);
                    let (revision, newest) = ((log, *revision), (log, *newest));
                    let target = target.map(|n| (log, n));
                    all.known.entry(newest).or_insert(line.at);
                    let taken_while_frozen = frozen[*balancer]
                        .iter()
                        .any(|(from, to)| *from <= line.at && *asked <= *to);
                    if taken_while_frozen {
                        continue;
                    }
                    let policy = (
                        fallback_cells.iter().copied().collect(),
                        fallback_exceptions.iter().cloned().collect(),
                    );
                    fallback_policies.insert(policy.clone());
                    // While another one is on its way whatever either allows is allowed.
                    let fallback_policies = if *fallback_pending {
                        fallback_policies.iter().cloned().collect()
                    } else {
                        vec![policy]
                    };
                    let state = PolicyState { revision, target, fallback_policies };
                    let next = index.len();
                    let policy_state = *index.entry(state.clone()).or_insert(next);
                    if policy_state == next {
                        all.policy_states.push(state);
                    }
                    let (asked, received, balancer, has_lease) =
                        (*asked, line.at, *balancer, *has_lease);
                    let start = *start;
                    all.statuses.push(StatusAnswer {
                        asked,
                        received,
                        balancer,
                        start,
                        policy_state,
                        revision,
                        newest,
                        has_lease,
                    });
                }
                _ => {}
            }
        }
        for (at, balancer, number, asked, in_force_everywhere) in answered {
            let number = (all.log_of(at, balancer, number), number);
            all.committed.entry(number).or_insert(at);
            if let Some(asked) = asked {
                let first = all.requested_at.entry(number).or_insert(asked);
                *first = (*first).min(asked);
            }
            if in_force_everywhere {
                all.in_force_everywhere.entry(number).or_insert((at, balancer));
            }
        }
        all
    }

    /// The log that a door means which names a number at a time: that of its next word that knows it, or of its last.
    fn log_of(&self, at: At, balancer: usize, number: u64) -> u32 {
        let next = self
            .statuses
            .iter()
            .find(|w| w.balancer == balancer && w.asked >= at && w.newest.1 >= number);
        let last =
            || self.statuses.iter().rev().find(|w| w.balancer == balancer && w.received <= at);
        next.or_else(last).map_or(0, |w| w.newest.0)
    }

    /// When a revision was first known at any door, itself or a later one.
    pub(super) fn known(&self, number: RevisionId) -> Option<At> {
        self.known.range(number..).map(|(_, at)| *at).min()
    }

    /// Whether at each founding of another log somebody who had known the revision could be asked: it had run for a
    /// while, was not frozen, and cut off from nobody. What nobody can tell is gone.
    pub(super) fn was_recoverable(&self, number: RevisionId) -> bool {
        let mut processes: BTreeMap<(usize, u32), At> = BTreeMap::new();
        for status in self.statuses.iter().filter(|w| w.newest >= number && w.newest.0 == number.0)
        {
            processes.entry((status.balancer, status.start)).or_insert(status.received);
        }
        let mut founded: BTreeMap<u32, At> = BTreeMap::new();
        for status in self.statuses.iter().filter(|w| w.newest.0 > number.0) {
            founded.entry(status.newest.0).or_insert(status.received);
        }
        founded.values().all(|at| {
            let from = At(at.0.saturating_sub(GATHERING_US));
            processes.iter().any(|(process, since)| {
                let runs = self.runs.get(process).is_some_and(|(_, end)| end > at);
                let overlaps = |(begins, ends): &(At, At)| begins <= at && from <= *ends;
                runs && *since < from && !self.outages[process.0].iter().any(overlaps)
            })
        })
    }

    /// Notes who was down, frozen or cut off; the times of frozen ones.
    fn record_outages(&mut self, case: &Case) -> Vec<Vec<(At, At)>> {
        let count = case.scenario.cluster.count;
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
                    let events = case.plan.fault_events.iter().filter(|a| a.fault == *fault);
                    let Some(event) = events.into_iter().find(|a| a.begins == *begins) else {
                        continue;
                    };
                    for balancer in &event.balancers {
                        match begins {
                            true => cut[*balancer].push((line.at, EVER)),
                            false => close(&mut cut[*balancer], line.at),
                        }
                    }
                }
                Observation::OperatorAnswer {
                    call,
                    verb: OperatorVerb::Alive,
                    status: Some(200),
                    ..
                } => {
                    let of = case.trace.iter().find_map(|l| match &l.seen {
                        Observation::OperatorCall { call: c, member, .. } if c == call => *member,
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
    pub(super) fn newest_at_end(&self) -> Option<RevisionId> {
        let mut last: BTreeMap<usize, RevisionId> = BTreeMap::new();
        for status in &self.statuses {
            last.insert(status.balancer, status.newest);
        }
        last.into_values().max()
    }

    /// How many logs there were: each that is founded anew is one more.
    pub(super) fn logs(&self) -> usize {
        let all: BTreeSet<u32> =
            self.statuses.iter().map(|w| w.newest.0).filter(|log| *log > 0).collect();
        all.len()
    }
}
