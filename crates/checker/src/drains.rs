//! Rule 3: attempts at nodes that a balancer knew, or counts as informed, to drain or to be gone.

use rustc_hash::FxHashMap;

use super::{Case, Finding, Violation, micros};
use hollowpaddle_scenario::record::{At, Observation, Phase};
use hollowpaddle_scenario::scenario::FaultKind;

/// Time after which a balancer counts as informed of a change, in microseconds, from the moment when the list had recorded
/// the change and could be reached. Calls that failed, were rejected or were given up do not matter.
const PRESUMED_AFTER_US: u64 = 6_000_000;

/// The last update that a balancer received about a node.
#[derive(Clone, Copy, Debug)]
struct ListEntry {
    revision: u64,
    received: At,
    /// Time since which the balancer knows that the node takes nothing new.
    closed_since: Option<At>,
}

/// Connection of a balancer to the node list.
#[derive(Clone, Debug, Default)]
struct ListConnection {
    /// Numbers of the open watches.
    open_watches: Vec<u64>,
    /// Time of the last call or answer.
    last_contact: At,
    /// Whether the last call failed.
    last_call_failed: bool,
    /// Number of obstacles between the balancer and the list: faults, and the suspension of the balancer.
    obstacles: u32,
    /// Time since which there is no obstacle.
    reachable_since: At,
}

impl ListConnection {
    /// Records that an obstacle begins or ends.
    fn update_obstacles(&mut self, at: At, begins: bool) {
        self.obstacles = if begins { self.obstacles + 1 } else { self.obstacles.saturating_sub(1) };
        self.reachable_since = at;
    }
}

/// Finds attempts that began after the grace period of rule 3.
pub fn check(case: &Case, findings: &mut Vec<Finding>) {
    let mut entries: FxHashMap<(usize, usize), ListEntry> = FxHashMap::default();
    let mut connections: FxHashMap<usize, ListConnection> = FxHashMap::default();
    let mut listed: FxHashMap<usize, Vec<(At, Phase)>> = FxHashMap::default();
    let mut suspended_since: FxHashMap<usize, At> = FxHashMap::default();
    let rules = &case.scenario.rules;
    let grace = micros(rules.drain_grace) + case.slack;
    for line in case.trace {
        let at = line.at;
        match &line.seen {
            Observation::ListUpdate { balancer, node, phase, revision, .. } => {
                let none = ListEntry { revision: 0, received: at, closed_since: None };
                let entry = entries.entry((*balancer, *node)).or_insert(none);
                // An older update that arrives after a newer one is ignored.
                if *revision < entry.revision {
                    continue;
                }
                (entry.revision, entry.received) = (*revision, at);
                entry.closed_since = match phase {
                    Phase::Serving => None,
                    _ => entry.closed_since.or(Some(at)),
                };
            }
            Observation::Paused { balancer, .. } => {
                suspended_since.insert(*balancer, at);
                connections.entry(*balancer).or_default().update_obstacles(at, true);
            }
            Observation::Started { balancer, .. } => {
                let connection = connections.entry(*balancer).or_default();
                // The suspension of the previous process is over.
                if suspended_since.remove(balancer).is_some() {
                    connection.update_obstacles(at, false);
                }
                connection.reachable_since = at;
            }
            Observation::Fault { fault, begins } => {
                let kind = case.scenario.faults.get(*fault).map(|f| &f.kind);
                let affected: Vec<usize> = match kind {
                    Some(FaultKind::ListDown) => (0..case.scenario.cluster.count).collect(),
                    Some(FaultKind::ListCut) => {
                        let event = case.plan.fault_events.iter().find(|a| a.fault == *fault);
                        event.map_or(Vec::new(), |a| a.balancers.clone())
                    }
                    _ => continue,
                };
                affected
                    .iter()
                    .for_each(|b| connections.entry(*b).or_default().update_obstacles(at, *begins));
            }
            // A suspended balancer reads nothing: it knows from here on what it received meanwhile, or right before.
            Observation::Resumed { balancer, .. } => {
                let suspended_at = suspended_since.remove(balancer);
                let from = suspended_at.unwrap_or(at).0.saturating_sub(grace);
                let of = entries.iter_mut().filter(|((b, _), _)| b == balancer);
                let closed_since = of.filter_map(|(_, entry)| entry.closed_since.as_mut());
                closed_since
                    .filter(|informed_at| informed_at.0 >= from)
                    .for_each(|informed_at| *informed_at = at);
                let connection = connections.entry(*balancer).or_default();
                connection.last_contact = connection.last_contact.max(at);
                if suspended_at.is_some() {
                    connection.update_obstacles(at, false);
                }
            }
            Observation::Listed { node, phase, .. } => {
                listed.entry(*node).or_default().push((at, *phase));
            }
            Observation::WatchStarted { balancer, watch } => {
                let connection = connections.entry(*balancer).or_default();
                (connection.last_contact, connection.last_call_failed) = (at, false);
                if *watch != u64::MAX {
                    connection.open_watches.push(*watch);
                }
            }
            Observation::ListCallFailed { balancer, watch } => {
                let connection = connections.entry(*balancer).or_default();
                (connection.last_contact, connection.last_call_failed) = (at, true);
                connection.open_watches.retain(|w| Some(*w) != *watch);
            }
            Observation::Attempt { attempt, request, node, balancer, first, .. } => {
                let entry = entries.get(&(*balancer, *node));
                let informed_at = entry.and_then(|w| w.closed_since);
                let connection = connections.get(balancer).cloned().unwrap_or_default();
                let presumed_at = if informed_at.is_some() {
                    None
                } else {
                    let received = entry.map(|w| w.received).unwrap_or_default();
                    let listed = listed.get(node);
                    let by_call = presumed_by_polling(case, &connection, listed, *first);
                    by_call
                        .into_iter()
                        .chain(presumed_by_time(&connection, listed, received, *first))
                        .min()
                };
                let Some(informed_at) =
                    informed_at.or(presumed_at).filter(|t| first.0 > t.0 + grace)
                else {
                    continue;
                };
                let what = format!(
                    "sent to node {node} {:.1} ms after n{balancer} was told that it drains or is \
                     gone",
                    first.ms_since(informed_at)
                );
                let of = |l: &&hollowpaddle_scenario::record::Line| match &l.seen {
                    Observation::ListUpdate { balancer: b, node: n, .. } => {
                        (b, n) == (balancer, node)
                    }
                    Observation::Attempt { attempt: a, .. } => a == attempt,
                    _ => false,
                };
                findings.push(Finding {
                    violation: Violation::SentToDrained,
                    at: *first,
                    balancer: Some(*balancer),
                    request: Some(*request),
                    what,
                    history: case.trace.iter().filter(of).cloned().collect(),
                });
            }
            _ => {}
        }
    }
}

/// Returns the time from which a balancer that could reach the list for long enough counts as informed that a node takes
/// nothing new, whatever the results of its calls. The time starts again when the list becomes reachable again. Changes
/// from before `received`, the last update about the node, do not count.
fn presumed_by_time(
    connection: &ListConnection,
    listed: Option<&Vec<(At, Phase)>>,
    received: At,
    now: At,
) -> Option<At> {
    if connection.obstacles > 0 {
        return None;
    }
    let presumed_at = |at: At| At(at.max(connection.reachable_since).0 + PRESUMED_AFTER_US);
    let known: Vec<_> =
        listed?.iter().filter(|(at, _)| *at > received && presumed_at(*at) <= now).collect();
    let (_, phase) = known.last()?;
    let serving = known.iter().rposition(|(_, p)| *p == Phase::Serving);
    let first = known.get(serving.map_or(0, |i| i + 1))?;
    (*phase != Phase::Serving).then(|| presumed_at(first.0))
}

/// Returns the time from which a balancer that has neither watched nor called the list for too long counts as informed
/// that a node takes nothing new (WIRE, `Safety.AskEvery`: four times as long after a failed call).
fn presumed_by_polling(
    case: &Case,
    connection: &ListConnection,
    listed: Option<&Vec<(At, Phase)>>,
    now: At,
) -> Option<At> {
    if !case.scenario.list.asked || !connection.open_watches.is_empty() {
        return None;
    }
    let interval =
        micros(case.scenario.rules.ask_every) * if connection.last_call_failed { 4 } else { 1 };
    if now.0 <= connection.last_contact.0 + interval {
        return None;
    }
    let horizon = At(now.0 - interval);
    let known: Vec<_> = listed?.iter().filter(|(at, _)| *at <= horizon).collect();
    match known.last()? {
        (_, Phase::Serving) => None,
        // The first change since the node last served.
        _ => {
            let serving = known.iter().rposition(|(_, p)| *p == Phase::Serving);
            let first = known[serving.map_or(0, |i| i + 1)];
            Some(At(first.0.0 + interval))
        }
    }
}
