//! Decides when the endpoint list is polled, and defines how the time in which a change must take
//! effect is divided. This module does no I/O.
//!
//! A change counts [`LIST_PROPAGATION_BOUND`] after discovery has it and is reachable, whether the
//! balancer has received it or not. In the worst case, a call or a watch falls silent right before
//! the change. The balancer gives the call up after [`SILENCE_TIMEOUT`], makes the next call within
//! [`PAUSE`], and gets the answer within another [`SILENCE_TIMEOUT`]. The remaining time,
//! [`APPLY_MARGIN`], is for the list to take effect.
//!
//! Discovery is one service for all balancers and handles calls one after another. When it rejects
//! calls at once, its queue is full, and balancers that do not know of one another have to share
//! the service. Two rules ensure that discovery handles only calls whose caller is still waiting.
//! First, a balancer waits for a call that discovery has accepted ([`CALL_TIMEOUT`]). Second, it
//! repeats a rejected call after about as long as the list has been missing, so that the rate of all
//! calls falls until discovery keeps up.

use crate::interface::{Settings, SignedDuration, Time};

/// Time after which a change of the list counts once discovery has it (PROTOCOL, "Figures").
pub const LIST_PROPAGATION_BOUND: SignedDuration = SignedDuration(6_000_000);
/// A call or a watch without a message for this time is dead. A watch delivers a message every 2 s
/// (PROTOCOL, "Discovery"), which load may delay.
pub const SILENCE_TIMEOUT: SignedDuration = SignedDuration(2_600_000);
/// Time from the last byte of a list until it takes effect.
pub const APPLY_MARGIN: SignedDuration = SignedDuration(300_000);
/// Timeout of a call that discovery has accepted: the call may be queued there for 3 s. While
/// discovery rejects other calls, each call that times out doubles this timeout, at most
/// [`MAX_CALL_TIMEOUT_DOUBLINGS`] times.
pub const CALL_TIMEOUT: SignedDuration = SignedDuration(3_200_000);
/// Most doublings of [`CALL_TIMEOUT`].
pub const MAX_CALL_TIMEOUT_DOUBLINGS: u32 = 2;
/// Longest wait before the next call, if the last call or a watch may have been silent for
/// [`SILENCE_TIMEOUT`].
pub const PAUSE: SignedDuration =
    SignedDuration(LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0 - 2 * SILENCE_TIMEOUT.0);
/// Longest wait after a call that failed at once. The bound leaves time for two more calls, since
/// the first one may fail again when all balancers call at the same time.
const LONG_PAUSE: SignedDuration =
    SignedDuration((LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0 - SILENCE_TIMEOUT.0) / 2);

/// Longest initial wait, as a share of [`crate::interface::Rules::list_poll_interval`], so that
/// restarts do not overload discovery. Each failure doubles the wait.
const JITTER_OF_INTERVAL: f64 = 0.05;
/// Most doublings of the initial wait.
const MAX_JITTER_DOUBLINGS: u32 = 3;
/// Most calls per second, by all balancers together, while discovery rejects calls.
const CALLS_PER_SECOND: f64 = 400.0;
/// Most calls per second once the list has been missing for long: a rejected call costs discovery
/// little, but not nothing.
const LATE_CALLS_PER_SECOND: f64 = 10.0;
/// Shortest wait after a rejected call, whatever the number of balancers.
const MIN_REJECTED_PAUSE: SignedDuration = SignedDuration(50_000);
/// Lower bound of the longest wait after a rejected call: there may be many callers that are not
/// balancers.
const MIN_LONGEST_PAUSE: SignedDuration = SignedDuration(500_000);
/// The longest wait after a rejected call, in poll intervals. A change counts for a balancer that
/// has not polled for four intervals.
const LONGEST_PAUSE_OF_INTERVAL: f64 = 2.0;
/// Fixed share of a wait after a rejected call; the rest is random.
const FIXED_SHARE: f64 = 0.5;
/// A call that is unanswered for this share of the poll interval is repeated. This applies only to
/// callers without a timeout for calls.
const REPEAT_OF_INTERVAL: f64 = 0.5;
/// Microseconds in a second.
const SECOND_US: f64 = 1e6;

/// Schedules the polls of the endpoint list, where it must be polled. Jitters are random numbers
/// from 0 to 1.
#[derive(Debug)]
pub struct ListPoller {
    poll_interval: SignedDuration,
    balancers: f64,
    subscribed: bool,
    /// Time since which there has been no subscription.
    missing_since: Time,
    /// When the next call is due; `None` where the list need not be polled.
    next: Option<Time>,
    /// When the present call was made; `None` if there is no call.
    polled_at: Option<Time>,
    failures: u32,
}

impl ListPoller {
    /// Creates a poller whose first poll follows after a random time of at most [`PAUSE`].
    pub fn new(settings: &Settings, now: Time, jitter: f64) -> Self {
        let mut poller = Self {
            poll_interval: settings.rules.list_poll_interval,
            balancers: f64::from(settings.balancers),
            subscribed: false,
            missing_since: now,
            next: None,
            polled_at: None,
            failures: 0,
        };
        if settings.polls_list {
            poller.next = Some(now.plus(poller.backoff(PAUSE, jitter)));
        }
        poller
    }

    /// Returns when the next call is due, unless an event changes it before.
    pub fn next(&self) -> Option<Time> {
        self.next
    }

    /// Returns whether a call is due. If so, the call counts as made.
    pub fn poll_if_due(&mut self, now: Time) -> bool {
        let due = !self.subscribed && self.next.is_some_and(|next| now >= next);
        if due {
            self.polled_at = Some(now);
            let repeat = SignedDuration::from_micros_f64(
                self.poll_interval.as_micros_f64() * REPEAT_OF_INTERVAL,
            )
            .0
            .min(SILENCE_TIMEOUT.0 + PAUSE.0);
            self.next = Some(now.plus(SignedDuration(repeat)));
        }
        due
    }

    /// Records that discovery has sent a list, so that the subscription is open.
    pub fn notified(&mut self) {
        (self.subscribed, self.polled_at, self.failures) = (true, None, 0);
    }

    /// Records that the call failed or the subscription ended.
    pub fn failed(&mut self, now: Time, jitter: f64) {
        self.subscription_ended(now);
        self.failures = (self.failures + 1).min(MAX_JITTER_DOUBLINGS);
        // It is unknown how long a subscription was silent before it ended.
        let silent = self
            .polled_at
            .take()
            .map_or(SILENCE_TIMEOUT, |polled_at| now.since(polled_at).min(SILENCE_TIMEOUT));
        let remaining = SignedDuration(
            LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0 - SILENCE_TIMEOUT.0 - silent.0,
        );
        self.next = self.next.map(|_| now.plus(self.backoff(remaining.min(LONG_PAUSE), jitter)));
    }

    /// Records that discovery rejected the call at once, since it has more callers than it can serve.
    pub fn rejected(&mut self, now: Time, jitter: f64) {
        self.subscription_ended(now);
        self.polled_at = None;
        let longest = (self.balancers / LATE_CALLS_PER_SECOND * SECOND_US)
            .max(MIN_LONGEST_PAUSE.as_micros_f64());
        let longest = longest.min(self.poll_interval.as_micros_f64() * LONGEST_PAUSE_OF_INTERVAL);
        let shortest =
            (self.balancers / CALLS_PER_SECOND * SECOND_US).max(MIN_REJECTED_PAUSE.as_micros_f64());
        let pause = now.since(self.missing_since).as_micros_f64().max(shortest).min(longest);
        let share = FIXED_SHARE + (1.0 - FIXED_SHARE) * jitter;
        self.next = self.next.map(|_| now.plus(SignedDuration::from_micros_f64(pause * share)));
    }

    /// Records that the list is missing from now on, if there was a subscription.
    fn subscription_ended(&mut self, now: Time) {
        if std::mem::take(&mut self.subscribed) {
            self.missing_since = now;
        }
    }

    /// Returns a random wait of at most `longest`.
    fn backoff(&self, longest: SignedDuration, jitter: f64) -> SignedDuration {
        let share = JITTER_OF_INTERVAL * f64::from(1 << self.failures);
        SignedDuration::from_micros_f64(
            jitter * (share * self.poll_interval.as_micros_f64()).min(longest.as_micros_f64()),
        )
    }
}
