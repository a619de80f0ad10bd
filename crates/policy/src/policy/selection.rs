//! Selects the upstream of an attempt: the one of least cost with a free slot.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Balancer;
use crate::interface::{RequestId, Status, Time};
use crate::request_state::{Bound, Fate};
use crate::upstreams::Standing;

/// Why a request finds no upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stuck {
    /// For reasons of its own.
    Itself,
    /// None that it is bound to has a free slot.
    NoneFree,
}

impl Balancer {
    /// Whether an upstream has a free slot for a class: an ordinary one, or one on trial. Lanes on trial are
    /// filled once the ordinary slots are all taken.
    fn is_free(&self, now: Time, class: usize, server: usize, trial: bool) -> bool {
        let s = &self.up.servers[server];
        let k = Self::k(s, if trial { s.trial } else { s.trial.min(0) });
        // Failure: a proxy at its limit sent on trial to upstreams that it had left idle as slow.
        let slot = s.in_flight < k && !(trial && s.in_flight < Self::k(s, 0));
        slot && (!s.by_class.is_shut(now, class) || self.up.is_panicking(class))
            && s.status == Status::Live
            && now >= s.breaker.until
            && self.up.is_open(class, s)
            && self.cold_allows(now, s)
    }

    /// Looks at an upstream again: whether it stands with those that have a free slot, and when to look next.
    pub(super) fn touch(&mut self, now: Time, server: usize) {
        let s = &self.up.servers[server];
        let live = s.status == Status::Live;
        let spotted = live && s.by_class.shut(now).next().is_some();
        let cold = if live { self.cold_share(now, s) } else { None };
        let earned = cold.is_none() || self.cold_allows(now, s);
        let slot = s.in_flight < Self::k(s, s.trial.min(0));
        let key = if live && slot && now >= s.breaker.until && earned { s.key() } else { Key::OUT };
        if live {
            let mut next = [s.breaker.until, Time(i64::MAX), Time(i64::MAX)];
            if let Some(started) = s.started.filter(|_| cold.is_some()) {
                next[1] = started.plus(self.settings.rules.warm_up);
                next[2] = if earned { next[1] } else { self.earns_at(now, s) };
            }
            let shut = s.by_class.shut(now).map(|b| b.breaker.until);
            if let Some(at) = next.into_iter().chain(shut).filter(|t| now < *t).min() {
                self.up.timers.set(server, at.0);
            }
        }
        let standing = Standing { key, warm: live && cold.is_none(), spotted };
        self.up.stand(now, server, standing);
    }

    /// The upstream of least cost with a free slot, of those that a request may be sent to. One that already
    /// failed it comes last.
    pub(super) fn pick(&mut self, now: Time, id: RequestId, full: bool) -> Result<usize, Stuck> {
        let Some(e) = self.queue.get(id).filter(|e| self.may_go(now, e)) else {
            return Err(Stuck::Itself);
        };
        let (class, bound) = (e.class, self.bound(e));
        let tried: Vec<usize> = e.attempts.iter().map(|a| a.server).collect();
        let out = |i: &usize| e.attempts.iter().any(|a| a.fate == Fate::Out && a.server == *i);
        let free = |i: &usize| self.up.in_bound(bound, *i) && self.is_free(now, class, *i, full);
        let key = |i: &usize| self.up.servers[*i].key();
        let last: Vec<usize> = tried.iter().copied().filter(free).collect();
        let again = last.iter().copied().filter(|i| !out(i)).min_by_key(key);
        let none = if last.is_empty() { Stuck::NoneFree } else { Stuck::Itself };
        let fits = |i: &usize| !tried.contains(i) && free(i);
        if full {
            let best = self.trying.iter().copied().filter(fits).min_by_key(key);
            return best.or(again).ok_or(none);
        }
        if let Bound::Cell(zone, cell) = bound {
            let best = self.up.cell(zone, cell).filter(fits).min_by_key(key);
            return best.or(again).ok_or(none);
        }
        // What stands with the free is looked at once more before it is sent to.
        while let Some(i) = self.up.best(class, bound, &tried) {
            if self.up.in_bound(bound, i) && self.is_free(now, class, i, full) {
                return Ok(i);
            }
            self.touch(now, i);
        }
        again.ok_or(none)
    }
}
