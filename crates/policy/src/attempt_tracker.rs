//! Attempts in flight, in the order in which they may become overdue.

use std::collections::VecDeque;

use hollowpaddle_ordered_collections::tournament::{Key, TournamentTree};

use crate::interface::{RequestId, Span, Time};

/// An attempt that may still be out, with what tells when it is overdue: a look at its request costs more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watched {
    /// Counts sends.
    pub(crate) order: u64,
    pub(crate) request: RequestId,
    pub(crate) attempt: usize,
    pub(crate) class: usize,
    pub(crate) sent: Time,
    pub(crate) hold_until: Time,
    /// It was overdue once.
    pub(crate) late: bool,
}

/// Attempts of one class that are not due yet.
#[derive(Debug)]
struct Young {
    /// In the order of sending, which is that of coming due. Some have ended.
    attempts: VecDeque<Watched>,
    /// They may be due so long after they were sent.
    patience: Span,
}

impl Young {
    /// When the first may be due, as a key.
    fn due(&self) -> Key {
        let first = self.attempts.front();
        first.map_or(Key::OUT, |w| time_key(w.sent.plus(self.patience)))
    }
}

/// A key that orders as times do.
fn time_key(at: Time) -> Key {
    Key(at.0 as u64 ^ 1 << 63, 0)
}

/// Attempts that are out, so that those that may be overdue are found without going through all.
#[derive(Debug)]
pub(crate) struct Out {
    /// By class.
    young: Vec<Young>,
    /// Which class has attempts that are due next.
    due: TournamentTree,
    /// Those that may be due, all classes in the order of sending: what this round has not looked at, and behind it
    /// what it has kept.
    ripe: VecDeque<Watched>,
    /// Those that have come to be so since the round began.
    fresh: Vec<Watched>,
    sent: u64,
    /// How many of the ripe ones this round has not looked at.
    left: usize,
}

impl Out {
    /// With each class's patience.
    pub(crate) fn new(patience: impl Iterator<Item = Span>) -> Self {
        let young = |patience| Young { attempts: VecDeque::new(), patience };
        Self {
            young: patience.map(young).collect(),
            due: TournamentTree::default(),
            ripe: VecDeque::new(),
            fresh: Vec::new(),
            sent: 0,
            left: 0,
        }
    }

    /// One has been sent.
    pub(crate) fn sent(&mut self, w: Watched) {
        self.sent += 1;
        self.young[w.class].attempts.push_back(Watched { order: self.sent, ..w });
        if self.young[w.class].attempts.len() == 1 {
            self.due.set(w.class, self.young[w.class].due());
        }
    }

    /// Attempts of a class may be due so long after they were sent, from now on.
    pub(crate) fn set_patience(&mut self, class: usize, patience: Span) {
        self.young[class].patience = patience;
        self.due.set(class, self.young[class].due());
    }

    /// Those that may be due by now ripen, so many of each class, or are dropped if they are not out any more.
    pub(crate) fn ripen(&mut self, now: Time, most: usize, out: impl Fn(&Watched) -> bool) {
        let mut left_over = Vec::new();
        while let Some((_, class)) = self.due.best().filter(|(key, _)| *key <= time_key(now)) {
            let young = &mut self.young[class];
            let by = now.plus(Span(-young.patience.0));
            for _ in 0..most {
                let Some(w) = young.attempts.pop_front_if(|w| w.sent <= by) else { break };
                if out(&w) {
                    self.fresh.push(w);
                }
            }
            let due = young.due();
            if due <= time_key(now) {
                left_over.push(class);
                self.due.set(class, Key::OUT);
            } else {
                self.due.set(class, due);
            }
        }
        for class in left_over {
            self.due.set(class, self.young[class].due());
        }
    }

    /// Begins a round over the ripe ones. Failure: all of them sorted anew, tens of times a second, was the longest
    /// event before large fleets.
    pub(crate) fn begin(&mut self) {
        // What was kept was sent before what was not reached.
        self.ripe.rotate_left(self.left);
        self.fresh.sort_unstable_by_key(|w| w.order);
        if let Some(first) = self.fresh.first() {
            let from = self.ripe.partition_point(|w| w.order < first.order);
            self.ripe.extend(self.fresh.drain(..));
            // Two runs: a merge.
            self.ripe.make_contiguous()[from..].sort_by_key(|w| w.order);
        }
        self.left = self.ripe.len();
    }

    /// The next one of the round, until it is over; it is forgotten unless it is kept.
    pub(crate) fn next(&mut self) -> Option<Watched> {
        self.left = self.left.checked_sub(1)?;
        self.ripe.pop_front()
    }

    pub(crate) fn keep(&mut self, w: Watched) {
        self.ripe.push_back(w);
    }
}
