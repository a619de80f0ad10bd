//! Answers of the admin API as evidence: contents of revisions, the policy state of each balancer over time, and the outages
//! of balancers. The conclusions are drawn in the other modules.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_scenario::plan::Machine;
use hollowpaddle_scenario::record::{At, Observation};
use hollowpaddle_scenario::scenario::{FaultKind, OperatorVerb, Scenario};
use serde_json::Value;

use crate::Case;

/// A revision: its log, and its number in that log. Logs are numbered in the order in which answers first named them, since a
/// cluster that has lost all state may bootstrap a log with a smaller epoch than the previous one. Log 0 stands for a
/// balancer that knows no log.
pub(super) type RevisionId = (u32, u64);

/// What a revision forbids.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Content {
    upstreams: BTreeSet<String>,
    cells: BTreeSet<u32>,
    machine_types: BTreeSet<String>,
    zones: BTreeSet<String>,
    excluded_cells: BTreeMap<String, BTreeSet<u32>>,
}

impl Content {
    /// Reads the content from the document of a revision.
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

    /// Returns whether the revision forbids a machine to a class of requests.
    pub(super) fn forbids(&self, scenario: &Scenario, machine: &Machine, class: usize) -> bool {
        let excluded_cells = self.excluded_cells.get(&scenario.classes[class].name);
        self.cells.contains(&machine.cell)
            || self.upstreams.contains(&machine.id)
            || self.machine_types.contains(&scenario.fleet.machine_types[machine.machine_type].name)
            || self.zones.contains(&scenario.fleet.zones[machine.zone])
            || excluded_cells.is_some_and(|cells| cells.contains(&machine.cell))
    }
}

/// One status answer of a balancer.
#[derive(Clone, Debug)]
pub(super) struct StatusAnswer {
    /// Time at which the status was requested.
    pub(super) asked: At,
    /// Time at which the answer arrived.
    pub(super) received: At,
    /// Number of the balancer.
    pub(super) balancer: usize,
    /// Index into [`AdminAnswers::policy_states`].
    pub(super) policy_state: usize,
    /// Number of the start of the balancer's process.
    pub(super) start: u32,
    /// Revision that the balancer acts on.
    pub(super) revision: RevisionId,
    /// Newest revision that the balancer knows.
    pub(super) newest: RevisionId,
    /// Whether the balancer holds a lease.
    pub(super) has_lease: bool,
}

/// Policy state of a balancer: its revision, the revision that it is moving to, and the fallback policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PolicyState {
    pub(super) revision: RevisionId,
    pub(super) target: Option<RevisionId>,
    /// Allowed cells and excepted upstreams of each fallback policy that may be in force.
    fallback_policies: Vec<(BTreeSet<u32>, BTreeSet<String>)>,
}

impl PolicyState {
    /// Returns whether a fallback policy allows a machine, whatever a revision forbids.
    pub(super) fn is_allowed_by_fallback(&self, machine: &Machine) -> bool {
        self.fallback_policies
            .iter()
            .any(|(cells, except)| cells.contains(&machine.cell) && !except.contains(&machine.id))
    }
}

/// The answers of the admin API in a run, and the outages of balancers.
#[derive(Default)]
pub(super) struct AdminAnswers {
    /// Contents of the revisions.
    pub(super) contents: BTreeMap<RevisionId, Content>,
    /// Revisions that were reported with two different contents.
    pub(super) conflicting: BTreeSet<RevisionId>,
    /// Status answers in the order of their arrival.
    pub(super) statuses: Vec<StatusAnswer>,
    /// All policy states that were reported.
    pub(super) policy_states: Vec<PolicyState>,
    /// Time of the first successful answer that named each revision.
    pub(super) committed: BTreeMap<RevisionId, At>,
    /// Time and balancer of the first answer that a revision is in force everywhere.
    pub(super) in_force_everywhere: BTreeMap<RevisionId, (At, usize)>,
    /// Time of the first call that returned the number of each revision.
    pub(super) requested_at: BTreeMap<RevisionId, At>,
    /// Time at which an answer first named each revision.
    known: BTreeMap<RevisionId, At>,
    /// Times in which each balancer was down, suspended or cut off.
    pub(super) outages: Vec<Vec<(At, At)>>,
    /// Times in which operators declared each balancer dead.
    pub(super) dead: Vec<Vec<(At, At)>>,
    /// Begin and end of each process, by balancer and start.
    runs: BTreeMap<(usize, u32), (At, At)>,
    /// Time of the last line of the trace.
    pub(super) end: At,
}

/// Time before the first report of a new log within which its bootstrap collected copies, in microseconds. The actual time
/// is shorter.
const GATHERING_US: u64 = 3_000_000;

/// End of a span that has not ended.
const EVER: At = At(u64::MAX);

impl AdminAnswers {
    /// Collects the answers and outages of a run.
    pub(super) fn of(case: &Case) -> Self {
        let count = case.scenario.cluster.count;
        let mut all = Self {
            outages: vec![Vec::new(); count],
            dead: vec![Vec::new(); count],
            end: case.trace.last().map_or(At(0), |l| l.at),
            ..Self::default()
        };
        let suspensions = all.record_outages(case);
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
                    let taken_while_suspended = suspensions[*balancer]
                        .iter()
                        .any(|(from, to)| *from <= line.at && *asked <= *to);
                    if taken_while_suspended {
                        continue;
                    }
                    let policy = (
                        fallback_cells.iter().copied().collect(),
                        fallback_exceptions.iter().cloned().collect(),
                    );
                    fallback_policies.insert(policy.clone());
                    // While a change of the fallback policy is pending, both policies may be in force.
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

    /// Returns the log of a revision number that a balancer returned at a time: the log of its next status that knows the
    /// number, or of its last status before.
    fn log_of(&self, at: At, balancer: usize, number: u64) -> u32 {
        let next = self
            .statuses
            .iter()
            .find(|w| w.balancer == balancer && w.asked >= at && w.newest.1 >= number);
        let last =
            || self.statuses.iter().rev().find(|w| w.balancer == balancer && w.received <= at);
        next.or_else(last).map_or(0, |w| w.newest.0)
    }

    /// Returns the time at which a balancer first knew the revision or a later one.
    pub(super) fn known(&self, number: RevisionId) -> Option<At> {
        self.known.range(number..).map(|(_, at)| *at).min()
    }

    /// Returns whether at each bootstrap of a later log a balancer that knew the revision was reachable: it had been running
    /// for a while, and was neither suspended nor cut off. Otherwise the revision may be lost.
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

    /// Records the outages of balancers, and returns their suspensions.
    fn record_outages(&mut self, case: &Case) -> Vec<Vec<(At, At)>> {
        let count = case.scenario.cluster.count;
        let mut suspensions: Vec<Vec<(At, At)>> = vec![Vec::new(); count];
        let mut cut: Vec<Vec<(At, At)>> = vec![Vec::new(); count];
        let mut down: Vec<Option<At>> = vec![Some(At(0)); count];
        let close = |all: &mut Vec<(At, At)>, at: At| {
            if let Some(open) = all.iter_mut().rev().find(|(_, to)| *to == EVER) {
                open.1 = at;
            }
        };
        for line in case.trace {
            match &line.seen {
                Observation::Paused { balancer, .. } => {
                    suspensions[*balancer].push((line.at, EVER))
                }
                Observation::Resumed { balancer, .. } => {
                    close(&mut suspensions[*balancer], line.at)
                }
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
                    close(&mut suspensions[*balancer], line.at);
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
            self.outages[balancer]
                .extend(suspensions[balancer].iter().chain(&cut[balancer]).copied());
        }
        suspensions
    }

    /// Returns the newest revision in the last status answers of all balancers.
    pub(super) fn newest_at_end(&self) -> Option<RevisionId> {
        let mut last: BTreeMap<usize, RevisionId> = BTreeMap::new();
        for status in &self.statuses {
            last.insert(status.balancer, status.newest);
        }
        last.into_values().max()
    }

    /// Returns the number of logs.
    pub(super) fn logs(&self) -> usize {
        let all: BTreeSet<u32> =
            self.statuses.iter().map(|w| w.newest.0).filter(|log| *log > 0).collect();
        all.len()
    }
}
