//! Queues requests, and sends them first come, first served as slots become free.

use super::Balancer;
use super::selection::{NoUpstream, Slots};
use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{Action, RequestId, Time};
use crate::request_state::{Attempt, AttemptState, SubQueue};

/// Hedges that each first attempt adds to the budget. More hedges would overload a slow fleet.
const HEDGES_PER_REQUEST: f64 = 0.3;

impl Balancer {
    /// Queues a request at the head or at the end of the queue.
    pub(super) fn enqueue(&mut self, id: RequestId, at_head: bool) {
        let Some(entry) = self.queue.get(id) else { return };
        let (class, queue_deadline) = (entry.class, entry.queue_deadline);
        let is_fresh = entry.attempts.is_empty() && entry.sticky_cell.is_none();
        let sub_queue = if is_fresh {
            SubQueue::Fresh(self.upstreams.capacity_groups.group_of_class(class))
        } else {
            SubQueue::Retry(class, self.affinity(entry))
        };
        self.queue.enqueue(id, sub_queue, at_head);
        self.upstreams.capacity_groups.count_queued(class, 1);
        if !is_fresh {
            self.queue.give_up_at(queue_deadline, id);
        }
    }

    /// Removes a request from the queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let queued = self.queue.get(id).filter(|e| e.is_queued);
        if let Some(class) = queued.map(|e| e.class) {
            self.queue.dequeue(id);
            self.upstreams.capacity_groups.count_queued(class, -1);
        }
    }

    /// Returns whether this balancer's share of the slots that a class may use is taken.
    pub(super) fn is_at_limit(&self, class: usize) -> bool {
        let load = self.upstreams.capacity_groups.load(class);
        load.in_flight as f64 >= load.slots.max(1.0)
    }

    /// Sends queued requests in order, as long as upstreams have free slots.
    ///
    /// A request that waits for its ordering key or finds no slot delays only the requests of its
    /// sub-queue.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut scan = self.queue.scan();
        while let Some(id) = self.queue.head(&mut scan) {
            let Some(entry) = self.queue.get(id) else { return };
            if !self.queue.may_run_in_order(now, id, entry) {
                self.queue.wait_for_key(id);
                continue;
            }
            let class = entry.class;
            let slots = if self.is_at_limit(class) { Slots::Probe } else { Slots::Ordinary };
            match self.pick(now, id, slots) {
                Ok(server) => {
                    self.send(now, id, server, out);
                    // Once the last ordinary slot is taken, the slots of probes become available
                    // to retries that found no slot before.
                    if slots == Slots::Ordinary && self.is_at_limit(class) {
                        scan.reopen();
                    }
                }
                Err(NoUpstream::RequestBlocked) => scan.pass(),
                Err(NoUpstream::NoFreeSlot) => scan.close(),
            }
        }
    }

    /// Sends a request to an upstream as its next attempt.
    pub(super) fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        let has_earned_send = self.has_earned_send(now, &self.upstreams.servers[server]);
        self.overdrafts += u64::from(!has_earned_send);
        self.update_earned_sends(now, server, 1.0);
        self.dequeue(id);
        let Some(send_by) = self.queue.get(id).map(|e| self.send_by(e)) else { return };
        let Some(entry) = self.queue.get_mut(id) else { return };
        let is_first = entry.attempts.is_empty();
        let timeout = entry.valuable_until.since(now);
        entry.attempts.push(Attempt::new(server, now));
        self.upstreams.servers[server].attempt_refs += 1;
        self.track_latest(now, id, true);
        if is_first {
            let most = self.upstreams.capacity_groups.total_load().slots.max(1.0);
            self.hedge_budget = (self.hedge_budget + HEDGES_PER_REQUEST).min(most);
        }
        let server = self.upstreams.servers[server].id;
        out.push(Action::Send { request: id, server, timeout, send_by });
    }

    /// Starts to track the latest attempt of a request. `takes_slot` is false if the attempt
    /// already has a slot.
    fn track_latest(&mut self, now: Time, request: RequestId, takes_slot: bool) {
        let Some(entry) = self.queue.get(request) else { return };
        let Some(latest) = entry.attempts.last() else { return };
        let server = latest.server;
        self.tracker.track(TrackedAttempt {
            order: 0,
            request,
            attempt: entry.attempts.len() - 1,
            class: entry.class,
            sent: now,
            queue_deadline: entry.queue_deadline,
            was_due: false,
        });
        self.record_level(now, server, None);
        self.upstreams.count_in_flight(server, i32::from(takes_slot));
        self.refresh_availability(now, server);
    }

    /// Handles the end of a streamed request body: from now on the upstream is responsible for the
    /// latency.
    pub(super) fn on_body_received(&mut self, now: Time, id: RequestId, send_deadline: Time) {
        let margin = self.give_up_margin();
        let Some(entry) = self.queue.get_mut(id).filter(|e| e.streams_body) else { return };
        entry.set_deadlines(now, &self.settings.classes[entry.class], send_deadline, margin);
        entry.streams_body = false;
        // A body that was streamed to the upstream is not stored.
        entry.body_consumed = true;
        let in_flight = |a: &&mut Attempt| a.state == AttemptState::InFlight;
        if let Some(attempt) = entry.attempts.last_mut().filter(in_flight) {
            let had_released_slot = attempt.slot_released;
            *attempt = Attempt::new(attempt.server, now);
            self.track_latest(now, id, had_released_slot);
        }
    }
}
