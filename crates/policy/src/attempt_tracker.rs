//! Tracks attempts in flight, so that potentially overdue attempts are found without a scan of all
//! attempts.
//!
//! [`crate::policy`] decides when an attempt is overdue, and on the consequences.

use std::collections::VecDeque;

use hollowpaddle_ordered_collections::tournament::{Key, TournamentTree};

use crate::interface::{RequestId, SignedDuration, Time};

/// An attempt that may still be in flight, with the data that determines when it is overdue. The
/// data is copied here since a lookup of the request costs more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedAttempt {
    /// Number in the order of sending; set by [`AttemptTracker::track`].
    pub(crate) order: u64,
    pub(crate) request: RequestId,
    /// Number among the attempts of the request.
    pub(crate) attempt: usize,
    pub(crate) class: usize,
    pub(crate) sent: Time,
    pub(crate) queue_deadline: Time,
    /// Whether an earlier check found the attempt overdue or due for a hedge.
    pub(crate) was_due: bool,
}

/// Attempts of one class that are not due yet.
#[derive(Debug)]
struct ClassAttempts {
    /// Attempts in the order of sending, which is also the order in which they become due. Some of
    /// them have ended.
    attempts: VecDeque<TrackedAttempt>,
    /// Time after which an attempt may be due.
    hedge_delay: SignedDuration,
}

impl ClassAttempts {
    /// Returns the time at which the first attempt may be due, as a key.
    fn first_due(&self) -> Key {
        let first = self.attempts.front();
        first.map_or(Key::ABSENT, |a| time_key(a.sent.plus(self.hedge_delay)))
    }
}

/// Returns a key that has the same order as times.
fn time_key(at: Time) -> Key {
    Key(at.0 as u64 ^ 1 << 63, 0)
}

/// All attempts that may be in flight. Attempts that may be due are checked in rounds.
#[derive(Debug)]
pub(crate) struct AttemptTracker {
    classes: Vec<ClassAttempts>,
    /// Classes by the time at which their first attempt may be due.
    next_due: TournamentTree,
    /// Attempts of all classes that may be due, in the order of sending: first the attempts that
    /// this round has not reached, then the attempts that it has retained.
    due: VecDeque<TrackedAttempt>,
    /// Attempts that may have become due since this round began.
    newly_due: Vec<TrackedAttempt>,
    /// Number of attempts tracked so far.
    tracked: u64,
    /// Number of attempts that this round has not reached.
    remaining: usize,
}

impl AttemptTracker {
    /// Creates a tracker without attempts, with the hedge delay of each class.
    pub(crate) fn new(hedge_delays: impl Iterator<Item = SignedDuration>) -> Self {
        let empty = |hedge_delay| ClassAttempts { attempts: VecDeque::new(), hedge_delay };
        Self {
            classes: hedge_delays.map(empty).collect(),
            next_due: TournamentTree::default(),
            due: VecDeque::new(),
            newly_due: Vec::new(),
            tracked: 0,
            remaining: 0,
        }
    }

    /// Tracks an attempt that is sent now.
    pub(crate) fn track(&mut self, attempt: TrackedAttempt) {
        self.tracked += 1;
        let class = &mut self.classes[attempt.class];
        class.attempts.push_back(TrackedAttempt { order: self.tracked, ..attempt });
        if class.attempts.len() == 1 {
            self.next_due.set(attempt.class, class.first_due());
        }
    }

    /// Sets the time after which attempts of a class may be due.
    pub(crate) fn set_hedge_delay(&mut self, class: usize, hedge_delay: SignedDuration) {
        self.classes[class].hedge_delay = hedge_delay;
        self.next_due.set(class, self.classes[class].first_due());
    }

    /// Collects attempts that may be due by now for the next round, at most `limit` of each class.
    /// Attempts that are no longer in flight are dropped.
    pub(crate) fn collect_due(
        &mut self,
        now: Time,
        limit: usize,
        is_in_flight: impl Fn(&TrackedAttempt) -> bool,
    ) {
        let mut over_limit = Vec::new();
        while let Some((_, number)) = self.next_due.best().filter(|(key, _)| *key <= time_key(now))
        {
            let class = &mut self.classes[number];
            let sent_by = now.plus(SignedDuration(-class.hedge_delay.0));
            for _ in 0..limit {
                let Some(first) = class.attempts.pop_front_if(|a| a.sent <= sent_by) else { break };
                if is_in_flight(&first) {
                    self.newly_due.push(first);
                }
            }
            let first_due = class.first_due();
            if first_due <= time_key(now) {
                over_limit.push(number);
                self.next_due.set(number, Key::ABSENT);
            } else {
                self.next_due.set(number, first_due);
            }
        }
        for number in over_limit {
            self.next_due.set(number, self.classes[number].first_due());
        }
    }

    /// Begins a round over all attempts that may be due. The cost is that of a merge and not of a
    /// sort, since there are many attempts with many upstreams.
    pub(crate) fn begin_round(&mut self) {
        // The retained attempts were sent before the attempts that the round has not reached.
        self.due.rotate_left(self.remaining);
        self.newly_due.sort_unstable_by_key(|a| a.order);
        if let Some(first) = self.newly_due.first() {
            let from = self.due.partition_point(|a| a.order < first.order);
            self.due.extend(self.newly_due.drain(..));
            // A stable sort merges the two ordered runs.
            self.due.make_contiguous()[from..].sort_by_key(|a| a.order);
        }
        self.remaining = self.due.len();
    }

    /// Returns the next attempt of the round; `None` at its end. The attempt is no longer tracked
    /// unless it is retained.
    pub(crate) fn next(&mut self) -> Option<TrackedAttempt> {
        self.remaining = self.remaining.checked_sub(1)?;
        self.due.pop_front()
    }

    /// Continues to track an attempt that [`Self::next`] returned.
    pub(crate) fn retain(&mut self, attempt: TrackedAttempt) {
        self.due.push_back(attempt);
    }
}
