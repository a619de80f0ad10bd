//! Timing model of an upstream: evenly shared cores, a bounded queue, slowdown by contention,
//! warm-up after a cold start, and overload of a cold node. A pure state machine over time, without
//! I/O.

use std::collections::VecDeque;

use crate::scenario::{MachineType, cold_node_limit, counted_work};

/// Milliseconds from the start of the run.
pub type Ms = f64;

/// Maximum interval between updates of a cold node's speed.
const WARMING_STEP: Ms = 50.0;
/// Share of the speed that is left under any contention.
const LEAST_SPEED: f64 = 0.1;
/// Share of the work possible during the whole warm-up time after which a node is warm.
const WARM_BY_WORK: f64 = 0.3;
/// Remaining work that counts as none, so that rounding can't leave a request unfinished.
const WORK_EPSILON: f64 = 1e-6;

/// A request in the node.
#[derive(Clone, Copy, Debug)]
struct Job {
    id: u32,
    /// Remaining work, in milliseconds of a core of speed 1.
    left: f64,
}

/// The load at which a cold node is overloaded and stops.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimit {
    /// Tolerated work, as a multiple of the current capacity.
    pub multiple: f64,
    /// Window over which the work is added up.
    pub window: Ms,
    /// Mean work of a request, which determines the tolerance for random fluctuation.
    pub mean: f64,
}

/// Result of the arrival of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs, or waits for a slot.
    Accepted,
    /// The queue is full.
    Full,
    /// The node has just been overloaded and stops.
    Overloaded,
}

/// The model of one node.
#[derive(Clone, Debug)]
pub struct Model {
    kind: MachineType,
    speed: f64,
    /// Slowdown factor of the active faults.
    pub slow: f64,
    started: Ms,
    cold: Ms,
    /// Work done since the start, in milliseconds of a core of speed 1.
    done: f64,
    working: Vec<Job>,
    waiting: VecDeque<Job>,
    now: Ms,
    overload: OverloadLimit,
    /// While cold: time and work of each request sent to the node within the window.
    sent: VecDeque<(Ms, f64)>,
    /// Number of requests finished, for load reports.
    served: u64,
}

impl Model {
    /// Creates a node that starts at `now`; it is warm from the start if `cold` is 0.
    pub fn start(
        kind: &MachineType,
        speed: f64,
        now: Ms,
        cold: Ms,
        overload: OverloadLimit,
    ) -> Self {
        Self {
            kind: kind.clone(),
            speed,
            slow: 1.0,
            started: now,
            cold,
            done: 0.0,
            working: Vec::new(),
            waiting: VecDeque::new(),
            now,
            overload,
            sent: VecDeque::new(),
            served: 0,
        }
    }

    /// Returns the work that the warm node can do per millisecond.
    pub fn full(&self) -> f64 {
        self.speed * f64::from(self.kind.cores)
    }

    /// Returns the current capacity as a share of the warm capacity.
    pub fn warmth(&self) -> f64 {
        if self.cold <= 0.0 {
            return 1.0;
        }
        let by_time = (self.now - self.started) / self.cold;
        let by_work = self.done / (self.full() * self.cold * WARM_BY_WORK);
        let grown = by_time.max(by_work).clamp(0.0, 1.0);
        self.kind.initial_capacity + (1.0 - self.kind.initial_capacity) * grown
    }

    /// Returns the number of requests that run or wait.
    pub fn held(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    /// Returns the number of finished requests.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Returns the speed of each running request.
    fn pace(&self) -> f64 {
        let running = self.working.len() as f64;
        if running == 0.0 {
            return 0.0;
        }
        let cores = f64::from(self.kind.cores);
        let contention = (self.held() as f64 / cores - self.kind.contention_threshold).max(0.0);
        let fit =
            (1.0 - self.kind.contention_loss * contention / (1.0 + contention)).max(LEAST_SPEED);
        let all = self.speed * running.min(cores) * self.warmth() * fit / self.slow;
        all / running
    }

    /// Returns the time of the next change without external events.
    pub fn next(&self) -> Option<Ms> {
        let pace = self.pace();
        let least = self.working.iter().map(|j| j.left).reduce(f64::min)?;
        let done = self.now + least / pace.max(WORK_EPSILON);
        let warming = self.cold > 0.0 && self.warmth() < 1.0;
        Some(if warming { done.min(self.now + WARMING_STEP) } else { done })
    }

    /// Advances to `now` and appends the requests that have finished.
    pub fn advance(&mut self, now: Ms, finished: &mut Vec<u32>) {
        while let Some(next) = self.next().filter(|at| *at <= now) {
            self.work_until(next);
            self.collect(finished);
        }
        self.work_until(now);
        self.collect(finished);
    }

    fn work_until(&mut self, at: Ms) {
        let step = (at - self.now).max(0.0);
        let work = self.pace() * step;
        for job in &mut self.working {
            job.left -= work;
        }
        self.done += work * self.working.len() as f64;
        self.now = self.now.max(at);
    }

    fn collect(&mut self, finished: &mut Vec<u32>) {
        let before = finished.len();
        self.working.retain(|job| {
            let is_finished = job.left <= WORK_EPSILON;
            if is_finished {
                finished.push(job.id);
            }
            !is_finished
        });
        self.served += (finished.len() - before) as u64;
        while self.working.len() < self.kind.slots as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            self.working.push(job);
        }
    }

    /// Adds a request at the time to which the model was last advanced.
    pub fn arrive(&mut self, id: u32, work: f64) -> Admission {
        if self.is_overloaded(work) {
            self.working.clear();
            self.waiting.clear();
            return Admission::Overloaded;
        }
        let job = Job { id, left: work };
        if self.working.len() < self.kind.slots as usize {
            self.working.push(job);
        } else if self.waiting.len() < self.kind.queue as usize {
            self.waiting.push_back(job);
        } else {
            return Admission::Full;
        }
        Admission::Accepted
    }

    /// Adds the work of a handshake, which delays the running requests.
    pub fn add_handshake_work(&mut self, work: f64) {
        let n = self.working.len().max(1) as f64;
        self.working.iter_mut().for_each(|j| j.left += work / n);
    }

    /// Records work sent to a cold node, and returns whether that overloads it. Everything that
    /// arrives counts, rejected requests too.
    fn is_overloaded(&mut self, work: f64) -> bool {
        if self.cold <= 0.0 || self.now >= self.started + self.cold {
            return false;
        }
        self.sent.push_back((self.now, work));
        let from = self.now - self.overload.window;
        while self.sent.front().is_some_and(|(at, _)| *at < from) {
            self.sent.pop_front();
        }
        let OverloadLimit { multiple, window, mean } = self.overload;
        let able = self.full() * self.warmth() * window;
        counted_work(self.sent.iter().map(|(_, w)| *w), mean)
            > cold_node_limit(multiple * able / mean) * mean
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn kind() -> MachineType {
        MachineType {
            name: "k".into(),
            share: 1.0,
            cores: 2,
            speed: 1.0,
            speed_cv: 0.0,
            slots: 3,
            queue: 1,
            contention_threshold: 1.5,
            contention_loss: 0.5,
            initial_capacity: 0.25,
            warm_up: Duration::from_secs(10),
            connections: 10,
            handshake_ms: 1.0,
            error_rate: 0.0,
        }
    }

    const OVERLOAD: OverloadLimit = OverloadLimit { multiple: 4.0, window: 2000.0, mean: 100.0 };

    fn finished(model: &mut Model, at: Ms) -> Vec<u32> {
        let mut all = Vec::new();
        model.advance(at, &mut all);
        all
    }

    #[test]
    fn cores_are_shared_and_the_queue_is_bounded() {
        let mut m = Model::start(&kind(), 2.0, 0.0, 0.0, OVERLOAD);
        for id in 0..2 {
            assert_eq!(m.arrive(id, 100.0), Admission::Accepted);
        }
        assert_eq!(m.next(), Some(50.0), "each has a core of speed 2");
        assert_eq!(
            (m.arrive(2, 100.0), m.arrive(3, 100.0)),
            (Admission::Accepted, Admission::Accepted)
        );
        assert_eq!(m.arrive(4, 100.0), Admission::Full);
        // Four requests on two cores exceed the threshold of 1.5 by half a request per core: a
        // sixth of the speed is lost.
        let pace = 2.0 * 2.0 * (1.0 - 0.5 * 0.5 / 1.5) / 3.0;
        let next = m.next().expect("busy");
        assert!((next - 100.0 / pace).abs() < 1e-6, "{next}");
        assert_eq!(finished(&mut m, next + 1e-3), vec![0, 1, 2]);
        assert_eq!(m.held(), 1);
        let last = m.next().expect("the queued request");
        assert_eq!(finished(&mut m, last), vec![3]);
        assert_eq!((m.served(), m.next()), (4, None));
    }

    #[test]
    fn a_cold_node_warms_up_with_time_and_faster_with_work() {
        let mut idle = Model::start(&kind(), 1.0, 0.0, 10_000.0, OVERLOAD);
        assert_eq!(idle.warmth(), 0.25);
        finished(&mut idle, 5000.0);
        assert!((idle.warmth() - 0.625).abs() < 1e-9);
        finished(&mut idle, 10_000.0);
        assert_eq!(idle.warmth(), 1.0);
        let mut busy = Model::start(&kind(), 1.0, 0.0, 10_000.0, OVERLOAD);
        for i in 0..2500 {
            let at = f64::from(i);
            finished(&mut busy, at);
            if busy.held() < 2 {
                busy.arrive(i as u32, 10.0);
            }
        }
        assert!(busy.warmth() > 0.25 + 0.75 * 0.26, "{}", busy.warmth());
    }

    #[test]
    fn a_cold_node_is_overloaded_only_above_its_limit() {
        let mut m = Model::start(&kind(), 1.0, 0.0, 10_000.0, OVERLOAD);
        // Four times 0.25 of two cores for 2 s is 40 requests; the tolerance adds twice the square
        // root, and two.
        let mut sent = 0.0;
        while m.arrive(0, 100.0) != Admission::Overloaded {
            sent += 100.0;
            assert!(sent <= 5400.0, "not overloaded after {sent}");
        }
        assert_eq!(sent, 5400.0);
        let mut heavy = Model::start(&kind(), 1.0, 0.0, 10_000.0, OVERLOAD);
        assert_eq!(
            heavy.arrive(0, 50_000.0),
            Admission::Accepted,
            "one heavy request is tolerated"
        );
        assert_eq!(heavy.arrive(0, 50_000.0), Admission::Overloaded, "two are not");
        // The same work spread over time never overloads a cold node, and no work overloads a warm
        // one.
        let mut slow = Model::start(&kind(), 1.0, 0.0, 10_000.0, OVERLOAD);
        for i in 0..50 {
            finished(&mut slow, 60.0 * f64::from(i));
            assert_ne!(slow.arrive(0, 100.0), Admission::Overloaded);
        }
        let mut warm = Model::start(&kind(), 1.0, 0.0, 0.0, OVERLOAD);
        assert!((0..500).all(|_| warm.arrive(0, 100.0) != Admission::Overloaded));
    }

    #[test]
    fn a_slow_node_takes_longer_by_its_factor() {
        let mut m = Model::start(&kind(), 1.0, 0.0, 0.0, OVERLOAD);
        m.slow = 5.0;
        m.arrive(0, 10.0);
        assert!(finished(&mut m, 49.9).is_empty());
        assert_eq!(finished(&mut m, 50.0), vec![0]);
    }
}
