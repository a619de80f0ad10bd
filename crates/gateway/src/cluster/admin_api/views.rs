//! JSON views of the cluster's state for the admin API.

use hollowpaddle_revision::policy_state::PolicyState;
use serde_json::{Value, json};

use super::AdminResponse;
use crate::cluster::machine::Machine;

/// Revisions that one answer lists.
const MAX_LISTED_REVISIONS: usize = 100;

/// How the bank stands, as seen from one balancer.
pub(super) fn cluster(machine: &Machine) -> Value {
    let status = machine.policy().status();
    let replica = machine.replica();
    let in_force = machine.in_force();
    let seen = machine.leases().seen();
    let behind: Vec<Value> = seen
        .behind
        .iter()
        .map(|(m, since)| json!({"member": m.0, "for_s": since.as_secs_f64()}))
        .collect();
    json!({
        "ok": true,
        "member": machine.node_id().0,
        "revision": status.revision,
        "towards": status.towards,
        "newest": machine.policy().newest(),
        "stage": status.generation,
        "unconfirmed": status.unconfirmed,
        "here": seen.here.len(),
        "charter_confirmed": seen.fallback_policy.len(),
        "charter": {
            "pods": status.fallback_policy.cells, "except": status.fallback_policy.except,
            "attempts": status.fallback_policy.attempts, "awaited": status.awaited,
        },
        "past_lease": {"pods": seen.past.cells, "except": seen.past.except, "attempts": seen.past.attempts},
        "lease": {
            "held": machine.now() < in_force.until,
            "left_s": in_force.until.saturating_sub(machine.now()).as_secs_f64(),
        },
        "council": {
            "members": replica.members().voters.iter().map(|m| m.0).collect::<Vec<_>>(),
            "coming": replica.members().joining.map(|m| m.0),
            "standing": replica.status().to_string(),
            "leader": machine.leader().map(|m| m.0),
            "source": machine.learner().source().map(|m| m.0),
            "log": machine.learner().at().to_string(),
        },
        "dead": status.dead.iter().map(|m| m.0).collect::<Vec<_>>(),
        "behind": behind,
        "words": serde_json::to_value(machine.wire().counts()).unwrap_or_default(),
        "held_bytes": serde_json::to_value(machine.wire().held()).unwrap_or_default(),
    })
}

pub(super) fn revisions(policy: &PolicyState) -> Value {
    let all: Vec<Value> = policy
        .revisions()
        .rev()
        .take(MAX_LISTED_REVISIONS)
        .map(|(number, kept)| {
            let change_status = policy.change_status(number).map(|status| status.to_string());
            json!({"revision": number, "origin": kept.origin.to_string(), "fate": change_status})
        })
        .collect();
    json!({"ok": true, "newest": policy.newest(), "revisions": all})
}

pub(super) fn revision(policy: &PolicyState, number: u64) -> AdminResponse {
    match policy.kept(number) {
        Ok(kept) => AdminResponse::ok(json!({
            "ok": true, "revision": number,
            "document": serde_json::to_value(&*kept.document).unwrap_or_default(),
        })),
        Err(why) => AdminResponse { status: 404, ..AdminResponse::refused(&why) },
    }
}
