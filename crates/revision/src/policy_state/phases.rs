//! The phases of a change: decides which generation follows once the current one is confirmed.

use super::PolicyState;
use crate::history::ChangeStatus;

impl PolicyState {
    /// Records that no balancer acts on an older generation than this.
    pub(super) fn confirm_generation(&mut self, generation: u64) {
        if generation == self.state.generation {
            self.state.unconfirmed = false;
        }
    }

    /// Starts the next generation if the current one is confirmed and a phase is waiting.
    ///
    /// Each generation starts a single phase. Of any two sets of rules on which balancers act at the same time, one
    /// then allows everything that the other allows.
    pub(super) fn start_next_generation(&mut self, index: u64) {
        if self.state.unconfirmed || !self.start_next_phase(index) {
            return;
        }
        self.state.generation = index;
        self.state.unconfirmed = true;
    }

    /// Starts the first waiting phase, in this order: the apply phase of the running change, the start or the end of a
    /// change of the fallback policy, the restrict phase of the pending revision. Returns whether a phase has started.
    fn start_next_phase(&mut self, index: u64) -> bool {
        let state = &mut self.state;
        if let Some(target) = state.target.take() {
            state.in_force = target;
            self.history.set_final_status(target, ChangeStatus::Superseded(index));
        } else if let Some(change) = state.fallback_change.as_mut().filter(|c| !c.is_started) {
            change.is_started = true;
            state.fallback_generation = index;
        } else if let Some(change) = state.fallback_change.take_if(|c| c.is_confirmed) {
            if !change.is_withdrawn {
                state.fallback_policy = change.target;
            }
            state.fallback_generation = index;
        } else if let Some(pending) = state.pending.take() {
            state.target = Some(pending);
        } else {
            return false;
        }
        true
    }
}
