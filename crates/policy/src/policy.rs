//! The facade of the decision module: [`Balancer`] takes events and returns actions. The module
//! reads no clock, does no I/O and starts no threads.
//!
//! The design is that of Ould Deye et al.: a first-come, first-served queue, at most
//! `K_i = 2*TP_i/TS_i + 1` attempts in flight for each upstream, and rejection once queued plus
//! in-flight requests reach the sum of `N_i = T_QoS / (2*TP_i + TS_i)`.
//!
//! Each decision has a module of its own. A request passes through `admission`, `dispatch` and
//! `selection`, and the outcome of an attempt through `outlier` and `retry`. Timers drive
//! `hedging`, `sweep` and `concurrency`; the endpoint list drives `membership`. All of these
//! modules use `estimation` (K_i and N_i), `slow_start` and `fair_share`.

mod admission;
mod concurrency;
mod dispatch;
mod estimation;
mod fair_share;
mod hedging;
mod membership;
mod outlier;
mod retry;
mod selection;
mod slow_start;
mod sweep;

use std::sync::Arc;

use oorandom::Rand64;

use crate::attempt_tracker::AttemptTracker;
use crate::interface::{Action, Event, Refusal, Settings, SettingsError, SignedDuration, Time};
use crate::list_polling::ListPoller;
use crate::overall::OverallEstimates;
use crate::queue::Queue;
use crate::quotas::Quotas;
use crate::ranks::Ranks;
use crate::upstreams::Upstreams;
use hedging::CHECKS_PER_EVENT;
use sweep::Sweep;

/// Token of the timer for sweeps.
const SWEEP_TIMER: u64 = 1;
/// Token of the timer for polls of the endpoint list.
const LIST_POLL_TIMER: u64 = 2;

/// Decides for one balancer which upstream a request is sent to, whether it is retried, and whether
/// it is rejected.
///
/// A `Balancer` is a state machine: the caller delivers each event to [`Self::handle`] and carries
/// out the returned actions in order.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Arc<Settings>,
    /// T_QoS in microseconds.
    t_qos: f64,
    rng: Rand64,
    /// Whether the first event has been delivered.
    started: bool,
    pub(crate) upstreams: Upstreams,
    /// Live requests, and the order of the queued ones.
    queue: Queue,
    /// Index on the ring at which the next sweep begins.
    sweep_position: usize,
    /// Number of upstreams that the last sweep left to the following events.
    sweep_remaining: usize,
    /// Slots of upstreams with a concurrency probe.
    probed: Vec<usize>,
    /// Slots of draining or withdrawn upstreams whose idle connections each sweep still closes.
    closing: Vec<usize>,
    /// Attempts in flight, ordered by the time at which they may become overdue.
    tracker: AttemptTracker,
    /// Number of hedges that may still be sent.
    hedge_budget: f64,
    pub(crate) max_attempts: usize,
    pub(crate) overall: OverallEstimates,
    /// Classes ranked by priority weight per unit of work.
    pub(crate) ranks: Ranks,
    /// Token buckets of the tenants.
    quotas: Quotas,
    list_poller: ListPoller,
    /// Whether the endpoint list is too old to be acted on.
    expired: bool,
    /// Number of sends that slow start did not allow, since the last
    /// [`Self::take_overdrafts`].
    overdrafts: u64,
}

impl Balancer {
    /// Creates a balancer with these settings and without upstreams.
    ///
    /// The first event starts the timers of the balancer, so the caller delivers its stored
    /// endpoint list at once, or else an empty
    /// [`ListKind::Restored`](crate::interface::ListKind::Restored).
    ///
    /// # Errors
    /// Returns an error if [`Settings::checked`] rejects the settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let settings = Arc::new(settings.checked()?);
        let t_qos = estimation::t_qos(&settings);
        let classes = settings.classes.len();
        let objectives = settings.classes.iter().map(|c| c.latency_objective);
        Ok(Self {
            t_qos,
            rng: Rand64::new(u128::from(seed)),
            started: false,
            upstreams: Upstreams::new(settings.clone()),
            queue: Queue::default(),
            sweep_position: 0,
            sweep_remaining: 0,
            probed: Vec::new(),
            closing: Vec::new(),
            tracker: AttemptTracker::new(objectives),
            hedge_budget: 1.0,
            max_attempts: settings.limits.max_attempts,
            overall: estimation::prior(t_qos, classes, now),
            ranks: Ranks::new(classes, 1.0),
            quotas: Quotas::new(&settings, now),
            list_poller: ListPoller::new(&settings, now, 0.0),
            expired: false,
            overdrafts: 0,
            settings,
        })
    }

    /// Handles an event at the time `now`, and appends the resulting actions to `out` in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            self.start(now, out);
        }
        self.catch_up(now, &event);
        match event {
            Event::Members { kind, list } => self.on_members(now, kind, list, out),
            Event::ListCallRejected => {
                self.list_poller.rejected(now, self.rng.rand_float());
                self.arm_list_poll(out);
            }
            Event::ListExpired => {
                self.expired = true;
                let queued = self.queue.queued();
                self.give_up_all(queued, Refusal::ListExpired, out);
            }
            Event::Request(request) => self.on_request(now, request, out),
            Event::AttemptCompleted(completed) => self.on_attempt_completed(now, completed, out),
            Event::BodyReceived { request, send_deadline } => {
                self.on_body_received(now, request, send_deadline)
            }
            Event::Started(id) | Event::ClientCancelled(id) => self.finish(id),
            Event::Timer(token) => self.on_timer(now, token, out),
            Event::HealthChecked { .. } => {}
        }
    }

    /// Returns the number of sends since the last call that slow start did not allow. Each of them
    /// is a bug in this module.
    pub fn take_overdrafts(&mut self) -> u64 {
        std::mem::take(&mut self.overdrafts)
    }

    /// Does a bounded amount of due work before the event itself is handled.
    fn catch_up(&mut self, now: Time, event: &Event) {
        for _ in 0..self.sweep_slice() {
            let Some(server) = self.upstreams.timers.due(now.0) else { break };
            self.refresh_availability(now, server);
        }
        self.queue.resume_rested_keys(now);
        self.queue.drop_stale_give_ups();
        self.quotas.drop_full(now, &self.settings);
        if !matches!(event, Event::Timer(_) | Event::Members { .. }) {
            self.collect_due(now, CHECKS_PER_EVENT);
            self.check_due(now, CHECKS_PER_EVENT);
            if self.sweep_remaining > 0 {
                self.sweep(now, 1, Sweep::Rest);
            }
        }
    }

    /// Returns how long before the end of its latency objective a queued request is given up: the
    /// time of two sweeps.
    fn give_up_margin(&self) -> SignedDuration {
        SignedDuration(2 * sweep::sweep_every(&self.settings).0)
    }

    /// Starts the timers when the first event is delivered.
    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.list_poller = ListPoller::new(&self.settings, now, self.rng.rand_float());
        self.arm_list_poll(out);
        self.arm_sweep(now, out);
    }

    fn arm_sweep(&self, now: Time, out: &mut Vec<Action>) {
        let at = now.plus(sweep::sweep_every(&self.settings));
        out.push(Action::Arm { token: SWEEP_TIMER, at });
    }

    fn on_timer(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        match token {
            LIST_POLL_TIMER => self.poll_list(now, out),
            SWEEP_TIMER => self.on_sweep_timer(now, out),
            _ => {}
        }
    }

    fn on_sweep_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        let slice = self.sweep_slice();
        self.collect_due(now, slice);
        self.tracker.begin_round();
        self.check_due(now, slice);
        self.sweep(now, slice, Sweep::Timer);
        let expired = self.queue.take_expired(now);
        self.give_up_all(expired, Refusal::QueuedTooLong, out);
        self.dispatch(now, out);
        self.close_idle_of_departed(now, out);
        self.poll_list(now, out);
        self.arm_sweep(now, out);
    }
}
