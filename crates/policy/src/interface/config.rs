//! Settings of a balancer, and their validation.

use super::class::{Class, Tenant};
use super::time::SignedDuration;

/// Limits and optional features that the deployment sets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Whether requests may be hedged, so that two attempts of one request may be in flight.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks may be sent to upstreams.
    pub probes: bool,
    /// Whether rejections carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients respect.
    pub max_retry_after: SignedDuration,
    /// A connection that is not open within this time counts as failed.
    pub connect_timeout: SignedDuration,
    /// Idle connections close after this time.
    pub keepalive: SignedDuration,
    /// Most concurrent attempts on one connection.
    pub streams_per_conn: u32,
}

impl Limits {
    /// Returns limits with three attempts per request and without optional features.
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

/// Parameters of the rules on draining, slow start, the endpoint list and ordering keys.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Least share of its full capacity that a starting upstream has, from 0 to 1.
    pub warm_up_initial_share: f64,
    /// Time after which a starting upstream has its full capacity.
    pub warm_up: SignedDuration,
    /// A starting upstream is overloaded when it is sent more than this many times its present
    /// capacity for [`Self::overload_window`].
    pub overload_multiple: f64,
    /// Time for which the sends must exceed [`Self::overload_multiple`] to overload an upstream.
    pub overload_window: SignedDuration,
    /// Time for which sends are still allowed after an upstream is reported as draining.
    pub drain_grace: SignedDuration,
    /// A final answer counts until this time after the client's deadline.
    pub answer_slack: SignedDuration,
    /// Interval of polls of the endpoint list, where it is polled. A change counts as known after
    /// this time without an answer.
    pub list_poll_interval: SignedDuration,
    /// Idle connections to a draining upstream must be closed within this time; zero where no rule
    /// requires it.
    pub idle_close_limit: SignedDuration,
    /// Time for which an ordering key is blocked after an attempt that may still be running.
    pub ordering_key_rest: SignedDuration,
}

impl Rules {
    /// Returns rules without slow start and with all times zero.
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

/// Prices, each per first attempt, as shares of the value of all requests.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that led to no answer, per work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A health check.
    pub probe: f64,
    /// A request that ends unserved after its latency objective has passed.
    pub late_failure: f64,
}

/// Weights of the parts of the service score.
#[derive(Clone, Debug, Default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// The worst time window of the run.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// How upstreams deliver load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Upstreams deliver no load reports.
    #[default]
    None,
    /// Answers and health checks carry load reports.
    Answers,
    /// Only health checks carry load reports.
    Probes,
}

/// The settings of a balancer. They do not change while the balancer runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of balancers of the cluster, this one included.
    pub balancers: u32,
    /// Number of this balancer in the cluster, from 0.
    pub position: u32,
    /// Number of zones.
    pub zones: u32,
    /// Zone of this balancer.
    pub zone: u32,
    /// Least time between two deliveries of events.
    pub tick: SignedDuration,
    /// Whether the endpoint list must be polled.
    pub polls_list: bool,
    /// Limits and optional features that the deployment sets.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
    /// Weights of the parts of the service score.
    pub mix: ScoringMix,
    /// Priority weight of a request beyond the quota of its tenant, as a share of the priority
    /// weight of its class.
    pub over_quota_weight: f64,
    /// Whether value is counted per unit of work instead of per request.
    pub counts_by_work: bool,
    /// Whether clients mark requests that they send again.
    pub marks_retry: bool,
    /// How upstreams deliver load reports.
    pub reports: Reports,
    /// Whether classes may be barred from single upstreams
    /// ([`Member::barred_classes`](crate::interface::Member::barred_classes)). If so, each of these
    /// classes has its own capacity group.
    pub bars_classes: bool,
    /// Hash of the names that the numbers of classes, zones and machine types stand for. Learned
    /// state that was stored under another hash does not apply; see [`crate::learned`].
    pub numbering_hash: u64,
}

impl Settings {
    /// Returns settings for one balancer with these classes, one zone, three attempts per request,
    /// and no further rules or prices. Callers change single fields of the result.
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

    /// Returns these settings with unsafe values replaced by the nearest safe values.
    ///
    /// # Errors
    /// Returns an error if there is no class, or if a latency objective or deadline is not above
    /// zero.
    pub fn checked(mut self) -> Result<Self, SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(i) =
            self.classes.iter().position(|c| c.latency_objective.0 <= 0 || c.deadline.0 <= 0)
        {
            return Err(SettingsError::InvalidLatencyObjective(i));
        }
        // A tick of zero would fire timers without time passing; with an initial share of zero, a
        // starting upstream would never earn a send.
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

/// The reason for which settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings name no request class")]
    NoClasses,
    /// The latency objective or deadline of this class is not above zero.
    #[error("class {0} has an aim or deadline that is not above zero")]
    InvalidLatencyObjective(usize),
}
