//! A randomized run of a small cluster, reproducible by its seed. Clients call all nodes while balancers crash, lose
//! their state, are paused and are cut off. At the end all faults are healed, and the history and all policy states are
//! checked.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::history::Origin;

use crate::history::{CompletedOperation, Operation, Response, is_linearizable};
use crate::simulated_cluster::{
    SimulatedCluster, SimulationConfig, fleet_facts, ms, propose_entry, rollback_entry,
};

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Violations found.
    pub violations: Vec<String>,
    /// Operations with a known outcome. Operations without one, which are in no policy state, are dropped.
    pub operations: usize,
    /// Changes that were committed.
    pub committed: usize,
    /// Changes that were rejected because their base was outdated.
    pub conflicts: usize,
    /// Crashes and pauses injected by [`run`].
    pub process_faults: usize,
    /// The longest contradiction.
    pub longest_contradiction: Duration,
    /// Checks that found two leases of different generations.
    pub checks_with_mixed_generations: u64,
    /// Log epochs after the first one, each from a new bootstrap of the log.
    pub later_epochs: usize,
    /// Events after which a machine had no timer.
    pub events_without_timer: u64,
    /// Time from healing until a new revision was in force everywhere.
    pub recovery_time: Duration,
}

struct Client {
    client_id: u32,
    pending: Option<PendingOperation>,
    next_start_at: Duration,
}

#[derive(Clone)]
struct PendingOperation {
    id: CommandId,
    base: Option<u64>,
    entry: Entry,
    invoked_at: Duration,
    tickets: Vec<u64>,
    last_attempt_at: Duration,
}

/// Returns the parameters of the run with this seed.
pub fn config_for_seed(seed: u64) -> SimulationConfig {
    let size = [5, 5, 6, 7][seed as usize % 4];
    let voters = if seed.is_multiple_of(12) { vec![0, 2, 4] } else { (0..5).collect() };
    SimulationConfig {
        voters,
        has_directories: seed / 4 % 3 == 2,
        loss: [0.0, 0.1, 0.3][seed as usize / 12 % 3],
        delays_and_duplicates: (seed / 3).is_multiple_of(2),
        ..SimulationConfig::without_faults(seed, size)
    }
}

struct SeededRun {
    cluster: SimulatedCluster,
    clients: Vec<Client>,
    newest_client_id: u32,
    newest_command_id: u128,
    history: Vec<CompletedOperation>,
    unanswered: Vec<(u32, PendingOperation)>,
    report: RunReport,
    changes_fallback_policy: bool,
}

/// Executes the run with this seed.
pub fn run(seed: u64) -> RunReport {
    let mut cluster = SimulatedCluster::new(config_for_seed(seed));
    if seed % 2 == 1 {
        cluster.events_per_crash = 3000;
    }
    let clients =
        (0..3).map(|n| Client { client_id: n, pending: None, next_start_at: ms(1800) }).collect();
    let mut run = SeededRun {
        cluster,
        clients,
        newest_client_id: 3,
        newest_command_id: 0,
        history: Vec::new(),
        unanswered: Vec::new(),
        report: RunReport::default(),
        changes_fallback_policy: seed.is_multiple_of(3),
    };
    run.cluster.run_for(ms(1800));
    let until = run.cluster.now + ms(9000);
    while run.cluster.now < until {
        run.inject_fault();
        let time = ms(100 + run.cluster.random_below(500));
        run.run_clients_for(time);
    }
    run.finish();
    run.report
}

impl SeededRun {
    fn random_node(&mut self) -> u16 {
        let size = u64::from(self.cluster.config.size);
        self.cluster.random_below(size) as u16
    }

    fn inject_fault(&mut self) {
        let node_id = self.random_node();
        let other = self.random_node();
        match self.cluster.random_below(14) {
            0..=2 => self.crash_and_restart(node_id),
            // Faults of the leader are more likely to reveal an error than those of another node.
            3 | 4 => {
                if let Some(leader) = self.cluster.leader() {
                    self.crash_and_restart(leader);
                }
            }
            5 => {
                let time = ms(100 + self.cluster.random_below(3500));
                self.cluster.pause(node_id, time);
                self.report.process_faults += 1;
            }
            6 => {
                if let Some(leader) = self.cluster.leader() {
                    let time = ms(300 + self.cluster.random_below(2700));
                    self.cluster.pause(leader, time);
                    self.report.process_faults += 1;
                }
            }
            7 => {
                self.cluster.cut_links.insert((node_id, other));
            }
            8 => self.cluster.isolate(node_id),
            9 => {
                // The node receives nothing, while all others receive its messages.
                for sender in 0..self.cluster.config.size {
                    self.cluster.cut_links.insert((sender, node_id));
                }
            }
            10 => {
                // A ring: each node receives from its two neighbours only.
                let size = self.cluster.config.size;
                let are_neighbours = |a: u16, b: u16| (a + 1) % size == b || (b + 1) % size == a;
                let links = (0..size).flat_map(|a| (0..size).map(move |b| (a, b)));
                self.cluster
                    .cut_links
                    .extend(links.filter(|(a, b)| a != b && !are_neighbours(*a, *b)));
            }
            _ => self.cluster.cut_links.clear(),
        }
    }

    fn crash_and_restart(&mut self, node_id: u16) {
        let is_running = self.cluster.nodes[usize::from(node_id)].machine.is_some();
        if is_running && (self.cluster.config.has_directories || self.cluster.may_crash(node_id)) {
            self.cluster.crash(node_id);
            let after = ms(self.cluster.random_below(1500));
            self.cluster.start_after(node_id, after);
            self.report.process_faults += 1;
        }
    }

    fn run_clients_for(&mut self, time: Duration) {
        let until = self.cluster.now + time;
        while self.cluster.now < until {
            let step = ms(10 + self.cluster.random_below(50));
            self.cluster.run_for(step);
            for index in 0..self.clients.len() {
                self.step_client(index);
            }
        }
    }

    fn step_client(&mut self, index: usize) {
        let now = self.cluster.now;
        let client_id = self.clients[index].client_id;
        if let Some(pending) = self.clients[index].pending.take() {
            if let Some(completed) = self.completed_operation(client_id, &pending) {
                self.history.push(completed);
                self.clients[index].next_start_at = now + ms(self.cluster.random_below(900));
            } else if now >= pending.invoked_at + ms(5000) {
                // The client gives up. It continues under a new id, as its operation may still take effect.
                self.unanswered.push((client_id, pending));
                self.newest_client_id += 1;
                self.clients[index].client_id = self.newest_client_id;
                self.clients[index].next_start_at = now;
            } else {
                let retry_is_due = now >= pending.last_attempt_at + ms(900);
                self.clients[index].pending =
                    Some(if retry_is_due { self.retry(pending) } else { pending });
            }
        } else if now >= self.clients[index].next_start_at {
            self.start_operation(index, client_id);
        }
    }

    /// Returns the operation with the earliest response to any of its attempts.
    fn completed_operation(
        &mut self,
        client_id: u32,
        pending: &PendingOperation,
    ) -> Option<CompletedOperation> {
        let proposal_results =
            pending.tickets.iter().filter_map(|t| self.cluster.proposal_results.get(t));
        let responses: Vec<(Duration, Response)> = proposal_results
            .filter_map(|(time, answer)| Some((*time, Response::from_result(answer)?)))
            .collect();
        let (returned_at, response) = responses.iter().min_by_key(|(time, _)| *time)?.clone();
        if responses.iter().any(|(_, other_response)| *other_response != response) {
            let now = self.cluster.now;
            self.cluster
                .checker
                .report_violation(now, format!("different answers to one command: {responses:?}"));
        }
        let operation = Operation::Propose { id: pending.id.0, base: pending.base };
        Some(CompletedOperation {
            client_id,
            invoked_at: pending.invoked_at,
            returned_at,
            operation,
            response,
        })
    }

    /// Retries the operation at a random node.
    fn retry(&mut self, mut pending: PendingOperation) -> PendingOperation {
        let node_id = self.random_node();
        pending.tickets.push(self.cluster.propose(
            node_id,
            Some(pending.id),
            pending.entry.clone(),
        ));
        pending.last_attempt_at = self.cluster.now;
        pending
    }

    fn start_operation(&mut self, index: usize, client_id: u32) {
        let node_id = self.random_node();
        let now = self.cluster.now;
        if !self.cluster.accepts_calls(node_id) {
            return;
        }
        if self.cluster.random_below(5) == 0 && self.newest_command_id > 0 {
            let id = 1 + u128::from(self.cluster.random_below(self.newest_command_id as u64));
            if let Some(response) = self
                .cluster
                .query_outcome(node_id, CommandId(id))
                .as_ref()
                .and_then(Response::from_result)
            {
                self.history.push(CompletedOperation {
                    client_id,
                    invoked_at: now,
                    returned_at: now,
                    operation: Operation::QueryOutcome { id },
                    response,
                });
            }
            self.clients[index].next_start_at = now + ms(50);
            return;
        }
        if self.changes_fallback_policy && self.cluster.random_below(8) == 0 {
            self.propose_fallback_policy(node_id);
        }
        self.newest_command_id += 1;
        let id = CommandId(self.newest_command_id);
        let Some(machine) = &self.cluster.nodes[usize::from(node_id)].machine else { return };
        let newest = machine.policy().newest();
        let numbers: Vec<u64> = machine.policy().revisions().map(|(n, _)| n).collect();
        let base = if self.cluster.random_below(4) == 0 { None } else { Some(newest) };
        let entry = if self.cluster.random_below(3) == 0 {
            let target = numbers[self.cluster.random_below(numbers.len() as u64) as usize];
            rollback_entry(id, base, target)
        } else {
            let document = self.random_document();
            propose_entry(id, base, document)
        };
        let tickets = vec![self.cluster.propose(node_id, Some(id), entry.clone())];
        self.clients[index].pending = Some(PendingOperation {
            id,
            base,
            entry,
            invoked_at: now,
            tickets,
            last_attempt_at: now,
        });
    }

    fn random_document(&mut self) -> Document {
        let mut document = Document::default();
        let bits = self.cluster.random_below(16);
        let cells = [2, 3, 5, 6].into_iter().enumerate();
        document.exclusions.cells =
            cells.filter(|(n, _)| bits & 1 << n != 0).map(|(_, cell)| cell).collect();
        if self.cluster.random_below(2) == 0 {
            let cell = 2 + self.cluster.random_below(2) as u32;
            document.class_exclusions.insert("a".into(), [cell].into());
        }
        document.attempts = 1 + self.cluster.random_below(3) as u8;
        document
    }

    /// Proposes one of two fallback policies. These changes are not operations of the register.
    fn propose_fallback_policy(&mut self, node_id: u16) {
        let cells: Vec<u32> = if self.cluster.random_below(2) == 0 { vec![1] } else { vec![1, 4] };
        let fallback_policy = FallbackPolicy {
            cells: cells.into_iter().collect(),
            attempts: 1,
            ..FallbackPolicy::default()
        };
        let id = CommandId(1 << 100 | u128::from(self.cluster.random_below(u64::MAX)));
        self.cluster.propose(
            node_id,
            Some(id),
            Entry::FallbackPolicy(id, fallback_policy, Box::new(fleet_facts())),
        );
    }

    /// Heals the cluster, queries the outcome of all unanswered operations and checks the final states.
    fn finish(&mut self) {
        self.cluster.heal();
        // Operations still in flight at a node are finished by then.
        self.run_clients_for(ms(100));
        for client in &mut self.clients {
            if let Some(pending) = client.pending.take() {
                self.unanswered.push((client.client_id, pending));
            }
        }
        let healed_at = self.cluster.now;
        self.check_recovery(healed_at);
        self.cluster.run_for(ms(11_000));
        let ended_at = self.cluster.now;
        for (client_id, pending) in std::mem::take(&mut self.unanswered) {
            let answered_operation = self.completed_operation(client_id, &pending);
            let queried_response = (0..self.cluster.config.size)
                .filter_map(|node_id| {
                    Response::from_result(&self.cluster.query_outcome(node_id, pending.id)?)
                })
                .next();
            let operation = Operation::Propose { id: pending.id.0, base: pending.base };
            let late_operation = queried_response.map(|response| CompletedOperation {
                client_id,
                invoked_at: pending.invoked_at,
                returned_at: ended_at,
                operation,
                response,
            });
            self.history.extend(answered_operation.or(late_operation));
        }
        self.check_final_states(ended_at);
        let history = &self.history;
        if !is_linearizable(history) {
            self.cluster
                .checker
                .report_violation(ended_at, format!("history is not linearizable: {history:?}"));
        }
        let report = &mut self.report;
        report.operations = history.len();
        report.committed = history
            .iter()
            .filter(|operation| matches!(operation.response, Response::Committed(_)))
            .count();
        report.conflicts = history
            .iter()
            .filter(|operation| matches!(operation.response, Response::Conflict(_)))
            .count();
        (report.longest_contradiction, report.checks_with_mixed_generations) = (
            self.cluster.checker.longest_contradiction,
            self.cluster.checker.checks_with_mixed_generations,
        );
        report.events_without_timer = self.cluster.events_without_timer;
        report.later_epochs = self.cluster.checker.observed_epochs().saturating_sub(1);
        report.violations = std::mem::take(&mut self.cluster.checker.violations);
    }

    /// Checks that a new revision is committed, and in force everywhere within 20 s.
    fn check_recovery(&mut self, healed_at: Duration) {
        let mut document = Document::default();
        document.exclusions.cells.insert(6);
        let id = CommandId(u128::MAX);
        let entry = propose_entry(id, None, document);
        let mut tickets = Vec::new();
        let invoked_at = self.cluster.now;
        let (returned_at, number) = loop {
            let now = self.cluster.now;
            if now > healed_at + ms(15_000) {
                self.cluster
                    .checker
                    .report_violation(now, "no answer to a proposal 15 s after healing".into());
                return;
            }
            let node_id = self.random_node();
            tickets.push(self.cluster.propose(node_id, Some(id), entry.clone()));
            self.cluster.run_for(ms(500));
            let proposal_results =
                tickets.iter().filter_map(|t| self.cluster.proposal_results.get(t));
            let responses =
                proposal_results.filter_map(|(at, a)| Some((*at, Response::from_result(a)?)));
            if let Some((at, Response::Committed(number))) = responses.min_by_key(|(at, _)| *at) {
                break (at, number);
            }
        };
        let operation = Operation::Propose { id: id.0, base: None };
        self.newest_client_id += 1;
        self.history.push(CompletedOperation {
            client_id: self.newest_client_id,
            invoked_at,
            returned_at,
            operation,
            response: Response::Committed(number),
        });
        let is_in_force = |cluster: &SimulatedCluster| {
            cluster.nodes.iter().all(|n| {
                n.machine.as_ref().is_some_and(|m| {
                    let status = m.policy().status();
                    let leased =
                        n.published.as_ref().is_some_and(|p| n.local_time(cluster.now) < p.until);
                    status.revision >= number && leased
                })
            })
        };
        let recovery_limit = ms(20_000);
        if self.cluster.run_while(recovery_limit, |cluster| !is_in_force(cluster)).is_none() {
            let now = self.cluster.now;
            let machines: Vec<_> =
                self.cluster.nodes.iter().filter_map(|n| n.machine.as_ref()).collect();
            let node_states: Vec<String> = machines
                .iter()
                .map(|m| {
                    let status = m.policy().status();
                    format!(
                        "{:?}: revision {}, target {:?}, log index {}, unconfirmed {}, leader {:?}",
                        m.node_id(),
                        status.revision,
                        status.target_revision,
                        m.learner().last_index(),
                        status.unconfirmed,
                        m.leader()
                    )
                })
                .collect();
            let what = format!(
                "revision {number} is not in force everywhere within 20 s: {node_states:?}"
            );
            self.cluster.checker.report_violation(now, what);
        }
        self.report.recovery_time = self.cluster.now - healed_at;
    }

    /// Checks that all committed revisions are in all policy states, and that equal log indexes have equal policy
    /// states.
    fn check_final_states(&mut self, ended_at: Duration) {
        let mut committed_commands = BTreeMap::new();
        for completed in &self.history {
            if let (Operation::Propose { id, .. }, Response::Committed(number)) =
                (&completed.operation, &completed.response)
            {
                committed_commands.insert(*number, *id);
            }
        }
        let mut violations = Vec::new();
        let mut first = None;
        for node in &self.cluster.nodes {
            let Some(machine) = &node.machine else { continue };
            let policy = machine.policy();
            for (number, id) in &committed_commands {
                let retained = policy.retained_revision(*number).map(|k| k.origin).ok();
                let is_same_command = match retained {
                    Some(Origin::Proposed(command) | Origin::Rollback(command, _)) => {
                        command == CommandId(*id)
                    }
                    _ => false,
                };
                if !is_same_command {
                    let NodeId(node_id) = machine.node_id();
                    violations.push(format!(
                        "node {node_id} has {retained:?} as revision {number}, which was committed for command {id}"
                    ));
                }
            }
            match &first {
                None => first = Some((machine.learner().last_index(), policy.clone())),
                Some((log_index, first_policy)) => {
                    if machine.learner().last_index() == *log_index && policy != first_policy {
                        violations.push(format!(
                            "{:?} has a different policy state at {log_index}",
                            machine.node_id()
                        ));
                    }
                }
            }
        }
        for violation in violations {
            self.cluster.checker.report_violation(ended_at, violation);
        }
    }
}
