//! Holds requests in the queue and sends them as slots come free.

use super::Balancer;
use super::selection::Stuck;
use crate::attempt_tracker::Watched;
use crate::interface::{Action, RequestId, Time};
use crate::request_state::{Attempt, Fate, Lane};

/// Further attempts for what is late, per first attempt: more is a storm on a fleet that is slow.
const EXTRA: f64 = 0.3;

impl Balancer {
    pub(super) fn hold(&mut self, id: RequestId, at_head: bool) {
        let Some(e) = self.queue.get(id) else { return };
        let (class, until) = (e.class, e.hold_until);
        let fresh = e.attempts.is_empty() && e.sticky_cell.is_none();
        let lane = match fresh {
            true => Lane::Fresh(self.up.rooms.room_of(class)),
            false => Lane::Again(class, self.bound(e)),
        };
        self.queue.hold(id, lane, at_head);
        self.up.rooms.count_queued(class, 1);
        if !fresh {
            self.queue.give_up_at(until, id);
        }
    }

    /// It is held no longer.
    pub(super) fn release(&mut self, id: RequestId) {
        if let Some(class) = self.queue.get(id).filter(|e| e.held).map(|e| e.class) {
            self.queue.release(id);
            self.up.rooms.count_queued(class, -1);
        }
    }

    /// Whether this proxy's part of the slots is taken, of those that a class can have.
    pub(super) fn is_full(&self, class: usize) -> bool {
        let room = self.up.rooms.load(class);
        room.in_flight as f64 >= room.slots.max(1.0)
    }

    /// First come, first served, while some upstream has a free slot. One that waits for its key's turn, or
    /// finds no slot among the upstreams it is bound to, holds up only its like.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut look = self.queue.look();
        while let Some(id) = self.queue.head(&mut look) {
            let Some(e) = self.queue.get(id) else { return };
            if !self.queue.has_turn(now, id, e) {
                self.queue.step_back(id);
                continue;
            }
            let (class, full) = (e.class, self.is_full(e.class));
            match self.pick(now, id, full) {
                Ok(server) => {
                    self.send(now, id, server, out);
                    // With the last ordinary slot taken, lanes on trial open to repeats behind it.
                    if !full && self.is_full(class) {
                        look.reopen();
                    }
                }
                // It can't go for reasons of its own: look behind it.
                Err(Stuck::Itself) => look.pass(),
                Err(Stuck::NoneFree) => look.close(),
            }
        }
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        self.overdrafts += u64::from(!self.cold_allows(now, &self.up.servers[server]));
        self.earn(now, server, 1.0);
        self.release(id);
        let Some(send_by) = self.queue.get(id).map(|e| self.send_by(e)) else { return };
        let Some(e) = self.queue.get_mut(id) else { return };
        let (first, timeout) = (e.attempts.is_empty(), e.worth_until.since(now));
        e.attempts.push(Attempt::new(server, now));
        self.up.servers[server].refs += 1;
        self.take_slot(now, id, true);
        if first {
            self.extra = (self.extra + EXTRA).min(self.up.rooms.whole().slots.max(1.0));
        }
        let server = self.up.servers[server].id;
        out.push(Action::Send { request: id, server, timeout, send_by });
    }

    /// The latest attempt is watched from now on, and takes a slot unless it has one.
    fn take_slot(&mut self, now: Time, request: RequestId, takes: bool) {
        let Some((e, a)) = self.queue.get(request).and_then(|e| Some((e, e.attempts.last()?)))
        else {
            return;
        };
        let (class, attempt, server) = (e.class, e.attempts.len() - 1, a.server);
        let (sent, hold_until) = (now, e.hold_until);
        self.out.sent(Watched { order: 0, request, attempt, class, sent, hold_until, late: false });
        self.count_level(now, server, None);
        self.up.count_in_flight(server, i32::from(takes));
        self.touch(now, server);
    }

    /// The last byte of a request that flows is out: its upstream can begin, and is to blame from here on.
    pub(super) fn whole(&mut self, now: Time, id: RequestId, send_deadline: Time) {
        let early = self.early();
        let Some(e) = self.queue.get_mut(id).filter(|e| e.flows) else { return };
        e.date(now, &self.settings.classes[e.class], send_deadline, early);
        // What was passed on while it came is kept nowhere.
        (e.flows, e.spent) = (false, true);
        if let Some(a) = e.attempts.last_mut().filter(|a| a.fate == Fate::Out) {
            let freed = a.freed;
            *a = Attempt::new(a.server, now);
            self.take_slot(now, id, freed);
        }
    }
}
