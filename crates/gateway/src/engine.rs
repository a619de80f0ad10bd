//! Owns the decision module, the table of requests and the timers. Feeds the module every event in the
//! order it came, and carries out its actions in the order it gave them. Decides nothing.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::Network;
use hollowpaddle_policy::interface as d;
use hollowpaddle_policy::interface::{
    Action, Event, ListKind, Outcome, RequestId, ServerId, Span, Time,
};
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_policy::settings::stable_hash;
use hyper::Response;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::config::Config;
use crate::discovery::{self, News};
use crate::members::{Entry, List, Phase};
use crate::tasks::AbortOnDrop;
use crate::upstreams::{Ended, Forward, Pool, Target};

/// The module works to this much less than the client's deadline, so that an answer at the deadline still
/// arrives: the way to the client, and a busy moment here.
const HEADROOM: Duration = Duration::from_millis(15);
/// At this much less the engine answers itself, should the module still owe one.
const BACKSTOP: Duration = Duration::from_millis(5);
/// Sends to an upstream that drains end this much before the grace does.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);
/// Wait before a pushed list is watched again; the agent is on this machine and answers at no cost.
const REWATCH: Duration = Duration::from_millis(500);

/// What the engine is told.
pub enum Note {
    Arrived {
        id: RequestId,
        arrival: Arrival,
        forward: Forward,
        reply: oneshot::Sender<Reply>,
    },
    Left(RequestId),
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
}

/// The one final answer.
pub enum Reply {
    Served(Response<Bytes>),
    Refused { retry_after: Span },
    Failed { late: bool },
}

/// The engine as clients' connections see it.
pub struct Handle {
    notes: mpsc::UnboundedSender<Note>,
    next: Cell<u64>,
    ready: Rc<Cell<bool>>,
}

impl Handle {
    /// Whether there is anywhere to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Tells the engine where discovery is now.
    pub fn reloader(&self) -> impl Fn(SocketAddr) + use<> {
        let notes = self.notes.clone();
        move |discovery| drop(notes.send(Note::Moved(discovery)))
    }

    /// Hands in a request and waits for its answer. Dropped before that, it tells that the client left.
    pub async fn ask(&self, arrival: Arrival, forward: Forward) -> Reply {
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (reply, answer) = oneshot::channel();
        let _ = self.notes.send(Note::Arrived { id, arrival, forward, reply });
        let mut leaving = Leaving { id, notes: Some(&self.notes) };
        let answer = answer.await;
        leaving.notes = None;
        answer.unwrap_or(Reply::Failed { late: false })
    }
}

/// Tells of a client that went away before its answer.
struct Leaving<'a> {
    id: RequestId,
    notes: Option<&'a mpsc::UnboundedSender<Note>>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(notes) = self.notes {
            let _ = notes.send(Note::Left(self.id));
        }
    }
}

/// A request that is owed an answer, or has attempts out.
struct Held {
    forward: Rc<Forward>,
    /// Taken by the final answer.
    reply: Option<oneshot::Sender<Reply>>,
    /// Read by attempts right before they go on the wire.
    live: Rc<Cell<bool>>,
    until: Instant,
    attempts: Vec<Try>,
    last: Option<Outcome>,
}

struct Try {
    server: ServerId,
    sent: Instant,
    /// Present while it is out; dropping it closes its connection.
    task: Option<AbortOnDrop>,
}

impl Held {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.task.is_some()).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(u64),
    Deadline(RequestId),
    Watch,
}

/// An event of the engine's own making, told once the present actions are carried out.
type Later = (RequestId, usize, Ended);

pub struct Engine {
    balancer: Balancer,
    clock: Clock,
    notes: mpsc::UnboundedReceiver<Note>,
    own_notes: mpsc::UnboundedSender<Note>,
    requests: FxHashMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
    later: VecDeque<Later>,
    network: Rc<dyn Network>,
    pool: Rc<Pool>,
    upstreams: Upstreams,
    ready: Rc<Cell<bool>>,
    discovery: SocketAddr,
    revision: u64,
    watch: Option<AbortOnDrop>,
    watch_serial: u64,
    /// The watch has told nothing yet.
    watch_new: bool,
    must_ask: bool,
    second_copies: bool,
    max_attempts: usize,
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
        pool: Rc<Pool>,
        network: Rc<dyn Network>,
    ) -> Result<(Self, Handle), d::SettingsError> {
        let clock = Clock::new(network.unix_now());
        let settings = config.facts.settings();
        let (own_notes, notes) = mpsc::unbounded_channel();
        let ready = Rc::new(Cell::new(false));
        let handle = Handle { notes: own_notes.clone(), next: Cell::new(0), ready: ready.clone() };
        let (must_ask, second_copies) = (settings.must_ask, settings.limits.second_copies);
        let grace = Duration::from_micros(settings.rules.drain_grace.0.max(0) as u64);
        let max_attempts = settings.limits.max_attempts;
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
            upstreams: Upstreams::new(config, grace.saturating_sub(DRAIN_MARGIN)),
            ready,
            discovery: config.discovery,
            revision: 0,
            watch: None,
            watch_serial: 0,
            watch_new: false,
            must_ask,
            second_copies,
            max_attempts,
        };
        engine.listed(&config.known, ListKind::Restored);
        if !must_ask {
            engine.subscribe();
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
        let now = Instant::now();
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match due {
                Due::Token(token) => self.tell(Event::Timer(token)),
                Due::Deadline(id) => self.overdue(id),
                Due::Watch => self.subscribe(),
            }
        }
    }

    fn take(&mut self, note: Note) {
        match note {
            Note::Arrived { id, arrival, forward, reply } => {
                self.arrived(id, arrival, forward, reply);
            }
            Note::Left(id) => {
                let Some(held) = self.requests.get_mut(&id) else { return };
                if held.reply.take().is_some() {
                    held.live.set(false);
                    self.tell(Event::Left(id));
                }
                self.forget(id);
            }
            Note::Ended { id, attempt, ended } => {
                self.ended(id, attempt, ended);
                self.catch_up();
            }
            Note::Watched { serial, news } if serial == self.watch_serial => self.heard(news),
            Note::Watched { .. } => {}
            Note::Moved(discovery) => self.moved(discovery),
        }
    }

    fn arrived(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        forward: Forward,
        reply: oneshot::Sender<Reply>,
    ) {
        let until = arrival.until - HEADROOM;
        let held = Held {
            forward: Rc::new(forward),
            reply: Some(reply),
            live: Rc::new(Cell::new(true)),
            until,
            attempts: Vec::new(),
            last: None,
        };
        self.requests.insert(id, held);
        self.timers.push(Reverse((arrival.until - BACKSTOP, Due::Deadline(id))));
        let request = d::Request {
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            cost_guess: arrival.cost_guess,
            resent: arrival.resent,
            ..d::Request::new(id, arrival.class, self.clock.at(until))
        };
        self.tell(Event::Request(request));
    }

    /// Guards against a request that the module still owes its answer when the client is about to give up.
    fn overdue(&mut self, id: RequestId) {
        if self.answer(id, Reply::Failed { late: true }) {
            tracing::warn!("answered at the deadline");
            self.tell(Event::Left(id));
        }
        self.forget(id);
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, id: RequestId, reply: Reply) -> bool {
        let Some(held) = self.requests.get_mut(&id) else { return false };
        let Some(sender) = held.reply.take() else { return false };
        held.live.set(false);
        let _ = sender.send(reply);
        true
    }

    fn ended(&mut self, id: RequestId, attempt: usize, ended: Ended) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(tried) = held.attempts.get_mut(attempt) else { return };
        tried.task = None;
        let (server, latency) = (tried.server, tried.sent.elapsed());
        held.last = Some(ended.outcome);
        // The first whole answer is the client's; one that comes after the end is dropped.
        if let Some(response) = ended.response {
            self.answer(id, Reply::Served(response));
        }
        let over = self.requests.get(&id).is_none_or(|h| h.reply.is_none());
        let answer = d::Answer {
            report: ended.report,
            ..d::Answer::new(
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

    fn heard(&mut self, news: News) {
        match news {
            News::List(list) => {
                // Asked for what follows our version, a discovery that counts in another way, as one does
                // that began anew, says all that it has. Its versions are the ones that count from here.
                if std::mem::take(&mut self.watch_new) && list.complete {
                    self.upstreams.count_anew();
                }
                let whole = list.complete;
                self.listed(&list, if whole { ListKind::Whole } else { ListKind::Update });
            }
            News::Ended => {
                self.watch = None;
                if self.must_ask {
                    self.tell(Event::Members { kind: ListKind::Unavailable, list: &[] });
                } else {
                    self.timers.push(Reverse((Instant::now() + REWATCH, Due::Watch)));
                }
            }
        }
    }

    fn listed(&mut self, list: &List, kind: ListKind) {
        let (kind, members) = self.upstreams.update(list, kind, &self.pool);
        self.revision = self.upstreams.newest;
        self.ready.set(self.upstreams.any_open());
        self.tell(Event::Members { kind, list: &members });
        self.upstreams.forget(&self.pool);
    }

    /// Follows discovery to another address; upstreams, connections and all that was learned stay.
    fn moved(&mut self, discovery: SocketAddr) {
        if self.discovery == discovery {
            tracing::info!("the configuration names the same discovery");
            return;
        }
        tracing::info!(%discovery, "discovery moved");
        self.discovery = discovery;
        // Another agent counts in its own way: asked for what follows our revision, it could keep silent
        // about all that it has. From 0 on it tells everything.
        self.revision = 0;
        self.upstreams.count_anew();
        self.subscribe();
    }

    fn subscribe(&mut self) {
        self.watch_serial += 1;
        self.watch_new = true;
        let (serial, notes) = (self.watch_serial, self.own_notes.clone());
        let tell = move |news| drop(notes.send(Note::Watched { serial, news }));
        let network = self.network.clone();
        let watch = discovery::watch(network, self.discovery, self.revision, self.must_ask, tell);
        self.watch = Some(AbortOnDrop(tokio::task::spawn_local(watch)));
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
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(request, server, timeout),
            Action::Refuse { request, retry_after } => {
                self.answer(request, Reply::Refused { retry_after });
                self.forget(request);
            }
            Action::Fail { request } => {
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

    fn send(&mut self, id: RequestId, server: ServerId, allow: Span) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (now, attempt) = (Instant::now(), held.attempts.len());
        let allowed =
            if allow.0 > 0 { now + Duration::from_micros(allow.0 as u64) } else { held.until };
        let until = allowed.min(held.until);
        let twice = held.out() > 0 && !self.second_copies;
        let target = self.upstreams.target(server);
        let mut tried = Try { server, sent: now, task: None };
        let over = held.reply.is_none() || attempt >= self.max_attempts || now >= until;
        let (Some(target), false) = (target, over || twice) else {
            held.attempts.push(tried);
            self.later.push_back((id, attempt, Ended::bare(Outcome::Moot)));
            return;
        };
        let (pool, notes) = (self.pool.clone(), self.own_notes.clone());
        let (forward, live) = (held.forward.clone(), held.live.clone());
        tried.task = Some(AbortOnDrop(tokio::task::spawn_local(async move {
            let ended = pool.attempt(server, &target, &forward, until, || live.get()).await;
            let _ = notes.send(Note::Ended { id, attempt, ended });
        })));
        held.attempts.push(tried);
    }
}

/// The upstreams that the list has named, by the module's handle. Failure: none was ever forgotten, and every
/// list walked all ids of the day.
struct Upstreams {
    ids: FxHashMap<String, ServerId>,
    targets: FxHashMap<ServerId, Known>,
    /// A handle is never used twice, or news of one that is gone would be taken for another's.
    next: u32,
    /// The highest version that a list came with.
    newest: u64,
    zones: Vec<String>,
    kinds: Vec<String>,
    grace: Duration,
}

struct Known {
    target: Rc<Target>,
    gone: bool,
    /// Version of the list that the last word of it came with.
    revision: u64,
}

impl Upstreams {
    fn new(config: &Config, grace: Duration) -> Self {
        Self {
            ids: FxHashMap::default(),
            targets: FxHashMap::default(),
            next: 0,
            newest: 0,
            zones: config.facts.zones.clone(),
            kinds: config.facts.machine_types.clone(),
            grace,
        }
    }

    fn target(&self, server: ServerId) -> Option<Rc<Target>> {
        self.targets.get(&server).map(|k| k.target.clone())
    }

    fn any_open(&self) -> bool {
        self.targets.values().any(|k| k.target.closed_from.get().is_none())
    }

    /// From here on versions are another discovery's.
    fn count_anew(&mut self) {
        self.newest = 0;
        self.targets.values_mut().for_each(|k| k.revision = 0);
    }

    /// Takes in a list and puts it into the module's words: what it is to the module, and who is on it.
    ///
    /// Failure: lists that came out of their order, a whole one as another replica still had it among them,
    /// undid the news of a drain, and requests went there for seconds (rehearsal sweep, seeds 77 and 136). An
    /// older list takes back nothing that a newer one said: of an upstream, only news that is no older than
    /// the last of it counts; none comes in and none is gone by it.
    fn update(&mut self, list: &List, kind: ListKind, pool: &Pool) -> (ListKind, Vec<d::Member>) {
        let older = list.revision < self.newest;
        self.newest = self.newest.max(list.revision);
        let kind = if older { ListKind::Update } else { kind };
        if older {
            let (newest, revision) = (self.newest, list.revision);
            tracing::warn!(newest, revision, "a list out of its order");
        }
        let closed_from = Instant::now() + self.grace;
        let close = |t: &Target| t.closed_from.set(t.closed_from.get().or(Some(closed_from)));
        if kind != ListKind::Update {
            // What a whole list leaves out is gone.
            for known in self.targets.values_mut() {
                known.gone = true;
            }
        }
        let mut members = Vec::with_capacity(list.members.len());
        for entry in &list.members {
            let last = self.ids.get(&entry.id).and_then(|id| self.targets.get(id));
            let last = last.map(|k| k.revision);
            if last.is_none() && (older || entry.phase == Phase::Deleted) {
                continue;
            }
            if last.is_some_and(|last| list.revision < last) {
                continue;
            }
            // Without a valid address the last one stands: that it drains must not be lost with it.
            let known = self.ids.get(&entry.id).and_then(|id| self.targets.get(id));
            let known = known.map(|k| k.target.address.get());
            let Some(address) = entry.host_port.parse().ok().or(known) else {
                tracing::warn!(id = entry.id, address = entry.host_port, "no such address");
                continue;
            };
            let id = self.id(entry, address);
            let Some(known) = self.targets.get_mut(&id) else { continue };
            if known.target.address.replace(address) != address {
                pool.close_idle(id);
            }
            known.gone = entry.phase == Phase::Deleted;
            known.revision = list.revision;
            match entry.phase {
                Phase::Serving => known.target.closed_from.set(None),
                Phase::Draining | Phase::Deleted | Phase::Unknown => close(&known.target),
            }
            members.push(self.member(id, entry));
        }
        self.targets.values().filter(|k| k.gone).for_each(|k| close(&k.target));
        (kind, members)
    }

    /// Drops what is gone and has no attempt left that looks at it.
    fn forget(&mut self, pool: &Pool) {
        self.targets.retain(|id, known| {
            let keep = !known.gone || Rc::strong_count(&known.target) > 1;
            if !keep {
                pool.close_idle(*id);
            }
            keep
        });
        self.ids.retain(|_, id| self.targets.contains_key(id));
    }

    fn id(&mut self, entry: &Entry, address: SocketAddr) -> ServerId {
        if let Some(id) = self.ids.get(&entry.id) {
            return *id;
        }
        let id = ServerId(self.next);
        self.next += 1;
        self.ids.insert(entry.id.clone(), id);
        let (address, closed_from) = (Cell::new(address), Cell::new(None));
        let target = Rc::new(Target { address, closed_from });
        self.targets.insert(id, Known { target, gone: false, revision: 0 });
        id
    }

    fn member(&self, id: ServerId, entry: &Entry) -> d::Member {
        // A name that the settings don't have is none of those that they do.
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        d::Member {
            id,
            identity: stable_hash(&entry.id),
            zone: index(&self.zones, &entry.locality),
            kind: index(&self.kinds, &entry.flavor),
            cell: entry.cell,
            status: match entry.phase {
                Phase::Serving => d::Status::Live,
                Phase::Draining | Phase::Unknown => d::Status::Draining,
                Phase::Deleted => d::Status::Gone,
            },
            weight: entry.size,
            started: (entry.up_since_ms > 0.0).then_some(Time((entry.up_since_ms * 1000.0) as i64)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn network() -> Rc<dyn Network> {
        let fabric = hollowpaddle_simnet::Fabric::new(Duration::ZERO, |_, _| Duration::ZERO);
        fabric.host([127, 0, 0, 1].into())
    }

    fn config() -> Config {
        let facts = json!({"Balancers": 1, "Tick": 1.0, "RegistryMode": "subscribe", "Services": [],
            "PolicyLimits": {"MaxAttempts": 3},
            "Safety": {"Cold": 0.0, "ColdFrom": 1.0, "FallMultiple": 1.0, "TipAfter": 0.0}});
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        Config {
            name: String::new(),
            listen: nowhere,
            discovery: nowhere,
            seed: 0,
            sockets: 256,
            memory: 32 << 20,
            known: List::default(),
            facts: serde_json::from_value(facts).expect("facts"),
        }
    }

    #[tokio::test]
    async fn upstreams_come_and_go_and_no_handle_is_used_twice() {
        let config = config();
        let pool = tokio::task::LocalSet::new()
            .run_until(async { Pool::new(1, &config, network()) })
            .await;
        let mut upstreams = Upstreams::new(&config, Duration::from_millis(400));
        let mut told = |id: String, phase: &str, kind| {
            let list = json!({"members": [{"id": id, "host_port": "127.0.0.1:1", "phase": phase}]});
            let list = serde_json::from_value(list).expect("a list");
            let (_, members) = upstreams.update(&list, kind, &pool);
            upstreams.forget(&pool);
            (members.first().map(|m| m.id), upstreams.ids.len(), upstreams.targets.len())
        };
        let mut seen = std::collections::HashSet::new();
        for i in 0..2000 {
            // New ids at one address, gone by word or by being left out.
            let (id, ids, targets) = told(format!("s-{i}"), "SERVING", ListKind::Whole);
            assert_eq!((ids, targets), (1, 1));
            assert!(seen.insert(id.expect("a member")), "a handle is used again");
            if i % 2 == 0 {
                let (_, ids, targets) = told(format!("s-{i}"), "DELETED", ListKind::Update);
                assert_eq!((ids, targets), (0, 0));
            }
        }
        assert_eq!(told("never-seen".to_string(), "DELETED", ListKind::Update).0, None);
    }

    #[tokio::test]
    async fn an_older_list_takes_back_nothing_that_a_newer_one_said() {
        let config = config();
        let local = tokio::task::LocalSet::new();
        let pool = local.run_until(async { Pool::new(1, &config, network()) }).await;
        let mut upstreams = Upstreams::new(&config, Duration::from_millis(400));
        let mut told = |revision: u64, kind, members: &[(&str, &str)]| {
            let entry = |(id, phase): &(&str, &str)| json!({"id": id, "host_port": "127.0.0.1:1", "phase": phase});
            let members: Vec<_> = members.iter().map(entry).collect();
            let list = json!({"revision": revision, "members": members});
            let list = serde_json::from_value(list).expect("a list");
            let (kind, members) = upstreams.update(&list, kind, &pool);
            upstreams.forget(&pool);
            let mut open: Vec<String> = upstreams
                .ids
                .iter()
                .filter(|(_, id)| upstreams.targets[id].target.closed_from.get().is_none())
                .map(|(name, _)| name.clone())
                .collect();
            open.sort();
            (kind, members.len(), open.join(" "))
        };
        let all = &[("a", "SERVING"), ("b", "SERVING"), ("c", "SERVING")][..];
        assert_eq!(told(41, ListKind::Whole, all), (ListKind::Whole, 3, "a b c".into()));
        let drains = &[("a", "DRAINING"), ("b", "DELETED")][..];
        assert_eq!(told(43, ListKind::Update, drains), (ListKind::Update, 2, "c".into()));
        // As another replica still has it: neither back, nor c gone by being left out.
        let old = &[("a", "SERVING"), ("b", "SERVING"), ("d", "SERVING")][..];
        assert_eq!(told(42, ListKind::Whole, old), (ListKind::Update, 0, "c".into()));
        // Late, but news of c: the last word of it is older still.
        let late = &[("c", "DRAINING"), ("a", "SERVING")][..];
        assert_eq!(told(42, ListKind::Update, late), (ListKind::Update, 1, String::new()));
        assert_eq!(told(43, ListKind::Update, drains).1, 1, "said twice");
        let back = &[("a", "SERVING")][..];
        assert_eq!(told(44, ListKind::Update, back), (ListKind::Update, 1, "a".into()));
        upstreams.count_anew();
        let mut told = |revision: u64| {
            let list = json!({"revision": revision, "members": [{"id": "a", "host_port": "127.0.0.1:1", "phase": "DRAINING"}]});
            let list = serde_json::from_value(list).expect("a list");
            upstreams.update(&list, ListKind::Whole, &pool)
        };
        assert_eq!(told(7).0, ListKind::Whole, "another discovery's versions");
    }

    #[tokio::test]
    async fn what_an_attempt_still_looks_at_is_kept_and_stays_closed() {
        let config = config();
        let pool = tokio::task::LocalSet::new()
            .run_until(async { Pool::new(1, &config, network()) })
            .await;
        let mut upstreams = Upstreams::new(&config, Duration::from_millis(400));
        let list =
            json!({"members": [{"id": "a", "host_port": "127.0.0.1:1", "phase": "SERVING"}]});
        let list = serde_json::from_value(list).expect("a list");
        let id = upstreams.update(&list, ListKind::Whole, &pool).1[0].id;
        let out = upstreams.target(id).expect("known");
        upstreams.update(&List::default(), ListKind::Whole, &pool);
        upstreams.forget(&pool);
        assert!(out.closed_from.get().is_some() && upstreams.target(id).is_some());
        drop(out);
        upstreams.forget(&pool);
        assert!(upstreams.target(id).is_none() && upstreams.ids.is_empty());
    }
}
