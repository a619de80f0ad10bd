//! Decides when the endpoint list is polled, and how the time is divided in which a change must
//! take effect. Pure.
//!
//! A change counts [`LIST_PROPAGATION_BOUND`] after discovery has it and can be reached, whether it
//! was received or not. In the worst case a call or a watch falls silent right before that moment:
//! it is given up after [`SILENCE_TIMEOUT`], the next call is made within [`PAUSE`], and is answered before
//! it would be given up in turn. [`APPLY_MARGIN`] is left for the list to take effect.
//!
//! Discovery is one service for all balancers and works through calls one after another. Once it
//! rejects calls at once, its queue is full, and balancers that know nothing of one another have to
//! share it. Two rules keep it busy with calls that somebody still waits for: a call that it has
//! accepted is waited for ([`CALL_TIMEOUT`]), and one that was rejected is made again after about
//! as long as the list has been missing, so that the calls of all thin out until discovery keeps
//! up.

use crate::interface::{Settings, SignedDuration, Time};

/// A change of the list counts this long after discovery has it (PROTOCOL, "Figures").
pub const LIST_PROPAGATION_BOUND: SignedDuration = SignedDuration(6_000_000);
/// A call or a watch without a message for this long is dead. A watch has one every 2 s (PROTOCOL,
/// "Discovery"), which a busy moment may delay.
pub const SILENCE_TIMEOUT: SignedDuration = SignedDuration(2_600_000);
/// Time from the last byte of a list until it takes effect.
pub const APPLY_MARGIN: SignedDuration = SignedDuration(300_000);
/// How long a call is waited for that discovery has accepted and not answered: it may be queued
/// there for 3 s. While discovery rejects other calls, this is doubled by each call given up so,
/// [`MAX_CALL_TIMEOUT_DOUBLINGS`] times at most.
pub const CALL_TIMEOUT: SignedDuration = SignedDuration(3_200_000);
/// Most doublings of [`CALL_TIMEOUT`].
pub const MAX_CALL_TIMEOUT_DOUBLINGS: u32 = 2;
/// Longest wait for the next call, if the last call or a watch may have been silent until it was
/// given up.
pub const PAUSE: SignedDuration =
    SignedDuration(LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0 - 2 * SILENCE_TIMEOUT.0);
/// Longest wait after a call that failed at once. It leaves time for two calls within the bound,
/// since the first may fail again when all balancers call at once.
const LONG_PAUSE: SignedDuration =
    SignedDuration((LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0 - SILENCE_TIMEOUT.0) / 2);

/// Longest first wait, as a share of [`crate::interface::Rules::list_poll_interval`]: restarts must
/// not overload discovery. Each failure doubles it.
const JITTER_OF_INTERVAL: f64 = 0.05;
/// Most doublings of that wait.
const MAX_JITTER_DOUBLINGS: u32 = 3;
/// Calls a second of all balancers together to a discovery that rejects calls, at most.
const CALLS_PER_SECOND: f64 = 400.0;
/// The same once the list has been missing for long: a rejected call costs discovery little, but
/// not nothing.
const LATE_CALLS_PER_SECOND: f64 = 10.0;
/// Shortest wait after a rejected call, whatever the number of balancers.
const MIN_REJECTED_PAUSE: SignedDuration = SignedDuration(50_000);
/// The longest wait after a rejected call is no shorter than this: callers of other kinds may be
/// many.
const MIN_LONGEST_PAUSE: SignedDuration = SignedDuration(500_000);
/// The longest wait after a rejected call, in poll intervals. A change counts for a balancer that
/// has not polled for four.
const LONGEST_PAUSE_OF_INTERVAL: f64 = 2.0;
/// Part of a wait after a rejected call that is certain; the rest is random.
const CERTAIN_PART: f64 = 0.5;
/// A call unanswered for this share of the poll interval is made again. Only a caller that never
/// gives up a call gets there.
const REPEAT_OF_INTERVAL: f64 = 0.5;
/// Microseconds in a second.
const SECOND_US: f64 = 1e6;

/// When to poll next, where the list must be polled. Jitters are random numbers from 0 to 1.
#[derive(Debug)]
pub struct ListPoller {
    poll_interval: SignedDuration,
    balancers: f64,
    subscribed: bool,
    /// Since when there has been no subscription.
    missing_since: Time,
    /// When a call is due; `None` where the list need not be polled.
    next: Option<Time>,
    /// When the present call was made; `None` if there is none.
    polled_at: Option<Time>,
    failures: u32,
}

impl ListPoller {
    /// Polls for the first time after a random part of [`PAUSE`] at most.
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

    /// When a call is due, unless an event comes before.
    pub fn next(&self) -> Option<Time> {
        self.next
    }

    /// Whether a call is due. If so, it counts as made.
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

    /// Discovery has sent a list: the subscription is open.
    pub fn notified(&mut self) {
        (self.subscribed, self.polled_at, self.failures) = (true, None, 0);
    }

    /// The call failed, or the subscription ended.
    pub fn failed(&mut self, now: Time, jitter: f64) {
        self.subscription_ended(now);
        self.failures = (self.failures + 1).min(MAX_JITTER_DOUBLINGS);
        // For how long a subscription was silent is not known.
        let silent = self
            .polled_at
            .take()
            .map_or(SILENCE_TIMEOUT, |polled_at| now.since(polled_at).min(SILENCE_TIMEOUT));
        let remaining = SignedDuration(
            LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0 - SILENCE_TIMEOUT.0 - silent.0,
        );
        self.next = self.next.map(|_| now.plus(self.backoff(remaining.min(LONG_PAUSE), jitter)));
    }

    /// Discovery rejected the call at once: it works, and has more callers than it can serve.
    pub fn rejected(&mut self, now: Time, jitter: f64) {
        self.subscription_ended(now);
        self.polled_at = None;
        let longest = (self.balancers / LATE_CALLS_PER_SECOND * SECOND_US)
            .max(MIN_LONGEST_PAUSE.as_micros_f64());
        let longest = longest.min(self.poll_interval.as_micros_f64() * LONGEST_PAUSE_OF_INTERVAL);
        let shortest =
            (self.balancers / CALLS_PER_SECOND * SECOND_US).max(MIN_REJECTED_PAUSE.as_micros_f64());
        let pause = now.since(self.missing_since).as_micros_f64().max(shortest).min(longest);
        let share = CERTAIN_PART + (1.0 - CERTAIN_PART) * jitter;
        self.next = self.next.map(|_| now.plus(SignedDuration::from_micros_f64(pause * share)));
    }

    /// The list has been missing from now on, if there was a subscription.
    fn subscription_ended(&mut self, now: Time) {
        if std::mem::take(&mut self.subscribed) {
            self.missing_since = now;
        }
    }

    /// A random wait of `longest` at most.
    fn backoff(&self, longest: SignedDuration, jitter: f64) -> SignedDuration {
        let share = JITTER_OF_INTERVAL * f64::from(1 << self.failures);
        SignedDuration::from_micros_f64(
            jitter * (share * self.poll_interval.as_micros_f64()).min(longest.as_micros_f64()),
        )
    }
}
