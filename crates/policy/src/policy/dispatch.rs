//! Holds requests in the queue and sends them as slots come free.

use super::Balancer;
use super::selection::NoUpstream;
use crate::attempt_tracker::TrackedAttempt;
use crate::interface::{Action, RequestId, Time};
use crate::request_state::{Attempt, AttemptState, SubQueue};

/// Further attempts for what is late, per first attempt: more is a storm on a fleet that is slow.
const HEDGES_PER_REQUEST: f64 = 0.3;

impl Balancer {
    pub(super) fn hold(&mut self, id: RequestId, at_head: bool) {
        let Some(e) = self.queue.get(id) else { return };
        let (class, until) = (e.class, e.queue_deadline);
        let fresh = e.attempts.is_empty() && e.sticky_cell.is_none();
        let sub_queue = match fresh {
            true => SubQueue::Fresh(self.upstreams.capacity_groups.group_of_class(class)),
            false => SubQueue::Retry(class, self.affinity(e)),
        };
        self.queue.hold(id, sub_queue, at_head);
        self.upstreams.capacity_groups.count_queued(class, 1);
        if !fresh {
            self.queue.give_up_at(until, id);
        }
    }

    /// It is held no longer.
    pub(super) fn release(&mut self, id: RequestId) {
        if let Some(class) = self.queue.get(id).filter(|e| e.is_queued).map(|e| e.class) {
            self.queue.release(id);
            self.upstreams.capacity_groups.count_queued(class, -1);
        }
    }

    /// Whether this proxy's part of the slots is taken, of those that a class can have.
    pub(super) fn is_at_limit(&self, class: usize) -> bool {
        let capacity_group = self.upstreams.capacity_groups.load(class);
        capacity_group.in_flight as f64 >= capacity_group.slots.max(1.0)
    }

    /// First come, first served, while some upstream has a free slot. One that waits for its key's turn, or
    /// finds no slot among the upstreams it is bound to, holds up only its like.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut scan = self.queue.scan();
        while let Some(id) = self.queue.head(&mut scan) {
            let Some(e) = self.queue.get(id) else { return };
            if !self.queue.may_run_in_order(now, id, e) {
                self.queue.wait_for_key(id);
                continue;
            }
            let (class, full) = (e.class, self.is_at_limit(e.class));
            match self.pick(now, id, full) {
                Ok(server) => {
                    self.send(now, id, server, out);
                    // With the last ordinary slot taken, lanes on trial open to repeats behind it.
                    if !full && self.is_at_limit(class) {
                        scan.reopen();
                    }
                }
                // It can't go for reasons of its own: look behind it.
                Err(NoUpstream::RequestBlocked) => scan.pass(),
                Err(NoUpstream::NoFreeSlot) => scan.close(),
            }
        }
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        self.overdrafts += u64::from(!self.has_earned_send(now, &self.upstreams.servers[server]));
        self.book_earned_sends(now, server, 1.0);
        self.release(id);
        let Some(send_by) = self.queue.get(id).map(|e| self.send_by(e)) else { return };
        let Some(e) = self.queue.get_mut(id) else { return };
        let (first, timeout) = (e.attempts.is_empty(), e.valuable_until.since(now));
        e.attempts.push(Attempt::new(server, now));
        self.upstreams.servers[server].attempt_refs += 1;
        self.track_latest(now, id, true);
        if first {
            self.hedge_budget = (self.hedge_budget + HEDGES_PER_REQUEST)
                .min(self.upstreams.capacity_groups.fleet_load().slots.max(1.0));
        }
        let server = self.upstreams.servers[server].id;
        out.push(Action::Send { request: id, server, timeout, send_by });
    }

    /// The latest attempt is watched from now on, and takes a slot unless it has one.
    fn track_latest(&mut self, now: Time, request: RequestId, takes: bool) {
        let Some((e, a)) = self.queue.get(request).and_then(|e| Some((e, e.attempts.last()?)))
        else {
            return;
        };
        let (class, attempt, server) = (e.class, e.attempts.len() - 1, a.server);
        let (sent, queue_deadline) = (now, e.queue_deadline);
        self.tracker.track(TrackedAttempt {
            order: 0,
            request,
            attempt,
            class,
            sent,
            queue_deadline,
            was_due: false,
        });
        self.count_level(now, server, None);
        self.upstreams.count_in_flight(server, i32::from(takes));
        self.refresh_availability(now, server);
    }

    /// The last byte of a request that flows is out: its upstream can begin, and is to blame from here on.
    pub(super) fn body_complete(&mut self, now: Time, id: RequestId, send_deadline: Time) {
        let give_up_margin = self.give_up_margin();
        let Some(e) = self.queue.get_mut(id).filter(|e| e.flows) else { return };
        e.date(now, &self.settings.classes[e.class], send_deadline, give_up_margin);
        // What was passed on while it came is kept nowhere.
        (e.flows, e.spent) = (false, true);
        if let Some(a) = e.attempts.last_mut().filter(|a| a.state == AttemptState::InFlight) {
            let slot_released = a.slot_released;
            *a = Attempt::new(a.server, now);
            self.track_latest(now, id, slot_released);
        }
    }
}
