//! Converts an operator's change into an entry of the policy log, or into a response if no entry is needed.

use std::collections::BTreeSet;

use hollowpaddle_revision::difference::Difference;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::FleetFacts;
use hollowpaddle_revision::policy_state::{PolicyState, Rejection};
use serde_json::json;

use super::fallback::{check_mandatory_fallback, is_in_fallback_floor};
use super::{AdminResponse, Change, PolicyChange, RevisionOptions};
use crate::cluster::machine::{Event, Machine};

/// The data that changes are built from and checked against.
struct Context<'a> {
    id: CommandId,
    facts: &'a FleetFacts,
    machine: &'a Machine,
    policy: &'a PolicyState,
}

impl Change {
    /// Returns the event that proposes the change, or as `Err` a response that needs no proposal.
    pub(super) fn event(
        &self,
        ticket: u64,
        id: CommandId,
        facts: &FleetFacts,
        machine: &Machine,
    ) -> Result<Event<'static>, AdminResponse> {
        let context = Context { id, facts, machine, policy: machine.policy() };
        let entry = self.entry(&context)?;
        if self.is_dry_run {
            return Err(AdminResponse::bad_request("`dry` goes with revisions and rollbacks only"));
        }
        Ok(Event::Propose { ticket, id: Some(id), entry })
    }

    fn entry(&self, context: &Context<'_>) -> Result<Entry, AdminResponse> {
        match &self.what {
            PolicyChange::Propose(options, document) => self.proposal(context, options, document),
            PolicyChange::Rollback(options, to) => self.rollback(context, options, *to),
            PolicyChange::Cordon(name) => context.cordon(name),
            PolicyChange::Uncordon(name) => {
                context.change_cordons(|cordoned| cordoned.remove(name))
            }
            PolicyChange::FallbackPolicy(policy) => context.fallback_policy(policy.clone()),
            PolicyChange::Confirm(number) => Ok(Entry::ConfirmCanary(context.id, *number)),
            PolicyChange::Dead(member) => Ok(Entry::MarkDead(context.id, *member)),
            PolicyChange::Alive(member) => Ok(Entry::MarkAlive(context.id, *member)),
        }
    }

    fn proposal(
        &self,
        context: &Context<'_>,
        options: &RevisionOptions,
        document: &Document,
    ) -> Result<Entry, AdminResponse> {
        let options = context.proposal_options(options, &named_upstreams(document));
        if self.is_dry_run {
            return Err(dry_run_answer(context.policy.dry_run(document, &options.facts)));
        }
        Ok(Entry::Propose(options, Box::new(document.clone())))
    }

    fn rollback(
        &self,
        context: &Context<'_>,
        options: &RevisionOptions,
        to: u64,
    ) -> Result<Entry, AdminResponse> {
        let retained = context.policy.retained_revision(to);
        let names = retained.map(|r| named_upstreams(&r.document)).unwrap_or_default();
        let options = context.proposal_options(options, &names);
        if self.is_dry_run {
            return Err(dry_run_answer(context.policy.dry_run_rollback(to, &options.facts)));
        }
        Ok(Entry::Rollback(options, to))
    }

    /// Returns whether the change creates a revision, and not another entry of the log.
    pub(super) fn is_revision(&self) -> bool {
        match self.what {
            PolicyChange::Propose(..)
            | PolicyChange::Rollback(..)
            | PolicyChange::Cordon(_)
            | PolicyChange::Uncordon(_) => true,
            PolicyChange::FallbackPolicy(_)
            | PolicyChange::Confirm(_)
            | PolicyChange::Dead(_)
            | PolicyChange::Alive(_) => false,
        }
    }
}

impl Context<'_> {
    /// Returns the entry that cordons an upstream. No revision can cordon an upstream that the fallback policy allows: first
    /// the fallback policy has to exclude the upstream and every balancer has to confirm that change.
    fn cordon(&self, name: &str) -> Result<Entry, AdminResponse> {
        if !is_in_fallback_floor(self.policy, self.facts, name) {
            return self.change_cordons(|cordoned| cordoned.insert(name.to_string()));
        }
        let status = self.policy.status();
        // Only one change of the fallback policy is proposed at a time, or retries would fill the log with proposals that
        // are rejected.
        let is_under_way = status.awaits_fallback_confirmation || status.unconfirmed;
        if is_under_way || status.fallback_policy.except.contains(name) {
            return Err(AdminResponse::awaits_fallback(&self.machine.leases().status().missing));
        }
        let mut fallback_policy = (*status.fallback_policy).clone();
        fallback_policy.except.insert(name.to_string());
        self.fallback_policy(fallback_policy)
    }

    /// Returns the entry that proposes the newest document with changed cordons. The proposal is based on the newest
    /// revision that this balancer knows, so that it can't undo a concurrent change: if another change is committed first,
    /// the proposal is rejected and the caller retries.
    fn change_cordons(
        &self,
        change: impl FnOnce(&mut BTreeSet<String>) -> bool,
    ) -> Result<Entry, AdminResponse> {
        let newest = self.policy.newest();
        let retained =
            self.policy.retained_revision(newest).map_err(|e| AdminResponse::rejected(&e))?;
        let mut document = (*retained.document).clone();
        if !change(&mut document.exclusions.upstreams) {
            return Err(AdminResponse::ok(json!({"ok": true, "revision": newest})));
        }
        let options = RevisionOptions { base: Some(newest), canary: None, forced: true };
        let options = self.proposal_options(&options, &named_upstreams(&document));
        Ok(Entry::Propose(options, Box::new(document)))
    }

    fn fallback_policy(&self, fallback_policy: FallbackPolicy) -> Result<Entry, AdminResponse> {
        check_mandatory_fallback(&fallback_policy, self.facts)?;
        Ok(Entry::FallbackPolicy(self.id, fallback_policy, Box::new(self.facts.clone())))
    }

    /// Returns the options for the log entry, with facts only about the upstreams in `names`.
    fn proposal_options(
        &self,
        options: &RevisionOptions,
        names: &BTreeSet<String>,
    ) -> Box<ProposalOptions> {
        let RevisionOptions { base, canary, forced } = options.clone();
        let mut facts = self.facts.clone();
        facts.named.retain(|name, _| names.contains(name));
        Box::new(ProposalOptions { id: self.id, base, canary, forced, facts })
    }
}

/// Returns the names of the upstreams in a document.
fn named_upstreams(document: &Document) -> BTreeSet<String> {
    let weights = document.weights.upstreams.keys();
    document.exclusions.upstreams.iter().chain(weights).cloned().collect()
}

fn dry_run_answer(result: Result<Difference, Rejection>) -> AdminResponse {
    match result {
        Ok(difference) => {
            let changes = serde_json::to_value(&difference).unwrap_or_default();
            AdminResponse::ok(json!({"ok": true, "dry": true, "changes": changes}))
        }
        Err(reason) => AdminResponse::rejected(&reason),
    }
}
