//! Commands about revisions: proposal, rollback, and the end of a canary.

use std::sync::Arc;

use super::PolicyState;
use super::status::CanaryStatus;
use crate::canary::RollbackCause;
use crate::document::Document;
use crate::entry::ProposalOptions;
use crate::fleet::{FleetConflict, FleetFacts};
use crate::history::{ChangeStatus, Origin};
use crate::rejection::Rejection;
use crate::rules::Rules;

impl PolicyState {
    /// Accepts a new document as the revision with the number `index`.
    pub(super) fn propose(
        &mut self,
        index: u64,
        options: &ProposalOptions,
        document: Document,
    ) -> Result<u64, Rejection> {
        document.check().map_err(|error| Rejection::Document(error.to_string()))?;
        self.accept(index, options, document, Origin::Proposed(options.id))
    }

    /// Accepts the content of the retained revision `to` as a new revision.
    pub(super) fn roll_back(
        &mut self,
        index: u64,
        options: &ProposalOptions,
        to: u64,
    ) -> Result<u64, Rejection> {
        let document = (*self.retained_revision(to)?.document).clone();
        self.accept(index, options, document, Origin::Rollback(options.id, to))
    }

    /// Rolls back the canary of this revision, if the canary is still running and the revision before it is retained.
    pub(super) fn roll_back_canary(&mut self, index: u64, number: u64, cause: RollbackCause) {
        let Some(canary) = self.state.canary.filter(|canary| canary.revision == number) else {
            return;
        };
        let Ok(before) = self.retained_revision(canary.before) else { return };
        let document = (*before.document).clone();
        self.append(index, document, Origin::AutomaticRollback(number, cause));
        self.state.canary = None;
    }

    /// Confirms the canary of this revision: the canary ends and the revision remains.
    pub(super) fn confirm_canary(&mut self, number: u64) -> Result<u64, Rejection> {
        if self.state.canary.is_none_or(|canary| canary.revision != number) {
            return Err(Rejection::NotOnCanary { number });
        }
        self.state.canary = None;
        Ok(number)
    }

    /// Returns the conflicts of a document with the fleet and with the floor that no new revision can forbid.
    pub(super) fn fleet_conflicts(
        &self,
        document: &Document,
        facts: &FleetFacts,
    ) -> Vec<FleetConflict> {
        let floor = Arc::new(self.state.proposal_floor());
        facts.fleet_conflicts(&Rules::of(document.clone(), floor))
    }

    fn accept(
        &mut self,
        index: u64,
        options: &ProposalOptions,
        document: Document,
        origin: Origin,
    ) -> Result<u64, Rejection> {
        self.check_base(options.base)?;
        if let Some(terms) = options.canary.filter(|terms| !terms.is_valid()) {
            return Err(Rejection::CanaryTerms(terms));
        }
        let conflicts = self.fleet_conflicts(&document, &options.facts);
        let is_overridden = |conflict: &FleetConflict| options.forced && conflict.is_overridable();
        if let Some(conflict) = conflicts.into_iter().find(|conflict| !is_overridden(conflict)) {
            return Err(Rejection::FleetConflict(conflict));
        }
        // A revision that is proposed during a canary accepts the canary, unless the new revision is a canary, too: a
        // rollback then restores the revision before both canaries.
        let before = self.state.canary.map_or(self.state.newest, |canary| canary.before);
        self.state.canary =
            options.canary.map(|terms| CanaryStatus { revision: index, before, terms });
        self.append(index, document, origin);
        Ok(index)
    }

    fn check_base(&self, base: Option<u64>) -> Result<(), Rejection> {
        let newest = self.state.newest;
        let Some(base) = base.filter(|base| *base != newest) else { return Ok(()) };
        let first = self.history.first_after(base).unwrap_or(newest);
        Err(Rejection::StaleBase { base, first, newest })
    }

    /// Makes a revision the newest and the next to come into force.
    fn append(&mut self, number: u64, document: Document, origin: Origin) {
        self.history.retain(number, document, origin, None);
        if let Some(skipped) = self.state.pending.replace(number) {
            self.history.set_final_status(skipped, ChangeStatus::Skipped(number));
        }
        self.state.newest = number;
    }
}
