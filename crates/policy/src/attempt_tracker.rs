//! Attempts in flight, in the order in which they may become overdue.

use std::collections::VecDeque;

use hollowpaddle_ordered_collections::tournament::{Key, TournamentTree};

use crate::interface::{RequestId, Span, Time};

/// An attempt that may still be out, with what tells when it is overdue: a look at its request costs more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedAttempt {
    /// Counts sends.
    pub(crate) order: u64,
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
    pub(crate) class: usize,
    pub(crate) sent: Time,
    pub(crate) queue_deadline: Time,
    /// It was overdue once.
    pub(crate) was_due: bool,
}

/// Attempts of one class that are not due yet.
#[derive(Debug)]
struct ClassAttempts {
    /// In the order of sending, which is that of coming due. Some have ended.
    attempts: VecDeque<TrackedAttempt>,
    /// They may be due so long after they were sent.
    hedge_delay: Span,
}

impl ClassAttempts {
    /// When the first may be due, as a key.
    fn due(&self) -> Key {
        let first = self.attempts.front();
        first.map_or(Key::OUT, |w| time_key(w.sent.plus(self.hedge_delay)))
    }
}

/// A key that orders as times do.
fn time_key(at: Time) -> Key {
    Key(at.0 as u64 ^ 1 << 63, 0)
}

/// Attempts that are out, so that those that may be overdue are found without going through all.
#[derive(Debug)]
pub(crate) struct AttemptTracker {
    /// By class.
    by_class: Vec<ClassAttempts>,
    /// Which class has attempts that are due next.
    due: TournamentTree,
    /// Those that may be due, all classes in the order of sending: what this round has not looked at, and behind it
    /// what it has kept.
    due_attempts: VecDeque<TrackedAttempt>,
    /// Those that have come to be so since the round began.
    newly_due: Vec<TrackedAttempt>,
    sent: u64,
    /// How many of the ripe ones this round has not looked at.
    remaining: usize,
}

impl AttemptTracker {
    /// With each class's patience.
    pub(crate) fn new(hedge_delay: impl Iterator<Item = Span>) -> Self {
        let by_class = |hedge_delay| ClassAttempts { attempts: VecDeque::new(), hedge_delay };
        Self {
            by_class: hedge_delay.map(by_class).collect(),
            due: TournamentTree::default(),
            due_attempts: VecDeque::new(),
            newly_due: Vec::new(),
            sent: 0,
            remaining: 0,
        }
    }

    /// One has been sent.
    pub(crate) fn track(&mut self, w: TrackedAttempt) {
        self.sent += 1;
        self.by_class[w.class].attempts.push_back(TrackedAttempt { order: self.sent, ..w });
        if self.by_class[w.class].attempts.len() == 1 {
            self.due.set(w.class, self.by_class[w.class].due());
        }
    }

    /// Attempts of a class may be due so long after they were sent, from now on.
    pub(crate) fn set_hedge_delay(&mut self, class: usize, hedge_delay: Span) {
        self.by_class[class].hedge_delay = hedge_delay;
        self.due.set(class, self.by_class[class].due());
    }

    /// Those that may be due by now ripen, so many of each class, or are dropped if they are not out any more.
    pub(crate) fn collect_due(
        &mut self,
        now: Time,
        most: usize,
        out: impl Fn(&TrackedAttempt) -> bool,
    ) {
        let mut left_over = Vec::new();
        while let Some((_, class)) = self.due.best().filter(|(key, _)| *key <= time_key(now)) {
            let by_class = &mut self.by_class[class];
            let by = now.plus(Span(-by_class.hedge_delay.0));
            for _ in 0..most {
                let Some(w) = by_class.attempts.pop_front_if(|w| w.sent <= by) else { break };
                if out(&w) {
                    self.newly_due.push(w);
                }
            }
            let due = by_class.due();
            if due <= time_key(now) {
                left_over.push(class);
                self.due.set(class, Key::OUT);
            } else {
                self.due.set(class, due);
            }
        }
        for class in left_over {
            self.due.set(class, self.by_class[class].due());
        }
    }

    /// Begins a round over the ripe ones. Failure: all of them sorted anew, tens of times a second, was the longest
    /// event before large fleets.
    pub(crate) fn begin_round(&mut self) {
        // What was kept was sent before what was not reached.
        self.due_attempts.rotate_left(self.remaining);
        self.newly_due.sort_unstable_by_key(|w| w.order);
        if let Some(first) = self.newly_due.first() {
            let from = self.due_attempts.partition_point(|w| w.order < first.order);
            self.due_attempts.extend(self.newly_due.drain(..));
            // Two runs: a merge.
            self.due_attempts.make_contiguous()[from..].sort_by_key(|w| w.order);
        }
        self.remaining = self.due_attempts.len();
    }

    /// The next one of the round, until it is over; it is forgotten unless it is kept.
    pub(crate) fn next(&mut self) -> Option<TrackedAttempt> {
        self.remaining = self.remaining.checked_sub(1)?;
        self.due_attempts.pop_front()
    }

    pub(crate) fn retain(&mut self, w: TrackedAttempt) {
        self.due_attempts.push_back(w);
    }
}
