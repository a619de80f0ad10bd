//! The phases of a change: which generation follows once the present one is confirmed.

use super::PolicyState;
use crate::history::ChangeStatus;

impl PolicyState {
    /// Takes in that nobody acts on an older generation than this.
    pub(super) fn confirm_generation(&mut self, generation: u64) {
        if generation == self.state.generation {
            self.state.unconfirmed = false;
        }
    }

    /// Starts the next generation, if the present one is confirmed and something waits.
    ///
    /// One generation changes one thing, so that of the rules that anybody acts on at one moment, each allows all that
    /// another one allows, or nothing beyond it.
    pub(super) fn start_next_generation(&mut self, index: u64) {
        if self.state.unconfirmed || !self.start_next_phase(index) {
            return;
        }
        self.state.generation = index;
        self.state.unconfirmed = true;
    }

    /// Starts the first phase that waits: the apply phase of the running change, the start or the end of a change of
    /// the fallback policy, the restrict phase of the pending revision. Returns whether there is one.
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
