//! Requests as the module keeps them: those that are held stand in lanes, first come, first served, and those of one
//! key take turns. Keeps the order; who may go, and where, is for [`crate::policy`] to say.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hollowpaddle_ordered_collections::waiting::{Ticket, Waiting};
use rustc_hash::FxHashMap;

use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{RequestId, Time};
use crate::request_state::{Attempt, RequestState, SubQueue};

/// The requests of one key that are to run in turn, and until when the key rests.
#[derive(Debug)]
struct KeyQueue {
    waiting: VecDeque<RequestId>,
    rest_until: Time,
}

/// All requests that live, and the order of those that are held.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: FxHashMap<RequestId, RequestState>,
    waiting: Waiting<SubQueue, RequestId>,
    /// When each held one must be given up; some are not held any more.
    give_up_times: BinaryHeap<Reverse<(Time, RequestId)>>,
    key_queues: FxHashMap<u64, KeyQueue>,
    /// Keys to be looked at once they have rested.
    key_rests: BinaryHeap<Reverse<(Time, u64)>>,
    /// When that was last done.
    now: Time,
}

/// The lanes as one look through the queue goes: how far it is in each that it has not closed.
pub(crate) struct QueueScan {
    open: Vec<(SubQueue, Option<Ticket>)>,
    closed: Vec<SubQueue>,
    head: usize,
    turn: Option<Ticket>,
}

impl Queue {
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// What is known of an attempt whose request still lives.
    pub(crate) fn attempt(&self, w: &TrackedAttempt) -> Option<&Attempt> {
        self.requests.get(&w.request)?.attempts.get(w.attempt)
    }

    /// Whether nobody stands in any lane.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A request begins to live, and goes to the back of its key's line.
    pub(crate) fn insert(&mut self, now: Time, id: RequestId, entry: RequestState) {
        if let Some(key) = entry.ordering_key {
            let new = || KeyQueue { waiting: VecDeque::new(), rest_until: now };
            self.key_queues.entry(key).or_insert_with(new).waiting.push_back(id);
        }
        self.requests.insert(id, entry);
    }

    /// How many wait for a key's turn.
    pub(crate) fn waiting_for_key(&self, key: Option<u64>) -> usize {
        key.and_then(|k| self.key_queues.get(&k)).map_or(0, |l| l.waiting.len())
    }

    /// A request lives no more.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.dequeue(id);
        let entry = self.requests.remove(&id)?;
        if let Some((key, line)) =
            entry.ordering_key.and_then(|k| Some((k, self.key_queues.get_mut(&k)?)))
        {
            line.waiting.retain(|w| *w != id);
            if line.waiting.is_empty() {
                self.key_rests.push(Reverse((line.rest_until, key)));
            } else {
                self.enqueue_next_of_key(key);
            }
        }
        Some(entry)
    }

    /// Holds a request in a lane, or until its key's turn comes, before all others or behind them.
    pub(crate) fn hold(&mut self, id: RequestId, sub_queue: SubQueue, at_head: bool) {
        let turn = if at_head { self.waiting.front_ticket() } else { self.waiting.back_ticket() };
        let Some(e) = self.requests.get_mut(&id) else { return };
        (e.is_queued, e.ticket, e.sub_queue) = (true, turn, sub_queue);
        match e.ordering_key.filter(|_| e.attempts.is_empty()) {
            Some(key) => self.enqueue_next_of_key(key),
            None => self.enqueue(id),
        }
    }

    /// It is held no longer.
    pub(crate) fn release(&mut self, id: RequestId) {
        self.dequeue(id);
        if let Some(e) = self.requests.get_mut(&id) {
            e.is_queued = false;
        }
    }

    /// Remembers when a held one must be given up.
    pub(crate) fn give_up_at(&mut self, at: Time, id: RequestId) {
        self.give_up_times.push(Reverse((at, id)));
    }

    /// Those that must be given up by now, in their order.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<RequestId> {
        let mut late = Vec::new();
        while let Some(&Reverse((_, id))) = self.give_up_times.peek().filter(|h| h.0.0 <= now) {
            self.give_up_times.pop();
            let queued = self.requests.get(&id).filter(|e| e.is_queued && now >= e.queue_deadline);
            late.extend(queued.map(|e| (e.ticket, id)));
        }
        late.sort_unstable();
        late.dedup();
        late.into_iter().map(|(_, id)| id).collect()
    }

    /// All that are held, in their order.
    pub(crate) fn queued(&self) -> Vec<RequestId> {
        let queued = self.requests.iter().filter(|(_, e)| e.is_queued);
        let mut queued: Vec<_> = queued.map(|(id, e)| (e.ticket, *id)).collect();
        queued.sort_unstable();
        queued.into_iter().map(|(_, id)| id).collect()
    }

    /// Drops what is not held any more from the head of those to be given up, a few at a time: all at once, when
    /// they would have been due, held up whoever came then.
    pub(crate) fn drop_stale_give_ups(&mut self) {
        for _ in 0..4 {
            let Some(&Reverse((_, id))) = self.give_up_times.peek() else { return };
            if self.requests.get(&id).is_some_and(|e| e.is_queued) {
                return;
            }
            self.give_up_times.pop();
        }
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut e.is_enqueued, true) {
            self.waiting.put(e.sub_queue, e.ticket, id);
        }
    }

    fn dequeue(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut e.is_enqueued) {
            self.waiting.take(e.sub_queue, e.ticket);
        }
    }

    // ------------------------------------------------------------ turns

    /// Whether it is at the head of its key's line and the key has rested; always, once it was sent.
    pub(crate) fn may_run_in_order(&self, now: Time, id: RequestId, e: &RequestState) -> bool {
        let Some(line) = e.ordering_key.and_then(|k| self.key_queues.get(&k)) else { return true };
        !e.attempts.is_empty() || (line.waiting.front() == Some(&id) && now >= line.rest_until)
    }

    /// A key rests until then.
    pub(crate) fn rest_key(&mut self, key: Option<u64>, until: Time) {
        if let Some(line) = key.and_then(|k| self.key_queues.get_mut(&k)) {
            line.rest_until = until;
        }
    }

    /// It does not have its turn after all: it stands in its lane again once its key has rested.
    pub(crate) fn wait_for_key(&mut self, id: RequestId) {
        self.dequeue(id);
        let key = self.requests.get(&id).and_then(|e| e.ordering_key);
        if let Some((key, line)) = key.and_then(|k| Some((k, self.key_queues.get(&k)?))) {
            self.key_rests.push(Reverse((line.rest_until, key)));
        }
    }

    /// Seats the one whose turn it is by its key, once the key has rested.
    fn enqueue_next_of_key(&mut self, key: u64) {
        let Some(line) = self.key_queues.get(&key) else { return };
        if self.now < line.rest_until {
            return self.key_rests.push(Reverse((line.rest_until, key)));
        }
        let Some(&id) = line.waiting.front() else { return };
        if self.requests.get(&id).is_some_and(|e| e.is_queued && e.attempts.is_empty()) {
            self.enqueue(id);
        }
    }

    /// Looks at keys that have rested: whose turn it is, or that nobody asks for any more.
    pub(crate) fn resume_rested_keys(&mut self, now: Time) {
        self.now = now;
        while let Some(&Reverse((_, key))) = self.key_rests.peek().filter(|r| r.0.0 <= now) {
            self.key_rests.pop();
            let Some(line) = self.key_queues.get(&key) else { continue };
            if now < line.rest_until {
                self.key_rests.push(Reverse((line.rest_until, key)));
            } else if line.waiting.is_empty() {
                self.key_queues.remove(&key);
            } else {
                self.enqueue_next_of_key(key);
            }
        }
    }

    // ------------------------------------------------------------ looks through the queue

    /// Begins a look through all lanes.
    pub(crate) fn scan(&self) -> QueueScan {
        let open = if self.waiting.is_empty() { Vec::new() } else { self.waiting.sub_queues() };
        let open = open.into_iter().map(|sub_queue| (sub_queue, None)).collect();
        QueueScan { open, closed: Vec::new(), head: 0, turn: None }
    }

    /// The first by order of arrival of all that the look has not passed.
    pub(crate) fn head(&self, scan: &mut QueueScan) -> Option<RequestId> {
        let of = |(i, (sub_queue, after)): (usize, &(SubQueue, _))| {
            let (turn, id) = self.waiting.next(*sub_queue, *after)?;
            Some((turn, id, i))
        };
        let (turn, id, i) = scan.open.iter().enumerate().filter_map(of).min()?;
        (scan.head, scan.turn) = (i, Some(turn));
        Some(id)
    }
}

impl QueueScan {
    /// The head can't go for reasons of its own: behind it.
    pub(crate) fn pass(&mut self) {
        self.open[self.head].1 = self.turn;
    }

    /// Nor can anyone behind it in its lane.
    pub(crate) fn close(&mut self) {
        let (sub_queue, _) = self.open.swap_remove(self.head);
        self.closed.push(sub_queue);
    }

    /// Repeats behind the latest head may go again.
    pub(crate) fn reopen(&mut self) {
        let behind = self.turn;
        let again = |sub_queue: &mut SubQueue| matches!(sub_queue, SubQueue::Retry(..));
        self.open.extend(self.closed.extract_if(.., again).map(|sub_queue| (sub_queue, behind)));
    }
}
