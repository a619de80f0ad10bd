//! Finds attempts that are overdue, and hedges them.

use super::Balancer;
use super::outlier::CLASS_DOUBLINGS;
use crate::attempt_tracker::Watched;
use crate::interface::{Outcome, Span, Time};
use crate::request_state::{Attempt, Fate};

/// Attempts that each event looks at, of those that may be overdue.
pub(super) const SLIVER: usize = 4;
/// An attempt is overdue so many mean deviations past its class's mean latency.
const PATIENCE: f64 = 3.0;
/// A second copy goes no sooner than after so many times the mean.
const LEAST_PATIENCE: f64 = 1.5;
/// And only where more than this share of those so late were never answered: a slow fleet needs no more load.
const LIKELY: f64 = 0.4;

impl Balancer {
    /// When an attempt is overdue, long past its class's latency; and when a second one must go to be in
    /// time.
    fn overdue_at(&self, w: &Watched) -> (Time, Time) {
        let (mean, dev) = (self.fleet.mean[w.class], self.fleet.dev[w.class]);
        if mean == 0.0 {
            let latency_objective = w.sent.plus(self.settings.classes[w.class].latency_objective);
            return (latency_objective, latency_objective);
        }
        let patience = mean + PATIENCE * dev;
        let left = w.hold_until.since(w.sent).f() - mean;
        let again = patience.min(left).max(mean * LEAST_PATIENCE);
        (w.sent.plus(Span::of(patience)), w.sent.plus(Span::of(again)))
    }

    /// Sets when an attempt of a class may be overdue, or in need of a second one, from its mean.
    pub(crate) fn reset_patience(&mut self, class: usize) {
        let (mean, dev) = (self.fleet.mean[class], self.fleet.dev[class]);
        let least = (mean + PATIENCE * dev).min(mean * LEAST_PATIENCE);
        let latency_objective = self.settings.classes[class].latency_objective;
        self.out.set_patience(class, if mean == 0.0 { latency_objective } else { Span::of(least) });
    }

    /// Attempts that may be due leave the young ones; so many a class.
    pub(super) fn ripen(&mut self, now: Time, most: usize) {
        let queue = &self.queue;
        self.out.ripen(now, most, |w| queue.attempt(w).is_some_and(|a| a.fate == Fate::Out));
    }

    /// Watches what is out. What is overdue is a fault of its upstream in its class; in time for a second
    /// one, it is sent elsewhere too where that is allowed, promises something and the budget lasts. Guards
    /// against hung and vanished upstreams, lost answers, stalls, a class that goes unanswered, dead
    /// connections. May hurt where requests of one class differ widely: a heavy one looks lost.
    pub(super) fn watch(&mut self, now: Time, most: usize) {
        for _ in 0..most {
            let Some(mut w) = self.out.next() else { return };
            let (late_at, again_at) = self.overdue_at(&w);
            if now < late_at.min(again_at) && !w.late {
                self.out.keep(w);
                continue;
            }
            let (id, n) = (w.request, w.attempt);
            let Some(e) = self.queue.get(id) else { continue };
            // One that flowed when it was sent is watched anew since it is whole.
            let out = |a: &&Attempt| a.fate == Fate::Out && a.sent == w.sent;
            let Some(a) = e.attempts.get(n).filter(out).copied() else { continue };
            w.late = true;
            self.out.keep(w);
            let (late, asked) = (a.overdue || now >= late_at, a.asked || now >= again_at);
            let room = self.up.rooms.load(e.class);
            let idle = room.queued == 0 && (room.in_flight as f64) < room.slots;
            let likely = self.fleet.hopeless[e.class] > LIKELY;
            let again = asked && !a.asked && likely && idle && self.extra >= 1.0;
            let again = again && !e.ended && !e.held && !e.flows && now < e.hold_until;
            let again = again && self.anywhere(now, e);
            let (class, server, was_late, flows) = (e.class, a.server, a.overdue, e.flows);
            let s = &mut self.up.servers[server];
            // Failure: lost answers held their slots for two aims, and the fleet was refused for. What is
            // overtaken is lost. With a K_i of one nothing overtakes (silent connections held all slots), so
            // between two answers of an upstream one is given up on time alone.
            let over = s.answered > Time(i64::MIN) && now >= late_at.plus(late_at.since(a.sent));
            // Its client is slow, not its upstream: it has the slot again once it is whole.
            let lost = late && !a.freed && (s.answered > a.sent || over || flows);
            if lost && !flows && s.answered <= a.sent {
                s.answered = Time(i64::MIN);
            }
            if late && !a.overdue && !flows {
                let mean = self.fleet.mean[class].max(1.0);
                s.est.learn(Outcome::Timeout, now.since(a.sent).f(), mean);
                s.by_class.get_mut(class).trip(now, mean, CLASS_DOUBLINGS);
            }
            if again {
                self.extra -= 1.0;
                self.hold(id, true);
            }
            if lost {
                self.count_level(now, a.server, None);
                self.up.count_in_flight(a.server, -1);
            }
            if let Some(a) = self.queue.get_mut(id).and_then(|e| e.attempts.get_mut(n)) {
                (a.overdue, a.asked, a.freed) = (late, asked, a.freed || lost);
            }
            if lost || late && !was_late {
                self.update(server);
                self.touch(now, server);
            }
        }
    }
}
