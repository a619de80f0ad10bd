//! When discovery is asked for the list, and how the time is divided that its news may take. Pure.
//!
//! What discovery has to tell counts as told [`TOLD_AFTER`] after it has it and can be reached, heard or not. At worst a
//! call or a watch falls silent right before that moment: it is given up after [`SILENCE`], the next call is made within
//! [`PAUSE`], and is answered before it would be given up in turn. [`MARGIN`] is left for the way of the list into force.

use crate::interface::{Span, Time};

/// What discovery has to tell counts as told so long after it has it (PROTOCOL, "Figures").
pub const TOLD_AFTER: Span = Span(6_000_000);
/// A call or a watch without a word for so long is dead. A watch has one every 2 s (PROTOCOL, "Discovery"); a busy moment
/// may hold that up.
pub const SILENCE: Span = Span(2_600_000);
/// From the last byte of a list to its being in force. Failure: with none, a list that is read in time is obeyed too late.
pub const MARGIN: Span = Span(300_000);
/// Longest wait for the next call, where the last one or a watch may have been silent all the while.
pub const PAUSE: Span = Span(TOLD_AFTER.0 - MARGIN.0 - 2 * SILENCE.0);
/// Longest wait after a call that failed at once. Failure: without a second one in the same time, a call that is refused
/// in the crowd of a return costs the bound.
const LONG_PAUSE: Span = Span((TOLD_AFTER.0 - MARGIN.0 - SILENCE.0) / 2);

/// Longest first wait, as a share of `ask_every`: where asking is dear, restarts must not swamp discovery. Each failure
/// doubles it.
const JITTER_OF_EVERY: f64 = 0.05;
/// Most doublings of that.
const DOUBLINGS: u32 = 3;
/// A call unanswered for this share of `ask_every` is made again. Only a caller that gives up no calls gets there.
const AGAIN_OF_EVERY: f64 = 0.5;

/// Where the list must be asked: when to ask next.
#[derive(Debug)]
pub struct Asking {
    every: Span,
    subscribed: bool,
    next: Time,
    /// When it was asked, while that call is out.
    asked: Option<Time>,
    failures: u32,
}

impl Asking {
    /// Of one that starts now. `draw` is between 0 and 1, as in all that follows.
    pub fn new(every: Span, now: Time, draw: f64) -> Self {
        let mut asking = Self { every, subscribed: false, next: now, asked: None, failures: 0 };
        asking.next = now.plus(asking.wait(PAUSE, draw));
        asking
    }

    /// When a call is due, if nothing happens before.
    pub fn next(&self) -> Time {
        self.next
    }

    /// Whether a call is due; counts as made then.
    pub fn asks(&mut self, now: Time) -> bool {
        let due = !self.subscribed && now >= self.next;
        if due {
            self.asked = Some(now);
            let again = Span::of(self.every.f() * AGAIN_OF_EVERY).0.min(SILENCE.0 + PAUSE.0);
            self.next = now.plus(Span(again));
        }
        due
    }

    /// Discovery has told something: the subscription stands.
    pub fn told(&mut self) {
        (self.subscribed, self.asked, self.failures) = (true, None, 0);
    }

    /// The call failed, or the subscription ended.
    pub fn failed(&mut self, now: Time, draw: f64) {
        self.subscribed = false;
        self.failures = (self.failures + 1).min(DOUBLINGS);
        // Of a subscription it is not known for how long it was silent.
        let silent = self.asked.take().map_or(SILENCE, |asked| now.since(asked).min(SILENCE));
        let left = Span(TOLD_AFTER.0 - MARGIN.0 - SILENCE.0 - silent.0);
        self.next = now.plus(self.wait(left.min(LONG_PAUSE), draw));
    }

    fn wait(&self, most: Span, draw: f64) -> Span {
        let share = JITTER_OF_EVERY * f64::from(1 << self.failures);
        Span::of(draw * (share * self.every.f()).min(most.f()))
    }
}
