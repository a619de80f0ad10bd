//! Derives the rules in force from the replicated state.

use std::sync::Arc;

use super::replicated::ReplicatedState;
use crate::fallback_policy::{FallbackFloor, FallbackPolicy};
use crate::history::History;
use crate::rules::Rules;

/// The rules and the fallback policy in force during a generation.
pub(super) struct InForceRules {
    /// The rules of balancers that hold a lease.
    pub(super) rules: Arc<Rules>,
    /// The fallback policy of balancers without a lease.
    pub(super) fallback_policy: Arc<FallbackPolicy>,
}

/// Derives the rules and the fallback policy in force from the replicated state.
pub(super) fn in_force_rules(state: &ReplicatedState, history: &History) -> InForceRules {
    let current = &state.fallback_policy;
    let (floor, fallback_policy) = match state.started_fallback_change() {
        Some(change) => (
            FallbackFloor::union(current.clone(), change.target.clone()),
            current.intersection(&change.target),
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
