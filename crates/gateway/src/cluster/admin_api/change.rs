//! Turns a change that an operator asked for into an entry of the policy log.

use std::collections::BTreeSet;

use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fleet::Facts;
use hollowpaddle_revision::policy_state::Refusal;
use serde_json::json;

use super::fallback::{firm, in_charter};
use super::{AdminResponse, Change, PolicyChange, RevisionOptions};
use crate::cluster::machine::{Event, Machine};

impl Change {
    pub(super) fn event(
        &self,
        ticket: u64,
        fresh: CommandId,
        facts: &Facts,
        machine: &Machine,
    ) -> Result<Event<'static>, AdminResponse> {
        let policy = machine.policy();
        let id = self.id.unwrap_or(fresh);
        let terms = |said: &RevisionOptions, names: &BTreeSet<String>| {
            let RevisionOptions { base, canary, forced } = said.clone();
            let mut facts = facts.clone();
            facts.named.retain(|name, _| names.contains(name));
            Box::new(ProposalOptions { id, base, canary, forced, facts })
        };
        let entry = match &self.what {
            PolicyChange::Propose(said, document) => {
                let terms = terms(said, &names(document));
                if self.dry {
                    return Err(dry(policy.dry_run(document, &terms.facts)));
                }
                Entry::Propose(terms, document.clone())
            }
            // What the charter allows nobody can forbid: it has to let go of it first, and everybody to say so.
            PolicyChange::Cordon(name, true) if in_charter(policy, facts, name) => {
                let status = policy.status();
                // One charter at a time: each look that proposed one in vain would stand in the log.
                let under_way = status.awaited || status.unconfirmed;
                if under_way || status.fallback_policy.except.contains(name) {
                    let behind = machine.leases().seen().behind;
                    return Err(AdminResponse::waits(&behind));
                }
                let mut fallback_policy = (*status.fallback_policy).clone();
                fallback_policy.except.insert(name.clone());
                firm(&fallback_policy, facts)?;
                Entry::FallbackPolicy(id, fallback_policy, Box::new(facts.clone()))
            }
            PolicyChange::Cordon(name, out) => {
                // Against the newest there is here: whoever was first is not undone, the caller is told to look again.
                let newest = policy.newest();
                let said = RevisionOptions { base: Some(newest), canary: None, forced: true };
                let mut document = match policy.kept(newest) {
                    Ok(kept) => (*kept.document).clone(),
                    Err(cause) => return Err(AdminResponse::refused(&cause)),
                };
                let changes = if *out {
                    document.out.upstreams.insert(name.clone())
                } else {
                    document.out.upstreams.remove(name)
                };
                if !changes {
                    return Err(AdminResponse::ok(json!({"ok": true, "revision": newest})));
                }
                Entry::Propose(terms(&said, &names(&document)), Box::new(document))
            }
            PolicyChange::Rollback(said, to) => {
                let named = policy.kept(*to).map(|k| names(&k.document)).unwrap_or_default();
                let terms = terms(said, &named);
                if self.dry {
                    return Err(dry(policy.dry_rollback(*to, &terms.facts)));
                }
                Entry::Rollback(terms, *to)
            }
            PolicyChange::FallbackPolicy(fallback_policy) => {
                firm(fallback_policy, facts)?;
                Entry::FallbackPolicy(id, fallback_policy.clone(), Box::new(facts.clone()))
            }
            PolicyChange::Confirm(number) => Entry::Confirm(id, *number),
            PolicyChange::Dead(member) => Entry::Dead(id, *member),
            PolicyChange::Alive(member) => Entry::Alive(id, *member),
        };
        if self.dry {
            return Err(AdminResponse::bad("`dry` goes with revisions and rollbacks only"));
        }
        Ok(Event::Propose { ticket, id: Some(id), entry })
    }

    pub(super) fn is_revision(&self) -> bool {
        matches!(
            self.what,
            PolicyChange::Propose(..) | PolicyChange::Rollback(..) | PolicyChange::Cordon(..)
        )
    }
}

/// Upstreams that a document names.
fn names(document: &Document) -> BTreeSet<String> {
    let weights = document.weights.upstreams.keys();
    document.out.upstreams.iter().chain(weights).cloned().collect()
}

fn dry(result: Result<hollowpaddle_revision::difference::Difference, Refusal>) -> AdminResponse {
    match result {
        Ok(difference) => {
            let difference = serde_json::to_value(&difference).unwrap_or_default();
            AdminResponse::ok(json!({"ok": true, "dry": true, "changes": difference}))
        }
        Err(why) => AdminResponse::refused(&why),
    }
}
