//! Live requests, and the order of the queued ones: first come, first served in sub-queues, and one
//! after another for each ordering key.
//!
//! [`crate::policy`] decides which request may be sent to which upstream.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hollowpaddle_ordered_collections::sub_queues::{SubQueues, Ticket};
use rustc_hash::FxHashMap;

use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{RequestId, Time};
use crate::request_state::{Attempt, RequestState, SubQueue};

/// Number of stale entries that each event removes from the heap of give-up times.
const STALE_DROPS_PER_EVENT: usize = 4;

/// The requests of one ordering key.
#[derive(Debug)]
struct KeyQueue {
    /// Requests in the order of arrival.
    waiting: VecDeque<RequestId>,
    /// Time before which no request of the key is sent, since an earlier one may still be running.
    rest_until: Time,
}

/// All live requests, and the order of the queued ones.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: FxHashMap<RequestId, RequestState>,
    sub_queues: SubQueues<SubQueue, RequestId>,
    /// Times at which queued requests must be given up. Some of these requests are no longer queued.
    give_up_times: BinaryHeap<Reverse<(Time, RequestId)>>,
    key_queues: FxHashMap<u64, KeyQueue>,
    /// Times at which the rests of ordering keys end.
    key_rests: BinaryHeap<Reverse<(Time, u64)>>,
    /// The time as of the last event.
    now: Time,
}

/// A scan over all sub-queues in the order of arrival.
pub(crate) struct QueueScan {
    /// Sub-queues to scan further, each with the ticket of the last request passed.
    open: Vec<(SubQueue, Option<Ticket>)>,
    /// Sub-queues whose requests find no free slot.
    closed: Vec<SubQueue>,
    /// Index in `open` of the sub-queue of the present request.
    current: usize,
    /// Ticket of the present request.
    ticket: Option<Ticket>,
}

impl Queue {
    /// Returns a live request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns a live request for changes.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Returns a tracked attempt, if its request is live.
    pub(crate) fn attempt(&self, tracked: &TrackedAttempt) -> Option<&Attempt> {
        self.requests.get(&tracked.request)?.attempts.get(tracked.attempt)
    }

    /// Returns whether all sub-queues are empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.sub_queues.is_empty()
    }

    /// Adds a request, as the last one of its ordering key.
    pub(crate) fn insert(&mut self, now: Time, id: RequestId, entry: RequestState) {
        if let Some(key) = entry.ordering_key {
            let new = || KeyQueue { waiting: VecDeque::new(), rest_until: now };
            self.key_queues.entry(key).or_insert_with(new).waiting.push_back(id);
        }
        self.requests.insert(id, entry);
    }

    /// Returns the number of live requests with this ordering key.
    pub(crate) fn waiting_for_key(&self, key: Option<u64>) -> usize {
        key.and_then(|k| self.key_queues.get(&k)).map_or(0, |l| l.waiting.len())
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        self.leave_sub_queue(id);
        let entry = self.requests.remove(&id)?;
        if let Some((key, key_queue)) =
            entry.ordering_key.and_then(|k| Some((k, self.key_queues.get_mut(&k)?)))
        {
            key_queue.waiting.retain(|w| *w != id);
            if key_queue.waiting.is_empty() {
                self.key_rests.push(Reverse((key_queue.rest_until, key)));
            } else {
                self.enqueue_next_of_key(key);
            }
        }
        Some(entry)
    }

    /// Queues a request at the head or at the end of the queue. A request with an ordering key
    /// enters its sub-queue only when it is the first request of the key and the key has rested.
    pub(crate) fn enqueue(&mut self, id: RequestId, sub_queue: SubQueue, at_head: bool) {
        let ticket =
            if at_head { self.sub_queues.front_ticket() } else { self.sub_queues.back_ticket() };
        let Some(e) = self.requests.get_mut(&id) else { return };
        (e.is_queued, e.ticket, e.sub_queue) = (true, ticket, sub_queue);
        match e.ordering_key.filter(|_| e.attempts.is_empty()) {
            Some(key) => self.enqueue_next_of_key(key),
            None => self.enter_sub_queue(id),
        }
    }

    /// Removes a request from the queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        self.leave_sub_queue(id);
        if let Some(e) = self.requests.get_mut(&id) {
            e.is_queued = false;
        }
    }

    /// Sets the time at which a queued request must be given up.
    pub(crate) fn give_up_at(&mut self, at: Time, id: RequestId) {
        self.give_up_times.push(Reverse((at, id)));
    }

    /// Returns the queued requests that must be given up by now, in the order of arrival.
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

    /// Returns all queued requests in the order of arrival.
    pub(crate) fn queued(&self) -> Vec<RequestId> {
        let queued = self.requests.iter().filter(|(_, e)| e.is_queued);
        let mut queued: Vec<_> = queued.map(|(id, e)| (e.ticket, *id)).collect();
        queued.sort_unstable();
        queued.into_iter().map(|(_, id)| id).collect()
    }

    /// Removes a few give-up times of requests that are no longer queued. Removing all of them at
    /// once would delay a single event too much.
    pub(crate) fn drop_stale_give_ups(&mut self) {
        for _ in 0..STALE_DROPS_PER_EVENT {
            let Some(&Reverse((_, id))) = self.give_up_times.peek() else { return };
            if self.requests.get(&id).is_some_and(|e| e.is_queued) {
                return;
            }
            self.give_up_times.pop();
        }
    }

    /// Puts a queued request into its sub-queue.
    fn enter_sub_queue(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut e.is_in_sub_queue, true) {
            self.sub_queues.put(e.sub_queue, e.ticket, id);
        }
    }

    /// Removes a request from its sub-queue.
    fn leave_sub_queue(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut e.is_in_sub_queue) {
            self.sub_queues.take(e.sub_queue, e.ticket);
        }
    }

    // ------------------------------------------------------------ ordering keys

    /// Returns whether a request is the first of its ordering key and the key has rested. The result
    /// is true for a request that has already been sent.
    pub(crate) fn may_run_in_order(&self, now: Time, id: RequestId, e: &RequestState) -> bool {
        let Some(key_queue) = e.ordering_key.and_then(|k| self.key_queues.get(&k)) else {
            return true;
        };
        !e.attempts.is_empty()
            || (key_queue.waiting.front() == Some(&id) && now >= key_queue.rest_until)
    }

    /// Blocks an ordering key until `until`.
    pub(crate) fn rest_key(&mut self, key: Option<u64>, until: Time) {
        if let Some(key_queue) = key.and_then(|k| self.key_queues.get_mut(&k)) {
            key_queue.rest_until = until;
        }
    }

    /// Removes a request from its sub-queue until its ordering key has rested.
    pub(crate) fn wait_for_key(&mut self, id: RequestId) {
        self.leave_sub_queue(id);
        let key = self.requests.get(&id).and_then(|e| e.ordering_key);
        if let Some((key, key_queue)) = key.and_then(|k| Some((k, self.key_queues.get(&k)?))) {
            self.key_rests.push(Reverse((key_queue.rest_until, key)));
        }
    }

    /// Puts the first request of an ordering key into its sub-queue, if the key has rested.
    fn enqueue_next_of_key(&mut self, key: u64) {
        let Some(key_queue) = self.key_queues.get(&key) else { return };
        if self.now < key_queue.rest_until {
            return self.key_rests.push(Reverse((key_queue.rest_until, key)));
        }
        let Some(&id) = key_queue.waiting.front() else { return };
        if self.requests.get(&id).is_some_and(|e| e.is_queued && e.attempts.is_empty()) {
            self.enter_sub_queue(id);
        }
    }

    /// Resumes ordering keys whose rest has ended by now, and removes keys without requests.
    pub(crate) fn resume_rested_keys(&mut self, now: Time) {
        self.now = now;
        while let Some(&Reverse((_, key))) = self.key_rests.peek().filter(|r| r.0.0 <= now) {
            self.key_rests.pop();
            let Some(key_queue) = self.key_queues.get(&key) else { continue };
            if now < key_queue.rest_until {
                self.key_rests.push(Reverse((key_queue.rest_until, key)));
            } else if key_queue.waiting.is_empty() {
                self.key_queues.remove(&key);
            } else {
                self.enqueue_next_of_key(key);
            }
        }
    }

    // ------------------------------------------------------------ scans

    /// Begins a scan over all sub-queues.
    pub(crate) fn scan(&self) -> QueueScan {
        let sub_queues = self.sub_queues.sub_queues();
        let open = sub_queues.into_iter().map(|sub_queue| (sub_queue, None)).collect();
        QueueScan { open, closed: Vec::new(), current: 0, ticket: None }
    }

    /// Returns the first request, in the order of arrival, that the scan has not passed.
    pub(crate) fn head(&self, scan: &mut QueueScan) -> Option<RequestId> {
        let first_of = |(index, (sub_queue, after)): (usize, &(SubQueue, _))| {
            let (ticket, id) = self.sub_queues.next(*sub_queue, *after)?;
            Some((ticket, id, index))
        };
        let (ticket, id, index) = scan.open.iter().enumerate().filter_map(first_of).min()?;
        scan.current = index;
        scan.ticket = Some(ticket);
        Some(id)
    }
}

impl QueueScan {
    /// Passes the present request, which cannot be sent now although others of its sub-queue may be.
    pub(crate) fn pass(&mut self) {
        self.open[self.current].1 = self.ticket;
    }

    /// Closes the sub-queue of the present request, since its requests find no free slot.
    pub(crate) fn close(&mut self) {
        let (sub_queue, _) = self.open.swap_remove(self.current);
        self.closed.push(sub_queue);
    }

    /// Reopens the closed sub-queues of retries, starting after the present request.
    pub(crate) fn reopen(&mut self) {
        let after = self.ticket;
        let is_retry = |sub_queue: &mut SubQueue| matches!(sub_queue, SubQueue::Retry(..));
        let reopened = self.closed.extract_if(.., is_retry);
        self.open.extend(reopened.map(|sub_queue| (sub_queue, after)));
    }
}
