//! Settings of a balancer, and their validation.

use super::class::{Class, Tenant};
use super::time::SignedDuration;

/// What the deployment allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Requests may be hedged: two attempts of one may be in flight at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Health checks may be sent to upstreams.
    pub probes: bool,
    /// Rejections carry advice on when to retry (Retry-After).
    pub retry_after: bool,
    /// Longest advice that a client follows.
    pub max_retry_after: SignedDuration,
    /// A connection that is not open within this time counts as failed.
    pub connect_timeout: SignedDuration,
    /// Idle connections close after this time.
    pub keepalive: SignedDuration,
    /// Attempts that one connection carries at once, at most.
    pub streams_per_conn: u32,
}

impl Limits {
    /// Three attempts a request, and nothing that is optional.
    fn basic() -> Self {
        Self {
            max_attempts: 3,
            hedging: false,
            cancel: false,
            probes: false,
            retry_after: false,
            max_retry_after: SignedDuration(0),
            connect_timeout: SignedDuration(0),
            keepalive: SignedDuration(0),
            streams_per_conn: 1,
        }
    }
}

/// Figures of the rules on draining, slow start and the endpoint list.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Share of its capacity that a starting upstream has at least, from 0 to 1.
    pub warm_up_initial_share: f64,
    /// Time after which it has all of its capacity.
    pub warm_up: SignedDuration,
    /// It is overloaded when it is sent more than this many times its present capacity for
    /// [`Self::overload_window`].
    pub overload_multiple: f64,
    /// How long it must be sent too much to be overloaded.
    pub overload_window: SignedDuration,
    /// How long after the notice of a drain a send may still go out.
    pub drain_grace: SignedDuration,
    /// A final answer counts until this long after the client's deadline.
    pub answer_slack: SignedDuration,
    /// Where the list is polled: a change counts as known after this time without an answer.
    pub list_poll_interval: SignedDuration,
    /// Idle connections to a draining upstream must be closed within this time; zero where no rule
    /// says so.
    pub idle_close_limit: SignedDuration,
    /// How long an ordering key rests after an attempt that may still be running.
    pub ordering_key_rest: SignedDuration,
}

impl Rules {
    /// No slow start, and no time where a rule asks for one.
    fn basic() -> Self {
        Self {
            warm_up_initial_share: 1.0,
            warm_up: SignedDuration(0),
            overload_multiple: 1.0,
            overload_window: SignedDuration(0),
            drain_grace: SignedDuration(0),
            answer_slack: SignedDuration(0),
            list_poll_interval: SignedDuration(0),
            idle_close_limit: SignedDuration(0),
            ordering_key_rest: SignedDuration(0),
        }
    }
}

/// Prices, each per first attempt, as parts of the value of all requests.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that served no answer, per work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A health check.
    pub probe: f64,
    /// A request that ends unserved after its latency objective has passed.
    pub late_failure: f64,
}

/// Weights of the parts that the service is scored by.
#[derive(Clone, Debug, Default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// Its worst window of time.
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

/// The settings of a balancer, which hold for as long as it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Balancers of the cluster, this one included.
    pub balancers: u32,
    /// The number of this balancer among them, from 0.
    pub position: u32,
    /// Number of zones.
    pub zones: u32,
    /// Zone of this balancer.
    pub zone: u32,
    /// Least time between two deliveries of events.
    pub tick: SignedDuration,
    /// The endpoint list must be polled.
    pub polls_list: bool,
    /// What the deployment allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
    /// How the service is scored.
    pub mix: ScoringMix,
    /// Priority weight of a request beyond the quota of its tenant, as a part of that of its class.
    pub over_quota_weight: f64,
    /// Value counts by unit of work, not by request.
    pub counts_by_work: bool,
    /// Clients mark requests that they send again.
    pub marks_retry: bool,
    /// Where load reports come from.
    pub reports: Reports,
    /// Classes may be barred from single upstreams
    /// ([`Member::barred_classes`](crate::interface::Member::barred_classes)): each of them has a capacity group of
    /// its own.
    pub bars_classes: bool,
    /// A hash of what the numbers of classes, zones and machine types stand for. What a balancer
    /// has learned under another one does not apply here; see [`crate::learned`].
    pub numbering_hash: u64,
}

impl Settings {
    /// One balancer with these classes, one zone, three attempts a request, and no further rules or
    /// prices: a base to fill in from.
    pub fn basic(classes: Vec<Class>) -> Self {
        Self {
            classes,
            tenants: Vec::new(),
            balancers: 1,
            position: 0,
            zones: 1,
            zone: 0,
            tick: SignedDuration(1000),
            polls_list: false,
            limits: Limits::basic(),
            rules: Rules::basic(),
            prices: Prices::default(),
            mix: ScoringMix { whole: 1.0, ..ScoringMix::default() },
            over_quota_weight: 1.0,
            counts_by_work: false,
            marks_retry: false,
            reports: Reports::None,
            bars_classes: false,
            numbering_hash: 0,
        }
    }

    /// Returns the same settings with unsafe values replaced by the nearest safe ones.
    ///
    /// # Errors
    /// There is no class, or one with a latency objective or deadline that is not above zero.
    pub fn checked(mut self) -> Result<Self, SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(i) =
            self.classes.iter().position(|c| c.latency_objective.0 <= 0 || c.deadline.0 <= 0)
        {
            return Err(SettingsError::InvalidLatencyObjective(i));
        }
        // With a tick or an initial share of zero, a timer or an upstream would never get anywhere.
        self.tick.0 = self.tick.0.max(100);
        self.balancers = self.balancers.max(1);
        self.limits.max_attempts = self.limits.max_attempts.max(1);
        let longest_advice =
            if self.limits.retry_after { self.limits.max_retry_after.0.max(0) } else { 0 };
        self.limits.max_retry_after = SignedDuration(longest_advice);
        self.rules.warm_up_initial_share = self.rules.warm_up_initial_share.clamp(0.01, 1.0);
        self.rules.list_poll_interval.0 =
            self.rules.list_poll_interval.0.max(self.tick.0.saturating_mul(10));
        Ok(self)
    }
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings name no request class")]
    NoClasses,
    /// The latency objective or deadline of this class is not above zero.
    #[error("class {0} has an aim or deadline that is not above zero")]
    InvalidLatencyObjective(usize),
}
