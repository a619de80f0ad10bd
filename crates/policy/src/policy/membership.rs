//! Takes in the endpoint list, and asks for it where it is polled.

use super::sweep::{FAR, Sweep};
use super::{ASK, Balancer};
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
                self.ask.failed(now, self.rng.rand_float());
                return self.arm_ask(out);
            }
            ListKind::Restored | ListKind::Aside => {}
            ListKind::Update | ListKind::Complete => {
                self.ask.told();
                self.expired = false;
            }
        }
        let changed = self.up.list(now, kind, list);
        for c in &changed {
            let s = &mut self.up.servers[c.server];
            if c.restarted {
                // Spread over the bank: a random part of the first send is already earned.
                (s.tokens, s.refilled) = (self.rng.rand_float(), now);
                s.est.slow = Estimate::NONE.slow;
                s.breaker = Breaker::default();
                s.by_class.reset_all();
            }
            if c.was != Some(s.status) {
                s.close_until = now.plus(self.settings.rules.drain_close);
                self.closing.push(c.server);
                self.close_idle(now, c.server, out);
            }
        }
        let fleet = &mut self.fleet;
        self.up.forget(now, |est| {
            fleet.tp2_sum.change(est.tp2, None);
            fleet.tp2_seen -= usize::from(est.tp2.is_some());
        });
        for c in &changed {
            if let Some((j, part)) = self.up.find(c.server) {
                self.up.servers[c.server].reach = self.up.reach(j, &part, FAR);
            }
            self.refresh(now, c.server);
        }
        self.sweep(now, self.slice(), Sweep::List);
        self.dispatch(now, out);
    }

    /// Closes what idles at an upstream that drains or is gone, where a rule asks for it: on the notice,
    /// after each outcome there, and once a sweep for as long as the rule allows, since a connection may come
    /// free a moment after the outcome that used it was told.
    pub(super) fn close_idle(&mut self, now: Time, server: usize, out: &mut Vec<Action>) {
        let s = &mut self.up.servers[server];
        let within = self.settings.rules.drain_close;
        if within.0 <= 0 || s.status == Status::Live {
            return;
        }
        out.push(Action::CloseIdle { server: s.id });
        if s.in_flight > 0 {
            s.close_until = now.plus(within);
            self.closing.push(server);
        }
    }

    pub(super) fn ask_for_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.ask.asks(now) {
            out.push(Action::Subscribe);
            self.arm_ask(out);
        }
    }

    /// The sweep may come too seldom for it. Failure: with aims of a minute the list was asked for 2 s late.
    pub(super) fn arm_ask(&self, out: &mut Vec<Action>) {
        out.extend(self.ask.next().map(|at| Action::Arm { token: ASK, at }));
    }
}
