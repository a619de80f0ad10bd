//! Checks the safety properties of a cluster during a run. A violation is a contradiction for longer than
//! [`MAX_CONTRADICTION`], two nodes under leases that forbid each other's sends, a lease of a generation that is over,
//! or different revisions under one number. The checker evaluates what each node may send, as a request would, and
//! shares no code with the machines' own decision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_revision::in_force::View;
use hollowpaddle_revision::message::Generation;
use hollowpaddle_revision::rules::{Place, Rules};
use std::sync::Arc;

use crate::simulated_cluster::{CELLS, Node};

/// Guaranteed bound on how long a node may send what another node considers forbidden.
pub const MAX_CONTRADICTION: Duration = Duration::from_secs(3);
const CLASSES: [&str; 2] = ["a", "b"];
/// Limit on recorded violations. The first ones suffice to find the cause.
const MAX_VIOLATIONS: usize = 20;

/// Returns what these rules permit: one bit for each cell and class, and two for the number of attempts.
fn permission_bits(rules: &Rules) -> u32 {
    let mut bits = 0;
    for cell in 1..=CELLS {
        let zone = if cell <= CELLS / 2 { "bilbao" } else { "oviedo" };
        for (number, class) in CLASSES.iter().enumerate() {
            let place = Place { name: "u", cell, machine_type: "f", zone };
            if rules.permits(&place, class) {
                bits |= 1 << (cell as usize * CLASSES.len() + number);
            }
        }
    }
    for attempts in 2..=3 {
        if rules.attempts() >= attempts {
            bits |= 1 << (20 + attempts);
        }
    }
    bits
}

#[derive(Clone, Debug, Default)]
struct NodeObservation {
    rules: Option<(Arc<Rules>, u32)>,
    fallback_policy: Option<(Arc<Rules>, u32)>,
    /// Epoch and index of the last applied log entry.
    position: (u32, u64),
    /// Since when the node sends what another node forbids, by permission bit.
    forbidden_since: BTreeMap<u32, Duration>,
}

/// Content of one revision in one node's policy state: its number, and the Debug text of its origin and document.
type RevisionDigest = (u64, String);

/// Checks a cluster's safety properties and records the violations.
#[derive(Clone, Debug, Default)]
pub struct SafetyChecker {
    observations: Vec<NodeObservation>,
    /// The latest generation that some node knows to be confirmed: no node acts on an older one.
    confirmed_generation: Generation,
    /// The first content seen for each revision, by epoch and number.
    revisions: BTreeMap<(u32, u64), RevisionDigest>,
    /// Violations found so far.
    pub violations: Vec<String>,
    /// The longest contradiction.
    pub longest_contradiction: Duration,
    /// Number of nodes examined, summed over all checks, and how many of these were past their lease.
    pub examined_nodes: (u64, u64),
    /// Checks that found two leases of different generations. A run without any proves nothing about contradictions.
    pub checks_with_mixed_generations: u64,
}

impl SafetyChecker {
    /// Creates a checker for this number of balancers.
    pub fn new(size: u16) -> Self {
        Self {
            observations: vec![NodeObservation::default(); usize::from(size)],
            ..Self::default()
        }
    }

    /// Records a violation.
    pub fn report_violation(&mut self, now: Duration, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{} ms: {what}", now.as_millis()));
        }
    }

    /// Forgets the state of a node whose process ended or is paused, and so sends nothing.
    pub fn node_stopped(&mut self, node_id: u16) {
        let observation = &mut self.observations[usize::from(node_id)];
        observation.forbidden_since.clear();
        (observation.rules, observation.fallback_policy, observation.position) =
            (None, None, (0, 0));
    }

    /// Returns the number of log epochs in which a revision was seen.
    pub fn observed_epochs(&self) -> usize {
        let epochs: BTreeSet<u32> = self.revisions.keys().map(|(epoch, _)| *epoch).collect();
        epochs.len()
    }

    /// Observes a node after an event. Returns whether its state changed, so that all nodes need a check.
    pub fn observe_node(&mut self, node_id: u16, now: Duration, node: &Node) -> bool {
        let (Some(machine), Some(published)) = (&node.machine, &node.published) else {
            return true;
        };
        let observation = &mut self.observations[usize::from(node_id)];
        let refresh_bits = |cached: &mut Option<(Arc<Rules>, u32)>, rules: &Arc<Rules>| {
            if cached.as_ref().is_none_or(|(r, _)| !std::sync::Arc::ptr_eq(r, rules)) {
                *cached = Some((rules.clone(), permission_bits(rules)));
                return true;
            }
            false
        };
        let mut has_changed = refresh_bits(&mut observation.rules, &published.rules);
        has_changed |= refresh_bits(&mut observation.fallback_policy, &published.fallback_policy);
        let log_index = machine.learner().last_index();
        let position = (log_index.epoch(), log_index.op());
        if observation.position != position {
            has_changed = true;
            if observation.position.0 > position.0
                || observation.position.0 == position.0 && observation.position.1 > position.1
            {
                let (before, after) = (observation.position, position);
                self.report_violation(
                    now,
                    format!("node {node_id} goes back from entry {before:?} to {after:?}"),
                );
            }
            let observation = &mut self.observations[usize::from(node_id)];
            let is_new_epoch = position.0 != observation.position.0;
            let last_seen_index = if is_new_epoch { 0 } else { observation.position.1 };
            observation.position = position;
            let status = machine.policy().status();
            if !status.unconfirmed {
                let generation = Generation { epoch: position.0, index: status.generation };
                self.confirmed_generation = self.confirmed_generation.max(generation);
            }
            for (number, revision) in
                machine.policy().revisions().rev().take_while(|(n, _)| *n > last_seen_index)
            {
                let digest = (number, format!("{:?} {:?}", revision.origin, revision.document));
                let first =
                    self.revisions.entry((position.0, number)).or_insert_with(|| digest.clone());
                if *first != digest {
                    let what = format!(
                        "node {node_id} has another revision {number} than other nodes: {digest:?}, {first:?}"
                    );
                    self.report_violation(now, what);
                }
            }
        }
        has_changed
    }

    /// Checks what all running nodes may send at this moment.
    pub fn check(&mut self, now: Duration, nodes: &[Node]) {
        let mut leased: Vec<(u32, Generation, usize)> = Vec::new();
        let mut active: Vec<(usize, u32)> = Vec::new();
        for (node_id, node) in nodes.iter().enumerate() {
            let (Some(published), true) = (&node.published, node.paused_until <= now) else {
                continue;
            };
            if node.machine.is_none() {
                continue;
            }
            let observation = &self.observations[node_id];
            let is_leased = matches!(published.at(node.local_time(now)), View::Agreed(..));
            self.examined_nodes.0 += 1;
            let effective_rules =
                if is_leased { &observation.rules } else { &observation.fallback_policy };
            let Some((_, bits)) = effective_rules else { continue };
            active.push((node_id, *bits));
            if is_leased {
                leased.push((*bits, published.generation, node_id));
            } else {
                self.examined_nodes.1 += 1;
            }
        }
        let newest = leased.iter().map(|k| k.1).max().unwrap_or_default();
        let oldest = leased.iter().map(|k| k.1).min().unwrap_or_default();
        self.checks_with_mixed_generations += u64::from(newest != oldest);
        for (_, generation, node_id) in &leased {
            if generation.epoch == self.confirmed_generation.epoch
                && *generation < self.confirmed_generation
            {
                let confirmed = self.confirmed_generation;
                self.report_violation(
                    now,
                    format!("node {node_id} holds a lease of {generation:?}, but {confirmed:?} is confirmed"),
                );
            }
        }
        let mut permission_sets: Vec<(u32, usize)> = leased.iter().map(|k| (k.0, k.2)).collect();
        permission_sets.sort_unstable();
        permission_sets.dedup_by_key(|s| s.0);
        for (first_bits, first_node) in &permission_sets {
            for (second_bits, second_node) in &permission_sets {
                if first_node < second_node
                    && first_bits & !second_bits != 0
                    && second_bits & !first_bits != 0
                {
                    self.report_violation(
                        now,
                        format!(
                            "nodes {first_node} and {second_node} under leases each send what the other forbids: {first_bits:x} {second_bits:x}"
                        ),
                    );
                }
            }
        }
        let forbidden = permission_sets.iter().fold(0, |all, (bits, _)| all | !bits);
        let mut contradiction_over_limit = None;
        for (node_id, bits) in active {
            let contradicting = bits & forbidden;
            let forbidden_since = &mut self.observations[node_id].forbidden_since;
            forbidden_since.retain(|bit, _| contradicting & (1 << bit) != 0);
            for bit in (0..32).filter(|bit| contradicting & (1 << bit) != 0) {
                let started_at = *forbidden_since.entry(bit).or_insert(now);
                let time = now - started_at;
                self.longest_contradiction = self.longest_contradiction.max(time);
                if time > MAX_CONTRADICTION {
                    contradiction_over_limit = Some((node_id, bit, time));
                }
            }
        }
        if let Some((node_id, bit, time)) = contradiction_over_limit {
            self.report_violation(
                now,
                format!("node {node_id} sends {bit} for {time:?}, which another node forbids"),
            );
        }
    }
}
