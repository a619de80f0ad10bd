//! Applies the endpoint list, polls it where the deployment requires that, and closes idle
//! connections to draining and withdrawn upstreams.

use super::sweep::{CROSS_ZONE_DISTANCE, Sweep};
use super::{Balancer, LIST_POLL_TIMER};
use crate::breakers::Breaker;
use crate::estimate::Estimate;
use crate::interface::{Action, ListKind, Member, Status, Time};
use crate::upstreams::{Change, Server};

impl Balancer {
    /// Applies a list event, then sends the queued requests that find a slot now.
    pub(super) fn on_members(
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
        let changes = self.upstreams.apply_list(now, kind, list);
        for change in &changes {
            self.apply_change(now, change, out);
        }
        self.remove_departed(now);
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

    /// Resets the estimates of an upstream that restarted, and closes the idle connections to an
    /// upstream that drains or was withdrawn.
    fn apply_change(&mut self, now: Time, change: &Change, out: &mut Vec<Action>) {
        let s = &mut self.upstreams.servers[change.server];
        if change.restarted {
            // A random part of the first send is already earned, so that the balancers do not all
            // send at the same time.
            (s.earned_sends, s.earned_at) = (self.rng.rand_float(), now);
            s.estimate.slowness = Estimate::NONE.slowness;
            s.breaker = Breaker::default();
            s.class_breakers.reset_all();
        }
        if change.previous_status != Some(s.status) {
            s.close_idle_until = now.plus(self.settings.rules.idle_close_limit);
            self.closing.push(change.server);
            self.close_idle_connections(now, change.server, out);
        }
    }

    /// Removes withdrawn upstreams, also from the mean propagation time of all upstreams.
    fn remove_departed(&mut self, now: Time) {
        let overall = &mut self.overall;
        self.upstreams.remove_departed(now, |estimate| {
            overall.tp2_sum.change(estimate.tp2, None);
            overall.tp2_count -= usize::from(estimate.tp2.is_some());
        });
    }

    /// Closes idle connections to a draining or withdrawn upstream, where a rule requires it.
    ///
    /// This is called when the upstream starts to drain, after each outcome of an attempt there, and
    /// in each sweep until the time limit of the rule: a connection may become idle a moment after
    /// the outcome of its last attempt.
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

    /// Closes idle connections to all upstreams that started to drain or were withdrawn within the
    /// time limit of the rule.
    pub(super) fn close_idle_of_departed(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_over = |s: &Server| s.status == Status::Live || now > s.close_idle_until;
        self.closing.sort_unstable();
        self.closing.dedup();
        self.closing.retain(|slot| !is_over(&self.upstreams.servers[*slot]));
        for slot in self.closing.clone() {
            self.close_idle_connections(now, slot, out);
        }
    }

    /// Subscribes to the endpoint list, if a poll is due.
    pub(super) fn poll_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.list_poller.poll_if_due(now) {
            out.push(Action::Subscribe);
            self.arm_list_poll(out);
        }
    }

    /// Arms a separate timer for the next poll, since sweeps may be too rare for it.
    pub(super) fn arm_list_poll(&self, out: &mut Vec<Action>) {
        out.extend(self.list_poller.next().map(|at| Action::Arm { token: LIST_POLL_TIMER, at }));
    }
}
