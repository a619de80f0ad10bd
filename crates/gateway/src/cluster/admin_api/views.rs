//! JSON views of the cluster's state for the admin API.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::policy_state::PolicyState;
use serde_json::{Value, json};

use super::AdminResponse;
use crate::cluster::machine::Machine;

/// Maximum number of revisions in one response.
const MAX_LISTED_REVISIONS: usize = 100;

/// Returns the body of `GET /admin/bank`: the state of the cluster as this balancer sees it.
pub(super) fn cluster(machine: &Machine) -> Value {
    let status = machine.policy().status();
    let in_force = machine.in_force();
    let lease_status = machine.leases().status();
    json!({
        "ok": true,
        "member": machine.node_id().0,
        "revision": status.revision,
        "towards": status.target_revision,
        "newest": machine.policy().newest(),
        "stage": status.generation,
        "unconfirmed": status.unconfirmed,
        "here": lease_status.present.len(),
        "charter_confirmed": lease_status.fallback_holders.len(),
        "charter": {
            "pods": status.fallback_policy.cells, "except": status.fallback_policy.except,
            "attempts": status.fallback_policy.attempts, "awaited": status.awaits_fallback_confirmation,
        },
        "past_lease": {
            "pods": lease_status.fallback_policy.cells,
            "except": lease_status.fallback_policy.except,
            "attempts": lease_status.fallback_policy.attempts,
        },
        "lease": {
            "held": machine.now() < in_force.until,
            "left_s": in_force.until.saturating_sub(machine.now()).as_secs_f64(),
        },
        "council": voters(machine),
        "dead": status.dead.iter().map(|m| m.0).collect::<Vec<_>>(),
        "behind": behind(&lease_status.missing),
        "words": serde_json::to_value(machine.transport().counts()).unwrap_or_default(),
        "held_bytes": serde_json::to_value(machine.transport().memory_usage()).unwrap_or_default(),
    })
}

fn voters(machine: &Machine) -> Value {
    let (replica, learner) = (machine.replica(), machine.learner());
    // The voters come from the learner, because a replica that is not a voter does not follow changes of the voters.
    let voter_set = machine.voters();
    json!({
        "members": voter_set.voters.iter().map(|m| m.0).collect::<Vec<_>>(),
        "coming": voter_set.joining.map(|m| m.0),
        "standing": replica.status().to_string(),
        "leader": machine.leader().map(|m| m.0),
        "source": learner.source().map(|m| m.0),
        "log": learner.last_index().to_string(),
    })
}

/// Returns the balancers that have not confirmed the newest generation, and the time that each has been behind.
fn behind(nodes: &[(NodeId, Duration)]) -> Vec<Value> {
    nodes
        .iter()
        .map(|(node, since)| json!({"member": node.0, "for_s": since.as_secs_f64()}))
        .collect()
}

/// Returns the body of `GET /admin/revisions`: the newest revisions, newest first.
pub(super) fn revisions(policy: &PolicyState) -> Value {
    let newest_first = policy.revisions().rev().take(MAX_LISTED_REVISIONS);
    let revisions: Vec<Value> = newest_first
        .map(|(number, revision)| {
            let status = policy.change_status(number).map(|status| status.to_string());
            json!({"revision": number, "origin": revision.origin.to_string(), "fate": status})
        })
        .collect();
    json!({"ok": true, "newest": policy.newest(), "revisions": revisions})
}

/// Returns the response to `GET /admin/revisions/N`: one revision with its document.
pub(super) fn revision(policy: &PolicyState, number: u64) -> AdminResponse {
    match policy.retained_revision(number) {
        Ok(revision) => AdminResponse::ok(json!({
            "ok": true, "revision": number,
            "document": serde_json::to_value(&*revision.document).unwrap_or_default(),
        })),
        Err(reason) => AdminResponse { status: 404, ..AdminResponse::rejected(&reason) },
    }
}
