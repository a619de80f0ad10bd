//! The duties of the leader: it proposes the confirmation of a generation or of a fallback policy and the rollback of a
//! canary, and records which nodes are missing.

use std::time::Duration;

use super::interface::Action;
use super::leadership::{Leadership, SentProposal};
use super::{Leases, just_after};
use crate::entry::Entry;
use crate::node_set::NodeSet;

/// Time after which a proposal that is not in the log is repeated.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Leases {
    /// Returns the leadership, if this balancer has applied everything that was committed before its election. Until
    /// then other balancers may act on entries that this balancer does not know.
    pub(super) fn caught_up_leadership(&self) -> Option<&Leadership> {
        let position = self.applied.as_ref()?.position();
        self.leadership.as_ref().filter(|leadership| position >= leadership.caught_up_at)
    }

    pub(super) fn propose(&mut self, actions: &mut Vec<Action>) {
        if self.leadership.is_some() {
            self.record_missing_nodes();
        }
        let Some(entry) = self.due_proposal() else { return };
        let retry_since = self.now.saturating_sub(PROPOSAL_RETRY_INTERVAL);
        let is_recent = |sent: &SentProposal| sent.entry == entry && sent.sent_at > retry_since;
        if self.proposed.as_ref().is_some_and(is_recent) {
            return;
        }
        self.proposed = Some(SentProposal { entry: entry.clone(), sent_at: self.now });
        actions.push(Action::Propose(entry));
    }

    fn due_proposal(&self) -> Option<Entry> {
        let leadership = self.caught_up_leadership()?;
        let applied = self.applied.as_ref()?;
        let status = &applied.status;
        if status.unconfirmed
            && self.confirmed == applied.generation
            && self.now >= self.previous_leases_end(leadership)
        {
            return Some(Entry::GenerationConfirmed(applied.generation.index));
        }
        if let (Some(canary), Some(in_force)) = (status.canary, self.canary) {
            let age = self.now.saturating_sub(in_force.since);
            if let Some(cause) = canary.terms.rollback_cause(age, self.canary_metric) {
                return Some(Entry::AutomaticRollback(canary.revision, cause));
            }
        }
        if !status.awaits_fallback_confirmation {
            return None;
        }
        let unconfirmed_nodes =
            NodeSet::first(status.members).without(&status.dead).without(&self.fallback.holders());
        let confirmed = Entry::FallbackPolicyConfirmed(status.fallback_generation);
        unconfirmed_nodes.is_empty().then_some(confirmed)
    }

    /// Returns the time by which all leases that the previous leader may have granted have ended.
    fn previous_leases_end(&self, leadership: &Leadership) -> Duration {
        leadership.since.saturating_add(self.config.upper_bound(self.config.lease))
    }

    /// Records since when each node that is not present has been missing.
    fn record_missing_nodes(&mut self) {
        let Some(applied) = &self.applied else { return };
        let missing = NodeSet::first(applied.status.members).without(&self.present_nodes());
        let since = |node| self.missing.get(&node).copied().unwrap_or(self.now);
        self.missing = missing.iter().map(|node| (node, since(node))).collect();
    }

    /// Returns the next time at which the leader may have a proposal to make.
    pub(super) fn leader_wake(&self) -> Option<Duration> {
        let leadership = self.leadership.as_ref()?;
        let previous_leases = Some(self.previous_leases_end(leadership));
        let retry = self
            .proposed
            .as_ref()
            .map(|proposed| just_after(proposed.sent_at.saturating_add(PROPOSAL_RETRY_INTERVAL)));
        let status = self.applied.as_ref().map(|applied| &applied.status);
        let canary = status.and_then(|status| status.canary).zip(self.canary);
        let canary = canary.map(|(canary, in_force)| {
            in_force.since.saturating_add(Duration::from_secs(canary.terms.seconds.into()))
        });
        let times = [previous_leases, retry, canary].into_iter().flatten();
        times.filter(|at| *at > self.now).min()
    }
}
