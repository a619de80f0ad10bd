//! When discovery is asked for the list, and how the time is divided that its news may take. Pure.
//!
//! What discovery has to tell counts as told [`LIST_PROPAGATION_BOUND`] after it has it and can be reached, heard or not. At worst a
//! call or a watch falls silent right before that moment: it is given up after [`SILENCE`], the next call is made within
//! [`PAUSE`], and is answered before it would be given up in turn. [`MARGIN`] is left for the way of the list into force.
//!
//! Discovery is one service for all balancers and works through calls in turn. Once it turns calls away at once, its
//! queue is full, and balancers that know nothing of one another have to share it. Two rules keep it busy with calls that
//! somebody still waits for: a call that it has taken is waited for ([`CALL_PATIENCE`]), and one that was turned away is
//! made again after about as long as the list has been missing, so that the calls of all thin out until discovery keeps up.

use crate::interface::{Settings, Span, Time};

/// What discovery has to tell counts as told so long after it has it (PROTOCOL, "Figures").
pub const LIST_PROPAGATION_BOUND: Span = Span(6_000_000);
/// A call or a watch without a word for so long is dead. A watch has one every 2 s (PROTOCOL, "Discovery"); a busy moment
/// may hold that up.
pub const SILENCE: Span = Span(2_600_000);
/// From the last byte of a list to its being in force. Failure: with none, a list that is read in time is obeyed too late.
pub const MARGIN: Span = Span(300_000);
/// How long a call is waited for that discovery has taken, and not answered: it may wait for its turn there. While
/// discovery turns calls away, too, it is doubled by each one given up so, [`PATIENCE_DOUBLINGS`] times at most. Failure: given up after 2.6 s
/// before a discovery that keeps calls for 3 s, nearly every call was worked through after its caller had gone.
pub const CALL_PATIENCE: Span = Span(3_200_000);
/// Most doublings of that.
pub const PATIENCE_DOUBLINGS: u32 = 2;
/// Longest wait for the next call, where the last one or a watch may have been silent all the while.
pub const PAUSE: Span = Span(LIST_PROPAGATION_BOUND.0 - MARGIN.0 - 2 * SILENCE.0);
/// Longest wait after a call that failed at once. Failure: without a second one in the same time, a call that is refused
/// in the crowd of a return costs the bound.
const LONG_PAUSE: Span = Span((LIST_PROPAGATION_BOUND.0 - MARGIN.0 - SILENCE.0) / 2);

/// Longest first wait, as a share of `list_poll_interval`: where asking is dear, restarts must not swamp discovery. Each failure
/// doubles it.
const JITTER_OF_EVERY: f64 = 0.05;
/// Most doublings of that.
const DOUBLINGS: u32 = 3;
/// All balancers together call a crowded discovery no more often than this, in calls a second: each waits its part.
const CALLS_PER_SECOND: f64 = 400.0;
/// And no more often than this once the list has been missing for long: a refused call is cheap, not free.
const LATE_CALLS_PER_SECOND: f64 = 10.0;
/// Shortest wait after a call that was turned away, whatever the number of balancers.
const LEAST_PAUSE: Span = Span(50_000);
/// The longest one is no shorter than this: a few balancers may meet many callers of other kinds.
const LEAST_LONG_PAUSE: Span = Span(500_000);
/// And no longer than so many times `list_poll_interval`: a balancer that has not asked for four times that counts as told.
const LONGEST_PAUSE_OF_EVERY: f64 = 2.0;
/// Part of such a wait that is certain; the rest is random.
const CERTAIN_PART: f64 = 0.5;
/// A call unanswered for this share of `list_poll_interval` is made again. Only a caller that gives up no calls gets there.
const AGAIN_OF_EVERY: f64 = 0.5;

/// Where the list must be asked: when to ask next.
#[derive(Debug)]
pub struct ListPoller {
    poll_interval: Span,
    balancers: f64,
    subscribed: bool,
    /// Since when there has been no subscription.
    missing_since: Time,
    /// When a call is due; never, where the list is not asked for.
    next: Option<Time>,
    /// When it was asked, while that call is out.
    polled_at: Option<Time>,
    failures: u32,
}

impl ListPoller {
    /// Of one that starts now. `jitter` is between 0 and 1, as in all that follows.
    pub fn new(settings: &Settings, now: Time, jitter: f64) -> Self {
        let mut asking = Self {
            poll_interval: settings.rules.list_poll_interval,
            balancers: f64::from(settings.balancers),
            subscribed: false,
            missing_since: now,
            next: None,
            polled_at: None,
            failures: 0,
        };
        if settings.polls_list {
            asking.next = Some(now.plus(asking.backoff(PAUSE, jitter)));
        }
        asking
    }

    /// When a call is due, if nothing happens before.
    pub fn next(&self) -> Option<Time> {
        self.next
    }

    /// Whether a call is due; counts as made then.
    pub fn poll_if_due(&mut self, now: Time) -> bool {
        let due = !self.subscribed && self.next.is_some_and(|next| now >= next);
        if due {
            self.polled_at = Some(now);
            let again =
                Span::of(self.poll_interval.f() * AGAIN_OF_EVERY).0.min(SILENCE.0 + PAUSE.0);
            self.next = Some(now.plus(Span(again)));
        }
        due
    }

    /// Discovery has told something: the subscription stands.
    pub fn notified(&mut self) {
        (self.subscribed, self.polled_at, self.failures) = (true, None, 0);
    }

    /// The call failed, or the subscription ended.
    pub fn failed(&mut self, now: Time, jitter: f64) {
        self.subscription_ended(now);
        self.failures = (self.failures + 1).min(DOUBLINGS);
        // Of a subscription it is not known for how long it was silent.
        let silent =
            self.polled_at.take().map_or(SILENCE, |polled_at| now.since(polled_at).min(SILENCE));
        let left = Span(LIST_PROPAGATION_BOUND.0 - MARGIN.0 - SILENCE.0 - silent.0);
        self.next = self.next.map(|_| now.plus(self.backoff(left.min(LONG_PAUSE), jitter)));
    }

    /// Discovery turned the call away at once: it works, and has more callers than it can serve.
    pub fn rejected(&mut self, now: Time, jitter: f64) {
        self.subscription_ended(now);
        self.polled_at = None;
        let second = 1e6;
        let most = (self.balancers / LATE_CALLS_PER_SECOND * second).max(LEAST_LONG_PAUSE.f());
        let most = most.min(self.poll_interval.f() * LONGEST_PAUSE_OF_EVERY);
        let least = (self.balancers / CALLS_PER_SECOND * second).max(LEAST_PAUSE.f());
        let pause = now.since(self.missing_since).f().max(least).min(most);
        let share = CERTAIN_PART + (1.0 - CERTAIN_PART) * jitter;
        self.next = self.next.map(|_| now.plus(Span::of(pause * share)));
    }

    /// There is no subscription any more, if there was one.
    fn subscription_ended(&mut self, now: Time) {
        if std::mem::take(&mut self.subscribed) {
            self.missing_since = now;
        }
    }

    fn backoff(&self, most: Span, jitter: f64) -> Span {
        let share = JITTER_OF_EVERY * f64::from(1 << self.failures);
        Span::of(jitter * (share * self.poll_interval.f()).min(most.f()))
    }
}
