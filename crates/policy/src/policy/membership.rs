//! Takes in the endpoint list, and asks for it where it is polled.

use super::sweep::{CROSS_ZONE_DISTANCE, Sweep};
use super::{Balancer, LIST_POLL_TIMER};
use crate::breakers::Breaker;
use crate::estimate::Estimate;
use crate::interface::{Action, ListKind, Member, Status, Time};

impl Balancer {
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
            ListKind::Restored | ListKind::Aside => {}
            ListKind::Update | ListKind::Complete => {
                self.list_poller.notified();
                self.expired = false;
            }
        }
        let changed = self.upstreams.list(now, kind, list);
        for c in &changed {
            let s = &mut self.upstreams.servers[c.server];
            if c.restarted {
                // Spread over the bank: a random part of the first send is already earned.
                (s.earned_sends, s.earned_at) = (self.rng.rand_float(), now);
                s.estimate.slow = Estimate::NONE.slow;
                s.breaker = Breaker::default();
                s.by_class.reset_all();
            }
            if c.was != Some(s.status) {
                s.close_idle_until = now.plus(self.settings.rules.drain_close);
                self.closing.push(c.server);
                self.close_idle_connections(now, c.server, out);
            }
        }
        let fleet = &mut self.fleet;
        self.upstreams.forget(now, |est| {
            fleet.tp2_sum.change(est.tp2, None);
            fleet.tp2_count -= usize::from(est.tp2.is_some());
        });
        for c in &changed {
            if let Some((j, part)) = self.upstreams.find(c.server) {
                self.upstreams.servers[c.server].distance =
                    self.upstreams.reach(j, &part, CROSS_ZONE_DISTANCE);
            }
            self.refresh(now, c.server);
        }
        self.sweep(now, self.sweep_slice(), Sweep::List);
        self.dispatch(now, out);
    }

    /// Closes what idles at an upstream that drains or is gone, where a rule asks for it: on the notice,
    /// after each outcome there, and once a sweep for as long as the rule allows, since a connection may come
    /// free a moment after the outcome that used it was told.
    pub(super) fn close_idle_connections(
        &mut self,
        now: Time,
        server: usize,
        out: &mut Vec<Action>,
    ) {
        let s = &mut self.upstreams.servers[server];
        let within = self.settings.rules.drain_close;
        if within.0 <= 0 || s.status == Status::Live {
            return;
        }
        out.push(Action::CloseIdle { server: s.id });
        if s.in_flight > 0 {
            s.close_idle_until = now.plus(within);
            self.closing.push(server);
        }
    }

    pub(super) fn poll_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.list_poller.poll_if_due(now) {
            out.push(Action::Subscribe);
            self.arm_list_poll(out);
        }
    }

    /// The sweep may come too seldom for it. Failure: with aims of a minute the list was asked for 2 s late.
    pub(super) fn arm_list_poll(&self, out: &mut Vec<Action>) {
        out.extend(self.list_poller.next().map(|at| Action::Arm { token: LIST_POLL_TIMER, at }));
    }
}
