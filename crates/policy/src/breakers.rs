//! Circuit breakers, which eject an upstream temporarily after a fault: one breaker for all classes,
//! and one for each class.
//!
//! [`crate::policy`] decides which outcomes are faults.

use crate::interface::{SignedDuration, Time};

/// A circuit breaker. It is open for a pause after a fault, and for twice as long after each further
/// consecutive fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breaker {
    /// When the pause ends.
    pub(crate) until: Time,
    /// Number of doublings of the next pause.
    pub(crate) faults: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { until: Time(i64::MIN), faults: 0 }
    }
}

impl Breaker {
    /// Opens the breaker after a fault. The first pause lasts `pause` microseconds, and is doubled
    /// at most `doublings` times.
    ///
    /// A lost zone remains in the endpoint list for a long time. The doubling limits the attempts
    /// that its upstreams get meanwhile.
    pub(crate) fn trip(&mut self, now: Time, pause: f64, doublings: u32) {
        if now < self.until {
            // The attempt was sent before the pause began: its fault is already counted.
            return;
        }
        self.until = now.plus(SignedDuration::from_micros_f64(pause * f64::from(1 << self.faults)));
        self.faults = (self.faults + 1).min(doublings);
    }
}

/// The breaker of one class at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassBreaker {
    pub(crate) class: u32,
    pub(crate) breaker: Breaker,
}

/// The breakers of an upstream that has had faults.
#[derive(Debug, Default)]
struct State {
    /// Breakers in ascending order of class.
    breakers: Vec<ClassBreaker>,
    /// Classes whose ejection counts include this upstream, in ascending order.
    counted: Vec<u32>,
}

/// All class breakers of one upstream. Without faults it is only an empty pointer.
#[derive(Debug, Default)]
pub(crate) struct ClassBreakers {
    state: Option<Box<State>>,
}

impl ClassBreakers {
    /// Returns the breaker of a class, and creates it if the class had no fault before.
    pub(crate) fn get_mut(&mut self, class: usize) -> &mut Breaker {
        let state = self.state.get_or_insert_default();
        let class = class as u32;
        let at = state.breakers.partition_point(|b| b.class < class);
        if state.breakers.get(at).is_none_or(|b| b.class != class) {
            state.breakers.insert(at, ClassBreaker { class, breaker: Breaker::default() });
        }
        &mut state.breakers[at].breaker
    }

    /// Returns whether the upstream is ejected for a class.
    pub(crate) fn is_ejected(&self, now: Time, class: usize) -> bool {
        let Some(state) = &self.state else { return false };
        let found = state.breakers.binary_search_by_key(&(class as u32), |b| b.class);
        found.is_ok_and(|at| now < state.breakers[at].breaker.until)
    }

    /// Returns the breakers of the classes for which the upstream is ejected, by class.
    pub(crate) fn ejected(&self, now: Time) -> impl Iterator<Item = &ClassBreaker> {
        let breakers = self.state.iter().flat_map(|state| &state.breakers);
        breakers.filter(move |b| now < b.breaker.until)
    }

    /// Closes the breaker of a class.
    pub(crate) fn reset(&mut self, class: usize) {
        let Some(state) = &mut self.state else { return };
        if let Ok(at) = state.breakers.binary_search_by_key(&(class as u32), |b| b.class) {
            state.breakers.remove(at);
        }
        self.drop_if_empty();
    }

    /// Closes all breakers.
    pub(crate) fn reset_all(&mut self) {
        if let Some(state) = &mut self.state {
            state.breakers.clear();
        }
        self.drop_if_empty();
    }

    /// Replaces the classes whose ejection counts include this upstream, and returns the previous
    /// classes.
    pub(crate) fn count(&mut self, classes: Vec<u32>) -> Vec<u32> {
        if self.state.is_none() && classes.is_empty() {
            return classes;
        }
        let previous = std::mem::replace(&mut self.state.get_or_insert_default().counted, classes);
        self.drop_if_empty();
        previous
    }

    fn drop_if_empty(&mut self) {
        if self.state.as_ref().is_some_and(|s| s.breakers.is_empty() && s.counted.is_empty()) {
            self.state = None;
        }
    }
}
