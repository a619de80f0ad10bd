//! Changes of the fallback policy: proposal, withdrawal and confirmation. The module `phases` decides when a change
//! starts and completes.

use super::PolicyState;
use super::replicated::FallbackChange;
use crate::fallback_policy::{FallbackFloor, FallbackPolicy, FallbackPolicyError};
use crate::fleet::FleetFacts;
use crate::rejection::Rejection;

impl PolicyState {
    /// Proposes another fallback policy, or withdraws the running change if `target` is the current policy.
    pub(super) fn propose_fallback_change(
        &mut self,
        index: u64,
        target: FallbackPolicy,
        facts: &FleetFacts,
    ) -> Result<u64, Rejection> {
        if self.state.fallback_change.is_some() {
            return self.withdraw_fallback_change(index, &target);
        }
        target.check(&self.state.mandatory_fallback)?;
        facts.check()?;
        self.check_new_exceptions(&target, facts)?;
        self.check_referenced_revisions(&target, facts)?;
        if target != self.state.fallback_policy {
            self.state.fallback_change = Some(FallbackChange {
                target,
                proposed_at: index,
                is_started: false,
                is_confirmed: false,
                is_withdrawn: false,
            });
        }
        Ok(index)
    }

    fn withdraw_fallback_change(
        &mut self,
        index: u64,
        target: &FallbackPolicy,
    ) -> Result<u64, Rejection> {
        let Some(change) = &mut self.state.fallback_change else { return Ok(index) };
        if *target != self.state.fallback_policy {
            return Err(Rejection::FallbackChangeInProgress { since: change.proposed_at });
        }
        if change.is_started {
            // The rules in force are derived from both policies until the next generation starts. The old policy allows
            // everything that both policies allow, so no balancer has to confirm the withdrawal.
            change.is_withdrawn = true;
            change.is_confirmed = true;
        } else {
            self.state.fallback_change = None;
        }
        Ok(index)
    }

    /// Checks that upstreams which the new policy excepts are not part of the mandatory fallback.
    fn check_new_exceptions(
        &self,
        target: &FallbackPolicy,
        facts: &FleetFacts,
    ) -> Result<(), FallbackPolicyError> {
        let mandatory = &self.state.mandatory_fallback.cells;
        for name in target.except.difference(&self.state.fallback_policy.except) {
            // An upstream that is not on the endpoint list may be in any cell.
            let cell = facts.named.get(name).map(|(cell, _)| *cell);
            if cell.is_none_or(|cell| mandatory.contains(&cell)) {
                let what = format!("upstream `{name}`");
                return Err(FallbackPolicyError::MandatoryFallback { what });
            }
        }
        Ok(())
    }

    /// Checks that no revision that is or may come into force forbids what the new policy allows.
    fn check_referenced_revisions(
        &self,
        target: &FallbackPolicy,
        facts: &FleetFacts,
    ) -> Result<(), Rejection> {
        let floor = FallbackFloor::of(target.clone());
        for number in self.state.referenced_revisions() {
            let Some(revision) = self.history.get(number) else { continue };
            let conflicts = facts.fallback_conflicts(&revision.document, &floor);
            if let Some(conflict) = conflicts.into_iter().next() {
                return Err(Rejection::FleetConflict(conflict));
            }
        }
        Ok(())
    }

    /// Records that every balancer holds the fallback policy of this generation.
    pub(super) fn confirm_fallback_change(&mut self, fallback_generation: u64) {
        if fallback_generation != self.state.fallback_generation {
            return;
        }
        if let Some(change) = &mut self.state.fallback_change
            && change.is_started
        {
            change.is_confirmed = true;
        }
    }
}
