//! Settings of a balancer, and their validation.

use super::class::{Class, Tenant};
use super::time::Span;

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
    /// Classes may be kept from single upstreams as rules change ([`Member::barred`](crate::interface::Member::barred)): each has sums of its own.
    pub barring: bool,
    /// Tells what the numbers of classes, zones and kinds mean: what a balancer has learned under another of these is
    /// none of this one's. See [`crate::learned`].
    pub meaning: u64,
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
