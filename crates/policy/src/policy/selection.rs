//! Selects the upstream of an attempt: the upstream of least cost that has a free slot.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Balancer;
use crate::interface::{RequestId, Status, Time};
use crate::request_state::{Affinity, AttemptState, RequestState};
use crate::upstreams::{Availability, Server};

/// The reason for which a request cannot be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoUpstream {
    /// The request may not be sent now, or only to an upstream at which it is already in flight.
    RequestBlocked,
    /// None of the upstreams that the request may be sent to has a free slot.
    NoFreeSlot,
}

/// The slots among which an attempt is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slots {
    /// The ordinary slots of an upstream.
    Ordinary,
    /// The slots that a concurrency probe adds; available once the ordinary slots are taken.
    Probe,
}

impl Balancer {
    /// Returns whether a request of a class may be sent to an upstream now.
    fn is_free(&self, now: Time, class: usize, server: usize, slots: Slots) -> bool {
        let s = &self.upstreams.servers[server];
        let has_slot = match slots {
            Slots::Ordinary => s.in_flight < Self::k(s, s.probe.min(0)),
            // If ordinary slots of a probed upstream are idle, the upstream is slow, and a probe
            // must not fill them.
            Slots::Probe => s.in_flight < Self::k(s, s.probe) && s.in_flight >= Self::k(s, 0),
        };
        let is_ejected =
            s.class_breakers.is_ejected(now, class) && !self.upstreams.is_panicking(class);
        has_slot
            && !is_ejected
            && s.status == Status::Live
            && now >= s.breaker.until
            && self.upstreams.serves(class, s)
            && self.has_earned_send(now, s)
    }

    /// Recomputes whether an upstream is available, and sets a timer for the next time at which this
    /// may change without an event.
    pub(super) fn refresh_availability(&mut self, now: Time, server: usize) {
        let s = &self.upstreams.servers[server];
        let is_live = s.status == Status::Live;
        let is_warming_up = is_live && self.warm_up_share(now, s).is_some();
        let has_earned_send = !is_warming_up || self.has_earned_send(now, s);
        let has_slot = s.in_flight < Self::k(s, s.probe.min(0));
        let is_free = is_live && has_slot && now >= s.breaker.until && has_earned_send;
        let availability = Availability {
            key: if is_free { s.key() } else { Key::ABSENT },
            warm: is_live && !is_warming_up,
            partly_ejected: is_live && s.class_breakers.ejected(now).next().is_some(),
        };
        if is_live && let Some(at) = self.next_change(now, s, is_warming_up, has_earned_send) {
            self.upstreams.timers.set(server, at.0);
        }
        self.upstreams.set_availability(now, server, availability);
    }

    /// Returns when the availability of an upstream next changes by the passing of time alone.
    fn next_change(
        &self,
        now: Time,
        s: &Server,
        is_warming_up: bool,
        has_earned_send: bool,
    ) -> Option<Time> {
        let warm_at = s
            .started
            .filter(|_| is_warming_up)
            .map(|started| started.plus(self.settings.rules.warm_up));
        let earned_at = match warm_at {
            Some(_) if !has_earned_send => Some(self.next_send_at(now, s)),
            _ => None,
        };
        let ejected_until = s.class_breakers.ejected(now).map(|b| b.breaker.until);
        [Some(s.breaker.until), warm_at, earned_at]
            .into_iter()
            .flatten()
            .chain(ejected_until)
            .filter(|at| now < *at)
            .min()
    }

    /// Returns the upstream of least cost with a free slot, among those that the request may be sent
    /// to. Upstreams that already failed the request come last, and upstreams at which the request is
    /// in flight are excluded.
    pub(super) fn pick(
        &mut self,
        now: Time,
        id: RequestId,
        slots: Slots,
    ) -> Result<usize, NoUpstream> {
        let Some(entry) = self.queue.get(id).filter(|e| self.may_attempt(now, e)) else {
            return Err(NoUpstream::RequestBlocked);
        };
        let (class, affinity) = (entry.class, self.affinity(entry));
        let tried: Vec<usize> = entry.attempts.iter().map(|a| a.server).collect();
        let repeated = self.pick_tried(now, entry, affinity, &tried, slots);
        let is_candidate = |i: &usize| {
            !tried.contains(i)
                && self.upstreams.satisfies(affinity, *i)
                && self.is_free(now, class, *i, slots)
        };
        let key = |i: &usize| self.upstreams.servers[*i].key();
        if slots == Slots::Probe {
            let best = self.probed.iter().copied().filter(is_candidate).min_by_key(key);
            return best.map_or(repeated, Ok);
        }
        if let Affinity::Cell(zone, cell) = affinity {
            let best = self.upstreams.cell(zone, cell).filter(is_candidate).min_by_key(key);
            return best.map_or(repeated, Ok);
        }
        // The index may be out of date: an upstream that was available at its last refresh is
        // checked again.
        while let Some(i) = self.upstreams.best(class, affinity, &tried) {
            if self.upstreams.satisfies(affinity, i) && self.is_free(now, class, i, slots) {
                return Ok(i);
            }
            self.refresh_availability(now, i);
        }
        repeated
    }

    /// Returns the upstream of least cost among those that failed the request before. If only
    /// upstreams at which the request is in flight have free slots, the request is blocked.
    fn pick_tried(
        &self,
        now: Time,
        entry: &RequestState,
        affinity: Affinity,
        tried: &[usize],
        slots: Slots,
    ) -> Result<usize, NoUpstream> {
        let is_free = |i: &usize| {
            self.upstreams.satisfies(affinity, *i) && self.is_free(now, entry.class, *i, slots)
        };
        let free: Vec<usize> = tried.iter().copied().filter(is_free).collect();
        if free.is_empty() {
            return Err(NoUpstream::NoFreeSlot);
        }
        let is_in_flight = |i: &usize| {
            entry.attempts.iter().any(|a| a.state == AttemptState::InFlight && a.server == *i)
        };
        let candidates = free.iter().copied().filter(|i| !is_in_flight(i));
        let best = candidates.min_by_key(|i| self.upstreams.servers[*i].key());
        best.ok_or(NoUpstream::RequestBlocked)
    }
}
