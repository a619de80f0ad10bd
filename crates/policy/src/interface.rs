//! The words that the balancer and its caller share: ids, time, settings, events, actions.
//! Plain data; every decision is in [`crate::policy`].
//!
//! Reading order: time and ids, settings, events, actions.

/// A point on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Time {
    /// The span from `earlier` to here; negative if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
    /// This time moved by a span.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// Its length in microseconds, for arithmetic.
    pub fn f(self) -> f64 {
        self.0 as f64
    }
    /// The span of so many microseconds, cut to whole ones.
    pub fn of(us: f64) -> Span {
        Span(us as i64)
    }
}

/// The caller's handle for a request; never reused while the request or one of its attempts lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The caller's handle for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// What repeating a request can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Repeats are dropped by the upstreams of one group, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which upstreams drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Span,
    /// The longest a client waits.
    pub deadline: Span,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth for an answer after the aim.
    pub late_priority_weight: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Who drops repeats of a keyed request.
    pub group: Group,
    /// For how long they do, from the send of the first attempt that may have run.
    pub window: Span,
    /// The aim grows by this multiple of a request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// The answer is a stream: [`Event::Started`] tells that it has begun.
    pub streaming: bool,
    /// Requests of such classes that share a key take turns, in the order in which they came.
    pub in_order: bool,
    /// The only zones it may be sent to; `None` for any.
    pub zones: Option<Vec<u32>>,
    /// The only machine kinds it may be sent to; `None` for any.
    pub kinds: Option<Vec<u32>>,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second inside its share, over all balancers.
    pub quota_rps: f64,
    /// Its part of the service.
    pub share: f64,
}

/// What the site allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Upstreams may be probed.
    pub probes: bool,
    /// Clients are given retry advice.
    pub retry_after: bool,
    /// Longest advice that a client heeds.
    pub max_retry_after: Span,
    /// A connection not made within this counts as failed.
    pub connect_timeout: Span,
    /// Idle connections close after this.
    pub keepalive: Span,
    /// Attempts that one connection carries at once.
    pub streams_per_conn: u32,
}

/// Figures of the rules on drains, cold upstreams and the list.
#[derive(Clone, Debug)]
pub struct Rules {
    /// An upstream starts at this share of its capacity or more.
    pub warm_up_initial_share: f64,
    /// And is warm no later than this.
    pub warm_up: Span,
    /// It falls over when sent more than this many times its present capacity
    pub fall_multiple: f64,
    /// for this long.
    pub tip_after: Span,
    /// How long after news of a drain a send may still go out.
    pub drain_grace: Span,
    /// A final answer so long after the client's deadline still counts.
    pub answer_slack: Span,
    /// Where the list must be asked: the longest silence before news counts as told.
    pub list_poll_interval: Span,
    /// Idle connections to a draining upstream must be closed within this; zero where no rule says so.
    pub drain_close: Span,
    /// How long a key rests after an attempt of an ordered class that may still be running.
    pub turn_gap: Span,
}

/// What things cost, each per first try, in shares of all worth.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that served no answer, per work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A probe.
    pub probe: f64,
    /// Worth that ends unserved after its aim has passed.
    pub late_fail: f64,
}

/// Weights of the parts of the service that the site judges by.
#[derive(Clone, Debug, Default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// Its worst stretch.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Nowhere.
    #[default]
    None,
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probes,
}

/// What the balancer is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Balancers in the bank, this one included.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub position: u32,
    /// Zones of the site.
    pub zones: u32,
    /// Zone of this balancer.
    pub zone: u32,
    /// How often events are delivered at most.
    pub tick: Span,
    /// The list of upstreams comes only when asked for.
    pub polls_list: bool,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// What things cost.
    pub prices: Prices,
    /// How the service is judged.
    pub mix: ScoringMix,
    /// Worth of a request beyond its tenant's share, over its class's.
    pub over_quota_weight: f64,
    /// Worth counts by unit of work, not by request.
    pub by_work: bool,
    /// Clients mark their repeats.
    pub marks_retry: bool,
    /// Where load reports come from.
    pub reports: Reports,
    /// Classes may be kept from single upstreams as rules change ([`Member::barred`]): each has sums of its own.
    pub barring: bool,
    /// Tells what the numbers of classes, zones and kinds mean: what a balancer has learned under another of these is
    /// none of this one's. See [`crate::learned`].
    pub meaning: u64,
}

impl Class {
    /// A class that may be repeated freely, of worth 1, with this aim and deadline.
    pub fn safe(latency_objective: Span, deadline: Span) -> Self {
        Self {
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            effect: Effect::Safe,
            group: Group::All,
            window: Span(0),
            objective_stretch: 0.0,
            streaming: false,
            in_order: false,
            zones: None,
            kinds: None,
        }
    }
}

impl Settings {
    /// One proxy with these classes, one zone, three attempts a request, and no further rules or
    /// prices: a start to fill in from.
    pub fn basic(classes: Vec<Class>) -> Self {
        Self {
            classes,
            tenants: Vec::new(),
            balancers: 1,
            position: 0,
            zones: 1,
            zone: 0,
            tick: Span(1000),
            polls_list: false,
            limits: Limits {
                max_attempts: 3,
                second_copies: false,
                cancel: false,
                probes: false,
                retry_after: false,
                max_retry_after: Span(0),
                connect_timeout: Span(0),
                keepalive: Span(0),
                streams_per_conn: 1,
            },
            rules: Rules {
                warm_up_initial_share: 1.0,
                warm_up: Span(0),
                fall_multiple: 1.0,
                tip_after: Span(0),
                drain_grace: Span(0),
                answer_slack: Span(0),
                list_poll_interval: Span(0),
                drain_close: Span(0),
                turn_gap: Span(0),
            },
            prices: Prices::default(),
            mix: ScoringMix { whole: 1.0, ..ScoringMix::default() },
            over_quota_weight: 1.0,
            by_work: false,
            marks_retry: false,
            reports: Reports::None,
            barring: false,
            meaning: 0,
        }
    }
}

impl Settings {
    /// The same settings, made safe; an error where no safe reading exists.
    pub fn checked(mut self) -> Result<Self, SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(i) =
            self.classes.iter().position(|c| c.latency_objective.0 <= 0 || c.deadline.0 <= 0)
        {
            return Err(SettingsError::InvalidLatencyObjective(i));
        }
        // Safe defaults: a zero tick or cold share would stop a clock or a cold server for ever.
        self.tick.0 = self.tick.0.max(100);
        self.balancers = self.balancers.max(1);
        self.limits.max_attempts = self.limits.max_attempts.max(1);
        // Where clients are given no advice, the longest that they heed is none.
        let most = if self.limits.retry_after { self.limits.max_retry_after.0.max(0) } else { 0 };
        self.limits.max_retry_after = Span(most);
        self.rules.warm_up_initial_share = self.rules.warm_up_initial_share.clamp(0.01, 1.0);
        self.rules.list_poll_interval.0 =
            self.rules.list_poll_interval.0.max(self.tick.0.saturating_mul(10));
        Ok(self)
    }
}

/// Why a balancer could not be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No request could be judged.
    #[error("settings name no request class")]
    NoClasses,
    /// An aim or deadline that no answer can meet.
    #[error("class {0} has an aim or deadline that is not above zero")]
    InvalidLatencyObjective(usize),
}

/// State of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    Live,
    /// Finishes what it has; gets nothing new.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// The caller's handle.
    pub id: ServerId,
    /// A hash of its name that is the same at every balancer.
    pub identity: u64,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub status: Status,
    /// Relative size; 1 where unknown.
    pub weight: f64,
    /// When it last started, if not long ago.
    pub started: Option<Time>,
    /// Classes that are kept from it: bit i is class i's. Counts where the settings are [`Settings::barring`].
    pub barred: u64,
}

impl Member {
    /// A live upstream of zone, kind and cell 0 and of size 1, started long ago.
    pub fn live(id: ServerId) -> Self {
        Self {
            id,
            identity: u64::from(id.0),
            zone: 0,
            kind: 0,
            cell: 0,
            status: Status::Live,
            weight: 1.0,
            started: None,
            barred: 0,
        }
    }
}

/// What kind of list event came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Update,
    /// The whole list.
    Complete,
    /// The whole list as last held, perhaps out of date.
    Restored,
    /// A list call failed or the subscription broke.
    Unavailable,
    /// Changed entries that the list did not tell: operators', or the caller's own. They say nothing of the
    /// subscription. Failure: told as an update, they passed for its first word, and it was never asked for.
    Aside,
}

impl ListKind {
    /// Whether whoever is left out stays as they were.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Update | Self::Aside)
    }
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller's handle.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// When the client gives up.
    pub send_deadline: Time,
    /// Work to expect on a yardstick core, if anyone guessed.
    pub cost_guess: Option<Span>,
    /// A client's repeat, where clients mark them.
    pub resent: bool,
    /// It changes something.
    pub write: bool,
    /// Its body still comes while it is passed on: [`Event::BodyReceived`] tells of its last byte. The time of its client
    /// counts from there, and its `send_deadline` until then says when it must have been sent.
    pub flows: bool,
    /// The only zone and cell that it may go to: they keep the state of what it is about, or may have run it before.
    pub sticky_cell: Option<(u32, u32)>,
}

impl Request {
    /// A request of this class without tenant, key or hint.
    pub fn new(id: RequestId, class: usize, send_deadline: Time) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            key: None,
            send_deadline,
            cost_guess: None,
            resent: false,
            write: false,
            flows: false,
            sticky_cell: None,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Withdrawn by us; may have run.
    Cancelled,
    /// Never issued.
    Moot,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// The end of an attempt as the caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The request.
    pub request: RequestId,
    /// Which attempt, from 0.
    pub attempt: usize,
    /// The upstream it went to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: Span,
    /// The request is over.
    pub last: bool,
    /// A part of its body went out and is kept nowhere: it can't be sent again.
    pub spent: bool,
    /// What the upstream reported of itself.
    pub report: Report,
}

impl Answer {
    /// An outcome without a load report.
    pub fn new(
        request: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: Span,
        last: bool,
    ) -> Self {
        let (spent, report) = (false, Report::default());
        Self { request, attempt, server, outcome, latency, last, spent, report }
    }
}

/// An upstream's load report; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of its cores busy.
    pub util: Option<f64>,
    /// Recent service time without waiting.
    pub service: Option<Span>,
    /// Requests served per second.
    pub qps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
}

/// What has happened; told in the order it came.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of upstreams, or a change to it.
    Members {
        /// What kind of list event.
        kind: ListKind,
        /// Its entries.
        list: &'a [Member],
    },
    /// Discovery turned a call for the list away at once: it works, and has too many callers.
    ListCallRejected,
    /// The list is too old to be acted on: until a subscription tells it anew nothing is sent, and what waits is refused.
    ListExpired,
    /// A client's request has arrived: one final answer is owed.
    Request(Request),
    /// The last byte of a request that flows has come, and is out at the upstream that it was sent to.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When the client gives up.
        send_deadline: Time,
    },
    /// An attempt has ended.
    Answered(Answer),
    /// The answer has begun to stream: the attempt is the client's now.
    Started(RequestId),
    /// The client no longer waits; nothing is owed.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// The upstream.
        server: ServerId,
        /// It answered well.
        ok: bool,
        /// How long it took.
        latency: Span,
        /// What the upstream reported of itself.
        report: Report,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The settings have no such class.
    UnknownClass,
    /// The list of upstreams is too old to be acted on.
    ListExpired,
    /// What is queued and in flight is all that can be answered in time.
    QueueFull,
    /// The same, for a tenant that sends more than its share.
    OverShare,
    /// Its turn would come too late for it.
    NoTime,
    /// It waited for a free upstream for as long as it could.
    HeldTooLong,
    /// Its attempts failed, none of them ran where that matters, and no other may follow.
    AttemptsFailed,
}

impl Refusal {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownClass => "unknown_class",
            Self::ListExpired => "list_expired",
            Self::QueueFull => "queue_full",
            Self::OverShare => "over_share",
            Self::NoTime => "no_time",
            Self::HeldTooLong => "held_too_long",
            Self::AttemptsFailed => "attempts_failed",
        }
    }
}

/// What the caller must do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        server: ServerId,
        /// Time-out of the attempt.
        timeout: Span,
        /// Its last byte must be out by then, or none of it: an attempt that waits longer for its connection is moot.
        send_by: Time,
    },
    /// End it unserved; it is harmless to come again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice on when; zero for none.
        retry_after: Span,
        /// Why, for the log.
        reason: Refusal,
    },
    /// End it unserved, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// Tell [`Event::Timer`] at or after this time.
    Arm {
        /// To be returned.
        token: u64,
        /// When.
        at: Time,
    },
    /// Examine an upstream.
    Probe {
        /// The upstream.
        server: ServerId,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream.
        server: ServerId,
    },
    /// Open the standing subscription to the list.
    Subscribe,
}
