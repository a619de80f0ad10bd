//! Constraints of the fallback policy on an operator's change: its mandatory part, and the floor of upstreams that no
//! revision can exclude.

use std::collections::{BTreeMap, BTreeSet};

use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::FleetFacts;
use hollowpaddle_revision::policy_state::PolicyState;
use hollowpaddle_revision::rules::Place;

use super::AdminResponse;

/// Minimum number of cells for a zone to have a mandatory fallback. One cell of three would be too large a part of the zone.
const MIN_CELLS_FOR_FALLBACK: usize = 4;

/// Returns the mandatory fallback for a configuration that sets none: one cell of each zone with at least four cells, so
/// that the part of a zone that can never be cordoned is small. `cells` are by zone.
pub fn default_mandatory_fallback(cells: &BTreeMap<String, BTreeSet<u32>>) -> FallbackPolicy {
    let large_zones = cells.iter().filter(|(_, cells)| cells.len() >= MIN_CELLS_FOR_FALLBACK);
    FallbackPolicy::mandatory_fallback(
        &large_zones.map(|(zone, cells)| (zone.clone(), cells.clone())).collect(),
    )
}

/// Checks that a fallback policy includes the mandatory fallback, to which a process without any state sends requests.
pub(super) fn check_mandatory_fallback(
    fallback_policy: &FallbackPolicy,
    facts: &FleetFacts,
) -> Result<(), AdminResponse> {
    let mut cells = BTreeMap::<String, BTreeSet<u32>>::new();
    for group in &facts.groups {
        let zone = facts.zones.get(usize::from(group.zone)).cloned().unwrap_or_default();
        cells.entry(zone).or_default().insert(group.cell);
    }
    let mandatory_fallback = default_mandatory_fallback(&cells);
    let excluded = facts.named.iter().find(|(name, (cell, _))| {
        mandatory_fallback.cells.contains(cell)
            && (!fallback_policy.cells.contains(cell) || fallback_policy.except.contains(*name))
    });
    let Some((name, (cell, _))) = excluded else { return Ok(()) };
    let reason = format!(
        "`{name}` is in pod {cell}, which is bedrock: whoever has forgotten everything and hears nobody sends there; \
         state `fleet.bedrock` in every balancer's configuration to choose others"
    );
    Err(AdminResponse { status: 409, ..AdminResponse::bad_request(&reason) })
}

/// Returns whether the fallback floor in force includes an upstream, so that no revision can cordon it.
pub(super) fn is_in_fallback_floor(policy: &PolicyState, facts: &FleetFacts, name: &str) -> bool {
    let Some((cell, machine_type)) = facts.named.get(name) else { return false };
    let machine_type = facts.machine_types.get(usize::from(*machine_type)).map_or("", |t| t);
    policy.status().rules.floor().allows(&Place { name, cell: *cell, machine_type, zone: "" })
}
