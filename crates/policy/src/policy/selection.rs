//! Selects the upstream of an attempt: the one of least cost with a free slot.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Balancer;
use crate::interface::{RequestId, Status, Time};
use crate::request_state::{Affinity, AttemptState};
use crate::upstreams::Availability;

/// Why a request finds no upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoUpstream {
    /// For reasons of its own.
    RequestBlocked,
    /// None that it is bound to has a free slot.
    NoFreeSlot,
}

impl Balancer {
    /// Whether an upstream has a free slot for a class: an ordinary one, or one on trial. Lanes on trial are
    /// filled once the ordinary slots are all taken.
    fn is_free(&self, now: Time, class: usize, server: usize, trial: bool) -> bool {
        let s = &self.upstreams.servers[server];
        let k = Self::k(s, if trial { s.probe } else { s.probe.min(0) });
        // Failure: a proxy at its limit sent on trial to upstreams that it had left idle as slow.
        let slot = s.in_flight < k && !(trial && s.in_flight < Self::k(s, 0));
        slot && (!s.by_class.is_ejected(now, class) || self.upstreams.is_panicking(class))
            && s.status == Status::Live
            && now >= s.breaker.until
            && self.upstreams.serves(class, s)
            && self.has_earned_send(now, s)
    }

    /// Looks at an upstream again: whether it stands with those that have a free slot, and when to look next.
    pub(super) fn refresh_availability(&mut self, now: Time, server: usize) {
        let s = &self.upstreams.servers[server];
        let live = s.status == Status::Live;
        let partly_ejected = live && s.by_class.shut(now).next().is_some();
        let cold = if live { self.warm_up_share(now, s) } else { None };
        let earned_sends = cold.is_none() || self.has_earned_send(now, s);
        let slot = s.in_flight < Self::k(s, s.probe.min(0));
        let key =
            if live && slot && now >= s.breaker.until && earned_sends { s.key() } else { Key::OUT };
        if live {
            let mut next = [s.breaker.until, Time(i64::MAX), Time(i64::MAX)];
            if let Some(started) = s.started.filter(|_| cold.is_some()) {
                next[1] = started.plus(self.settings.rules.warm_up);
                next[2] = if earned_sends { next[1] } else { self.next_send_at(now, s) };
            }
            let shut = s.by_class.shut(now).map(|b| b.breaker.until);
            if let Some(at) = next.into_iter().chain(shut).filter(|t| now < *t).min() {
                self.upstreams.timers.set(server, at.0);
            }
        }
        let standing = Availability { key, warm: live && cold.is_none(), partly_ejected };
        self.upstreams.set_availability(now, server, standing);
    }

    /// The upstream of least cost with a free slot, of those that a request may be sent to. One that already
    /// failed it comes last.
    pub(super) fn pick(
        &mut self,
        now: Time,
        id: RequestId,
        full: bool,
    ) -> Result<usize, NoUpstream> {
        let Some(e) = self.queue.get(id).filter(|e| self.may_attempt(now, e)) else {
            return Err(NoUpstream::RequestBlocked);
        };
        let (class, affinity) = (e.class, self.affinity(e));
        let tried: Vec<usize> = e.attempts.iter().map(|a| a.server).collect();
        let out = |i: &usize| {
            e.attempts.iter().any(|a| a.state == AttemptState::InFlight && a.server == *i)
        };
        let free = |i: &usize| {
            self.upstreams.satisfies(affinity, *i) && self.is_free(now, class, *i, full)
        };
        let key = |i: &usize| self.upstreams.servers[*i].key();
        let last: Vec<usize> = tried.iter().copied().filter(free).collect();
        let again = last.iter().copied().filter(|i| !out(i)).min_by_key(key);
        let none =
            if last.is_empty() { NoUpstream::NoFreeSlot } else { NoUpstream::RequestBlocked };
        let fits = |i: &usize| !tried.contains(i) && free(i);
        if full {
            let best = self.probed.iter().copied().filter(fits).min_by_key(key);
            return best.or(again).ok_or(none);
        }
        if let Affinity::Cell(zone, cell) = affinity {
            let best = self.upstreams.cell(zone, cell).filter(fits).min_by_key(key);
            return best.or(again).ok_or(none);
        }
        // What stands with the free is looked at once more before it is sent to.
        while let Some(i) = self.upstreams.best(class, affinity, &tried) {
            if self.upstreams.satisfies(affinity, i) && self.is_free(now, class, i, full) {
                return Ok(i);
            }
            self.refresh_availability(now, i);
        }
        again.ok_or(none)
    }
}
