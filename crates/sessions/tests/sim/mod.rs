//! Simulates a cluster with users, cells, an agreed ownership table and a network, with faults that are derived from a
//! seed. The checker reads only the requests that were sent to cells (time, balancer, user, key, cell) and the
//! ownership that balancers report. The checker shares no code with the balancers.
#![allow(dead_code)] // Each test uses only a part of the simulation.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_sessions::{
    Action, Cell, Config, Epoch, Event, ExecutionStatus, Idempotency, IdempotencyKey, OwnerSlot,
    RoutingDecision, SessionId, Sessions, WeightedCell, Zone,
};
use oorandom::Rand64;

/// The parameters of one simulation run. Times are in µs of true time.
#[derive(Clone)]
pub struct Scenario {
    pub seed: u64,
    pub zones: u16,
    pub balancers_per_zone: u16,
    pub users: u64,
    pub duration: u64,
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// The mean time between faults; 0 for none.
    pub mean_fault_interval: u64,
    /// The mean time between requests of a user.
    pub request_interval: u64,
    /// The probability that a user moves to another zone before a request.
    pub move_probability: f64,
    /// Whether cells are excluded and put in force again.
    pub excludes_cells: bool,
    /// Whether balancers route without records, each request by the hash of its zone.
    pub without_records: bool,
    /// Whether clients mark retries.
    pub marks_retries: bool,
    /// Whether no request can have been sent before the start.
    pub first_start: bool,
    pub failpoints: Points,
    /// Shorter than on the platform, so that more windows end within a second.
    pub dedup_window: u64,
    pub max_execution_delay: u64,
    pub lease: u64,
}

impl Scenario {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            zones: 2,
            balancers_per_zone: 3,
            users: 6,
            duration: 3_200_000,
            loss_rate: 0.0,
            duplication_rate: 0.0,
            mean_fault_interval: 0,
            request_interval: 120_000,
            move_probability: 0.15,
            excludes_cells: false,
            without_records: false,
            marks_retries: false,
            first_start: true,
            failpoints: Points::none(),
            dedup_window: 1_500_000,
            max_execution_delay: 300_000,
            lease: 400_000,
        }
    }
}

/// The results of a run.
#[derive(Default, Debug)]
pub struct Findings {
    pub executed_twice: Vec<String>,
    /// Two owners at a time, epochs that decrease, sends under an old epoch, and requests that were routed twice.
    pub ownership_violations: Vec<String>,
    /// All keyed requests.
    pub keyed: u64,
    /// Keyed requests that were permitted.
    pub keyed_permitted: u64,
    /// Keyed requests that were sent before their permits ended.
    pub keyed_sent: u64,
    /// Keyed requests that were rejected or failed, by decision.
    pub rejected_or_failed: BTreeMap<String, u64>,
    /// Requests without a key that were sent.
    pub unkeyed_sent: u64,
    /// Requests without a key that were sent to the cell of the user's previous request.
    pub unkeyed_at_last_cell: u64,
    /// The times from the arrival of a request to its decision.
    pub waits: Vec<u64>,
    /// Requests without a key that waited over 27 ms at a balancer that was not paused.
    pub overlong_waits: u64,
    /// The times from a user's move until a balancer of the new zone owned the session.
    pub takeover_times: Vec<u64>,
    pub messages: u64,
    /// The size of the longest message, in bytes.
    pub longest_message: usize,
    /// Requests without a decision long after their deadlines.
    pub unrouted: u64,
    /// Repeats of keyed requests that were sent.
    pub repeats_sent: u64,
    /// Keyed requests that were permitted after the faults of the run.
    pub permitted_after_faults: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum SimEvent {
    Message {
        from: NodeId,
        incarnation: Incarnation,
        to: NodeId,
        bytes: Vec<u8>,
    },
    Wake {
        of: NodeId,
        incarnation: Incarnation,
        at: u64,
    },
    UserStep {
        user: u64,
    },
    RepeatKey {
        user: u64,
        key: u64,
        zone: u16,
        remaining: u32,
    },
    Sent {
        of: NodeId,
        incarnation: Incarnation,
        id: u64,
    },
    Done {
        of: NodeId,
        incarnation: Incarnation,
        id: u64,
        status: ExecutionStatus,
    },
    RunAgreement,
    OwnershipTable {
        of: NodeId,
    },
    Fault,
    /// Ends a fault: `kind` 0 is a crash, 1 a pause, any other a partition.
    Recover {
        kind: u8,
        balancer: u16,
    },
    ExcludeCell,
    CellsChanged {
        of: NodeId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ScheduledEvent {
    at: u64,
    order: u64,
    event: SimEvent,
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Balancer {
    zone: u16,
    incarnation: Incarnation,
    machine: Option<Sessions>,
    started_at: u64,
    /// The drift of the balancer's clock, in ppm; positive if the clock is fast.
    clock_drift_ppm: i64,
    paused_until: u64,
    cannot_reach_agreement: bool,
    table_version: u64,
    cells_revision: u64,
    requests: BTreeMap<u64, PendingRequest>,
    /// The epochs of the sessions that the balancer owned at the last check, by user.
    owned_epochs: BTreeMap<u64, Epoch>,
}

#[derive(Clone)]
struct PendingRequest {
    user: u64,
    key: Option<u64>,
    requested_at: u64,
    is_repeat: bool,
}

struct CellState {
    /// The keys that the cell remembers, and the times at which it forgets them.
    forgotten_at: BTreeMap<u64, u64>,
}

struct Execution {
    executed_at: u64,
    sent_at: u64,
    cell: u16,
    balancer: u16,
}

pub struct Simulation {
    pub scenario: Scenario,
    now: u64,
    order: u64,
    queue: BinaryHeap<ScheduledEvent>,
    rng: Rand64,
    balancers: Vec<Balancer>,
    cells: BTreeMap<u16, CellState>,
    excluded_cells: BTreeSet<u16>,
    /// The excluded cells of each revision.
    revisions: Vec<BTreeSet<u16>>,
    /// The attempts that reached a cell, by key.
    executions: BTreeMap<u64, Vec<Execution>>,
    /// The agreed tables, by version.
    tables: Vec<Vec<OwnerSlot>>,
    /// The true times until which slots are granted.
    granted_until: BTreeMap<NodeId, u64>,
    /// Whether zones cannot reach each other.
    is_partitioned: bool,
    zone_of_user: BTreeMap<u64, u16>,
    /// The cell of the last request of each user.
    last_cell: BTreeMap<u64, u16>,
    highest_epochs: BTreeMap<u64, (Epoch, NodeId)>,
    /// The time and zone of each user's last move, until a balancer of this zone owns the session.
    arrivals: BTreeMap<u64, (u64, u16)>,
    next_id: u64,
    next_key: u64,
    pub findings: Findings,
    /// The step, that is the number of a message, at which a balancer crashes: the receiver if the second value is
    /// true, otherwise the sender.
    pub crash_at_step: Option<(u64, bool)>,
    /// The number of messages sent so far.
    pub step: u64,
}

const CELLS_PER_ZONE: u16 = 3;

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = Rand64::new(u128::from(scenario.seed) * 7919 + 13);
        let mut balancers = Vec::new();
        for zone in 0..scenario.zones {
            for _ in 0..scenario.balancers_per_zone {
                let clock_drift_ppm = rng.rand_range(0..8_000) as i64 - 4_000;
                balancers.push(Balancer {
                    zone,
                    incarnation: Incarnation(1),
                    machine: None,
                    started_at: 0,
                    clock_drift_ppm,
                    paused_until: 0,
                    cannot_reach_agreement: false,
                    table_version: 0,
                    cells_revision: 0,
                    requests: BTreeMap::new(),
                    owned_epochs: BTreeMap::new(),
                });
            }
        }
        let cells = (0..scenario.zones * CELLS_PER_ZONE)
            .map(|p| (p, CellState { forgotten_at: BTreeMap::new() }))
            .collect();
        let mut simulation = Self {
            now: 1_000,
            order: 0,
            queue: BinaryHeap::new(),
            rng,
            balancers,
            cells,
            excluded_cells: BTreeSet::new(),
            revisions: vec![BTreeSet::new()],
            executions: BTreeMap::new(),
            tables: vec![Vec::new()],
            granted_until: BTreeMap::new(),
            is_partitioned: false,
            zone_of_user: BTreeMap::new(),
            last_cell: BTreeMap::new(),
            highest_epochs: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            next_id: 0,
            next_key: 0,
            findings: Findings::default(),
            crash_at_step: None,
            step: 0,
            scenario,
        };
        for balancer in 0..simulation.balancers.len() {
            simulation.start(balancer);
        }
        simulation.push(1, SimEvent::RunAgreement);
        for user in 0..simulation.scenario.users {
            let zone = simulation.rng.rand_range(0..u64::from(simulation.scenario.zones)) as u16;
            simulation.zone_of_user.insert(user, zone);
            if simulation.scenario.request_interval > 0 {
                let after =
                    400_000 + simulation.rng.rand_range(0..simulation.scenario.request_interval);
                simulation.push(after, SimEvent::UserStep { user });
            }
        }
        if simulation.scenario.mean_fault_interval > 0 {
            let after =
                500_000 + simulation.rng.rand_range(0..simulation.scenario.mean_fault_interval);
            simulation.push(after, SimEvent::Fault);
        }
        if simulation.scenario.excludes_cells {
            simulation.push(700_000, SimEvent::ExcludeCell);
        }
        simulation
    }

    fn push(&mut self, after: u64, event: SimEvent) {
        self.order += 1;
        self.queue.push(ScheduledEvent { at: self.now + after, order: self.order, event });
    }

    fn sample_bool(&mut self, probability: f64) -> bool {
        self.rng.rand_float() < probability
    }

    fn start(&mut self, balancer: usize) {
        let mut config = Config::new(NodeId(balancer as u16), self.balancers[balancer].incarnation);
        config.first_start =
            self.scenario.first_start && self.balancers[balancer].incarnation == Incarnation(1);
        config.dedup_window = Duration::from_micros(self.scenario.dedup_window);
        config.max_execution_delay = Duration::from_micros(self.scenario.max_execution_delay);
        let b = &mut self.balancers[balancer];
        b.machine = Some(Sessions::new(config));
        b.started_at = self.now;
        b.table_version = 0;
        b.cells_revision = 0;
        b.requests.clear();
        b.owned_epochs.clear();
        self.deliver_cells(balancer);
    }

    fn deliver_cells(&mut self, balancer: usize) {
        let revision = self.revisions.len() as u64;
        let zone = self.balancers[balancer].zone;
        let excluded = self.revisions.last().cloned().unwrap_or_default();
        let is_in_zone = |p: u16| p / CELLS_PER_ZONE == zone;
        let cells = (0..self.scenario.zones * CELLS_PER_ZONE).filter(|p| !excluded.contains(p));
        // The weights prefer the cells of the balancer's zone; the other cells are usable.
        let cells = cells
            .map(|p| WeightedCell { cell: Cell(p), weight: if is_in_zone(p) { 1000 } else { 1 } })
            .collect();
        self.balancers[balancer].cells_revision = revision;
        self.deliver(balancer, Event::CellsChanged { revision, cells });
    }

    /// Converts a true time to a balancer's time.
    fn local_time(&self, balancer: usize, at: u64) -> Duration {
        let since = at.saturating_sub(self.balancers[balancer].started_at) as i64;
        Duration::from_micros(
            (since + since * self.balancers[balancer].clock_drift_ppm / 1_000_000) as u64,
        )
    }

    /// Converts a balancer's time to the true time.
    fn true_time(&self, balancer: usize, local_time: Duration) -> u64 {
        let span = local_time.as_micros() as i64;
        let mut at = self.balancers[balancer].started_at
            + (span - span * self.balancers[balancer].clock_drift_ppm / 1_000_000) as u64;
        while self.local_time(balancer, at) < local_time {
            at += 20;
        }
        at
    }

    fn is_alive(&self, balancer: usize) -> bool {
        self.balancers[balancer].machine.is_some()
    }

    fn deliver(&mut self, balancer: usize, event: Event) {
        if self.now < self.balancers[balancer].paused_until {
            // A paused balancer handles no event now. Messages and wake-ups are delivered again after the pause.
            return;
        }
        let now = self.local_time(balancer, self.now);
        let Some(machine) = self.balancers[balancer].machine.as_mut() else { return };
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        for action in actions {
            if !self.is_alive(balancer) {
                return;
            }
            self.handle_action(balancer, action);
        }
        if self.is_alive(balancer) {
            self.check_ownership(balancer);
        }
    }

    fn handle_action(&mut self, balancer: usize, action: Action) {
        match action {
            Action::WakeAt(at) => {
                let (at, incarnation) = (
                    self.true_time(balancer, at).max(self.now),
                    self.balancers[balancer].incarnation,
                );
                let after = at - self.now;
                self.push(after, SimEvent::Wake { of: NodeId(balancer as u16), incarnation, at });
            }
            Action::Send { to, message } => self.send(balancer, to, message),
            Action::Route { id, decision } => self.on_decision(balancer, id, decision),
        }
    }

    fn send(&mut self, balancer: usize, to: NodeId, bytes: Vec<u8>) {
        self.findings.messages += 1;
        self.findings.longest_message = self.findings.longest_message.max(bytes.len());
        self.step += 1;
        if let Some((step, receiver)) = self.crash_at_step
            && step == self.step
        {
            let crashed = if receiver { usize::from(to.0) } else { balancer };
            self.crash(crashed);
            if !receiver {
                return;
            }
        }
        let mut copies = 1;
        match self.scenario.failpoints.of(balancer as u32).pass("sessions.send", Kind::Send) {
            Some(Fault::Lose) => return,
            Some(Fault::Copy) => copies = 2,
            Some(Fault::Crash) => return self.crash(balancer),
            Some(Fault::Pause) => self.pause(balancer, 3 * self.scenario.lease),
            _ => {}
        }
        if self.sample_bool(self.scenario.duplication_rate) {
            copies = 2;
        }
        let receiver = usize::from(to.0);
        let crosses_zones = self.balancers[balancer].zone != self.balancers[receiver].zone;
        for _ in 0..copies {
            if self.sample_bool(self.scenario.loss_rate) || (crosses_zones && self.is_partitioned) {
                continue;
            }
            let mut after = if crosses_zones { 2_000 } else { 200 } + self.rng.rand_range(0..1_500);
            if self.scenario.duplication_rate > 0.0 && self.sample_bool(0.02) {
                after += self.rng.rand_range(0..600_000);
            }
            let from = NodeId(balancer as u16);
            let message = SimEvent::Message {
                from,
                incarnation: self.balancers[balancer].incarnation,
                to,
                bytes: bytes.clone(),
            };
            self.push(after, message);
        }
    }

    fn on_decision(&mut self, balancer: usize, id: u64, decision: RoutingDecision) {
        let Some(pending) = self.balancers[balancer].requests.get(&id).cloned() else {
            self.findings
                .ownership_violations
                .push(format!("request {id} was routed twice at balancer {balancer}"));
            return;
        };
        self.balancers[balancer].requests.remove(&id);
        let waited = self.now - pending.requested_at;
        self.findings.waits.push(waited);
        // Once another balancer owns the session, no request may be sent under the earlier epoch.
        if let RoutingDecision::Send { epoch: Some(epoch), .. } = decision
            && let Some(highest) = self.highest_epochs.get(&pending.user).filter(|h| h.0 > epoch)
        {
            let violation = format!(
                "session of user {}: sent by balancer {balancer} under {epoch:?} after {highest:?}",
                pending.user
            );
            self.findings.ownership_violations.push(violation);
        }
        let RoutingDecision::Send { cell, until, .. } = decision else {
            if pending.key.is_some() {
                *self.findings.rejected_or_failed.entry(format!("{decision:?}")).or_default() += 1;
            }
            return;
        };
        // Keyed requests may wait for the end of a window, and a paused balancer routes requests late.
        let was_paused = self.balancers[balancer].paused_until >= pending.requested_at;
        self.findings.overlong_waits +=
            u64::from(waited > 27_000 && pending.key.is_none() && !was_paused);
        let (incarnation, of) = (self.balancers[balancer].incarnation, NodeId(balancer as u16));
        let Some(key) = pending.key else {
            self.push(10, SimEvent::Sent { of, incarnation, id });
            self.findings.unkeyed_sent += 1;
            let last_cell = *self.last_cell.get(&pending.user).unwrap_or(&cell.0);
            self.findings.unkeyed_at_last_cell += u64::from(last_cell == cell.0);
            self.last_cell.insert(pending.user, cell.0);
            self.push(
                30_000,
                SimEvent::Done {
                    of: NodeId(balancer as u16),
                    incarnation,
                    id,
                    status: ExecutionStatus::Executed,
                },
            );
            return;
        };
        self.findings.keyed_permitted += 1;
        // The caller checks the permit immediately before sending, and may be paused between routing and this check.
        let sent_at =
            self.now + if self.sample_bool(0.02) { self.rng.rand_range(0..200_000) } else { 10 };
        if self.local_time(balancer, sent_at) >= until {
            self.push(
                sent_at - self.now,
                SimEvent::Done {
                    of: NodeId(balancer as u16),
                    incarnation,
                    id,
                    status: ExecutionStatus::NotExecuted,
                },
            );
            return;
        }
        self.push(sent_at - self.now, SimEvent::Sent { of, incarnation, id });
        self.findings.keyed_sent += 1;
        self.findings.repeats_sent += u64::from(pending.is_repeat);
        let executed_at = match self.rng.rand_range(0..10) {
            0 => None,
            1 | 2 => Some(sent_at + self.rng.rand_range(0..self.scenario.max_execution_delay)),
            _ => Some(sent_at + 5_000),
        };
        let status = match executed_at {
            None => [ExecutionStatus::NotExecuted, ExecutionStatus::Unknown]
                [usize::from(self.rng.rand_range(0..2) == 1)],
            Some(at) if at > sent_at + 50_000 => ExecutionStatus::Unknown,
            Some(_) => ExecutionStatus::Executed,
        };
        if let Some(executed_at) = executed_at {
            self.record_execution(
                key,
                Execution { executed_at, sent_at, cell: cell.0, balancer: balancer as u16 },
            );
        }
        self.last_cell.insert(pending.user, cell.0);
        let after = sent_at - self.now + 50_000;
        self.push(after, SimEvent::Done { of: NodeId(balancer as u16), incarnation, id, status });
    }

    /// Records the execution of an attempt. [`Self::check`] later sorts the executions by time and leaves out those of
    /// keys that the cell remembered.
    fn record_execution(&mut self, key: u64, execution: Execution) {
        self.executions.entry(key).or_default().push(execution);
    }

    /// Checks that no key is executed twice.
    fn check(&mut self) {
        for (key, executions) in &mut self.executions {
            executions.sort_by_key(|execution| execution.executed_at);
            // The executions that no cell dropped as repeats.
            let mut effects: Vec<&Execution> = Vec::new();
            for execution in executions.iter() {
                let window = self.scenario.dedup_window;
                if effects.iter().any(|e| {
                    e.cell == execution.cell && execution.executed_at < e.executed_at + window
                }) {
                    continue;
                }
                if let Some(before) =
                    effects.last().filter(|e| execution.executed_at < e.executed_at + window)
                {
                    self.findings.executed_twice.push(format!(
                        "key {key} was executed in cell {} at {} (from balancer {}) and in cell {} at {} \
                         (from balancer {})",
                        before.cell,
                        before.executed_at,
                        before.balancer,
                        execution.cell,
                        execution.executed_at,
                        execution.balancer
                    ));
                }
                // If the cell did not drop the repeat, the repeat must have been sent at least a window after the
                // previous attempt.
                if let Some(before) = effects.last()
                    && execution.sent_at < before.sent_at + window
                {
                    self.findings.executed_twice.push(format!(
                        "key {key} was sent at {} and again at {}, and both attempts were executed",
                        before.sent_at, execution.sent_at
                    ));
                }
                effects.push(execution);
            }
        }
    }

    /// Checks the ownership that one balancer reports against the ownership that all others report at this moment.
    fn check_ownership(&mut self, balancer: usize) {
        for user in 0..self.scenario.users {
            let session = session(user);
            let owned_epoch =
                |b: &Balancer, now| b.machine.as_ref().and_then(|s| s.owned_epoch(now, session));
            let own = owned_epoch(&self.balancers[balancer], self.local_time(balancer, self.now));
            let previous = self.balancers[balancer].owned_epochs.get(&user).copied();
            if own == previous {
                continue;
            }
            let Some(epoch) = own else {
                self.balancers[balancer].owned_epochs.remove(&user);
                continue;
            };
            self.balancers[balancer].owned_epochs.insert(user, epoch);
            for other in 0..self.balancers.len() {
                let now = self.local_time(other, self.now);
                if other != balancer
                    && let Some(other_epoch) = owned_epoch(&self.balancers[other], now)
                {
                    self.findings.ownership_violations.push(format!(
                        "session of user {user} at {} µs: balancer {balancer} owns it under {epoch:?}, \
                         balancer {other} under {other_epoch:?}",
                        self.now
                    ));
                }
            }
            let highest =
                self.highest_epochs.entry(user).or_insert((epoch, NodeId(balancer as u16)));
            if epoch < highest.0 || (epoch == highest.0 && highest.1 != NodeId(balancer as u16)) {
                self.findings.ownership_violations.push(format!(
                    "session of user {user}: {epoch:?} at {balancer} after {highest:?}"
                ));
            }
            *highest = (epoch, NodeId(balancer as u16));
            if let Some((at, zone)) = self.arrivals.get(&user).copied()
                && zone == self.balancers[balancer].zone
            {
                self.findings.takeover_times.push(self.now - at);
                self.arrivals.remove(&user);
            }
        }
    }

    pub fn request(&mut self, balancer: usize, user: u64, key: Option<u64>, is_repeat: bool) {
        if !self.is_alive(balancer) || self.now < self.balancers[balancer].paused_until {
            return;
        }
        self.next_id += 1;
        let id = self.next_id;
        let idempotency =
            key.map_or(Idempotency::Idempotent, |k| Idempotency::Keyed(IdempotencyKey(k)));
        self.findings.keyed += u64::from(key.is_some());
        self.balancers[balancer]
            .requests
            .insert(id, PendingRequest { user, key, requested_at: self.now, is_repeat });
        let first = self.scenario.marks_retries && !is_repeat;
        if self.scenario.without_records {
            let cells: Vec<u16> = (0..self.scenario.zones * CELLS_PER_ZONE)
                .filter(|p| {
                    p / CELLS_PER_ZONE == self.balancers[balancer].zone
                        && !self.excluded_cells.contains(p)
                })
                .collect();
            let Some(cell) = cells.get(user as usize % cells.len().max(1)) else { return };
            let until = Duration::from_secs(1 << 30);
            return self.on_decision(
                balancer,
                id,
                RoutingDecision::Send { cell: Cell(*cell), epoch: None, until },
            );
        }
        let deadline = self.local_time(balancer, self.now) + Duration::from_millis(1850);
        self.deliver(
            balancer,
            Event::Request { id, session: session(user), idempotency, first, deadline },
        );
    }

    /// Returns a random balancer of a zone, or `None` if that balancer is crashed or paused.
    pub fn random_balancer(&mut self, zone: u16) -> Option<usize> {
        let n = self.rng.rand_range(0..u64::from(self.scenario.balancers_per_zone)) as usize;
        let balancer = usize::from(zone * self.scenario.balancers_per_zone) + n;
        (self.is_alive(balancer) && self.now >= self.balancers[balancer].paused_until)
            .then_some(balancer)
    }

    pub fn crash(&mut self, balancer: usize) {
        let b = &mut self.balancers[balancer];
        if b.machine.take().is_none() {
            return;
        }
        b.incarnation = Incarnation(b.incarnation.0 + 1);
        b.requests.clear();
        b.owned_epochs.clear();
        let after = 20_000 + self.rng.rand_range(0..400_000);
        self.push(after, SimEvent::Recover { kind: 0, balancer: balancer as u16 });
    }

    pub fn pause(&mut self, balancer: usize, time: u64) {
        self.balancers[balancer].paused_until = self.now + time;
        self.push(time + 1, SimEvent::Recover { kind: 1, balancer: balancer as u16 });
    }

    /// Runs a round of the agreement on slots. A reachable balancer retains its slot; an unreachable one loses its slot
    /// once the granted time has passed.
    fn run_agreement(&mut self) {
        let mut slots = self.tables.last().cloned().unwrap_or_default();
        let version = self.tables.len() as u64;
        let mut changed = false;
        for balancer in 0..self.balancers.len() {
            let (node, incarnation) =
                (NodeId(balancer as u16), self.balancers[balancer].incarnation);
            let is_reachable = self.is_alive(balancer)
                && self.now >= self.balancers[balancer].paused_until
                && !self.balancers[balancer].cannot_reach_agreement;
            let slot = slots.iter().position(|s| s.node == node);
            let has_ended = self.granted_until.get(&node).is_none_or(|until| *until <= self.now);
            match slot {
                // The slot of a previous incarnation ends as soon as the new incarnation is reachable, and the slot of
                // an unreachable balancer with its lease.
                Some(at)
                    if (slots[at].incarnation != incarnation && is_reachable)
                        || (!is_reachable && has_ended) =>
                {
                    slots.remove(at);
                    changed = true;
                    if is_reachable {
                        let zone = Zone(self.balancers[balancer].zone);
                        slots.push(OwnerSlot { node, incarnation, zone, since: version });
                    }
                }
                None if is_reachable => {
                    slots.push(OwnerSlot {
                        node,
                        incarnation,
                        zone: Zone(self.balancers[balancer].zone),
                        since: version,
                    });
                    changed = true;
                }
                _ => {}
            }
        }
        if changed {
            self.tables.push(slots);
            for balancer in 0..self.balancers.len() {
                let after = self.rng.rand_range(0..60_000);
                self.push(after, SimEvent::OwnershipTable { of: NodeId(balancer as u16) });
            }
        }
        for balancer in 0..self.balancers.len() {
            if self.balancers[balancer].table_version > 0 {
                self.extend_slot(balancer);
            }
        }
        self.push(50_000, SimEvent::RunAgreement);
    }

    /// Extends a balancer's slot, if the newest table contains the slot.
    fn extend_slot(&mut self, balancer: usize) {
        if !self.is_alive(balancer)
            || self.now < self.balancers[balancer].paused_until
            || self.balancers[balancer].cannot_reach_agreement
        {
            return;
        }
        let (node, incarnation) = (NodeId(balancer as u16), self.balancers[balancer].incarnation);
        let newest = self.tables.len() as u64 - 1;
        let slot = self.tables.last().and_then(|t| t.iter().find(|s| s.node == node)).copied();
        if slot.is_none_or(|s| {
            s.incarnation != incarnation || self.balancers[balancer].table_version < s.since
        }) && self.balancers[balancer].table_version > 0
        {
            return;
        }
        let until = self.local_time(balancer, self.now)
            + Duration::from_micros(self.scenario.lease * 99 / 100);
        self.granted_until.insert(node, self.now + self.scenario.lease * 101 / 100);
        let version = self.balancers[balancer].table_version;
        if version <= newest {
            self.deliver(balancer, Event::SlotExtended { version, until });
        }
    }

    fn deliver_table(&mut self, balancer: usize) {
        if !self.is_alive(balancer)
            || self.now < self.balancers[balancer].paused_until
            || self.balancers[balancer].cannot_reach_agreement
        {
            return;
        }
        let version = self.tables.len() as u64 - 1;
        if version <= self.balancers[balancer].table_version {
            return;
        }
        let slots = self.tables[version as usize].clone();
        let (node, incarnation) = (NodeId(balancer as u16), self.balancers[balancer].incarnation);
        let lease = Duration::from_micros(self.scenario.lease * 99 / 100);
        let mut until = Duration::ZERO;
        if slots.iter().any(|s| (s.node, s.incarnation) == (node, incarnation)) {
            until = self.local_time(balancer, self.now) + lease;
            self.granted_until.insert(node, self.now + self.scenario.lease * 101 / 100);
        }
        self.balancers[balancer].table_version = version;
        self.deliver(balancer, Event::TableChanged { version, until, slots });
    }

    fn inject_fault(&mut self) {
        let balancer = self.rng.rand_range(0..self.balancers.len() as u64) as usize;
        let time = self.rng.rand_range(10_000..3 * self.scenario.lease);
        match self.rng.rand_range(0..6) {
            0 | 1 => self.crash(balancer),
            2 => self.pause(balancer, time),
            3 => {
                // Zones cannot reach each other, and one of them cannot take part in the agreement.
                self.is_partitioned = true;
                let zone = self.rng.rand_range(0..u64::from(self.scenario.zones)) as u16;
                for b in self.balancers.iter_mut().filter(|b| b.zone == zone) {
                    b.cannot_reach_agreement = true;
                }
                self.push(2 * time, SimEvent::Recover { kind: 2, balancer: 0 });
            }
            4 => {
                self.balancers[balancer].cannot_reach_agreement = true;
                self.push(time, SimEvent::Recover { kind: 2, balancer: 0 });
            }
            _ => {
                let zone = self.balancers[balancer].zone;
                for balancer in 0..self.balancers.len() {
                    if self.balancers[balancer].zone == zone && self.sample_bool(0.8) {
                        self.crash(balancer);
                    }
                }
            }
        }
        let after = self.scenario.mean_fault_interval / 2
            + self.rng.rand_range(0..self.scenario.mean_fault_interval);
        self.push(after, SimEvent::Fault);
    }

    fn toggle_random_cell(&mut self) {
        let p = self.rng.rand_range(0..u64::from(self.scenario.zones * CELLS_PER_ZONE)) as u16;
        if !self.excluded_cells.remove(&p) && self.excluded_cells.len() < 2 {
            self.excluded_cells.insert(p);
        }
        self.revisions.push(self.excluded_cells.clone());
        for balancer in 0..self.balancers.len() {
            let after = self.rng.rand_range(0..300_000);
            self.push(after, SimEvent::CellsChanged { of: NodeId(balancer as u16) });
        }
        self.push(400_000, SimEvent::ExcludeCell);
    }

    fn run_user_step(&mut self, user: u64) {
        let zone = self.zone_of_user[&user];
        let move_probability = self.scenario.move_probability;
        if self.scenario.zones > 1 && self.sample_bool(move_probability) {
            let to = (zone + 1 + self.rng.rand_range(0..u64::from(self.scenario.zones - 1)) as u16)
                % self.scenario.zones;
            self.zone_of_user.insert(user, to);
            let new_zone = self.balancers.iter().filter(|b| b.zone == to);
            // A session that the new zone already owns needs no transfer.
            if !new_zone.clone().any(|b| b.owned_epochs.contains_key(&user)) {
                self.arrivals.insert(user, (self.now, to));
            }
        }
        let zone = self.zone_of_user[&user];
        let keyed = self.sample_bool(0.6);
        if let Some(balancer) = self.random_balancer(zone) {
            if keyed {
                self.next_key += 1;
                let key = self.next_key;
                self.request(balancer, user, Some(key), false);
                if self.sample_bool(0.6) {
                    // The key is repeated in the same zone, in another one, or in both at once.
                    let remaining = self.rng.rand_range(0..3) as u32;
                    let after = self.sample_repeat_delay();
                    let to = self.rng.rand_range(0..u64::from(self.scenario.zones)) as u16;
                    self.push(after, SimEvent::RepeatKey { user, key, zone: to, remaining });
                    if self.sample_bool(0.3) {
                        self.push(
                            after,
                            SimEvent::RepeatKey { user, key, zone: zone ^ 1, remaining: 0 },
                        );
                    }
                }
            } else {
                self.request(balancer, user, None, false);
            }
        }
        let interval = self.scenario.request_interval;
        let after = interval / 2 + self.rng.rand_range(0..interval);
        self.push(after, SimEvent::UserStep { user });
    }

    fn sample_repeat_delay(&mut self) -> u64 {
        match self.rng.rand_range(0..4) {
            0 => self.rng.rand_range(0..2_000),
            1 => self.rng.rand_range(0..60_000),
            _ => self.rng.rand_range(0..self.scenario.dedup_window),
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Message { from, incarnation, to, bytes } => {
                let receiver = usize::from(to.0);
                if self.now < self.balancers[receiver].paused_until {
                    // The socket of a paused balancer buffers the message.
                    let after = self.balancers[receiver].paused_until - self.now + 2;
                    return self.push(after, SimEvent::Message { from, incarnation, to, bytes });
                }
                // The transport delivers no message of a previous incarnation.
                if self.balancers[usize::from(from.0)].incarnation == incarnation {
                    self.deliver(receiver, Event::Message { from, incarnation, message: bytes });
                }
            }
            SimEvent::Wake { of, incarnation, at } => {
                let balancer = usize::from(of.0);
                if self.balancers[balancer].incarnation == incarnation {
                    if self.now < self.balancers[balancer].paused_until {
                        let after = self.balancers[balancer].paused_until - self.now + 1;
                        return self.push(after, SimEvent::Wake { of, incarnation, at });
                    }
                    self.deliver(balancer, Event::Due);
                }
            }
            SimEvent::UserStep { user } => self.run_user_step(user),
            SimEvent::RepeatKey { user, key, zone, remaining } => {
                if let Some(balancer) = self.random_balancer(zone % self.scenario.zones) {
                    self.request(balancer, user, Some(key), true);
                }
                if remaining > 0 {
                    let after = self.sample_repeat_delay();
                    let zone = self.rng.rand_range(0..u64::from(self.scenario.zones)) as u16;
                    self.push(
                        after,
                        SimEvent::RepeatKey { user, key, zone, remaining: remaining - 1 },
                    );
                }
            }
            SimEvent::Sent { of, incarnation, id } => {
                if self.balancers[usize::from(of.0)].incarnation == incarnation {
                    self.deliver(usize::from(of.0), Event::Sent { id });
                }
            }
            SimEvent::Done { of, incarnation, id, status } => {
                let balancer = usize::from(of.0);
                if self.balancers[balancer].incarnation == incarnation {
                    self.deliver(balancer, Event::Finished { id, status });
                }
            }
            SimEvent::RunAgreement => self.run_agreement(),
            SimEvent::OwnershipTable { of } => self.deliver_table(usize::from(of.0)),
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Recover { kind: 0, balancer } => {
                self.start(usize::from(balancer));
                let after = self.rng.rand_range(50_000..150_000);
                self.push(after, SimEvent::OwnershipTable { of: NodeId(balancer) });
            }
            SimEvent::Recover { kind: 1, balancer } => {
                self.push(0, SimEvent::OwnershipTable { of: NodeId(balancer) });
                self.push(0, SimEvent::CellsChanged { of: NodeId(balancer) });
                self.deliver(usize::from(balancer), Event::Due);
            }
            SimEvent::Recover { .. } => {
                self.is_partitioned = false;
                for balancer in 0..self.balancers.len() {
                    self.balancers[balancer].cannot_reach_agreement = false;
                    self.push(1_000, SimEvent::OwnershipTable { of: NodeId(balancer as u16) });
                }
            }
            SimEvent::ExcludeCell => self.toggle_random_cell(),
            SimEvent::CellsChanged { of } => self.deliver_cells(usize::from(of.0)),
        }
    }

    /// Runs until the true time `until`.
    pub fn run_until(&mut self, until: u64) {
        while self.queue.peek().is_some_and(|d| d.at <= until) {
            let Some(due) = self.queue.pop() else { return };
            self.now = self.now.max(due.at);
            self.handle(due.event);
        }
        self.now = self.now.max(until);
    }

    /// Runs the scenario and checks the executions.
    pub fn run(mut self) -> Findings {
        self.run_until(self.scenario.duration);
        self.end()
    }

    /// Ends the run, checks the executions and counts the requests that were not routed in time.
    pub fn end(mut self) -> Findings {
        self.check();
        let is_running = |b: &&Balancer| b.paused_until + 100_000 < self.now;
        let pending = self.balancers.iter().filter(is_running).flat_map(|b| b.requests.values());
        self.findings.unrouted =
            pending.filter(|request| request.requested_at + 2_200_000 < self.now).count() as u64;
        self.findings
    }

    pub fn machine(&self, balancer: usize) -> Option<&Sessions> {
        self.balancers[balancer].machine.as_ref()
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    /// Moves a user to a zone.
    pub fn move_user(&mut self, user: u64, zone: u16) {
        self.zone_of_user.insert(user, zone);
        self.arrivals.insert(user, (self.now, zone));
    }

    pub fn exclude_cell(&mut self, cell: u16) {
        self.excluded_cells.insert(cell);
        self.revisions.push(self.excluded_cells.clone());
        for balancer in 0..self.balancers.len() {
            self.deliver_cells(balancer);
        }
    }
}

pub fn session(user: u64) -> SessionId {
    SessionId((user + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Runs scenarios, three at a time, and returns the findings of each in order.
pub fn run_scenarios(scenarios: Vec<Scenario>) -> Vec<(Scenario, Findings)> {
    let thread_count = 3;
    let mut results: Vec<(usize, Scenario, Findings)> = std::thread::scope(|scope| {
        let scenarios = &scenarios;
        let run_part = |part: usize| {
            move || -> Vec<(usize, Scenario, Findings)> {
                let part = scenarios.iter().enumerate().skip(part).step_by(thread_count);
                part.map(|(n, scenario)| {
                    (n, scenario.clone(), Simulation::new(scenario.clone()).run())
                })
                .collect()
            }
        };
        let threads: Vec<_> = (0..thread_count).map(|part| scope.spawn(run_part(part))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a simulation panicked")).collect()
    });
    results.sort_by_key(|(n, ..)| *n);
    results.into_iter().map(|(_, scenario, findings)| (scenario, findings)).collect()
}
