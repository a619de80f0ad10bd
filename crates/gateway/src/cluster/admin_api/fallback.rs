//! Rules on the fallback policy that an operator's change must keep to.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::Facts;
use hollowpaddle_revision::policy_state::PolicyState;
use hollowpaddle_revision::rules::Place;

use super::AdminResponse;

/// A site with fewer pods than this has no bedrock of its own: a pod of three is too much of it.
const MIN_CELLS_FOR_FALLBACK: usize = 4;

/// Whether a charter holds what a process keeps to that has forgotten it.
pub(super) fn firm(fallback_policy: &FallbackPolicy, facts: &Facts) -> Result<(), AdminResponse> {
    let mut cells = BTreeMap::<String, BTreeSet<u32>>::new();
    for group in &facts.groups {
        let zone = facts.zones.get(usize::from(group.zone)).cloned().unwrap_or_default();
        cells.entry(zone).or_default().insert(group.cell);
    }
    let mandatory_fallback = default_mandatory_fallback(&cells);
    let out = facts.named.iter().find(|(name, (cell, _))| {
        mandatory_fallback.cells.contains(cell)
            && (!fallback_policy.cells.contains(cell) || fallback_policy.except.contains(*name))
    });
    match out {
        None => Ok(()),
        Some((name, (cell, _))) => {
            let why = format!(
                "`{name}` is in pod {cell}, which is bedrock: whoever has forgotten everything and hears nobody sends there; \
                 state `fleet.bedrock` in every balancer's configuration to choose others"
            );
            Err(AdminResponse { status: 409, ..AdminResponse::bad(&why) })
        }
    }
}

/// Bedrock where the configuration states none: one pod of each site that has four or more, so that what can
/// never be put out is a small part.
pub fn default_mandatory_fallback(cells: &BTreeMap<String, BTreeSet<u32>>) -> FallbackPolicy {
    let many = cells.iter().filter(|(_, cells)| cells.len() >= MIN_CELLS_FOR_FALLBACK);
    FallbackPolicy::mandatory_fallback(
        &many.map(|(zone, cells)| (zone.clone(), cells.clone())).collect(),
    )
}

/// Whether a charter that counts now allows sending to an upstream.
pub(super) fn in_charter(policy: &PolicyState, facts: &Facts, name: &str) -> bool {
    let Some((cell, machine_type)) = facts.named.get(name) else { return false };
    let machine_type = facts.machine_types.get(usize::from(*machine_type)).map_or("", |f| f);
    policy.status().rules.floor().allows(&Place { name, cell: *cell, machine_type, zone: "" })
}
