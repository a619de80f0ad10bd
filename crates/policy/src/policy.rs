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

use crate::attempt_tracker::Out;
use crate::fleet::Fleet;
use crate::interface::{Action, Event, Refusal, Settings, SettingsError, Span, Status, Time};
use crate::list_polling::Asking;
use crate::queue::Queue;
use crate::quotas::Quotas;
use crate::ranks::Ranks;
use crate::upstreams::{Server, Upstreams};
use estimation::TS_PRIOR_OF_QOS;
use fair_share::LEEWAY;
use hedging::SLIVER;
use sweep::Sweep;

const SWEEP: u64 = 1;
pub(super) const ASK: u64 = 2;

/// One proxy's share of the bank: all its decisions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Arc<Settings>,
    t_qos: f64,
    rng: Rand64,
    started: bool,
    pub(crate) up: Upstreams,
    queue: Queue,
    /// How far the sweep over the ring is, and how much it still owes.
    at: usize,
    owed: usize,
    /// Upstreams with lanes on trial, and those whose idle connections are closed.
    trying: Vec<usize>,
    closing: Vec<usize>,
    /// Attempts that are out, and further ones that what is overdue may still have.
    out: Out,
    extra: f64,
    pub(crate) max_attempts: usize,
    pub(crate) fleet: Fleet,
    /// Classes by worth for their work, and what each tenant may still send within its share.
    pub(crate) ranks: Ranks,
    quotas: Quotas,
    ask: Asking,
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
            up: Upstreams::new(settings.clone()),
            max_attempts: settings.limits.max_attempts,
            queue: Queue::default(),
            at: 0,
            owed: 0,
            trying: Vec::new(),
            closing: Vec::new(),
            out: Out::new(settings.classes.iter().map(|c| c.latency_objective)),
            extra: 1.0,
            ranks: Ranks::new(classes, 1.0),
            fleet: Fleet {
                ts: t_qos * TS_PRIOR_OF_QOS,
                mean: vec![0.0; classes],
                dev: vec![0.0; classes],
                hopeless: vec![0.0; classes],
                bearable: t_qos * TS_PRIOR_OF_QOS,
                paced: t_qos * TS_PRIOR_OF_QOS,
                tried: Time(i64::MIN),
                answers: 1.0,
                of_class: vec![0.0; classes],
                leeway: LEEWAY,
                good: t_qos,
                counted: now,
                ..Fleet::default()
            },
            quotas: Quotas::new(&settings, now),
            ask: Asking::new(&settings, now, 0.0),
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
        for _ in 0..self.slice() {
            let Some(server) = self.up.timers.due(now.0) else { break };
            self.touch(now, server);
        }
        self.queue.rested(now);
        self.queue.tidy();
        self.quotas.drop_full(now, &self.settings);
        if !matches!(event, Event::Timer(_) | Event::Members { .. }) {
            self.ripen(now, SLIVER);
            self.watch(now, SLIVER);
            if self.owed > 0 {
                self.sweep(now, 1, Sweep::Rest);
            }
        }
        match event {
            Event::Members { kind, list } => self.members(now, kind, list, out),
            Event::ListCallRejected => {
                self.ask.turned_away(now, self.rng.rand_float());
                self.arm_ask(out);
            }
            Event::ListExpired => {
                self.expired = true;
                let held = self.queue.held();
                self.give_up_all(held, Refusal::ListExpired, out);
            }
            Event::Request(r) => self.request(now, r, out),
            Event::Answered(a) => self.outcome(now, a, out),
            Event::BodyReceived { request, send_deadline } => {
                self.whole(now, request, send_deadline)
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
    pub(super) fn early(&self) -> Span {
        Span(2 * sweep::sweep_every(&self.settings).0)
    }

    /// Begins to keep time and to ask for the list, with the first event.
    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ask = Asking::new(&self.settings, now, self.rng.rand_float());
        self.arm_ask(out);
        self.arm(now, out);
    }

    fn arm(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::Arm { token: SWEEP, at: now.plus(sweep::sweep_every(&self.settings)) });
    }

    fn timer(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        match token {
            ASK => return self.ask_for_list(now, out),
            SWEEP => {}
            _ => return,
        }
        let slice = self.slice();
        self.ripen(now, slice);
        self.out.begin();
        self.watch(now, slice);
        self.sweep(now, slice, Sweep::Timer);
        let late = self.queue.overheld(now);
        self.give_up_all(late, Refusal::HeldTooLong, out);
        self.dispatch(now, out);
        let late = |s: &Server| s.status == Status::Live || now > s.close_until;
        self.closing.sort_unstable();
        self.closing.dedup();
        self.closing.retain(|i| !late(&self.up.servers[*i]));
        for i in self.closing.clone() {
            self.close_idle(now, i, out);
        }
        self.ask_for_list(now, out);
        self.arm(now, out);
    }
}
