//! Takes in the endpoint list, polls it where that is needed, and closes idle connections to
//! upstreams that leave.

use super::sweep::{CROSS_ZONE_DISTANCE, Sweep};
use super::{Balancer, LIST_POLL_TIMER};
use crate::breakers::Breaker;
use crate::estimate::Estimate;
use crate::interface::{Action, ListKind, Member, Status, Time};
use crate::upstreams::{Change, Server};

impl Balancer {
    /// Takes in a list event, then sends what can be sent now.
    pub(super) fn members(
        &mut self,
        now: Time,
        kind: ListKind,
        list: &[Member],
        out: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Unavailable => {
                self.list_poller.failed(now, self.rng.rand_float());
                return self.arm_list_poll(out);
            }
            ListKind::Restored | ListKind::LocalChange => {}
            ListKind::Update | ListKind::Complete => {
                self.list_poller.notified();
                self.expired = false;
            }
        }
        let changes = self.upstreams.list(now, kind, list);
        for change in &changes {
            self.apply_change(now, change, out);
        }
        self.forget_departed(now);
        for change in &changes {
            if let Some((index, part)) = self.upstreams.find(change.server) {
                let distance = self.upstreams.distance(index, &part, CROSS_ZONE_DISTANCE);
                self.upstreams.servers[change.server].distance = distance;
            }
            self.refresh(now, change.server);
        }
        self.sweep(now, self.sweep_slice(), Sweep::List);
        self.dispatch(now, out);
    }

    /// Resets what is known of an upstream that restarted, and closes idle connections to one that
    /// leaves.
    fn apply_change(&mut self, now: Time, change: &Change, out: &mut Vec<Action>) {
        let s = &mut self.upstreams.servers[change.server];
        if change.restarted {
            // A random part of the first send is already earned, so that balancers do not all send
            // at once.
            (s.earned_sends, s.earned_at) = (self.rng.rand_float(), now);
            s.estimate.slow = Estimate::NONE.slow;
            s.breaker = Breaker::default();
            s.by_class.reset_all();
        }
        if change.was != Some(s.status) {
            s.close_idle_until = now.plus(self.settings.rules.idle_close_limit);
            self.closing.push(change.server);
            self.close_idle_connections(now, change.server, out);
        }
    }

    /// Drops upstreams that are gone, and takes them out of the fleet's mean propagation time.
    fn forget_departed(&mut self, now: Time) {
        let fleet = &mut self.fleet;
        self.upstreams.forget(now, |estimate| {
            fleet.tp2_sum.change(estimate.tp2, None);
            fleet.tp2_count -= usize::from(estimate.tp2.is_some());
        });
    }

    /// Closes idle connections to an upstream that drains or is gone, where a rule asks for it.
    ///
    /// Called on the notice, after each outcome there and once a sweep for as long as the rule
    /// allows: a connection may become idle a moment after the outcome that used it.
    pub(super) fn close_idle_connections(
        &mut self,
        now: Time,
        server: usize,
        out: &mut Vec<Action>,
    ) {
        let s = &mut self.upstreams.servers[server];
        let within = self.settings.rules.idle_close_limit;
        if within.0 <= 0 || s.status == Status::Live {
            return;
        }
        out.push(Action::CloseIdle { server: s.id });
        if s.in_flight > 0 {
            s.close_idle_until = now.plus(within);
            self.closing.push(server);
        }
    }

    /// Closes idle connections to all upstreams that left not long ago.
    pub(super) fn close_idle_of_departed(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_over = |s: &Server| s.status == Status::Live || now > s.close_idle_until;
        self.closing.sort_unstable();
        self.closing.dedup();
        self.closing.retain(|slot| !is_over(&self.upstreams.servers[*slot]));
        for slot in self.closing.clone() {
            self.close_idle_connections(now, slot, out);
        }
    }

    /// Subscribes to the list, if that is due.
    pub(super) fn poll_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.list_poller.poll_if_due(now) {
            out.push(Action::Subscribe);
            self.arm_list_poll(out);
        }
    }

    /// Arms a timer of its own for the next poll: sweeps may be too seldom for it.
    pub(super) fn arm_list_poll(&self, out: &mut Vec<Action>) {
        out.extend(self.list_poller.next().map(|at| Action::Arm { token: LIST_POLL_TIMER, at }));
    }
}
