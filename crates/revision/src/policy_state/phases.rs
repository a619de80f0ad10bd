//! The phases of a change: which generation follows once the present one is confirmed, and what is in force in each.

use std::sync::Arc;

use super::PolicyState;
use super::replicated::ReplicatedState;
use crate::fallback_policy::{FallbackFloor, FallbackPolicy};
use crate::history::{ChangeStatus, History};
use crate::rules::Rules;

/// What is in force in a generation.
pub(super) struct InForceRules {
    /// The rules of balancers that hold a lease.
    pub(super) rules: Arc<Rules>,
    /// What balancers without a lease keep to.
    pub(super) fallback_policy: Arc<FallbackPolicy>,
}

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

/// Derives what is in force from the replicated state.
pub(super) fn in_force_rules(state: &ReplicatedState, history: &History) -> InForceRules {
    let current = &state.fallback_policy;
    let (floor, fallback_policy) = match state.started_fallback_change() {
        Some(change) => (
            FallbackFloor::either(current.clone(), change.target.clone()),
            current.meet(&change.target),
        ),
        None => (FallbackFloor::of(current.clone()), current.clone()),
    };
    let floor = Arc::new(floor);
    // Referenced revisions are never dropped, and a snapshot that lacks one is rejected.
    let rules_of = |number: u64| {
        let document = history.get(number).map(|revision| (*revision.document).clone());
        Rules::of(document.unwrap_or_default(), floor.clone())
    };
    let old = rules_of(state.in_force);
    let rules = match state.target {
        Some(target) => Rules::restrict(&old, &rules_of(target)),
        None => old,
    };
    InForceRules { rules: Arc::new(rules), fallback_policy: Arc::new(fallback_policy) }
}
