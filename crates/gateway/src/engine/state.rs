//! The state of the engine, and its exchange with the decision module.
//!
//! Every event goes to the decision module in the order of arrival, and every action is executed in the order in which the
//! module returns them. The engine makes no decisions of its own.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::Network;
use hollowpaddle_policy::interface::{Action, Class, Event, RequestId, Settings, SignedDuration};
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_subset::Cluster;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::EngineError;
use super::clock::Clock;
use super::event::{EngineEvent, FinishedAttempt};
use super::list_watch::ListWatch;
use super::requests::ActiveRequest;
use super::timers::{Timer, Timers};
use crate::cluster::{PolicyReader, PolicySnapshot};
use crate::config::Config;
use crate::freshness::Freshness;
use crate::invariants::{Invariant, Violations};
use crate::membership::Membership;
use crate::send_guard::{DRAIN_MARGIN, MAX_PROCESS_STALL};
use crate::start_times::StartTimes;
use crate::subsetting::Subsetting;
use crate::update_queue::UpdateQueue;
use crate::upstreams::Pool;

/// Limits on the attempts of a request, from the settings.
pub(super) struct RequestLimits {
    /// The classes, by their index.
    pub(super) classes: Vec<Class>,
    /// Maximum number of attempts of one request in total.
    pub(super) max_attempts: usize,
    /// Whether a request may have two attempts in flight.
    pub(super) allows_hedging: bool,
}

/// The state shared by the handlers of all event sources.
pub(super) struct EngineState {
    pub(super) balancer: Balancer,
    pub(super) clock: Clock,
    pub(super) timers: Timers,
    /// The channel to which the engine's tasks, and the engine itself, send events.
    pub(super) events: mpsc::UnboundedSender<EngineEvent>,
    pub(super) requests: FxHashMap<RequestId, ActiveRequest>,
    pub(super) limits: RequestLimits,
    /// Ends of attempts that no task reports. The engine handles them after the current actions are executed.
    pub(super) finished_without_task: VecDeque<FinishedAttempt>,
    pub(super) network: Rc<dyn Network>,
    pub(super) pool: Rc<Pool>,
    pub(super) upstreams: Membership,
    /// The subset of upstreams that the decision module knows; `None` if it knows all of them.
    pub(super) subset: Option<Subsetting>,
    pub(super) update_queue: UpdateQueue,
    pub(super) list_watch: ListWatch,
    /// Whether any upstream can receive requests.
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) violations: Violations,
    /// Reads the routing policy of the cluster; `None` without a cluster.
    pub(super) cluster: Option<Rc<dyn PolicyReader>>,
    /// The policy that was applied last.
    pub(super) applied_policy: Option<PolicySnapshot>,
    /// An empty buffer, reused to avoid allocations.
    actions: Vec<Action>,
}

impl EngineState {
    /// Creates the state before any list is known.
    ///
    /// # Errors
    /// Fails if the settings or the size of the subset can't be used.
    pub(super) fn new(
        config: &Config,
        pool: Rc<Pool>,
        network: Rc<dyn Network>,
        cluster: Option<Rc<dyn PolicyReader>>,
        events: mpsc::UnboundedSender<EngineEvent>,
    ) -> Result<Self, EngineError> {
        let clock = Clock::new(network.unix_now());
        let settings = policy_settings(config, cluster.is_some());
        let limits = RequestLimits {
            classes: settings.classes.clone(),
            max_attempts: settings.limits.max_attempts,
            allows_hedging: settings.limits.hedging,
        };
        let sends_end_after = duration(settings.rules.drain_grace).saturating_sub(DRAIN_MARGIN);
        let freshness = Freshness::new(sends_end_after, Instant::now());
        let warm_up = duration(settings.rules.warm_up);
        let start_times = StartTimes::new(clock.start(), clock.start_unix(), warm_up);
        let position = Cluster { balancers: settings.balancers, position: settings.position };
        let subset = config.subset.map(|size| Subsetting::new(size, position)).transpose()?;
        let list_watch = ListWatch::new(config.discovery, settings.polls_list, freshness);
        Ok(Self {
            balancer: Balancer::new(settings, config.seed, clock.now())?,
            clock,
            timers: Timers::default(),
            events,
            requests: FxHashMap::default(),
            limits,
            finished_without_task: VecDeque::new(),
            network,
            pool,
            upstreams: Membership::new(config, sends_end_after, start_times),
            subset,
            update_queue: UpdateQueue::default(),
            list_watch,
            ready: Rc::new(Cell::new(false)),
            violations: Violations::default(),
            cluster,
            applied_policy: None,
            actions: Vec::new(),
        })
    }

    /// Passes an event to the decision module, executes the resulting actions, and handles attempts that end meanwhile.
    pub(super) fn notify_policy(&mut self, event: Event) {
        self.apply_event(event);
        self.handle_finished_without_task();
    }

    /// Handles the ends of attempts that no task reports.
    pub(super) fn handle_finished_without_task(&mut self) {
        while let Some(finished) = self.finished_without_task.pop_front() {
            self.on_attempt_finished(finished);
        }
    }

    /// Passes an event to the decision module, and executes the actions that it returns.
    pub(super) fn apply_event(&mut self, event: Event) {
        self.balancer.handle(self.clock.now(), event, &mut self.actions);
        for _ in 0..self.balancer.take_overdrafts() {
            self.violations.count(Invariant::SlowStartExceeded, None, None);
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout, send_by } => {
                self.start_attempt(request, server, timeout, send_by);
            }
            Action::Refuse { request, retry_after, reason } => {
                tracing::debug!(request = request.0, reason = reason.name(), "request rejected");
                self.reject(request, retry_after);
            }
            Action::Fail { request } => {
                tracing::debug!(request = request.0, "request failed");
                self.fail(request);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Arm { token, at } => {
                self.timers.arm(self.clock.instant(at), Timer::Policy(token));
            }
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe => self.open_watch(),
            // Upstreams accept no probes here, and the decision module then requests none.
            Action::Probe { .. } => {}
        }
    }
}

/// Derives the settings of the decision module from the configuration.
fn policy_settings(config: &Config, has_cluster: bool) -> Settings {
    let mut settings = config.facts.settings();
    settings.bars_classes = has_cluster;
    // An attempt sent at the very end of a window may be written one process stall later.
    let max_stall = SignedDuration(MAX_PROCESS_STALL.as_micros() as i64);
    for class in &mut settings.classes {
        class.window = SignedDuration((class.window.0 - max_stall.0).max(0));
    }
    settings
}

fn duration(span: SignedDuration) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}
