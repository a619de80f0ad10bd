//! Requests as the module keeps them: those that are held stand in lanes, first come, first served, and those of one
//! key take turns. Keeps the order; who may go, and where, is for [`crate::policy`] to say.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hollowpaddle_ordered_collections::waiting::{Turn, Waiting};
use rustc_hash::FxHashMap;

use crate::attempt_tracker::Watched;
use crate::interface::{RequestId, Time};
use crate::request_state::{Attempt, Entry, Lane};

/// The requests of one key that are to run in turn, and until when the key rests.
#[derive(Debug)]
struct Line {
    waiting: VecDeque<RequestId>,
    rest_until: Time,
}

/// All requests that live, and the order of those that are held.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: FxHashMap<RequestId, Entry>,
    waiting: Waiting<Lane, RequestId>,
    /// When each held one must be given up; some are not held any more.
    holds: BinaryHeap<Reverse<(Time, RequestId)>>,
    lines: FxHashMap<u64, Line>,
    /// Keys to be looked at once they have rested.
    rests: BinaryHeap<Reverse<(Time, u64)>>,
    /// When that was last done.
    now: Time,
}

/// The lanes as one look through the queue goes: how far it is in each that it has not closed.
pub(crate) struct Look {
    open: Vec<(Lane, Option<Turn>)>,
    closed: Vec<Lane>,
    head: usize,
    turn: Option<Turn>,
}

impl Queue {
    pub(crate) fn get(&self, id: RequestId) -> Option<&Entry> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.requests.get_mut(&id)
    }

    /// What is known of an attempt whose request still lives.
    pub(crate) fn attempt(&self, w: &Watched) -> Option<&Attempt> {
        self.requests.get(&w.request)?.attempts.get(w.attempt)
    }

    /// Whether nobody stands in any lane.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A request begins to live, and goes to the back of its key's line.
    pub(crate) fn insert(&mut self, now: Time, id: RequestId, entry: Entry) {
        if let Some(key) = entry.turn {
            let new = || Line { waiting: VecDeque::new(), rest_until: now };
            self.lines.entry(key).or_insert_with(new).waiting.push_back(id);
        }
        self.requests.insert(id, entry);
    }

    /// How many wait for a key's turn.
    pub(crate) fn ahead(&self, key: Option<u64>) -> usize {
        key.and_then(|k| self.lines.get(&k)).map_or(0, |l| l.waiting.len())
    }

    /// A request lives no more.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Entry> {
        self.unseat(id);
        let entry = self.requests.remove(&id)?;
        if let Some((key, line)) = entry.turn.and_then(|k| Some((k, self.lines.get_mut(&k)?))) {
            line.waiting.retain(|w| *w != id);
            if line.waiting.is_empty() {
                self.rests.push(Reverse((line.rest_until, key)));
            } else {
                self.turn_up(key);
            }
        }
        Some(entry)
    }

    /// Holds a request in a lane, or until its key's turn comes, before all others or behind them.
    pub(crate) fn hold(&mut self, id: RequestId, lane: Lane, at_head: bool) {
        let turn = if at_head { self.waiting.first() } else { self.waiting.last() };
        let Some(e) = self.requests.get_mut(&id) else { return };
        (e.held, e.seat, e.lane) = (true, turn, lane);
        match e.turn.filter(|_| e.attempts.is_empty()) {
            Some(key) => self.turn_up(key),
            None => self.take_seat(id),
        }
    }

    /// It is held no longer.
    pub(crate) fn release(&mut self, id: RequestId) {
        self.unseat(id);
        if let Some(e) = self.requests.get_mut(&id) {
            e.held = false;
        }
    }

    /// Remembers when a held one must be given up.
    pub(crate) fn give_up_at(&mut self, at: Time, id: RequestId) {
        self.holds.push(Reverse((at, id)));
    }

    /// Those that must be given up by now, in their order.
    pub(crate) fn overheld(&mut self, now: Time) -> Vec<RequestId> {
        let mut late = Vec::new();
        while let Some(&Reverse((_, id))) = self.holds.peek().filter(|h| h.0.0 <= now) {
            self.holds.pop();
            let held = self.requests.get(&id).filter(|e| e.held && now >= e.hold_until);
            late.extend(held.map(|e| (e.seat, id)));
        }
        late.sort_unstable();
        late.dedup();
        late.into_iter().map(|(_, id)| id).collect()
    }

    /// All that are held, in their order.
    pub(crate) fn held(&self) -> Vec<RequestId> {
        let held = self.requests.iter().filter(|(_, e)| e.held);
        let mut held: Vec<_> = held.map(|(id, e)| (e.seat, *id)).collect();
        held.sort_unstable();
        held.into_iter().map(|(_, id)| id).collect()
    }

    /// Drops what is not held any more from the head of those to be given up, a few at a time: all at once, when
    /// they would have been due, held up whoever came then.
    pub(crate) fn tidy(&mut self) {
        for _ in 0..4 {
            let Some(&Reverse((_, id))) = self.holds.peek() else { return };
            if self.requests.get(&id).is_some_and(|e| e.held) {
                return;
            }
            self.holds.pop();
        }
    }

    fn take_seat(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut e.seated, true) {
            self.waiting.put(e.lane, e.seat, id);
        }
    }

    fn unseat(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut e.seated) {
            self.waiting.take(e.lane, e.seat);
        }
    }

    // ------------------------------------------------------------ turns

    /// Whether it is at the head of its key's line and the key has rested; always, once it was sent.
    pub(crate) fn has_turn(&self, now: Time, id: RequestId, e: &Entry) -> bool {
        let Some(line) = e.turn.and_then(|k| self.lines.get(&k)) else { return true };
        !e.attempts.is_empty() || (line.waiting.front() == Some(&id) && now >= line.rest_until)
    }

    /// A key rests until then.
    pub(crate) fn rest(&mut self, key: Option<u64>, until: Time) {
        if let Some(line) = key.and_then(|k| self.lines.get_mut(&k)) {
            line.rest_until = until;
        }
    }

    /// It does not have its turn after all: it stands in its lane again once its key has rested.
    pub(crate) fn step_back(&mut self, id: RequestId) {
        self.unseat(id);
        let key = self.requests.get(&id).and_then(|e| e.turn);
        if let Some((key, line)) = key.and_then(|k| Some((k, self.lines.get(&k)?))) {
            self.rests.push(Reverse((line.rest_until, key)));
        }
    }

    /// Seats the one whose turn it is by its key, once the key has rested.
    fn turn_up(&mut self, key: u64) {
        let Some(line) = self.lines.get(&key) else { return };
        if self.now < line.rest_until {
            return self.rests.push(Reverse((line.rest_until, key)));
        }
        let Some(&id) = line.waiting.front() else { return };
        if self.requests.get(&id).is_some_and(|e| e.held && e.attempts.is_empty()) {
            self.take_seat(id);
        }
    }

    /// Looks at keys that have rested: whose turn it is, or that nobody asks for any more.
    pub(crate) fn rested(&mut self, now: Time) {
        self.now = now;
        while let Some(&Reverse((_, key))) = self.rests.peek().filter(|r| r.0.0 <= now) {
            self.rests.pop();
            let Some(line) = self.lines.get(&key) else { continue };
            if now < line.rest_until {
                self.rests.push(Reverse((line.rest_until, key)));
            } else if line.waiting.is_empty() {
                self.lines.remove(&key);
            } else {
                self.turn_up(key);
            }
        }
    }

    // ------------------------------------------------------------ looks through the queue

    /// Begins a look through all lanes.
    pub(crate) fn look(&self) -> Look {
        let open = if self.waiting.is_empty() { Vec::new() } else { self.waiting.lanes() };
        let open = open.into_iter().map(|lane| (lane, None)).collect();
        Look { open, closed: Vec::new(), head: 0, turn: None }
    }

    /// The first by order of arrival of all that the look has not passed.
    pub(crate) fn head(&self, look: &mut Look) -> Option<RequestId> {
        let of = |(i, (lane, after)): (usize, &(Lane, _))| {
            let (turn, id) = self.waiting.next(*lane, *after)?;
            Some((turn, id, i))
        };
        let (turn, id, i) = look.open.iter().enumerate().filter_map(of).min()?;
        (look.head, look.turn) = (i, Some(turn));
        Some(id)
    }
}

impl Look {
    /// The head can't go for reasons of its own: behind it.
    pub(crate) fn pass(&mut self) {
        self.open[self.head].1 = self.turn;
    }

    /// Nor can anyone behind it in its lane.
    pub(crate) fn close(&mut self) {
        let (lane, _) = self.open.swap_remove(self.head);
        self.closed.push(lane);
    }

    /// Repeats behind the latest head may go again.
    pub(crate) fn reopen(&mut self) {
        let behind = self.turn;
        let again = |lane: &mut Lane| matches!(lane, Lane::Again(..));
        self.open.extend(self.closed.extract_if(.., again).map(|lane| (lane, behind)));
    }
}
