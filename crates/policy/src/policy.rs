//! Every decision of the balancer, and nothing else: no clock, no I/O, no threads.
//! Its interface (settings, events, actions) is `interface.rs`; its plain records are `state.rs`.
//! The ordinary path is Ould Deye et al.'s: a first-come queue, at most `K_i = 2*TP_i/TS_i + 1` requests out
//! per upstream, and refusal once queued plus in-flight reach the sum of `N_i = T_QoS / (2*TP_i + TS_i)`.

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
use crate::fleet::FleetEstimates;
use crate::interface::{Action, Event, Refusal, Settings, SettingsError, Span, Status, Time};
use crate::list_polling::ListPoller;
use crate::queue::Queue;
use crate::quotas::Quotas;
use crate::ranks::Ranks;
use crate::upstreams::{Server, Upstreams};
use estimation::TS_PRIOR_OF_QOS;
use fair_share::LEEWAY;
use hedging::CHECKS_PER_EVENT;
use sweep::Sweep;

const SWEEP_TIMER: u64 = 1;
pub(super) const LIST_POLL_TIMER: u64 = 2;

/// One proxy's share of the bank: all its decisions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Arc<Settings>,
    t_qos: f64,
    rng: Rand64,
    started: bool,
    pub(crate) upstreams: Upstreams,
    queue: Queue,
    /// How far the sweep over the ring is, and how much it still owes.
    sweep_position: usize,
    sweep_remaining: usize,
    /// Upstreams with lanes on trial, and those whose idle connections are closed.
    probed: Vec<usize>,
    closing: Vec<usize>,
    /// Attempts that are out, and further ones that what is overdue may still have.
    tracker: AttemptTracker,
    hedge_budget: f64,
    pub(crate) max_attempts: usize,
    pub(crate) fleet: FleetEstimates,
    /// Classes by worth for their work, and what each tenant may still send within its share.
    pub(crate) ranks: Ranks,
    quotas: Quotas,
    list_poller: ListPoller,
    /// Whether the list may not be acted on.
    expired: bool,
    /// Sends to cold upstreams that had not been earned.
    overdrafts: u64,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else yet. Its first event starts its timers: give it
    /// what list there is right away, if only an empty [`ListKind::Restored`].
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let settings = settings.checked()?;
        let t_qos = estimation::t_qos(&settings);
        let classes = settings.classes.len();
        let settings = Arc::new(settings);
        Ok(Self {
            t_qos,
            rng: Rand64::new(u128::from(seed)),
            started: false,
            upstreams: Upstreams::new(settings.clone()),
            max_attempts: settings.limits.max_attempts,
            queue: Queue::default(),
            sweep_position: 0,
            sweep_remaining: 0,
            probed: Vec::new(),
            closing: Vec::new(),
            tracker: AttemptTracker::new(settings.classes.iter().map(|c| c.latency_objective)),
            hedge_budget: 1.0,
            ranks: Ranks::new(classes, 1.0),
            fleet: FleetEstimates {
                ts: t_qos * TS_PRIOR_OF_QOS,
                mean_latency: vec![0.0; classes],
                latency_deviation: vec![0.0; classes],
                unanswered_share: vec![0.0; classes],
                tolerable_wait: t_qos * TS_PRIOR_OF_QOS,
                paced_ts: t_qos * TS_PRIOR_OF_QOS,
                probed_at: Time(i64::MIN),
                answers: 1.0,
                answers_by_class: vec![0.0; classes],
                leeway: LEEWAY,
                baseline_ts: t_qos,
                decayed_at: now,
                ..FleetEstimates::default()
            },
            quotas: Quotas::new(&settings, now),
            list_poller: ListPoller::new(&settings, now, 0.0),
            expired: false,
            overdrafts: 0,
            settings,
        })
    }

    /// Takes in what happened and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            self.start(now, out);
        }
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
        match event {
            Event::Members { kind, list } => self.members(now, kind, list, out),
            Event::ListCallRejected => {
                self.list_poller.rejected(now, self.rng.rand_float());
                self.arm_list_poll(out);
            }
            Event::ListExpired => {
                self.expired = true;
                let queued = self.queue.queued();
                self.give_up_all(queued, Refusal::ListExpired, out);
            }
            Event::Request(r) => self.request(now, r, out),
            Event::Answered(a) => self.outcome(now, a, out),
            Event::BodyReceived { request, send_deadline } => {
                self.body_complete(now, request, send_deadline)
            }
            Event::Started(id) | Event::ClientLeft(id) => self.end(id),
            Event::Timer(token) => self.timer(now, token, out),
            Event::Probed { .. } => {}
        }
    }

    /// How many sends to cold upstreams had not been earned, since the last call: each is a fault of this
    /// module.
    pub fn take_overdrafts(&mut self) -> u64 {
        std::mem::take(&mut self.overdrafts)
    }

    /// So long before its time a held request is given up.
    pub(super) fn give_up_margin(&self) -> Span {
        Span(2 * sweep::sweep_every(&self.settings).0)
    }

    /// Begins to keep time and to ask for the list, with the first event.
    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.list_poller = ListPoller::new(&self.settings, now, self.rng.rand_float());
        self.arm_list_poll(out);
        self.arm_sweep(now, out);
    }

    fn arm_sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::Arm {
            token: SWEEP_TIMER,
            at: now.plus(sweep::sweep_every(&self.settings)),
        });
    }

    fn timer(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        match token {
            LIST_POLL_TIMER => return self.poll_list(now, out),
            SWEEP_TIMER => {}
            _ => return,
        }
        let sweep_slice = self.sweep_slice();
        self.collect_due(now, sweep_slice);
        self.tracker.begin_round();
        self.check_due(now, sweep_slice);
        self.sweep(now, sweep_slice, Sweep::Timer);
        let late = self.queue.take_expired(now);
        self.give_up_all(late, Refusal::HeldTooLong, out);
        self.dispatch(now, out);
        let late = |s: &Server| s.status == Status::Live || now > s.close_idle_until;
        self.closing.sort_unstable();
        self.closing.dedup();
        self.closing.retain(|i| !late(&self.upstreams.servers[*i]));
        for i in self.closing.clone() {
            self.close_idle_connections(now, i, out);
        }
        self.poll_list(now, out);
        self.arm_sweep(now, out);
    }
}
