//! Owns the decision module, the table of requests and the timers. Feeds the module every event in the
//! order it came, and carries out its actions in the order it gave them. Decides nothing.

mod handle;
mod list_watch;
mod retry_safety;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::Network;
use hollowpaddle_policy::interface;
use hollowpaddle_policy::interface::{
    Action, Event, ListKind, Outcome, RequestId, ServerId, Span, Time,
};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_revision::lists;
use hollowpaddle_subset::{Cluster, SizeError};
use hyper::Response;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::cluster::{Held as Rules, Listed, News as ClusterEvent, PolicyReader};
use crate::config::Config;
use crate::discovery::{CallTimeout, News};
use crate::freshness::Freshness;
use crate::invariants::{Invariant, Violations};
use crate::members::{List, Phase};
use crate::membership::{Membership, Part};
use crate::response_body::ResponseBody;
use crate::restored_list::RestoredList;
use crate::send_guard::{DRAIN_MARGIN, MAX_PROCESS_STALL, PolicyCheck, SendGuard};
use crate::start_times::{Delivery, StartTimes};
use crate::stream::Cancellation;
use crate::subsetting::Subsetting;
use crate::tasks::AbortOnDrop;
use crate::update_queue::UpdateQueue;
use crate::upstreams::{AttemptLimits, Ended, ForwardedRequest, Pool};
pub use handle::{Door, Handle};
use list_watch::Watch;
use retry_safety::Earlier;
pub use retry_safety::Place;

/// The module works to this much less than the client's deadline, so that an answer at the deadline still
/// arrives: the way to the client, and a busy moment here.
const HEADROOM: Duration = Duration::from_millis(15);
/// But no more than this part of a short deadline. Failure: a request with 15 ms was never sent anywhere.
const HEADROOM_OF_WAIT: u32 = 8;
/// With this part of that left the engine answers itself, should the module still owe an answer.
const BACKSTOP_OF_HEADROOM: u32 = 3;
/// How often the subset is looked at, where there is one.
const SUBSET_EVERY: Duration = Duration::from_secs(1);

/// Why there can be no engine.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The module can't work by the settings.
    #[error("settings: {0}")]
    Settings(#[from] interface::SettingsError),
    /// Nor can a subset be drawn.
    #[error("subset: {0}")]
    Subset(#[from] SizeError),
}

/// What the engine is told.
pub enum EngineEvent {
    Arrived {
        id: RequestId,
        arrival: Arrival,
        forward: ForwardedRequest,
        reply: oneshot::Sender<Reply>,
    },
    Left(RequestId),
    /// The last byte of a request that flows has come, and was taken for its upstream.
    Whole(RequestId),
    Ended {
        id: RequestId,
        attempt: usize,
        ended: Ended,
    },
    /// News of a watch; `serial` tells it from those before it.
    Watched {
        serial: u64,
        news: News,
    },
    /// Discovery is at this address from now on.
    Moved(SocketAddr),
    /// Whether a list has named this upstream.
    HasNamed {
        name: String,
        reply: oneshot::Sender<bool>,
    },
    /// Out by operators' hands are these from now on, and no others.
    Cordoned {
        names: BTreeSet<String>,
        done: oneshot::Sender<()>,
    },
    /// The bank has news.
    Cluster(ClusterEvent),
    /// More of a long list is due to the module.
    Part,
    /// What the module has learned.
    Learned(oneshot::Sender<Learned>),
    /// What another process of this balancer has.
    Recall(Box<Learned>),
    /// A part of the list from there on, and whether a watch vouches for it.
    Listed {
        from: u32,
        reply: oneshot::Sender<(Part, bool)>,
    },
}

/// A request as the module needs to know it.
pub struct Arrival {
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    /// When the client gives up.
    pub until: Instant,
    pub cost_guess: Option<Span>,
    pub resent: bool,
    pub cancellation: Rc<Cancellation>,
}

/// The one final answer.
pub enum Reply {
    Served(Response<ResponseBody>),
    Refused { retry_after: Span },
    Failed { late: bool },
}

impl Reply {
    /// Whether there is an upstream's answer.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Served(_))
    }
}

/// A request that is owed an answer, or has attempts out.
struct Held {
    forward: Rc<ForwardedRequest>,
    /// Taken by the final answer.
    reply: Option<oneshot::Sender<Reply>>,
    /// Read by attempts right before they go on the wire.
    cancellation: Rc<Cancellation>,
    until: Instant,
    /// How long its client waits, from its last byte on.
    waits: Duration,
    /// How much sooner the module's time ends.
    headroom: Duration,
    class: usize,
    attempts: Vec<Try>,
    last: Option<Outcome>,
}

struct Try {
    server: ServerId,
    sent: Instant,
    /// Where its effects are remembered.
    place: Option<Place>,
    /// How it ended; none while it is out.
    outcome: Option<Outcome>,
    /// Present while it is out; dropping it closes its connection.
    task: Option<AbortOnDrop>,
}

impl Held {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.task.is_some()).count()
    }

    /// What is known of its attempts, for the promise that nothing has an effect twice.
    fn earlier(&self) -> Vec<Earlier> {
        let earlier = |a: &Try| Earlier { place: a.place, outcome: a.outcome };
        self.attempts.iter().map(earlier).collect()
    }

    /// When the engine answers itself.
    fn backstop(&self) -> Instant {
        self.until + (self.headroom - self.headroom / BACKSTOP_OF_HEADROOM)
    }

    /// Its body is on its way: its client's time has not begun.
    fn flows(&self) -> bool {
        self.forward.flow().is_some_and(|f| f.is_spent() && !f.is_whole())
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(u64),
    Deadline(RequestId),
    Watch,
    Subset,
    ListExpiry,
}

/// An event of the engine's own making, told once the present actions are carried out.
type Later = (RequestId, usize, Ended);

pub struct Engine {
    balancer: Balancer,
    clock: Clock,
    notes: mpsc::UnboundedReceiver<EngineEvent>,
    own_notes: mpsc::UnboundedSender<EngineEvent>,
    requests: FxHashMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
    later: VecDeque<Later>,
    network: Rc<dyn Network>,
    pool: Rc<Pool>,
    upstreams: Membership,
    /// Where the module is to know a part of the fleet only.
    subset: Option<Subsetting>,
    update_queue: UpdateQueue,
    ready: Rc<Cell<bool>>,
    heard: Rc<Cell<bool>>,
    discovery: SocketAddr,
    revision: u64,
    /// The watch that told the last first list. It is kept until the next one has told its own.
    standing: Option<Watch>,
    /// The one that has told nothing yet.
    opening: Option<Watch>,
    /// The last watch that was opened.
    serial: u64,
    /// Versions are those of the watches from this one on.
    counted_from: u64,
    /// Discovery has moved, and nothing was told from there yet: versions are those of the last one.
    elsewhere: bool,
    polls_list: bool,
    /// How old the list may be, and whether the module knows that it has expired.
    freshness: Freshness,
    list_expired: bool,
    /// How long a call is waited for that discovery has taken.
    patience: CallTimeout,
    second_copies: bool,
    max_attempts: usize,
    classes: Vec<interface::Class>,
    violations: Violations,
    /// The bank, where there is one, and the rules that the module was told.
    cluster: Option<Rc<dyn PolicyReader>>,
    kept_to: Option<Rules>,
    /// When discovery was asked last because another balancer has a newer list.
    asked_list: Option<Instant>,
}

/// The module's clock: monotonic, and set once to Unix time so that the list's times need no further
/// mapping.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    fn new(unix: Duration) -> Self {
        Self { start: Instant::now(), unix_us: unix.as_micros() as i64 }
    }
    fn now(&self) -> Time {
        self.at(Instant::now())
    }
    fn at(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.saturating_duration_since(self.start).as_micros() as i64)
    }
    fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.unix_us).max(0) as u64)
    }
}

impl Engine {
    pub fn new(
        config: &Config,
        restored_list: Option<RestoredList>,
        pool: Rc<Pool>,
        network: Rc<dyn Network>,
        cluster: Option<Rc<dyn PolicyReader>>,
    ) -> Result<(Self, Handle), EngineError> {
        let clock = Clock::new(network.unix_now());
        let mut settings = config.facts.settings();
        settings.barring = cluster.is_some();
        // What goes out at the very end of a window may be written a hold-up later.
        let hold_up = Span(MAX_PROCESS_STALL.as_micros() as i64);
        settings.classes.iter_mut().for_each(|c| {
            c.window = Span((c.window.0 - hold_up.0).max(0));
        });
        let classes = settings.classes.clone();
        let violations = Violations::default();
        let (own_notes, notes) = mpsc::unbounded_channel();
        let ready = Rc::new(Cell::new(false));
        let heard = Rc::new(Cell::new(false));
        let (polls_list, second_copies) = (settings.polls_list, settings.limits.second_copies);
        let grace = Duration::from_micros(settings.rules.drain_grace.0.max(0) as u64);
        let sends_end_after = grace.saturating_sub(DRAIN_MARGIN);
        let freshness = Freshness::new(sends_end_after, Instant::now());
        let handle = Handle {
            notes: own_notes.clone(),
            next: Cell::new(0),
            ready: ready.clone(),
            heard: heard.clone(),
            list_expiry: freshness.expiry(),
            violations: violations.clone(),
        };
        let cold = Duration::from_micros(settings.rules.warm_up.0.max(0) as u64);
        let start_times =
            StartTimes::new(clock.start, Duration::from_micros(clock.unix_us as u64), cold);
        let max_attempts = settings.limits.max_attempts;
        let size = Cluster { balancers: settings.balancers, position: settings.position };
        let subset = config.subset.map(|of| Subsetting::new(of, size)).transpose()?;
        let mut engine = Self {
            balancer: Balancer::new(settings, config.seed, clock.now())?,
            clock,
            notes,
            own_notes,
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            later: VecDeque::new(),
            network,
            pool,
            upstreams: Membership::new(config, sends_end_after, start_times),
            subset,
            update_queue: UpdateQueue::default(),
            ready,
            heard,
            discovery: config.discovery,
            revision: 0,
            standing: None,
            opening: None,
            serial: 0,
            counted_from: 0,
            elsewhere: false,
            polls_list,
            freshness,
            list_expired: false,
            patience: CallTimeout::default(),
            second_copies,
            max_attempts,
            classes,
            violations,
            cluster,
            kept_to: None,
            asked_list: None,
        };
        engine.listed(&config.known, ListKind::Restored, Instant::now().into());
        if let Some(restored_list) = restored_list {
            engine.lay_over(restored_list);
        }
        engine.keep_to_rules();
        if !polls_list {
            engine.subscribe();
        }
        if engine.subset.is_some() {
            engine.timers.push(Reverse((Instant::now() + SUBSET_EVERY, Due::Subset)));
        }
        Ok((engine, handle))
    }

    pub async fn run(mut self) {
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| *at);
            let sleep = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                note = self.notes.recv() => match note {
                    Some(note) => self.take(note),
                    None => return,
                },
                () = sleep => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        self.keep_to_rules();
        self.look_at_list_age();
        let now = Instant::now();
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match due {
                Due::Token(token) => self.tell(Event::Timer(token)),
                Due::Deadline(id) => self.overdue(id),
                Due::Watch if self.is_vouched() => {}
                Due::Watch => self.subscribe(),
                Due::Subset => self.look_at_subset(),
                // Looked at on every turn.
                Due::ListExpiry => {}
            }
        }
    }

    fn take(&mut self, note: EngineEvent) {
        self.keep_to_rules();
        self.look_at_list_age();
        match note {
            // Looked at with every note.
            EngineEvent::Cluster(ClusterEvent::Changed) => {}
            EngineEvent::Cluster(ClusterEvent::RefreshList) => self.ask_list(),
            EngineEvent::Arrived { id, arrival, forward, reply } => {
                self.arrived(id, arrival, forward, reply);
            }
            EngineEvent::Left(id) => {
                let Some(held) = self.requests.get_mut(&id) else { return };
                if held.reply.take().is_some() {
                    tracing::debug!(request = id.0, "client gone");
                    self.tell(Event::ClientLeft(id));
                }
                self.forget(id);
            }
            EngineEvent::Whole(id) => self.whole(id),
            EngineEvent::Ended { id, attempt, ended } => {
                self.ended(id, attempt, ended);
                self.catch_up();
            }
            EngineEvent::Watched { serial, news } => self.heard(serial, news),
            EngineEvent::Moved(discovery) => self.moved(discovery),
            EngineEvent::Part if !self.update_queue.is_due() => {}
            EngineEvent::Part => {
                let list = self.update_queue.next_part();
                self.tell_part(ListKind::Aside, &list);
            }
            EngineEvent::Learned(reply) => drop(reply.send(self.balancer.learned())),
            EngineEvent::Recall(learned) => {
                match self.balancer.recall(self.clock.now(), &learned) {
                    Ok(()) => tracing::info!("goes on from what an older process has learned"),
                    Err(cause) => {
                        tracing::warn!(%cause, "what an older process has learned is of no use")
                    }
                }
            }
            EngineEvent::Listed { from, reply } => {
                let _ = reply.send((self.upstreams.part(from), self.is_vouched()));
            }
            EngineEvent::HasNamed { name, reply } => {
                drop(reply.send(self.upstreams.has_named(&name)))
            }
            EngineEvent::Cordoned { names, done } => {
                let list = self.upstreams.cordon(&names, Instant::now());
                // Whoever is taken out is restarted: what idles there would end as a reset.
                list.iter().for_each(|m| self.pool.close_idle(m.id));
                self.listed_as(ListKind::Aside, list);
                let _ = done.send(());
            }
        }
    }

    fn arrived(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        forward: ForwardedRequest,
        reply: oneshot::Sender<Reply>,
    ) {
        let waits = arrival.until.saturating_duration_since(Instant::now());
        let headroom = HEADROOM.min(waits / HEADROOM_OF_WAIT);
        let until = arrival.until - headroom;
        let flows = forward.flow().is_some();
        let held = Held {
            forward: Rc::new(forward),
            reply: Some(reply),
            cancellation: arrival.cancellation,
            until,
            waits,
            headroom,
            class: arrival.class,
            attempts: Vec::new(),
            last: None,
        };
        self.timers.push(Reverse((held.backstop(), Due::Deadline(id))));
        self.requests.insert(id, held);
        let request = interface::Request {
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            cost_guess: arrival.cost_guess,
            resent: arrival.resent,
            flows,
            ..interface::Request::new(id, arrival.class, self.clock.at(until))
        };
        self.tell(Event::Request(request));
    }

    /// From its last byte on a request that flowed has its client's time.
    fn whole(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| h.reply.is_some()) else { return };
        let until = Instant::now() + held.waits;
        held.until = until - held.headroom;
        let send_deadline = self.clock.at(held.until);
        self.timers.push(Reverse((held.backstop(), Due::Deadline(id))));
        self.tell(Event::BodyReceived { request: id, send_deadline });
    }

    /// Guards against a request that the module still owes its answer when the client is about to give up.
    fn overdue(&mut self, id: RequestId) {
        let early = |h: &Held| h.flows() || Instant::now() < h.backstop();
        if self.requests.get(&id).is_some_and(early) {
            return; // Its body moved that, or will once it is whole.
        }
        if self.answer(id, Reply::Failed { late: true }) {
            tracing::warn!("answered at the deadline");
            self.tell(Event::ClientLeft(id));
        }
        self.forget(id);
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, id: RequestId, reply: Reply) -> bool {
        let Some(held) = self.requests.get_mut(&id) else { return false };
        let Some(sender) = held.reply.take() else { return false };
        held.cancellation.cancel();
        let _ = sender.send(reply);
        true
    }

    fn ended(&mut self, id: RequestId, attempt: usize, ended: Ended) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(tried) = held.attempts.get_mut(attempt) else { return };
        tried.task = None;
        tried.outcome = Some(ended.outcome);
        let (server, latency) = (tried.server, tried.sent.elapsed());
        held.last = Some(ended.outcome);
        tracing::debug!(
            request = id.0,
            attempt,
            upstream = server.0,
            outcome = ?ended.outcome,
            elapsed_ms = latency.as_millis() as u64,
            "attempt over"
        );
        let spent = held.forward.is_spent();
        // The first whole answer is the client's; one that comes after the end is dropped.
        if let Some(response) = ended.response {
            self.answer(id, Reply::Served(response));
        }
        let over = self.requests.get(&id).is_none_or(|h| h.reply.is_none());
        let answer = interface::Answer {
            spent,
            report: ended.report,
            ..interface::Answer::new(
                id,
                attempt,
                server,
                ended.outcome,
                Span(latency.as_micros() as i64),
                over,
            )
        };
        self.handle(Event::Answered(answer));
        self.forget(id);
    }

    /// Drops a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|h| h.reply.is_none() && h.out() == 0) {
            self.requests.remove(&id);
        }
    }

    /// Takes in a list.
    fn listed(&mut self, list: &List, kind: ListKind, delivery: Delivery) {
        let told = self.upstreams.update(list, kind, delivery);
        told.moved.iter().for_each(|id| self.pool.close_idle(*id));
        self.revision = self.upstreams.newest();
        self.tell_bank(list, kind);
        self.listed_as(told.kind, told.members);
        self.upstreams.forget().iter().for_each(|id| self.pool.close_idle(*id));
    }

    /// Other balancers are to know what the list says.
    fn tell_bank(&self, list: &List, kind: ListKind) {
        let Some(cluster) = &self.cluster else { return };
        let whole = kind == ListKind::Complete;
        let phase = |phase| match phase {
            Phase::Serving => lists::Phase::Serving,
            Phase::Draining | Phase::Unknown => lists::Phase::Drains,
            Phase::Deleted => lists::Phase::Ended,
        };
        let entries = list.members.iter().map(|m| (m.id.to_string(), phase(m.phase))).collect();
        cluster.heard(Listed::List { version: list.revision, whole, entries });
    }

    /// Lays over the configuration's list what was heard after it. Discovery is asked for all that it has: of changes
    /// alone, one that counts anew would leave what this took out where it is.
    fn lay_over(&mut self, restored_list: RestoredList) {
        let RestoredList { list, whole } = restored_list;
        tracing::info!(members = list.members.len(), whole, "goes on from the list as last heard");
        let told = self.upstreams.update(
            &list,
            if whole { ListKind::Restored } else { ListKind::Update },
            Instant::now(),
        );
        let kind = if whole { ListKind::Restored } else { ListKind::Aside };
        self.listed_as(kind, told.members);
        self.upstreams.forget().iter().for_each(|id| self.pool.close_idle(*id));
        self.revision = 0;
        self.upstreams.count_anew();
    }

    /// Tells the module what the upstreams are now, or the part of them that it knows.
    fn listed_as(&mut self, kind: ListKind, members: Vec<interface::Member>) {
        self.ready.set(self.upstreams.any_open() && !self.list_expired);
        let now = self.clock.now();
        let list = match &mut self.subset {
            Some(subset) => {
                let last = |id| self.upstreams.member(id);
                let list = subset.listed(now, kind, &members, last);
                self.balancer.shared_by(subset.sharers());
                list
            }
            None => members,
        };
        let last = |id| self.upstreams.member(id);
        let part = self.update_queue.listed(kind, list, last);
        self.tell_part(part.kind, &part.members);
    }

    /// Has the module keep to what holds now, if that is something else than before. Looked at before all else that could
    /// lead to a send: a lease may have ended while the process stood still.
    fn keep_to_rules(&mut self) {
        let Some(cluster) = &self.cluster else { return };
        let held = cluster.held();
        if self.kept_to.as_ref().is_some_and(|kept| kept.is(&held)) {
            return;
        }
        self.kept_to = Some(held.clone());
        self.balancer.attempts_at_most(self.max_attempts.min(held.rules.attempts().into()));
        let list = self.upstreams.rule(held, Instant::now());
        let out = list.iter().filter(|m| m.status != interface::Status::Live);
        out.for_each(|m| self.pool.close_idle(m.id));
        if !list.is_empty() {
            self.listed_as(ListKind::Aside, list);
        }
    }

    /// Tells the module a part of a list. The rest follows behind whatever has come by now.
    fn tell_part(&mut self, kind: ListKind, list: &[interface::Member]) {
        if self.update_queue.is_due() {
            let _ = self.own_notes.send(EngineEvent::Part);
        }
        self.tell(Event::Members { kind, list });
    }

    /// Lets what has left the subset go, and widens it while too much of it is out of reach.
    fn look_at_subset(&mut self) {
        let now = self.clock.now();
        self.timers.push(Reverse((Instant::now() + SUBSET_EVERY, Due::Subset)));
        let (all, well) = self.balancer.standing(now);
        let Some(subset) = &mut self.subset else { return };
        let last = |id| self.upstreams.member(id);
        let mut list = subset.passed(now, last);
        list.extend(subset.seen(now, all, well, last));
        self.balancer.shared_by(subset.sharers());
        if !list.is_empty() {
            let part = self.update_queue.listed(ListKind::Aside, list, last);
            self.tell_part(part.kind, &part.members);
        }
    }

    /// Tells the module, and carries out what it says until nothing is left to tell.
    fn tell(&mut self, event: Event) {
        self.handle(event);
        self.catch_up();
    }

    fn catch_up(&mut self) {
        while let Some((id, attempt, ended)) = self.later.pop_front() {
            self.ended(id, attempt, ended);
        }
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.clock.now(), event, &mut self.actions);
        for _ in 0..self.balancer.take_overdrafts() {
            self.violations.count(Invariant::ColdOverdraft, None, None);
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout, send_by } => {
                self.send(request, server, timeout, send_by);
            }
            Action::Refuse { request, retry_after, reason } => {
                tracing::debug!(request = request.0, reason = reason.name(), "refused");
                let reply = match self.may_refuse(request) {
                    true => Reply::Refused { retry_after },
                    false => Reply::Failed { late: false },
                };
                self.answer(request, reply);
                self.forget(request);
            }
            Action::Fail { request } => {
                tracing::debug!(request = request.0, "failed");
                let last = self.requests.get(&request).and_then(|h| h.last);
                self.answer(request, Reply::Failed { late: last == Some(Outcome::Timeout) });
                self.forget(request);
            }
            Action::Cancel { request, attempt } => {
                let held = self.requests.get_mut(&request);
                let tried = held.and_then(|h| h.attempts.get_mut(attempt));
                if tried.is_some_and(|t| t.task.take().is_some()) {
                    self.later.push_back((request, attempt, Ended::bare(Outcome::Cancelled)));
                }
            }
            Action::Arm { token, at } => {
                self.timers.push(Reverse((self.clock.instant(at), Due::Token(token))));
            }
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe => self.subscribe(),
            // Upstreams here take no probes, and the module sends none where that is so.
            Action::Probe { .. } => {}
        }
    }

    /// Asks, right before an attempt goes on the wire, whether the rules that hold then allow it.
    fn permits(&self, server: ServerId, id: RequestId) -> Option<impl Fn() -> bool + use<>> {
        let cluster = self.cluster.clone()?;
        let class = self.requests.get(&id)?.class;
        let (place, kept) = (self.upstreams.placed(server, class), self.kept_to.clone());
        Some(move || {
            let held = cluster.held();
            let as_decided = kept.as_ref().is_some_and(|kept| kept.is(&held));
            as_decided || place.as_ref().is_some_and(|place| place.permitted(&held))
        })
    }

    /// Whether a refusal, which says that another try is harmless, is true of this request.
    fn may_refuse(&self, id: RequestId) -> bool {
        let Some(held) = self.requests.get(&id) else { return true };
        let may = retry_safety::may_refuse(&self.classes[held.class], &held.earlier());
        if !may {
            self.violations.count(Invariant::RefusedAfterEffect, Some(id), None);
        }
        may
    }

    /// Whether another attempt of this request there has no effect twice.
    fn may_repeat(&self, id: RequestId, server: ServerId, place: Option<Place>) -> bool {
        let Some(held) = self.requests.get(&id) else { return false };
        let may = retry_safety::may_repeat(&self.classes[held.class], &held.earlier(), place);
        if !may {
            self.violations.count(Invariant::UnsafeRepeat, Some(id), Some(server));
        }
        may
    }

    fn send(&mut self, id: RequestId, server: ServerId, allow: Span, send_by: Time) {
        let place = self.upstreams.place_of(server);
        let may_repeat = self.may_repeat(id, server, place);
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), held.attempts.len());
        let allowed =
            if allow.0 > 0 { now + Duration::from_micros(allow.0 as u64) } else { held.until };
        let (until, send_by) = (allowed.min(held.until), self.clock.instant(send_by));
        let twice = held.out() > 0 && !self.second_copies;
        let target = self.upstreams.target(server);
        let tried = Try { server, sent: now, place, outcome: None, task: None };
        let expiry = self.freshness.expiry();
        let is_over = held.reply.is_none()
            || attempt >= self.max_attempts
            || now >= until.min(send_by)
            || held.forward.is_spent()
            || expiry.is_over(now);
        let limit = AttemptLimits {
            until,
            send_by,
            answer: held.waits - held.headroom,
            client_until: held.until + held.headroom,
            window: (send_by < held.until).then(|| send_by + MAX_PROCESS_STALL),
        };
        held.attempts.push(tried);
        let (Some(target), true) = (target, may_repeat && !is_over && !twice) else {
            self.later.push_back((id, attempt, Ended::bare(Outcome::Moot)));
            return;
        };
        let cancellation = held.cancellation.clone();
        let permits = self.permits(server, id).map(|permits| Box::new(permits) as PolicyCheck);
        let violations = self.violations.clone();
        let guard =
            SendGuard::new(id, server, limit, target, cancellation, expiry, permits, violations);
        tracing::debug!(request = id.0, attempt, upstream = server.0, "attempt");
        self.start_attempt(id, attempt, Rc::new(guard));
    }

    /// Has an attempt run, and its end told.
    fn start_attempt(&mut self, id: RequestId, attempt: usize, guard: Rc<SendGuard>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (pool, notes, forward) =
            (self.pool.clone(), self.own_notes.clone(), held.forward.clone());
        let task = tokio::task::spawn_local(async move {
            let ended = pool.attempt(&forward, guard).await;
            let _ = notes.send(EngineEvent::Ended { id, attempt, ended });
        });
        held.attempts[attempt].task = Some(AbortOnDrop(task));
    }
}
